package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
)

// pruneInterval is the minimum interval between removals of old jobs and machines from memory.
const pruneInterval = 30 * micro.Second

// PruneIfDue calls Prune if 30 s have passed since it last did so, and returns the removed jobs.
func (r *Records) PruneIfDue(now micro.Time) []*cluster.Job {
	if now-r.prunedAt < pruneInterval {
		return nil
	}
	r.prunedAt = now
	return r.Prune(now)
}

// Prune removes jobs and machines that ended long ago from memory, and returns the removed jobs.
func (r *Records) Prune(now micro.Time) []*cluster.Job {
	pruned := r.cluster.Prune(now, r.jobFlushed)
	for _, job := range pruned {
		r.ForgetJob(job)
	}
	return pruned
}

// jobFlushed reports whether an ended job has nothing left to write or to delete: its final state is
// written, its chunk records are deleted, and none of these writes can be executed late. It returns
// false while the job is assigned to a shard.
func (r *Records) jobFlushed(job *cluster.Job) bool {
	if r.Lookup(keys.JobEnd(job.Spec.ID)) != nil || job.Shard != "" {
		return false
	}
	for _, chunk := range job.Chunks {
		if record := r.chunks[chunk]; record != nil && (!record.Settled() || record.Version() != 0) {
			return false
		}
		if chunk.Legacy != nil {
			return false
		}
	}
	return true
}
