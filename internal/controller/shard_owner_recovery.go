package controller

import (
	"context"
	"errors"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/recovery"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// recoverShard restores the state that the shard's previous owners stored: the jobs assigned to the
// shard and the allocations of their tasks. Transactions of previous owners that are still in flight
// fail, because their preconditions name an older version of the shard record. It returns false if
// the loop was stopped first, or if the compact format is not in use yet.
func (o *ShardOwner) recoverShard(ctx context.Context) bool {
	fleet := recovery.NewFleetRecords(o.records, nil, o.log)
	if _, ok := o.reader.ReadAll(ctx, keys.FleetPrefix, fleet.Restore); !ok {
		return false
	}
	if !o.cluster.CompactRecords {
		o.log.Error("shard failover failed: the compact record format is not in use yet")
		return false
	}
	o.restoreMachineInactivity(ctx)
	now := o.node.Now()
	var assignments []wire.Item
	revision, ok := o.reader.ReadAll(
		ctx, shard.AssignmentPrefixFor(o.name), func(item wire.Item) { assignments = append(assignments, item) },
	)
	if !ok {
		return false
	}
	o.assignmentRevision = revision
	var handedOver []handedOverJob
	for _, item := range assignments {
		if job, assignment := o.applyAssignment(item.Key, item.Value, uint64(item.Version)); job != nil &&
			assignment.ReadsLeaderRecords() {
			handedOver = append(handedOver, handedOverJob{job, assignment.Revision()})
		}
	}
	leaderRecords := leaderRecords{}
	for _, each := range handedOver {
		if !o.readLeaderRecords(ctx, each.job.Spec.ID, leaderRecords) {
			return false
		}
	}
	_, ok = o.reader.ReadAll(
		ctx, shard.AllocationPrefixFor(o.name), func(item wire.Item) { o.restoreAllocation(item, now) },
	)
	if !ok {
		return false
	}
	for _, each := range handedOver {
		o.recoverHandedOver(each, leaderRecords[each.job.Spec.ID], now)
	}
	o.speeds.Apply(o.cluster)
	o.cluster.FinishRestore(now)
	o.resumeStops(now)
	return true
}

// recoverHandedOver restores a handed-over job from the leader's task records, after the shard's own
// records were restored. The shard's own records may be the only ones left if the job has ended or is
// being returned to the leader.
func (o *ShardOwner) recoverHandedOver(handedOver handedOverJob, items []wire.Item, now micro.Time) {
	job := handedOver.job
	if o.recalled[job] {
		return // no further records of it are written in the shard
	}
	complete := o.restoreHandedOver(handedOver, items, now)
	unfinished := job.State == cluster.Active || o.copies[job] != nil
	if !complete && unfinished && job.UnfinishedTasks() > 0 {
		o.suspendJob(job, now)
		return
	}
	o.copyLeaderRecords(job)
}

// resumeStops stops the tasks of cancelled and recalled jobs: their allocations were restored after
// the assignments that request the stop had been applied.
func (o *ShardOwner) resumeStops(now micro.Time) {
	for job := range o.cancelling {
		o.stopAllocations(job, "cancelled", 0, now)
	}
	for job := range o.recalled {
		o.stopAllocations(job, "recalled", job.Spec.CheckpointDurationS, now)
	}
}

// restoreAllocation restores a chunk of a job's tasks from its record.
func (o *ShardOwner) restoreAllocation(item wire.Item, now micro.Time) {
	_, id, chunk, ok := shard.ParseAllocationKey(item.Key)
	job := o.cluster.Jobs[id]
	if !ok || job == nil {
		o.deleteOrphanedAllocation(item)
		return
	}
	var record cluster.CompactRecord
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		o.log.Debug("decode allocation record failed, deleting it", "key", item.Key, "job", id, "err", err)
		o.deleteOrphanedAllocation(item)
		return
	}
	o.cluster.RestoreCompactChunk(job, chunk, &record, uint64(item.Version), now)
}

