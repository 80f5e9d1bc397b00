package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// dependentSubmission returns the submission of a job that depends on others.
func dependentSubmission(id string, dependencies ...string) []byte {
	var m map[string]any
	if err := wire.Unmarshal(submission(id, wire.JobArray), &m); err != nil {
		panic(err)
	}
	m["awaits"] = dependencies
	return wire.MustMarshal(m)
}

// startLeaderWithFormatGateOpen starts a node and waits until it leads and its format gate is open. The returned
// function kills the node.
func (b *testCluster) startLeaderWithFormatGateOpen(name string, set func(*Node)) (*Node, func()) {
	n, kill := b.startNodeWith(name, set)
	waitUntil(b.t, "the node leads", func() bool { return n.activeLeader() != nil })
	waitUntil(b.t, "the format gate is open", func() bool {
		n.formatGate.Check(context.Background())
		return n.formatGate.FormatOpen()
	})
	return n, kill
}

// A job starts only after the jobs that it depends on are done.
func TestPipelineRunsStageByStage(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startLeaderWithFormatGateOpen("n-0", func(*Node) {})
	for _, s := range [][]byte{submission("j-1", wire.JobArray), dependentSubmission("j-2", "j-1", "j-1"), dependentSubmission("j-3", "j-1", "j-2"), dependentSubmission("j-4")} {
		if reply := node.Submit(s); reply.Status != 201 {
			t.Fatalf("submission: got %+v, want status 201", reply)
		}
	}
	if got := jobState(node, "j-3"); got != wire.JobPending {
		t.Fatalf("a job with unfinished dependencies is %q, want pending", got)
	}
	stop := make(chan struct{})
	defer close(stop)
	go env.runAgents(node, stop)
	for _, id := range []string{"j-1", "j-2", "j-3", "j-4"} {
		waitUntil(t, id+" done", func() bool { return jobState(node, id) == wire.JobDone })
	}
	env.agents.mu.Lock()
	defer env.agents.mu.Unlock()
	startOrder := map[string]int{}
	for _, fakeAgent := range env.agents.byMachine {
		for i, task := range fakeAgent.StartedTasks {
			startOrder[task] = i
		}
	}
	if len(env.agents.byMachine) == 1 && (startOrder["j-2/0"] < startOrder["j-1/1"] ||
		startOrder["j-3/0"] < startOrder["j-2/1"]) {
		t.Fatalf("tasks started before their dependencies; start positions: %v", startOrder)
	}
}

// A submission that depends on jobs that were never accepted is rejected, at a node that the store refuses as well.
func TestDependenciesMustHaveBeenAccepted(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startLeaderWithFormatGateOpen("n-0", func(*Node) {})
	node.Submit(submission("j-1", wire.JobArray))
	if reply := node.Submit(dependentSubmission("j-2", "j-1")); reply.Status != 201 {
		t.Fatalf("submission: got %+v, want status 201", reply)
	}
	for _, test := range []struct {
		dependencies []string
		want         int
	}{{[]string{"j-404"}, 422}, {[]string{"j-1", "j-404"}, 422}, {[]string{"j-3"}, 422}, {[]string{"x"}, 400}} {
		if reply := node.Submit(dependentSubmission("j-3", test.dependencies...)); reply.Status != test.want {
			t.Errorf("dependencies %v: got unexpected reply %+v", test.dependencies, reply)
		}
	}
	// A repeated submission is recognized by its ID, even if its dependencies differ.
	if reply := node.Submit(dependentSubmission("j-2", "j-404")); reply.Status != 200 {
		t.Errorf("repeated submission: got %+v, want status 200", reply)
	}
	// Another node, without access to the store, does not know j-1.
	isolated, _ := env.startNodeWith("n-1", func(node *Node) { node.formatGate.MarkOpen() })
	env.store.SetOutage(true)
	if reply := isolated.Submit(dependentSubmission("j-5", "j-1")); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Errorf("accepted dependency during a store outage: got %+v, want status 503 with Retry-After", reply)
	}
	if reply := isolated.Submit(dependentSubmission("j-5", "j-404")); reply.Status != 503 {
		t.Errorf("unknown dependency during a store outage: got %+v, want status 503, not a permanent rejection", reply)
	}
	env.store.SetOutage(false)
	replaceStore(isolated, refusingStore{isolated.Store})
	isolated.Cfg.Peers = []config.Peer{{Node: "n-0"}}
	isolated.Peers = peer.NewClient(map[string]string{"n-0": env.servePeer(node)})
	waitUntil(t, "the leader is known", func() bool { return isolated.election.Leader() == "n-0" })
	if reply := isolated.Submit(dependentSubmission("j-6", "j-1")); reply.Status != 201 {
		t.Errorf("accepted dependency, store access through a peer: got %+v, want status 201", reply)
	}
	if reply := isolated.Submit(dependentSubmission("j-7", "j-404")); reply.Status != 422 {
		t.Errorf("unknown dependency, store access through a peer: got %+v, want status 422", reply)
	}
}

