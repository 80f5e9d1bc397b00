package shard

import (
	"slices"

	"notchmux.dev/notchmux/wire"
)

// HandoverFeature is announced by a controller that goes on with jobs which had allocations before,
// and gives them back when they are recalled: in its session, and for as long as it is away in a
// record that stays. Such a job changes hands only while every controller of the settings does.
const HandoverFeature = "continue"

// Announcement is what a controller could do when it last had a session.
type Announcement struct {
	Features []string `msgpack:"features" json:"features"`
}

// Sessions are the controllers that have a session, by node, with its version.
type Sessions map[string]wire.Count

// Controller is the incarnation of a node that has a session.
func (s Sessions) Controller(node string) (Controller, bool) {
	version, ok := s[node]
	return Controller{Node: node, SessionVersion: version}, ok
}

// Has reports whether an incarnation still has its session.
func (s Sessions) Has(c Controller) bool {
	return s[c.Node] == c.SessionVersion && c.SessionVersion != 0
}

// OwnerSessionLost reports whether the owner that a record names has lost its session: by its
// own clock its right has ended before.
func (e Entry) OwnerSessionLost(s Sessions) bool { return e.HasOwner() && !s.Has(e.Record.Owner) }

// Successor chooses who gets the shard of an owner that is gone: the same node, if it is
// back; else the node that it was to move to; else one with the fewest shards.
func (e Entry) Successor(s Sessions, snapshot Snapshot) (Controller, bool) {
	for _, node := range []string{e.Record.Owner.Node, e.Record.Target.Node} {
		if controller, ok := s.Controller(node); ok {
			return controller, true
		}
	}
	return s.LeastLoaded(snapshot)
}

// LeastLoaded is the controller with the fewest shards, the first by name of several.
func (s Sessions) LeastLoaded(snapshot Snapshot) (Controller, bool) {
	ownedShards := map[string]int{}
	snapshot.Each(func(entry Entry) bool {
		ownedShards[entry.Record.Owner.Node]++
		return true
	})
	nodes := make([]string, 0, len(s))
	for node := range s {
		nodes = append(nodes, node)
	}
	if len(nodes) == 0 {
		return Controller{}, false
	}
	slices.Sort(nodes)
	leastLoaded := slices.MinFunc(nodes, func(a, b string) int { return ownedShards[a] - ownedShards[b] })
	return s.Controller(leastLoaded)
}

// Reassign is the transaction by which the leader takes the shard from an owner that is gone
// and gives it to another. Beside the leader's own conditions it carries those that the
// owner's session has not come back and that the new one's has not ended.
func (e Entry) Reassign(to Controller, s Sessions, wall int64, leader wire.Precondition) (wire.Transaction, error) {
	next, err := e.Record.Reassign(to, wall)
	if err != nil {
		return wire.Transaction{}, err
	}
	node := e.Record.Owner.Node
	preconditions := []wire.Precondition{leader, {Key: SessionKey(node), Version: s[node]}}
	if to.Node != node {
		preconditions = append(preconditions, to.Precondition())
	}
	return e.Update(next, preconditions...), nil
}
