package coordinator

import (
	"context"

	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
)

// Jobs that never had an allocation come back from a shard when its owner deletes their assignments.
// For all others see recall.go.

// reconcileHandedBack brings jobs that were handed back to the leader's own, once no late write
// can assign them again.
func (c *Coordinator) reconcileHandedBack() {
	for _, assigned := range c.assignedJobs {
		if !assigned.handedBack || assigned.lookupInFlight {
			continue
		}
		entry, ok := c.table().Get(assigned.shardName)
		switch {
		case ok && entry.Version > assigned.fenceVersion:
			c.verifyHandedBack(assigned)
		case ok && entry.HasOwner() && !c.commitsInFlight[entry.Name]:
			c.commitShard(entry.Name, entry.Update(entry.Record.Rewritten(int64(c.Wall())), c.Term.Precondition()))
		}
	}
}

// verifyHandedBack looks whether a late write has assigned a job again before the shard's
// record changed.
func (c *Coordinator) verifyHandedBack(assigned *assignedJob) {
	assigned.lookupInFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		item, err := c.Store.Get(ctx, store.Routine, assigned.storeRecord.Key)
		c.Loop.Post(handedBackVerified{c, assigned, item, err})
	}()
}
