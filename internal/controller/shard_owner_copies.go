package controller

import (
	"maps"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
)

// A handed-over job has task records of the leader's. The owner copies them to records of its own before
// it schedules any of the job's tasks. The leader's part is in package coordinator, hand_over.go.

// copyProgress is the progress of copying the leader's task records of one handed-over job.
type copyProgress struct {
	transferStartedAt micro.Time                    // when this loop began the transfer or the copying
	read              bool                          // all of the leader's records were read
	pending           map[*cluster.TaskChunk]uint64 // versions of the chunks that are still to be stored
	inTransfer        bool                          // the job is in transfer: its tasks are not scheduled
}

// beginJobTransfer adds a job that is in transfer and blocks its scheduling.
func (o *ShardOwner) beginJobTransfer(job *cluster.Job, now micro.Time) {
	o.copies[job] = &copyProgress{transferStartedAt: now, inTransfer: true}
	o.cluster.PrepareTransfer(job, now)
}

// copyLeaderRecords schedules the writes of the owner's records that replace the leader's task records
// of a job. All of the leader's records must have been read.
func (o *ShardOwner) copyLeaderRecords(job *cluster.Job) {
	now, priority := o.node.Now(), statestore.PriorityHigh
	if o.copies[job] == nil { // not in transfer: its tasks are scheduled meanwhile
		o.copies[job], priority = &copyProgress{transferStartedAt: now}, statestore.PriorityLow
	}
	progress := o.copies[job]
	progress.read, progress.pending = true, map[*cluster.TaskChunk]uint64{}
	for _, chunk := range job.Chunks {
		if chunk.MemoryVersion > chunk.StoredVersion {
			progress.pending[chunk] = chunk.MemoryVersion
			o.records.ChunkRecord(chunk).MarkDirty(now, priority)
		}
	}
}

// completeJobTransfer resumes scheduling a job whose handover is complete: its assignment no longer
// refers to records of the leader's.
func (o *ShardOwner) completeJobTransfer(job *cluster.Job, now micro.Time) {
	progress := o.copies[job]
	if progress == nil {
		return
	}
	delete(o.copies, job)
	if progress.inTransfer && !o.recalled[job] {
		o.log.Info("job handed over", "job", job.Spec.ID, "done", job.DoneTasks)
		o.cluster.ResumeScheduling(job, now)
	}
}

// reportCopies adds to the status update the jobs whose records are fully copied, and as waiting jobs
// those in transfer whose records could not be read or whose handover did not complete within
// handBackTimeout: the leader recalls these.
func (o *ShardOwner) reportCopies(report *shard.ShardUpdate, now micro.Time) {
	for job, progress := range o.copies {
		id := job.Spec.ID
		if o.recalled[job] || o.cancelling[job] || o.assignments[id] == nil {
			continue
		}
		if progress.stored() && len(report.CopiedJobs) < shard.MaxStatusItems {
			report.CopiedJobs = append(
				report.CopiedJobs, shard.CopiedJob{Job: id, Version: o.assignments[id].Version()},
			)
		}
		failed := !progress.read || now-progress.transferStartedAt > handBackTimeout
		if progress.inTransfer && failed && len(report.WaitingJobs) < shard.MaxStatusItems {
			report.WaitingJobs = append(report.WaitingJobs, id)
		}
	}
}

// stored reports whether the owner's copies of all of the leader's records are stored.
func (c *copyProgress) stored() bool {
	maps.DeleteFunc(c.pending, func(chunk *cluster.TaskChunk, version uint64) bool {
		return chunk.StoredVersion >= version
	})
	return c.read && len(c.pending) == 0
}
