package coordinator

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
)

// How a job with records of its tasks goes to a shard:
//
//  1. The leader stores an assignment that says that the job changes hands. Nobody places its tasks.
//  2. The owner reads the leader's records, writes its own, and says that they are stored.
//  3. The leader deletes its records.
//  4. The leader stores the assignment as that of any other job. The owner places its tasks.
//
// At each step a controller of a version before loses nothing of what is done: until the third the
// leader's records hold all of it, from then on the owner's do, and while both exist no task runs.
// A leader that takes over finds the assignment, and begins anew with the second step.

// applyCopiedJobs takes in of which jobs an owner's records hold all that the leader's do. Its word
// counts for the assignment that it read.
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

// inTransfer reports whether a job changes hands. An owner of a version before does not know that, and
// asks for capacity that it would not use.
func (c *Coordinator) inTransfer(job string) bool {
	assigned := c.assignedJobs[job]
	return assigned != nil && assigned.assignment.InTransfer()
}

// reconcileHandovers brings the jobs on of which the owners have all records.
func (c *Coordinator) reconcileHandovers(now micro.Time) {
	for _, assigned := range c.assignedJobs {
		if assigned.recordsCopied && assigned.heldByOwner() && assigned.storeRecord.Settled() {
			c.reconcileHandover(assigned, now)
		}
	}
}

func (c *Coordinator) reconcileHandover(assigned *assignedJob, now micro.Time) {
	switch {
	case assigned.assignment.Continued != nil: // its tasks run: from here on the owner's records alone count
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
