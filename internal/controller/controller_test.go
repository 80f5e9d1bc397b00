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
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/dispatch"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// fakeAgents delivers dispatched commands to fake agents, by machine name.
type fakeAgents struct {
	mu        sync.Mutex
	byMachine map[string]*fake.Agent
}

func (h *fakeAgents) Send(addr string, commands wire.Commands) (*wire.Heartbeat, bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, fakeAgent := range h.byMachine {
		if name+":9000" == addr {
			r, ok := fakeAgent.HandleDispatch(commands)
			return r, ok, nil
		}
	}
	return nil, false, agent.ErrUncertain
}

// testCluster is a store, a cloud and agents that are shared by the controllers of a test, in real time.
type testCluster struct {
	t      *testing.T
	store  *fake.Store
	cloud  *fake.Cloud
	agents *fakeAgents
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{
		t:      t,
		store:  fake.NewStore(),
		agents: &fakeAgents{byMachine: map[string]*fake.Agent{}},
		cloud: fake.NewCloud(
			2,
			wire.MachineType{
				Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 1, FetchGBPerS: 1, Zones: []string{"a"},
			},
		),
	}
}

// startNode starts a controller; the returned function ends its process.
func (b *testCluster) startNode(name string) (*Node, func()) {
	return b.startNodeWith(name, func(*Node) {})
}

// startNodeWith is startNode with set applied before the controller starts.
func (b *testCluster) startNodeWith(name string, set func(*Node)) (*Node, func()) {
	cfg := &config.Config{Properties: config.Defaults()}
	cfg.Node = name
	cfg.LeaderLease, cfg.LeaderRenewInterval = 600*micro.Millisecond, 100*micro.Millisecond
	cfg.Facts.Workers.LeaseS, cfg.Facts.Workers.HeartbeatIntervalS, cfg.Facts.State.ValueKB, cfg.Facts.State.TxnOps = 30, 3, 16, 24
	cfg.Facts.Workers.CancelS = 50
	cfg.Facts.Teams = []config.Team{{Name: "team", CPUsMax: 16}}
	// The short objective makes the autoscaler request machines at once instead of waiting for released capacity.
	cfg.Facts.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: 30}}
	node := NewWith(Dependencies{
		Cfg: cfg, Store: b.store, Cloud: b.cloud, Agent: b.agents, Peers: peer.NewClient(nil),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.New(), Now: micro.Now, Wall: micro.WallNow,
	})
	set(node)
	rebuildParts(node)
	cat, _ := b.cloud.Catalog(context.Background())
	node.catalog.Store(cat)
	ctx, cancel := context.WithCancel(context.Background())
	node.election.OnStartedLeading = func(t *election.Term) { node.startLeader(ctx, t) }
	node.election.OnStoppedLeading = node.stopLeader
	go func() { _ = node.election.Run(ctx) }()
	b.t.Cleanup(cancel)
	return node, cancel
}

// replaceStore replaces the store client of a running controller.
func replaceStore(node *Node, to store.Store) {
	node.Store = to
	rebuildParts(node)
}

// rebuildParts reconstructs the components that receive their dependencies at construction, so that they
// use the dependencies that the test has set. An open format gate stays open.
func rebuildParts(node *Node) {
	open := node.formatGate.FormatOpen()
	node.formatGate = newFormatGate(node)
	if open {
		node.formatGate.MarkOpen()
	}
	node.initJobAPI()
}

// servePeer serves the peer calls of a controller on a loopback address and returns the address.
func (b *testCluster) servePeer(n *Node) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.t.Cleanup(cancel)
	go func() { _ = peer.Serve(ctx, ln, n.handlePeerCall, n.Metrics.Write) }()
	return ln.Addr().String()
}

// unansweredCommitStore is a store whose transactions stay without a response until the context of the caller ends.
type unansweredCommitStore struct{ store.Store }

func (unansweredCommitStore) Commit(ctx context.Context, _ store.Class, _ wire.Transaction) (uint64, error) {
	<-ctx.Done()
	return 0, store.ErrUncertain
}

// waitUntil polls a condition. The limit of 60 s only bounds a hang.
func waitUntil(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not reached: " + condition)
		}
	}
}

