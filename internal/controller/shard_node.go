package controller

import (
	"context"
	"net/http"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/shard/ownership"
	"notchmux.dev/notchmux/wire"
)

// initShards makes this node's part in shards as an owner, if the feature is on.
func (n *Node) initShards() {
	if n.Cfg.Shards == nil {
		return
	}
	n.shards = ownership.New(
		ownership.Config{Node: n.Cfg.Node, SessionTTL: n.Cfg.LeaderLease, RenewInterval: n.Cfg.LeaderRenewInterval},
		ownership.Dependencies[*ShardOwner]{Host: ownershipHost{n}, Store: n.Store, Now: n.Now, Log: n.Log},
	)
}

// runShards takes part in shards until the context ends.
func (n *Node) runShards(ctx context.Context) error {
	if n.shards == nil {
		return nil
	}
	return n.shards.Run(ctx)
}

// ownershipHost is what the part in shards as an owner needs of the node.
type ownershipHost struct{ node *Node }

// Ready reports whether the machine types are known.
func (h ownershipHost) Ready() bool { return h.node.catalog.Load() != nil }

// StartOwner starts the loop of a shard that this incarnation owns.
func (h ownershipHost) StartOwner(
	ctx context.Context, entry shard.Entry, session *election.Term, self shard.Controller,
) *ShardOwner {
	owner := newShardOwner(h.node, entry, session, self)
	go owner.run(ctx)
	return owner
}

// TableChanged has the leader, if that is here, go by the table.
func (h ownershipHost) TableChanged() {
	if l := h.node.activeLeader(); l != nil {
		l.loop.Post(shardTableChanged{l})
	}
}

// heartbeatWithShards answers a heartbeat, whoever's machine it comes from.
func (n *Node) heartbeatWithShards(body []byte) httpapi.Reply {
	if len(body) > wire.MaxBody {
		return httpapi.ErrorReply(http.StatusBadRequest, "too large")
	}
	heartbeat, err := wire.DecodeHeartbeat(body)
	if err != nil {
		return httpapi.ErrorReply(http.StatusBadRequest, err.Error())
	}
	if reply, ok := n.routeShardHeartbeat(heartbeat); ok {
		return reply
	}
	if l := n.activeLeader(); l != nil {
		return l.handleHeartbeat(heartbeat)
	}
	return n.heartbeatAsFollower(body)
}

// routeShardHeartbeat answers a heartbeat of a machine that is in a shard; false if it is in
// none, and so the leader's to answer.
func (n *Node) routeShardHeartbeat(heartbeat *wire.Heartbeat) (httpapi.Reply, bool) {
	if !n.shards.Table().HasRead() {
		return httpapi.RetryReply(http.StatusServiceUnavailable, 1), true // whose it is is not known yet
	}
	attributes := shard.Attributes{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}
	entry, ok := n.shards.Table().Snapshot().ShardOf(attributes)
	if !ok || !entry.HasOwner() {
		return httpapi.Reply{}, false
	}
	node := entry.Record.Owner.Node
	if node != n.Cfg.Node {
		n.referrals.Record(node, n.Now())
		if n.activeLeader() == nil && n.proxiesLease(heartbeat) {
			return leaseProxyReply(heartbeat), true
		}
		return httpapi.Reply{Status: http.StatusMisdirectedRequest, Body: wire.NotLeader{LeaderHint: node}}, true
	}
	if owner, ok := n.shards.Owner(entry.Name); ok && owner.serving.Load() && owner.holdsLease() {
		return owner.handleHeartbeat(heartbeat), true
	}
	return httpapi.RetryReply(http.StatusServiceUnavailable, 1), true
}
