package controller

import (
	"context"
	"net/http"

	"notchmux.dev/notchmux/internal/jobapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
)

// peerCallTimeout is how long a node waits for a peer's answer before it proceeds without it.
const peerCallTimeout = jobapi.PeerCallTimeout

// callPeerOnce calls a peer regardless of the results of earlier calls.
func (n *Node) callPeerOnce(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	return n.Peers.Call(ctx, node, call, body, timeout)
}

// callPeer calls a peer. After a call without an answer, calls to that peer fail for a backoff period.
func (n *Node) callPeer(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error) {
	return n.peerBackoff.Call(ctx, node, call, body, timeout)
}

// peerNames returns the names of the other nodes.
func (n *Node) peerNames() []string {
	names := make([]string, len(n.Cfg.Peers))
	for i, other := range n.Cfg.Peers {
		names[i] = other.Node
	}
	return names
}

// peersLeaderFirst returns the names of the other nodes, the leader first.
func (n *Node) peersLeaderFirst() []string {
	leader := n.election.Leader()
	nodes := []string{}
	if leader != "" && leader != n.Cfg.Node {
		nodes = append(nodes, leader)
	}
	for _, p := range n.Cfg.Peers {
		if p.Node != leader {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}

// peerCallHandler handles a call of another node and returns the HTTP status and the response body.
type peerCallHandler func(ctx context.Context, body []byte) (status int, out []byte)

// newPeerCalls returns the handlers of the peer calls that the node answers, by call name.
func newPeerCalls(n *Node) map[string]peerCallHandler {
	calls := map[string]peerCallHandler{
		peer.Ping: func(context.Context, []byte) (int, []byte) { return http.StatusOK, nil },
		peer.AnnounceVersion: func(ctx context.Context, body []byte) (int, []byte) {
			return n.formatGate.HandleAnnounce(ctx, body), nil
		},
		peer.LeaseProxy: func(_ context.Context, body []byte) (int, []byte) { return n.handleLeaseProxy(body) },
		peer.LeaseProxyFenced: func(_ context.Context, body []byte) (int, []byte) {
			return n.handleFenceConfirmation(body), nil
		},
		peer.ShardAdmin: func(_ context.Context, body []byte) (int, []byte) { return n.handleAdmin(body) },
		peer.ShardOwner: func(_ context.Context, body []byte) (int, []byte) { return n.handleShardOwner(body) },
		peer.Referral:   func(_ context.Context, body []byte) (int, []byte) { return n.referrals.Handle(body, n.Now()) },
	}
	for call, handle := range n.jobs.PeerCalls() {
		calls[call] = func(_ context.Context, body []byte) (int, []byte) { return handle(body) }
	}
	return calls
}

// handlePeerCall dispatches a call of another node to its handler; 404 if the call is unknown.
func (n *Node) handlePeerCall(ctx context.Context, call string, body []byte) (int, []byte) {
	handle, ok := n.peerCalls[call]
	if !ok {
		return http.StatusNotFound, nil
	}
	return handle(ctx, body)
}

// handleShardOwner answers a status update of a shard owner on another node; 421 if this node does
// not lead.
func (n *Node) handleShardOwner(body []byte) (int, []byte) {
	if l := n.activeLeader(); l != nil {
		return handleStatusUpdate(l, body)
	}
	return http.StatusMisdirectedRequest, nil
}
