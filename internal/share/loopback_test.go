package share_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Stand-in controllers and workers on 127.0.0.1, with the real client of the store:
// shares move to and fro while controllers end, stand still and lose the store. The
// long form: go test ./internal/share -run TestLoopback -share.moves 5000

var discard = slog.New(slog.DiscardHandler)

var loopbackMoves = flag.Int("share.moves", 150, "moves that the loopback test plays")

const (
	loopShares  = 4
	loopWorkers = 2 // for each share
	loopSession = 400 * micro.Millisecond
	loopStep    = 2 * time.Millisecond
	loopLimit   = 10 * time.Minute // only a bound on a hang
)

// decision is one answer to a worker, as its controller decided it.
type decision struct {
	first uint64
	node  string
	at    micro.Time
}

// audit collects what the workers' side saw.
type audit struct {
	mu    sync.Mutex
	by    map[string]map[uint64]*span // share: answers of each ownership
	lapse atomic.Int64                // workers whose lease ran out
}

// span is when the answers of one ownership were decided, and by whom.
type span struct {
	node        string
	first, last micro.Time
}

func (a *audit) note(name string, d decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.by[name] == nil {
		a.by[name] = map[uint64]*span{}
	}
	s := a.by[name][d.first]
	if s == nil {
		a.by[name][d.first] = &span{d.node, d.at, d.at}
		return
	}
	s.first, s.last = min(s.first, d.at), max(s.last, d.at)
	if s.node != d.node {
		s.node += " and " + d.node
	}
}

// twoOwners lists where an owner answered after a later one had begun, or two under one
// token.
func (a *audit) twoOwners() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for name, spans := range a.by {
		firsts := make([]uint64, 0, len(spans))
		for first := range spans {
			firsts = append(firsts, first)
		}
		slices.Sort(firsts)
		latest := micro.Time(0)
		for _, first := range firsts {
			s := spans[first]
			if s.first < latest || len(s.node) > len("n-0") {
				out = append(out, fmt.Sprintf("%s: %s began at %v, another answered until %v", name, s.node, s.first, latest))
			}
			latest = max(latest, s.last)
		}
	}
	return out
}

// faultyStore is the store as one controller reaches it.
type faultyStore struct {
	store.Store
	cut  atomic.Bool // nothing arrives, nothing is answered
	lose atomic.Bool // transactions are carried out, their answers are lost
}

// Get reads a key, unless the controller is cut off.
func (f *faultyStore) Get(ctx context.Context, class store.Class, key string) (wire.Item, error) {
	if f.cut.Load() {
		return wire.Item{}, store.ErrUncertain
	}
	return f.Store.Get(ctx, class, key)
}

// Renew renews a lease, unless the controller is cut off.
func (f *faultyStore) Renew(ctx context.Context, lease uint64) error {
	if f.cut.Load() {
		return store.ErrUncertain
	}
	return f.Store.Renew(ctx, lease)
}

// Commit sends a transaction.
func (f *faultyStore) Commit(ctx context.Context, class store.Class, txn wire.Txn) (uint64, error) {
	if f.cut.Load() {
		return 0, store.ErrUncertain
	}
	revision, err := f.Store.Commit(ctx, class, txn)
	if f.lose.Load() {
		return 0, store.ErrUncertain
	}
	return revision, err
}

// loopController is a stand-in controller: a session, owners, and an address.
type loopController struct {
	name  string
	site  *loopSite
	store *faultyStore

	mu     sync.Mutex // one goroutine at a time answers, or changes an owner's state
	frozen bool
	term   *election.Term
	owners map[string]*share.Owner
	stop   context.CancelFunc
}

type loopSite struct {
	t           *testing.T
	audit       audit
	backing     *fake.Store
	storeAddr   string
	controllers map[string]*loopController
	addrs       map[string]string
	careless    bool // controllers answer on after they handed over: the audit must notice
}

func newLoopSite(t *testing.T, ctx context.Context) *loopSite {
	t.Helper()
	s := &loopSite{t: t, backing: fake.NewStore(), controllers: map[string]*loopController{}, addrs: map[string]string{}}
	s.audit.by = map[string]map[uint64]*span{}
	s.storeAddr = s.listen(s.backing.Handle)
	for _, name := range controllers {
		c := &loopController{name: name, site: s, store: &faultyStore{Store: store.NewClient(s.storeAddr, 1e6, 1e6)}}
		s.controllers[name] = c
		s.addrs[name] = s.listen(c.answer)
		c.begin(ctx)
	}
	return s
}

func (s *loopSite) listen(handle fasthttp.RequestHandler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handle, Logger: quiet{}}
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// quiet drops what the servers log of connections that end.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

// begin starts a process of the controller.
func (c *loopController) begin(ctx context.Context) {
	ctx, c.stop = context.WithCancel(ctx)
	c.owners, c.term = map[string]*share.Owner{}, nil
	session := &election.Election{Key: share.SessionKey(c.name), Node: c.name, Nonce: fmt.Sprint(rand.Uint64()), Store: c.store,
		TTL: loopSession, Renew: loopSession / 5, Log: discard, Now: micro.Now,
		OnLead: func(t *election.Term) { c.registered(ctx, t) },
		OnLose: func(*election.Term) {}}
	go func() { _ = session.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			c.step(ctx)
			time.Sleep(loopStep)
		}
	}()
}

