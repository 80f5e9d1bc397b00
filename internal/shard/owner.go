package shard

import (
	"errors"
	"slices"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// OwnerState is how an owner stands to its shard.
type OwnerState uint8

// The states of an owner.
const (
	Active       OwnerState = iota // it answers heartbeats, allocates tasks and sends commands
	Draining                       // the same, but it allocates nothing more: the shard is to move
	Transferring                   // the transaction of the transfer is in flight: it answers nobody
	Uncertain                      // that got no response, and may yet be executed: it answers nobody
	Relinquished                   // it no longer owns the shard, and never acts again
)

func (s OwnerState) String() string {
	return [...]string{"active", "draining", "transferring", "uncertain", "relinquished"}[s]
}

var ownerTransitions = map[OwnerState][]OwnerState{
	Active:       {Draining, Relinquished},
	Draining:     {Active, Transferring, Relinquished},
	Transferring: {Draining, Uncertain, Relinquished},
	Uncertain:    {Active, Draining, Relinquished},
}

// tokenCounterBits are the low bits of a token, which an owner may count up; the bits above
// are the revision that gave it the shard.
const tokenCounterBits = 24

// Owner is one controller's ownership of one shard, from the revision that names it to
// the one that names another. Its methods are called by the goroutine that answers the
// shard's machines: no answer comes between a change of state and the next look at it.
type Owner struct {
	self            Controller
	session         *election.Term // of the controller's session
	entry           Entry          // the latest record that names it
	firstRevision   uint64         // the first revision known to name it
	state           OwnerState
	pendingTransfer wire.Transaction // the transfer that is under way or in doubt
	log             func(msg string, args ...any)
}

// NewOwner takes up a shard whose record names this incarnation. The right is that of
// its session: while it holds, the record can change by the leader's moves only, and
// change hands only by this owner's own transaction.
func NewOwner(entry Entry, session *election.Term, self Controller, log func(msg string, args ...any)) *Owner {
	owner := &Owner{self: self, session: session, entry: entry, firstRevision: entry.Version, log: log}
	if entry.Record.State == Moving {
		owner.transition(Draining, "move requested")
	}
	return owner
}

// transition is the one place where an owner's state changes.
func (o *Owner) transition(to OwnerState, reason string) {
	for _, allowed := range ownerTransitions[o.state] {
		if allowed == to {
			o.log(
				"shard owner", "shard", o.entry.Name, "from", o.state.String(), "to", to.String(), "reason", reason,
				"version", o.entry.Version,
			)
			o.state = to
			return
		}
	}
}

// State is the owner's state.
func (o *Owner) State() OwnerState { return o.state }

// Entry is the record as the owner knows it.
func (o *Owner) Entry() Entry { return o.entry }

// MayServe reports whether the owner may answer the shard's machines and send commands. Its
// right ends by its own steady clock, before the store lets its session go: only then
// can the leader give the shard to another.
func (o *Owner) MayServe(now micro.Time) bool { return o.MayRespond() && o.session.HoldsLease(now) }

// MayRespond reports whether the owner may say anything while its session's right holds.
func (o *Owner) MayRespond() bool { return o.state == Active || o.state == Draining }

// MayAllocate reports whether new tasks may be placed.
func (o *Owner) MayAllocate() bool { return o.state == Active }

// Preconditions are the conditions of each of the owner's writes: a placement that races with
// a move fails them, and no start goes out for it.
func (o *Owner) Preconditions() []wire.Precondition {
	return []wire.Precondition{o.self.Precondition(), o.entry.Precondition()}
}

// FirstRevision is the first revision that is known to name this owner.
func (o *Owner) FirstRevision() uint64 { return o.firstRevision }

// FirstFencingToken is the lowest token of this ownership. The revision that names an owner is
// higher than any that named one before, so tokens rise with each change of owner.
func (o *Owner) FirstFencingToken() uint64 { return FirstFencingToken(o.firstRevision) }

// FirstFencingToken is the first fencing token that the owner as of a revision gives out.
func FirstFencingToken(revision uint64) uint64 { return revision << tokenCounterBits }

// Observe takes in a record that was read. One that names another, or another
// incarnation, ends the ownership for good.
func (o *Owner) Observe(entry Entry) {
	if o.state == Relinquished || entry.Version <= o.entry.Version {
		return
	}
	if entry.Record.Owner != o.self || !entry.HasOwner() {
		o.transition(Relinquished, "owner is "+ownerName(entry.Record.Owner))
		return
	}
	if entry.Record.OwnerChanges != o.entry.Record.OwnerChanges {
		// A transfer without an answer was carried out, and the shard came back before
		// the record was read again: taken for the same ownership, its answers went on
		// under tokens below those of the owner in between.
		o.transition(Relinquished, "owned by another in between")
		return
	}
	o.entry = entry
	// The record has changed since a transfer went out: that carries the version
	// before, so it was not carried out, and never will be.
	o.pendingTransfer = wire.Transaction{}
	if o.state == Transferring {
		o.transition(Draining, "record changed")
	}
	switch {
	case entry.Record.State == Moving && o.state == Active:
		o.transition(Draining, "move requested")
	case entry.Record.State == Moving && o.state == Uncertain:
		o.transition(Draining, "transfer not executed")
	case entry.Record.State == Owned && o.state != Active:
		o.transition(Active, "move cancelled")
	}
}

// HandleRecordDeleted takes in that the record does not exist.
func (o *Owner) HandleRecordDeleted() {
	if o.state != Relinquished {
		o.transition(Relinquished, "record deleted")
	}
}

// BeginTransfer begins to transfer. The caller has placed nothing since the move began, and
// none of its writes is under way or in doubt. From here on it says nothing; the
// transaction it gets names the new owner, and is the only one that does.
func (o *Owner) BeginTransfer(wall int64) (wire.Transaction, bool) {
	if o.state != Draining || o.entry.Record.State != Moving {
		return wire.Transaction{}, false
	}
	next, err := o.entry.Record.Transfer(wall)
	if err != nil {
		return wire.Transaction{}, false
	}
	preconditions := []wire.Precondition{o.self.Precondition()}
	if target := o.entry.Record.Target; target.Node != "" {
		preconditions = append(preconditions, target.Precondition())
	}
	o.transition(Transferring, "drained")
	o.pendingTransfer = o.entry.Update(next, preconditions...)
	return o.pendingTransfer, true
}

// HandleTransferResult takes in what came of the transfer. Only an answer that says that it was
// not carried out, and never will be, gives the leadership lease back.
func (o *Owner) HandleTransferResult(err error) {
	switch {
	case o.state != Transferring:
	case err == nil:
		o.transition(Relinquished, "transferred")
	case provenNotExecuted(err):
		o.pendingTransfer = wire.Transaction{}
		o.transition(Draining, err.Error())
	default:
		o.transition(Uncertain, err.Error())
	}
}

// ResolveUncertain gives the transaction that resolves a doubt in which the record reads as
// before: a transfer without an answer could be carried out as soon as this owner acts
// again. Written anew, the record has another version, and what was sent with the one
// before fails for good.
func (o *Owner) ResolveUncertain(wall int64) (wire.Transaction, bool) {
	if o.state != Uncertain {
		return wire.Transaction{}, false
	}
	return o.entry.Update(o.entry.Record.Rewritten(wall), o.self.Precondition()), true
}

// HandleResolveResult takes in what came of that: the revision at which it was written. Anything
// else leaves the doubt, and the record is read again.
func (o *Owner) HandleResolveResult(revision uint64, err error) {
	if o.state != Uncertain || err != nil {
		return
	}
	entry := o.entry
	entry.Version = revision
	o.Observe(entry)
}

// notExecutedErrors are the errors that say so of a transaction.
var notExecutedErrors = []error{
	store.ErrConflict, store.ErrRefused, store.ErrRateLimited,
	store.ErrBudgetExhausted, store.ErrMalformed, store.ErrNoLease,
}

// provenNotExecuted reports whether an answer of the store says that a transaction was not
// carried out and will not be.
func provenNotExecuted(err error) bool {
	return slices.ContainsFunc(notExecutedErrors, func(known error) bool { return errors.Is(err, known) })
}

func ownerName(c Controller) string {
	if c.Node == "" {
		return "the leader"
	}
	return c.Node
}
