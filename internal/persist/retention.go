package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
)

// pruneInterval is how often jobs and machines are forgotten that ended long ago.
const pruneInterval = 30 * micro.Second

// PruneIfDue forgets jobs and machines that ended long ago, at most every 30 s, and returns
// the jobs.
func (r *Records) PruneIfDue(now micro.Time) []*cluster.Job {
	if now-r.prunedAt < pruneInterval {
		return nil
	}
	r.prunedAt = now
	return r.Prune(now)
}

// Prune forgets jobs and machines that ended long ago, and returns the jobs.
func (r *Records) Prune(now micro.Time) []*cluster.Job {
	pruned := r.cluster.Prune(now, r.jobFlushed)
	for _, job := range pruned {
		r.ForgetJob(job)
	}
	return pruned
}

// jobFlushed reports whether nothing of a job that has ended has still to be written, or
// may yet be carried out.
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
