package controller

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/agent"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// hosts passes direct orders to fake workers.
type hosts struct {
	mu sync.Mutex
	w  map[string]*fake.Worker
}

func (h *hosts) Send(addr string, o wire.Orders) (*wire.Report, bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, w := range h.w {
		if name+":9000" == addr {
			r, ok := w.Direct(o)
			return r, ok, nil
		}
	}
	return nil, false, agent.ErrUncertain
}

type bed struct {
	t     *testing.T
	store *fake.Store
	cloud *fake.Cloud
	hosts *hosts
}

func newBed(t *testing.T) *bed {
	return &bed{t: t, store: fake.NewStore(), hosts: &hosts{w: map[string]*fake.Worker{}},
		cloud: fake.NewCloud(2, wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 1, FetchGBPerS: 1, Zones: []string{"a"}})}
}

// node makes a node; its process is dead once the returned function was called.
func (b *bed) node(name string) (*Node, func()) { return b.nodeWith(name, func(*Node) {}) }

func (b *bed) nodeWith(name string, set func(*Node)) (*Node, func()) {
	cfg := &config.Config{Properties: config.Defaults()}
	cfg.Node = name
	cfg.LeaderLease, cfg.LeaderRenew = 600*micro.Millisecond, 100*micro.Millisecond
	cfg.Facts.Workers.LeaseS, cfg.Facts.Workers.ReportS, cfg.Facts.State.ValueKB, cfg.Facts.State.TxnOps = 30, 3, 16, 24
	cfg.Facts.Workers.CancelS = 50
	cfg.Facts.Teams = []config.Team{{Name: "team", CPUsMax: 16}}
	// Nothing waits for room to come free: machines are rented at once.
	cfg.Facts.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: 30}}
	n := &Node{Cfg: cfg, Store: b.store, Cloud: b.cloud, Agent: b.hosts, Peers: peer.NewClient(nil),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.New(), Now: micro.Now, Wall: micro.Wall}
	n.Init()
	set(n)
	cat, _ := b.cloud.Catalog(context.Background())
	n.catalog.Store(cat)
	ctx, cancel := context.WithCancel(context.Background())
	n.election.OnLead = func(t *election.Term) { n.startLead(ctx, t) }
	n.election.OnLose = n.stopLead
	go func() { _ = n.election.Run(ctx) }()
	b.t.Cleanup(cancel)
	return n, cancel
}

// servePeer lets a node answer its peers on loopback.
func (b *bed) servePeer(n *Node) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.t.Cleanup(cancel)
	go func() { _ = peer.Serve(ctx, ln, n.peerCall, n.Metrics.Write) }()
	return ln.Addr().String()
}

// slow is a store that answers no transaction until its caller gives up.
type slow struct{ store.Store }

func (slow) Commit(ctx context.Context, _ store.Class, _ wire.Txn) (uint64, error) {
	<-ctx.Done()
	return 0, store.ErrUncertain
}

// wait polls; the time is only a bound on a hang.
func wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

func submission(id string, kind wire.Kind) []byte {
	return wire.MustMarshal(map[string]any{"nameId": id, "jobclass": "c", "outfit": "team", "shape": string(kind), "rank": "standard",
		"pieces": 2, "vcpus": 1, "gpus": 0, "ramGb": 1, "bundle": "i", "pullGb": 1, "oneZone": false, "scatter": false, "loaners": false,
		"guessS": 10, "bookmarkS": 0, "stashS": 0})
}

// work lets the rented machines report until stopped.
func (b *bed) work(n *Node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, m := range b.cloud.Rented() {
			b.hosts.mu.Lock()
			w := b.hosts.w[m.Name]
			if w == nil {
				w = fake.NewWorker(m.Name, m.Type, m.Zone, 30*micro.Second)
				b.hosts.w[m.Name] = w
			}
			for k, t := range w.Tasks {
				if t.State == wire.TaskRunning && k.Task != "j-9/0" && k.Task != "j-9/1" {
					w.Exit(k.Task, k.Attempt, wire.CauseDone)
				}
			}
			body := wire.MustMarshal(w.Report())
			b.hosts.mu.Unlock()
			r := n.Beat(body)
			if o, ok := r.Body.(wire.Orders); ok && r.Status == 200 {
				b.hosts.mu.Lock()
				w.Answer(o, micro.Now())
				b.hosts.mu.Unlock()
			}
		}
	}
}

