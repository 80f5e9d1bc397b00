package controller

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// rejectedKeysStore is a store that rejects transactions that write one of some keys. The writer then sends each change
// in a transaction of its own, so that only the writes of these keys wait.
type rejectedKeysStore struct {
	store.Store
	keys []string
}

func (s rejectedKeysStore) Commit(ctx context.Context, c store.Class, t wire.Transaction) (uint64, error) {
	for _, change := range t.Then {
		if slices.Contains(s.keys, change.Put) {
			return 0, store.ErrMalformed
		}
	}
	return s.Store.Commit(ctx, c, t)
}

// cascadeCluster is a leader with a pipeline j-1 to j-5, each job of which depends on the one before, a node that knows
// the leader, and one that does not and answers from the store.
type cascadeCluster struct {
	*testCluster
	leader, follower, reader *Node
	killLeader               func()
}

const pipelineLength = 5

func newCascadeCluster(t *testing.T, leaderStore func(store.Store) store.Store) *cascadeCluster {
	t.Helper()
	env := &cascadeCluster{testCluster: newTestCluster(t)}
	neverLead := func(node *Node) { node.election.SuspendCampaign(10 * micro.Minute) }
	env.leader, env.killLeader = env.startLeaderWithFormatGateOpen("n-0", func(node *Node) {
		node.Store = leaderStore(node.Store)
	})
	leaderAddress := env.servePeer(env.leader)
	env.follower, _ = env.startNodeWith("n-1", func(node *Node) {
		neverLead(node)
		node.Cfg.Peers = []config.Peer{{Node: "n-0"}}
		node.Peers = peer.NewClient(map[string]string{"n-0": leaderAddress})
	})
	waitUntil(t, "the follower knows the leader", func() bool { return env.follower.election.Leader() == "n-0" })
	env.reader, _ = env.startNodeWith("n-2", neverLead)
	for i := 1; i <= pipelineLength; i++ {
		var dependencies []string
		if i > 1 {
			dependencies = []string{fmt.Sprint("j-", i-1)}
		}
		reply := env.leader.Submit(dependentSubmission(fmt.Sprint("j-", i), dependencies...))
		if reply.Status != 201 {
			t.Fatalf("submission: got %+v, want status 201", reply)
		}
	}
	return env
}

// beginCancel starts to cancel a job at the leader, and waits until the leader has begun.
func (c *cascadeCluster) beginCancel(id string) {
	c.t.Helper()
	leader := c.leader.activeLeader()
	go c.leader.Cancel(id)
	waitUntil(c.t, "the cancellation of "+id+" has begun", func() bool {
		began := make(chan bool, 1)
		leader.post(func() {
			job := leader.cluster.Jobs[id]
			began <- job != nil && job.State == cluster.Aborting
		})
		return <-began
	})
}

// expectAborted checks that no node replies to a status query, a repeated submission or a cancellation of a job that a
// user knows to be aborted with an older state. Status queries and repeated submissions are sent until they are answered.
func (c *cascadeCluster) expectAborted(id string, nodes map[string]*Node) {
	c.t.Helper()
	for name, node := range nodes {
		status := func() httpapi.Reply { return node.Status(id) }
		submission := func() httpapi.Reply { return node.Submit(dependentSubmission(id)) }
		waitUntil(c.t, name+" answers a status query", func() bool { return c.checkAborted(id, name, "status query", status()) })
		waitUntil(c.t, name+" answers a repeated submission", func() bool {
			return c.checkAborted(id, name, "repeated submission", submission())
		})
		c.checkAborted(id, name, "cancellation", node.Cancel(id))
	}
}

// checkAborted checks that the reply to a request reports the job as aborted or asks for a retry, and returns whether it
// reports a status.
func (c *cascadeCluster) checkAborted(id, node, request string, reply httpapi.Reply) bool {
	c.t.Helper()
	status, ok := reply.Body.(wire.JobStatus)
	if ok && status.State != wire.JobAborted || !ok && reply.Status != 503 && reply.Status != 429 {
		c.t.Errorf("%s: %s of aborted job %s: got %+v", node, request, id, reply)
	}
	return ok
}

// answeredState returns the state in the first reply that reports one.
func (c *cascadeCluster) answeredState(node *Node, id string) (state wire.JobState) {
	c.t.Helper()
	waitUntil(c.t, "a status query for "+id+" is answered", func() bool {
		state = jobState(node, id)
		return state != ""
	})
	return state
}

func (c *cascadeCluster) allNodes() map[string]*Node {
	return map[string]*Node{"leader": c.leader, "follower": c.follower, "node without the leader": c.reader}
}

