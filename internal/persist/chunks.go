package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/statestore"
)

// ChunkRecord returns the record of a chunk of a job's tasks, and creates it if there is none.
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
			return nil, chunk.MemoryVersion // deleted: the final state of the job replaces it
		}
		if chunk.HandedOver {
			return nil, chunk.MemoryVersion // deleted: the shard owner has its own record
		}
		value := chunk.Record()
		if compact {
			return value.Compact(), chunk.MemoryVersion
		}
		return value, chunk.MemoryVersion
	}
	record.OnCommitted = func(version uint64) {
		if record.Version() == 0 && !chunk.Job.IsTerminal() {
			r.recordDeletionCommitted(chunk, record, version)
			return
		}
		r.cluster.ChunkPersisted(chunk, version)
	}
	r.chunks[chunk] = record
	return record
}

// ChunkRevision returns the version of a chunk's key. It returns false if a write of the chunk is
// pending or uncertain, or if the chunk is stored only in the legacy format.
func (r *Records) ChunkRevision(chunk *cluster.TaskChunk) (revision uint64, persisted bool) {
	persisted = chunk.MemoryVersion <= chunk.StoredVersion && !onlyInLegacyFormat(chunk)
	if record := r.chunks[chunk]; record != nil {
		return record.Version(), persisted && record.Settled()
	}
	return chunk.KeyRevision, persisted
}

// onlyInLegacyFormat reports whether a chunk's tasks are stored in the legacy format, and not yet in
// the compact format.
func onlyInLegacyFormat(chunk *cluster.TaskChunk) bool {
	return chunk.Legacy != nil && !chunk.Stored && !chunk.Legacy.Obsolete()
}

// JobRevision returns the latest version of the keys of a job's chunks, or 0 if there are none. It
// returns false if a write of a chunk is pending or uncertain, or if a chunk is stored only in the
// legacy format.
func (r *Records) JobRevision(job *cluster.Job) (revision uint64, persisted bool) {
	for _, chunk := range job.Chunks {
		chunkRevision, stored := r.ChunkRevision(chunk)
		if !stored {
			return 0, false
		}
		revision = max(revision, chunkRevision)
	}
	return revision, true
}

// PersistJob raises pending writes of a job's chunks to PriorityHigh, and schedules writes in the
// compact format for chunks that are stored only in the legacy format.
func (r *Records) PersistJob(job *cluster.Job) {
	now := r.host.Now()
	for _, chunk := range job.Chunks {
		if onlyInLegacyFormat(chunk) && chunk.MemoryVersion <= chunk.StoredVersion {
			chunk.MemoryVersion++
			r.ChunkRecord(chunk).MarkDirty(now, statestore.PriorityHigh)
		}
		if record := r.chunks[chunk]; record != nil && record.Dirty() {
			record.MarkDirty(now, statestore.PriorityHigh)
		}
	}
}

// LookupChunk returns the record of a chunk, or nil if there is none.
func (r *Records) LookupChunk(chunk *cluster.TaskChunk) *statestore.Record { return r.chunks[chunk] }

// ChunkDirty marks a chunk to be written with low priority. The record of an ended job's chunk is
// deleted instead, unless the role keeps it or the chunk still has allocations.
func (r *Records) ChunkDirty(chunk *cluster.TaskChunk) {
	if !chunk.Job.IsTerminal() {
		r.ChunkRecord(chunk).MarkDirty(r.host.Now(), statestore.PriorityLow)
		return
	}
	if r.role.KeepsChunksOfEndedJobs() || len(chunk.Allocations) > 0 {
		return // deleted once its last allocation is released or, in a shard, the job's assignment is deleted
	}
	record := r.ChunkRecord(chunk)
	r.deleteObsoleteLegacy(chunk.Job)
	record.Defer(r.host.Now())
}

// ChunkUrgent marks a chunk to be written soon because the start of a task waits for the write. The
// write is urgent for jobs of priority level 0.
func (r *Records) ChunkUrgent(chunk *cluster.TaskChunk) {
	priority := statestore.PriorityHigh
	if chunk.Job.PriorityLevel == 0 {
		priority = statestore.PriorityUrgent
	}
	r.ChunkRecord(chunk).MarkDirty(r.host.Now(), priority)
}

// ForgetJob drops the records of a job's chunks from memory. A record with a pending or uncertain
// write stays with the writer.
func (r *Records) ForgetJob(job *cluster.Job) {
	for _, chunk := range job.Chunks {
		if record := r.chunks[chunk]; record != nil && record.Settled() {
			r.Drop(record)
		}
		delete(r.chunks, chunk)
	}
}