// registered notes the session, unless the process has ended meanwhile.
func (c *loopController) registered(ctx context.Context, t *election.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() == nil {
		c.term = t
	}
}

// kill ends the process, which is back after a while.
func (c *loopController) kill(ctx context.Context, after time.Duration) {
	c.stop()
	c.mu.Lock()
	c.owners, c.term = map[string]*share.Owner{}, nil
	c.mu.Unlock()
	time.AfterFunc(after, func() {
		if ctx.Err() == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.begin(ctx)
		}
	})
}

// step reads the records, and hands over what is to move.
func (c *loopController) step(ctx context.Context) {
	entries, err := readShares(ctx, c.store)
	if err != nil {
		return
	}
	for _, e := range entries {
		c.mu.Lock()
		txn, send, renew := c.look(ctx, e)
		c.mu.Unlock()
		if !send {
			continue
		}
		revision, err := c.store.Commit(ctx, store.Urgent, txn)
		c.mu.Lock()
		if o := c.owners[e.Name]; o != nil && renew {
			o.Renewed(revision, err)
		} else if o != nil {
			o.HandedOver(err)
		}
		c.mu.Unlock()
	}
}

// look takes in a record, and tells what to send for it.
func (c *loopController) look(ctx context.Context, e share.Entry) (txn wire.Txn, send, renew bool) {
	if ctx.Err() != nil || c.frozen || c.term == nil {
		return txn, false, false
	}
	self := share.Controller{Node: c.name, Session: wire.Count(c.term.Stamp)}
	o := c.owners[e.Name]
	if o != nil {
		o.Observe(e)
	}
	if (o == nil || o.State() == share.Over) && e.Away() && e.Record.Owner == self {
		o = share.NewOwner(e, c.term, self, func(string, ...any) {})
		c.owners[e.Name] = o
	}
	if o == nil {
		return txn, false, false
	}
	if txn, ok := o.Renew(0); ok {
		return txn, true, true
	}
	if o.Valid(micro.Now()) {
		txn, send = o.HandOver(0)
	}
	return txn, send, false
}

// answer answers a worker's report.
func (c *loopController) answer(ctx *fasthttp.RequestCtx) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, err := wire.DecodeReport(ctx.PostBody())
	if err != nil || c.frozen {
		ctx.SetStatusCode(503)
		return
	}
	now := micro.Now()
	o := c.owners[r.Zone]
	if o == nil || !o.Valid(now) && !c.site.careless {
		ctx.SetStatusCode(503)
		return
	}
	c.site.audit.note(r.Zone, decision{o.FirstToken(), c.name, now})
	ctx.SetBody(wire.MustMarshal(wire.Orders{Token: wire.Count(o.FirstToken()), Orders: []wire.Order{}}))
}

