package recovery

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// restoreLegacyChunks takes in the records of a job's tasks in the first form, that of version
// 1. It can go, with Snapshot.legacyChunks, when package persist does without that form: its
// file legacy.go says when.
func (f *Failover) restoreLegacyChunks(snapshot *Snapshot, job *cluster.Job, now micro.Time) {
	for _, stored := range snapshot.legacyChunks[job.Spec.ID] {
		var record cluster.ChunkRecord
		if decode(f.Log, stored.item, &record) {
			f.Cluster.RestoreChunk(job, stored.index, &record, uint64(stored.item.Version), now)
		}
	}
}
