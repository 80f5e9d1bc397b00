package controller

import (
	"context"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// Jobs that had allocations before they were assigned, and jobs that are recalled. What the
// leader has to do for them is in package coordinator.

// leaderRecords are the leader's records of jobs' tasks, by job.
type leaderRecords map[string][]wire.Item

// readLeaderRecords reads the leader's records of the tasks of a job that goes on in the shard;
// false if the loop was stopped before. Any goroutine may call it.
func (o *ShardOwner) readLeaderRecords(ctx context.Context, job string, into leaderRecords) bool {
	var items []wire.Item
	_, ok := o.reader.ReadAll(ctx, keys.ChunkPrefixFor(job), func(item wire.Item) { items = append(items, item) })
	into[job] = items
	return ok
}

// readHandedOverJobs reads the leader's records of the jobs that events assign, but of those that
// are in read already; false if the loop was stopped before. Any goroutine may call it.
func (o *ShardOwner) readHandedOverJobs(
	ctx context.Context, events []wire.Event, read map[string]bool,
) (leaderRecords, bool) {
	found := leaderRecords{}
	for _, event := range events {
		if event.Delete != "" {
			delete(read, event.Delete)
			continue
		}
		var assignment shard.Assignment
		if err := wire.Unmarshal(event.Value, &assignment); err != nil {
			o.log.Debug("assignment not understood", "key", event.Put, "err", err)
			continue
		}
		if !assignment.ReadsLeaderRecords() || read[event.Put] {
			continue
		}
		if !o.readLeaderRecords(ctx, assignment.Spec().ID, found) {
			return nil, false
		}
		read[event.Put] = true
	}
	return found, true
}

// handedOverJob is a job that goes on from the leader's records up to a revision.
type handedOverJob struct {
	job      *cluster.Job
	revision uint64
}

// restoreHandedOver restores what the leader recorded of a job's tasks, and reports whether all of
// it was there: the record of the revision that the assignment names. Later records are what a
// leader has taken back.
func (o *ShardOwner) restoreHandedOver(continued handedOverJob, items []wire.Item, now micro.Time) (complete bool) {
	chunks := map[int]*cluster.CompactRecord{}
	for _, item := range items {
		_, index, compact, ok := keys.ParseChunk(item.Key)
		version := uint64(item.Version)
		if !ok || !compact || version > continued.revision {
			continue
		}
		record := &cluster.CompactRecord{}
		if err := wire.Unmarshal(item.Value, record); err != nil {
			o.log.Error("leader's record not understood", "key", item.Key, "err", err)
			return false
		}
		chunks[index] = record
		complete = complete || version == continued.revision
	}
	if !complete {
		return false
	}
	for index, record := range chunks {
		o.cluster.RestoreContinuedChunk(continued.job, index, record, now)
	}
	return true
}

// suspendJob keeps a job from being placed whose records are not all there: what is done could be
// done again. It is reported as one that waits, so that the leader recalls it, whose records are.
func (o *ShardOwner) suspendJob(job *cluster.Job, now micro.Time) {
	if o.copies[job] != nil { // it waits already, and what is missing may be deleted
		o.log.Info("job not taken over: the leader's records of its tasks are not all there", "job", job.Spec.ID)
		return
	}
	o.log.Error("job not continued: records of its tasks are missing", "job", job.Spec.ID)
	o.suspended[job] = true
	o.cluster.PrepareTransfer(job, now)
}

// recallJob has a job go back to the leader: none of its tasks is placed any more.
func (o *ShardOwner) recallJob(job *cluster.Job, now micro.Time) {
	if o.recalled[job] {
		return
	}
	o.recalled[job] = true
	o.statusUpdates.urgent = true
	o.log.Info("job recalled", "job", job.Spec.ID, "allocations", job.AllocationCount)
	o.cluster.PrepareTransfer(job, now)
}

// removeRecalledJob forgets a recalled job whose assignment the leader has deleted.
func (o *ShardOwner) removeRecalledJob(key string) {
	_, id, ok := shard.ParseAssignmentKey(key)
	job := o.cluster.Jobs[id]
	if !ok || job == nil || !o.recalled[job] {
		return
	}
	o.removeAssignedJob(id)
	o.log.Info("recalled job taken back by the leader", "job", id)
}

// reportRecalls tells which jobs wait without any allocation, and which recalled ones the leader
// may take back.
func (o *ShardOwner) reportRecalls(report *shard.ShardUpdate, now micro.Time) {
	for job := range o.cluster.PendingJobs {
		if len(report.WaitingJobs) < shard.MaxStatusItems && o.unallocatedTooLong(job, now) {
			report.WaitingJobs = append(report.WaitingJobs, job.Spec.ID)
		}
	}
	for job := range o.suspended {
		if len(report.WaitingJobs) < shard.MaxStatusItems && !o.recalled[job] {
			report.WaitingJobs = append(report.WaitingJobs, job.Spec.ID)
		}
	}
	o.reportCopies(report, now)
	for job := range o.recalled {
		id := job.Spec.ID
		if len(report.ReleasedJobs) < shard.MaxStatusItems && o.mayRelease(job) {
			report.ReleasedJobs = append(
				report.ReleasedJobs, shard.ReleasedJob{Job: id, Version: o.assignments[id].Version()},
			)
		}
	}
}

// unallocatedTooLong reports whether a job with records of its tasks has waited for long without any
// allocation. Others are handed back at once, see deleteFinishedAssignments.
func (o *ShardOwner) unallocatedTooLong(job *cluster.Job, now micro.Time) bool {
	return job.State == cluster.Active && job.AllocationCount == 0 && !job.NeverAllocated() &&
		job.UnallocatedFor(now) > handBackTimeout && o.node.Wall()-o.assignedAt[job.Spec.ID] > handBackTimeout
}

// mayRelease reports whether nothing of a recalled job is left but stored records.
func (o *ShardOwner) mayRelease(job *cluster.Job) bool {
	if job.State != cluster.Assigned || job.AllocationCount > 0 || o.assignments[job.Spec.ID] == nil {
		return false
	}
	_, persisted := o.records.JobRevision(job)
	return persisted
}
