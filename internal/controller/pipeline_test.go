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

// dependentSubmission is a submission that awaits others.
func dependentSubmission(id string, needs ...string) []byte {
	var m map[string]any
	if err := wire.Unmarshal(submission(id, wire.JobArray), &m); err != nil {
		panic(err)
	}
	m["awaits"] = needs
	return wire.MustMarshal(m)
}

// startLeaderWithFormatGateOpen is a leading node with the gate open.
func (b *testCluster) startLeaderWithFormatGateOpen(name string, set func(*Node)) (*Node, func()) {
	n, kill := b.startNodeWith(name, set)
	waitUntil(b.t, "leading", func() bool { return n.activeLeader() != nil })
	waitUntil(b.t, "open", func() bool { n.formatGate.Check(context.Background()); return n.formatGate.FormatOpen() })
	return n, kill
}

func TestPipelineRunsStageByStage(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startLeaderWithFormatGateOpen("n-0", func(*Node) {})
	for _, s := range [][]byte{submission("j-1", wire.JobArray), dependentSubmission("j-2", "j-1", "j-1"), dependentSubmission("j-3", "j-1", "j-2"), dependentSubmission("j-4")} {
		if reply := node.Submit(s); reply.Status != 201 {
			t.Fatalf("%+v", reply)
		}
	}
	if got := jobState(node, "j-3"); got != wire.JobPending {
		t.Fatalf("it is %q", got)
	}
	stop := make(chan struct{})
	defer close(stop)
	go env.runAgents(node, stop)
	for _, id := range []string{"j-1", "j-2", "j-3", "j-4"} {
		waitUntil(t, id+" done", func() bool { return jobState(node, id) == wire.JobDone })
	}
	env.agents.mu.Lock()
	defer env.agents.mu.Unlock()
	at := map[string]int{}
	for _, fakeAgent := range env.agents.byMachine {
		for i, task := range fakeAgent.StartedTasks {
			at[task] = i
		}
	}
	if len(env.agents.byMachine) == 1 && (at["j-2/0"] < at["j-1/1"] || at["j-3/0"] < at["j-2/1"]) {
		t.Fatalf("started in the order %v", at)
	}
}

func TestDependenciesMustHaveBeenAccepted(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startLeaderWithFormatGateOpen("n-0", func(*Node) {})
	node.Submit(submission("j-1", wire.JobArray))
	if reply := node.Submit(dependentSubmission("j-2", "j-1")); reply.Status != 201 {
		t.Fatalf("%+v", reply)
	}
	for _, test := range []struct {
		needs []string
		want  int
	}{{[]string{"j-404"}, 422}, {[]string{"j-1", "j-404"}, 422}, {[]string{"j-3"}, 422}, {[]string{"x"}, 400}} {
		if reply := node.Submit(dependentSubmission("j-3", test.needs...)); reply.Status != test.want {
			t.Errorf("awaits %v: %+v", test.needs, reply)
		}
	}
	// A repeat of what was accepted is known, whatever it carries now.
	if reply := node.Submit(dependentSubmission("j-2", "j-404")); reply.Status != 200 {
		t.Errorf("a repeat got %+v", reply)
	}
	// Another node, which the store refuses, knows nothing of j-1.
	isolated, _ := env.startNodeWith("n-1", func(node *Node) { node.formatGate.MarkOpen() })
	env.store.SetOutage(true)
	if reply := isolated.Submit(dependentSubmission("j-5", "j-1")); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Errorf("without the store: %+v", reply)
	}
	if reply := isolated.Submit(dependentSubmission("j-5", "j-404")); reply.Status != 503 {
		t.Errorf("without the store nothing is refused for good: %+v", reply)
	}
	env.store.SetOutage(false)
	replaceStore(isolated, refusingStore{isolated.Store})
	isolated.Cfg.Peers = []config.Peer{{Node: "n-0"}}
	isolated.Peers = peer.NewClient(map[string]string{"n-0": env.servePeer(node)})
	waitUntil(t, "known", func() bool { return isolated.election.Leader() == "n-0" })
	if reply := isolated.Submit(dependentSubmission("j-6", "j-1")); reply.Status != 201 {
		t.Errorf("a peer reaches the store: %+v", reply)
	}
	if reply := isolated.Submit(dependentSubmission("j-7", "j-404")); reply.Status != 422 {
		t.Errorf("a peer reaches the store: %+v", reply)
	}
}

// refusingStore is a store that refuses this node alone.
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

// A list of awaited jobs that is longer than a value: none of it may get lost, or
// the job would start too early.
func TestDependencyListLargerThanAValueIsRestoredInFull(t *testing.T) {
	env := newTestCluster(t)
	small := func(node *Node) {
		node.Cfg.Facts.State.Next.ValueKB, node.Cfg.Facts.State.Next.TxnOps = 2, 4
	}
	node, kill := env.startLeaderWithFormatGateOpen("n-0", small)
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
		t.Fatalf("%+v", reply)
	}
	if env.store.MalformedCount > 0 {
		t.Fatalf("%d requests over the limits", env.store.MalformedCount)
	}
	kill()
	restarted, _ := env.startLeaderWithFormatGateOpen("n-1", small)
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
	waitUntil(t, "taken over", func() bool { return unmet() >= 0 })
	if got := unmet(); got != 700 {
		t.Fatalf("it waits for %d of 700", got)
	}
}

