package share

import (
	"errors"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// OwnerState is how an owner stands to its share.
type OwnerState uint8

// The states of an owner.
const (
	Acting      OwnerState = iota // it answers reports, places tasks and sends orders
	Settling                      // the same, but it places nothing more: the share is to move
	HandingOver                   // the transaction that hands over is under way: it says nothing
	Doubtful                      // that has no answer, and may yet be carried out: it says nothing
	Over                          // it owns the share no more, and never acts again
)

func (s OwnerState) String() string {
	return [...]string{"acting", "settling", "handing over", "doubtful", "over"}[s]
}

var ownerMoves = map[OwnerState][]OwnerState{
	Acting:      {Settling, Over},
	Settling:    {Acting, HandingOver, Over},
	HandingOver: {Settling, Doubtful, Over},
	Doubtful:    {Acting, Settling, Over},
}

// tokenBits are the low bits of a token, which an owner may count up; the bits above
// are the revision that gave it the share.
const tokenBits = 24

// Owner is one controller's ownership of one share, from the revision that names it to
// the one that names another. Its methods are called by the goroutine that answers the
// share's machines: no answer comes between a change of state and the next look at it.
type Owner struct {
	self    Controller
	right   *election.Term // of the controller's session
	entry   Entry          // the latest record that names it
	first   uint64         // the first revision known to name it
	state   OwnerState
	pending wire.Txn // the hand-over that is under way or in doubt
	log     func(msg string, args ...any)
}

// NewOwner takes up a share whose record names this incarnation. The right is that of
// its session: while it holds, the record can change by the leader's moves only, and
// change hands only by this owner's own transaction.
func NewOwner(e Entry, right *election.Term, self Controller, log func(msg string, args ...any)) *Owner {
	o := &Owner{self: self, right: right, entry: e, first: e.Version, log: log}
	if e.Record.State == Moving {
		o.become(Settling, "the share is to move")
	}
	return o
}

// become is the one place where an owner's state changes.
func (o *Owner) become(to OwnerState, why string) {
	for _, s := range ownerMoves[o.state] {
		if s == to {
			o.log("share owner", "share", o.entry.Name, "was", o.state.String(), "is", to.String(), "why", why, "version", o.entry.Version)
			o.state = to
			return
		}
	}
}

// State is the owner's state.
func (o *Owner) State() OwnerState { return o.state }

// Entry is the record as the owner knows it.
func (o *Owner) Entry() Entry { return o.entry }

// Valid reports whether the owner may answer the share's machines and send orders. Its
// right ends by its own steady clock, before the store lets its session go: only then
// can the leader give the share to another.
func (o *Owner) Valid(now micro.Time) bool { return o.Speaks() && o.right.Valid(now) }

// Speaks reports whether the owner may say anything while its session's right holds.
func (o *Owner) Speaks() bool { return o.state == Acting || o.state == Settling }

// Places reports whether new tasks may be placed.
func (o *Owner) Places() bool { return o.state == Acting }

// Guards are the conditions of each of the owner's writes: a placement that races with
// a move fails them, and no start goes out for it.
func (o *Owner) Guards() []wire.Guard { return []wire.Guard{o.self.Guard(), o.entry.Guard()} }

// FirstToken is the lowest token of this ownership. The revision that names an owner is
// higher than any that named one before, so tokens rise with each change of owner.
func (o *Owner) FirstToken() uint64 { return o.first << tokenBits }

// Observe takes in a record that was read. One that names another, or another
// incarnation, ends the ownership for good.
func (o *Owner) Observe(e Entry) {
	if o.state == Over || e.Version <= o.entry.Version {
		return
	}
	if e.Record.Owner != o.self || !e.Away() {
		o.become(Over, "the record names "+nameOf(e.Record.Owner))
		return
	}
	if e.Record.Moves != o.entry.Record.Moves {
		// A hand-over without an answer was carried out, and the share came back before
		// the record was read again: taken for the same ownership, its answers went on
		// under tokens below those of the owner in between.
		o.become(Over, "the share was another's meanwhile")
		return
	}
	o.entry = e
	// The record has changed since a hand-over went out: that carries the version
	// before, so it was not carried out, and never will be.
	o.pending = wire.Txn{}
	if o.state == HandingOver {
		o.become(Settling, "the record changed")
	}
	switch {
	case e.Record.State == Moving && o.state == Acting:
		o.become(Settling, "the share is to move")
	case e.Record.State == Moving && o.state == Doubtful:
		o.become(Settling, "the hand-over was not carried out")
	case e.Record.State == Owned && o.state != Acting:
		o.become(Acting, "the move is cancelled")
	}
}

// Gone takes in that the record does not exist.
func (o *Owner) Gone() {
	if o.state != Over {
		o.become(Over, "there is no such share")
	}
}

// HandOver begins to hand over. The caller has placed nothing since the move began, and
// none of its writes is under way or in doubt. From here on it says nothing; the
// transaction it gets names the new owner, and is the only one that does.
func (o *Owner) HandOver(wall int64) (wire.Txn, bool) {
	if o.state != Settling || o.entry.Record.State != Moving {
		return wire.Txn{}, false
	}
	later, err := o.entry.Record.HandOver(wall)
	if err != nil {
		return wire.Txn{}, false
	}
	guards := []wire.Guard{o.self.Guard()}
	if target := o.entry.Record.Target; target.Node != "" {
		guards = append(guards, target.Guard())
	}
	o.become(HandingOver, "all is settled")
	o.pending = o.entry.Put(later, guards...)
	return o.pending, true
}

// HandedOver takes in what came of the hand-over. Only an answer that says that it was
// not carried out, and never will be, gives the right to act back.
func (o *Owner) HandedOver(err error) {
	switch {
	case o.state != HandingOver:
	case err == nil:
		o.become(Over, "handed over")
	case notCarriedOut(err):
		o.pending = wire.Txn{}
		o.become(Settling, err.Error())
	default:
		o.become(Doubtful, err.Error())
	}
}

// Renew gives the transaction that resolves a doubt in which the record reads as
// before: a hand-over without an answer could be carried out as soon as this owner acts
// again. Written anew, the record has another version, and what was sent with the one
// before fails for good.
func (o *Owner) Renew(wall int64) (wire.Txn, bool) {
	if o.state != Doubtful {
		return wire.Txn{}, false
	}
	return o.entry.Put(o.entry.Record.Renewed(wall), o.self.Guard()), true
}

// Renewed takes in what came of that: the revision at which it was written. Anything
// else leaves the doubt, and the record is read again.
func (o *Owner) Renewed(revision uint64, err error) {
	if o.state != Doubtful || err != nil {
		return
	}
	e := o.entry
	e.Version = revision
	o.Observe(e)
}

// notCarriedOut reports whether an answer of the store says that a transaction was not
// carried out and will not be.
func notCarriedOut(err error) bool {
	for _, known := range []error{store.ErrConflict, store.ErrRefused, store.ErrBusy, store.ErrBudget, store.ErrBad, store.ErrNoLease} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

func nameOf(c Controller) string {
	if c.Node == "" {
		return "the leader"
	}
	return c.Node
}
