package share

import (
	"slices"

	"notchmux.dev/notchmux/wire"
)

// Sessions are the controllers that have a session, by node, with its version.
type Sessions map[string]wire.Count

// Controller is the incarnation of a node that has a session.
func (s Sessions) Controller(node string) (Controller, bool) {
	version, ok := s[node]
	return Controller{Node: node, Session: version}, ok
}

// Has reports whether an incarnation still has its session.
func (s Sessions) Has(c Controller) bool { return s[c.Node] == c.Session && c.Session != 0 }

// OwnerGone reports whether the owner that a record names has lost its session: by its
// own clock its right has ended before.
func (e Entry) OwnerGone(s Sessions) bool { return e.Away() && !s.Has(e.Record.Owner) }

// Successor chooses who gets the share of an owner that is gone: the same node, if it is
// back; else the node that it was to move to; else one with the fewest shares.
func (e Entry) Successor(s Sessions, all Snapshot) (Controller, bool) {
	for _, node := range []string{e.Record.Owner.Node, e.Record.Target.Node} {
		if c, ok := s.Controller(node); ok {
			return c, true
		}
	}
	return s.FewestShares(all)
}

// FewestShares is the controller with the fewest shares, the first by name of several.
func (s Sessions) FewestShares(all Snapshot) (Controller, bool) {
	owned := map[string]int{}
	all.Each(func(e Entry) bool {
		owned[e.Record.Owner.Node]++
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
	least := slices.MinFunc(nodes, func(a, b string) int { return owned[a] - owned[b] })
	return s.Controller(least)
}

// Take is the transaction by which the leader takes the share from an owner that is gone
// and gives it to another. Beside the leader's own conditions it carries those that the
// owner's session has not come back and that the new one's has not ended.
func (e Entry) Take(to Controller, s Sessions, wall int64, leader wire.Guard) (wire.Txn, error) {
	later, err := e.Record.Reassign(to, wall)
	if err != nil {
		return wire.Txn{}, err
	}
	node := e.Record.Owner.Node
	guards := []wire.Guard{leader, {Key: SessionKey(node), Version: s[node]}}
	if to.Node != node {
		guards = append(guards, to.Guard())
	}
	return e.Put(later, guards...), nil
}
