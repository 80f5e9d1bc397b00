package controller

import (
	"context"
	"errors"
	"sort"
	"strconv"
	"strings"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	speedKey = "fleet/speed"
	firstKey = "fleet/first"
	imageKey = "fleet/images"
)

// haste is how soon a change must be written. A queue holds each.
type haste uint8

const (
	first haste = iota // withdrawals, and starts of the first rank
	soon               // other starts, ends, rentals
	lazy               // completions, which workers keep until they are written
	idle               // records of what is over, which only the next takeover would read
	hastes
)

// cell is one key that the leader keeps. Every write of it is guarded by the
// leader's key and by the version last known: a late copy of an earlier write
// fails, whatever it carries.
type cell struct {
	w      *writer
	key    string
	stamp  uint64
	dirty  bool
	haste  haste
	verify bool       // an uncertain write: read the version before the next
	doubt  bool       // a write went out that may yet be carried out, or was, unknown to this leader
	flying bool       // a write of it, or a look at it, is under way
	held   bool       // of those, one got no answer: it may be carried out at any later time
	parked micro.Time // the store would not take it: no try before
	since  micro.Time
	build  func() (value any, note uint64) // nil value: delete; notYet: nothing to write now
	saved  func(note uint64)
	found  func(it wire.Item) bool // the key exists unexpectedly; true settles it
}

// notYet is what a cell builds whose time will come by another touch.
var notYet = new(struct{ _ int })

func (c *cell) touch(now micro.Time, h haste) {
	if now < c.parked {
		c.haste = h
		if !c.dirty {
			c.dirty, c.since = true, now
			c.w.parked = append(c.w.parked, c)
		}
		return
	}
	if c.dirty && c.haste <= h {
		return
	}
	if !c.dirty {
		c.dirty, c.since = true, now
	}
	c.haste = h
	c.w.queues[h] = append(c.w.queues[h], c)
}

// putOff makes a change wait until there is time for it, whatever its haste was.
func (c *cell) putOff(now micro.Time) {
	if c.dirty && c.haste == idle {
		return
	}
	c.dirty = false // its place in the other queue is passed over
	c.touch(now, idle)
}

// writer batches the leader's writes: one transaction at a time, and a few more
// while the store is slow to answer. A key is in one of them at most.
type writer struct {
	l       *Lead
	cells   map[string]*cell
	queues  [hastes][]*cell // in the order in which they became due; a cell counts in that of its haste
	chunks  map[*model.Chunk]*cell
	speed   *cell
	first   *cell
	images  *imageWriter
	olds    map[*model.Old]*cell
	format  *cell
	parked  []*cell        // those that the store would not take, to be tried again
	changes map[string]int // written, by cause
	alone   int            // so many transactions of one change, to find what the store does not take
	flights int            // transactions, and looks at uncertain keys, under way
	sent    micro.Time     // when the last of them went out
	next    micro.Time
	later   micro.Time // no look at what is not pressing before
}

