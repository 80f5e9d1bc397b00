package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// pipe is a submission that awaits others.
func pipe(id string, needs ...string) []byte {
	var m map[string]any
	if err := wire.Unmarshal(submission(id, wire.Array), &m); err != nil {
		panic(err)
	}
	m["awaits"] = needs
	return wire.MustMarshal(m)
}

// open is a leading node with the gate open.
func (b *bed) open(name string, set func(*Node)) (*Node, func()) {
	n, kill := b.nodeWith(name, set)
	wait(b.t, "leading", func() bool { return n.leading() != nil })
	wait(b.t, "open", func() bool { n.lookAtGate(context.Background()); return n.Opened() })
	return n, kill
}

func TestPipelineRunsStageByStage(t *testing.T) {
	b := newBed(t)
	n, _ := b.open("n-0", func(*Node) {})
	for _, s := range [][]byte{submission("j-1", wire.Array), pipe("j-2", "j-1", "j-1"), pipe("j-3", "j-1", "j-2"), pipe("j-4")} {
		if r := n.Submit(s); r.Status != 201 {
			t.Fatalf("%+v", r)
		}
	}
	if got := state(n, "j-3"); got != wire.JobPending {
		t.Fatalf("it is %q", got)
	}
	stop := make(chan struct{})
	defer close(stop)
	go b.work(n, stop)
	for _, id := range []string{"j-1", "j-2", "j-3", "j-4"} {
		wait(t, id+" done", func() bool { return state(n, id) == wire.JobDone })
	}
	b.hosts.mu.Lock()
	defer b.hosts.mu.Unlock()
	at := map[string]int{}
	for _, w := range b.hosts.w {
		for i, task := range w.Started {
			at[task] = i
		}
	}
	if len(b.hosts.w) == 1 && (at["j-2/0"] < at["j-1/1"] || at["j-3/0"] < at["j-2/1"]) {
		t.Fatalf("started in the order %v", at)
	}
}

func TestAwaitedJobsMustHaveBeenAccepted(t *testing.T) {
	b := newBed(t)
	n, _ := b.open("n-0", func(*Node) {})
	n.Submit(submission("j-1", wire.Array))
	if r := n.Submit(pipe("j-2", "j-1")); r.Status != 201 {
		t.Fatalf("%+v", r)
	}
	for _, c := range []struct {
		needs []string
		want  int
	}{{[]string{"j-404"}, 422}, {[]string{"j-1", "j-404"}, 422}, {[]string{"j-3"}, 422}, {[]string{"x"}, 400}} {
		if r := n.Submit(pipe("j-3", c.needs...)); r.Status != c.want {
			t.Errorf("awaits %v: %+v", c.needs, r)
		}
	}
	// A repeat of what was accepted is known, whatever it carries now.
	if r := n.Submit(pipe("j-2", "j-404")); r.Status != 200 {
		t.Errorf("a repeat got %+v", r)
	}
	// Another node, which the store refuses, knows nothing of j-1.
	away, _ := b.nodeWith("n-1", func(n *Node) { n.gate.Store(int32(Open)) })
	b.store.Outage(true)
	if r := away.Submit(pipe("j-5", "j-1")); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("without the store: %+v", r)
	}
	if r := away.Submit(pipe("j-5", "j-404")); r.Status != 503 {
		t.Errorf("without the store nothing is refused for good: %+v", r)
	}
	b.store.Outage(false)
	away.Store = blind{away.Store}
	away.Cfg.Peers = []config.Peer{{Node: "n-0"}}
	away.Peers = peer.NewClient(map[string]string{"n-0": b.servePeer(n)})
	wait(t, "known", func() bool { return away.election.Leader() == "n-0" })
	if r := away.Submit(pipe("j-6", "j-1")); r.Status != 201 {
		t.Errorf("a peer reaches the store: %+v", r)
	}
	if r := away.Submit(pipe("j-7", "j-404")); r.Status != 422 {
		t.Errorf("a peer reaches the store: %+v", r)
	}
}

// blind is a store that refuses this node alone.
type blind struct{ store.Store }

func (blind) Existing(context.Context, store.Class, []string) (map[string]bool, error) {
	return nil, store.ErrRefused
}
func (blind) Commit(context.Context, store.Class, wire.Txn) (uint64, error) {
	return 0, store.ErrRefused
}
func (blind) Range(context.Context, store.Class, string, string, int) (wire.Page, error) {
	return wire.Page{}, store.ErrRefused
}

