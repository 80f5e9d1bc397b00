package coordinator

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
)

// Handover of a job with task records from the leader to a shard:
//
//  1. The leader stores an assignment in transfer. No controller allocates tasks of the job.
//  2. The owner reads the leader's records, writes its own, and reports that they are stored.
//  3. The leader deletes its records.
//  4. The leader stores the assignment without the transfer. The owner allocates the job's tasks.
//
// At each step a controller of the previous release preserves the job's progress: before step 3 the
// leader's records hold all of it, after that the owner's do, and no task runs while both exist. A
// leader that takes over finds the assignment and restarts from step 2.

// applyCopiedJobs marks the jobs whose records an owner reports as completely copied. A report is
// authoritative only for the version of the assignment that the owner had read.
func (c *Coordinator) applyCopiedJobs(entry shard.Entry, copied []shard.CopiedJob) {
	for _, each := range copied {
		assigned := c.assignedJobs[each.Job]
		if assigned == nil || assigned.shardName != entry.Name || !assigned.heldByOwner() ||
			!assigned.assignment.ReadsLeaderRecords() || assigned.assignment.RecallRequested ||
			assigned.storeRecord.Version() != each.Version {
			continue
		}
		assigned.recordsCopied = true
	}
}

// inTransfer reports whether a job is in transfer between the leader and a shard. An owner of the
// previous release does not know that state, and reports demand for capacity that it could not use.
func (c *Coordinator) inTransfer(job string) bool {
	assigned := c.assignedJobs[job]
	return assigned != nil && assigned.assignment.InTransfer()
}

// reconcileHandovers advances the handover of all jobs whose records the owners have copied.
func (c *Coordinator) reconcileHandovers(now micro.Time) {
	for _, assigned := range c.assignedJobs {
		if assigned.recordsCopied && assigned.heldByOwner() && assigned.storeRecord.Settled() {
			c.reconcileHandover(assigned, now)
		}
	}
}

// reconcileHandover carries out steps 3 and 4 of a handover.
func (c *Coordinator) reconcileHandover(assigned *assignedJob, now micro.Time) {
	switch {
	case assigned.assignment.Continued != nil: // its tasks run: from now on only the owner's records are authoritative
		assigned.assignment = assigned.assignment.KeepOwnerRecords()
	case !c.Host.DeleteHandedOver(assigned.job):
		return
	default:
		assigned.recordsCopied = false
		assigned.assignment = assigned.assignment.EndTransfer()
		job := assigned.job
		c.Log.Info("job handed over", "job", job.Spec.ID, "shard", assigned.shardName, "done", job.DoneTasks)
	}
	assigned.storeRecord.MarkDirty(now, statestore.PriorityHigh)
}
