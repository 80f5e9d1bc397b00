package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/statestore"
)

// ChunkRecord finds or makes the record of a chunk of a job's tasks.
func (r *Records) ChunkRecord(chunk *cluster.TaskChunk) *statestore.Record {
	record := r.chunks[chunk]
	if record != nil {
		return record
	}
	compact := r.cluster.CompactRecords
	record = r.Record(r.role.ChunkKey(chunk.Job.Spec.ID, chunk.Index, compact))
	record.SetVersion(chunk.KeyRevision)
	record.Build = func() (any, uint64) {
		if chunk.Job.IsTerminal() && len(chunk.Allocations) == 0 {
			return nil, chunk.MemoryVersion // its end says all there is to know
		}
		value := chunk.Record()
		if compact {
			return value.Compact(), chunk.MemoryVersion
		}
		return value, chunk.MemoryVersion
	}
	record.OnCommitted = func(version uint64) { r.cluster.ChunkPersisted(chunk, version) }
	r.chunks[chunk] = record
	return record
}

// LookupChunk finds the record of a chunk; nil: there is none.
func (r *Records) LookupChunk(chunk *cluster.TaskChunk) *statestore.Record { return r.chunks[chunk] }

// ChunkDirty notes that a chunk must be written.
func (r *Records) ChunkDirty(chunk *cluster.TaskChunk) {
	if !chunk.Job.IsTerminal() {
		r.ChunkRecord(chunk).MarkDirty(r.host.Now(), statestore.PriorityLow)
		return
	}
	if r.role.KeepsChunksOfEndedJobs() || len(chunk.Allocations) > 0 {
		return // goes once its last allocation is released; in a shard, once its assignment has gone
	}
	record := r.ChunkRecord(chunk)
	r.deleteObsoleteLegacy(chunk.Job)
	record.Defer(r.host.Now())
}

// ChunkUrgent notes that a start waits for a chunk.
func (r *Records) ChunkUrgent(chunk *cluster.TaskChunk) {
	priority := statestore.PriorityHigh
	if chunk.Job.PriorityLevel == 0 {
		priority = statestore.PriorityUrgent
	}
	r.ChunkRecord(chunk).MarkDirty(r.host.Now(), priority)
}

// ForgetJob drops what is kept of the records of a job's tasks.
func (r *Records) ForgetJob(job *cluster.Job) {
	for _, chunk := range job.Chunks {
		delete(r.chunks, chunk)
	}
}