// A list of awaited jobs that is longer than a value: none of it may get lost, or
// the job would start too early.
func TestLongListOfAwaitedJobsIsKeptAndReadWhole(t *testing.T) {
	b := newBed(t)
	small := func(n *Node) {
		n.Cfg.Facts.State.Next.ValueKB, n.Cfg.Facts.State.Next.TxnOps = 2, 4
	}
	n, kill := b.open("n-0", small)
	b.store.Limit(fake.Limits{ValueBytes: 2 << 10, TxnOps: 4})
	var ids []string
	var then []wire.Change
	for i := range 700 {
		id := fmt.Sprintf("j-%06d", 1000+i)
		ids = append(ids, id)
		then = append(then, wire.Change{Put: specKey(id), Value: wire.Job{ID: id, Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Low, Tasks: 1, CPUs: 1, MemoryGB: 1}})
	}
	for ; len(then) > 0; then = then[4:] {
		if _, err := b.store.Commit(context.Background(), store.Urgent, wire.Txn{Then: then[:4]}); err != nil {
			t.Fatal(err)
		}
	}
	if r := n.Submit(pipe("j-1", ids...)); r.Status != 201 {
		t.Fatalf("%+v", r)
	}
	if b.store.Bad > 0 {
		t.Fatalf("%d requests over the limits", b.store.Bad)
	}
	kill()
	again, _ := b.open("n-1", small)
	l := again.leading()
	unmet := func() int {
		got := make(chan int, 1)
		l.post(func() {
			if j := l.c.Jobs["j-1"]; j != nil {
				got <- j.Unmet
			} else {
				got <- -1
			}
		})
		return <-got
	}
	wait(t, "taken over", func() bool { return unmet() >= 0 })
	if got := unmet(); got != 700 {
		t.Fatalf("it waits for %d of 700", got)
	}
}

// The leader ends after the withdrawal is stored and before what needs the job is:
// the next one finishes it, at few changes a transaction; a node that reads the
// store says the same meanwhile.
func TestWithdrawalTakesAlongWhatNeedsTheJobAcrossAChangeOfLeader(t *testing.T) {
	b := newBed(t)
	narrow := func(n *Node) { n.Cfg.Facts.State.Next.TxnOps = 4 }
	n, kill := b.open("n-0", narrow)
	n.Submit(submission("j-0", wire.Service))
	for i := 1; i <= 30; i++ {
		if r := n.Submit(pipe(fmt.Sprint("j-", i), fmt.Sprint("j-", i-1))); r.Status != 201 {
			t.Fatalf("%+v", r)
		}
	}
	n.Submit(submission("j-100", wire.Service))
	kill()
	wait(t, "its lease over", func() bool {
		_, err := b.store.Get(context.Background(), store.Routine, election.Key)
		return err != nil
	})
	// Stored by the old leader as its last deed.
	if _, err := b.store.Commit(context.Background(), store.Urgent, wire.Txn{Then: []wire.Change{{Put: endKey("j-0"), Value: model.EndRecord{State: wire.JobAborted}}}}); err != nil {
		t.Fatal(err)
	}
	reader, _ := b.nodeWith("n-1", func(n *Node) { n.election.Pause(10 * micro.Minute) })
	if got := state(reader, "j-5"); got != wire.JobAborted {
		t.Fatalf("without a leader it is %q", got)
	}
	if got := state(reader, "j-100"); got != wire.JobPending {
		t.Fatalf("nobody cancelled it: %q", got)
	}
	b.store.Limit(fake.Limits{TxnOps: 4})
	next, _ := b.open("n-2", narrow)
	for i := 1; i <= 30; i++ {
		wait(t, "aborted", func() bool {
			_, err := b.store.Get(context.Background(), store.Routine, endKey(fmt.Sprint("j-", i)))
			return err == nil
		})
		if got := state(next, fmt.Sprint("j-", i)); got != wire.JobAborted {
			t.Fatalf("j-%d is %q", i, got)
		}
	}
	if r := next.Submit(pipe("j-31", "j-30")); r.Status != 201 {
		t.Fatalf("it is accepted all the same: %+v", r)
	}
	wait(t, "aborted too", func() bool { return state(next, "j-31") == wire.JobAborted })
	if b.store.Bad > 0 {
		t.Fatalf("%d transactions were over the limit", b.store.Bad)
	}
}

func TestWaitingJobCanBeWithdrawn(t *testing.T) {
	b := newBed(t)
	n, _ := b.open("n-0", func(*Node) {})
	n.Submit(submission("j-9", wire.Service))
	n.Submit(pipe("j-10", "j-9"))
	n.Submit(pipe("j-11", "j-10"))
	wait(t, "withdrawn", func() bool { return n.Withdraw("j-10").Status == 200 })
	wait(t, "with what needs it", func() bool { return state(n, "j-11") == wire.JobAborted })
	if got := state(n, "j-9"); got == wire.JobAborted {
		t.Fatal("what it awaited is nobody's to cancel")
	}
}

// tardy is a store that carries out an end and gives no answer until its caller
// gives up.
type tardy struct {
	store.Store
	key string
}

