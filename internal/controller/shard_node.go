package controller

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// nodeShards is a node's part in the shares of the machines: its session as an owner, the
// table, and the loops of the shares that it owns.
type nodeShards struct {
	table   *shard.Follower
	session *election.Election
	term    atomic.Pointer[election.Term] // of the session; nil: none

	mu     sync.Mutex
	ctx    context.Context        // of the node; nil until it runs
	owners map[string]*ShardOwner // by shard
}

// ownerReconcileInterval is how often the loops of shards are looked after.
const ownerReconcileInterval = micro.Second

// initShards prepares the node's part, if the feature is on.
func (n *Node) initShards() {
	if n.Cfg.Shards == nil {
		return
	}
	n.shards = &nodeShards{
		table: shard.NewFollower(n.Store, n.Log, n.shardTableChanged), owners: map[string]*ShardOwner{},
	}
	n.shards.session = &election.Election{
		Key: shard.SessionKey(n.Cfg.Node), Node: n.Cfg.Node, Nonce: rand.Text(), Store: n.Store,
		TTL: n.Cfg.LeaderLease, RenewInterval: n.Cfg.LeaderRenewInterval, Log: n.Log.With("session", n.Cfg.Node), Now: n.Now,
		OnStartedLeading: n.sessionStarted, OnStoppedLeading: n.sessionEnded,
	}
}

// runShards holds the session and follows the table until the context ends.
func (n *Node) runShards(ctx context.Context) error {
	if n.shards == nil {
		return nil
	}
	n.shards.start(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.holdSession(ctx) })
	g.Go(func() error { return n.shards.table.Run(ctx) })
	g.Go(func() error { return n.runOwnerReconciler(ctx) })
	return g.Wait()
}

func (s *nodeShards) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

// holdSession holds the session once the machine types are known: without them a share
// could be given to this node, and nobody would answer its machines.
func (n *Node) holdSession(ctx context.Context) error {
	for n.catalog.Load() == nil && ctx.Err() == nil {
		pause(ctx, shard.ReadRetry)
	}
	return n.shards.session.Run(ctx)
}

// runOwnerReconciler looks after the loops of the shares also when the table does not change:
// one may have ended by itself.
func (n *Node) runOwnerReconciler(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, ownerReconcileInterval)
		n.reconcileOwners()
	}
	return nil
}

func (n *Node) sessionStarted(t *election.Term) {
	n.shards.term.Store(t)
	n.reconcileOwners()
}

func (n *Node) sessionEnded(t *election.Term) {
	n.shards.term.CompareAndSwap(t, nil)
	n.reconcileOwners()
}

func pause(ctx context.Context, d micro.Time) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// shardTableChanged tells all that go by the table.
func (n *Node) shardTableChanged() {
	n.reconcileOwners()
	if l := n.activeLeader(); l != nil {
		l.loop.Post(shardTableChanged{l})
	}
}

// reconcileOwners starts the loops of shares whose record names this incarnation, and tells
// those that run of what the records say now.
func (n *Node) reconcileOwners() {
	shards := n.shards
	shards.mu.Lock()
	defer shards.mu.Unlock()
	term, table := shards.term.Load(), shards.table.Snapshot()
	for name, owner := range shards.owners {
		entry, ok := table.Get(name)
		if owner.loop.Stopped() || owner.term != term {
			owner.loop.Stop()
			delete(shards.owners, name)
			continue
		}
		owner.loop.Post(shardRecordObserved{owner, entry, ok})
	}
	if term == nil || shards.ctx == nil || n.catalog.Load() == nil {
		return
	}
	self := shard.Controller{Node: n.Cfg.Node, SessionVersion: wire.Count(term.FencingRevision)}
	table.Each(func(entry shard.Entry) bool {
		if shards.owners[entry.Name] == nil && entry.OwnedElsewhere() && entry.Record.Owner == self {
			shards.owners[entry.Name] = n.startShardOwner(shards.ctx, entry, term, self)
		}
		return true
	})
}

// ownerOf is the loop of a share that this node owns; nil: it does not.
func (s *nodeShards) ownerOf(name string) *ShardOwner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[name]
}

// heartbeatWithShards answers a report, whoever's machine it comes from.
func (n *Node) heartbeatWithShards(body []byte) httpapi.Reply {
	if len(body) > wire.MaxBody {
		return httpapi.ErrorReply(400, "too large")
	}
	heartbeat, err := wire.DecodeHeartbeat(body)
	if err != nil {
		return httpapi.ErrorReply(400, err.Error())
	}
	if reply, ok := n.routeShardHeartbeat(heartbeat); ok {
		return reply
	}
	if l := n.activeLeader(); l != nil {
		return l.handleHeartbeat(heartbeat)
	}
	return n.heartbeatAsFollower(body)
}

// routeShardHeartbeat answers a report of a machine that is in a share; false if it is in none,
// and so the leader's to answer.
func (n *Node) routeShardHeartbeat(heartbeat *wire.Heartbeat) (httpapi.Reply, bool) {
	if !n.shards.table.HasRead() {
		return httpapi.RetryReply(503, 1), true // whose it is is not known yet
	}
	entry, ok := n.shards.table.Snapshot().ShardOf(machineAttributes(heartbeat.Type, heartbeat.Zone, heartbeat.Spot))
	if !ok || !entry.OwnedElsewhere() {
		return httpapi.Reply{}, false
	}
	node := entry.Record.Owner.Node
	if node != n.Cfg.Node {
		if n.activeLeader() == nil && n.proxiesLease(heartbeat) {
			return leaseProxyReply(heartbeat), true
		}
		return httpapi.Reply{Status: 421, Body: wire.NotLeader{LeaderHint: node}}, true
	}
	if owner := n.shards.ownerOf(entry.Name); owner != nil && owner.serving.Load() && owner.holdsLease() {
		return owner.handleHeartbeat(heartbeat), true
	}
	return httpapi.RetryReply(503, 1), true
}