func state(n *Node, id string) wire.JobState {
	if s, ok := n.Show(id).Body.(wire.JobStatus); ok {
		return s.State
	}
	return ""
}

func TestJobRunsToItsEndAndIsKnownAfterAllProcessesWereReplaced(t *testing.T) {
	b := newBed(t)
	n, kill := b.node("n-0")
	if r := n.Submit(submission("j-1", wire.Array)); r.Status != 201 {
		t.Fatalf("%+v", r)
	}
	stop := make(chan struct{})
	go b.work(n, stop)
	wait(t, "done", func() bool { return state(n, "j-1") == wire.JobDone })
	close(stop)
	kill()
	again, _ := b.node("n-0")
	wait(t, "its state from the store", func() bool { return state(again, "j-1") == wire.JobDone })
	if r := again.Submit(submission("j-1", wire.Array)); r.Status != 200 || r.Body.(wire.JobStatus).State != wire.JobDone {
		t.Fatalf("a late repeat got %+v", r)
	}
	if r := again.Withdraw("j-1"); r.Status != 200 || r.Body.(wire.JobStatus).State != wire.JobDone {
		t.Fatalf("withdrawn after its end: %+v", r)
	}
	if r := again.Show("j-404"); r.Status != 404 {
		t.Fatalf("%+v", r)
	}
}

func TestWithdrawnServiceStaysWithdrawnUnderTheNextLeader(t *testing.T) {
	b := newBed(t)
	n, kill := b.node("n-0")
	n.Submit(submission("j-9", wire.Service))
	stop := make(chan struct{})
	go b.work(n, stop)
	wait(t, "running", func() bool { return state(n, "j-9") == wire.JobRunning })
	wait(t, "withdrawn", func() bool { return n.Withdraw("j-9").Status == 200 })
	wait(t, "its tasks gone", func() bool {
		b.hosts.mu.Lock()
		defer b.hosts.mu.Unlock()
		for _, w := range b.hosts.w {
			for _, task := range w.Tasks {
				if task.State != wire.TaskExited {
					return false
				}
			}
		}
		return true
	})
	close(stop)
	kill()
	again, _ := b.node("n-1")
	wait(t, "another leads", func() bool { return again.leading() != nil })
	if got := state(again, "j-9"); got != wire.JobAborted {
		t.Fatalf("it is %q", got)
	}
}

func TestUncertainSubmissionIsAnsweredAtOnceAndItsRetryIsKnown(t *testing.T) {
	b := newBed(t)
	n, _ := b.node("n-0")
	wait(t, "leading", func() bool { return n.leading() != nil })
	b.store.LoseAnswers(1)
	r := n.Submit(submission("j-1", wire.Array))
	for r.Status == 201 { // the lost answer was the leader's own
		b.store.LoseAnswers(1)
		r = n.Submit(submission("j-1", wire.Array))
	}
	if r.Status != 503 && r.Status != 200 || r.Status == 503 && r.RetryAfter == 0 {
		t.Fatalf("%+v", r)
	}
	if r := n.Submit(submission("j-1", wire.Array)); r.Status != 200 {
		t.Fatalf("the retry got %+v", r)
	}
}

func TestBadAndImpossibleSubmissions(t *testing.T) {
	b := newBed(t)
	n, _ := b.node("n-0")
	change := func(k string, v any) []byte {
		var m map[string]any
		if err := wire.Unmarshal(submission("j-1", wire.Gang), &m); err != nil {
			t.Fatal(err)
		}
		m[k] = v
		return wire.MustMarshal(m)
	}
	for _, c := range []struct {
		body []byte
		want int
	}{
		{[]byte("hello"), 400},
		{change("vcpus", "x"), 400},
		{change("outfit", "nobody"), 422},
		{change("vcpus", 5), 422},
		{change("yard", "mars"), 422},
		{change("rigs", []string{"none"}), 422},
		{change("pieces", 17), 422},
	} {
		if r := n.Submit(c.body); r.Status != c.want {
			t.Errorf("status %d, want %d: %+v", r.Status, c.want, r.Body)
		}
	}
	n.catalog.Store(nil)
	if r := n.Submit(change("pieces", 1)); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("without a catalog: %+v", r)
	}
}