// submission returns the body of a submission of a job with two tasks of one CPU each.
func submission(id string, kind wire.JobKind) []byte {
	return wire.MustMarshal(map[string]any{
		"nameId": id, "jobclass": "c", "outfit": "team", "shape": string(kind), "rank": "standard",
		"pieces": 2, "vcpus": 1, "gpus": 0, "ramGb": 1, "bundle": "i", "pullGb": 1, "oneZone": false,
		"scatter": false, "loaners": false, "guessS": 10, "bookmarkS": 0, "stashS": 0,
	})
}

// runAgents sends the heartbeats of all provisioned machines to a controller until stopped. Running tasks
// complete at once, except those of j-9.
func (b *testCluster) runAgents(node *Node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, m := range b.cloud.Instances() {
			b.agents.mu.Lock()
			fakeAgent := b.agents.byMachine[m.Name]
			if fakeAgent == nil {
				fakeAgent = fake.NewAgent(m.Name, m.Type, m.Zone, 30*micro.Second)
				b.agents.byMachine[m.Name] = fakeAgent
			}
			for key, task := range fakeAgent.Tasks {
				if task.State == wire.TaskRunning && key.Task != "j-9/0" && key.Task != "j-9/1" {
					fakeAgent.ExitTask(key.Task, key.Attempt, wire.CauseDone)
				}
			}
			body := wire.MustMarshal(fakeAgent.Heartbeat())
			b.agents.mu.Unlock()
			reply := node.Heartbeat(body)
			if commands, ok := reply.Body.(wire.Commands); ok && reply.Status == 200 {
				b.agents.mu.Lock()
				fakeAgent.HandleResponse(commands, micro.Now())
				b.agents.mu.Unlock()
			}
		}
	}
}

// jobState returns the state of a job as the controller reports it, "" without a status.
func jobState(n *Node, id string) wire.JobState {
	if s, ok := n.Status(id).Body.(wire.JobStatus); ok {
		return s.State
	}
	return ""
}

func TestCompletedJobIsKnownAfterAllControllersWereReplaced(t *testing.T) {
	env := newTestCluster(t)
	node, kill := env.startNode("n-0")
	if reply := node.Submit(submission("j-1", wire.JobArray)); reply.Status != 201 {
		t.Fatalf("submission got %+v", reply)
	}
	stop := make(chan struct{})
	go env.runAgents(node, stop)
	waitUntil(t, "done", func() bool { return jobState(node, "j-1") == wire.JobDone })
	close(stop)
	kill()
	restarted, _ := env.startNode("n-0")
	waitUntil(t, "final state read from the store", func() bool { return jobState(restarted, "j-1") == wire.JobDone })
	if reply := restarted.Submit(submission("j-1", wire.JobArray)); reply.Status != 200 ||
		reply.Body.(wire.JobStatus).State != wire.JobDone {
		t.Fatalf("repeated submission of a completed job got %+v", reply)
	}
	if reply := restarted.Cancel("j-1"); reply.Status != 200 || reply.Body.(wire.JobStatus).State != wire.JobDone {
		t.Fatalf("cancellation of a completed job got %+v", reply)
	}
	if reply := restarted.Status("j-404"); reply.Status != 404 {
		t.Fatalf("status of an unknown job: %+v", reply)
	}
}

func TestCancelledServiceStaysCancelledUnderTheNextLeader(t *testing.T) {
	env := newTestCluster(t)
	node, kill := env.startNode("n-0")
	node.Submit(submission("j-9", wire.Service))
	stop := make(chan struct{})
	go env.runAgents(node, stop)
	waitUntil(t, "running", func() bool { return jobState(node, "j-9") == wire.JobRunning })
	waitUntil(t, "cancelled", func() bool { return node.Cancel("j-9").Status == 200 })
	waitUntil(t, "all tasks exited", func() bool {
		env.agents.mu.Lock()
		defer env.agents.mu.Unlock()
		for _, fakeAgent := range env.agents.byMachine {
			for _, task := range fakeAgent.Tasks {
				if task.State != wire.TaskExited {
					return false
				}
			}
		}
		return true
	})
	close(stop)
	kill()
	restarted, _ := env.startNode("n-1")
	waitUntil(t, "the next leader is active", func() bool { return restarted.activeLeader() != nil })
	if got := jobState(restarted, "j-9"); got != wire.JobAborted {
		t.Fatalf("state %q under the next leader, want the aborted state", got)
	}
}

