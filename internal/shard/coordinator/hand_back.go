package coordinator

import (
	"context"

	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
)

// An owner hands a job that never had an allocation back to the leader by deleting its assignment.
// For started jobs see recall.go.

// reconcileHandedBack returns jobs that were handed back to the leader, once no late write can assign
// them again: the shard's record is rewritten, so that writes conditional on its earlier version
// fail, and then the assignment is looked up.
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

// verifyHandedBack starts a lookup of a job's assignment, which a late write may have created again
// before the shard's record changed.
func (c *Coordinator) verifyHandedBack(assigned *assignedJob) {
	assigned.lookupInFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		item, err := c.Store.Get(ctx, store.Routine, assigned.storeRecord.Key)
		c.Loop.Post(handedBackVerified{c, assigned, item, err})
	}()
}
