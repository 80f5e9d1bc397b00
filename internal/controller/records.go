package controller

import (
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

type firstRecord struct {
	Machine string `msgpack:"m" json:"m"`
}

func newWriter(l *Lead) *writer {
	w := &writer{l: l, cells: map[string]*cell{}, chunks: map[*model.Chunk]*cell{}, olds: map[*model.Old]*cell{}, changes: map[string]int{}}
	w.speed = w.cell(speedKey)
	w.speed.build = func() (any, uint64) { return l.speeds.Record(), 0 }
	w.first = w.cell(firstKey)
	w.first.build = func() (any, uint64) { return firstRecord{l.first}, 0 }
	w.images = newImageWriter(w)
	w.format = w.cell(formatKey)
	w.format.build = func() (any, uint64) {
		_, safe := l.n.Cfg.ValueBytes()
		return FormatRecord{Version: Version, Tasks: model.CompactTasks(safe - valueMargin)}, 0
	}
	w.format.saved = func(uint64) {
		l.raised()
		l.log.Info("format raised", "version", l.format.Version, "tasks", l.format.Tasks)
	}
	w.format.found = func(it wire.Item) bool {
		if l.readFormat(it) {
			l.raised()
			return true
		}
		return false
	}
	return w
}

// valueMargin is kept of the limit on a value.
const valueMargin = 32

func (w *writer) chunk(ch *model.Chunk) *cell {
	c := w.chunks[ch]
	if c == nil {
		key := runKey(ch.Job.Spec.ID, ch.N)
		if w.l.c.Compact {
			key = compactKey(ch.Job.Spec.ID, ch.N)
		}
		compact := w.l.c.Compact
		c = w.cell(key)
		c.stamp = ch.Stamp
		c.build = func() (any, uint64) {
			if ch.Job.Over() && len(ch.Places) == 0 {
				return nil, ch.Ver // its end says all there is to know
			}
			rec := ch.Record()
			if compact {
				return rec.Compact(), ch.Ver
			}
			return rec, ch.Ver
		}
		c.saved = func(ver uint64) { w.l.c.Persisted(ch, ver) }
		w.chunks[ch] = c
	}
	return c
}

// move turns the cell of a chunk's record in the first form into one that only
// deletes it, in its time. A write of it may be under way: whatever comes of
// that, the record stays until its time has come.
func (w *writer) move(ch *model.Chunk, o *model.Old) {
	c := w.chunks[ch]
	delete(w.chunks, ch)
	if c == nil {
		if o.Stamp == 0 {
			o.Left = 0 // never written
			return
		}
		c = w.cell(runKey(o.Job.Spec.ID, o.N))
		c.stamp = o.Stamp
	}
	c.dirty = false
	c.saved = func(uint64) {}
	c.build = func() (any, uint64) {
		if !o.Free() {
			return notYet, 0
		}
		return nil, 0
	}
	w.olds[o] = c
}

// outdated deletes a record in the first form when there is time, if nothing
// depends on it any more.
func (w *writer) outdated(o *model.Old) {
	if o == nil {
		return
	}
	c := w.olds[o]
	if c == nil {
		c = w.cell(runKey(o.Job.Spec.ID, o.N))
		c.stamp = o.Stamp
		w.olds[o] = c
		c.build = func() (any, uint64) {
			if !o.Free() {
				return notYet, 0
			}
			return nil, 0
		}
	}
	if o.Free() {
		c.touch(w.l.n.Now(), idle)
	}
}

// end writes the end of a job. The first end wins: if another is found, that
// one is the truth.
func (w *writer) end(j *model.Job, state wire.JobState) {
	c := w.cell(endKey(j.Spec.ID))
	at := int64(w.l.n.Wall())
	c.build = func() (any, uint64) { return model.EndRecord{State: state, At: at}, 0 }
	c.saved = func(uint64) { w.drop(c); w.l.ended(j, state) }
	c.found = func(it wire.Item) bool {
		var e model.EndRecord
		if wire.Unmarshal(it.Value, &e) != nil {
			return false
		}
		w.drop(c)
		w.l.ended(j, e.State)
		return true
	}
	h := soon
	if state == wire.JobAborted {
		h = first
	}
	c.touch(w.l.n.Now(), h)
}

// unsure reports whether the job's end may be in the store unknown to this leader.
// That an uncertain write is not there when it is looked for says nothing of later:
// held up for seconds, it was carried out after the look, a user was told that the
// job was done, and then by the leader that it was pending.
func (w *writer) unsure(id string) bool {
	c := w.cells[endKey(id)]
	return c != nil && c.doubt
}
