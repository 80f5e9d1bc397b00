package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/statestore"
)

// DeleteHandedOver has the records of a job's chunks deleted: the owner of its shard has its own by
// now. It reports whether none is left.
func (r *Records) DeleteHandedOver(job *cluster.Job) (gone bool) {
	gone = true
	for _, chunk := range job.Chunks {
		if !r.legacyDeleted(chunk) || !r.handedOverRecordDeleted(chunk) {
			gone = false
		}
	}
	return gone
}

// legacyDeleted reports whether no record in the first form is left that a chunk comes from. Left
// behind, one would bring the job's earlier progress back once the chunk's own is deleted.
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

// handedOverRecordDeleted reports whether the record of a chunk is deleted, and has that done if it is not.
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

// absentFromStore reports whether a record is not in the store, and no write of it may bring it back.
func absentFromStore(record *statestore.Record) bool { return record.AbsentAtLastRead() && record.Settled() }

// recordDeletionCommitted takes in that the record of a chunk was deleted.
func (r *Records) recordDeletionCommitted(chunk *cluster.TaskChunk, record *statestore.Record, memoryVersion uint64) {
	chunk.Stored, chunk.KeyRevision = false, 0
	chunk.StoredVersion = max(chunk.StoredVersion, memoryVersion)
	if !record.Dirty() {
		delete(r.chunks, chunk)
	}
}
