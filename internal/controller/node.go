// Package controller wires a node together: the users' and workers' interface,
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
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/keep"
	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Sharer is a store client whose share of the limits, for requests and for
// writes, can be set.
type Sharer interface{ SetShare(reads, writes float64) }

// Node is one controller.
type Node struct {
	Cfg     *config.Config
	Store   store.Store
	Cloud   cloud.Cloud
	Agent   agent.Sender
	Peers   peer.Caller
	Log     *slog.Logger
	Metrics *metrics.Set
	Now     func() micro.Time
	Wall    func() micro.Time

	election *election.Election
	lead     atomic.Pointer[Lead]
	catalog  atomic.Pointer[wire.Catalog]
	finals   finals
	badPeer  sync.Map // node: time until which it is not asked
	health   health
	keeper   keep.Keeper
	gate     atomic.Int32 // a GateState
	handover atomic.Pointer[handover]
	seen     sync.Map // ids of jobs known to have been accepted
	seenN    atomic.Int64

	pollBudget pollBudget
	lookUps    lookUps

	leaderPolls leaderPolls
	shares      *shares // nil: the feature is off
}

// New makes a node that speaks to the real services.
func New(cfg *config.Config, log *slog.Logger) *Node {
	addrs := map[string]string{}
	for _, p := range cfg.Peers {
		addrs[p.Node] = p.Addr
	}
	n := &Node{
		Cfg:     cfg,
		Store:   store.NewClient(cfg.External.State, cfg.Facts.State.RPS, cfg.Facts.State.WriteRPS),
		Cloud:   cloud.NewClient(cfg.External.Cloud, cfg.Facts.Cloud.RPS),
		Agent:   agent.NewClient(3 * micro.Second),
		Peers:   peer.NewClient(addrs),
		Log:     log,
		Metrics: metrics.New(),
		Now:     micro.Now,
		Wall:    micro.Wall,
	}
	n.Init()
	return n
}

// Init completes a node whose parts were given.
func (n *Node) Init() {
	n.finals.m = map[string]wire.JobStatus{}
	n.lookUps = lookUps{reading: map[string]bool{}, waiting: map[string]*lookUp{}, answered: map[string]micro.Time{}, gathered: map[string]*lookUp{}}
	n.share(n.Cfg.EqualShare()) // until it is known who leads
	n.initShares()
	n.health.log = n.Log.Info
	n.keeper.Node, n.keeper.Span, n.keeper.Log = n.Cfg.Node, n.Cfg.KeepSpan(), n.Log.Info
	n.election = &election.Election{
		Node: n.Cfg.Node, Nonce: rand.Text(), Store: n.Store,
		TTL: n.Cfg.LeaderLease, Renew: n.Cfg.LeaderRenew, Log: n.Log, Now: n.Now,
	}
}

// Run serves until the context ends or a part fails.
func (n *Node) Run(ctx context.Context) error {
	public, err := net.Listen("tcp4", n.Cfg.PublicAddr)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp4", n.Cfg.PeerListen)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	n.election.OnLead = func(t *election.Term) { n.startLead(ctx, t) }
	n.election.OnLose = n.stopLead
	srv := &front.Server{Service: n, Metrics: n.Metrics, Sockets: n.Cfg.Facts.Quota.MaxSockets, Report: micro.Of(n.Cfg.Facts.Workers.ReportS)}
	g.Go(func() error { return srv.Serve(ctx, public) })
	g.Go(func() error { return peer.Serve(ctx, peers, n.peerCall, func(w io.Writer) { n.Metrics.Write(w) }) })
	g.Go(func() error { return n.election.Run(ctx) })
	g.Go(func() error { return n.fetchCatalog(ctx) })
	g.Go(func() error { return n.watchHealth(ctx) })
	g.Go(func() error { return n.keepTouch(ctx) })
	g.Go(func() error { return n.watchGate(ctx) })
	g.Go(func() error { return n.runShares(ctx) })
	n.Log.Info("serving", "node", n.Cfg.Node, "zone", n.Cfg.Zone, "public", n.Cfg.PublicAddr, "peers", n.Cfg.PeerListen)
	return g.Wait()
}

// fetchCatalog reads the machine types; the leader reads prices again.
func (n *Node) fetchCatalog(ctx context.Context) error {
	wait := 300 * time.Millisecond
	for ctx.Err() == nil {
		if n.catalog.Load() == nil || n.leading() != nil {
			cat, err := n.Cloud.Catalog(ctx)
			if err == nil && len(cat.Types) > 0 {
				n.catalog.Store(cat)
				if l := n.leading(); l != nil {
					l.post(func() { l.c.SetCatalog(cat) })
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

func (n *Node) leading() *Lead {
	l := n.lead.Load()
	if l == nil || !l.term.Valid(n.Now()) {
		return nil
	}
	return l
}

// share sets which part of the store's limits this node may use.
func (n *Node) share(reads, writes float64) {
	if s, ok := n.Store.(Sharer); ok {
		s.SetShare(reads, writes)
	}
	n.pollBudget.set(n.Cfg.Facts.State.RPS, reads)
}

func (n *Node) startLead(ctx context.Context, t *election.Term) {
	n.share(n.Cfg.LeaderShare())
	l := newLead(n, t)
	n.lead.Store(l)
	go l.run(ctx)
}

func (n *Node) stopLead(t *election.Term) {
	n.share(n.Cfg.FollowerShare())
	if l := n.lead.Load(); l != nil && l.term == t {
		n.lead.Store(nil)
		l.stop()
	}
}

// finals remembers final states, which alone may be cached.
type finals struct {
	mu sync.Mutex
	m  map[string]wire.JobStatus
}

const maxFinals = 50_000

func (f *finals) get(id string) (wire.JobStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.m[id]
	return s, ok
}

func (f *finals) put(s wire.JobStatus) {
	if !s.State.Final() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.m) >= maxFinals {
		for id := range f.m { // any one goes: it can be read again
			delete(f.m, id)
			break
		}
	}
	f.m[s.ID] = s
}
