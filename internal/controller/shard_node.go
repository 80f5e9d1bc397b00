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

// initShards creates the component that acquires and runs this node's shards, if the feature is on.
func (n *Node) initShards() {
	if n.Cfg.Shards == nil {
		return
	}
	n.shards = ownership.New(
		ownership.Config{Node: n.Cfg.Node, SessionTTL: n.Cfg.LeaderLease, RenewInterval: n.Cfg.LeaderRenewInterval},
		ownership.Dependencies[*ShardOwner]{Host: ownershipHost{n}, Store: n.Store, Now: n.Now, Log: n.Log},
	)
}

// runShards runs this node's shards until the context ends.
func (n *Node) runShards(ctx context.Context) error {
	if n.shards == nil {
		return nil
	}
	return n.shards.Run(ctx)
}

// ownershipHost implements ownership.Host for a node.
type ownershipHost struct{ node *Node }

// Ready reports whether the catalog of machine types has been read.
func (h ownershipHost) Ready() bool { return h.node.catalog.Load() != nil }

// StartOwner starts the loop of a shard that this incarnation of the node owns.
func (h ownershipHost) StartOwner(
	ctx context.Context, entry shard.Entry, session *election.Term, self shard.Controller,
) *ShardOwner {
	owner := newShardOwner(h.node, entry, session, self)
	go owner.run(ctx)
	return owner
}

// TableChanged notifies the leader on this node, if there is one, that the shard table has changed.
func (h ownershipHost) TableChanged() {
	if l := h.node.activeLeader(); l != nil {
		l.loop.Post(shardTableChanged{l})
	}
}

// heartbeatWithShards answers a heartbeat while the shards feature is on. The machine may belong to a
// shard or to the leader.
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

// routeShardHeartbeat answers a heartbeat of a machine in a shard that has an owner. It returns false if
// there is no such shard, in which case the leader answers.
func (n *Node) routeShardHeartbeat(heartbeat *wire.Heartbeat) (httpapi.Reply, bool) {
	if !n.shards.Table().HasRead() {
		return httpapi.RetryReply(http.StatusServiceUnavailable, 1), true // the machine's owner is not known yet
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
