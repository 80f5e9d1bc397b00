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
	for _, j := range l.c.Prune(now, l.w.settled) {
		l.n.finals.put(j.Status())
		l.known.Delete(j.Spec.ID)
		l.w.forget(j)
	}
}

// settled reports whether nothing of a job that is over has still to be written, or
// may yet be carried out.
func (w *writer) settled(j *model.Job) bool {
	if w.cells[endKey(j.Spec.ID)] != nil {
		return false
	}
	for _, ch := range j.Chunks {
		if c := w.chunks[ch]; c != nil && c.open() {
			return false
		}
		if ch.Old != nil {
			return false
		}
	}
	return true
}

// open reports whether a key is still to be changed, or may hold something.
func (c *cell) open() bool {
	return c.dirty || c.flying || c.verify || c.doubt || c.stamp != 0
}

// forget drops what is kept of a job's records.
func (w *writer) forget(j *model.Job) {
	for _, ch := range j.Chunks {
		delete(w.chunks, ch)
	}
}