// refusingStore is a store that refuses the requests of the node that uses it.
type refusingStore struct{ store.Store }

func (refusingStore) ExistingKeys(context.Context, store.Class, []string) (map[string]bool, error) {
	return nil, store.ErrRefused
}

func (refusingStore) Commit(context.Context, store.Class, wire.Transaction) (uint64, error) {
	return 0, store.ErrRefused
}

func (refusingStore) Range(context.Context, store.Class, string, string, int) (wire.Page, error) {
	return wire.Page{}, store.ErrRefused
}

// A list of dependencies that exceeds the value limit is stored in chunks, and the next leader restores all of it. If
// any were lost, the job would start too early.
func TestDependencyListLargerThanAValueIsRestoredInFull(t *testing.T) {
	env := newTestCluster(t)
	lowLimits := func(node *Node) {
		node.Cfg.Facts.State.Next.ValueKB, node.Cfg.Facts.State.Next.TxnOps = 2, 4
	}
	node, kill := env.startLeaderWithFormatGateOpen("n-0", lowLimits)
	env.store.SetLimits(fake.Limits{ValueBytes: 2 << 10, TxnOps: 4})
	var ids []string
	var then []wire.Change
	for i := range 700 {
		id := fmt.Sprintf("j-%06d", 1000+i)
		ids = append(ids, id)
		then = append(
			then,
			wire.Change{
				Put: keys.JobSpec(id),
				Value: wire.Job{
					ID: id, Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Low, Tasks: 1, CPUs: 1, MemoryGB: 1,
				},
			},
		)
	}
	for ; len(then) > 0; then = then[4:] {
		if _, err := env.store.Commit(context.Background(), store.Urgent, wire.Transaction{Then: then[:4]}); err != nil {
			t.Fatal(err)
		}
	}
	if reply := node.Submit(dependentSubmission("j-1", ids...)); reply.Status != 201 {
		t.Fatalf("submission: got %+v, want status 201", reply)
	}
	if env.store.MalformedCount > 0 {
		t.Fatalf("%d requests exceeded the limits of the store", env.store.MalformedCount)
	}
	kill()
	restarted, _ := env.startLeaderWithFormatGateOpen("n-1", lowLimits)
	leader := restarted.activeLeader()
	unmet := func() int {
		got := make(chan int, 1)
		leader.post(func() {
			if job := leader.cluster.Jobs["j-1"]; job != nil {
				got <- job.UnmetDependencies
			} else {
				got <- -1
			}
		})
		return <-got
	}
	waitUntil(t, "the next leader has restored the job", func() bool { return unmet() >= 0 })
	if got := unmet(); got != 700 {
		t.Fatalf("the restored job has %d unmet dependencies, want 700", got)
	}
}