// The leader ends after the cancellation is stored and before what needs the job is:
// the next one finishes it, at few changes a transaction; a node that reads the
// store says the same meanwhile.
func TestCancellationCascadesToDependentsAcrossFailover(t *testing.T) {
	env := newTestCluster(t)
	narrow := func(node *Node) { node.Cfg.Facts.State.Next.TxnOps = 4 }
	node, kill := env.startLeaderWithFormatGateOpen("n-0", narrow)
	node.Submit(submission("j-0", wire.Service))
	for i := 1; i <= 30; i++ {
		if reply := node.Submit(dependentSubmission(fmt.Sprint("j-", i), fmt.Sprint("j-", i-1))); reply.Status != 201 {
			t.Fatalf("%+v", reply)
		}
	}
	node.Submit(submission("j-100", wire.Service))
	kill()
	waitUntil(t, "its lease over", func() bool {
		_, err := env.store.Get(context.Background(), store.Routine, election.LeaderKey)
		return err != nil
	})
	// Stored by the old leader as its last deed.
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
		t.Fatalf("without a leader it is %q", got)
	}
	if got := jobState(reader, "j-100"); got != wire.JobPending {
		t.Fatalf("nobody cancelled it: %q", got)
	}
	env.store.SetLimits(fake.Limits{TxnOps: 4})
	next, _ := env.startLeaderWithFormatGateOpen("n-2", narrow)
	for i := 1; i <= 30; i++ {
		waitUntil(t, "aborted", func() bool {
			_, err := env.store.Get(context.Background(), store.Routine, keys.JobEnd(fmt.Sprint("j-", i)))
			return err == nil
		})
		if got := jobState(next, fmt.Sprint("j-", i)); got != wire.JobAborted {
			t.Fatalf("j-%d is %q", i, got)
		}
	}
	if reply := next.Submit(dependentSubmission("j-31", "j-30")); reply.Status != 201 {
		t.Fatalf("it is accepted all the same: %+v", reply)
	}
	waitUntil(t, "aborted too", func() bool { return jobState(next, "j-31") == wire.JobAborted })
	if env.store.MalformedCount > 0 {
		t.Fatalf("%d transactions were over the limit", env.store.MalformedCount)
	}
}

func TestWaitingJobCanBeCancelled(t *testing.T) {
	env := newTestCluster(t)
	n, _ := env.startLeaderWithFormatGateOpen("n-0", func(*Node) {})
	n.Submit(submission("j-9", wire.Service))
	n.Submit(dependentSubmission("j-10", "j-9"))
	n.Submit(dependentSubmission("j-11", "j-10"))
	waitUntil(t, "withdrawn", func() bool { return n.Cancel("j-10").Status == 200 })
	waitUntil(t, "with what needs it", func() bool { return jobState(n, "j-11") == wire.JobAborted })
	if got := jobState(n, "j-9"); got == wire.JobAborted {
		t.Fatal("what it awaited is nobody's to cancel")
	}
}

// unansweredKeyStore is a store that carries out an end and gives no answer until its caller
// gives up.
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

// The end of a job is stored, and its writer does not know it yet. Another node
// has read it and told the user, who then asks the leader.
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
	waitUntil(t, "done to one that reads the store", func() bool { return jobState(reader, "j-1") == wire.JobDone })
	for range 50 {
		if got := jobState(node, "j-1"); got != wire.JobDone {
			t.Fatalf("the leader calls it %q", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// heldWriteStore is a store that holds the first write of a key up, and is over its limits
// for those that follow.
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

// The leader looked for an end whose write had no answer, and did not find it: the
// write was held up, and carried out after that look.
func TestLeaderReportsFinalStatusThatWasExecutedLate(t *testing.T) {
	env := newTestCluster(t)
	d := heldWriteStore{nil, keys.JobEnd("j-1"), &sync.Mutex{}, &[]wire.Transaction{}, new(int)}
	node, _ := env.startNodeWith("n-0", func(node *Node) {
		withLongLease(node)
		d.Store = node.Store
		node.Store = d
	})
	node.Submit(submission("j-1", wire.JobArray))
	reader, _ := env.startNodeWith("n-1", func(node *Node) { node.election.SuspendCampaign(10 * micro.Minute) })
	stop := make(chan struct{})
	defer close(stop)
	go env.runAgents(node, stop)
	waitUntil(
		t, "looked for, and tried again", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return *d.rejectedCommits > 0 },
	)
	if _, err := env.store.Commit(context.Background(), store.Urgent, (*d.heldTransactions)[0]); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "done to one that reads the store", func() bool { return jobState(reader, "j-1") == wire.JobDone })
	for range 50 {
		if got := jobState(node, "j-1"); got != wire.JobDone {
			t.Fatalf("the leader calls it %q", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// The same of a cancellation, and of what needs the cancelled job.
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
	waitUntil(t, "aborted to one that reads the store", func() bool { return jobState(reader, "j-3") == wire.JobAborted })
	for range 50 {
		if got := jobState(node, "j-3"); got != wire.JobAborted {
			t.Fatalf("the leader calls it %q", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// An old leader's last copy of a cancellation, and its last task's completion, race:
// whichever end is created first is the only one, for what awaits the job too.
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
	waitUntil(t, "done", func() bool { return jobState(next, "j-1") == wire.JobDone })
	env.store.DeliverHeld()
	waitUntil(t, "the next goes on", func() bool { return jobState(next, "j-2") == wire.JobDone })
	if got := jobState(next, "j-1"); got != wire.JobDone {
		t.Fatalf("%q", got)
	}
}
