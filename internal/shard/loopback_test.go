package shard_test

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
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Fake controllers and agents on 127.0.0.1, with the real client of the store: shards are moved between the controllers
// while these restart, are paused or cannot reach the store. For a long run:
// go test ./internal/shard -run TestLoopback -share.moves 5000

var discard = slog.New(slog.DiscardHandler)

var loopbackMoves = flag.Int("share.moves", 150, "number of moves in the loopback test")

const (
	loopbackShards         = 4
	loopbackAgentsPerShard = 2
	loopbackSessionTTL     = 400 * micro.Millisecond
	loopbackStep           = 2 * time.Millisecond
	loopbackTimeout        = 10 * time.Minute // ends a run that hangs
)

// responseRecord is one response to an agent, recorded when the controller decided on it.
type responseRecord struct {
	firstToken uint64
	node       string
	at         micro.Time
}

// responseAudit collects the responses that controllers gave to agents.
type responseAudit struct {
	mu            sync.Mutex
	byShard       map[string]map[uint64]*ownershipSpan // by shard and first token of the ownership
	expiredLeases atomic.Int64                         // number of agent leases that expired
}

// ownershipSpan is the period in which the responses of one ownership were decided, and the node that did so.
type ownershipSpan struct {
	node        string
	first, last micro.Time
}

func (a *responseAudit) add(name string, d responseRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byShard[name] == nil {
		a.byShard[name] = map[uint64]*ownershipSpan{}
	}
	span := a.byShard[name][d.firstToken]
	if span == nil {
		a.byShard[name][d.firstToken] = &ownershipSpan{d.node, d.at, d.at}
		return
	}
	span.first, span.last = min(span.first, d.at), max(span.last, d.at)
	if span.node != d.node {
		span.node += " and " + d.node
	}
}

// overlappingOwners returns the cases in which an owner responded after a later one had started, or two nodes responded
// under the same token.
func (a *responseAudit) overlappingOwners() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var overlaps []string
	for name, spans := range a.byShard {
		firsts := make([]uint64, 0, len(spans))
		for first := range spans {
			firsts = append(firsts, first)
		}
		slices.Sort(firsts)
		latest := micro.Time(0)
		for _, first := range firsts {
			span := spans[first]
			if span.first < latest || len(span.node) > len("n-0") {
				overlaps = append(
					overlaps,
					fmt.Sprintf("%s: %s started at %v, an earlier owner responded until %v", name, span.node, span.first, latest),
				)
			}
			latest = max(latest, span.last)
		}
	}
	return overlaps
}

// faultyStore is one controller's client of the store, with faults.
type faultyStore struct {
	store.Store
	partitioned   atomic.Bool // no request reaches the store
	responsesLost atomic.Bool // transactions are executed, but their responses are lost
}

// Get reads a key, unless the controller is partitioned from the store.
func (f *faultyStore) Get(ctx context.Context, class store.Class, key string) (wire.Item, error) {
	if f.partitioned.Load() {
		return wire.Item{}, store.ErrUncertain
	}
	return f.Store.Get(ctx, class, key)
}

// Renew renews a lease, unless the controller is partitioned from the store.
func (f *faultyStore) Renew(ctx context.Context, lease uint64) error {
	if f.partitioned.Load() {
		return store.ErrUncertain
	}
	return f.Store.Renew(ctx, lease)
}

// Commit executes a transaction, unless the controller is partitioned from the store. Its response may be lost.
func (f *faultyStore) Commit(ctx context.Context, class store.Class, txn wire.Transaction) (uint64, error) {
	if f.partitioned.Load() {
		return 0, store.ErrUncertain
	}
	revision, err := f.Store.Commit(ctx, class, txn)
	if f.responsesLost.Load() {
		return 0, store.ErrUncertain
	}
	return revision, err
}

// loopbackController is a fake controller, with a session, shard owners and an HTTP server.
type loopbackController struct {
	name    string
	cluster *loopbackCluster
	store   *faultyStore

	mu     sync.Mutex // held while a heartbeat is answered or an owner's state changes
	paused bool
	term   *election.Term
	owners map[string]*shard.Owner
	stop   context.CancelFunc
}

// loopbackCluster is a store, with controllers and agents that reach it and each other over 127.0.0.1.
type loopbackCluster struct {
	t            *testing.T
	audit        responseAudit
	backing      *fake.Store
	storeAddr    string
	controllers  map[string]*loopbackController
	addrs        map[string]string
	ignoresLease bool // controllers respond without checking their lease: the audit must detect it
}

