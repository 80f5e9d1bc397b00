package jobapi

import (
	"sync"
	"sync/atomic"
)

// maxAcceptedIDs is the maximum number of accepted jobs that are cached.
const maxAcceptedIDs = 20_000

// acceptedIDs caches the IDs of jobs known to have been accepted. A job that was accepted stays accepted, so entries
// never become stale. The zero value is empty and ready to use; any goroutine may call the methods.
type acceptedIDs struct {
	ids   sync.Map
	count atomic.Int64
}

func (a *acceptedIDs) contains(id string) bool {
	_, ok := a.ids.Load(id)
	return ok
}

// add records that a job was accepted. When the cache is full, it is emptied.
func (a *acceptedIDs) add(id string) {
	if _, again := a.ids.LoadOrStore(id, true); again {
		return
	}
	if a.count.Add(1) > maxAcceptedIDs {
		a.ids.Clear()
		a.count.Store(0)
	}
}
