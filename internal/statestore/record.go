package statestore

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Priority determines how soon a change is written. Each priority has its own queue.
type Priority uint8

// The priorities, highest first.
const (
	PriorityUrgent     Priority = iota // cancellations, and task starts of jobs of the highest priority level
	PriorityHigh                       // other task starts, final states of jobs, instance requests
	PriorityLow                        // task completions, which agents report until they are written
	PriorityBackground                 // records of ended jobs, which only the next failover would read
	priorityCount      = 4
)

const (
	// rejectedRetryDelay is the delay before a change that the store rejected is sent again.
	rejectedRetryDelay = 5 * micro.Second
	// coalesceWindow is how long a low-priority change is delayed so that further changes of its
	// key are written with it.
	coalesceWindow = 1500 * micro.Millisecond
	// changeOverhead is the size of a change in a transaction without its value, in bytes.
	changeOverhead = 300
)

// Record is a key that a writer maintains. Every write of it has the preconditions of the writer's
// host and of the last known version of the key, so that a late copy of an earlier write fails
// whatever its value.
type Record struct {
	Key string
	// Build returns the value to write and its version in memory, which is passed to OnCommitted
	// once the value is in the store. A nil value deletes the key; NotReady writes nothing.
	Build func() (value any, memoryVersion uint64)
	// OnCommitted is called when a write is known to be in the store.
	OnCommitted func(memoryVersion uint64)
	// ResolveUncertain is called with the stored item that was read after an uncertain write. It
	// returns true if nothing more needs to be written. It may be nil.
	ResolveUncertain func(item wire.Item) bool
	// Preconditions returns additional preconditions of each write. It may be nil.
	Preconditions func() []wire.Precondition

	writer         *Writer
	version        uint64
	dirty          bool
	priority       Priority
	needsVerify    bool       // the last write is uncertain: the version must be read before the next one
	uncertain      bool       // a write without a known outcome may have been executed, or may be executed later
	inFlight       bool       // a write of the record, or a read of its version, is in flight
	deleteSent     bool       // the last write that was sent is a delete
	mayExecuteLate bool       // a write got no response: it may be executed at any later time
	rejectedUntil  micro.Time // no retry before this time because the store rejected the value
	dirtySince     micro.Time // when the record became dirty
}

// NotReady is returned by Build if the change must not be written yet. The caller marks the record
// dirty again once it may be written.
var NotReady = new(struct{ _ int })

// Version returns the last known version of the key, or 0 if the key does not exist.
func (r *Record) Version() uint64 { return r.version }

// SetVersion sets the last known version of the key.
func (r *Record) SetVersion(version uint64) { r.version = version }

// Dirty reports whether a change is waiting to be written.
func (r *Record) Dirty() bool { return r.dirty }

// ClearDirty discards a change that is waiting to be written.
func (r *Record) ClearDirty() { r.dirty = false }

// Uncertain reports whether a write without a known outcome may be in the store, or may be executed
// later. A read that does not find the write does not resolve it: a write that is delayed for
// seconds may be executed after the read.
func (r *Record) Uncertain() bool { return r.uncertain }

// AbsentAtLastRead reports whether the key did not exist when it was last read or written, and no
// write or read of the record is pending. A write without a response may still be executed late.
func (r *Record) AbsentAtLastRead() bool {
	return r.version == 0 && !r.dirty && !r.inFlight && !r.needsVerify
}

// Settled reports whether no write of the record is pending, in flight or uncertain.
func (r *Record) Settled() bool { return !r.dirty && !r.inFlight && !r.needsVerify && !r.uncertain }

// MarkDirty schedules a write of the key with a priority. It never lowers the priority of a change
// that is already queued. A change that the store rejected gets the given
// priority and is queued after its retry delay.
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

// Defer schedules a write of the key with the lowest priority, whatever its priority was before.
func (r *Record) Defer(now micro.Time) {
	if r.dirty && r.priority == PriorityBackground {
		return
	}
	r.dirty = false // the entry in the previous queue is skipped because of its priority
	r.MarkDirty(now, PriorityBackground)
}
