package jobapi

import (
	"sync"

	"notchmux.dev/notchmux/wire"
)

// MaxFinalStatuses bounds the final statuses that are kept.
const MaxFinalStatuses = 50_000

// FinalStatusCache remembers final statuses, which alone may be cached. Any goroutine may
// call its methods.
type FinalStatusCache struct {
	mu   sync.Mutex
	byID map[string]wire.JobStatus
}

func newFinalStatusCache() *FinalStatusCache {
	return &FinalStatusCache{byID: map[string]wire.JobStatus{}}
}

// Get gives the final status of a job; false if it is not kept.
func (f *FinalStatusCache) Get(id string) (wire.JobStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	status, ok := f.byID[id]
	return status, ok
}

// Len is how many are kept.
func (f *FinalStatusCache) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byID)
}

// Put keeps a status if it is final.
func (f *FinalStatusCache) Put(status wire.JobStatus) {
	if !status.State.Final() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.byID) >= MaxFinalStatuses {
		for id := range f.byID { // any one goes: it can be read again
			delete(f.byID, id)
			break
		}
	}
	f.byID[status.ID] = status
}