func newLoopbackCluster(ctx context.Context, t *testing.T) *loopbackCluster {
	t.Helper()
	loopback := &loopbackCluster{
		t: t, backing: fake.NewStore(), controllers: map[string]*loopbackController{}, addrs: map[string]string{},
	}
	loopback.audit.byShard = map[string]map[uint64]*ownershipSpan{}
	loopback.storeAddr = loopback.listen(loopback.backing.Handle)
	for _, name := range controllers {
		controller := &loopbackController{
			name: name, cluster: loopback, store: &faultyStore{Store: store.NewClient(loopback.storeAddr, 1e6, 1e6)},
		}
		loopback.controllers[name] = controller
		loopback.addrs[name] = loopback.listen(controller.handleHeartbeat)
		controller.start(ctx)
	}
	return loopback
}

func (c *loopbackCluster) listen(handle fasthttp.RequestHandler) string {
	listener, err := new(net.ListenConfig).Listen(c.t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handle, Logger: discardLogger{}}
	go func() { _ = server.Serve(listener) }()
	c.t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// discardLogger discards what the servers log about connections that end.
type discardLogger struct{}

// Printf discards a line.
func (discardLogger) Printf(string, ...any) {}

// start starts a new process of the controller.
func (c *loopbackController) start(ctx context.Context) {
	ctx, c.stop = context.WithCancel(ctx)
	c.owners, c.term = map[string]*shard.Owner{}, nil
	campaign := &election.Election{
		Key: shard.SessionKey(c.name), Node: c.name, Nonce: fmt.Sprint(rand.Uint64()), Store: c.store,
		TTL: loopbackSessionTTL, RenewInterval: loopbackSessionTTL / 5, Log: discard, Now: micro.Now,
		OnStartedLeading: func(t *election.Term) { c.setSession(ctx, t) }, OnStoppedLeading: func(*election.Term) {},
	}
	go func() { _ = campaign.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			c.step(ctx)
			time.Sleep(loopbackStep)
		}
	}()
}

// setSession records the session, unless the process has ended meanwhile.
func (c *loopbackController) setSession(ctx context.Context, t *election.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() == nil {
		c.term = t
	}
}

// restartAfter ends the process, and starts a new one after a delay.
func (c *loopbackController) restartAfter(ctx context.Context, after time.Duration) {
	c.stop()
	c.mu.Lock()
	c.owners, c.term = map[string]*shard.Owner{}, nil
	c.mu.Unlock()
	time.AfterFunc(after, func() {
		if ctx.Err() == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.start(ctx)
		}
	})
}

// step reads the records, and transfers the shards that are to move.
func (c *loopbackController) step(ctx context.Context) {
	entries, err := readShards(ctx, c.store)
	if err != nil {
		return
	}
	for _, entry := range entries {
		c.mu.Lock()
		txn, shouldSend, resolving := c.observe(ctx, entry)
		c.mu.Unlock()
		if !shouldSend {
			continue
		}
		revision, err := c.store.Commit(ctx, store.Urgent, txn)
		c.mu.Lock()
		if owner := c.owners[entry.Name]; owner != nil && resolving {
			owner.HandleResolveResult(revision, err)
		} else if owner != nil {
			owner.HandleTransferResult(err)
		}
		c.mu.Unlock()
	}
}

// observe applies a record, and returns the transaction to send for it, if any; resolving reports whether that resolves
// an uncertain transfer.
func (c *loopbackController) observe(
	ctx context.Context, entry shard.Entry,
) (txn wire.Transaction, shouldSend, resolving bool) {
	if ctx.Err() != nil || c.paused || c.term == nil {
		return txn, false, false
	}
	self := shard.Controller{Node: c.name, SessionVersion: wire.Count(c.term.FencingRevision)}
	owner := c.owners[entry.Name]
	if owner != nil {
		owner.Observe(entry)
	}
	if (owner == nil || owner.State() == shard.Relinquished) && entry.HasOwner() && entry.Record.Owner == self {
		owner = shard.NewOwner(entry, c.term, self, func(string, ...any) {})
		c.owners[entry.Name] = owner
	}
	if owner == nil {
		return txn, false, false
	}
	if txn, ok := owner.ResolveUncertain(0); ok {
		return txn, true, true
	}
	if owner.MayServe(micro.Now()) {
		txn, shouldSend = owner.BeginTransfer(0)
	}
	return txn, shouldSend, false
}

