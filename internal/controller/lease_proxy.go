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

// runLeaseProxy asks the leader, as a lease proxy of this zone's leases, until the
// context ends, and looks for the other nodes when it does not answer.
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
		answered = err == nil && status != http.StatusMisdirectedRequest // it leads, even if it grants nothing now
		if err == nil {
			n.handleLeaseProxyReply(ctx, leader, status, reply, sentAt)
		}
	}
	if n.leaseProxy.RenewalWindow > 0 && n.leaseProxy.Disconnected(n.Now()) {
		sameZone, otherZone := leasekeeper.ProbeZones(ctx, n.Cfg.Peers, n.Cfg.Zone, n.pingPeer)
		// With the store in reach, only a leader beyond the cut is missed: one of
		// this zone that died is replaced by this zone's nodes. Keeping the
		// agents meanwhile once hid half of the fleet from the next leader.
		canElect := !n.Isolated() && !n.Cfg.InOtherZone(leader)
		n.leaseProxy.RecordProbe(sameZone, otherZone || answered || canElect, n.Now())
	}
}

// handleLeaseProxyReply takes in the leader's answer to a request that was sent at a time.
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

// confirmFence tells the leader that this node renews no lease. If that does not arrive, the
// leader fences it again with its next request.
func (n *Node) confirmFence(ctx context.Context, leader string, fence leasekeeper.Fence) {
	body := wire.MustMarshal(leasekeeper.FenceConfirmation{Node: n.Cfg.Node, Fence: fence})
	_, _, err := n.Peers.Call(ctx, leader, peer.LeaseProxyFenced, body, leasekeeper.ResponseTimeout)
	if err != nil {
		n.Log.Debug("fence not confirmed", "leader", leader, "err", err)
	}
}

// pingPeer reports whether another node answers.
func (n *Node) pingPeer(ctx context.Context, node string) bool {
	_, _, err := n.Peers.Call(ctx, node, peer.Ping, nil, peerCallTimeout)
	return err == nil
}

// leaderUnreachable reports whether whom this node takes for the leader is out of its reach,
// and of its agents', or may lead no more. An agent is then better sent on to
// the next node: two nodes that had lost the store, one of them the old leader,
// once sent hundreds of agents to one another until their leases ran out.
func (n *Node) leaderUnreachable(leader string) bool {
	now := n.Now()
	return n.leaseProxy.Disconnected(now) &&
		(n.Isolated() || n.Cfg.InOtherZone(leader) && n.leaseProxy.ZonePartitioned(now))
}

// proxyHeartbeat answers a heartbeat of this zone's agent in place of the leader, if
// the zone is cut off: its lease goes on, and it is told to do nothing. The
// agent's own token is as good as any to it; no other node gives one out here.
func (n *Node) proxyHeartbeat(body []byte) (httpapi.Reply, bool) {
	heartbeat, err := wire.DecodeHeartbeat(body)
	if err != nil || !n.proxiesLease(heartbeat) {
		return httpapi.Reply{}, false
	}
	return leaseProxyReply(heartbeat), true
}

// proxiesLease reports whether this node keeps the agent's lease alive now.
func (n *Node) proxiesLease(heartbeat *wire.Heartbeat) bool {
	return heartbeat.FencingToken != 0 && heartbeat.Zone == n.Cfg.Zone && n.leaseProxy.TryRenew(n.Now())
}

func leaseProxyReply(heartbeat *wire.Heartbeat) httpapi.Reply {
	return httpapi.Reply{
		Status: http.StatusOK,
		Body:   wire.Commands{FencingToken: heartbeat.FencingToken, Items: []wire.Command{}},
	}
}

// handleLeaseProxy answers another node's lease proxy, while this node leads.
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
		return http.StatusServiceUnavailable, nil // it goes by the answer that it had of the last leader
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

// handleFenceConfirmation takes in, while this node leads, that another node's lease proxy keeps
// to a fence; it gives the HTTP status of the answer.
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