// deleteOrphanedAllocation deletes an allocation record without an assignment: the previous owner did
// not get to delete it after the assignment, or a late write of that owner created it again.
func (o *ShardOwner) deleteOrphanedAllocation(item wire.Item) {
	o.log.Info("deleting orphaned allocation record", "key", item.Key)
	record := o.records.Record(item.Key)
	record.SetVersion(uint64(item.Version))
	record.Build = func() (any, uint64) { return nil, 0 }
	record.MarkDirty(o.node.Now(), statestore.PriorityBackground)
}

// applyAssignment applies a new or changed assignment of a job. It returns the job if it is new, and the
// decoded assignment.
func (o *ShardOwner) applyAssignment(
	key string, value []byte, version uint64,
) (inserted *cluster.Job, assignment shard.Assignment) {
	_, id, ok := shard.ParseAssignmentKey(key)
	err := wire.Unmarshal(value, &assignment)
	job := o.cluster.Jobs[id]
	// A leader of the previous release omits the job's spec when it rewrites an assignment.
	if !ok || err != nil || job == nil && assignment.Spec().Tasks < 1 {
		o.log.Error("decode assignment failed", "key", key, "err", err)
		return nil, assignment
	}
	record := o.assignmentRecord(key, id)
	record.SetVersion(max(record.Version(), version))
	if job == nil {
		job = o.insertAssignedJob(&assignment)
		inserted = job
	}
	if !assignment.ReadsLeaderRecords() && !assignment.InTransfer() {
		o.completeJobTransfer(job, o.node.Now())
	}
	if assignment.MaxAllocations > job.MaxAllocations {
		job.MaxAllocations = assignment.MaxAllocations
		o.cluster.ScheduleSoon()
	}
	if assignment.StopRequested {
		o.cancelJob(job)
	}
	if assignment.RecallRequested {
		o.recallJob(job, o.node.Now())
	}
	return inserted, assignment
}

// assignmentRecord returns the record of an assignment and creates it if necessary.
func (o *ShardOwner) assignmentRecord(key, job string) *statestore.Record {
	record := o.assignments[job]
	if record == nil {
		record = o.records.Record(key)
		record.Build = func() (any, uint64) { return nil, 0 } // an owner never rewrites it, only deletes it
		record.OnCommitted = func(uint64) { o.removeAssignedJob(job) }
		o.assignments[job] = record
	}
	return record
}

// insertAssignedJob adds the job of a new assignment to the cluster state.
func (o *ShardOwner) insertAssignedJob(assignment *shard.Assignment) *cluster.Job {
	spec := assignment.Spec()
	spec.Dependencies, spec.DependencyChunks = nil, 0 // all dependencies are done
	job := o.intake.InsertJob(spec, o.node.Now(), o.node.Wall())
	if assignment.InTransfer() {
		o.beginJobTransfer(job, o.node.Now())
	}
	o.assignedAt[spec.ID] = micro.Time(assignment.AssignedAt)
	o.log.Info(
		"job assigned", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks,
		"at_once", assignment.MaxAllocations,
	)
	return job
}

// cancelJob stops the tasks of a job that is being cancelled. It requests an urgent status update,
// because the user waits for the leader to report the job as aborted.
func (o *ShardOwner) cancelJob(job *cluster.Job) {
	if o.cancelling[job] || job.IsTerminal() {
		return
	}
	o.cancelling[job] = true
	o.statusUpdates.urgent = true
	o.cluster.BeginAbort(job)
	o.stopAllocations(job, "cancelled", 0, o.node.Now())
}

// stopAllocations stops all allocations of a job with a grace period of graceS seconds.
func (o *ShardOwner) stopAllocations(job *cluster.Job, reason string, graceS float64, now micro.Time) {
	for _, allocation := range job.Allocations() {
		o.cluster.StopAllocation(allocation, reason, graceS, now)
	}
}

