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

// withLongLease gives a node a leader lease that outlives the test: a node that leads then does not owe that to the
// expiry of another lease, and no term ends because the test process is paused.
func withLongLease(n *Node) {
	n.election.TTL, n.election.RenewInterval = 10*micro.Minute, 50*micro.Millisecond
}

// A leader that restarted a fraction of a second after it stopped waited until its own old lease had expired.
func TestLeaderRestartedBeforeItsLeaseEndedLeadsAgainAtOnce(t *testing.T) {
	env := newTestCluster(t)
	n, kill := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "node leads", func() bool { return n.activeLeader() != nil })
	old := n.activeLeader().term
	n.Submit(submission("j-1", wire.JobArray))
	kill()
	restarted, _ := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "restarted node leads", func() bool { return restarted.activeLeader() != nil })
	if term := restarted.activeLeader().term; term.FencingRevision <= old.FencingRevision {
		t.Fatalf("fencing revision of the new term is %d, want it above %d", term.FencingRevision, old.FencingRevision)
	}
	waitUntil(t, "job known to the restarted node", func() bool { return restarted.Status("j-1").Status == 200 })
}

// A node is restarted during an election: the campaign write of its stopped process takes effect after the new process
// has started.
func TestNodeRestartedDuringAnElectionRecoversFromItsOwnLateCampaign(t *testing.T) {
	env := newTestCluster(t)
	env.store.HoldCommits(1)
	_, kill := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "campaign write sent", func() bool { return env.store.HeldCommits() == 1 })
	kill()
	env.store.DeliverHeld()
	restarted, _ := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "restarted node leads", func() bool { return restarted.activeLeader() != nil })
	other, _ := env.startNodeWith("n-1", withLongLease)
	waitUntil(t, "leader known to the other node", func() bool { return other.election.Leader() == "n-0" })
	if other.activeLeader() != nil {
		t.Fatal("two nodes lead")
	}
}

// The store takes a second for the write of a submission, or never answers this node: the user waited although a peer
// could have stored the job at once.
func TestSubmissionIsHedgedToAPeerWhileTheStoreIsSlow(t *testing.T) {
	env := newTestCluster(t)
	leader, _ := env.startNodeWith("n-1", withLongLease)
	waitUntil(t, "node leads", func() bool { return leader.activeLeader() != nil })
	addr := env.servePeer(leader)
	isolated, _ := env.startNode("n-0")
	waitUntil(t, "leader known", func() bool { return isolated.election.Leader() == "n-1" })
	isolated.Peers = peer.NewClient(map[string]string{"n-1": addr})
	replaceStore(isolated, unansweredCommitStore{isolated.Store})
	submittedAt := time.Now()
	reply := isolated.Submit(submission("j-1", wire.JobArray))
	if reply.Status != 201 {
		t.Fatalf("submission got %+v after %v, want status 201", reply, time.Since(submittedAt))
	}
	if reply := leader.Status("j-1"); reply.Status != 200 {
		t.Fatalf("the peer does not know the job: %+v", reply)
	}
}

// After a failover, half of the machines got no tasks for 6 to 10 s: their agents had just sent a heartbeat, and
// showed only with the next one that they know the new leader's fencing token. An agent that answers an empty
// dispatch must make its machine usable without another heartbeat.
func TestMachineProvesItselfAliveByAnsweringAnEmptyDispatch(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "node leads", func() bool { return node.activeLeader() != nil })
	fakeAgent := fake.NewAgent("i-9", "small", "a", 30*micro.Second)
	env.agents.mu.Lock()
	env.agents.byMachine["i-9"] = fakeAgent
	heartbeat := fakeAgent.Heartbeat()
	env.agents.mu.Unlock()
	node.Heartbeat(wire.MustMarshal(heartbeat)) // the agent does not process the response
	usable := func() bool {
		up := make(chan bool, 1)
		leader := node.activeLeader()
		leader.post(func() { up <- leader.cluster.Machines["i-9"].State == cluster.Up })
		return <-up
	}
	waitUntil(t, "machine up without another heartbeat", usable)
	if len(fakeAgent.StartedTasks) != 0 {
		t.Fatal("the dispatch started a task, want an empty one")
	}
}

// endDuringReadStore is a store that calls endJob, which ends a job, after each read of task records.
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

// While the store was slow, a job was reported done and then pending, by a node that had looked for its final status
// before it read the task records. A final status that is stored while the task records are read must be returned.
func TestFinalStatusStoredDuringAReadIsReturned(t *testing.T) {
	env := newTestCluster(t)
	n, _ := env.startNodeWith("n-0", func(n *Node) { n.election.SuspendCampaign(10 * micro.Minute) })
	if r := n.Submit(submission("j-1", wire.JobArray)); r.Status != 201 {
		t.Fatalf("submission got %+v, want status 201", r)
	}
	replaceStore(n, endDuringReadStore{n.Store, func() {
		_, _ = env.store.Commit(context.Background(), store.Urgent, wire.Transaction{
			Then: []wire.Change{{Put: keys.JobEnd("j-1"), Value: cluster.FinalStatusRecord{State: wire.JobDone}}},
		})
	}})
	if got := jobState(n, "j-1"); got != wire.JobDone {
		t.Fatalf("job state is %q, want it done", got)
	}
}
