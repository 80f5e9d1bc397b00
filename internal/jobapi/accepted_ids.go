package jobapi

import (
	"sync"
	"sync/atomic"
)

// maxAcceptedIDs bounds the accepted jobs that are remembered.
const maxAcceptedIDs = 20_000

// acceptedIDs remembers jobs known to have been accepted. What was accepted once stays so.
type acceptedIDs struct {
	ids   sync.Map
	count atomic.Int64
}

func (a *acceptedIDs) contains(id string) bool {
	_, ok := a.ids.Load(id)
	return ok
}

func (a *acceptedIDs) add(id string) {
	if _, again := a.ids.LoadOrStore(id, true); again {
		return
	}
	if a.count.Add(1) > maxAcceptedIDs {
		a.ids.Clear()
		a.count.Store(0)
	}
}
