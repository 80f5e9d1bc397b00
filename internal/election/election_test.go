package election

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	ttl           = 10 * micro.Second
	renewInterval = 2 * micro.Second
)

// testCluster is a store and the nodes that elect a leader with it, in fake time.
type testCluster struct {
	t     *testing.T
	start time.Time
	store *fake.Store
}

// testNode is one controller process with its link to the store.
type testNode struct {
	*Election
	link         *fake.Link
	startedTerms []*Term
	endedTerms   []*Term
}

// inFakeTime runs a scenario in fake time, which advances only while all goroutines are blocked.
func inFakeTime(t *testing.T, scenario func(*testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{t: t, start: time.Now(), store: fake.NewStore()}
		cluster.store.Now = cluster.clock(0)
		scenario(cluster)
	})
}

// clock returns a monotonic clock that is slow by drift parts in 10,000.
func (c *testCluster) clock(drift int64) func() micro.Time {
	return func() micro.Time {
		passed := time.Since(c.start).Microseconds()
		return micro.Time(passed - passed*drift/10000)
	}
}

// startNode runs a node until the scenario ends. The options are applied before it starts.
func (c *testCluster) startNode(name string, drift int64, options ...func(*testNode)) *testNode {
	node := &testNode{link: fake.NewLink(c.store, rand.New(rand.NewPCG(1, 2)))}
	node.Election = &Election{
		Node: name, Nonce: "now", Store: node.link, TTL: ttl, RenewInterval: renewInterval,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: c.clock(drift),
		OnStartedLeading: func(t *Term) { node.startedTerms = append(node.startedTerms, t) },
		OnStoppedLeading: func(t *Term) { node.endedTerms = append(node.endedTerms, t) },
	}
	for _, option := range options {
		option(node)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	go func() { _ = node.Run(ctx) }()
	return node
}

// advance lets the given fake time pass.
func (c *testCluster) advance(span micro.Time) {
	time.Sleep(span.Duration())
	synctest.Wait()
}

// leaderKeyExists reports whether the store holds the leader's key.
func (c *testCluster) leaderKeyExists() bool {
	_, err := c.store.Get(context.Background(), store.Leadership, LeaderKey)
	return err == nil
}

func (n *testNode) isLeading() bool { return n.Term().HoldsLease(n.Now()) }

func TestOneNodeLeadsAndAllNodesKnowTheLeader(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		first := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		second := cluster.startNode("n-1", 0)
		cluster.advance(3 * ttl)
		if !first.isLeading() || second.isLeading() {
			t.Fatalf("first leads: %v, want true; second leads: %v, want false", first.isLeading(), second.isLeading())
		}
		if first.Leader() != "n-0" || second.Leader() != "n-0" {
			t.Errorf("leader known to the nodes: %q and %q, want n-0", first.Leader(), second.Leader())
		}
		if len(first.startedTerms) != 1 || len(first.endedTerms)+len(second.startedTerms) != 0 {
			t.Errorf("leadership changed without a failure")
		}
	})
}

// The leadership lease must end before the store's lease, also with a slow clock and with late answers to
// renewals: it counts from when the last renewal was sent.
func TestLeadershipEndsBeforeTheStoreLease(t *testing.T) {
	for _, c := range []struct {
		name  string
		slow  int64
		delay micro.Time
	}{{"slow clock", maxClockDrift - 1, 0}, {"late answers", 0, micro.Second}} {
		t.Run(c.name, func(t *testing.T) {
			inFakeTime(t, func(cluster *testCluster) { checkPartitionedLeader(t, cluster, c.slow, c.delay) })
		})
	}
}

// checkPartitionedLeader partitions a leader with the given clock drift and answer delay from the store.
// It checks that the leader stops leading before its lease ends and before another node leads.
func checkPartitionedLeader(t *testing.T, cluster *testCluster, slow int64, delay micro.Time) {
	t.Helper()
	old := cluster.startNode("n-0", slow)
	cluster.advance(micro.Second)
	next := cluster.startNode("n-1", 0)
	old.link.SetDelay(delay)
	cluster.advance(2 * ttl)
	if !old.isLeading() {
		t.Fatal("the first node does not lead")
	}
	old.link.SetReachability(fake.Partitioned)
	for end := cluster.store.Now() + 2*ttl; cluster.store.Now() < end; cluster.advance(micro.Millisecond) {
		if old.isLeading() && (next.isLeading() || !cluster.leaderKeyExists()) {
			t.Fatalf("still leads after its lease ended; the other node leads: %v", next.isLeading())
		}
	}
	if !next.isLeading() {
		t.Fatal("no other node became leader")
	}
	if revision := next.Term().FencingRevision; revision <= old.startedTerms[0].FencingRevision {
		t.Errorf("fencing revision of the new term is %d, not higher than the old one", revision)
	}
}

func TestLeadershipLapsesInStoreOutageAndResumesInSameTerm(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		node := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		term := node.Term()
		cluster.store.SetOutage(true)
		cluster.advance(2 * ttl)
		if node.isLeading() || term.HoldsLease(node.Now()) {
			t.Fatal("still leads though no renewal succeeded for two TTLs")
		}
		cluster.store.SetOutage(false)
		cluster.advance(micro.Second)
		if !node.isLeading() || node.Term() != term || len(node.endedTerms) != 0 {
			t.Errorf("leadership did not resume in the same term; %d terms ended", len(node.endedTerms))
		}
	})
}