// The leader stops after a cancellation is stored and before the job's dependents are aborted. The next leader aborts
// them, with at most 4 changes a transaction; meanwhile a node that reads the store already reports them as aborted.
func TestCancellationCascadesToDependentsAcrossFailover(t *testing.T) {
	env := newTestCluster(t)
	smallTransactions := func(node *Node) { node.Cfg.Facts.State.Next.TxnOps = 4 }
	node, kill := env.startLeaderWithFormatGateOpen("n-0", smallTransactions)
	node.Submit(submission("j-0", wire.Service))
	for i := 1; i <= 30; i++ {
		if reply := node.Submit(dependentSubmission(fmt.Sprint("j-", i), fmt.Sprint("j-", i-1))); reply.Status != 201 {
			t.Fatalf("submission: got %+v, want status 201", reply)
		}
	}
	node.Submit(submission("j-100", wire.Service))
	kill()
	waitUntil(t, "the lease of the leader has expired", func() bool {
		_, err := env.store.Get(context.Background(), store.Routine, election.LeaderKey)
		return err != nil
	})
	// The final status as the previous leader stored it just before it stopped.
	if _, err := env.store.Commit(
		context.Background(),
		store.Urgent,
		wire.Transaction{
			Then: []wire.Change{{Put: keys.JobEnd("j-0"), Value: cluster.FinalStatusRecord{State: wire.JobAborted}}},
		},
	); err != nil {
		t.Fatal(err)
	}
	reader, _ := env.startNodeWith("n-1", func(node *Node) { node.election.SuspendCampaign(10 * micro.Minute) })
	if got := jobState(reader, "j-5"); got != wire.JobAborted {
		t.Fatalf("without a leader, a dependent of the aborted job is %q, want aborted", got)
	}
	if got := jobState(reader, "j-100"); got != wire.JobPending {
		t.Fatalf("an unrelated job is %q, want pending", got)
	}
	env.store.SetLimits(fake.Limits{TxnOps: 4})
	next, _ := env.startLeaderWithFormatGateOpen("n-2", smallTransactions)
	for i := 1; i <= 30; i++ {
		waitUntil(t, "the final status of each dependent is stored", func() bool {
			_, err := env.store.Get(context.Background(), store.Routine, keys.JobEnd(fmt.Sprint("j-", i)))
			return err == nil
		})
		if got := jobState(next, fmt.Sprint("j-", i)); got != wire.JobAborted {
			t.Fatalf("j-%d is %q, want aborted", i, got)
		}
	}
	if reply := next.Submit(dependentSubmission("j-31", "j-30")); reply.Status != 201 {
		t.Fatalf("submission that depends on an aborted job: got %+v, want status 201", reply)
	}
	waitUntil(t, "the new dependent is aborted", func() bool { return jobState(next, "j-31") == wire.JobAborted })
	if env.store.MalformedCount > 0 {
		t.Fatalf("%d transactions exceeded the limit of the store", env.store.MalformedCount)
	}
}

// Cancelling a job that waits for its dependencies aborts its dependents, but not its dependencies.
func TestWaitingJobCanBeCancelled(t *testing.T) {
	env := newTestCluster(t)
	n, _ := env.startLeaderWithFormatGateOpen("n-0", func(*Node) {})
	n.Submit(submission("j-9", wire.Service))
	n.Submit(dependentSubmission("j-10", "j-9"))
	n.Submit(dependentSubmission("j-11", "j-10"))
	waitUntil(t, "the job is cancelled", func() bool { return n.Cancel("j-10").Status == 200 })
	waitUntil(t, "its dependent is aborted", func() bool { return jobState(n, "j-11") == wire.JobAborted })
	if got := jobState(n, "j-9"); got == wire.JobAborted {
		t.Fatal("the cancellation of a job aborted its dependency")
	}
}

// unansweredKeyStore is a store that executes writes of key but does not answer them before the caller's context ends.
type unansweredKeyStore struct {
	store.Store
	key string
}

func (s unansweredKeyStore) Commit(ctx context.Context, c store.Class, t wire.Transaction) (uint64, error) {
	rev, err := s.Store.Commit(ctx, c, t)
	for _, ch := range t.Then {
		if ch.Put == s.key {
			<-ctx.Done()
			return 0, store.ErrUncertain
		}
	}
	return rev, err
}

