package coordinator

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// Recall of a job with task records from a shard in which it waits without an allocation:
//
//  1. The leader stores the recall request in the assignment. The request is never withdrawn: an
//     owner that has read it allocates no task of the job.
//  2. The owner releases the job: it reports that only stored records of the job are left.
//  3. The shard's record is rewritten with a later version, so that late writes that are conditional
//     on an earlier version fail: a copy of the write that created the assignment, and any write of
//     an earlier loop of the owner.
//  4. The leader stores the assignment in transfer, unless it already is. A controller of the
//     previous release, which does not know of recalls, then allocates none of its tasks either.
//  5. The leader merges the owner's task records into its own, and writes these.
//  6. The leader deletes the owner's records, and then the assignment. The job is the leader's.
//
// A leader that takes over finds the assignment and restarts from step 2: the owner's records no
// longer change, and merging them twice has no further effect.

// recall is the progress of the recall of a job that its owner has released.
type recall struct {
	fencedAbove    uint64 // the shard's record must have a later version, so that all earlier writes fail
	readInFlight   bool
	merged         bool                          // the owner's records are merged into the leader's memory
	pendingDeletes map[string]*statestore.Record // the owner's records that are not deleted yet, by key
	deleting       bool                          // only the assignment is left to delete
}

// recallWaitingJobs recalls jobs that wait in a shard without an allocation, since there may be
// capacity elsewhere.
func (c *Coordinator) recallWaitingJobs(shardName string, waiting []string, now micro.Time) {
	if !c.Cluster.HandoverSupported {
		return // some controller does not support recalls
	}
	for _, id := range waiting {
		assigned := c.assignedJobs[id]
		if assigned == nil || assigned.shardName != shardName || !assigned.heldByOwner() ||
			assigned.assignment.RecallRequested || assigned.recordsCopied {
			continue
		}
		assigned.assignment.RecallRequested = true
		c.Log.Info("job recalled", "job", id, "shard", shardName, "reason", "it waits in the shard without any allocation")
		assigned.storeRecord.MarkDirty(now, statestore.PriorityHigh)
	}
}

// heldByOwner reports whether the shard's owner has the job, which is neither ended, being cancelled
// nor handed back.
func (assigned *assignedJob) heldByOwner() bool {
	return assigned.stored && !assigned.handedBack && !assigned.cancelling && assigned.job.State == cluster.Assigned
}

// applyReleasedJobs marks the recalled jobs that an owner has released. A report is authoritative only
// for the version of the assignment that the owner had read: one about an earlier assignment of the
// job to the same shard is ignored.
func (c *Coordinator) applyReleasedJobs(entry shard.Entry, released []shard.ReleasedJob) {
	for _, each := range released {
		assigned := c.assignedJobs[each.Job]
		if assigned == nil || assigned.shardName != entry.Name || assigned.recall != nil || !assigned.heldByOwner() ||
			!assigned.assignment.RecallRequested || assigned.storeRecord.Version() != each.Version {
			continue
		}
		c.Log.Info("recalled job released by its owner", "job", each.Job, "shard", entry.Name)
		assigned.recall = &recall{
			fencedAbove: max(entry.Version, assigned.createdUnder), pendingDeletes: map[string]*statestore.Record{},
		}
	}
}

// reconcileRecalls advances the recalls of all jobs that their owners have released.
func (c *Coordinator) reconcileRecalls(now micro.Time) {
	for _, assigned := range c.assignedJobs {
		entry, ok := c.table().Get(assigned.shardName)
		if assigned.recall != nil && ok && entry.HasOwner() && assigned.heldByOwner() {
			c.reconcileRecall(entry, assigned, now)
		}
	}
}

// reconcileRecall starts the next of steps 3 to 6 of a recall once the previous one is done.
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

// readReleasedJob starts reading the owner's task records of a released job.
func (c *Coordinator) readReleasedJob(assigned *assignedJob) {
	recall := assigned.recall
	recall.readInFlight = true
	go func() {
		items, err := c.readAllocations(shard.AllocationPrefixForJob(assigned.shardName, assigned.job.Spec.ID))
		c.Loop.Post(releasedJobRead{c, assigned, recall, items, err})
	}()
}

// releasedJobRead is the result of reading the owner's task records of a released job.
type releasedJobRead struct {
	coordinator *Coordinator
	assigned    *assignedJob
	recall      *recall
	items       []wire.Item
	err         error
}

// Apply merges the records into the leader's. After an error they are read again by a later
// reconciliation. Nothing is merged if the job was cancelled, ended or reclaimed during the read.
func (e releasedJobRead) Apply() {
	c, assigned := e.coordinator, e.assigned
	e.recall.readInFlight = false
	if e.err != nil {
		c.Log.Debug("read records of released job failed", "job", assigned.job.Spec.ID, "err", e.err)
		return
	}
	current := c.assignedJobs[assigned.job.Spec.ID] == assigned && assigned.job.Shard == assigned.shardName
	if current && assigned.heldByOwner() {
		c.mergeReleasedJob(assigned, e.items)
	}
}

// mergeReleasedJob merges the owner's records of a released job into the leader's, which are written
// before the owner's are deleted.
func (c *Coordinator) mergeReleasedJob(assigned *assignedJob, items []wire.Item) {
	now := c.Now()
	assigned.recall.merged = true
	for _, item := range items {
		c.reclaimAllocation(item, assigned.recall.pendingDeletes, now)
	}
	if assigned.job.AllocationCount > 0 {
		c.Log.Error(
			"owner released a job that has allocations", "job", assigned.job.Spec.ID, "shard", assigned.shardName,
		)
	}
}

// mayDeleteAssignment reports whether only the assignment of a recalled job is left in its shard. It is
// false while the job is being cancelled, since the cancellation involves the shard's owner.
func (assigned *assignedJob) mayDeleteAssignment() bool {
	return assigned.recall != nil && assigned.recall.deleting && !assigned.cancelling
}

// finishRecall returns a recalled job to the leader. Its assignment is deleted, and step 3 ensures
// that no late write can create it again.
func (c *Coordinator) finishRecall(assigned *assignedJob) {
	c.dropAssignment(assigned)
	c.Log.Info(
		"recalled job returned to the leader", "job", assigned.job.Spec.ID, "shard", assigned.shardName,
		"done", assigned.job.DoneTasks, "tasks", len(assigned.job.Tasks),
	)
}

// ownerRecordMerged reports whether the leader's stored record of a chunk includes the owner's: its
// version is later than that of the leader's records from before the assignment.
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
