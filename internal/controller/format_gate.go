package controller

import (
	"context"
	"net/http"

	"notchmux.dev/notchmux/internal/formatgate"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// newFormatGate makes the node's gate to the later stored forms, from the node's parts.
func newFormatGate(n *Node) *formatgate.Gate {
	cfg := formatgate.Config{Name: n.Cfg.Node, Peers: n.peerNames, NextWriteRPS: n.Cfg.NextWriteRPS()}
	return formatgate.New(cfg, n.Store, formatGateHost{n}, n.Log)
}

// formatGateHost is the node as its format gate sees it.
type formatGateHost struct{ node *Node }

// AnnounceThroughPeers has another node record this node's version.
func (g formatGateHost) AnnounceThroughPeers(ctx context.Context) bool {
	// Not bounded by what the store left of the time: it may have taken all of it.
	ctx = context.WithoutCancel(ctx)
	body := wire.MustMarshal(g.node.Cfg.Node)
	for _, other := range g.node.peersLeaderFirst() {
		status, _, err := g.node.callPeer(ctx, other, peer.AnnounceVersion, body, peerCallTimeout)
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// Leads reports whether the node leads now.
func (g formatGateHost) Leads() bool { return g.node.activeLeader() != nil }

// RaiseFormat has the node's leader raise the format.
func (g formatGateHost) RaiseFormat() {
	if leader := g.node.activeLeader(); leader != nil {
		leader.loop.Post(allNodesAnnounced{leader})
	}
}

// allNodesAnnounced says that every node of the settings runs this version.
type allNodesAnnounced struct{ leader *Leader }

// Apply raises the format: from then on, and not before, the compact form is used.
func (e allNodesAnnounced) Apply() {
	if e.leader.recovered {
		e.leader.records.Format.Raise(e.leader.node.Now())
	}
}
