// Package shard divides the machines among the controllers. A shard is a named set of machines with one owner: the
// controller that answers their heartbeats, allocates tasks to them and sends them commands. All other machines
// belong to the leader.
//
// The store holds one record for each shard. Every revision of the record names at most one owner, and every write of
// an owner has the record's version as a precondition, so that a late write of an earlier owner has no effect. Except
// for Watcher, which reads the records, the package does no I/O: it returns the next transaction, and applies its
// result.
package shard

import (
	"errors"
	"fmt"
	"slices"

	"notchmux.dev/notchmux/wire"
)

// State is the state of a shard's record.
type State string

// States of a shard's record.
const (
	Forming  State = "forming"  // the leader still owns the machines, and clears them of other work
	Owned    State = "owned"    // an owner serves the shard
	Moving   State = "moving"   // the owner still serves the shard, and is to transfer it to the target
	Released State = "released" // the owner released it to the leader, which reclaims its jobs and machines
)

// stateTransitions lists the states that may follow each state.
var stateTransitions = map[State][]State{
	Forming:  {Owned, Released},
	Owned:    {Moving, Owned},
	Moving:   {Owned, Released},
	Released: {},
}

// Errors for which a change of a shard is refused.
var (
	ErrSameOwner            = errors.New("the target owns the share already")
	ErrAlreadyMoving        = errors.New("the share is moving already")
	ErrNotMoving            = errors.New("the share is not moving")
	ErrNotOwned             = errors.New("the share has no owner yet, or none any more")
	ErrTargetWithoutSession = errors.New("the target has no session: it is not running, or runs without shares")
	ErrOverlap              = errors.New("another share selects some of the same machines")
	ErrSelectsAll           = errors.New("selects all machines: name a type, a zone or a kind")
)

// Controller identifies one incarnation of a controller as an owner.
type Controller struct {
	Node           string     `msgpack:"node" json:"node"`
	SessionVersion wire.Count `msgpack:"session" json:"session"` // version of the session's key
}

// Precondition returns the precondition that this incarnation still has its session.
func (c Controller) Precondition() wire.Precondition {
	return wire.Precondition{Key: SessionKey(c.Node), Version: c.SessionVersion}
}

// Record is the stored value of a shard's key.
type Record struct {
	State        State      `msgpack:"state" json:"state"`
	Owner        Controller `msgpack:"owner" json:"owner"`   // empty while Forming or Released
	Target       Controller `msgpack:"target" json:"target"` // while Moving; an empty node: the leader
	Selector     Selector   `msgpack:"select" json:"select"`
	Teams        []string   `msgpack:"teams" json:"teams"` // teams whose jobs go there first; empty: any team
	OwnerChanges uint64     `msgpack:"moves" json:"moves"` // number of changes of owner so far
	ChangedAt    int64      `msgpack:"at" json:"at"`       // wall clock of the last change, in microseconds
}

// transition returns the record with another state, owner and target, if stateTransitions allows it. All changes of
// a record's state go through it.
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

// NewRecord returns the record of a new shard, which is Forming.
func NewRecord(s Selector, teams []string, wall int64) Record {
	return Record{State: Forming, Selector: s, Teams: teams, ChangedAt: wall}
}

// Grant gives a formed shard to its first owner.
func (r Record) Grant(owner Controller, wall int64) (Record, error) {
	if r.State != Forming {
		return r, ErrSameOwner
	}
	return r.transition(Owned, owner, Controller{}, wall)
}

// Move requests a move to a target; a target without a node is the leader.
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

// CancelMove cancels a requested move that was not executed: the owner stays.
func (r Record) CancelMove(wall int64) (Record, error) {
	if r.State != Moving {
		return r, ErrNotMoving
	}
	return r.transition(Owned, r.Owner, Controller{}, wall)
}

// Transfer executes a requested move: it names the target as owner, or releases the shard to the leader.
func (r Record) Transfer(wall int64) (Record, error) {
	switch {
	case r.State != Moving:
		return r, ErrNotMoving
	case r.Target.Node == "":
		return r.transition(Released, Controller{}, Controller{}, wall)
	}
	return r.transition(Owned, r.Target, Controller{}, wall)
}

// Reassign gives the shard of an owner whose session is lost to another incarnation. It drops a requested move;
// the leader requests a move back to itself again from the new owner.
func (r Record) Reassign(owner Controller, wall int64) (Record, error) {
	if r.State != Owned && r.State != Moving {
		return r, ErrNotOwned
	}
	return r.transition(Owned, owner, Controller{}, wall)
}

// Rewritten returns the record with only ChangedAt changed. Once it is written under a new version, no transaction
// that was sent with the previous version can be executed any more.
func (r Record) Rewritten(wall int64) Record {
	r.ChangedAt = wall
	return r
}
