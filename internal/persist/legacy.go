package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/statestore"
)

// The records of tasks in the first form, that of version 1: a key run/JOB/N for so many
// tasks. Until the format gate opens they are written, since nodes of version 1 may lead
// next; once it is open they are read, replaced by chunks in the compact form and deleted.
//
// This file, and with it what cluster.LegacyRecord and keys.LegacyChunk serve, can go once
// no site starts from the data of version 1: when each site's fleet/format is version 2 or
// later and none has a key run/JOB/N left, the first version that refuses to lead a site
// whose gate is shut does without it.

// ChunkMigrated notes that a chunk's record in the first form stands for chunks of the
// compact one until they are stored: it turns the record into one that only deletes the
// key, in its time. A write of it may be under way: whatever comes of that, the record
// stays until its time has come.
func (r *Records) ChunkMigrated(chunk *cluster.TaskChunk, legacy *cluster.LegacyRecord) {
	record := r.chunks[chunk]
	delete(r.chunks, chunk)
	if record == nil {
		if legacy.KeyRevision == 0 {
			legacy.PendingChunks = 0 // never written
			return
		}
		record = r.newLegacyRecord(legacy)
	}
	record.ClearDirty()
	record.OnCommitted = func(uint64) {}
	record.Build = deleteOnceObsolete(legacy)
	r.legacyRecords[legacy] = record
}

// LegacyRecordSuperseded deletes a record in the first form when there is time, if nothing
// depends on it any more.
func (r *Records) LegacyRecordSuperseded(legacy *cluster.LegacyRecord) {
	if legacy == nil {
		return
	}
	record := r.legacyRecords[legacy]
	if record == nil {
		record = r.newLegacyRecord(legacy)
		r.legacyRecords[legacy] = record
		record.Build = deleteOnceObsolete(legacy)
	}
	if legacy.Obsolete() {
		record.MarkDirty(r.host.Now(), statestore.PriorityBackground)
	}
}

// deleteObsoleteLegacy deletes the records in the first form that a job which has ended needs
// no more.
func (r *Records) deleteObsoleteLegacy(job *cluster.Job) {
	for _, chunk := range job.Chunks {
		if chunk.Legacy != nil && chunk.Legacy.Obsolete() {
			r.LegacyRecordSuperseded(chunk.Legacy)
			chunk.Legacy = nil
		}
	}
}

func (r *Records) newLegacyRecord(legacy *cluster.LegacyRecord) *statestore.Record {
	record := r.Record(keys.LegacyChunk(legacy.Job.Spec.ID, legacy.Index))
	record.SetVersion(legacy.KeyRevision)
	return record
}

// deleteOnceObsolete builds the deletion of a record in the first form.
func deleteOnceObsolete(legacy *cluster.LegacyRecord) func() (any, uint64) {
	return func() (any, uint64) {
		if !legacy.Obsolete() {
			return statestore.NotReady, 0
		}
		return nil, 0
	}
}
