package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/statestore"
)

// This file handles the chunk records in the legacy format of version 1, which have a key run/JOB/N
// per fixed number of tasks. They are written until the format gate opens, because a node of version
// 1 may become the next leader. Once the gate is open, they are read, replaced by chunks in the
// compact format and deleted.
//
// This file, cluster.LegacyRecord and keys.LegacyChunk can be removed in the first version that
// refuses to lead a site whose gate is closed, once no site starts from the data of version 1: the
// fleet/format of each site is version 2 or later, and no site has a key run/JOB/N left.

// ChunkMigrated registers that a chunk's legacy record holds the content of compact chunks until
// these are stored. From then on, the record only deletes the key once it is obsolete. A write of
// the record may be in flight; whatever its outcome, the record remains until it is obsolete.
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

// LegacyRecordSuperseded schedules the deletion of a legacy record with background priority if no
// chunk depends on it any more.
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

// deleteObsoleteLegacy schedules the deletion of the obsolete legacy records of an ended job.
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

// deleteOnceObsolete returns a Build function that deletes a legacy record once it is obsolete, and
// writes nothing before that.
func deleteOnceObsolete(legacy *cluster.LegacyRecord) func() (any, uint64) {
	return func() (any, uint64) {
		if !legacy.Obsolete() {
			return statestore.NotReady, 0
		}
		return nil, 0
	}
}