// handleHeartbeat answers an agent's heartbeat.
func (c *loopbackController) handleHeartbeat(ctx *fasthttp.RequestCtx) {
	c.mu.Lock()
	defer c.mu.Unlock()
	heartbeat, err := wire.DecodeHeartbeat(ctx.PostBody())
	if err != nil || c.paused {
		ctx.SetStatusCode(503)
		return
	}
	now := micro.Now()
	owner := c.owners[heartbeat.Zone]
	if owner == nil || !owner.MayServe(now) && !c.cluster.ignoresLease {
		ctx.SetStatusCode(503)
		return
	}
	c.cluster.audit.add(heartbeat.Zone, responseRecord{owner.FirstFencingToken(), c.name, now})
	ctx.SetBody(
		wire.MustMarshal(wire.Commands{FencingToken: wire.Count(owner.FirstFencingToken()), Items: []wire.Command{}}),
	)
}

func readShards(ctx context.Context, s store.Store) ([]shard.Entry, error) {
	page, err := s.Range(ctx, store.Routine, shard.RecordPrefix, "", 1000)
	if err != nil {
		return nil, err
	}
	var out []shard.Entry
	for _, item := range page.Items {
		entry := shard.Entry{Name: item.Key[len(shard.RecordPrefix):], Version: uint64(item.Version)}
		if err := wire.Unmarshal(item.Value, &entry.Record); err != nil {
			return nil, err
		}
		out = append(out, entry)
	}
	return out, nil
}

// runAgent runs an agent of a shard, which has the name of its zone. It sends heartbeats to the controllers in turn.
func (c *loopbackCluster) runAgent(ctx context.Context, zone string, i int) {
	agent := fake.NewAgent(fmt.Sprintf("%s-%d", zone, i), "small", zone, 5*micro.Second)
	agent.LeaseStart = micro.Now()
	for target := i; ctx.Err() == nil; time.Sleep(2 * loopbackStep) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetMethod("POST")
		request.SetRequestURI("http://" + c.addrs[controllers[target%len(controllers)]] + "/agent/beat")
		sent := micro.Now()
		request.SetBody(wire.MustMarshal(agent.Heartbeat()))
		var commands wire.Commands
		if fasthttp.DoTimeout(request, response, time.Second) == nil && response.StatusCode() == 200 &&
			wire.Unmarshal(response.Body(), &commands) == nil {
			agent.HandleResponse(commands, sent)
		}
		if response.StatusCode() != 200 || rand.IntN(4) == 0 {
			target++ // at times also after a response, so that every controller gets heartbeats
		}
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
		if agent.ExpireLease(micro.Now()) {
			c.audit.expiredLeases.Add(1)
		}
	}
}

// moveShards acts as the leader: it moves shards, and reassigns those of controllers without a session, until the given
// number of changes of owner is done. It returns this number, and how long the changes took.
func (c *loopbackCluster) moveShards(ctx context.Context, moves int) (done int, durations []micro.Time) {
	client := store.NewClient(c.storeAddr, 1e6, 1e6)
	startedAt, lastOwnerChanges := map[string]micro.Time{}, map[string]uint64{}
	for ctx.Err() == nil && done < moves {
		time.Sleep(loopbackStep)
		entries, err := readShards(ctx, client)
		sessions, sessionsErr := readSessions(ctx, client)
		if err != nil || sessionsErr != nil {
			continue
		}
		for _, entry := range entries {
			if entry.Record.OwnerChanges > lastOwnerChanges[entry.Name] && lastOwnerChanges[entry.Name] > 0 {
				done++
				durations = append(durations, micro.Now()-startedAt[entry.Name])
			}
			lastOwnerChanges[entry.Name] = entry.Record.OwnerChanges
			if txn, ok := c.nextTransaction(entry, sessions); ok {
				startedAt[entry.Name] = micro.Now()
				_, _ = client.Commit(ctx, store.Urgent, txn)
			}
		}
	}
	return done, durations
}

// nextTransaction returns the leader's next transaction on a shard's record; false: there is none.
func (c *loopbackCluster) nextTransaction(entry shard.Entry, sessions shard.Sessions) (wire.Transaction, bool) {
	if entry.OwnerSessionLost(sessions) {
		to, ok := entry.Successor(sessions, shard.Snapshot{})
		if !ok {
			return wire.Transaction{}, false
		}
		txn, err := entry.Reassign(to, sessions, 0, leaderKey)
		return txn, err == nil
	}
	to, ok := sessions.Controller(controllers[rand.IntN(len(controllers))])
	next, err := entry.Record.Move(to, 0)
	if !ok || err != nil {
		if errors.Is(err, shard.ErrAlreadyMoving) && !sessions.Has(entry.Record.Target) {
			next, err = entry.Record.CancelMove(0)
			return entry.Update(next, leaderKey), err == nil
		}
		return wire.Transaction{}, false
	}
	return entry.Update(next, leaderKey), true
}

