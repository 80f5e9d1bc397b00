package controller

import (
	"context"
	"net/http"

	"notchmux.dev/notchmux/internal/formatgate"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// newFormatGate returns the node's format gate, which decides when the compact stored format may be
// used.
func newFormatGate(n *Node) *formatgate.Gate {
	cfg := formatgate.Config{Name: n.Cfg.Node, Peers: n.peerNames, NextWriteRPS: n.Cfg.NextWriteRPS()}
	return formatgate.New(cfg, n.Store, formatGateHost{n}, n.Log)
}

// formatGateHost implements formatgate.Node for a node.
type formatGateHost struct{ node *Node }

// AnnounceThroughPeers asks the peers, the leader first, to record this node's version in the store,
// and reports whether one did.
func (g formatGateHost) AnnounceThroughPeers(ctx context.Context) bool {
	// Independent of the caller's deadline: the attempt to write to the store may have used it up.
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

// Leads reports whether the node is the active leader.
func (g formatGateHost) Leads() bool { return g.node.activeLeader() != nil }

// RaiseFormat makes the leader on this node, if there is one, raise the stored format.
func (g formatGateHost) RaiseFormat() {
	if leader := g.node.activeLeader(); leader != nil {
		leader.loop.Post(allNodesAnnounced{leader})
	}
}

// allNodesAnnounced is the event that every configured node has announced this version.
type allNodesAnnounced struct{ leader *Leader }

// Apply raises the stored format: the compact format is used only from then on.
func (e allNodesAnnounced) Apply() {
	if e.leader.recovered {
		e.leader.records.Format.Raise(e.leader.node.Now())
	}
}
