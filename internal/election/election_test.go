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

// testCluster is a store with nodes that elect a leader, in fake time.
type testCluster struct {
	t     *testing.T
	start time.Time
	store *fake.Store
}

// testNode is one process of a site.
type testNode struct {
	*Election
	link         *fake.Link
	startedTerms []*Term
	endedTerms   []*Term
}

// inFakeTime tells a story whose clocks move only when all wait.
func inFakeTime(t *testing.T, scenario func(*testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{t: t, start: time.Now(), store: fake.NewStore()}
		cluster.store.Now = cluster.clock(0)
		scenario(cluster)
	})
}

// clock makes a steady clock that is slow by so many parts of 1e4.
func (c *testCluster) clock(drift int64) func() micro.Time {
	return func() micro.Time {
		passed := time.Since(c.start).Microseconds()
		return micro.Time(passed - passed*drift/10000)
	}
}

// startNode runs a node until the story ends. What is set goes before its first step.
func (c *testCluster) startNode(name string, drift int64, options ...func(*testNode)) *testNode {
	member := &testNode{link: fake.NewLink(c.store, rand.New(rand.NewPCG(1, 2)))}
	member.Election = &Election{
		Node: name, Nonce: "now", Store: member.link, TTL: ttl, RenewInterval: renewInterval,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: c.clock(drift),
		OnStartedLeading: func(t *Term) { member.startedTerms = append(member.startedTerms, t) },
		OnStoppedLeading: func(t *Term) { member.endedTerms = append(member.endedTerms, t) },
	}
	for _, option := range options {
		option(member)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	go func() { _ = member.Run(ctx) }()
	return member
}

// advance lets fake time pass.
func (c *testCluster) advance(span micro.Time) {
	time.Sleep(span.Duration())
	synctest.Wait()
}

// leaderKeyExists says whether the store holds the leader's key.
func (c *testCluster) leaderKeyExists() bool {
	_, err := c.store.Get(context.Background(), store.Leadership, LeaderKey)
	return err == nil
}

func (n *testNode) isLeading() bool { return n.Term().HoldsLease(n.Now()) }

func TestOneNodeLeadsAndOthersKnowTheLeader(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		first := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		second := cluster.startNode("n-1", 0)
		cluster.advance(3 * ttl)
		if !first.isLeading() || second.isLeading() {
			t.Fatalf("first leads: %v, second: %v", first.isLeading(), second.isLeading())
		}
		if first.Leader() != "n-0" || second.Leader() != "n-0" {
			t.Errorf("leader: %q and %q", first.Leader(), second.Leader())
		}
		if len(first.startedTerms) != 1 || len(first.endedTerms)+len(second.startedTerms) != 0 {
			t.Errorf("the leadership changed while all went well")
		}
	})
}

// The leadership lease ends before the lease does, by a clock that is slow and with
// renewals that are answered late: the time counts from when the last was sent.
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

// checkPartitionedLeader cuts a leader off whose clock is slow and whose answers are late,
// and checks that it has stopped leading by the time its lease ends or another leads.
func checkPartitionedLeader(t *testing.T, cluster *testCluster, slow int64, delay micro.Time) {
	t.Helper()
	old := cluster.startNode("n-0", slow)
	cluster.advance(micro.Second)
	next := cluster.startNode("n-1", 0)
	old.link.SetDelay(delay)
	cluster.advance(2 * ttl)
	if !old.isLeading() {
		t.Fatal("does not lead")
	}
	old.link.SetReachability(fake.Partitioned)
	for end := cluster.store.Now() + 2*ttl; cluster.store.Now() < end; cluster.advance(micro.Millisecond) {
		if old.isLeading() && (next.isLeading() || !cluster.leaderKeyExists()) {
			t.Fatalf("acts after its lease ended; the other leads: %v", next.isLeading())
		}
	}
	if !next.isLeading() {
		t.Fatal("nobody took over")
	}
	if revision := next.Term().FencingRevision; revision <= old.startedTerms[0].FencingRevision {
		t.Errorf("the new term's token is no higher: %d", revision)
	}
}

