package shard

import (
	"errors"
	"slices"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// OwnerState is the state of an owner with respect to its shard.
type OwnerState uint8

// States of an owner.
const (
	Active       OwnerState = iota // answers heartbeats, allocates tasks and sends commands
	Draining                       // like Active, but allocates nothing more: the shard is to move
	Transferring                   // the transfer transaction is in flight: sends no responses
	Uncertain                      // the transfer got no response, and may yet be executed: sends no responses
	Relinquished                   // no longer owns the shard, and never acts again
)

func (s OwnerState) String() string {
	return [...]string{"active", "draining", "transferring", "uncertain", "relinquished"}[s]
}

// ownerTransitions lists the states that may follow each state.
var ownerTransitions = map[OwnerState][]OwnerState{
	Active:       {Draining, Relinquished},
	Draining:     {Active, Transferring, Relinquished},
	Transferring: {Draining, Uncertain, Relinquished},
	Uncertain:    {Active, Draining, Relinquished},
}

// tokenCounterBits is the number of low bits of a fencing token, which an owner may count up. The bits above them are
// the revision that gave it the shard.
const tokenCounterBits = 24

// Owner is the state machine of one controller's ownership of one shard, from the revision that names the controller
// to the one that names another. Its methods must be called by the goroutine that answers the shard's machines, so
// that no answer is given between a change of state and the next check of it.
type Owner struct {
	self            Controller
	session         *election.Term // term of the controller's session
	entry           Entry          // latest record that names this owner
	firstRevision   uint64         // first revision known to name this owner
	state           OwnerState
	pendingTransfer wire.Transaction // the transfer that is in flight or uncertain
	log             func(msg string, args ...any)
}

// NewOwner returns the owner of a shard whose record names the incarnation self. While the lease of its session holds,
// only the leader can change the record, by requesting or cancelling a move, and only this owner's own transaction
// can transfer the shard.
func NewOwner(entry Entry, session *election.Term, self Controller, log func(msg string, args ...any)) *Owner {
	owner := &Owner{self: self, session: session, entry: entry, firstRevision: entry.Version, log: log}
	if entry.Record.State == Moving {
		owner.transition(Draining, "move requested")
	}
	return owner
}

// transition changes the owner's state if ownerTransitions allows it. All changes of an owner's state go through it.
func (o *Owner) transition(to OwnerState, reason string) {
	for _, allowed := range ownerTransitions[o.state] {
		if allowed == to {
			o.log(
				"shard owner state changed", "shard", o.entry.Name, "from", o.state.String(), "to", to.String(), "reason", reason,
				"version", o.entry.Version,
			)
			o.state = to
			return
		}
	}
}

// State returns the owner's state.
func (o *Owner) State() OwnerState { return o.state }

// Entry returns the shard's record as the owner knows it.
func (o *Owner) Entry() Entry { return o.entry }

// MayServe reports whether the owner may answer the shard's machines and send commands. Its lease ends by its own
// monotonic clock before the store expires its session: only after that can the leader give the shard to another
// owner.
func (o *Owner) MayServe(now micro.Time) bool { return o.MayRespond() && o.session.HoldsLease(now) }

// MayRespond reports whether the owner's state allows it to answer, provided that the lease of its session holds.
func (o *Owner) MayRespond() bool { return o.state == Active || o.state == Draining }

// MayAllocate reports whether the owner may make new allocations.
func (o *Owner) MayAllocate() bool { return o.state == Active }

// Preconditions returns the preconditions of each of the owner's writes: the write of an allocation that races with a
// move fails, and no start command is sent for it.
func (o *Owner) Preconditions() []wire.Precondition {
	return []wire.Precondition{o.self.Precondition(), o.entry.Precondition()}
}

// FirstRevision returns the first revision that is known to name this owner.
func (o *Owner) FirstRevision() uint64 { return o.firstRevision }

// FirstFencingToken returns the lowest fencing token of this ownership. The revision that names an owner is higher than
// any that named an earlier owner, so tokens rise with each change of owner.
func (o *Owner) FirstFencingToken() uint64 { return FirstFencingToken(o.firstRevision) }

// FirstFencingToken returns the first fencing token that the owner named at a revision uses.
func FirstFencingToken(revision uint64) uint64 { return revision << tokenCounterBits }

// Observe applies a record that was read, unless the owner knows the same or a later version. A record that names
// another controller, or another incarnation of this one, ends the ownership permanently.
func (o *Owner) Observe(entry Entry) {
	if o.state == Relinquished || entry.Version <= o.entry.Version {
		return
	}
	if entry.Record.Owner != o.self || !entry.HasOwner() {
		o.transition(Relinquished, "owner is "+ownerName(entry.Record.Owner))
		return
	}
	if entry.Record.OwnerChanges != o.entry.Record.OwnerChanges {
		// A transfer that got no response was executed, and the shard was moved back before this owner read the
		// record again. Treated as the same ownership, it kept answering with fencing tokens below those of the
		// owner in between.
		o.transition(Relinquished, "owned by another controller in between")
		return
	}
	o.entry = entry
	// The record has changed since a transfer was sent. The transfer requires the previous version, so it was not
	// executed, and never will be.
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

// HandleRecordDeleted ends the ownership because the shard's record does not exist.
func (o *Owner) HandleRecordDeleted() {
	if o.state != Relinquished {
		o.transition(Relinquished, "record deleted")
	}
}

// BeginTransfer starts the transfer of a draining owner's shard; false: no transfer is due. The caller must have made
// no allocation since the move began, and none of its writes may be in flight or uncertain. From here on the owner
// sends no responses. The returned transaction names the new owner, and is the only one that does.
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

// HandleTransferResult applies the result of the transfer. The owner may answer again only after an error that proves
// that the transfer was not executed, and never will be.
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

// ResolveUncertain returns the transaction that resolves an uncertain transfer while the record reads as before; false:
// the transfer is not uncertain. A transfer that got no response could otherwise be executed once this owner acts
// again. The transaction rewrites the record and so changes its version: what was sent with the previous version
// fails permanently.
func (o *Owner) ResolveUncertain(wall int64) (wire.Transaction, bool) {
	if o.state != Uncertain {
		return wire.Transaction{}, false
	}
	return o.entry.Update(o.entry.Record.Rewritten(wall), o.self.Precondition()), true
}

// HandleResolveResult applies the result of the transaction of ResolveUncertain: the revision at which the record was
// written. After an error the transfer remains uncertain, and the record is read again.
func (o *Owner) HandleResolveResult(revision uint64, err error) {
	if o.state != Uncertain || err != nil {
		return
	}
	entry := o.entry
	entry.Version = revision
	o.Observe(entry)
}

// notExecutedErrors are the errors of the store that prove that a transaction was not executed, and never will be.
var notExecutedErrors = []error{
	store.ErrConflict, store.ErrRefused, store.ErrRateLimited,
	store.ErrBudgetExhausted, store.ErrMalformed, store.ErrNoLease,
}

// provenNotExecuted reports whether an error of the store proves that a transaction was not executed, and never will
// be.
func provenNotExecuted(err error) bool {
	return slices.ContainsFunc(notExecutedErrors, func(known error) bool { return errors.Is(err, known) })
}

func ownerName(c Controller) string {
	if c.Node == "" {
		return "the leader"
	}
	return c.Node
}
