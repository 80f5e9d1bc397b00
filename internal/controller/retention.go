package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
)

// pruneInterval is how often the leader forgets what has been over for long.
const pruneInterval = 30 * micro.Second

// prune forgets jobs and machines that have been over for long. Polls for such a job
// are answered from the node's final states, and then from the store.
func (l *Leader) prune(now micro.Time) {
	for _, j := range l.cluster.Prune(now, l.records.jobFlushed) {
		l.node.finalStatuses.put(j.Status())
		l.knownJobs.Delete(j.Spec.ID)
		l.records.dropJob(j)
	}
}

// jobFlushed reports whether nothing of a job that is over has still to be written, or
// may yet be carried out.
func (w *recordStore) jobFlushed(j *cluster.Job) bool {
	if w.Lookup(keys.JobEnd(j.Spec.ID)) != nil || j.Shard != "" {
		return false
	}
	for _, ch := range j.Chunks {
		if record := w.chunks[ch]; record != nil && (!record.Settled() || record.Version() != 0) {
			return false
		}
		if ch.Legacy != nil {
			return false
		}
	}
	return true
}

// dropJob drops what is kept of a job's records.
func (w *recordStore) dropJob(j *cluster.Job) {
	for _, ch := range j.Chunks {
		delete(w.chunks, ch)
	}
}