func TestLeadershipLapsesInAnOutageAndResumesWithTheLease(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		member := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		term := member.Term()
		cluster.store.SetOutage(true)
		cluster.advance(2 * ttl)
		if member.isLeading() || term.HoldsLease(member.Now()) {
			t.Fatal("acts though no renewal was answered")
		}
		cluster.store.SetOutage(false)
		cluster.advance(micro.Second)
		if !member.isLeading() || member.Term() != term || len(member.endedTerms) != 0 {
			t.Errorf("did not go on with its term: lost %d times", len(member.endedTerms))
		}
	})
}

// A renewal that nobody answers is given up and sent again while the lease lives.
func TestUnansweredRenewalIsRetriedInTime(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		member := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		term := member.Term()
		member.link.AnswerTimeout = micro.Minute
		member.link.SetReachability(fake.Partitioned)
		cluster.advance(ttl / 2)
		member.link.SetReachability(fake.Reachable)
		cluster.advance(ttl)
		if !member.isLeading() || member.Term() != term || len(member.endedTerms) != 0 {
			t.Errorf("lost %d terms", len(member.endedTerms))
		}
	})
}

func TestTermEndsWithItsLease(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		member := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		term := member.Term()
		member.SuspendCampaign(ttl / 2)
		if err := cluster.store.Revoke(context.Background(), term.Lease); err != nil {
			t.Fatal(err)
		}
		cluster.advance(renewInterval)
		if term.HoldsLease(member.Now()) || member.Term() != nil || member.Leader() != "" {
			t.Error("leads without a lease")
		}
		if len(member.endedTerms) != 1 || member.endedTerms[0] != term {
			t.Errorf("lost %d terms", len(member.endedTerms))
		}
		cluster.advance(ttl)
		if !member.isLeading() || member.Term().FencingRevision <= term.FencingRevision {
			t.Error("does not lead again")
		}
	})
}

// A campaign whose answer is lost may have won. Its node does not know when the
// lease began: it gives that up at once, and starts afresh before it would end.
func TestCampaignWithLostResponseStartsAfresh(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		cluster.store.LoseAnswers(1)
		member := cluster.startNode("n-0", 0)
		cluster.advance(ttl / 2)
		if !member.isLeading() || len(member.startedTerms) != 1 {
			t.Fatalf("gained %d terms", len(member.startedTerms))
		}
		if member.Term().Lease != 2 {
			t.Errorf("leads by lease %d", member.Term().Lease)
		}
	})
}

func TestCampaignCommittedLateGivesNoTerm(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		cluster.store.HoldCommits(1)
		member := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		if !member.isLeading() || member.Term().Lease != 2 {
			t.Fatal("did not campaign again")
		}
		if done := cluster.store.DeliverHeld(); done != 0 {
			t.Error("the late campaign took effect against its guard")
		}
		cluster.advance(2 * ttl)
		if !member.isLeading() || len(member.startedTerms) != 1 {
			t.Errorf("gained %d terms", len(member.startedTerms))
		}
	})
}

func TestNodeRevokesTheLeaseOfItsEarlierProcess(t *testing.T) {
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
			t.Fatal("another node does not respect the lease")
		}
		other.SuspendCampaign(micro.Minute)
		member := cluster.startNode("n-0", 0)
		cluster.advance(micro.Second)
		if !member.isLeading() {
			t.Error("waits for its own old lease")
		}
	})
}

func TestUnavailableStoreElectsNoLeader(t *testing.T) {
	for _, reach := range []fake.Reachability{fake.Refusing, fake.Partitioned} {
		t.Run(strconv.Itoa(int(reach)), func(t *testing.T) {
			inFakeTime(t, func(cluster *testCluster) {
				member := cluster.startNode("n-0", 0, func(member *testNode) { member.link.SetReachability(reach) })
				cluster.advance(ttl)
				if len(member.startedTerms) != 0 || cluster.leaderKeyExists() {
					t.Fatal("leads without the store")
				}
				member.link.SetReachability(fake.Reachable)
				cluster.advance(2 * micro.Second)
				if !member.isLeading() {
					t.Error("does not lead once the store answers")
				}
			})
		})
	}
}

func TestSuspendedNodeDoesNotCampaign(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		member := cluster.startNode("n-0", 0, func(member *testNode) { member.SuspendCampaign(ttl) })
		cluster.advance(ttl - micro.Millisecond)
		if len(member.startedTerms) != 0 || cluster.leaderKeyExists() {
			t.Fatal("campaigned")
		}
		cluster.advance(micro.Second)
		if !member.isLeading() {
			t.Error("does not campaign after its pause")
		}
	})
}
