package statestore

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Priority is how soon a change must be written; each has a queue.
type Priority uint8

// The priorities, highest first.
const (
	PriorityUrgent     Priority = iota // cancellations, and starts of the first priority
	PriorityHigh                       // other starts, ends of jobs, instance requests
	PriorityLow                        // completions of tasks, which agents report until they are written
	PriorityBackground                 // records of finished jobs, which only the next failover would read
	priorityCount      = 4
)

const (
	// rejectedRetryDelay is how long a change waits that the store rejected.
	rejectedRetryDelay = 5 * micro.Second
	// coalesceWindow is how long a change of low priority waits for others of its key to join it.
	coalesceWindow = 1500 * micro.Millisecond
	// changeOverhead is what a change takes of a transaction beside its value, in bytes.
	changeOverhead = 300
)

// Record is one key that a writer keeps. The preconditions of every write of it are those of
// the writer's host and the version last known: a late copy of an earlier write fails,
// whatever it carries.
type Record struct {
	Key string
	// Build gives the value to be written, and the version in memory that OnCommitted gets
	// once it is in the store. A nil value deletes the key; NotReady writes nothing now.
	Build func() (value any, memoryVersion uint64)
	// OnCommitted is called when a write is in the store.
	OnCommitted func(memoryVersion uint64)
	// ResolveUncertain takes in what the store holds after an uncertain write; true: nothing
	// more is to be written. It may be nil.
	ResolveUncertain func(item wire.Item) bool
	// Preconditions are further conditions of each write; it may be nil.
	Preconditions func() []wire.Precondition

	writer             *Writer
	version            uint64
	dirty              bool
	priority           Priority
	needsVerify        bool       // an uncertain write: read the version before the next
	uncertain          bool       // a write was sent that may yet be executed, or was, unknown to this writer
	inFlight           bool       // a write of it, or a read of its version, is in flight
	deleteSent         bool       // the last write that was sent deletes the key
	mayExecuteLate bool       // a write of it got no response: it may be executed at any later time
	rejectedUntil      micro.Time // the store rejected it: no retry before
	dirtySince         micro.Time // when it became dirty
}

// NotReady is what Build gives while the change has to wait: the record is marked dirty again
// when its time comes.
var NotReady = new(struct{ _ int })

// Version is the key's version as last known; 0: it does not exist.
func (r *Record) Version() uint64 { return r.version }

// SetVersion notes the key's version as it was read.
func (r *Record) SetVersion(version uint64) { r.version = version }

// Dirty reports whether a change waits to be written.
func (r *Record) Dirty() bool { return r.dirty }

// ClearDirty forgets a change that waits to be written.
func (r *Record) ClearDirty() { r.dirty = false }

// Uncertain reports whether a write was sent that may be in the store, or come to it, unknown
// to this writer. That a read does not find it says nothing of later: held up for seconds, it
// may be executed after the read.
func (r *Record) Uncertain() bool { return r.uncertain }

// AbsentAtLastRead reports whether the key does not exist as far as was read, and nothing of the record is to
// be written or read. A write without an answer may still be executed.
func (r *Record) AbsentAtLastRead() bool {
	return r.version == 0 && !r.dirty && !r.inFlight && !r.needsVerify
}

// Settled reports whether nothing of the record is still to be written or uncertain.
func (r *Record) Settled() bool { return !r.dirty && !r.inFlight && !r.needsVerify && !r.uncertain }

// MarkDirty notes that the key is to be written, and how soon. A change that waits already is
// only ever made more urgent.
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

// Defer gives a change the lowest priority, however urgent it was.
func (r *Record) Defer(now micro.Time) {
	if r.dirty && r.priority == PriorityBackground {
		return
	}
	r.dirty = false // skipped in the other queue
	r.MarkDirty(now, PriorityBackground)
}
