package controller

import (
	"context"
	"strings"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// withLongLease makes a lease that outlives the test, so that whoever leads does not owe
// it to an expiry, and a term does not end where the test's process stands still.
func withLongLease(n *Node) {
	n.election.TTL, n.election.RenewInterval = 10*micro.Minute, 50*micro.Millisecond
}

// A leader was back a fraction of a second after its end, and waited for its own
// old lease.
func TestLeaderRestartedBeforeItsLeaseEndedLeadsAgainAtOnce(t *testing.T) {
	env := newTestCluster(t)
	n, kill := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "leading", func() bool { return n.activeLeader() != nil })
	old := n.activeLeader().term
	n.Submit(submission("j-1", wire.JobArray))
	kill()
	restarted, _ := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "leading again", func() bool { return restarted.activeLeader() != nil })
	if term := restarted.activeLeader().term; term.FencingRevision <= old.FencingRevision {
		t.Fatalf("the new term's tokens are no higher: %d, %d", term.FencingRevision, old.FencingRevision)
	}
	waitUntil(t, "its job", func() bool { return restarted.Status("j-1").Status == 200 })
}

// A node was restarted in mid-election: its own campaign, sent by the process
// that ended, took effect after the new one had begun.
func TestNodeRestartedDuringAnElectionRecoversFromItsOwnLateCampaign(t *testing.T) {
	env := newTestCluster(t)
	env.store.HoldCommits(1)
	_, kill := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "campaign on its way", func() bool { return env.store.HeldCommits() == 1 })
	kill()
	env.store.DeliverHeld()
	restarted, _ := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "leads", func() bool { return restarted.activeLeader() != nil })
	other, _ := env.startNodeWith("n-1", withLongLease)
	waitUntil(t, "known to the other", func() bool { return other.election.Leader() == "n-0" })
	if other.activeLeader() != nil {
		t.Fatal("two lead")
	}
}

// The store took a second over a submission, or never answered this node: a
// user waited for it though a peer could have stored the job at once.
func TestSubmissionIsHedgedToAPeerWhileTheStoreIsSlow(t *testing.T) {
	env := newTestCluster(t)
	leader, _ := env.startNodeWith("n-1", withLongLease)
	waitUntil(t, "leading", func() bool { return leader.activeLeader() != nil })
	addr := env.servePeer(leader)
	isolated, _ := env.startNode("n-0")
	waitUntil(t, "known", func() bool { return isolated.election.Leader() == "n-1" })
	isolated.Peers = peer.NewClient(map[string]string{"n-1": addr})
	replaceStore(isolated, unansweredCommitStore{isolated.Store})
	from := time.Now()
	reply := isolated.Submit(submission("j-1", wire.JobArray))
	if reply.Status != 201 {
		t.Fatalf("%+v after %v", reply, time.Since(from))
	}
	if reply := leader.Status("j-1"); reply.Status != 200 {
		t.Fatalf("the peer knows nothing of it: %+v", reply)
	}
}

// After a failover, half of the machines took no work for six to ten seconds:
// their agents had just reported of a new token, and did so again only with
// their next heartbeat.
func TestMachineProvesItselfAliveByAnsweringAnEmptyDispatch(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
	fakeAgent := fake.NewAgent("i-9", "small", "a", 30*micro.Second)
	env.agents.mu.Lock()
	env.agents.byMachine["i-9"] = fakeAgent
	heartbeat := fakeAgent.Heartbeat()
	env.agents.mu.Unlock()
	node.Heartbeat(wire.MustMarshal(heartbeat)) // its answer is of no effect yet
	usable := func() bool {
		up := make(chan bool, 1)
		leader := node.activeLeader()
		leader.post(func() { up <- leader.cluster.Machines["i-9"].State == cluster.Up })
		return <-up
	}
	waitUntil(t, "up without another report", usable)
	if len(fakeAgent.StartedTasks) != 0 {
		t.Fatal("the order was to be empty")
	}
}

// endDuringReadStore is a store that ends a job while the records of its tasks are being read.
type endDuringReadStore struct {
	store.Store
	endJob func()
}

func (s endDuringReadStore) Range(
	ctx context.Context, c store.Class, prefix, after string, limit int,
) (wire.Page, error) {
	p, err := s.Store.Range(ctx, c, prefix, after, limit)
	if strings.HasPrefix(prefix, "run/") {
		s.endJob()
	}
	return p, err
}

// While the store was slow, a job was called done, and then pending by a node
// that had looked for its end before it looked at its tasks.
func TestFinalStatusStoredDuringAReadIsReturned(t *testing.T) {
	env := newTestCluster(t)
	n, _ := env.startNodeWith("n-0", func(n *Node) { n.election.SuspendCampaign(10 * micro.Minute) })
	if r := n.Submit(submission("j-1", wire.JobArray)); r.Status != 201 {
		t.Fatalf("%+v", r)
	}
	replaceStore(n, endDuringReadStore{n.Store, func() {
		_, _ = env.store.Commit(context.Background(), store.Urgent, wire.Transaction{
			Then: []wire.Change{{Put: keys.JobEnd("j-1"), Value: cluster.FinalStatusRecord{State: wire.JobDone}}},
		})
	}})
	if got := jobState(n, "j-1"); got != wire.JobDone {
		t.Fatalf("it is %q", got)
	}
}