func readShares(ctx context.Context, s store.Store) ([]share.Entry, error) {
	page, err := s.Range(ctx, store.Routine, share.RecordPrefix, "", 1000)
	if err != nil {
		return nil, err
	}
	var out []share.Entry
	for _, it := range page.Items {
		e := share.Entry{Name: it.Key[len(share.RecordPrefix):], Version: uint64(it.Version)}
		if err := wire.Unmarshal(it.Value, &e.Record); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// work is a worker of a share (its zone), which asks the controllers in turn.
func (s *loopSite) work(ctx context.Context, zone string, i int) {
	w := fake.NewWorker(fmt.Sprintf("%s-%d", zone, i), "small", zone, 5*micro.Second)
	w.Sent = micro.Now()
	for at := i; ctx.Err() == nil; time.Sleep(2 * loopStep) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod("POST")
		req.SetRequestURI("http://" + s.addrs[controllers[at%len(controllers)]] + "/agent/beat")
		sent := micro.Now()
		req.SetBody(wire.MustMarshal(w.Report()))
		var o wire.Orders
		if fasthttp.DoTimeout(req, resp, time.Second) == nil && resp.StatusCode() == 200 && wire.Unmarshal(resp.Body(), &o) == nil {
			w.Answer(o, sent)
		}
		if resp.StatusCode() != 200 || rand.IntN(4) == 0 {
			at++ // now and then also without need: all controllers are asked, whoever owns the share
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		if w.Expire(micro.Now()) {
			s.audit.lapse.Add(1)
		}
	}
}

// lead moves shares, and takes them from controllers that are gone, until so many moves
// were carried out.
func (s *loopSite) lead(ctx context.Context, moves int) (done int, took []micro.Time) {
	client := store.NewClient(s.storeAddr, 1e6, 1e6)
	began, last := map[string]micro.Time{}, map[string]uint64{}
	for ctx.Err() == nil && done < moves {
		time.Sleep(loopStep)
		entries, err := readShares(ctx, client)
		sessions, serr := readSessions(ctx, client)
		if err != nil || serr != nil {
			continue
		}
		for _, e := range entries {
			if e.Record.Moves > last[e.Name] && last[e.Name] > 0 {
				done++
				took = append(took, micro.Now()-began[e.Name])
			}
			last[e.Name] = e.Record.Moves
			if txn, ok := s.next(e, sessions); ok {
				began[e.Name] = micro.Now()
				_, _ = client.Commit(ctx, store.Urgent, txn)
			}
		}
	}
	return done, took
}

// next is what the leader does with a share.
func (s *loopSite) next(e share.Entry, sessions share.Sessions) (wire.Txn, bool) {
	if e.OwnerGone(sessions) {
		to, ok := e.Successor(sessions, share.Snapshot{})
		if !ok {
			return wire.Txn{}, false
		}
		txn, err := e.Take(to, sessions, 0, leaderKey)
		return txn, err == nil
	}
	to, ok := sessions.Controller(controllers[rand.IntN(len(controllers))])
	later, err := e.Record.Move(to, 0)
	if !ok || err != nil {
		if errors.Is(err, share.ErrMoving) && !sessions.Has(e.Record.Target) {
			later, err = e.Record.Cancel(0)
			return e.Put(later, leaderKey), err == nil
		}
		return wire.Txn{}, false
	}
	return e.Put(later, leaderKey), true
}

func readSessions(ctx context.Context, st store.Store) (share.Sessions, error) {
	page, err := st.Range(ctx, store.Routine, share.SessionPrefix, "", 1000)
	out := share.Sessions{}
	for _, it := range page.Items {
		out[it.Key[len(share.SessionPrefix):]] = it.Version
	}
	return out, err
}

// trouble befalls one controller after another.
func (s *loopSite) trouble(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
		c := s.controllers[controllers[rand.IntN(len(controllers))]]
		spell := time.Duration(20+rand.IntN(600)) * time.Millisecond
		switch rand.IntN(4) {
		case 0:
			c.kill(ctx, spell)
		case 1:
			c.store.cut.Store(true)
			time.AfterFunc(spell, func() { c.store.cut.Store(false) })
		case 2:
			c.store.lose.Store(true)
			time.AfterFunc(spell/4, func() { c.store.lose.Store(false) })
		case 3:
			c.freeze(true)
			time.AfterFunc(spell, func() { c.freeze(false) })
		}
		time.Sleep(spell)
	}
}

func (c *loopController) freeze(on bool) { c.mu.Lock(); c.frozen = on; c.mu.Unlock() }

// playLoopback plays so many moves on a site, and gives what the audit found.
func playLoopback(t *testing.T, moves int, careless bool) (done int, twice []string, none int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), loopLimit)
	defer cancel()
	s := newLoopSite(t, ctx)
	s.careless = careless
	for i := range loopShares {
		name := fmt.Sprintf("zone-%d", i)
		rec := share.Form(share.Selector{Zone: name}, nil, 0)
		rec.State = share.Owned // by nobody: the leader gives it to the first that is there
		if _, err := s.backing.Commit(ctx, store.Urgent, wire.Txn{Then: []wire.Change{{Put: share.RecordKey(name), Value: rec}}}); err != nil {
			t.Fatal(err)
		}
		for k := range loopWorkers {
			go s.work(ctx, name, k)
		}
	}
	go s.trouble(ctx)
	done, took := s.lead(ctx, moves)
	cancel()
	slices.Sort(took)
	if len(took) > 0 {
		t.Logf("%d moves and take-overs: median %v us, 95%% %v us, longest %v us; %d leases ran out", done, took[len(took)/2], took[len(took)*95/100], took[len(took)-1], s.audit.lapse.Load())
	}
	return done, s.audit.twoOwners(), s.without(t)
}

// without counts revisions of a share's record that name no owner after one did.
func (s *loopSite) without(t *testing.T) int {
	t.Helper()
	events, err := s.backing.Watch(context.Background(), share.RecordPrefix, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	owned, none := map[string]bool{}, 0
	for _, e := range events.Events {
		var rec share.Record
		if e.Delete != "" || wire.Unmarshal(e.Value, &rec) != nil || rec.Owner.Node == "" && owned[e.Put] {
			none++
		}
		owned[e.Put] = owned[e.Put] || rec.Owner.Node != ""
	}
	return none
}

func TestLoopbackMovesLeaveNoMachineWithTwoOwnersOrNone(t *testing.T) {
	done, twice, none := playLoopback(t, *loopbackMoves, false)
	if done < *loopbackMoves {
		t.Errorf("%d of %d moves", done, *loopbackMoves)
	}
	if len(twice) > 0 || none > 0 {
		t.Errorf("%d times two owners, %d revisions without one: %v", len(twice), none, twice[:min(len(twice), 5)])
	}
}

// The counter counts: controllers that answer on after they handed over are noticed.
func TestLoopbackCounterNoticesTwoOwners(t *testing.T) {
	if _, twice, _ := playLoopback(t, 60, true); len(twice) == 0 {
		t.Error("careless controllers were not noticed")
	}
}
