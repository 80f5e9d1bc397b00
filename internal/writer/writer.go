// Package writer batches the changes that one controller makes to the keys that it
// alone writes. Each transaction carries the conditions of its host, such as the
// version of the leader's key, and the last known version of each key, so that a
// deposed controller, and a late copy of an earlier write, change nothing. A write
// without an answer is followed by a read of its keys before the next one.
//
// A writer is owned by one goroutine, the loop of its host.
package writer

import (
	"sort"
	"strconv"
	"strings"

	"log/slog"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Host is the controller's loop that a writer serves.
type Host interface {
	Now() micro.Time
	// Valid reports whether the right to write still holds; any goroutine may ask.
	Valid() bool
	// Guards are the conditions that every transaction carries.
	Guards() []wire.Guard
	// Post has the loop run something.
	Post(f func())
	// ValueBytes is what a value may take now.
	ValueBytes() int
	// TxnOps is how many changes a transaction may have.
	TxnOps() int
	// Committed is told how long a transaction took.
	Committed(took micro.Time)
}

// GuardsPerChange is how many conditions the store takes for each change that a
// transaction may have.
const GuardsPerChange = 4

// Writer batches the changes: one transaction at a time, and a few more while the
// store is slow to answer. A key is in one of them at most.
type Writer struct {
	host    Host
	store   store.Store
	log     *slog.Logger
	entries map[string]*Entry
	queues  [urgencies][]*Entry // in the order in which they became due; an entry counts in that of its urgency
	parked  []*Entry            // those that the store would not take, to be tried again
	changes map[string]int      // written, by cause
	alone   int                 // so many transactions of one change, to find what the store does not take
	flights int                 // transactions, and looks at uncertain keys, under way
	sent    micro.Time          // when the last of them went out
	next    micro.Time          // no transaction before
	later   micro.Time          // no look at what is not pressing before
}

// New makes a writer.
func New(host Host, st store.Store, log *slog.Logger) *Writer {
	return &Writer{host: host, store: st, log: log, entries: map[string]*Entry{}, changes: map[string]int{}}
}

// Entry finds or makes the entry of a key.
func (w *Writer) Entry(key string) *Entry {
	e := w.entries[key]
	if e == nil {
		e = &Entry{w: w, Key: key, Saved: func(uint64) {}}
		w.entries[key] = e
	}
	return e
}

// Lookup finds the entry of a key; nil: there is none.
func (w *Writer) Lookup(key string) *Entry { return w.entries[key] }

// Drop forgets an entry.
func (w *Writer) Drop(e *Entry) { delete(w.entries, e.Key) }

// Each calls f with every entry.
func (w *Writer) Each(f func(e *Entry)) {
	for _, e := range w.entries {
		f(e)
	}
}

// Queued is how many changes wait in a queue, those passed over included.
func (w *Writer) Queued(u Urgency) int { return len(w.queues[u]) }

// Settled reports whether nothing is still to be written, under way or in doubt.
func (w *Writer) Settled() bool {
	if w.flights > 0 {
		return false
	}
	for _, e := range w.entries {
		if !e.Settled() {
			return false
		}
	}
	return true
}

// tell counts changes by what they are for: the prefix of their keys, and deletes.
func (w *Writer) tell(batch []written) {
	for _, b := range batch {
		kind, _, _ := strings.Cut(b.entry.Key, "/")
		if kind == "job" {
			kind = "end"
		}
		if b.deleted {
			kind += "-deleted"
		}
		w.changes[kind]++
	}
}

// Told lists the changes by cause since it was last asked.
func (w *Writer) Told() string {
	kinds := make([]string, 0, len(w.changes))
	for k, n := range w.changes {
		kinds = append(kinds, k+" "+strconv.Itoa(n))
	}
	clear(w.changes)
	sort.Strings(kinds)
	return strings.Join(kinds, ", ")
}

// Hurry makes all that waits as urgent as can be.
func (w *Writer) Hurry(now micro.Time) {
	for _, e := range w.entries {
		if e.dirty {
			e.Touch(now, First)
		}
	}
}