// The final status of a job is stored, but the leader that wrote it has no response yet. Another node has already read
// the status and reported it to the user, so the leader must not report an earlier state from memory.
func TestLeaderReportsStoredFinalStatusWhileItsWriteIsUncertain(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNodeWith(
		"n-0", func(node *Node) { node.Store = unansweredKeyStore{node.Store, keys.JobEnd("j-1")} },
	)
	node.Submit(submission("j-1", wire.JobArray))
	reader, _ := env.startNodeWith("n-1", func(node *Node) { node.election.SuspendCampaign(10 * micro.Minute) })
	stop := make(chan struct{})
	defer close(stop)
	go env.runAgents(node, stop)
	waitUntil(t, "a node that reads the store reports the job as done", func() bool {
		return jobState(reader, "j-1") == wire.JobDone
	})
	for range 50 {
		if got := jobState(node, "j-1"); got != wire.JobDone {
			t.Fatalf("the leader reports %q, want done", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// heldWriteStore is a store that keeps the first write of key unexecuted in heldTransactions and reports it as
// uncertain. It rejects later writes of key as rate limited and counts them in rejectedCommits.
type heldWriteStore struct {
	store.Store
	key              string
	mu               *sync.Mutex
	heldTransactions *[]wire.Transaction
	rejectedCommits  *int
}

func (s heldWriteStore) Commit(ctx context.Context, c store.Class, t wire.Transaction) (uint64, error) {
	for _, ch := range t.Then {
		if ch.Put == s.key {
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(*s.heldTransactions) == 0 {
				*s.heldTransactions = append(*s.heldTransactions, t)
				return 0, store.ErrUncertain
			}
			*s.rejectedCommits++
			return 0, store.ErrRateLimited
		}
	}
	return s.Store.Commit(ctx, c, t)
}

// After an uncertain write of a final status, the leader reads the key and does not find it, as the write is executed
// only later. Once a node that reads the store reports the job as done, the leader must report it too.
func TestLeaderReportsFinalStatusThatWasExecutedLate(t *testing.T) {
	env := newTestCluster(t)
	held := heldWriteStore{nil, keys.JobEnd("j-1"), &sync.Mutex{}, &[]wire.Transaction{}, new(int)}
	node, _ := env.startNodeWith("n-0", func(node *Node) {
		withLongLease(node)
		held.Store = node.Store
		node.Store = held
	})
	node.Submit(submission("j-1", wire.JobArray))
	reader, _ := env.startNodeWith("n-1", func(node *Node) { node.election.SuspendCampaign(10 * micro.Minute) })
	stop := make(chan struct{})
	defer close(stop)
	go env.runAgents(node, stop)
	waitUntil(
		t, "the leader has retried the write", func() bool {
			held.mu.Lock()
			defer held.mu.Unlock()
			return *held.rejectedCommits > 0
		},
	)
	if _, err := env.store.Commit(context.Background(), store.Urgent, (*held.heldTransactions)[0]); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a node that reads the store reports the job as done", func() bool {
		return jobState(reader, "j-1") == wire.JobDone
	})
	for range 50 {
		if got := jobState(node, "j-1"); got != wire.JobDone {
			t.Fatalf("the leader reports %q, want done", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// While the write of a cancellation is uncertain, the leader reports the dependents of the cancelled job as aborted,
// not as pending, as a node that reads the store does.
func TestLeaderReportsDependentsAbortedWhileCancellationIsUncertain(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startLeaderWithFormatGateOpen(
		"n-0", func(node *Node) { node.Store = unansweredKeyStore{node.Store, keys.JobEnd("j-1")} },
	)
	node.Submit(submission("j-1", wire.Service))
	node.Submit(dependentSubmission("j-2", "j-1"))
	node.Submit(dependentSubmission("j-3", "j-2"))
	reader, _ := env.startNodeWith("n-1", func(node *Node) { node.election.SuspendCampaign(10 * micro.Minute) })
	go node.Cancel("j-1")
	waitUntil(t, "a node that reads the store reports the dependent as aborted", func() bool {
		return jobState(reader, "j-3") == wire.JobAborted
	})
	for range 50 {
		if got := jobState(node, "j-3"); got != wire.JobAborted {
			t.Fatalf("the leader reports %q, want aborted", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// A late duplicate of the previous leader's cancellation races with the completion of the job. Whichever final status
// is stored first stays the only one, for the job's dependents too.
func TestLateDuplicateFinalStatusIsIgnored(t *testing.T) {
	env := newTestCluster(t)
	node, kill := env.startLeaderWithFormatGateOpen("n-0", func(*Node) {})
	node.Submit(submission("j-1", wire.JobArray))
	node.Submit(dependentSubmission("j-2", "j-1"))
	guard := node.activeLeader().term.Precondition()
	kill()
	env.store.HoldCommits(1)
	_, _ = env.store.Commit(context.Background(), store.Urgent, wire.Transaction{
		If:   []wire.Precondition{guard, {Key: keys.JobEnd("j-1")}},
		Then: []wire.Change{{Put: keys.JobEnd("j-1"), Value: cluster.FinalStatusRecord{State: wire.JobAborted}}},
	})
	next, _ := env.startLeaderWithFormatGateOpen("n-1", func(*Node) {})
	stop := make(chan struct{})
	defer close(stop)
	go env.runAgents(next, stop)
	waitUntil(t, "the job is done", func() bool { return jobState(next, "j-1") == wire.JobDone })
	env.store.DeliverHeld()
	waitUntil(t, "its dependent is done", func() bool { return jobState(next, "j-2") == wire.JobDone })
	if got := jobState(next, "j-1"); got != wire.JobDone {
		t.Fatalf("the job is %q after the late duplicate, want done", got)
	}
}