func TestOutageLongerThanTheLeadersLeaseSilencesItAndItComesBack(t *testing.T) {
	b := newBed(t)
	n, _ := b.node("n-0")
	wait(t, "leading", func() bool { return n.leading() != nil })
	l := n.leading()
	b.store.Outage(true)
	wait(t, "silent", func() bool { return n.leading() == nil })
	if r := n.Beat(wire.MustMarshal(wire.Report{Machine: "i-1", Addr: "x:1", Session: 1, Seq: 1})); r.Status != 503 {
		t.Fatalf("a worker got %+v", r)
	}
	if r := n.Show("j-1"); r.Status != 503 || r.RetryAfter == 0 {
		t.Fatalf("a poll got %+v", r)
	}
	b.store.Outage(false)
	wait(t, "leading again", func() bool { return n.leading() != nil })
	if again := n.leading(); again != nil && again != l {
		t.Fatal("its lease had its full time again, yet the term changed")
	}
}

func TestOnlyOneLeadsAndAStaleWriteFailsItsGuard(t *testing.T) {
	b := newBed(t)
	n0, kill := b.node("n-0")
	wait(t, "leading", func() bool { return n0.leading() != nil })
	n1, _ := b.node("n-1")
	wait(t, "known", func() bool { return n1.election.Leader() == "n-0" })
	if n1.leading() != nil {
		t.Fatal("two lead")
	}
	old := n0.leading().term
	b.store.HoldBack(1)
	_, err := b.store.Commit(context.Background(), store.Urgent, wire.Txn{If: []wire.Guard{old.Guard()}, Then: []wire.Change{{Put: "job/j-1/end", Value: "x"}}})
	if err == nil {
		t.Fatal("not held back")
	}
	kill()
	wait(t, "the other leads", func() bool { return n1.leading() != nil })
	if b.store.Deliver() != 0 {
		t.Fatal("a write of the old term took effect under the new one")
	}
	r := n1.Beat(wire.MustMarshal(wire.Report{Machine: "i-1", Addr: "x:1", Session: 1, Seq: 1}))
	if o, ok := r.Body.(wire.Orders); !ok || uint64(o.Token) <= old.Stamp<<tokenBits {
		t.Fatalf("token of the new term: %+v", r)
	}
}

// Held packets deliver an old write after a newer one: it must change nothing.
func TestLateCopyOfAWriteFailsItsOwnKeysVersion(t *testing.T) {
	b := newBed(t)
	n, _ := b.node("n-0")
	stop := make(chan struct{})
	defer close(stop)
	go b.work(n, stop)
	wait(t, "leading", func() bool { return n.leading() != nil })
	b.store.HoldBack(2)
	for n.Submit(submission("j-1", wire.Array)).Status == 503 {
		time.Sleep(time.Millisecond)
	}
	wait(t, "done", func() bool { return state(n, "j-1") == wire.JobDone })
	before, _ := b.store.Range(context.Background(), store.Routine, "job/", "", 100)
	b.store.Deliver()
	after, _ := b.store.Range(context.Background(), store.Routine, "job/", "", 100)
	for i := range before.Items {
		if before.Items[i].Version != after.Items[i].Version {
			t.Fatalf("%s was overwritten late", before.Items[i].Key)
		}
	}
}

