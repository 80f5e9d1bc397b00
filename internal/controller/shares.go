package controller

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// shares is a node's part in the shares of the machines: its session as an owner, the
// table, and the loops of the shares that it owns.
type shares struct {
	table   share.Table
	read    atomic.Bool // the table was read since the start
	session *election.Election
	term    atomic.Pointer[election.Term] // of the session; nil: none

	mu     sync.Mutex
	ctx    context.Context  // of the node; nil until it runs
	owners map[string]*Lead // by share
}

// Table watches are opened anew after such pauses: each costs the store a request.
const (
	tablePause     = 300 * micro.Millisecond
	tableWatch     = 10 * micro.Second
	tableReadPause = 300 * micro.Millisecond

	tendOwnersEvery = micro.Second
)

// initShares prepares the node's part, if the feature is on.
func (n *Node) initShares() {
	if n.Cfg.Shares == nil {
		return
	}
	n.shares = &shares{owners: map[string]*Lead{}}
	n.shares.session = &election.Election{
		Key: share.SessionKey(n.Cfg.Node), Node: n.Cfg.Node, Nonce: rand.Text(), Store: n.Store,
		TTL: n.Cfg.LeaderLease, Renew: n.Cfg.LeaderRenew, Log: n.Log.With("session", n.Cfg.Node), Now: n.Now,
		OnLead: n.sessionBegan, OnLose: n.sessionEnded,
	}
}

// runShares holds the session and follows the table until the context ends.
func (n *Node) runShares(ctx context.Context) error {
	if n.shares == nil {
		return nil
	}
	n.shares.begin(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.holdSession(ctx) })
	g.Go(func() error { return n.followTable(ctx) })
	g.Go(func() error { return n.keepTending(ctx) })
	return g.Wait()
}

func (s *shares) begin(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

// holdSession holds the session once the machine types are known: without them a share
// could be given to this node, and nobody would answer its machines.
func (n *Node) holdSession(ctx context.Context) error {
	for n.catalog.Load() == nil && ctx.Err() == nil {
		pause(ctx, tableReadPause)
	}
	return n.shares.session.Run(ctx)
}

// keepTending looks after the loops of the shares also when the table does not change:
// one may have ended by itself.
func (n *Node) keepTending(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, tendOwnersEvery)
		n.tendOwners()
	}
	return nil
}

func (n *Node) sessionBegan(t *election.Term) {
	n.shares.term.Store(t)
	n.tendOwners()
}

func (n *Node) sessionEnded(t *election.Term) {
	n.shares.term.CompareAndSwap(t, nil)
	n.tendOwners()
}

// followTable keeps the table as the store has it.
func (n *Node) followTable(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := n.readTable(ctx)
		if err == nil {
			err = n.watchTable(ctx, revision)
		}
		if err != nil {
			n.Log.Debug("table of shares not read", "err", err)
		}
		pause(ctx, tableReadPause)
	}
	return nil
}

func pause(ctx context.Context, d micro.Time) {
	t := time.NewTimer(d.Std())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// readTable reads all records.
func (n *Node) readTable(ctx context.Context) (revision uint64, err error) {
	var entries []share.Entry
	after := ""
	for {
		page, err := n.Store.Range(ctx, store.Leadership, share.RecordPrefix, after, 1000)
		if err != nil {
			return 0, err
		}
		if revision == 0 || uint64(page.Revision) < revision {
			revision = uint64(page.Revision)
		}
		for _, it := range page.Items {
			after = it.Key
			if e, ok := shareEntry(it.Key, it.Value, uint64(it.Version)); ok {
				entries = append(entries, e)
			}
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	n.shares.table.Replace(entries)
	n.shares.read.Store(true)
	n.tableChanged()
	return revision, nil
}

func shareEntry(key string, value []byte, version uint64) (share.Entry, bool) {
	e := share.Entry{Name: key[len(share.RecordPrefix):], Version: version}
	return e, wire.Unmarshal(value, &e.Record) == nil
}

// watchTable takes in changes, until they cannot be followed.
func (n *Node) watchTable(ctx context.Context, revision uint64) error {
	for ctx.Err() == nil {
		events, err := n.Store.Watch(ctx, share.RecordPrefix, revision, tableWatch)
		if errors.Is(err, store.ErrCompacted) {
			return err
		}
		if err == nil {
			revision = max(revision, uint64(events.Revision))
			for _, e := range events.Events {
				n.tableEvent(e)
			}
			if len(events.Events) > 0 {
				n.tableChanged()
			}
		}
		pause(ctx, tablePause)
	}
	return nil
}

func (n *Node) tableEvent(e wire.Event) {
	if e.Delete != "" {
		n.shares.table.Delete(e.Delete[len(share.RecordPrefix):], uint64(e.Version))
		return
	}
	if entry, ok := shareEntry(e.Put, e.Value, uint64(e.Version)); ok {
		n.shares.table.Put(entry)
	}
}

// tableChanged tells all that go by the table.
func (n *Node) tableChanged() {
	n.tendOwners()
	if l := n.leading(); l != nil {
		l.post(l.sharesChanged)
	}
}

// tendOwners starts the loops of shares whose record names this incarnation, and tells
// those that run of what the records say now.
func (n *Node) tendOwners() {
	s := n.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	term, table := s.term.Load(), s.table.Snapshot()
	for name, l := range s.owners {
		e, ok := table.Get(name)
		if l.stopped() || l.term != term {
			l.stop()
			delete(s.owners, name)
			continue
		}
		l.post(func() { l.observe(e, ok) })
	}
	if term == nil || s.ctx == nil || n.catalog.Load() == nil {
		return
	}
	self := share.Controller{Node: n.Cfg.Node, Session: wire.Count(term.Stamp)}
	table.Each(func(e share.Entry) bool {
		if s.owners[e.Name] == nil && e.Away() && e.Record.Owner == self {
			s.owners[e.Name] = n.startOwner(s.ctx, e, term, self)
		}
		return true
	})
}

// owner is the loop of a share that this node owns; nil: it does not.
func (s *shares) owner(name string) *Lead {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[name]
}

// beatWithShares answers a report, whoever's machine it comes from.
func (n *Node) beatWithShares(body []byte) front.Reply {
	if len(body) > wire.MaxBody {
		return front.Fail(400, "too large")
	}
	r, err := wire.DecodeReport(body)
	if err != nil {
		return front.Fail(400, err.Error())
	}
	if reply, ok := n.routeReport(r); ok {
		return reply
	}
	if l := n.leading(); l != nil {
		return l.beat(r)
	}
	return n.beatElsewhere(body)
}

// routeReport answers a report of a machine that is in a share; false if it is in none,
// and so the leader's to answer.
func (n *Node) routeReport(r *wire.Report) (front.Reply, bool) {
	if !n.shares.read.Load() {
		return front.Later(503, 1), true // whose it is is not known yet
	}
	e, ok := n.shares.table.Snapshot().Of(attributes(r.Type, r.Zone, r.Spot))
	if !ok || !e.Away() {
		return front.Reply{}, false
	}
	node := e.Record.Owner.Node
	if node != n.Cfg.Node {
		if n.leading() == nil && n.keepsLease(r) {
			return keptReply(r), true
		}
		return front.Reply{Status: 421, Body: wire.Redirect{Leader: node}}, true
	}
	if l := n.shares.owner(e.Name); l != nil && l.serving.Load() && l.valid() {
		return l.beat(r), true
	}
	return front.Later(503, 1), true
}

func attributes(typ, zone string, spot bool) share.Attributes {
	return share.Attributes{Type: typ, Zone: zone, Spot: spot}
}
