package controller

import (
	"context"
	"net/http"
	"time"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// runLeaseProxy runs this node's lease proxy until the context ends. It sends a request to the leader
// at every interval and probes the other nodes while the leader does not answer.
func (n *Node) runLeaseProxy(ctx context.Context) error {
	for ctx.Err() == nil {
		n.contactLeader(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(leasekeeper.RequestInterval.Duration()):
		}
	}
	return nil
}

// contactLeader sends one lease proxy request to the leader, or records that this node leads. While
// the leader is disconnected, it probes the other nodes.
func (n *Node) contactLeader(ctx context.Context) {
	if l := n.activeLeader(); l != nil {
		if !l.cancellations.ZoneFenced(n.Cfg.Zone) {
			n.leaseProxy.RecordLeading(n.Now())
		}
		return
	}
	leader, answered := n.election.Leader(), false
	if leader != "" && leader != n.Cfg.Node {
		sentAt := n.Now()
		body := wire.MustMarshal(n.leaseProxy.Request(sentAt))
		status, reply, err := n.Peers.Call(ctx, leader, peer.LeaseProxy, body, leasekeeper.ResponseTimeout)
		answered = err == nil && status != http.StatusMisdirectedRequest // the node leads, even if it grants nothing
		if err == nil {
			n.handleLeaseProxyReply(ctx, leader, status, reply, sentAt)
		}
	}
	if n.leaseProxy.RenewalWindow > 0 && n.leaseProxy.Disconnected(n.Now()) {
		sameZone, otherZone := leasekeeper.ProbeZones(ctx, n.Cfg.Peers, n.Cfg.Zone, n.pingPeer)
		// While the store is reachable, leases are renewed only if the missing leader is in another
		// zone: a failed leader of this zone is replaced by a node of this zone. Renewing leases
		// during that election hid half of the fleet from the next leader.
		canElect := !n.Isolated() && !n.Cfg.InOtherZone(leader)
		n.leaseProxy.RecordProbe(sameZone, otherZone || answered || canElect, n.Now())
	}
}

// handleLeaseProxyReply applies the leader's answer to a lease proxy request that was sent at sentAt.
func (n *Node) handleLeaseProxyReply(ctx context.Context, leader string, status int, reply []byte, sentAt micro.Time) {
	var timestamp leasekeeper.LeaderTimestamp
	var fence leasekeeper.Fence
	switch {
	case status == http.StatusOK && wire.Unmarshal(reply, &timestamp) == nil:
		n.leaseProxy.HandleResponse(sentAt, n.Now(), timestamp)
	case status == http.StatusServiceUnavailable && wire.Unmarshal(reply, &fence) == nil:
		if n.leaseProxy.HandleFence(sentAt) {
			n.confirmFence(ctx, leader, fence)
		}
	}
}

// confirmFence confirms to the leader that this node renews no leases. If the confirmation is lost,
// the leader fences this node again at its next request.
func (n *Node) confirmFence(ctx context.Context, leader string, fence leasekeeper.Fence) {
	body := wire.MustMarshal(leasekeeper.FenceConfirmation{Node: n.Cfg.Node, Fence: fence})
	_, _, err := n.Peers.Call(ctx, leader, peer.LeaseProxyFenced, body, leasekeeper.ResponseTimeout)
	if err != nil {
		n.Log.Debug("confirm lease proxy fence failed", "leader", leader, "err", err)
	}
}

// pingPeer reports whether another node answers.
func (n *Node) pingPeer(ctx context.Context, node string) bool {
	_, _, err := n.Peers.Call(ctx, node, peer.Ping, nil, peerCallTimeout)
	return err == nil
}

// leaderUnreachable reports whether the node last known to lead is unreachable from this node and
// its agents, or may no longer lead. Agents are then not referred to it but left to try the next
// node: two nodes without access to the store, one of them the former leader, referred hundreds of
// agents to each other until the agents' leases expired.
func (n *Node) leaderUnreachable(leader string) bool {
	now := n.Now()
	return n.leaseProxy.Disconnected(now) &&
		(n.Isolated() || n.Cfg.InOtherZone(leader) && n.leaseProxy.ZonePartitioned(now))
}

// proxyHeartbeat answers the heartbeat of an agent of this zone in place of the leader while the
// zone is partitioned. The answer renews the agent's lease and contains no commands. It returns the
// agent's own fencing token, which the agent accepts; no other node issues tokens in this zone.
func (n *Node) proxyHeartbeat(body []byte) (httpapi.Reply, bool) {
	heartbeat, err := wire.DecodeHeartbeat(body)
	if err != nil || !n.proxiesLease(heartbeat) {
		return httpapi.Reply{}, false
	}
	return leaseProxyReply(heartbeat), true
}

// proxiesLease reports whether this node may renew the agent's lease now.
func (n *Node) proxiesLease(heartbeat *wire.Heartbeat) bool {
	return heartbeat.FencingToken != 0 && heartbeat.Zone == n.Cfg.Zone && n.leaseProxy.TryRenew(n.Now())
}

// leaseProxyReply returns the answer to a heartbeat that renews the agent's lease without commands.
func leaseProxyReply(heartbeat *wire.Heartbeat) httpapi.Reply {
	return httpapi.Reply{
		Status: http.StatusOK,
		Body:   wire.Commands{FencingToken: heartbeat.FencingToken, Items: []wire.Command{}},
	}
}

// handleLeaseProxy answers a request of another node's lease proxy; 421 if this node does not lead.
func (n *Node) handleLeaseProxy(body []byte) (int, []byte) {
	l := n.activeLeader()
	if l == nil {
		return http.StatusMisdirectedRequest, nil
	}
	var request leasekeeper.Request
	if wire.Unmarshal(body, &request) != nil {
		return http.StatusBadRequest, nil
	}
	l.renewalBound.RecordRequest(request.Node, n.Now())
	if !l.cancellations.FencedZonesKnown() {
		return http.StatusServiceUnavailable, nil // the previous leader's last answer stays in effect
	}
	for _, other := range n.Cfg.Peers {
		if other.Node == request.Node && l.cancellations.ZoneFenced(other.Zone) {
			return http.StatusServiceUnavailable, wire.MustMarshal(l.renewalBound.Fence(n.Now()))
		}
	}
	timestamp := l.renewalBound.HandleRequest(request, n.Now())
	if !l.holdsLease() {
		return http.StatusMisdirectedRequest, nil
	}
	return http.StatusOK, wire.MustMarshal(timestamp)
}

// handleFenceConfirmation records that another node's lease proxy obeys a fence. It returns the HTTP
// status of the answer, 421 if this node does not lead.
func (n *Node) handleFenceConfirmation(body []byte) int {
	l := n.activeLeader()
	if l == nil {
		return http.StatusMisdirectedRequest
	}
	var confirmation leasekeeper.FenceConfirmation
	if wire.Unmarshal(body, &confirmation) != nil {
		return http.StatusBadRequest
	}
	l.renewalBound.HandleConfirmation(confirmation, n.Now())
	return http.StatusOK
}