func readSessions(ctx context.Context, st store.Store) (shard.Sessions, error) {
	page, err := st.Range(ctx, store.Routine, shard.SessionPrefix, "", 1000)
	out := shard.Sessions{}
	for _, item := range page.Items {
		out[item.Key[len(shard.SessionPrefix):]] = item.Version
	}
	return out, err
}

// injectFaults injects a random fault into one random controller after another until the context ends.
func (c *loopbackCluster) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
		controller := c.controllers[controllers[rand.IntN(len(controllers))]]
		duration := time.Duration(20+rand.IntN(600)) * time.Millisecond
		switch rand.IntN(4) {
		case 0:
			controller.restartAfter(ctx, duration)
		case 1:
			controller.store.partitioned.Store(true)
			time.AfterFunc(duration, func() { controller.store.partitioned.Store(false) })
		case 2:
			controller.store.responsesLost.Store(true)
			time.AfterFunc(duration/4, func() { controller.store.responsesLost.Store(false) })
		case 3:
			controller.setPaused(true)
			time.AfterFunc(duration, func() { controller.setPaused(false) })
		}
		time.Sleep(duration)
	}
}

func (c *loopbackController) setPaused(on bool) { c.mu.Lock(); c.paused = on; c.mu.Unlock() }

// runLoopback runs a cluster until the given number of moves is done. It returns the number of moves done, the overlaps
// that the audit found, and the number of revisions of shard records that name no owner.
func runLoopback(t *testing.T, moves int, ignoresLease bool) (done int, overlaps []string, withoutOwner int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), loopbackTimeout)
	defer cancel()
	loopback := newLoopbackCluster(ctx, t)
	loopback.ignoresLease = ignoresLease
	for i := range loopbackShards {
		name := fmt.Sprintf("zone-%d", i)
		record := shard.NewRecord(shard.Selector{Zone: name}, nil, 0)
		record.State = shard.Owned // without an owner: the leader gives it to the first controller that has a session
		if _, err := loopback.backing.Commit(
			ctx, store.Urgent, wire.Transaction{Then: []wire.Change{{Put: shard.RecordKey(name), Value: record}}},
		); err != nil {
			t.Fatal(err)
		}
		for agent := range loopbackAgentsPerShard {
			go loopback.runAgent(ctx, name, agent)
		}
	}
	go loopback.injectFaults(ctx)
	done, durations := loopback.moveShards(ctx, moves)
	cancel()
	slices.Sort(durations)
	if len(durations) > 0 {
		t.Logf(
			"%d moves and reassignments: median %v us, p95 %v us, max %v us; %d agent leases expired", done,
			durations[len(durations)/2], durations[len(durations)*95/100], durations[len(durations)-1],
			loopback.audit.expiredLeases.Load(),
		)
	}
	return done, loopback.audit.overlappingOwners(), loopback.revisionsWithoutOwner(t)
}

// revisionsWithoutOwner counts the revisions of shard records that name no owner although an earlier revision did.
func (c *loopbackCluster) revisionsWithoutOwner(t *testing.T) int {
	t.Helper()
	events, err := c.backing.Watch(context.Background(), shard.RecordPrefix, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	owned, withoutOwner := map[string]bool{}, 0
	for _, event := range events.Events {
		var record shard.Record
		if event.Delete != "" || wire.Unmarshal(event.Value, &record) != nil || record.Owner.Node == "" && owned[event.Put] {
			withoutOwner++
		}
		owned[event.Put] = owned[event.Put] || record.Owner.Node != ""
	}
	return withoutOwner
}

// While shards move under faults, no machine may be answered by two owners, and every revision of a shard's record must
// name an owner.
func TestLoopbackMovesKeepOneOwnerPerMachine(t *testing.T) {
	done, overlaps, withoutOwner := runLoopback(t, *loopbackMoves, false)
	if done < *loopbackMoves {
		t.Errorf("%d of %d moves done", done, *loopbackMoves)
	}
	if len(overlaps) > 0 || withoutOwner > 0 {
		t.Errorf(
			"%d overlapping owners, %d revisions without an owner: %v", len(overlaps), withoutOwner,
			overlaps[:min(len(overlaps), 5)],
		)
	}
}

// The audit must detect controllers that continue to respond after they transferred a shard.
func TestLoopbackAuditDetectsTwoOwners(t *testing.T) {
	if _, overlaps, _ := runLoopback(t, 60, true); len(overlaps) == 0 {
		t.Error("the audit did not detect controllers that ignore their lease")
	}
}
