package controller

import (
	"maps"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
)

// Jobs that come to a shard with records of the leader's: the owner copies those before it places
// any of the job's tasks. The leader's part is in package coordinator, hand_over.go.

// copyProgress is how far an owner is with the records of a job that came with records of the leader's.
type copyProgress struct {
	transferStartedAt micro.Time                    // when the job came
	read              bool                          // all of the leader's records were read
	pending           map[*cluster.TaskChunk]uint64 // which versions of the owner's records hold them, until they are stored
	inTransfer        bool                          // the job changes hands: none of its tasks is placed
}

// beginJobTransfer notes that a job came that changes hands, and keeps it from being placed.
func (o *ShardOwner) beginJobTransfer(job *cluster.Job, now micro.Time) {
	o.copies[job] = &copyProgress{transferStartedAt: now, inTransfer: true}
	o.cluster.PrepareTransfer(job, now)
}

// copyLeaderRecords has the owner's own records take the place of the leader's, all of which were read.
func (o *ShardOwner) copyLeaderRecords(job *cluster.Job) {
	now, priority := o.node.Now(), statestore.PriorityHigh
	if o.copies[job] == nil { // it goes on meanwhile
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

// completeJobTransfer goes on with a job that has changed hands: its assignment names no records of the
// leader's any more.
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

// reportCopies tells of which jobs the owner's records hold all that the leader's do, and which it
// cannot take over, or waits for in vain: they go back.
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
		inVain := !progress.read || now-progress.transferStartedAt > handBackTimeout
		if progress.inTransfer && inVain && len(report.WaitingJobs) < shard.MaxStatusItems {
			report.WaitingJobs = append(report.WaitingJobs, id)
		}
	}
}

// stored reports whether the store holds all of the leader's records in the owner's.
func (c *copyProgress) stored() bool {
	maps.DeleteFunc(c.pending, func(chunk *cluster.TaskChunk, version uint64) bool {
		return chunk.StoredVersion >= version
	})
	return c.read && len(c.pending) == 0
}
