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

// recoverShard reads what the shard's earlier owners left: the jobs that were assigned to
// it, and where their tasks have allocations. What an earlier owner sent and is still on its
// way fails: it carries an older version of the shard's record.
func (o *ShardOwner) recoverShard(ctx context.Context) bool {
	fleet := recovery.NewFleetRecords(o.records, nil, o.log)
	if _, ok := o.reader.ReadAll(ctx, keys.FleetPrefix, fleet.Restore); !ok {
		return false
	}
	if !o.cluster.CompactRecords {
		o.log.Error("shard not taken over: the forms of this version are not in use yet")
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
	var continued []handedOverJob
	for _, item := range assignments {
		if job, assignment := o.applyAssignment(item.Key, item.Value, uint64(item.Version)); job != nil &&
			assignment.ReadsLeaderRecords() {
			continued = append(continued, handedOverJob{job, assignment.Revision()})
		}
	}
	leaderRecords := leaderRecords{}
	for _, each := range continued {
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
	for _, each := range continued {
		o.recoverHandedOver(each, leaderRecords[each.job.Spec.ID], now)
	}
	o.speeds.Apply(o.cluster)
	o.cluster.FinishRestore(now)
	o.resumeStops(now)
	return true
}

// recoverHandedOver restores what the leader recorded of a job's tasks, after the shard's own
// records. Those may be all that is left once the job is over, or is going back.
func (o *ShardOwner) recoverHandedOver(continued handedOverJob, items []wire.Item, now micro.Time) {
	job := continued.job
	if o.recalled[job] {
		return // nothing more of it is recorded here
	}
	complete := o.restoreHandedOver(continued, items, now)
	waits := job.State == cluster.Active || o.copies[job] != nil
	if !complete && waits && job.UnfinishedTasks() > 0 {
		o.suspendJob(job, now)
		return
	}
	o.copyLeaderRecords(job)
}

// resumeStops stops the tasks of cancelled and recalled jobs: their allocations were read after it
// was known that they are to be stopped.
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
		o.log.Debug("allocation record not understood", "key", item.Key, "job", id, "err", err)
		o.deleteOrphanedAllocation(item)
		return
	}
	o.cluster.RestoreCompactChunk(job, chunk, &record, uint64(item.Version), now)
}

// deleteOrphanedAllocation deletes a record that an earlier owner had no time to delete after its
// assignment, or that a late write of it created again.
func (o *ShardOwner) deleteOrphanedAllocation(item wire.Item) {
	o.log.Info("allocation without an assignment", "key", item.Key)
	record := o.records.Record(item.Key)
	record.SetVersion(uint64(item.Version))
	record.Build = func() (any, uint64) { return nil, 0 }
	record.MarkDirty(o.node.Now(), statestore.PriorityBackground)
}

// applyAssignment takes in a job that the leader assigned, or what became of it. It returns the
// job if it is new.
func (o *ShardOwner) applyAssignment(
	key string, value []byte, version uint64,
) (inserted *cluster.Job, assignment shard.Assignment) {
	_, id, ok := shard.ParseAssignmentKey(key)
	err := wire.Unmarshal(value, &assignment)
	job := o.cluster.Jobs[id]
	// A leader of the version before leaves the job out of an assignment that it writes anew.
	if !ok || err != nil || job == nil && assignment.Spec().Tasks < 1 {
		o.log.Error("assignment not understood", "key", key, "err", err)
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

// assignmentRecord finds or makes the record of an assignment.
func (o *ShardOwner) assignmentRecord(key, job string) *statestore.Record {
	record := o.assignments[job]
	if record == nil {
		record = o.records.Record(key)
		record.Build = func() (any, uint64) { return nil, 0 } // an owner only ever deletes it
		record.OnCommitted = func(uint64) { o.removeAssignedJob(job) }
		o.assignments[job] = record
	}
	return record
}

func (o *ShardOwner) insertAssignedJob(assignment *shard.Assignment) *cluster.Job {
	spec := assignment.Spec()
	spec.Dependencies, spec.DependencyChunks = nil, 0 // all of them are done
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

// cancelJob stops the tasks of a job that is being cancelled. The leader is told at
// once: its user waits.
func (o *ShardOwner) cancelJob(j *cluster.Job) {
	if o.cancelling[j] || j.IsTerminal() {
		return
	}
	o.cancelling[j] = true
	o.statusUpdates.urgent = true
	o.cluster.BeginAbort(j)
	o.stopAllocations(j, "cancelled", 0, o.node.Now())
}

// stopAllocations tells all tasks of a job to stop, with so many seconds to do so.
func (o *ShardOwner) stopAllocations(job *cluster.Job, reason string, graceS float64, now micro.Time) {
	for _, allocation := range job.Allocations() {
		o.cluster.StopAllocation(allocation, reason, graceS, now)
	}
}

// watchAssignments follows the shard's assignments.
func (o *ShardOwner) watchAssignments(ctx context.Context, revision uint64) {
	prefix := shard.AssignmentPrefixFor(o.name)
	continuedRead := map[string]bool{} // assignments whose jobs' records were read
	for {
		events, err := o.node.Store.Watch(ctx, prefix, revision, shard.WatchTimeout)
		switch {
		case errors.Is(err, store.ErrCompacted):
			// What was missed cannot be read as changes: the shard is loaded anew.
			o.log.Info("shard given up", "reason", "the store's history is too short to follow")
			o.loop.Stop()
			o.node.shards.Reconcile()
			return
		case err == nil:
			revision = max(revision, uint64(events.Revision))
			records, ok := o.readHandedOverJobs(ctx, events.Events, continuedRead)
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

// shardAssignmentsChanged brings changes of the shard's assignments in the store.
type shardAssignmentsChanged struct {
	owner   *ShardOwner
	events  wire.Events
	records leaderRecords // of the jobs among them that go on
}

// Apply takes in what the leader assigned, and what it has taken back.
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

// applyAssignmentChange takes in one assignment; a new job goes on from the leader's records of it.
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

// How long a job may wait in a shard without ever having had an allocation before it is handed
// back: there may be capacity elsewhere by now.
const handBackTimeout = 30 * micro.Second

// deleteFinishedAssignments deletes the assignments of jobs that are over and of which nothing is
// left in the shard, and of those that found no capacity in it.
func (o *ShardOwner) deleteFinishedAssignments(now micro.Time) {
	for id, record := range o.assignments {
		job := o.cluster.Jobs[id]
		if job == nil || record.Dirty() {
			continue
		}
		over := job.IsTerminal() && job.AllocationCount == 0
		unplaced := job.State == cluster.Active && job.NeverAllocated() &&
			o.node.Wall()-o.assignedAt[id] > handBackTimeout
		if unplaced {
			o.log.Info("job handed back", "job", id)
			o.cluster.PrepareTransfer(job, now)
		}
		if over || unplaced {
			record.MarkDirty(now, statestore.PriorityHigh)
		}
	}
}

// removeAssignedJob forgets a job whose assignment is deleted. Only then do the records of its
// tasks go: they say that they are done. Deleted first, they once left a job that was
// over to the shard's next owner as one that had never begun, and it ran again.
func (o *ShardOwner) removeAssignedJob(id string) {
	if record := o.assignments[id]; record != nil {
		record.ClearDirty() // else the job's next assignment to the shard would be deleted
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
