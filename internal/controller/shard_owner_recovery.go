package controller

import (
	"context"
	"errors"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// shardAllocation is the record of a chunk of a job's tasks in a share, as it was read.
type shardAllocation struct {
	chunkIndex int
	record     cluster.CompactRecord
	version    uint64
}

// recoverShard reads what the share's earlier owners left: the jobs that were assigned to
// it, and where their tasks have places. What an earlier owner sent and is still on its
// way fails: it carries an older version of the share's record.
func (l *Leader) recoverShard(ctx context.Context) bool {
	if _, ok := l.readAll(ctx, keys.FleetPrefix, l.restoreFleet); !ok {
		return false
	}
	if !l.cluster.CompactRecords {
		l.log.Error("share not taken over: the forms of this version are not in use yet")
		return false
	}
	now := l.node.Now()
	var assignments []wire.Item
	revision, ok := l.readAll(
		ctx, shard.AssignmentPrefixFor(l.owner.name), func(item wire.Item) { assignments = append(assignments, item) },
	)
	if !ok {
		return false
	}
	l.owner.assignmentRevision = revision
	for _, item := range assignments {
		l.applyAssignment(item.Key, item.Value, uint64(item.Version))
	}
	_, ok = l.readAll(
		ctx, shard.AllocationPrefixFor(l.owner.name), func(item wire.Item) { l.restoreAllocation(item, now) },
	)
	if !ok {
		return false
	}
	l.speeds.Apply(l.cluster)
	l.cluster.FinishRestore(now)
	for job := range l.owner.cancelling {
		l.stopAllocations(job, now) // read after it was known that the job is to be stopped
	}
	l.recovered = true
	return true
}

// parseAllocation reads a record of places in a share.
func parseAllocation(item wire.Item) (job string, allocation shardAllocation, ok bool) {
	_, job, chunk, ok := shard.ParseAllocationKey(item.Key)
	allocation = shardAllocation{chunkIndex: chunk, version: uint64(item.Version)}
	return job, allocation, ok && wire.Unmarshal(item.Value, &allocation.record) == nil
}

func (l *Leader) restoreAllocation(item wire.Item, now micro.Time) {
	id, allocation, ok := parseAllocation(item)
	j := l.cluster.Jobs[id]
	if !ok || j == nil {
		l.deleteOrphanedAllocation(item)
		return
	}
	l.cluster.RestoreCompactChunk(j, allocation.chunkIndex, &allocation.record, allocation.version, now)
}

// deleteOrphanedAllocation deletes a record that an earlier owner had no time to delete after its
// assignment, or that a late write of it created again.
func (l *Leader) deleteOrphanedAllocation(item wire.Item) {
	l.log.Info("allocation without an assignment", "key", item.Key)
	record := l.records.Record(item.Key)
	record.SetVersion(uint64(item.Version))
	record.Build = func() (any, uint64) { return nil, 0 }
	record.MarkDirty(l.node.Now(), statestore.PriorityBackground)
}

// applyAssignment takes in a job that the leader assigned, or what became of it.
func (l *Leader) applyAssignment(key string, value []byte, version uint64) {
	var assignment shard.Assignment
	_, id, ok := shard.ParseAssignmentKey(key)
	if !ok || wire.Unmarshal(value, &assignment) != nil || assignment.Job.Tasks < 1 {
		l.log.Error("assignment not understood", "key", key)
		return
	}
	record := l.owner.assignments[id]
	if record == nil {
		record = l.records.Record(key)
		record.Build = func() (any, uint64) { return nil, 0 } // an owner only ever deletes it
		record.OnCommitted = func(uint64) { l.removeAssignedJob(id) }
		l.owner.assignments[id] = record
	}
	record.SetVersion(max(record.Version(), version))
	job := l.cluster.Jobs[id]
	if job == nil {
		assignment.Job.Dependencies, assignment.Job.DependencyChunks = nil, 0 // all of them are done
		job = l.insertJob(assignment.Job, l.node.Now(), l.node.Wall())
		l.owner.assignedAt[id] = micro.Time(assignment.AssignedAt)
		l.log.Info(
			"job assigned", "job", id, "class", assignment.Job.Class, "tasks", assignment.Job.Tasks, "at_once",
			assignment.MaxAllocations,
		)
	}
	if assignment.MaxAllocations > job.MaxAllocations {
		job.MaxAllocations = assignment.MaxAllocations
		l.cluster.ScheduleSoon()
	}
	if assignment.StopRequested {
		l.cancelAssigned(job)
	}
}

// cancelAssigned stops the tasks of a job that is being withdrawn. The leader is told at
// once: its user waits.
func (l *Leader) cancelAssigned(j *cluster.Job) {
	if l.owner.cancelling[j] || j.IsTerminal() {
		return
	}
	l.owner.cancelling[j] = true
	l.owner.reportUrgent = true
	l.cluster.BeginAbort(j)
	l.stopAllocations(j, l.node.Now())
}

// stopAllocations tells all tasks of a withdrawn job to stop.
func (l *Leader) stopAllocations(j *cluster.Job, now micro.Time) {
	for _, p := range j.Allocations() {
		l.cluster.StopAllocation(p, "withdrawn", 0, now)
	}
}

// watchAssignments follows the share's assignments.
func (l *Leader) watchAssignments(ctx context.Context, revision uint64) {
	prefix := shard.AssignmentPrefixFor(l.owner.name)
	for {
		events, err := l.node.Store.Watch(ctx, prefix, revision, shard.WatchTimeout)
		switch {
		case errors.Is(err, store.ErrCompacted):
			// What was missed cannot be read as changes: the share is loaded anew.
			l.log.Info("share given up", "why", "the store's history is too short to follow")
			l.loop.Stop()
			l.node.reconcileOwners()
			return
		case err == nil:
			revision = max(revision, uint64(events.Revision))
			l.post(func() { l.applyAssignmentEvents(events) })
		}
		if !l.loop.Sleep(shard.WatchPause) {
			return
		}
	}
}

func (l *Leader) applyAssignmentEvents(events wire.Events) {
	for _, e := range events.Events {
		if e.Put != "" {
			l.applyAssignment(e.Put, e.Value, uint64(e.Version))
		}
	}
	l.owner.assignmentRevision = max(l.owner.assignmentRevision, uint64(events.Revision))
}

// How long a job may wait in a share without ever having had a place before it is handed
// back: there may be room elsewhere by now.
const handBackTimeout = 30 * micro.Second

// deleteFinishedAssignments deletes the assignments of jobs that are over and of which nothing is
// left in the share, and of those that found no room in it.
func (l *Leader) deleteFinishedAssignments(now micro.Time) {
	for id, record := range l.owner.assignments {
		job := l.cluster.Jobs[id]
		if job == nil || record.Dirty() {
			continue
		}
		over := job.IsTerminal() && job.AllocationCount == 0
		unplaced := job.State == cluster.Active && job.NeverAllocated() &&
			l.node.Wall()-l.owner.assignedAt[id] > handBackTimeout
		if unplaced {
			l.log.Info("job handed back", "job", id)
			l.cluster.PrepareTransfer(job)
		}
		if over || unplaced {
			record.MarkDirty(now, statestore.PriorityHigh)
		}
	}
}

// removeAssignedJob forgets a job whose assignment is deleted. Only then do the records of its
// tasks go: they say that they are done. Deleted first, they once left a job that was
// over to the share's next owner as one that had never begun, and it ran again.
func (l *Leader) removeAssignedJob(id string) {
	delete(l.owner.assignments, id)
	delete(l.owner.assignedAt, id)
	job := l.cluster.Jobs[id]
	if job == nil {
		return
	}
	delete(l.cluster.Jobs, id)
	delete(l.owner.finished, job)
	delete(l.owner.cancelling, job)
	l.knownJobs.Delete(id)
	if job.IsTerminal() {
		for _, chunk := range job.Chunks {
			l.records.ChunkRecord(chunk).MarkDirty(l.node.Now(), statestore.PriorityLow)
		}
	}
	l.records.ForgetJob(job)
	l.speeds.DropSamples(id)
}
