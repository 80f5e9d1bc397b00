package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/statestore"
)

// DeleteHandedOver schedules the deletion of the records of a handed-over job's chunks, of which the
// shard owner has its own copy by now. It reports whether all of them are deleted.
func (r *Records) DeleteHandedOver(job *cluster.Job) (deleted bool) {
	deleted = true
	for _, chunk := range job.Chunks {
		if !r.legacyDeleted(chunk) || !r.handedOverRecordDeleted(chunk) {
			deleted = false
		}
	}
	return deleted
}

// legacyDeleted reports whether the legacy record that a chunk was migrated from is deleted, and
// schedules its deletion if it is not. A legacy record that remained after the deletion of the
// chunk's own record would restore an earlier state of the job's tasks.
func (r *Records) legacyDeleted(chunk *cluster.TaskChunk) bool {
	legacy := chunk.Legacy
	if legacy == nil {
		return true
	}
	if !legacy.Obsolete() {
		return false
	}
	record := r.legacyRecords[legacy]
	switch {
	case record == nil && legacy.KeyRevision > 0:
		r.LegacyRecordSuperseded(legacy)
		return false
	case record != nil && !absentFromStore(record):
		record.MarkDirty(r.host.Now(), statestore.PriorityHigh)
		return false
	}
	chunk.Legacy = nil
	return true
}

// handedOverRecordDeleted reports whether the record of a chunk is deleted, and schedules its
// deletion if it is not.
func (r *Records) handedOverRecordDeleted(chunk *cluster.TaskChunk) bool {
	if chunk.Legacy != nil {
		return false
	}
	record := r.chunks[chunk]
	if !chunk.Stored && (record == nil || absentFromStore(record)) {
		return true
	}
	chunk.HandedOver = true
	r.ChunkRecord(chunk).MarkDirty(r.host.Now(), statestore.PriorityHigh)
	return false
}

// absentFromStore reports whether a record is not in the store and no outstanding write can create it.
func absentFromStore(record *statestore.Record) bool {
	return record.AbsentAtLastRead() && record.Settled()
}

// recordDeletionCommitted records that the record of a chunk was deleted from the store.
func (r *Records) recordDeletionCommitted(chunk *cluster.TaskChunk, record *statestore.Record, memoryVersion uint64) {
	chunk.Stored, chunk.KeyRevision = false, 0
	chunk.StoredVersion = max(chunk.StoredVersion, memoryVersion)
	if !record.Dirty() {
		delete(r.chunks, chunk)
	}
}