func TestRentalIsRepeatedUnderItsNameByTheNextLeader(t *testing.T) {
	b := newBed(t)
	n, kill := b.node("n-0")
	n.Submit(submission("j-1", wire.Array))
	wait(t, "rented", func() bool { return len(b.cloud.Rented()) > 0 })
	kill()
	again, _ := b.node("n-1")
	wait(t, "another leads", func() bool { return again.leading() != nil })
	stop := make(chan struct{})
	defer close(stop)
	go b.work(again, stop)
	wait(t, "done", func() bool { return state(again, "j-1") == wire.JobDone })
	if got := len(b.cloud.Rented()); got > 1 {
		t.Fatalf("%d machines for a job that needs one", got)
	}
}

func TestCutsAreToldFromDeaths(t *testing.T) {
	l := &Lead{}
	for _, c := range []struct {
		missing, all int
		died         bool
	}{{1, 10, true}, {3, 10, true}, {5, 10, false}, {10, 10, false}, {1, 1, false}, {1, 2, true}} {
		if got := l.trust(c.missing, c.all); got != c.died {
			t.Errorf("%d of %d silent: taken for dead: %v", c.missing, c.all, got)
		}
	}
}

// By age, a machine of the operators' own once looked rented, and a rented one
// that was gone looked like their own.
func TestOwnMachinesAreThoseCreatedBeforeTheFirstRental(t *testing.T) {
	l := &Lead{}
	if !l.own(&model.Machine{Name: "i-000007"}) || l.own(&model.Machine{Name: "i-000007", RentalID: "r-1-1"}) {
		t.Error("before any rental is answered, what was not rented is their own")
	}
	l.first = "i-000024"
	for name, want := range map[string]bool{"i-000023": true, "i-000024": false, "i-000100": false, "i-1000000": false} {
		if l.own(&model.Machine{Name: name}) != want {
			t.Errorf("%s: own is %v", name, !want)
		}
	}
}

// A job of the most tasks has more records than a page holds, and they come
// before its description: read by one page, it would be called unknown.
func TestLargestJobIsKnownToANodeThatReadsTheStore(t *testing.T) {
	b := newBed(t)
	n, _ := b.node("n-0")
	wait(t, "leading", func() bool { return n.leading() != nil })
	var then []wire.Change
	for i := range 1563 {
		then = append(then, wire.Change{Put: runKey("j-1", i), Value: model.ChunkRecord{Done: [][2]int{{i * 64, i*64 + 1}}}})
	}
	then = append(then, wire.Change{Put: specKey("j-1"), Value: wire.Job{ID: "j-1", Team: "team", Tasks: 100_000, CPUs: 1}})
	if _, err := b.store.Commit(context.Background(), store.Routine, wire.Txn{Then: then}); err != nil {
		t.Fatal(err)
	}
	r, err := n.read("j-1", store.Routine)
	if s, ok := r.Body.(wire.JobStatus); err != nil || !ok || s.Done != 2*1563 {
		t.Fatalf("%+v, %v", r, err)
	}
}

// After an outage of the store, every machine has been unheard for long, since
// this node turned them away: that is no sign of death.
func TestSilenceCountsOnlyWhileThisNodeListens(t *testing.T) {
	b := newBed(t)
	n, _ := b.node("n-0")
	wait(t, "leading", func() bool { return n.leading() != nil })
	l := newLead(n, election.NewTerm(9, 1000*micro.Second))
	l.c.Began = 0
	m := l.c.Machine("i-1", 0)
	m.Heard = 100 * micro.Second
	l.lastTick = 100 * micro.Second
	l.lastScan, l.lastPlan, l.lastSpeed, l.tokenAt = 2000*micro.Second, 2000*micro.Second, 2000*micro.Second, 2000*micro.Second
	l.term.End()
	l.tick(101 * micro.Second)
	l.term = election.NewTerm(9, 1000*micro.Second)
	l.tick(120 * micro.Second)
	if q := l.quiet(m, 122*micro.Second); q != 2*micro.Second {
		t.Errorf("silent for %v s after 2 s of listening", q.Seconds())
	}
	l.tick(123 * micro.Second) // the process got no time for 3 s
	if q := l.quiet(m, 124*micro.Second); q != micro.Second {
		t.Errorf("silent for %v s", q.Seconds())
	}
}