// valueBytes is what a value may take. Once the later forms are in use, the next
// limits may come at any time.
func (w *writer) valueBytes() int {
	now, safe := w.l.n.Cfg.ValueBytes()
	if w.l.c.Compact {
		return safe - valueMargin
	}
	return now - valueMargin
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

// coalesce is how long a lazy change waits for others of its key to join it.
const coalesce = 1500 * micro.Millisecond

type written struct {
	c    *cell
	note uint64
	del  bool
}

// idleBelow is how few lazy changes wait when there is time for idle ones.
const idleBelow = 50

// maxTxnBytes keeps a transaction under the store's limit for one.
const maxTxnBytes = 60 << 10

// batch is a transaction being put together.
type batch struct {
	txn    wire.Txn
	cells  []written
	verify []*cell
	size   int
}

// While an answer is late by slowAnswer, another transaction goes out beside it:
// with every third answer lost, starts once waited for a time-out after the other.
const (
	maxFlights = 6
	slowAnswer = 80 * micro.Millisecond
)

// flush starts a transaction if one is due.
func (w *writer) flush(now micro.Time) {
	if now < w.next || w.flights >= maxFlights || w.flights > 0 && now-w.sent < slowAnswer {
		return
	}
	pressing := len(w.queues[first])+len(w.queues[soon])+len(w.parked) > 0
	if !pressing && (len(w.queues[lazy])+len(w.queues[idle]) == 0 || now < w.later) {
		return
	}
	if len(w.parked) > 0 {
		w.unpark(now)
	}
	st := w.l.n.Store
	most := w.l.n.Cfg.TxnOps()
	if w.alone > 0 {
		w.alone--
		most = 1
	}
	b := batch{txn: wire.Txn{If: []wire.Guard{w.l.term.Guard()}}, size: 1024}
	w.fill(&b, first, min(most, st.WriteRoom(store.Urgent)), now)
	w.fill(&b, soon, min(most, st.WriteRoom(store.Routine)), now)
	// What is lazy leaves most of the budget to what comes next.
	w.fill(&b, lazy, min(most, st.WriteRoom(store.Lazy)), now-coalesce)
	if len(w.queues[lazy]) < idleBelow {
		w.fill(&b, idle, min(most, st.WriteRoom(store.Lazy)), now)
	}
	w.later = now + 200*micro.Millisecond
	if len(b.verify) > 0 {
		w.launch(b.verify, now)
		go w.clear(b.verify)
	}
	if len(b.cells) > 0 {
		cells := make([]*cell, len(b.cells))
		for i, x := range b.cells {
			x.c.doubt = true
			cells[i] = x.c
		}
		w.launch(cells, now)
		go w.commit(b.txn, b.cells)
	} else if len(b.verify) == 0 && pressing {
		w.next = now + 50*micro.Millisecond
	}
}

func (w *writer) launch(cells []*cell, now micro.Time) {
	w.flights++
	w.sent = now
	for _, c := range cells {
		c.flying = true
	}
}

// land ends a flight. What changed meanwhile lost its place in line to it.
func (w *writer) land(cells ...*cell) {
	w.flights--
	for _, c := range cells {
		c.flying = false
		if c.dirty && c.parked == 0 {
			w.queues[c.haste] = append(w.queues[c.haste], c)
		}
	}
}

// fill takes what is due from a queue, as far as there is room.
func (w *writer) fill(b *batch, h haste, room int, due micro.Time) {
	q := w.queues[h]
	k := 0
	for ; k < len(q); k++ {
		c := q[k]
		if !c.dirty || c.haste != h || c.parked > 0 {
			continue // written meanwhile, due in another queue, or not taken by the store
		}
		if c.flying {
			continue // its turn comes when that has landed
		}
		if c.verify {
			if len(b.verify) == 8 {
				break
			}
			b.verify = append(b.verify, c)
			continue
		}
		if len(b.cells) >= room || c.since > due {
			break
		}
		value, note := c.build()
		if value == notYet {
			c.dirty = false
			continue
		}
		if value == nil && c.stamp == 0 {
			c.dirty = false
			w.drop(c)
			continue
		}
		size := 0
		if value != nil {
			if size = wire.JSONSize(value); size > w.valueBytes() {
				w.park(c, w.l.n.Now(), "too large", size)
				continue
			}
		}
		if b.size+size+300 > maxTxnBytes {
			break
		}
		b.size += size + 300
		ch := wire.Change{Put: c.key, Value: value}
		if value == nil {
			ch = wire.Change{Delete: c.key}
		}
		b.txn.If = append(b.txn.If, wire.Guard{Key: c.key, Version: wire.Count(c.stamp)})
		b.txn.Then = append(b.txn.Then, ch)
		b.cells = append(b.cells, written{c, note, value == nil})
		c.dirty = false
	}
	// What was skipped as uncertain is put back by clear.
	if k == len(q) {
		w.queues[h] = q[:0]
	} else {
		w.queues[h] = q[k:]
	}
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
		now := w.l.n.Now()
		w.l.n.Metrics.Observe("commit", now-from)
		switch {
		case err == nil:
			w.land(cellsOf(batch)...)
			w.tell(batch)
			for _, b := range batch {
				b.c.doubt, b.c.held = false, false
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
		case errors.Is(err, store.ErrBad):
			// Not executed, and never will be as it is: one of its values or their
			// number is over a limit that was lowered.
			w.fail(batch, false)
			if len(batch) > 1 {
				w.alone = len(batch)
			} else {
				w.park(batch[0].c, now, "refused as malformed", txnSize(txn))
			}
		default:
			// A conflict or no answer: what the store holds must be read.
			w.l.log.Info("write not confirmed", "keys", len(batch), "err", err)
			w.fail(batch, true)
			w.next = now + 50*micro.Millisecond
		}
	})
}

// tell counts changes by what they are for: the prefix of their keys, and deletes.
func (w *writer) tell(batch []written) {
	for _, b := range batch {
		kind, _, _ := strings.Cut(b.c.key, "/")
		if kind == "job" {
			kind = "end"
		}
		if b.del {
			kind += "-deleted"
		}
		w.changes[kind]++
	}
}

// told lists the changes by cause since it was last asked.
func (w *writer) told() string {
	kinds := make([]string, 0, len(w.changes))
	for k, n := range w.changes {
		kinds = append(kinds, k+" "+strconv.Itoa(n))
	}
	clear(w.changes)
	sort.Strings(kinds)
	return strings.Join(kinds, ", ")
}

func cellsOf(batch []written) []*cell {
	out := make([]*cell, len(batch))
	for i, b := range batch {
		out[i] = b.c
	}
	return out
}

func (w *writer) fail(batch []written, verify bool) {
	w.land(cellsOf(batch)...)
	now := w.l.n.Now()
	for _, b := range batch {
		b.c.verify = b.c.verify || verify
		b.c.doubt = b.c.doubt && (b.c.held || verify)
		b.c.held = b.c.held || verify
		b.c.touch(now, soon)
	}
}

func txnSize(txn wire.Txn) int {
	n := 0
	for _, ch := range txn.Then {
		n += wire.JSONSize(ch.Value)
	}
	return n
}

// parkFor is how long a change waits that the store does not take.
const parkFor = 5 * micro.Second

// park puts off a change that the store does not take: trying it again at once
// would only use up the budget of all others.
func (w *writer) park(c *cell, now micro.Time, why string, size int) {
	w.l.log.Error("value not taken by the store", "key", c.key, "why", why, "bytes", size, "limit", w.valueBytes())
	h := c.haste
	c.dirty, c.parked = false, now+parkFor
	c.touch(now, h)
}

func (w *writer) unpark(now micro.Time) {
	var still []*cell
	for _, c := range w.parked {
		if now < c.parked {
			still = append(still, c)
			continue
		}
		c.parked, c.dirty = 0, false
		c.touch(now, c.haste)
	}
	w.parked = still
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
		now := w.l.n.Now()
		for _, g := range all {
			switch {
			case g.err == nil:
				g.c.verify = false
				g.c.stamp = uint64(g.it.Version)
				g.c.doubt, g.c.held = false, false
				if g.c.found != nil && g.c.found(g.it) {
					g.c.dirty = false
				}
			case errors.Is(g.err, store.ErrNotFound):
				g.c.verify = false
				g.c.stamp = 0
			default:
				w.next = now + 100*micro.Millisecond
			}
		}
		w.land(cells...) // with their place in line
	})
}
