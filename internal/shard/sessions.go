package shard

import (
	"slices"

	"notchmux.dev/notchmux/wire"
)

// HandoverFeature is announced by a controller that can resume started jobs, which had allocations before, and that
// releases them when they are recalled. The announcement is in the controller's session and also in a record that
// remains while the controller has no session. A started job is handed over only while every controller of the
// settings announces the feature.
const HandoverFeature = "continue"

// Announcement lists the features that a controller announced with its last session.
type Announcement struct {
	Features []string `msgpack:"features" json:"features"`
}

// Sessions maps the node of each controller that has a session to the version of the session's key.
type Sessions map[string]wire.Count

// Controller returns the incarnation of a node that has a session; false: it has none.
func (s Sessions) Controller(node string) (Controller, bool) {
	version, ok := s[node]
	return Controller{Node: node, SessionVersion: version}, ok
}

// Has reports whether an incarnation still has its session.
func (s Sessions) Has(c Controller) bool {
	return s[c.Node] == c.SessionVersion && c.SessionVersion != 0
}

// OwnerSessionLost reports whether the owner that the record names has lost its session. The owner's lease has ended
// before that by its own clock.
func (e Entry) OwnerSessionLost(s Sessions) bool { return e.HasOwner() && !s.Has(e.Record.Owner) }

// Successor chooses the controller that gets the shard of an owner whose session is lost: the same node if it has a
// new session, else the node that the shard was to move to, else a controller with the fewest shards. It returns
// false if no controller has a session.
func (e Entry) Successor(s Sessions, snapshot Snapshot) (Controller, bool) {
	for _, node := range []string{e.Record.Owner.Node, e.Record.Target.Node} {
		if controller, ok := s.Controller(node); ok {
			return controller, true
		}
	}
	return s.LeastLoaded(snapshot)
}

// LeastLoaded returns the controller with the fewest shards, the first by name if there are several, or false if no
// controller has a session.
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

// Reassign returns the transaction by which the leader gives the shard of an owner whose session is lost to another
// controller. Besides the leader's own precondition it requires that no other session of the previous owner's node
// has started, and that the new owner's session has not ended.
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
