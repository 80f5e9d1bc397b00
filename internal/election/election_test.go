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
	ttl   = 10 * micro.Second
	renew = 2 * micro.Second
)

// site is a store with nodes that elect a leader, in fake time.
type site struct {
	t     *testing.T
	start time.Time
	store *fake.Store
}

// node is one process of a site.
type node struct {
	*Election
	link  *fake.Link
	gains []*Term
	loses []*Term
}

// inFakeTime tells a story whose clocks move only when all wait.
func inFakeTime(t *testing.T, tell func(*site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, start: time.Now(), store: fake.NewStore()}
		s.store.Now = s.clock(0)
		tell(s)
	})
}

// clock makes a steady clock that is slow by so many parts of 1e4.
func (s *site) clock(slow int64) func() micro.Time {
	return func() micro.Time {
		passed := time.Since(s.start).Microseconds()
		return micro.Time(passed - passed*slow/10000)
	}
}

// begin runs a node until the story ends. What is set goes before its first step.
func (s *site) begin(name string, slow int64, set ...func(*node)) *node {
	n := &node{link: fake.NewLink(s.store, rand.New(rand.NewPCG(1, 2)))}
	n.Election = &Election{
		Node: name, Nonce: "now", Store: n.link, TTL: ttl, Renew: renew,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: s.clock(slow),
		OnLead: func(t *Term) { n.gains = append(n.gains, t) },
		OnLose: func(t *Term) { n.loses = append(n.loses, t) },
	}
	for _, f := range set {
		f(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	go func() { _ = n.Run(ctx) }()
	return n
}

// pass lets fake time pass.
func (s *site) pass(span micro.Time) {
	time.Sleep(span.Std())
	synctest.Wait()
}

// held says whether the store holds the leader's key.
func (s *site) held() bool {
	_, err := s.store.Get(context.Background(), store.Leadership, Key)
	return err == nil
}

func (n *node) leads() bool { return n.Term().Valid(n.Now()) }

func TestOneNodeLeadsAndTheOthersKnowIt(t *testing.T) {
	inFakeTime(t, func(s *site) {
		first := s.begin("n-0", 0)
		s.pass(micro.Second)
		second := s.begin("n-1", 0)
		s.pass(3 * ttl)
		if !first.leads() || second.leads() {
			t.Fatalf("first leads: %v, second: %v", first.leads(), second.leads())
		}
		if first.Leader() != "n-0" || second.Leader() != "n-0" {
			t.Errorf("leader: %q and %q", first.Leader(), second.Leader())
		}
		if len(first.gains) != 1 || len(first.loses)+len(second.gains) != 0 {
			t.Errorf("the leadership changed while all went well")
		}
	})
}

// The right to act ends before the lease does, by a clock that is slow and with
// renewals that are answered late: the time counts from when the last was sent.
func TestRightToActEndsBeforeTheLeaseDoes(t *testing.T) {
	for _, c := range []struct {
		name  string
		slow  int64
		delay micro.Time
	}{{"slow clock", drift - 1, 0}, {"late answers", 0, micro.Second}} {
		t.Run(c.name, func(t *testing.T) {
			inFakeTime(t, func(s *site) {
				old := s.begin("n-0", c.slow)
				s.pass(micro.Second)
				next := s.begin("n-1", 0)
				old.link.Delay(c.delay)
				s.pass(2 * ttl)
				if !old.leads() {
					t.Fatal("does not lead")
				}
				old.link.Set(fake.Silent)
				for end := s.store.Now() + 2*ttl; s.store.Now() < end; s.pass(micro.Millisecond) {
					if old.leads() && (next.leads() || !s.held()) {
						t.Fatalf("acts after its lease ended; the other leads: %v", next.leads())
					}
				}
				if !next.leads() {
					t.Fatal("nobody took over")
				}
				if stamp := next.Term().Stamp; stamp <= old.gains[0].Stamp {
					t.Errorf("the new term's token is no higher: %d", stamp)
				}
			})
		})
	}
}

func TestRightLapsesInAnOutageAndComesBackWithTheLease(t *testing.T) {
	inFakeTime(t, func(s *site) {
		n := s.begin("n-0", 0)
		s.pass(micro.Second)
		term := n.Term()
		s.store.Outage(true)
		s.pass(2 * ttl)
		if n.leads() || term.Valid(n.Now()) {
			t.Fatal("acts though no renewal was answered")
		}
		s.store.Outage(false)
		s.pass(micro.Second)
		if !n.leads() || n.Term() != term || len(n.loses) != 0 {
			t.Errorf("did not go on with its term: lost %d times", len(n.loses))
		}
	})
}

// A renewal that nobody answers is given up and sent again while the lease lives.
func TestRenewalWithoutAnAnswerIsRepeatedInTime(t *testing.T) {
	inFakeTime(t, func(s *site) {
		n := s.begin("n-0", 0)
		s.pass(micro.Second)
		term := n.Term()
		n.link.Patient = micro.Minute
		n.link.Set(fake.Silent)
		s.pass(ttl / 2)
		n.link.Set(fake.Served)
		s.pass(ttl)
		if !n.leads() || n.Term() != term || len(n.loses) != 0 {
			t.Errorf("lost %d terms", len(n.loses))
		}
	})
}

func TestTermIsOverOnceItsLeaseIsGone(t *testing.T) {
	inFakeTime(t, func(s *site) {
		n := s.begin("n-0", 0)
		s.pass(micro.Second)
		term := n.Term()
		n.Pause(ttl / 2)
		if err := s.store.Revoke(context.Background(), term.Lease); err != nil {
			t.Fatal(err)
		}
		s.pass(renew)
		if term.Valid(n.Now()) || n.Term() != nil || n.Leader() != "" {
			t.Error("leads without a lease")
		}
		if len(n.loses) != 1 || n.loses[0] != term {
			t.Errorf("lost %d terms", len(n.loses))
		}
		s.pass(ttl)
		if !n.leads() || n.Term().Stamp <= term.Stamp {
			t.Error("does not lead again")
		}
	})
}

// A campaign whose answer is lost may have won. Its node does not know when the
// lease began: it gives that up at once, and starts afresh before it would end.
func TestCampaignWhoseAnswerIsLostStartsAfresh(t *testing.T) {
	inFakeTime(t, func(s *site) {
		s.store.LoseAnswers(1)
		n := s.begin("n-0", 0)
		s.pass(ttl / 2)
		if !n.leads() || len(n.gains) != 1 {
			t.Fatalf("gained %d terms", len(n.gains))
		}
		if n.Term().Lease != 2 {
			t.Errorf("leads by lease %d", n.Term().Lease)
		}
	})
}

func TestCampaignThatIsCarriedOutLateGivesNoTerm(t *testing.T) {
	inFakeTime(t, func(s *site) {
		s.store.HoldBack(1)
		n := s.begin("n-0", 0)
		s.pass(micro.Second)
		if !n.leads() || n.Term().Lease != 2 {
			t.Fatal("did not campaign again")
		}
		if done := s.store.Deliver(); done != 0 {
			t.Error("the late campaign took effect against its guard")
		}
		s.pass(2 * ttl)
		if !n.leads() || len(n.gains) != 1 {
			t.Errorf("gained %d terms", len(n.gains))
		}
	})
}

func TestNodeEndsTheLeaseOfItsEarlierProcess(t *testing.T) {
	inFakeTime(t, func(s *site) {
		ctx := context.Background()
		lease, err := s.store.Grant(ctx, micro.Minute)
		if err != nil {
			t.Fatal(err)
		}
		earlier := Record{Node: "n-0", Nonce: "before", Lease: wire.Count(lease)}
		if _, err := s.store.Commit(ctx, store.Leadership, wire.Txn{
			Then: []wire.Change{{Put: Key, Value: earlier, Lease: wire.Count(lease)}}}); err != nil {
			t.Fatal(err)
		}
		other := s.begin("n-1", 0)
		s.pass(micro.Second)
		if other.leads() || other.Leader() != "n-0" {
			t.Fatal("another node does not respect the lease")
		}
		other.Pause(micro.Minute)
		n := s.begin("n-0", 0)
		s.pass(micro.Second)
		if !n.leads() {
			t.Error("waits for its own old lease")
		}
	})
}

func TestRefusedAndSilentStoreMakesNoLeader(t *testing.T) {
	for _, reach := range []fake.Reach{fake.Refused, fake.Silent} {
		t.Run(strconv.Itoa(int(reach)), func(t *testing.T) {
			inFakeTime(t, func(s *site) {
				n := s.begin("n-0", 0, func(n *node) { n.link.Set(reach) })
				s.pass(ttl)
				if len(n.gains) != 0 || s.held() {
					t.Fatal("leads without the store")
				}
				n.link.Set(fake.Served)
				s.pass(2 * micro.Second)
				if !n.leads() {
					t.Error("does not lead once the store answers")
				}
			})
		})
	}
}

func TestPausedNodeDoesNotCampaign(t *testing.T) {
	inFakeTime(t, func(s *site) {
		n := s.begin("n-0", 0, func(n *node) { n.Pause(ttl) })
		s.pass(ttl - micro.Millisecond)
		if len(n.gains) != 0 || s.held() {
			t.Fatal("campaigned")
		}
		s.pass(micro.Second)
		if !n.leads() {
			t.Error("does not campaign after its pause")
		}
	})
}