// watchAssignments watches the shard's assignments in the store from a revision on, and posts their
// changes to the loop, until the loop is stopped.
func (o *ShardOwner) watchAssignments(ctx context.Context, revision uint64) {
	prefix := shard.AssignmentPrefixFor(o.name)
	recordsRead := map[string]bool{} // keys of the assignments whose jobs' records were read
	for {
		events, err := o.node.Store.Watch(ctx, prefix, revision, shard.WatchTimeout)
		switch {
		case errors.Is(err, store.ErrCompacted):
			// The missed changes cannot be read: a new loop restores the shard from the store.
			o.log.Info("restarting shard", "reason", "the store has compacted changes that were not read")
			o.loop.Stop()
			o.node.shards.Reconcile()
			return
		case err == nil:
			revision = max(revision, uint64(events.Revision))
			records, ok := o.readHandedOverJobs(ctx, events.Events, recordsRead)
			if !ok {
				return
			}
			o.loop.Post(shardAssignmentsChanged{o, events, records})
		}
		if !o.loop.Sleep(shard.WatchPause) {
			return
		}
	}
}

// shardAssignmentsChanged is the event that carries changes of the shard's assignments in the store.
type shardAssignmentsChanged struct {
	owner   *ShardOwner
	events  wire.Events
	records leaderRecords // of the handed-over jobs among them
}

// Apply adds or updates the assigned jobs, and removes recalled jobs that the leader has reclaimed.
func (e shardAssignmentsChanged) Apply() {
	for _, event := range e.events.Events {
		if event.Put != "" {
			e.owner.applyAssignmentChange(event, e.records)
		} else {
			e.owner.removeRecalledJob(event.Delete)
		}
	}
	e.owner.assignmentRevision = max(e.owner.assignmentRevision, uint64(e.events.Revision))
}

// applyAssignmentChange applies a written assignment. A new job that was handed over is restored from
// the leader's task records.
func (o *ShardOwner) applyAssignmentChange(event wire.Event, records leaderRecords) {
	job, assignment := o.applyAssignment(event.Put, event.Value, uint64(event.Version))
	if job == nil || !assignment.ReadsLeaderRecords() || o.recalled[job] {
		return
	}
	now := o.node.Now()
	if !o.restoreHandedOver(handedOverJob{job, assignment.Revision()}, records[job.Spec.ID], now) {
		o.suspendJob(job, now)
		return
	}
	o.copyLeaderRecords(job)
}

// handBackTimeout is how long a job without any allocation may wait in a shard before it is handed
// back to the leader: other owners may have capacity by then.
const handBackTimeout = 30 * micro.Second

// deleteFinishedAssignments deletes the assignments of jobs that have ended and have no allocations
// left in the shard, and hands back jobs that were never allocated within handBackTimeout.
func (o *ShardOwner) deleteFinishedAssignments(now micro.Time) {
	for id, record := range o.assignments {
		job := o.cluster.Jobs[id]
		if job == nil || record.Dirty() {
			continue
		}
		ended := job.IsTerminal() && job.AllocationCount == 0
		unplaced := job.State == cluster.Active && job.NeverAllocated() &&
			o.node.Wall()-o.assignedAt[id] > handBackTimeout
		if unplaced {
			o.log.Info("job handed back", "job", id)
			o.cluster.PrepareTransfer(job, now)
		}
		if ended || unplaced {
			record.MarkDirty(now, statestore.PriorityHigh)
		}
	}
}

// removeAssignedJob removes a job whose assignment is deleted. The task records are deleted only after
// the assignment, because they show which tasks are done: when they were deleted first, the shard's
// next owner took an ended job for one that had never started, and ran it again.
func (o *ShardOwner) removeAssignedJob(id string) {
	if record := o.assignments[id]; record != nil {
		record.ClearDirty() // otherwise the job's next assignment to the shard would be deleted
		o.records.Drop(record)
	}
	delete(o.assignments, id)
	delete(o.assignedAt, id)
	job := o.cluster.Jobs[id]
	if job == nil {
		return
	}
	delete(o.cluster.Jobs, id)
	delete(o.finished, job)
	delete(o.cancelling, job)
	delete(o.recalled, job)
	delete(o.suspended, job)
	delete(o.copies, job)
	o.intake.Forget(id)
	if job.IsTerminal() {
		for _, chunk := range job.Chunks {
			o.records.ChunkRecord(chunk).MarkDirty(o.node.Now(), statestore.PriorityLow)
		}
	}
	o.records.ForgetJob(job)
	o.speeds.DropSamples(id)
}
