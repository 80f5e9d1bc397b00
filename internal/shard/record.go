// Package shard divides the machines among the controllers. A shard is a named set of
// machines with one owner, the controller that answers their heartbeats, places tasks on
// them and commands them. All other machines belong to whoever leads.
//
// The store holds one record for each shard. At each of its revisions the record names
// one owner at the most, and every write of an owner carries the record's version, so
// that what an earlier owner sent changes nothing. The package does no I/O: it says
// which transaction comes next, and takes in what came of it.
package shard

import (
	"errors"
	"fmt"
	"slices"

	"notchmux.dev/notchmux/wire"
)

// State is the state of a shard's record.
type State string

// The states of a shard.
const (
	Forming  State = "forming"  // the leader still owns the machines, and clears them of other work
	Owned    State = "owned"    // its owner acts
	Moving   State = "moving"   // its owner still acts, and is to transfer to the target
	Released State = "released" // its owner gave it back to the leader, which takes in its work
)

// stateTransitions lists the states that may follow each state.
var stateTransitions = map[State][]State{
	Forming:  {Owned, Released},
	Owned:    {Moving, Owned},
	Moving:   {Owned, Released},
	Released: {},
}

// The reasons for which a change of a shard is refused.
var (
	ErrSameOwner            = errors.New("the target owns the share already")
	ErrAlreadyMoving        = errors.New("the share is moving already")
	ErrNotMoving            = errors.New("the share is not moving")
	ErrNotOwned             = errors.New("the share has no owner yet, or none any more")
	ErrTargetWithoutSession = errors.New("the target has no session: it is not running, or runs without shares")
	ErrOverlap              = errors.New("another share selects some of the same machines")
	ErrSelectsAll           = errors.New("selects all machines: name a type, a zone or a kind")
)

// Controller is one incarnation of a controller as an owner.
type Controller struct {
	Node           string     `msgpack:"node" json:"node"`
	SessionVersion wire.Count `msgpack:"session" json:"session"` // version of its session's key
}

// Precondition is the condition that this incarnation still has its session.
func (c Controller) Precondition() wire.Precondition {
	return wire.Precondition{Key: SessionKey(c.Node), Version: c.SessionVersion}
}

// Record is the value of a shard's key.
type Record struct {
	State        State      `msgpack:"state" json:"state"`
	Owner        Controller `msgpack:"owner" json:"owner"`   // none while forming or released
	Target       Controller `msgpack:"target" json:"target"` // while moving; no node: the leader
	Selector     Selector   `msgpack:"select" json:"select"`
	Teams        []string   `msgpack:"teams" json:"teams"` // whose jobs go there first; empty: jobs of any team
	OwnerChanges uint64     `msgpack:"moves" json:"moves"` // changes of owner so far
	ChangedAt    int64      `msgpack:"at" json:"at"`       // wall clock of the last change, microseconds
}

// transition is the one place where a record's state changes.
func (r Record) transition(to State, owner, target Controller, wall int64) (Record, error) {
	if !slices.Contains(stateTransitions[r.State], to) {
		return r, fmt.Errorf("from %s to %s: %w", r.State, to, ErrNotOwned)
	}
	if owner != r.Owner {
		r.OwnerChanges++
	}
	r.State, r.Owner, r.Target, r.ChangedAt = to, owner, target, wall
	return r, nil
}

// NewRecord makes the record of a new shard.
func NewRecord(s Selector, teams []string, wall int64) Record {
	return Record{State: Forming, Selector: s, Teams: teams, ChangedAt: wall}
}

// Grant gives a shard that was formed to its first owner.
func (r Record) Grant(owner Controller, wall int64) (Record, error) {
	if r.State != Forming {
		return r, ErrSameOwner
	}
	return r.transition(Owned, owner, Controller{}, wall)
}

// Move begins a move to a target; without a node, back to the leader.
func (r Record) Move(target Controller, wall int64) (Record, error) {
	switch {
	case r.State == Moving && r.Target.Node == target.Node:
		return r, ErrAlreadyMoving
	case r.State == Moving:
		return r, fmt.Errorf("to %q: %w", r.Target.Node, ErrAlreadyMoving)
	case r.State != Owned:
		return r, ErrNotOwned
	case target.Node == r.Owner.Node:
		return r, ErrSameOwner
	}
	return r.transition(Moving, r.Owner, target, wall)
}

// CancelMove ends a move that was not carried out: the owner stays.
func (r Record) CancelMove(wall int64) (Record, error) {
	if r.State != Moving {
		return r, ErrNotMoving
	}
	return r.transition(Owned, r.Owner, Controller{}, wall)
}

// Transfer carries out a move.
func (r Record) Transfer(wall int64) (Record, error) {
	switch {
	case r.State != Moving:
		return r, ErrNotMoving
	case r.Target.Node == "":
		return r.transition(Released, Controller{}, Controller{}, wall)
	}
	return r.transition(Owned, r.Target, Controller{}, wall)
}

// Reassign gives the shard of an owner whose session is over to another incarnation. A
// move back to the leader goes on with that one.
func (r Record) Reassign(owner Controller, wall int64) (Record, error) {
	if r.State != Owned && r.State != Moving {
		return r, ErrNotOwned
	}
	return r.transition(Owned, owner, Controller{}, wall)
}

// Rewritten is the same record, to be written anew: whatever else was sent with the
// version before can then no longer be carried out.
func (r Record) Rewritten(wall int64) Record {
	r.ChangedAt = wall
	return r
}
