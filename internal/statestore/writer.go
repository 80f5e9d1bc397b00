// Package statestore batches the changes that one controller makes to the keys that it alone
// writes, as compare-and-swap transactions. Each transaction carries the preconditions of its
// host, such as the version of the leader's key, and the last known version of each key, so
// that a deposed leader, and a late copy of an earlier write, change nothing. A write without
// a response is followed by a read of its keys before the next one.
//
// A Writer and its Records are owned by one goroutine, the loop of its host.
package statestore

import (
	"log/slog"
	"sort"
	"strconv"
	"strings"

	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Host is the controller's loop that a writer serves.
type Host interface {
	Now() micro.Time
	// HoldsLease reports whether the host may still write; any goroutine may ask.
	HoldsLease() bool
	// Preconditions are what every transaction is conditional on.
	Preconditions() []wire.Precondition
	// Post hands the host's loop an event; any goroutine may call it.
	Post(event eventloop.Event)
	// MaxValueBytes is what a value may take now.
	MaxValueBytes() int
	// MaxTransactionOps is how many changes a transaction may have.
	MaxTransactionOps() int
	// ObserveCommit takes in how long a transaction took, for the metrics.
	ObserveCommit(took micro.Time)
}

// PreconditionsPerChange is how many preconditions the store allows for each change that a
// transaction may have.
const PreconditionsPerChange = 4

// Writer batches the changes: one transaction at a time, and a few more while the
// store is slow to answer. A key is in one of them at most.
type Writer struct {
	host    Host
	store   store.Store
	log     *slog.Logger
	records map[string]*Record

	// Records in the order in which they became due; one counts in the queue of its priority.
	queues       [priorityCount][]*Record
	rejected     []*Record      // rejected by the store, to be tried again
	changeCounts map[string]int // stored since ChangeCounts was called, by cause

	singleChangeBatches  int        // so many transactions of one change come next, to find what is rejected
	inFlight             int        // transactions, and reads of uncertain keys, in flight
	lastSent             micro.Time // when the last of them went out
	notBefore            micro.Time // no transaction before
	lowPriorityNotBefore micro.Time // no transaction of low priorities alone before
}

// New makes a writer for a host's loop.
func New(host Host, st store.Store, log *slog.Logger) *Writer {
	return &Writer{host: host, store: st, log: log, records: map[string]*Record{}, changeCounts: map[string]int{}}
}

// Record finds or makes the record of a key.
func (w *Writer) Record(key string) *Record {
	record := w.records[key]
	if record == nil {
		record = &Record{writer: w, Key: key, OnCommitted: func(uint64) {}}
		w.records[key] = record
	}
	return record
}

// Lookup finds the record of a key; nil: there is none.
func (w *Writer) Lookup(key string) *Record { return w.records[key] }

// Drop forgets a record; what the store holds stays.
func (w *Writer) Drop(record *Record) { delete(w.records, record.Key) }

// Each calls f with every record.
func (w *Writer) Each(f func(record *Record)) {
	for _, record := range w.records {
		f(record)
	}
}

// Queued is how many changes wait in a queue; those that moved to another one and are still to
// be skipped count as well.
func (w *Writer) Queued(priority Priority) int { return len(w.queues[priority]) }

// Settled reports whether nothing is still to be written, in flight or uncertain.
func (w *Writer) Settled() bool {
	if w.inFlight > 0 {
		return false
	}
	for _, record := range w.records {
		if !record.Settled() {
			return false
		}
	}
	return true
}

// countChanges counts changes by what they are for: the prefix of their keys, and deletes.
func (w *Writer) countChanges(changes []batchChange) {
	for _, change := range changes {
		kind, _, _ := strings.Cut(change.record.Key, "/")
		if kind == "job" {
			kind = "end"
		}
		if change.deleted {
			kind += "-deleted"
		}
		w.changeCounts[kind]++
	}
}

// ChangeCounts lists the changes that were stored since its last call, by cause.
func (w *Writer) ChangeCounts() string {
	kinds := make([]string, 0, len(w.changeCounts))
	for kind, n := range w.changeCounts {
		kinds = append(kinds, kind+" "+strconv.Itoa(n))
	}
	clear(w.changeCounts)
	sort.Strings(kinds)
	return strings.Join(kinds, ", ")
}

// EscalateAll gives all changes that wait the highest priority.
func (w *Writer) EscalateAll(now micro.Time) {
	for _, record := range w.records {
		if record.dirty {
			record.MarkDirty(now, PriorityUrgent)
		}
	}
}