// went_back: the user cancels all jobs of a pipeline. The first one is stored as aborted, and the writes of the others'
// final states wait. A node that reads the store reported the others as aborted, and then the leader, where their own
// cancellation had begun, as pending; so it did with the jobs behind those.
func TestLeaderReportsAbortedDependentsWhoseOwnCancellationHasBegun(t *testing.T) {
	for _, test := range []struct {
		name      string
		cancelled []string // their own cancellation begins before j-1 is stored as aborted
	}{
		{"none", nil},
		{"second job", []string{"j-2"}},
		{"third job", []string{"j-3"}},
		{"all jobs", []string{"j-5", "j-4", "j-3", "j-2"}},
		{"every other job", []string{"j-2", "j-4"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			waitingEnds := rejectedKeysStore{}
			for i := 2; i <= pipelineLength; i++ {
				waitingEnds.keys = append(waitingEnds.keys, keys.JobEnd(fmt.Sprint("j-", i)))
			}
			env := newCascadeCluster(t, func(backing store.Store) store.Store {
				waitingEnds.Store = backing
				return waitingEnds
			})
			for _, id := range test.cancelled {
				env.beginCancel(id)
			}
			waitUntil(t, "the first job is cancelled", func() bool { return env.leader.Cancel("j-1").Status == 200 })
			for i := 2; i <= pipelineLength; i++ {
				id := fmt.Sprint("j-", i)
				if got := env.answeredState(env.reader, id); got != wire.JobAborted {
					t.Fatalf("the node that reads the store reports %s as %q, want aborted", id, got)
				}
				env.expectAborted(id, env.allNodes())
			}
			env.killLeader()
			next, _ := env.startLeaderWithFormatGateOpen("n-3", func(*Node) {})
			for i := 2; i <= pipelineLength; i++ {
				env.expectAborted(fmt.Sprint("j-", i), map[string]*Node{
					"next leader": next, "node without the leader": env.reader,
				})
			}
		})
	}
}

// went_back: the first job is stored as aborted, but the leader has no response to that write, and the dependents' own
// cancellation has begun. The leader must not report them as pending from memory.
func TestLeaderReportsCancelledDependentsAbortedWhileTheFirstEndIsUncertain(t *testing.T) {
	t.Parallel()
	env := newCascadeCluster(t, func(backing store.Store) store.Store {
		ends := []string{keys.JobEnd("j-2"), keys.JobEnd("j-3")}
		return rejectedKeysStore{unansweredKeyStore{backing, keys.JobEnd("j-1")}, ends}
	})
	env.beginCancel("j-3")
	env.beginCancel("j-2")
	go env.leader.Cancel("j-1")
	for i := 2; i <= pipelineLength; i++ {
		id := fmt.Sprint("j-", i)
		waitUntil(t, "the node that reads the store reports "+id+" as aborted", func() bool {
			return jobState(env.reader, id) == wire.JobAborted
		})
		env.expectAborted(id, env.allNodes())
	}
}

// unreadableJobStore is a store that refuses to read one job.
type unreadableJobStore struct {
	store.Store
	job string
}

func (s unreadableJobStore) Range(
	ctx context.Context, class store.Class, prefix, after string, limit int,
) (wire.Page, error) {
	if prefix == keys.JobPrefixFor(s.job) {
		return wire.Page{}, store.ErrRefused
	}
	return s.Store.Range(ctx, class, prefix, after, limit)
}

// went_back: a job depends on one that the leader does not know, since it ended long ago and was dropped from memory.
// While the leader looked it up, a node that read the store reported the new job as aborted, the leader as pending.
func TestLeaderDoesNotReportADependentOfAnUnknownJobAsPending(t *testing.T) {
	t.Parallel()
	env := newCascadeCluster(t, func(backing store.Store) store.Store { return unreadableJobStore{backing, "j-90"} })
	_, err := env.store.Commit(context.Background(), store.Urgent, wire.Transaction{Then: []wire.Change{
		{Put: keys.JobEnd("j-90"), Value: cluster.FinalStatusRecord{State: wire.JobAborted}},
		{Put: keys.JobSpec("j-90"), Value: wire.Job{
			ID: "j-90", Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Low, CPUs: 1, MemoryGB: 1,
		}}, // not added to the leader's state, because it has no tasks
	}})
	if err != nil {
		t.Fatal(err)
	}
	leader := env.leader.activeLeader()
	for _, job := range []struct{ id, dependency string }{{"j-91", "j-90"}, {"j-92", "j-91"}} {
		if reply := env.leader.Submit(dependentSubmission(job.id, job.dependency)); reply.Status != 201 {
			t.Fatalf("submission of %s: got %+v, want status 201", job.id, reply)
		}
		waitUntil(t, "the leader knows "+job.id, func() bool { return leader.KnowsJob(job.id) })
		if got := env.answeredState(env.reader, job.id); got != wire.JobAborted {
			t.Fatalf("the node that reads the store reports %s as %q, want aborted", job.id, got)
		}
		for name, node := range map[string]*Node{"leader": env.leader, "follower": env.follower} {
			if got := jobState(node, job.id); got == wire.JobPending {
				t.Errorf("the %s reports %s as %q after another node reported it as aborted", name, job.id, got)
			}
		}
	}
}
