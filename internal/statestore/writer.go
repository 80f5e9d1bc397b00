// Package statestore batches the changes of keys that only one controller writes into
// compare-and-swap transactions. Each transaction has the preconditions of the host, such as the
// version of the leader's key, and the last known version of each key, so that writes of a deposed
// leader and late copies of earlier writes have no effect. After a write without a response, its
// keys are read before they are written again.
//
// A Writer and its Records are owned by one goroutine, the event loop of the host.
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

// Host is the event loop that owns a writer.
type Host interface {
	// Now returns the time of the monotonic clock.
	Now() micro.Time
	// HoldsLease reports whether the host may still write. It may be called from any goroutine.
	HoldsLease() bool
	// Preconditions returns the preconditions of every transaction.
	Preconditions() []wire.Precondition
	// Post queues an event for the host's loop. It may be called from any goroutine.
	Post(event eventloop.Event)
	// MaxValueBytes returns the maximum size of a value in bytes.
	MaxValueBytes() int
	// MaxTransactionOps returns the maximum number of changes in a transaction.
	MaxTransactionOps() int
	// ObserveCommit records the duration of a transaction in the metrics.
	ObserveCommit(took micro.Time)
}

// PreconditionsPerChange is the store's limit on the preconditions of a transaction as a multiple of
// its limit on the changes of a transaction.
const PreconditionsPerChange = 4

// Writer batches changes into transactions. It sends one transaction at a time, and up to
// maxInFlight concurrently while the store responds slowly. A key is in at most one of them.
type Writer struct {
	host    Host
	store   store.Store
	log     *slog.Logger
	records map[string]*Record

	// The queued records of each priority, in the order in which they were queued. An entry is
	// ignored if the record's priority is no longer that of the queue.
	queues       [priorityCount][]*Record
	rejected     []*Record      // rejected by the store, to be retried later
	changeCounts map[string]int // changes stored since the last call of ChangeCounts, by kind

	singleChangeBatches  int        // number of following transactions limited to one change, to find a malformed one
	inFlight             int        // number of transactions and reads of uncertain keys in flight
	lastSent             micro.Time // when the last transaction or read was sent
	notBefore            micro.Time // no transaction is sent before this time
	lowPriorityNotBefore micro.Time // no transaction with only low-priority changes is sent before this time
}

// New returns a writer that is owned by the loop of a host.
func New(host Host, st store.Store, log *slog.Logger) *Writer {
	return &Writer{host: host, store: st, log: log, records: map[string]*Record{}, changeCounts: map[string]int{}}
}

// Record returns the record of a key, and creates it if there is none.
func (w *Writer) Record(key string) *Record {
	record := w.records[key]
	if record == nil {
		record = &Record{writer: w, Key: key, OnCommitted: func(uint64) {}}
		w.records[key] = record
	}
	return record
}

// Lookup returns the record of a key, or nil if there is none.
func (w *Writer) Lookup(key string) *Record { return w.records[key] }

// Drop removes a record from the writer. The key in the store is not changed.
func (w *Writer) Drop(record *Record) { delete(w.records, record.Key) }

// Each calls f for every record, in no particular order.
func (w *Writer) Each(f func(record *Record)) {
	for _, record := range w.records {
		f(record)
	}
}

// Queued returns the number of entries in the queue of a priority. Entries of changes that have
// moved to another queue, which are skipped later, are included.
func (w *Writer) Queued(priority Priority) int { return len(w.queues[priority]) }

// Settled reports whether no write is pending, in flight or uncertain.
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

// countChanges counts changes by kind: the first segment of the key, and whether it is a delete.
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

// ChangeCounts returns the number of changes of each kind that were stored since its last call, as
// text, and resets the counts.
func (w *Writer) ChangeCounts() string {
	kinds := make([]string, 0, len(w.changeCounts))
	for kind, n := range w.changeCounts {
		kinds = append(kinds, kind+" "+strconv.Itoa(n))
	}
	clear(w.changeCounts)
	sort.Strings(kinds)
	return strings.Join(kinds, ", ")
}

// EscalateAll raises all queued changes to the highest priority.
func (w *Writer) EscalateAll(now micro.Time) {
	for _, record := range w.records {
		if record.dirty {
			record.MarkDirty(now, PriorityUrgent)
		}
	}
}