func (s tardy) Commit(ctx context.Context, c store.Class, t wire.Txn) (uint64, error) {
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
func TestLeaderDoesNotAnswerFromMemoryWhileAnEndIsOnItsWay(t *testing.T) {
	b := newBed(t)
	n, _ := b.nodeWith("n-0", func(n *Node) { n.Store = tardy{n.Store, endKey("j-1")} })
	n.Submit(submission("j-1", wire.Array))
	reader, _ := b.nodeWith("n-1", func(n *Node) { n.election.Pause(10 * micro.Minute) })
	stop := make(chan struct{})
	defer close(stop)
	go b.work(n, stop)
	wait(t, "done to one that reads the store", func() bool { return state(reader, "j-1") == wire.JobDone })
	for range 50 {
		if got := state(n, "j-1"); got != wire.JobDone {
			t.Fatalf("the leader calls it %q", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// delayed is a store that holds the first write of a key up, and is over its limits
// for those that follow.
type delayed struct {
	store.Store
	key  string
	mu   *sync.Mutex
	held *[]wire.Txn
	late *int
}

func (s delayed) Commit(ctx context.Context, c store.Class, t wire.Txn) (uint64, error) {
	for _, ch := range t.Then {
		if ch.Put == s.key {
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(*s.held) == 0 {
				*s.held = append(*s.held, t)
				return 0, store.ErrUncertain
			}
			*s.late++
			return 0, store.ErrBusy
		}
	}
	return s.Store.Commit(ctx, c, t)
}

// The leader looked for an end whose write had no answer, and did not find it: the
// write was held up, and carried out after that look.
func TestLeaderDoesNotAnswerFromMemoryOnceAnEndWasHeldUp(t *testing.T) {
	b := newBed(t)
	d := delayed{nil, endKey("j-1"), &sync.Mutex{}, &[]wire.Txn{}, new(int)}
	n, _ := b.nodeWith("n-0", func(n *Node) { d.Store = n.Store; n.Store = d })
	n.Submit(submission("j-1", wire.Array))
	reader, _ := b.nodeWith("n-1", func(n *Node) { n.election.Pause(10 * micro.Minute) })
	stop := make(chan struct{})
	defer close(stop)
	go b.work(n, stop)
	wait(t, "looked for, and tried again", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return *d.late > 0 })
	if _, err := b.store.Commit(context.Background(), store.Urgent, (*d.held)[0]); err != nil {
		t.Fatal(err)
	}
	wait(t, "done to one that reads the store", func() bool { return state(reader, "j-1") == wire.JobDone })
	for range 50 {
		if got := state(n, "j-1"); got != wire.JobDone {
			t.Fatalf("the leader calls it %q", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// The same of a withdrawal, and of what needs the withdrawn job.
func TestLeaderDoesNotCallPendingWhatFellWithAnEndOnItsWay(t *testing.T) {
	b := newBed(t)
	n, _ := b.open("n-0", func(n *Node) { n.Store = tardy{n.Store, endKey("j-1")} })
	n.Submit(submission("j-1", wire.Service))
	n.Submit(pipe("j-2", "j-1"))
	n.Submit(pipe("j-3", "j-2"))
	reader, _ := b.nodeWith("n-1", func(n *Node) { n.election.Pause(10 * micro.Minute) })
	go n.Withdraw("j-1")
	wait(t, "aborted to one that reads the store", func() bool { return state(reader, "j-3") == wire.JobAborted })
	for range 50 {
		if got := state(n, "j-3"); got != wire.JobAborted {
			t.Fatalf("the leader calls it %q", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// An old leader's last copy of a withdrawal, and its last task's completion, race:
// whichever end is created first is the only one, for what awaits the job too.
func TestLateCopyOfAnEndDecidesNothingTwice(t *testing.T) {
	b := newBed(t)
	n, kill := b.open("n-0", func(*Node) {})
	n.Submit(submission("j-1", wire.Array))
	n.Submit(pipe("j-2", "j-1"))
	guard := n.leading().term.Guard()
	kill()
	b.store.HoldBack(1)
	_, _ = b.store.Commit(context.Background(), store.Urgent, wire.Txn{If: []wire.Guard{guard, {Key: endKey("j-1")}},
		Then: []wire.Change{{Put: endKey("j-1"), Value: model.EndRecord{State: wire.JobAborted}}}})
	next, _ := b.open("n-1", func(*Node) {})
	stop := make(chan struct{})
	defer close(stop)
	go b.work(next, stop)
	wait(t, "done", func() bool { return state(next, "j-1") == wire.JobDone })
	b.store.Deliver()
	wait(t, "the next goes on", func() bool { return state(next, "j-2") == wire.JobDone })
	if got := state(next, "j-1"); got != wire.JobDone {
		t.Fatalf("%q", got)
	}
}
