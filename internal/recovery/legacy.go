package recovery

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// restoreLegacyChunks restores a job's tasks from chunk records in the legacy format of version 1. It
// and Snapshot.legacyChunks can be removed once package persist no longer supports that format; the
// condition is stated in its file legacy.go.
func (f *Failover) restoreLegacyChunks(snapshot *Snapshot, job *cluster.Job, now micro.Time) {
	for _, stored := range snapshot.legacyChunks[job.Spec.ID] {
		var record cluster.ChunkRecord
		if decode(f.Log, stored.item, &record) {
			f.Cluster.RestoreChunk(job, stored.index, &record, uint64(stored.item.Version), now)
		}
	}
}
