package coordinator

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// How a job with records of its tasks comes back from a shard where it waits:
//
//  1. The leader stores in the assignment that the job is recalled. That is never taken back: no
//     owner that reads it places any of the job's tasks.
//  2. The owner says that nothing of the job is left but stored records.
//  3. The shard's record gets a later version, so that no late write fits it any more: neither a copy
//     of the one that created the assignment, nor one of an earlier loop of the owner.
//  4. The leader stores in the assignment that the job changes hands, if it does not say so yet: a
//     controller of a version before, which does not know of recalls, places none of its tasks either.
//  5. The owner's records of the tasks are read into the leader's, which are written.
//  6. Then the owner's records are deleted, and last the assignment. The job is the leader's.
//
// A leader that takes over finds the assignment, and begins anew with the second step: what the
// owner recorded does not change any more, and reading it twice changes nothing.

// recall is how far a recalled job is, once its owner has released it.
type recall struct {
	fencedAbove    uint64 // no write under the shard's record at this version, or before, may be carried out any more
	readInFlight   bool
	merged         bool                          // the owner's records are in the leader's memory
	pendingDeletes map[string]*statestore.Record // the owner's records, until they are deleted
	deleting       bool                          // nothing but the assignment is left
}

// recallWaitingJobs recalls jobs that wait in a shard: there may be capacity elsewhere.
func (c *Coordinator) recallWaitingJobs(shardName string, waiting []string, now micro.Time) {
	if !c.Cluster.HandoverSupported {
		return // the owner could not follow
	}
	for _, id := range waiting {
		assigned := c.assignedJobs[id]
		if assigned == nil || assigned.shardName != shardName || !assigned.heldByOwner() ||
			assigned.assignment.RecallRequested || assigned.recordsCopied {
			continue
		}
		assigned.assignment.RecallRequested = true
		c.Log.Info("job recalled", "job", id, "shard", shardName, "reason", "it waits there without any allocation")
		assigned.storeRecord.MarkDirty(now, statestore.PriorityHigh)
	}
}

// heldByOwner reports whether the shard's owner has the job, and nothing else is to become of it.
func (assigned *assignedJob) heldByOwner() bool {
	return assigned.stored && !assigned.handedBack && !assigned.cancelling && assigned.job.State == cluster.Assigned
}

// applyReleasedJobs takes in which recalled jobs an owner has released. Its word counts for the
// assignment that it read: one of an earlier stay of the job in the shard says nothing.
func (c *Coordinator) applyReleasedJobs(entry shard.Entry, released []shard.ReleasedJob) {
	for _, each := range released {
		assigned := c.assignedJobs[each.Job]
		if assigned == nil || assigned.shardName != entry.Name || assigned.recall != nil || !assigned.heldByOwner() ||
			!assigned.assignment.RecallRequested || assigned.storeRecord.Version() != each.Version {
			continue
		}
		c.Log.Info("recalled job released", "job", each.Job, "shard", entry.Name)
		assigned.recall = &recall{
			fencedAbove: max(entry.Version, assigned.createdUnder), pendingDeletes: map[string]*statestore.Record{},
		}
	}
}

// reconcileRecalls brings the recalled jobs on that their owners have released.
func (c *Coordinator) reconcileRecalls(now micro.Time) {
	for _, assigned := range c.assignedJobs {
		entry, ok := c.table().Get(assigned.shardName)
		if assigned.recall != nil && ok && entry.HasOwner() && assigned.heldByOwner() {
			c.reconcileRecall(entry, assigned, now)
		}
	}
}

func (c *Coordinator) reconcileRecall(entry shard.Entry, assigned *assignedJob, now micro.Time) {
	recall := assigned.recall
	switch {
	case recall.readInFlight:
	case entry.Version <= recall.fencedAbove:
		if !c.commitsInFlight[entry.Name] {
			c.commitShard(entry.Name, entry.Update(entry.Record.Rewritten(int64(c.Wall())), c.Term.Precondition()))
		}
	case !assigned.assignment.InTransfer():
		assigned.assignment = assigned.assignment.BeginTransfer()
		assigned.storeRecord.MarkDirty(now, statestore.PriorityHigh)
	case !recall.merged && !assigned.storeRecord.Settled():
	case !recall.merged:
		c.readReleasedJob(assigned)
	case len(recall.pendingDeletes) > 0:
		for _, record := range recall.pendingDeletes {
			record.MarkDirty(now, statestore.PriorityHigh)
		}
	default:
		recall.deleting = true
		assigned.storeRecord.MarkDirty(now, statestore.PriorityHigh)
	}
}

// readReleasedJob reads what the owner recorded of a released job's tasks.
func (c *Coordinator) readReleasedJob(assigned *assignedJob) {
	recall := assigned.recall
	recall.readInFlight = true
	go func() {
		items, err := c.readAllocations(shard.AllocationPrefixForJob(assigned.shardName, assigned.job.Spec.ID))
		c.Loop.Post(releasedJobRead{c, assigned, recall, items, err})
	}()
}

// releasedJobRead brings what the owner recorded of a released job's tasks.
type releasedJobRead struct {
	coordinator *Coordinator
	assigned    *assignedJob
	recall      *recall
	items       []wire.Item
	err         error
}

// Apply takes the records into the leader's; after an error they are read anew. Whatever else has
// become of the job meanwhile goes first.
func (e releasedJobRead) Apply() {
	c, assigned := e.coordinator, e.assigned
	e.recall.readInFlight = false
	if e.err != nil {
		c.Log.Debug("released job not read", "job", assigned.job.Spec.ID, "err", e.err)
		return
	}
	current := c.assignedJobs[assigned.job.Spec.ID] == assigned && assigned.job.Shard == assigned.shardName
	if current && assigned.heldByOwner() {
		c.mergeReleasedJob(assigned, e.items)
	}
}

// mergeReleasedJob takes the owner's records of a released job into the leader's, which are
// written before those are deleted.
func (c *Coordinator) mergeReleasedJob(assigned *assignedJob, items []wire.Item) {
	now := c.Now()
	assigned.recall.merged = true
	for _, item := range items {
		c.reclaimAllocation(item, assigned.recall.pendingDeletes, now)
	}
	if assigned.job.AllocationCount > 0 {
		c.Log.Error("released job has allocations", "job", assigned.job.Spec.ID, "shard", assigned.shardName)
	}
}

// mayDeleteAssignment reports whether nothing of a recalled job is left in its shard, and nobody
// has cancelled it meanwhile: its owner takes part in that.
func (assigned *assignedJob) mayDeleteAssignment() bool {
	return assigned.recall != nil && assigned.recall.deleting && !assigned.cancelling
}

// finishRecall makes a recalled job the leader's own: its assignment is deleted, and no late write
// creates it anew.
func (c *Coordinator) finishRecall(assigned *assignedJob) {
	c.dropAssignment(assigned)
	c.Log.Info(
		"job taken back", "job", assigned.job.Spec.ID, "shard", assigned.shardName, "done", assigned.job.DoneTasks,
		"tasks", len(assigned.job.Tasks),
	)
}

// ownerRecordMerged reports whether the leader's record of a chunk holds what the owner's does: it is
// later than those that the assignment goes on from.
func (c *Coordinator) ownerRecordMerged(chunk *cluster.TaskChunk) bool {
	if !chunk.Stored {
		return false
	}
	assigned := c.assignedJobs[chunk.Job.Spec.ID]
	if assigned == nil || assigned.assignment.Revision() == 0 {
		return true
	}
	revision, _ := c.Host.ChunkRevision(chunk)
	return revision > assigned.assignment.Revision()
}
