package jobapi

import (
	"sync"

	"notchmux.dev/notchmux/wire"
)

// MaxFinalStatuses is the maximum number of final statuses in the cache.
const MaxFinalStatuses = 50_000

// FinalStatusCache caches the final statuses of jobs. Only final statuses may be cached, since they never change. Any
// goroutine may call its methods.
type FinalStatusCache struct {
	mu   sync.Mutex
	byID map[string]wire.JobStatus
}

func newFinalStatusCache() *FinalStatusCache {
	return &FinalStatusCache{byID: map[string]wire.JobStatus{}}
}

// Get returns the final status of a job, or false if it is not cached.
func (f *FinalStatusCache) Get(id string) (wire.JobStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	status, ok := f.byID[id]
	return status, ok
}

// Len returns the number of cached statuses.
func (f *FinalStatusCache) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byID)
}

// Put caches a status if it is final. If the cache is full, an arbitrary entry is evicted.
func (f *FinalStatusCache) Put(status wire.JobStatus) {
	if !status.State.Final() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.byID) >= MaxFinalStatuses {
		for id := range f.byID { // which entry is evicted does not matter: it can be read from the store again
			delete(f.byID, id)
			break
		}
	}
	f.byID[status.ID] = status
}
