package writer

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// idleBelow is how few lazy changes wait when there is time for idle ones.
	idleBelow = 50
	// maxTxnBytes keeps a transaction under the store's limit for one.
	maxTxnBytes = 60 << 10
	// txnHead is what a transaction takes beside its changes.
	txnHead = 1024
	// verifyAtOnce is how many uncertain keys are read together.
	verifyAtOnce = 8
	// lazyEvery is how often what is not pressing is looked at.
	lazyEvery = 200 * micro.Millisecond
	// noRoomPause is how long the writer waits for its budget.
	noRoomPause = 50 * micro.Millisecond
)

// While an answer is late by slowAnswer, another transaction goes out beside it:
// with every third answer lost, starts once waited for a time-out after the other.
const (
	maxFlights = 6
	slowAnswer = 80 * micro.Millisecond
)

// written is a change in a transaction.
type written struct {
	entry   *Entry
	note    uint64
	deleted bool
}

// batch is a transaction being put together.
type batch struct {
	txn     wire.Txn
	changes []written
	verify  []*Entry
	size    int
	guards  map[wire.Guard]bool // further conditions that are in it already
	guardsN int                 // how many conditions it may have
}

// Flush starts a transaction if one is due.
func (w *Writer) Flush(now micro.Time) {
	if now < w.next || w.flights >= maxFlights || w.flights > 0 && now-w.sent < slowAnswer {
		return
	}
	pressing := len(w.queues[First])+len(w.queues[Soon])+len(w.parked) > 0
	if !pressing && (len(w.queues[Lazy])+len(w.queues[Idle]) == 0 || now < w.later) {
		return
	}
	if len(w.parked) > 0 {
		w.unpark(now)
	}
	b := w.gather(now)
	w.later = now + lazyEvery
	if len(b.verify) > 0 {
		w.launch(b.verify, now)
		go w.clear(b.verify)
	}
	if len(b.changes) > 0 {
		for _, x := range b.changes {
			x.entry.doubt = true
		}
		w.launch(entriesOf(b.changes), now)
		go w.commit(b.txn, b.changes)
	} else if len(b.verify) == 0 && pressing {
		w.next = now + noRoomPause
	}
}

// gather puts a transaction together from what is due, the most urgent first.
func (w *Writer) gather(now micro.Time) *batch {
	most := w.host.TxnOps()
	b := &batch{txn: wire.Txn{If: w.host.Guards()}, size: txnHead, guards: map[wire.Guard]bool{}, guardsN: GuardsPerChange * most}
	if w.alone > 0 {
		w.alone--
		most = 1
	}
	w.fill(b, First, min(most, w.store.WriteRoom(store.Urgent)), now)
	w.fill(b, Soon, min(most, w.store.WriteRoom(store.Routine)), now)
	// What is lazy leaves most of the budget to what comes next.
	w.fill(b, Lazy, min(most, w.store.WriteRoom(store.Lazy)), now-coalesce)
	if len(w.queues[Lazy]) < idleBelow {
		w.fill(b, Idle, min(most, w.store.WriteRoom(store.Lazy)), now)
	}
	return b
}

func (w *Writer) launch(entries []*Entry, now micro.Time) {
	w.flights++
	w.sent = now
	for _, e := range entries {
		e.flying = true
	}
}

// land ends a flight. What changed meanwhile lost its place in line to it.
func (w *Writer) land(entries ...*Entry) {
	w.flights--
	for _, e := range entries {
		e.flying = false
		if e.dirty && e.parked == 0 {
			w.queues[e.urgency] = append(w.queues[e.urgency], e)
		}
	}
}

// fill takes what is due from a queue, as far as there is room.
func (w *Writer) fill(b *batch, u Urgency, room int, due micro.Time) {
	q := w.queues[u]
	k := 0
	for ; k < len(q); k++ {
		e := q[k]
		if !e.dirty || e.urgency != u || e.parked > 0 || e.flying {
			continue // written meanwhile, due in another queue, not taken by the store, or its turn comes when its write has landed
		}
		if e.verify {
			if len(b.verify) == verifyAtOnce {
				break
			}
			b.verify = append(b.verify, e)
			continue
		}
		if len(b.changes) >= room || e.since > due || !w.add(b, e) {
			break
		}
	}
	// What was skipped as uncertain is put back by clear.
	if k == len(q) {
		w.queues[u] = q[:0]
	} else {
		w.queues[u] = q[k:]
	}
}

// add takes one entry's change into the transaction, if it has one to make; false if
// there is no room for it.
func (w *Writer) add(b *batch, e *Entry) bool {
	value, note := e.Build()
	if value == any(NotYet) {
		e.dirty = false
		return true
	}
	if value == nil && e.version == 0 {
		e.dirty = false
		w.Drop(e)
		return true
	}
	size := extraBytes
	if value != nil {
		bytes := wire.JSONSize(value)
		if bytes > w.host.ValueBytes() {
			w.park(e, w.host.Now(), "too large", bytes)
			return true
		}
		size += bytes
	}
	further := b.further(e)
	if b.size+size > maxTxnBytes || len(b.txn.If)+len(further)+1 > b.guardsN {
		return false
	}
	b.size += size
	change := wire.Change{Put: e.Key, Value: value}
	if value == nil {
		change = wire.Change{Delete: e.Key}
	}
	for _, g := range further {
		b.guards[g] = true
	}
	b.txn.If = append(append(b.txn.If, further...), wire.Guard{Key: e.Key, Version: wire.Count(e.version)})
	b.txn.Then = append(b.txn.Then, change)
	b.changes = append(b.changes, written{e, note, value == nil})
	e.dirty = false
	return true
}

// further lists the entry's own conditions that the transaction does not carry yet.
func (b *batch) further(e *Entry) []wire.Guard {
	if e.Guards == nil {
		return nil
	}
	var out []wire.Guard
	for _, g := range e.Guards() {
		if !b.guards[g] {
			out = append(out, g)
		}
	}
	return out
}
