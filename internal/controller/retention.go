package controller

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
)

// pruneEvery is how often the leader forgets what has been over for long.
const pruneEvery = 30 * micro.Second

// prune forgets jobs and machines that have been over for long. Polls for such a job
// are answered from the node's final states, and then from the store.
func (l *Lead) prune(now micro.Time) {
	for _, j := range l.c.Prune(now, l.records.settled) {
		l.n.finals.put(j.Status())
		l.known.Delete(j.Spec.ID)
		l.records.forget(j)
	}
}

// settled reports whether nothing of a job that is over has still to be written, or
// may yet be carried out.
func (w *records) settled(j *model.Job) bool {
	if w.Lookup(endKey(j.Spec.ID)) != nil || j.Share != "" {
		return false
	}
	for _, ch := range j.Chunks {
		if e := w.chunks[ch]; e != nil && (!e.Settled() || e.Version() != 0) {
			return false
		}
		if ch.Old != nil {
			return false
		}
	}
	return true
}

// forget drops what is kept of a job's records.
func (w *records) forget(j *model.Job) {
	for _, ch := range j.Chunks {
		delete(w.chunks, ch)
	}
}
