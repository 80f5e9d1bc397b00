// Package controller wires a node together: the users' and agents' interface,
// the peers, the election and, while this node leads, the leader's loop.
package controller

import (
	"context"
	"crypto/rand"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/agent"
	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/detector"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/formatgate"
	"notchmux.dev/notchmux/internal/health"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/jobapi"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/referral"
	"notchmux.dev/notchmux/internal/shard/ownership"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// BudgetFractionSetter is a store client whose share of the limits, for requests and for
// writes, can be set.
type BudgetFractionSetter interface{ SetBudgetFraction(reads, writes float64) }

// Dependencies are the settings and the outside services that a node is built on.
type Dependencies struct {
	Cfg     *config.Config
	Store   store.Store
	Cloud   cloud.Provider
	Agent   agent.Sender
	Prober  agent.Prober // nil: no agent is probed for a peer
	Peers   peer.Caller
	Log     *slog.Logger
	Metrics *metrics.Set
	Now     func() micro.Time // the steady clock
	Wall    func() micro.Time // the wall clock
}

// Node is one controller.
type Node struct {
	Dependencies

	election    *election.Election
	leader      atomic.Pointer[Leader]
	catalog     atomic.Pointer[wire.Catalog]
	peerBackoff *peer.Backoff
	health      *health.Monitor
	leaseProxy  leasekeeper.Proxy
	formatGate  *formatgate.Gate
	handovers   detector.LeadershipHandovers
	referrals   referral.Responder

	jobs      *jobapi.Service
	peerCalls map[string]peerCallHandler     // by the names of the calls
	shards    *ownership.Owners[*ShardOwner] // nil: the feature is off

	ownedVersions sync.Map // the record's version under which a loop was last started, by shard
}

// New makes a node that speaks to the real services.
func New(cfg *config.Config, log *slog.Logger) *Node {
	addrs := map[string]string{}
	for _, other := range cfg.Peers {
		addrs[other.Node] = other.Addr
	}
	agents := agent.NewClient(3 * micro.Second)
	return NewWith(Dependencies{
		Cfg:     cfg,
		Store:   store.NewClient(cfg.External.State, cfg.Facts.State.RPS, cfg.Facts.State.WriteRPS),
		Cloud:   cloud.NewClient(cfg.External.Cloud, cfg.Facts.Cloud.RPS),
		Agent:   agents,
		Prober:  agents,
		Peers:   peer.NewClient(addrs),
		Log:     log,
		Metrics: metrics.New(),
		Now:     micro.Now,
		Wall:    micro.WallNow,
	})
}

// NewWith makes a node that speaks to the given services.
func NewWith(deps Dependencies) *Node {
	n := &Node{Dependencies: deps}
	n.referrals.Prober = n.Prober
	n.peerBackoff = peer.NewBackoff(n.callPeerOnce, n.Now)
	n.health = health.New(health.Config{
		Store: n.Store, Peers: n.Peers, Log: n.Log, PeerNames: n.peerNames, Now: n.Now,
	})
	n.formatGate = newFormatGate(n)
	n.initJobAPI()
	n.setBudgetFractions(n.Cfg.EqualShare()) // until it is known who leads
	n.initShards()
	n.leaseProxy.Node, n.leaseProxy.RenewalWindow, n.leaseProxy.Log = n.Cfg.Node, n.Cfg.LeaseProxyDuration(), n.Log.Info
	n.election = &election.Election{
		Node: n.Cfg.Node, Nonce: rand.Text(), Store: n.Store,
		TTL: n.Cfg.LeaderLease, RenewInterval: n.Cfg.LeaderRenewInterval, Log: n.Log, Now: n.Now,
	}
	return n
}

// Ready reports whether the node can take requests.
func (n *Node) Ready() bool { return n.health.Ready() }

// Isolated reports whether the store was out of reach at the last probe.
func (n *Node) Isolated() bool { return n.health.Isolated() }

// initJobAPI makes what the node does for users, and the calls that it answers.
func (n *Node) initJobAPI() {
	n.jobs = newJobAPI(n)
	n.peerCalls = newPeerCalls(n)
}

// Run serves until the context ends or a part fails.
func (n *Node) Run(ctx context.Context) error {
	listener := net.ListenConfig{}
	public, err := listener.Listen(ctx, "tcp4", n.Cfg.PublicAddr)
	if err != nil {
		return err
	}
	peers, err := listener.Listen(ctx, "tcp4", n.Cfg.PeerListen)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	n.election.OnStartedLeading = func(t *election.Term) { n.startLeader(ctx, t) }
	n.election.OnStoppedLeading = n.stopLeader
	server := &httpapi.Server{
		Service: n, Metrics: n.Metrics, MaxSockets: n.Cfg.Facts.Quota.MaxSockets,
		HeartbeatInterval: micro.FromSeconds(n.Cfg.Facts.Workers.HeartbeatIntervalS),
	}
	group.Go(func() error { return server.Serve(ctx, public) })
	group.Go(func() error {
		return peer.Serve(ctx, peers, n.handlePeerCall, func(w io.Writer) { n.Metrics.Write(w) })
	})
	group.Go(func() error { return n.election.Run(ctx) })
	group.Go(func() error { return n.fetchCatalog(ctx) })
	group.Go(func() error { return n.health.Run(ctx) })
	group.Go(func() error { return n.runLeaseProxy(ctx) })
	group.Go(func() error { return n.formatGate.Run(ctx) })
	group.Go(func() error { return n.runShards(ctx) })
	n.Log.Info("serving", "node", n.Cfg.Node, "zone", n.Cfg.Zone, "public", n.Cfg.PublicAddr, "peers", n.Cfg.PeerListen)
	return group.Wait()
}

// fetchCatalog reads the machine types; the leader reads prices again.
func (n *Node) fetchCatalog(ctx context.Context) error {
	wait := 300 * time.Millisecond
	for ctx.Err() == nil {
		if n.catalog.Load() == nil || n.activeLeader() != nil {
			catalog, err := n.Cloud.Catalog(ctx)
			if err == nil && len(catalog.Types) > 0 {
				n.catalog.Store(catalog)
				if l := n.activeLeader(); l != nil {
					l.loop.Post(catalogFetched{l, catalog})
				}
				wait = 20 * time.Second
			} else {
				n.Log.Info("catalog not read", "err", err)
				wait = min(wait*2, 5*time.Second)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// catalogFetched is the cloud's catalog of machine types and prices.
type catalogFetched struct {
	leader  *Leader
	catalog *wire.Catalog
}

// Apply takes the catalog in.
func (e catalogFetched) Apply() { e.leader.cluster.SetCatalog(e.catalog) }

// activeLeader is the node's own leader while its lease holds, else nil.
func (n *Node) activeLeader() *Leader {
	l := n.leader.Load()
	if l == nil || !l.term.HoldsLease(n.Now()) {
		return nil
	}
	return l
}

// setBudgetFractions sets which part of the store's limits this node may use.
func (n *Node) setBudgetFractions(reads, writes float64) {
	if s, ok := n.Store.(BudgetFractionSetter); ok {
		s.SetBudgetFraction(reads, writes)
	}
	n.jobs.SetBudgetFraction(reads)
}

func (n *Node) startLeader(ctx context.Context, t *election.Term) {
	n.setBudgetFractions(n.Cfg.LeaderShare())
	l := newLeader(n, t)
	n.leader.Store(l)
	go l.run(ctx)
}

func (n *Node) stopLeader(t *election.Term) {
	n.setBudgetFractions(n.Cfg.FollowerShare())
	if l := n.leader.Load(); l != nil && l.term == t {
		n.leader.Store(nil)
		l.loop.Stop()
	}
}
