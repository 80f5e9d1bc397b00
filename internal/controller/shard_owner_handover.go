package controller

import (
	"context"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// This file handles handed-over jobs, which the owner continues from the leader's task records, and jobs
// that the leader recalls. The leader's part is in package coordinator.

// leaderRecords holds the leader's task records, by job ID.
type leaderRecords map[string][]wire.Item

// readLeaderRecords reads the leader's task records of a handed-over job. It returns false if the loop
// was stopped first. It is safe for concurrent use.
func (o *ShardOwner) readLeaderRecords(ctx context.Context, job string, into leaderRecords) bool {
	var items []wire.Item
	_, ok := o.reader.ReadAll(ctx, keys.ChunkPrefixFor(job), func(item wire.Item) { items = append(items, item) })
	into[job] = items
	return ok
}

// readHandedOverJobs reads the leader's task records of the jobs that are assigned by events, except
// those in read, to which it adds the assignments it has handled. It returns false if the loop was
// stopped first. It must be called on the goroutine that uses read.
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
			o.log.Debug("decode assignment failed", "key", event.Put, "err", err)
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

// handedOverJob is a job that is restored from the leader's task records up to a revision.
type handedOverJob struct {
	job      *cluster.Job
	revision uint64
}

// restoreHandedOver restores a job's tasks from the leader's records, and reports whether the records
// are complete, that is, whether they include one of the revision that the assignment names. Records
// of later revisions are ignored: the leader wrote them after it had reclaimed the job.
func (o *ShardOwner) restoreHandedOver(handedOver handedOverJob, items []wire.Item, now micro.Time) (complete bool) {
	chunks := map[int]*cluster.CompactRecord{}
	for _, item := range items {
		_, index, compact, ok := keys.ParseChunk(item.Key)
		version := uint64(item.Version)
		if !ok || !compact || version > handedOver.revision {
			continue
		}
		record := &cluster.CompactRecord{}
		if err := wire.Unmarshal(item.Value, record); err != nil {
			o.log.Error("decode leader's task record failed", "key", item.Key, "err", err)
			return false
		}
		chunks[index] = record
		complete = complete || version == handedOver.revision
	}
	if !complete {
		return false
	}
	for index, record := range chunks {
		o.cluster.RestoreContinuedChunk(handedOver.job, index, record, now)
	}
	return true
}

// suspendJob stops scheduling a job whose task records are incomplete: tasks that are already done
// could run again. The job is reported as waiting, so that the leader, which has all records, recalls
// it. A job in transfer is not scheduled anyway; reportCopies reports it.
func (o *ShardOwner) suspendJob(job *cluster.Job, now micro.Time) {
	if o.copies[job] != nil { // in transfer, so not scheduled; the missing records may have been deleted
		o.log.Info("handed-over job not continued: the leader's task records are incomplete", "job", job.Spec.ID)
		return
	}
	o.log.Error("job suspended: task records are missing", "job", job.Spec.ID)
	o.suspended[job] = true
	o.cluster.PrepareTransfer(job, now)
}

// recallJob starts the release of a job that the leader recalls: its tasks are stopped and no longer
// scheduled.
func (o *ShardOwner) recallJob(job *cluster.Job, now micro.Time) {
	if o.recalled[job] {
		return
	}
	o.recalled[job] = true
	o.statusUpdates.urgent = true
	o.log.Info("job recalled", "job", job.Spec.ID, "allocations", job.AllocationCount)
	o.cluster.PrepareTransfer(job, now)
}

// removeRecalledJob removes a recalled job whose assignment the leader has deleted.
func (o *ShardOwner) removeRecalledJob(key string) {
	_, id, ok := shard.ParseAssignmentKey(key)
	job := o.cluster.Jobs[id]
	if !ok || job == nil || !o.recalled[job] {
		return
	}
	o.removeAssignedJob(id)
	o.log.Info("recalled job reclaimed by the leader", "job", id)
}

// reportRecalls adds to the status update the jobs that wait without any allocation and the recalled
// jobs that the leader may reclaim.
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

// unallocatedTooLong reports whether a started job has waited for longer than handBackTimeout
// without any allocation. Jobs that were never allocated are handed back without a recall, see
// deleteFinishedAssignments.
func (o *ShardOwner) unallocatedTooLong(job *cluster.Job, now micro.Time) bool {
	return job.State == cluster.Active && job.AllocationCount == 0 && !job.NeverAllocated() &&
		job.UnallocatedFor(now) > handBackTimeout && o.node.Wall()-o.assignedAt[job.Spec.ID] > handBackTimeout
}

// mayRelease reports whether a recalled job can be released to the leader: it has no allocations, and
// its task records are stored.
func (o *ShardOwner) mayRelease(job *cluster.Job) bool {
	if job.State != cluster.Assigned || job.AllocationCount > 0 || o.assignments[job.Spec.ID] == nil {
		return false
	}
	_, persisted := o.records.JobRevision(job)
	return persisted
}