func TestUncertainSubmissionReturnsARetryableStatusAndItsRetryIsRecognized(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNode("n-0")
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
	env.store.LoseAnswers(1) // the response to the next commit
	reply := node.Submit(submission("j-1", wire.JobArray))
	for reply.Status == 201 { // the lost response was that of a commit of the leader itself
		env.store.LoseAnswers(1)
		reply = node.Submit(submission("j-1", wire.JobArray))
	}
	if reply.Status != 503 && reply.Status != 200 || reply.Status == 503 && reply.RetryAfter == 0 {
		t.Fatalf("uncertain submission got %+v", reply)
	}
	if reply := node.Submit(submission("j-1", wire.JobArray)); reply.Status != 200 {
		t.Fatalf("the retry got %+v", reply)
	}
}

func TestInvalidAndInfeasibleSubmissions(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNode("n-0")
	change := func(k string, value any) []byte {
		var fields map[string]any
		if err := wire.Unmarshal(submission("j-1", wire.Gang), &fields); err != nil {
			t.Fatal(err)
		}
		fields[k] = value
		return wire.MustMarshal(fields)
	}
	for _, test := range []struct {
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
		if reply := node.Submit(test.body); reply.Status != test.want {
			t.Errorf("status %d, want %d: %+v", reply.Status, test.want, reply.Body)
		}
	}
	node.catalog.Store(nil)
	if reply := node.Submit(change("pieces", 1)); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Errorf("submission without a catalog got %+v", reply)
	}
}

func TestLeaderStopsServingInAnOutageLongerThanItsLeaseAndResumes(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNode("n-0")
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
	leader := node.activeLeader()
	env.store.SetOutage(true)
	waitUntil(t, "no longer leading", func() bool { return node.activeLeader() == nil })
	if reply := node.Heartbeat(
		wire.MustMarshal(wire.Heartbeat{Machine: "i-1", Addr: "x:1", AgentEpoch: 1, Sequence: 1}),
	); reply.Status != 503 {
		t.Fatalf("heartbeat during the outage got %+v", reply)
	}
	if reply := node.Status("j-1"); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Fatalf("status query during the outage got %+v", reply)
	}
	env.store.SetOutage(false)
	waitUntil(t, "leading again", func() bool { return node.activeLeader() != nil })
	if again := node.activeLeader(); again != nil && again != leader {
		t.Fatal("the term changed although the lease was renewed to its full duration")
	}
}

func TestOnlyOneControllerLeadsAndAWriteOfThePreviousTermFailsItsPrecondition(t *testing.T) {
	env := newTestCluster(t)
	n0, kill := env.startNode("n-0")
	waitUntil(t, "leading", func() bool { return n0.activeLeader() != nil })
	n1, _ := env.startNode("n-1")
	waitUntil(t, "n-0 known as leader", func() bool { return n1.election.Leader() == "n-0" })
	if n1.activeLeader() != nil {
		t.Fatal("two controllers lead")
	}
	old := n0.activeLeader().term
	env.store.HoldCommits(1)
	_, err := env.store.Commit(
		context.Background(), store.Urgent,
		wire.Transaction{If: []wire.Precondition{old.Precondition()}, Then: []wire.Change{{Put: "job/j-1/end", Value: "x"}}},
	)
	if err == nil {
		t.Fatal("the commit was executed, want it held back")
	}
	kill()
	waitUntil(t, "n-1 leads", func() bool { return n1.activeLeader() != nil })
	if env.store.DeliverHeld() != 0 {
		t.Fatal("a write of the previous term took effect in the new one")
	}
	reply := n1.Heartbeat(wire.MustMarshal(wire.Heartbeat{Machine: "i-1", Addr: "x:1", AgentEpoch: 1, Sequence: 1}))
	if commands, ok := reply.Body.(wire.Commands); !ok ||
		uint64(commands.FencingToken) <= dispatch.FirstFencingToken(old.FencingRevision) {
		t.Fatalf("no commands with a higher fencing token in the new term: %+v", reply)
	}
}

