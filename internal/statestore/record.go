package statestore

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Priority is how soon a change must be written. A queue holds each.
type Priority uint8

// The urgencies, most urgent first.
const (
	PriorityUrgent     Priority = iota // withdrawals, and starts of the first priority
	PriorityHigh                       // other starts, ends, rentals
	PriorityLow                        // completions, which workers keep until they are written
	PriorityBackground                 // records of what is over, which only the next takeover would read
	priorityCount      = 4
	rejectedRetryDelay = 5 * micro.Second         // how long a change waits that the store does not take
	coalesceWindow     = 1500 * micro.Millisecond // how long a lazy change waits for others of its key to join it
	changeOverhead     = 300                      // of a transaction, for each change beside its value
)

// Record is one key that a writer keeps. Every write of it is guarded by the conditions
// of the writer's host and by the version last known: a late copy of an earlier write
// fails, whatever it carries.
type Record struct {
	Key string
	// Build gives the value to be written, and a note that Saved gets once it is in
	// the store. A nil value deletes the key; NotReady writes nothing now.
	Build func() (value any, memoryVersion uint64)
	// Saved is told that a write is in the store.
	OnCommitted func(memoryVersion uint64)
	// Found is told what the store holds after an uncertain write; true settles it.
	// It may be nil.
	ResolveUncertain func(item wire.Item) bool
	// Guards are further conditions of each write; it may be nil.
	Preconditions func() []wire.Precondition

	writer             *Writer
	version            uint64
	dirty              bool
	priority           Priority
	needsVerify        bool       // an uncertain write: read the version before the next
	uncertain          bool       // a write went out that may yet be carried out, or was, unknown to this writer
	inFlight           bool       // a write of it, or a look at it, is under way
	inFlightUnanswered bool       // of those, one got no answer: it may be carried out at any later time
	rejectedUntil      micro.Time // the store would not take it: no try before
	dirtySince         micro.Time // when it became dirty
}

// NotReady is what an entry builds whose time will come by another touch.
var NotReady = new(struct{ _ int })

// Version is the key's version as last known; 0: it does not exist.
func (r *Record) Version() uint64 { return r.version }

// SetVersion notes the key's version as it was read.
func (r *Record) SetVersion(version uint64) { r.version = version }

// Dirty reports whether a change waits to be written.
func (r *Record) Dirty() bool { return r.dirty }

// ClearDirty forgets a change that waits to be written.
func (r *Record) ClearDirty() { r.dirty = false }

// Uncertain reports whether a write went out that may be in the store, or come to it,
// unknown to this writer. That it is not there when it is looked for says nothing of
// later: held up for seconds, it may be carried out after the look.
func (r *Record) Uncertain() bool { return r.uncertain }

// Settled reports whether nothing of the entry is still to be written or in doubt.
func (r *Record) Settled() bool { return !r.dirty && !r.inFlight && !r.needsVerify && !r.uncertain }

// MarkDirty notes that the key is to be written.
func (r *Record) MarkDirty(now micro.Time, priority Priority) {
	if now < r.rejectedUntil {
		r.priority = priority
		if !r.dirty {
			r.dirty, r.dirtySince = true, now
			r.writer.rejected = append(r.writer.rejected, r)
		}
		return
	}
	if r.dirty && r.priority <= priority {
		return
	}
	if !r.dirty {
		r.dirty, r.dirtySince = true, now
	}
	r.priority = priority
	r.writer.queues[priority] = append(r.writer.queues[priority], r)
}

// Defer makes a change wait until there is time for it, however urgent it was.
func (r *Record) Defer(now micro.Time) {
	if r.dirty && r.priority == PriorityBackground {
		return
	}
	r.dirty = false // its place in the other queue is passed over
	r.MarkDirty(now, PriorityBackground)
}
