package writer

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Urgency is how soon a change must be written. A queue holds each.
type Urgency uint8

// The urgencies, most urgent first.
const (
	First      Urgency = iota // withdrawals, and starts of the first priority
	Soon                      // other starts, ends, rentals
	Lazy                      // completions, which workers keep until they are written
	Idle                      // records of what is over, which only the next takeover would read
	urgencies  = 4
	parkFor    = 5 * micro.Second         // how long a change waits that the store does not take
	coalesce   = 1500 * micro.Millisecond // how long a lazy change waits for others of its key to join it
	extraBytes = 300                      // of a transaction, for each change beside its value
)

// Entry is one key that a writer keeps. Every write of it is guarded by the conditions
// of the writer's host and by the version last known: a late copy of an earlier write
// fails, whatever it carries.
type Entry struct {
	Key string
	// Build gives the value to be written, and a note that Saved gets once it is in
	// the store. A nil value deletes the key; NotYet writes nothing now.
	Build func() (value any, note uint64)
	// Saved is told that a write is in the store.
	Saved func(note uint64)
	// Found is told what the store holds after an uncertain write; true settles it.
	// It may be nil.
	Found func(it wire.Item) bool
	// Guards are further conditions of each write; it may be nil.
	Guards func() []wire.Guard

	w       *Writer
	version uint64
	dirty   bool
	urgency Urgency
	verify  bool       // an uncertain write: read the version before the next
	doubt   bool       // a write went out that may yet be carried out, or was, unknown to this writer
	flying  bool       // a write of it, or a look at it, is under way
	held    bool       // of those, one got no answer: it may be carried out at any later time
	parked  micro.Time // the store would not take it: no try before
	since   micro.Time // when it became dirty
}

// NotYet is what an entry builds whose time will come by another touch.
var NotYet = new(struct{ _ int })

// Version is the key's version as last known; 0: it does not exist.
func (e *Entry) Version() uint64 { return e.version }

// SetVersion notes the key's version as it was read.
func (e *Entry) SetVersion(version uint64) { e.version = version }

// Dirty reports whether a change waits to be written.
func (e *Entry) Dirty() bool { return e.dirty }

// Clean forgets a change that waits to be written.
func (e *Entry) Clean() { e.dirty = false }

// Doubtful reports whether a write went out that may be in the store, or come to it,
// unknown to this writer. That it is not there when it is looked for says nothing of
// later: held up for seconds, it may be carried out after the look.
func (e *Entry) Doubtful() bool { return e.doubt }

// Settled reports whether nothing of the entry is still to be written or in doubt.
func (e *Entry) Settled() bool { return !e.dirty && !e.flying && !e.verify && !e.doubt }

// Touch notes that the key is to be written.
func (e *Entry) Touch(now micro.Time, u Urgency) {
	if now < e.parked {
		e.urgency = u
		if !e.dirty {
			e.dirty, e.since = true, now
			e.w.parked = append(e.w.parked, e)
		}
		return
	}
	if e.dirty && e.urgency <= u {
		return
	}
	if !e.dirty {
		e.dirty, e.since = true, now
	}
	e.urgency = u
	e.w.queues[u] = append(e.w.queues[u], e)
}

// PutOff makes a change wait until there is time for it, however urgent it was.
func (e *Entry) PutOff(now micro.Time) {
	if e.dirty && e.urgency == Idle {
		return
	}
	e.dirty = false // its place in the other queue is passed over
	e.Touch(now, Idle)
}