// The network delays commits and delivers them after newer writes to the same keys: the late writes must
// change nothing.
func TestLateDuplicateOfAWriteFailsItsRevisionPrecondition(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNode("n-0")
	stop := make(chan struct{})
	defer close(stop)
	go env.runAgents(node, stop)
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
	env.store.HoldCommits(2)
	for node.Submit(submission("j-1", wire.JobArray)).Status == 503 {
		time.Sleep(time.Millisecond)
	}
	waitUntil(t, "done", func() bool { return jobState(node, "j-1") == wire.JobDone })
	before, _ := env.store.Range(context.Background(), store.Routine, "job/", "", 100)
	env.store.DeliverHeld()
	after, _ := env.store.Range(context.Background(), store.Routine, "job/", "", 100)
	for i := range before.Items {
		if before.Items[i].Version != after.Items[i].Version {
			t.Fatalf("%s was overwritten by a late write", before.Items[i].Key)
		}
	}
}

func TestInstanceRequestIsRepeatedIdempotentlyByTheNextLeader(t *testing.T) {
	env := newTestCluster(t)
	node, kill := env.startNode("n-0")
	node.Submit(submission("j-1", wire.JobArray))
	waitUntil(t, "machine provisioned", func() bool { return len(env.cloud.Instances()) > 0 })
	kill()
	restarted, _ := env.startNode("n-1")
	waitUntil(t, "the next leader is active", func() bool { return restarted.activeLeader() != nil })
	stop := make(chan struct{})
	defer close(stop)
	go env.runAgents(restarted, stop)
	waitUntil(t, "done", func() bool { return jobState(restarted, "j-1") == wire.JobDone })
	if got := len(env.cloud.Instances()); got > 1 {
		t.Fatalf("%d machines provisioned for a job that needs one", got)
	}
}

// A job with the maximum number of tasks (100,000) has more records than one page of the store holds, and
// they precede its description: a status query that reads one page only would report the job as unknown.
func TestLargestJobIsFoundByReadingTheStore(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNode("n-0")
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
	var then []wire.Change
	for i := range 1563 {
		then = append(
			then, wire.Change{Put: keys.LegacyChunk("j-1", i), Value: cluster.ChunkRecord{Done: [][2]int{{i * 64, i*64 + 1}}}},
		)
	}
	then = append(
		then, wire.Change{Put: keys.JobSpec("j-1"), Value: wire.Job{ID: "j-1", Team: "team", Tasks: 100_000, CPUs: 1}},
	)
	if _, err := env.store.Commit(context.Background(), store.Routine, wire.Transaction{Then: then}); err != nil {
		t.Fatal(err)
	}
	reply, err := node.jobs.ReadStatus("j-1", store.Routine)
	if status, ok := reply.Body.(wire.JobStatus); err != nil || !ok || status.Done != 2*1563 {
		t.Fatalf("status does not count all done tasks: %+v, error %v", reply, err)
	}
}

// During an outage of the store a leader without a lease refuses heartbeats, so afterwards the last heartbeat
// of every machine is old. That time must not count as missing heartbeats, or live machines would be declared
// dead.
func TestHeartbeatGapCountsOnlyWhileThisNodeReceivesHeartbeats(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNode("n-0")
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
	leader := newLeader(node, election.NewTerm(9, 1000*micro.Second))
	leader.cluster.TermStartedAt = 0
	machine := leader.cluster.EnsureMachine("i-1", 0)
	machine.LastHeartbeat = 100 * micro.Second
	leader.detector.ObserveLease(true, 100*micro.Second)
	leader.lastSweep, leader.lastSpeedWrite = 2000*micro.Second, 2000*micro.Second
	leader.term.End()
	leader.tick(101 * micro.Second)
	leader.term = election.NewTerm(9, 1000*micro.Second)
	leader.tick(120 * micro.Second)
	if q := leader.detector.SinceHeartbeat(machine, 122*micro.Second); q != 2*micro.Second {
		t.Errorf("no heartbeat for %v s, want 2 s: heartbeats were received again for 2 s", q.Seconds())
	}
	leader.tick(123 * micro.Second) // process pause of 3 s
	if q := leader.detector.SinceHeartbeat(machine, 124*micro.Second); q != micro.Second {
		t.Errorf("no heartbeat for %v s, want 1 s after a process pause of 3 s", q.Seconds())
	}
}
