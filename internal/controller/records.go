package controller

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/writer"
	"notchmux.dev/notchmux/wire"
)

const (
	speedKey = "fleet/speed"
	firstKey = "fleet/first"
	imageKey = "fleet/images"
)

// valueMargin is kept of the limit on a value.
const valueMargin = 32

// records are the keys that the leader keeps in the store, by what they are for.
type records struct {
	*writer.Writer
	l      *Lead
	chunks map[*model.Chunk]*writer.Entry
	olds   map[*model.Old]*writer.Entry
	speed  *writer.Entry
	first  *writer.Entry
	format *writer.Entry
	images *imageWriter
}

type firstRecord struct {
	Machine string `msgpack:"m" json:"m"`
}

func newRecords(l *Lead) *records {
	w := &records{Writer: writer.New(l, l.n.Store, l.log), l: l, chunks: map[*model.Chunk]*writer.Entry{}, olds: map[*model.Old]*writer.Entry{}}
	w.speed = w.Entry(speedKey)
	w.speed.Build = func() (any, uint64) { return l.speeds.Record(), 0 }
	w.first = w.Entry(firstKey)
	w.first.Build = func() (any, uint64) { return firstRecord{l.first}, 0 }
	w.images = newImageWriter(w)
	w.format = w.Entry(formatKey)
	w.format.Build = func() (any, uint64) {
		_, safe := l.n.Cfg.ValueBytes()
		return FormatRecord{Version: Version, Tasks: model.CompactTasks(safe - valueMargin)}, 0
	}
	w.format.Saved = func(uint64) {
		l.raised()
		l.log.Info("format raised", "version", l.format.Version, "tasks", l.format.Tasks)
	}
	w.format.Found = func(it wire.Item) bool {
		if l.readFormat(it) {
			l.raised()
			return true
		}
		return false
	}
	return w
}

// Now is this node's steady clock.
func (l *Lead) Now() micro.Time { return l.n.Now() }

// Valid reports whether the right to act holds.
func (l *Lead) Valid() bool { return l.valid() }

// Guards are the conditions of every transaction of the term.
func (l *Lead) Guards() []wire.Guard {
	if l.owner != nil {
		return l.owner.Guards()
	}
	return []wire.Guard{l.term.Guard()}
}

// Post has the loop run something.
func (l *Lead) Post(f func()) { l.post(f) }

// ValueBytes is what a value may take. Once the later forms are in use, the next
// limits may come at any time.
func (l *Lead) ValueBytes() int {
	now, safe := l.n.Cfg.ValueBytes()
	if l.c.Compact {
		return safe - valueMargin
	}
	return now - valueMargin
}

// TxnOps is how many changes a transaction may have.
func (l *Lead) TxnOps() int { return l.n.Cfg.TxnOps() }

// Committed notes how long a transaction took.
func (l *Lead) Committed(took micro.Time) { l.n.Metrics.Observe("commit", took) }

// chunkKey is the key of a chunk's record.
func (l *Lead) chunkKey(ch *model.Chunk) string {
	id := ch.Job.Spec.ID
	switch {
	case l.owner != nil:
		return share.AllocationKey(l.owner.name, id, ch.N)
	case l.c.Compact:
		return compactKey(id, ch.N)
	}
	return runKey(id, ch.N)
}

// chunk finds or makes the entry of a chunk's record.
func (w *records) chunk(ch *model.Chunk) *writer.Entry {
	entry := w.chunks[ch]
	if entry == nil {
		key := w.l.chunkKey(ch)
		compact := w.l.c.Compact
		entry = w.Entry(key)
		entry.SetVersion(ch.Stamp)
		entry.Build = func() (any, uint64) {
			if ch.Job.Over() && len(ch.Places) == 0 {
				return nil, ch.Ver // its end says all there is to know
			}
			rec := ch.Record()
			if compact {
				return rec.Compact(), ch.Ver
			}
			return rec, ch.Ver
		}
		entry.Saved = func(ver uint64) { w.l.c.Persisted(ch, ver) }
		w.chunks[ch] = entry
	}
	return entry
}

// move turns the entry of a chunk's record in the first form into one that only
// deletes it, in its time. A write of it may be under way: whatever comes of
// that, the record stays until its time has come.
func (w *records) move(ch *model.Chunk, o *model.Old) {
	entry := w.chunks[ch]
	delete(w.chunks, ch)
	if entry == nil {
		if o.Stamp == 0 {
			o.Left = 0 // never written
			return
		}
		entry = w.Entry(runKey(o.Job.Spec.ID, o.N))
		entry.SetVersion(o.Stamp)
	}
	entry.Clean()
	entry.Saved = func(uint64) {}
	entry.Build = func() (any, uint64) {
		if !o.Free() {
			return writer.NotYet, 0
		}
		return nil, 0
	}
	w.olds[o] = entry
}

// outdated deletes a record in the first form when there is time, if nothing
// depends on it any more.
func (w *records) outdated(o *model.Old) {
	if o == nil {
		return
	}
	entry := w.olds[o]
	if entry == nil {
		entry = w.Entry(runKey(o.Job.Spec.ID, o.N))
		entry.SetVersion(o.Stamp)
		w.olds[o] = entry
		entry.Build = func() (any, uint64) {
			if !o.Free() {
				return writer.NotYet, 0
			}
			return nil, 0
		}
	}
	if o.Free() {
		entry.Touch(w.l.n.Now(), writer.Idle)
	}
}

// end writes the end of a job. The first end wins: if another is found, that
// one is the truth.
func (w *records) end(j *model.Job, state wire.JobState) {
	entry := w.Entry(endKey(j.Spec.ID))
	at := int64(w.l.n.Wall())
	entry.Build = func() (any, uint64) { return model.EndRecord{State: state, At: at}, 0 }
	entry.Saved = func(uint64) { w.Drop(entry); w.l.ended(j, state) }
	entry.Found = func(it wire.Item) bool {
		var e model.EndRecord
		if wire.Unmarshal(it.Value, &e) != nil {
			return false
		}
		w.Drop(entry)
		w.l.ended(j, e.State)
		return true
	}
	urgency := writer.Soon
	if state == wire.JobAborted {
		urgency = writer.First
	}
	entry.Touch(w.l.n.Now(), urgency)
}

// unsure reports whether the job's end may be in the store unknown to this leader.
// That an uncertain write is not there when it is looked for says nothing of later:
// held up for seconds, it was carried out after the look, a user was told that the
// job was done, and then by the leader that it was pending.
func (w *records) unsure(id string) bool {
	e := w.Lookup(endKey(id))
	return e != nil && e.Doubtful()
}
