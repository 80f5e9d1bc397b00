package controller

import (
	"context"
	"errors"
	"sort"
	"strconv"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	speedKey = "fleet/speed"
	firstKey = "fleet/first"
)

type firstRecord struct {
	Machine string `msgpack:"m" json:"m"`
}

// cell is one key that the leader keeps. Every write of it is guarded by the
// leader's key and by the version last known: a late copy of an earlier write
// fails, whatever it carries.
type cell struct {
	w      *writer
	key    string
	stamp  uint64
	dirty  bool
	urgent bool
	verify bool // an uncertain write: read the version before the next
	since  micro.Time
	build  func() (value any, note uint64) // nil value: delete
	saved  func(note uint64)
	found  func(it wire.Item) bool // the key exists unexpectedly; true settles it
}

func (c *cell) touch(now micro.Time, urgent bool) {
	if !c.dirty {
		c.dirty = true
		c.since = now
		c.w.dirty[c] = true
	}
	c.urgent = c.urgent || urgent
}

// writer batches the leader's writes, one transaction at a time.
type writer struct {
	l      *Lead
	cells  map[string]*cell
	dirty  map[*cell]bool
	chunks map[*model.Chunk]*cell
	speed  *cell
	first  *cell
	flight bool
	next   micro.Time
}

func newWriter(l *Lead) *writer {
	w := &writer{l: l, cells: map[string]*cell{}, dirty: map[*cell]bool{}, chunks: map[*model.Chunk]*cell{}}
	w.speed = w.cell(speedKey)
	w.speed.build = func() (any, uint64) { return l.speeds.Record(), 0 }
	w.first = w.cell(firstKey)
	w.first.build = func() (any, uint64) { return firstRecord{l.first}, 0 }
	return w
}

func (w *writer) cell(key string) *cell {
	c := w.cells[key]
	if c == nil {
		c = &cell{w: w, key: key, saved: func(uint64) {}}
		w.cells[key] = c
	}
	return c
}

func (w *writer) drop(c *cell) { delete(w.cells, c.key) }

func (w *writer) chunk(ch *model.Chunk) *cell {
	c := w.chunks[ch]
	if c == nil {
		c = w.cell("job/" + ch.Job.Spec.ID + "/run/" + strconv.Itoa(ch.N))
		c.stamp = ch.Stamp
		c.build = func() (any, uint64) { return ch.Record(), ch.Ver }
		c.saved = func(ver uint64) { w.l.c.Persisted(ch, ver) }
		w.chunks[ch] = c
	}
	return c
}

// end writes the end of a job. The first end wins: if another is found, that
// one is the truth.
func (w *writer) end(j *model.Job, state wire.JobState) {
	c := w.cell(endKey(j.Spec.ID))
	c.build = func() (any, uint64) { return model.EndRecord{State: state}, 0 }
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
	c.touch(w.l.n.Now(), true)
}

// coalesce is how long a routine change waits for others to join it.
const coalesce = 300 * micro.Millisecond

type written struct {
	c    *cell
	note uint64
	del  bool
}

// flush starts a transaction if one is due and none is under way.
func (w *writer) flush(now micro.Time) {
	if w.flight || now < w.next {
		return
	}
	var due []*cell
	press := false
	if len(w.dirty) == 0 {
		return
	}
	for c := range w.dirty {
		if !c.dirty {
			delete(w.dirty, c)
			continue
		}
		due = append(due, c)
		press = press || c.urgent || now-c.since > coalesce
	}
	if !press {
		return
	}
	sort.Slice(due, func(a, b int) bool {
		x, y := due[a], due[b]
		if x.urgent != y.urgent {
			return x.urgent
		}
		if x.since != y.since {
			return x.since < y.since
		}
		return x.key < y.key
	})
	room := min(w.l.n.Cfg.Facts.State.TxnOps, w.l.n.Store.WriteRoom(store.Urgent))
	if room < 1 {
		w.next = now + 50*micro.Millisecond
		return
	}
	txn := wire.Txn{If: []wire.Guard{w.l.term.Guard()}}
	var batch []written
	var verify []*cell
	size := 1024
	for _, c := range due {
		if len(batch) == room {
			break
		}
		if c.verify {
			verify = append(verify, c)
			if len(verify) == 8 {
				break
			}
			continue
		}
		value, note := c.build()
		if value == nil && c.stamp == 0 {
			c.dirty = false
			w.drop(c)
			continue
		}
		ch := wire.Change{Put: c.key, Value: value}
		if value == nil {
			ch = wire.Change{Delete: c.key}
		} else {
			size += wire.JSONSize(value) + 300
			if size > 60<<10 {
				break
			}
		}
		txn.If = append(txn.If, wire.Guard{Key: c.key, Version: wire.Count(c.stamp)})
		txn.Then = append(txn.Then, ch)
		batch = append(batch, written{c, note, value == nil})
		c.dirty, c.urgent = false, false
	}
	if len(verify) > 0 {
		// Put what was batched back: what is uncertain is cleared up first.
		for _, b := range batch {
			b.c.touch(now, true)
		}
		w.flight = true
		go w.clear(verify)
		return
	}
	if len(batch) == 0 {
		return
	}
	w.flight = true
	go w.commit(txn, batch)
}

func (w *writer) commit(txn wire.Txn, batch []written) {
	from := w.l.n.Now()
	if !w.l.valid() {
		w.l.post(func() { w.fail(batch, false) })
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	rev, err := w.l.n.Store.Commit(ctx, store.Urgent, txn)
	w.l.post(func() {
		w.flight = false
		now := w.l.n.Now()
		w.l.n.Metrics.Observe("commit", now-from)
		switch {
		case err == nil:
			for _, b := range batch {
				b.c.stamp = rev
				if b.del {
					b.c.stamp = 0
					if !b.c.dirty {
						w.drop(b.c)
					}
				}
				b.c.saved(b.note)
			}
		case errors.Is(err, store.ErrBudget), errors.Is(err, store.ErrBusy), errors.Is(err, store.ErrRefused):
			w.fail(batch, false)
			w.next = now + 80*micro.Millisecond
		default:
			// A conflict or no answer: what the store holds must be read.
			w.l.log.Info("write not confirmed", "keys", len(batch), "err", err)
			w.fail(batch, true)
			w.next = now + 50*micro.Millisecond
		}
	})
}

func (w *writer) fail(batch []written, verify bool) {
	w.flight = false
	now := w.l.n.Now()
	for _, b := range batch {
		b.c.touch(now, true)
		b.c.verify = b.c.verify || verify
	}
}

// clear reads the versions of keys whose last write is uncertain.
func (w *writer) clear(cells []*cell) {
	type got struct {
		c   *cell
		it  wire.Item
		err error
	}
	var all []got
	for _, c := range cells {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		it, err := w.l.n.Store.Get(ctx, store.Urgent, c.key)
		cancel()
		all = append(all, got{c, it, err})
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			break
		}
	}
	w.l.post(func() {
		w.flight = false
		for _, g := range all {
			switch {
			case g.err == nil:
				g.c.verify = false
				if g.c.found != nil && g.c.found(g.it) {
					g.c.dirty, g.c.urgent = false, false
				}
				g.c.stamp = uint64(g.it.Version)
			case errors.Is(g.err, store.ErrNotFound):
				g.c.verify = false
				g.c.stamp = 0
			default:
				w.next = w.l.n.Now() + 100*micro.Millisecond
			}
		}
	})
}