// A renewal without an answer must time out and be retried before the lease expires.
func TestUnansweredRenewalIsRetriedBeforeLeaseExpires(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		node := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		term := node.Term()
		node.link.AnswerTimeout = micro.Minute
		node.link.SetReachability(fake.Partitioned)
		cluster.advance(ttl / 2)
		node.link.SetReachability(fake.Reachable)
		cluster.advance(ttl)
		if !node.isLeading() || node.Term() != term || len(node.endedTerms) != 0 {
			t.Errorf("the term did not continue; %d terms ended", len(node.endedTerms))
		}
	})
}

func TestTermEndsWhenItsLeaseIsRevoked(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		node := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		term := node.Term()
		node.SuspendCampaign(ttl / 2)
		if err := cluster.store.Revoke(context.Background(), term.Lease); err != nil {
			t.Fatal(err)
		}
		cluster.advance(renewInterval)
		if term.HoldsLease(node.Now()) || node.Term() != nil || node.Leader() != "" {
			t.Error("still leads after its lease was revoked")
		}
		if len(node.endedTerms) != 1 || node.endedTerms[0] != term {
			t.Errorf("%d terms ended, want only the first", len(node.endedTerms))
		}
		cluster.advance(ttl)
		if !node.isLeading() || node.Term().FencingRevision <= term.FencingRevision {
			t.Error("no new term after the suspension")
		}
	})
}

// A campaign whose response was lost may have succeeded, but the node cannot know when the lease started.
// It revokes that lease at once and campaigns again before the lease would have expired.
func TestCampaignWithLostResponseIsRepeatedWithNewLease(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		cluster.store.LoseAnswers(1)
		node := cluster.startNode("n-0", 0)
		cluster.advance(ttl / 2)
		if !node.isLeading() || len(node.startedTerms) != 1 {
			t.Fatalf("leads: %v; %d terms started, want 1", node.isLeading(), len(node.startedTerms))
		}
		if node.Term().Lease != 2 {
			t.Errorf("leads with lease %d, want 2", node.Term().Lease)
		}
	})
}

func TestCampaignExecutedLateStartsNoTerm(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		cluster.store.HoldCommits(1)
		node := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		if !node.isLeading() || node.Term().Lease != 2 {
			t.Fatal("did not become leader by a second campaign")
		}
		if done := cluster.store.DeliverHeld(); done != 0 {
			t.Error("the late transaction was executed despite its precondition")
		}
		cluster.advance(2 * ttl)
		if !node.isLeading() || len(node.startedTerms) != 1 {
			t.Errorf("leads: %v; %d terms started, want 1", node.isLeading(), len(node.startedTerms))
		}
	})
}

func TestRestartedNodeRevokesLeaseOfPreviousProcess(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		ctx := context.Background()
		lease, err := cluster.store.Grant(ctx, micro.Minute)
		if err != nil {
			t.Fatal(err)
		}
		earlier := Record{Node: "n-0", Nonce: "before", Lease: wire.Count(lease)}
		if _, err := cluster.store.Commit(ctx, store.Leadership, wire.Transaction{
			Then: []wire.Change{{Put: LeaderKey, Value: earlier, Lease: wire.Count(lease)}},
		}); err != nil {
			t.Fatal(err)
		}
		other := cluster.startNode("n-1", 0)
		cluster.advance(micro.Second)
		if other.isLeading() || other.Leader() != "n-0" {
			t.Fatal("another node did not follow the holder of the key")
		}
		other.SuspendCampaign(micro.Minute)
		node := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		if !node.isLeading() {
			t.Error("does not lead: its previous lease was not revoked")
		}
	})
}

func TestNoLeaderIsElectedWhileStoreIsUnavailable(t *testing.T) {
	for _, reachability := range []fake.Reachability{fake.Refusing, fake.Partitioned} {
		t.Run(strconv.Itoa(int(reachability)), func(t *testing.T) {
			inFakeTime(t, func(cluster *testCluster) {
				node := cluster.startNode("n-0", 0, func(node *testNode) { node.link.SetReachability(reachability) })
				cluster.advance(ttl)
				if len(node.startedTerms) != 0 || cluster.leaderKeyExists() {
					t.Fatal("became leader while the store was unavailable")
				}
				node.link.SetReachability(fake.Reachable)
				cluster.advance(2 * micro.Second)
				if !node.isLeading() {
					t.Error("does not lead after the store became available")
				}
			})
		})
	}
}

func TestSuspendedNodeDoesNotCampaign(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		node := cluster.startNode("n-0", 0, func(node *testNode) { node.SuspendCampaign(ttl) })
		cluster.advance(ttl - micro.Millisecond)
		if len(node.startedTerms) != 0 || cluster.leaderKeyExists() {
			t.Fatal("campaigned while suspended")
		}
		cluster.advance(micro.Second)
		if !node.isLeading() {
			t.Error("did not become leader after the suspension")
		}
	})
}
