package writer

import (
	"context"
	"errors"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	commitWait   = 1200 * time.Millisecond
	verifyWait   = time.Second
	refusedPause = 80 * micro.Millisecond  // after a refusal, before the next try
	doubtPause   = 50 * micro.Millisecond  // after an uncertain write, before the next
	unreadPause  = 100 * micro.Millisecond // after an uncertain key could not be read
)

// commit sends a transaction, and has the loop take in what came of it.
func (w *Writer) commit(txn wire.Txn, batch []written) {
	from := w.host.Now()
	if !w.host.Valid() {
		w.host.Post(func() { w.fail(batch, false) })
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitWait)
	defer cancel()
	revision, err := w.store.Commit(ctx, store.Urgent, txn)
	w.host.Post(func() {
		now := w.host.Now()
		w.host.Committed(now - from)
		w.committed(txn, batch, revision, err, now)
	})
}

// committed takes in the outcome of a transaction.
func (w *Writer) committed(txn wire.Txn, batch []written, revision uint64, err error, now micro.Time) {
	switch {
	case err == nil:
		w.land(entriesOf(batch)...)
		w.tell(batch)
		for _, b := range batch {
			w.stored(b, revision)
		}
	case errors.Is(err, store.ErrBudget), errors.Is(err, store.ErrBusy), errors.Is(err, store.ErrRefused):
		w.fail(batch, false)
		w.next = now + refusedPause
	case errors.Is(err, store.ErrBad):
		// Not executed, and never will be as it is: one of its values or their
		// number is over a limit that was lowered.
		w.fail(batch, false)
		if len(batch) > 1 {
			w.alone = len(batch)
		} else {
			w.park(batch[0].entry, now, "refused as malformed", txnSize(txn))
		}
	default:
		// A conflict or no answer: what the store holds must be read.
		w.log.Info("write not confirmed", "keys", len(batch), "err", err)
		w.fail(batch, true)
		w.next = now + doubtPause
	}
}

// stored takes in one change that is in the store.
func (w *Writer) stored(b written, revision uint64) {
	e := b.entry
	e.doubt, e.held = false, false
	e.version = revision
	if b.deleted {
		e.version = 0
		if !e.dirty {
			w.Drop(e)
		}
	}
	e.Saved(b.note)
}

func entriesOf(batch []written) []*Entry {
	out := make([]*Entry, len(batch))
	for i, b := range batch {
		out[i] = b.entry
	}
	return out
}

func (w *Writer) fail(batch []written, verify bool) {
	w.land(entriesOf(batch)...)
	now := w.host.Now()
	for _, b := range batch {
		e := b.entry
		e.verify = e.verify || verify
		e.doubt = e.doubt && (e.held || verify)
		e.held = e.held || verify
		e.Touch(now, Soon)
	}
}

func txnSize(txn wire.Txn) int {
	n := 0
	for _, ch := range txn.Then {
		n += wire.JSONSize(ch.Value)
	}
	return n
}

// park puts off a change that the store does not take: trying it again at once
// would only use up the budget of all others.
func (w *Writer) park(e *Entry, now micro.Time, why string, size int) {
	w.log.Error("value not taken by the store", "key", e.Key, "why", why, "bytes", size, "limit", w.host.ValueBytes())
	u := e.urgency
	e.dirty, e.parked = false, now+parkFor
	e.Touch(now, u)
}

func (w *Writer) unpark(now micro.Time) {
	var still []*Entry
	for _, e := range w.parked {
		if now < e.parked {
			still = append(still, e)
			continue
		}
		e.parked, e.dirty = 0, false
		e.Touch(now, e.urgency)
	}
	w.parked = still
}

// looked is what a look at an uncertain key found.
type looked struct {
	entry *Entry
	item  wire.Item
	err   error
}

// clear reads the versions of keys whose last write is uncertain.
func (w *Writer) clear(entries []*Entry) {
	var all []looked
	for _, e := range entries {
		ctx, cancel := context.WithTimeout(context.Background(), verifyWait)
		it, err := w.store.Get(ctx, store.Urgent, e.Key)
		cancel()
		all = append(all, looked{e, it, err})
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			break
		}
	}
	w.host.Post(func() {
		for _, l := range all {
			w.cleared(l, w.host.Now())
		}
		w.land(entries...) // with their place in line
	})
}

// cleared takes in what the store holds of an uncertain key.
func (w *Writer) cleared(l looked, now micro.Time) {
	e := l.entry
	switch {
	case l.err == nil:
		e.verify = false
		e.version = uint64(l.item.Version)
		e.doubt, e.held = false, false
		if e.Found != nil && e.Found(l.item) {
			e.dirty = false
		}
	case errors.Is(l.err, store.ErrNotFound):
		e.verify = false
		e.version = 0
	default:
		w.next = now + unreadPause
	}
}
