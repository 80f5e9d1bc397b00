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
		if chunk.HandedOver {
			return nil, chunk.MemoryVersion // the owner of its shard has a record of its own
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

// ChunkRevision is the version of a chunk's key; false: something of the chunk is still to be
// written, or uncertain, or is in the first form alone.
func (r *Records) ChunkRevision(chunk *cluster.TaskChunk) (revision uint64, persisted bool) {
	persisted = chunk.MemoryVersion <= chunk.StoredVersion && !onlyInLegacyFormat(chunk)
	if record := r.chunks[chunk]; record != nil {
		return record.Version(), persisted && record.Settled()
	}
	return chunk.KeyRevision, persisted
}

// onlyInLegacyFormat reports whether a chunk's tasks are stored in the first form, and not yet in
// the compact one.
func onlyInLegacyFormat(chunk *cluster.TaskChunk) bool {
	return chunk.Legacy != nil && !chunk.Stored && !chunk.Legacy.Obsolete()
}

// JobRevision is the latest version of the keys of a job's chunks, 0 if there are none; false if
// something of them is still to be written, or uncertain.
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

// PersistJob has what is still to be written of a job's chunks written soon, in the compact form.
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
		if record := r.chunks[chunk]; record != nil && record.Settled() {
			r.Drop(record)
		}
		delete(r.chunks, chunk)
	}
}
