package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// A meter counts the requests that reach the store, by class, and those that were
// held back for their rate.
type meter struct {
	mu      sync.Mutex
	total   *rate.Limiter // what the store takes of all nodes; nil: anything
	rps     float64
	sent    map[store.Class]int
	refused map[store.Class]int
}

func newMeter(rps float64) *meter {
	m := &meter{rps: rps, sent: map[store.Class]int{}, refused: map[store.Class]int{}}
	if rps > 0 {
		m.total = rate.NewLimiter(rate.Limit(rps), int(rps))
	}
	return m
}

// counts is how many requests of the classes were sent, and how many held back.
func (m *meter) counts(classes ...store.Class) (sent, refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range classes {
		sent, refused = sent+m.sent[c], refused+m.refused[c]
	}
	return sent, refused
}

// usualAnswer is how long the store takes over an answer.
const usualAnswer = 8 * micro.Millisecond

// metered is the store as one node reaches it, with the budgets for requests of
// the real client and the limit of the real store.
type metered struct {
	*fake.Link
	m   *meter
	own *rate.Limiter // the node's part
}

func (m *meter) wrap(l *fake.Link) store.Store {
	l.Delay(usualAnswer)
	own := rate.NewLimiter(rate.Limit(m.rps/3), max(1, int(m.rps/3))) // full at first, as the real client's
	return &metered{Link: l, m: m, own: own}
}

func (s *metered) SetShare(reads, writes float64) {
	s.Link.SetShare(reads, writes)
	if s.m.rps > 0 {
		s.own.SetLimit(rate.Limit(s.m.rps * reads))
		s.own.SetBurst(max(1, int(s.m.rps*reads)))
	}
}

func (s *metered) admit(c store.Class) error {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if s.m.total != nil {
		if !store.Admit(s.own, c, 1) {
			s.m.refused[c]++
			return store.ErrBudget
		}
		if !s.m.total.Allow() {
			s.m.refused[c]++
			return store.ErrBusy
		}
	}
	s.m.sent[c]++
	return nil
}

func (s *metered) Get(ctx context.Context, c store.Class, key string) (wire.Item, error) {
	if err := s.admit(c); err != nil {
		return wire.Item{}, err
	}
	return s.Link.Get(ctx, c, key)
}

func (s *metered) Range(ctx context.Context, c store.Class, prefix, after string, limit int) (wire.Page, error) {
	if err := s.admit(c); err != nil {
		return wire.Page{}, err
	}
	return s.Link.Range(ctx, c, prefix, after, limit)
}

func (s *metered) Existing(ctx context.Context, c store.Class, keys []string) (map[string]bool, error) {
	if err := s.admit(c); err != nil {
		return nil, err
	}
	return s.Link.Existing(ctx, c, keys)
}

func (s *metered) Commit(ctx context.Context, c store.Class, t wire.Txn) (uint64, error) {
	if err := s.admit(c); err != nil {
		return 0, err
	}
	return s.Link.Commit(ctx, c, t)
}

func (s *metered) Grant(ctx context.Context, ttl micro.Time) (uint64, error) {
	if err := s.admit(store.Leadership); err != nil {
		return 0, err
	}
	return s.Link.Grant(ctx, ttl)
}

func (s *metered) Renew(ctx context.Context, lease uint64) error {
	if err := s.admit(store.Leadership); err != nil {
		return err
	}
	return s.Link.Renew(ctx, lease)
}

func (s *metered) Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error) {
	if err := s.admit(store.Leadership); err != nil {
		return wire.Events{}, err
	}
	return s.Link.Watch(ctx, prefix, after, wait)
}

// stormRPS is what the store of a storm takes, and unknownBase the first of the
// ids that nobody submits.
const (
	stormRPS    = 90
	unknownBase = 7_000_000
)

// A storm polls for ids that nobody submitted, at every node.
type storm struct {
	w       *simCluster
	mu      sync.Mutex
	asked   int
	denied  int // answered 404
	later   int // told to come back
	slowest time.Duration
	stop    chan struct{}
}

// storms sends so many polls a second to every node until the storm is over.
func (w *simCluster) storms(perSecond int) *storm {
	s := &storm{w: w, stop: make(chan struct{})}
	const gap = 10 * time.Millisecond
	each := perSecond * int(gap/time.Millisecond) / 1000
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-w.ctx.Done():
				return
			case <-time.After(gap):
			}
			for _, p := range w.controllers {
				for range each {
					go s.poll(p)
				}
			}
		}
	}()
	return s
}

func (s *storm) poll(p *controllerProc) {
	s.mu.Lock()
	s.asked++
	id := fmt.Sprintf("j-%d", unknownBase+s.asked)
	s.mu.Unlock()
	from := time.Now()
	r, ok := s.w.call(p, "users", 2*time.Second, func(n *Node) front.Reply { return n.Show(id) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.slowest = max(s.slowest, time.Since(from))
	}
	switch {
	case ok && r.Status == 404:
		s.denied++
	case ok && r.Status == 503 && r.RetryAfter > 0:
		s.later++
	case ok:
		s.w.t.Errorf("an id that nobody submitted: %d", r.Status)
	}
}

// A storm of polls for unknown ids holds back no renewal, no write and no
// submission, in calm, while the store refuses all, and while a leader is elected.
// All look-ups together stay within the polls' part of the store's limit.
func TestStormOfPollsHoldsBackNothingElse(t *testing.T) {
	const stormS = 20
	for name, trouble := range map[string]func(w *simCluster, l *controllerProc){
		"calm":    func(*simCluster, *controllerProc) {},
		"refused": func(w *simCluster, l *controllerProc) { w.refuse(w.others(l)[0], 10*micro.Second) },
		"outage": func(w *simCluster, _ *controllerProc) {
			w.store.Outage(true)
			w.sleep(8 * micro.Second)
			w.store.Outage(false)
		},
		"election": func(w *simCluster, l *controllerProc) { w.restart(l, 5*micro.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			m := newMeter(stormRPS)
			play(t, 3, 3, func(w *simCluster) {
				w.wrap = m.wrap
				w.base.Facts.State.RPS = stormRPS
			}, func(w *simCluster) {
				l, _ := w.led()
				running := w.wants(order{kind: wire.Service, tasks: 2}).submit()
				w.until("runs", 2*micro.Minute, func() bool { return running.running() == 2 })
				w.sleep(10 * micro.Second)
				before, _ := m.counts(store.Poll)
				others := []store.Class{store.Leadership, store.Urgent, store.Routine, store.Lazy}
				_, heldBefore := m.counts(others...)
				from, vain := w.now(), w.vain.Load()
				s := w.storms(400)
				w.sleep(2 * micro.Second)
				trouble(w, l)
				w.until("a leader", micro.Minute, func() bool { return w.leader() != nil })
				w.sleep(2 * micro.Second)
				for end := from + stormS*micro.Second; w.now() < end; w.sleep(micro.Second) {
					for _, p := range w.controllers {
						if n := p.current(); n == nil || n.catalog.Load() == nil {
							continue // it takes no submission yet
						}
						if r := w.wants(order{kind: wire.Array, tasks: 1, run: micro.Second}).send(p); r.Status != 201 && r.Status != 200 {
							t.Errorf("%.1f s: a submission to %s got %d", w.now().Seconds(), p.name, r.Status)
						}
					}
					if s := stateOf(running.poll(w.leader())); s != wire.JobRunning {
						t.Errorf("%.1f s: the job that runs is %q", w.now().Seconds(), s)
					}
				}
				took := (w.now() - from).Seconds()
				close(s.stop)
				w.sleep(3 * micro.Second)
				after, _ := m.counts(store.Poll)
				_, held := m.counts(others...)
				if got := w.vain.Load() - vain; name == "calm" && got > 0 {
					t.Errorf("%d reports were not answered", got)
				}
				if got := running.starts(); got != 2 {
					t.Errorf("%d starts of two tasks: workers were not heard, or not answered", got)
				}
				if held > heldBefore {
					t.Errorf("%d requests other than polls were held back", held-heldBefore)
				}
				// For 3 s more what is under way comes to its end; bursts are of 1 s.
				if most := int(pollShare * stormRPS * (took + 3 + 1)); after-before > most {
					t.Errorf("%d requests for polls in %.0f s, more than %d", after-before, took, most)
				}
				s.mu.Lock()
				t.Logf("%d polls: %d denied, %d told to come back, the slowest after %v; %d requests for them", s.asked, s.denied, s.later, s.slowest, after-before)
				if s.denied == 0 || s.slowest > 2*time.Second {
					t.Errorf("%d of %d were answered, the slowest after %v", s.denied, s.asked, s.slowest)
				}
				s.mu.Unlock()
				running.cancel()
			})
		})
	}
}

// A node that the store refuses alone has its peers say which ids are unknown, and
// read the jobs that the leader does not answer for.
func TestRefusedNodeAnswersPollsThroughItsPeers(t *testing.T) {
	play(t, 6, 3, nil, func(w *simCluster) {
		l, others := w.led()
		j := w.wants(order{kind: wire.Service, tasks: 1}).submit()
		w.until("runs", 2*micro.Minute, func() bool { return j.running() == 1 })
		others[0].refuse(true)
		w.cutOff(l, 5*micro.Second, "peers") // the other one has only the store to ask
		w.sleep(micro.Second)
		if r := (&job{w: w, id: fmt.Sprintf("j-%d", unknownBase)}).pollUnknown(others[0]); r.Status != 404 {
			t.Errorf("an unknown id: %d", r.Status)
		}
		if s := stateOf(j.poll(others[0])); s != wire.JobRunning {
			t.Errorf("a job that runs: %q", s)
		}
		others[0].refuse(false)
		w.sleep(10 * micro.Second)
		j.cancel()
	})
}

// pollUnknown asks for an id that the checker does not know.
func (j *job) pollUnknown(p *controllerProc) front.Reply {
	r, _ := j.w.call(p, "users", 2*time.Second, func(n *Node) front.Reply { return n.Show(j.id) })
	return r
}

// An oldPeer runs the version before: it does not know the call that polls use.
type oldPeer struct{}

func (oldPeer) Call(_ context.Context, _, call string, body []byte, _ micro.Time) (int, []byte, error) {
	if call == peer.Read {
		return 200, wire.MustMarshal(wire.JobStatus{ID: string(body), State: wire.JobRunning, Running: 1}), nil
	}
	return 404, nil, nil
}

// Beside nodes of the version before, a node that the store refuses still has
// them read jobs for its polls.
func TestRefusedNodeAnswersPollsThroughPeersOfTheVersionBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		n, stop := b.nodeWith("n-0", func(n *Node) {
			n.Cfg.Peers = []config.Peer{{Node: "n-1", Zone: "a"}}
			n.Peers = oldPeer{}
		})
		defer b.end(stop)
		b.store.Outage(true)
		if r := n.Show("j-000001"); r.Status != 200 {
			t.Errorf("got %d", r.Status)
		}
		b.store.Outage(false)
	})
}

// A spent store lets no request out: the node's budget is used.
type spent struct{ store.Store }

func (spent) Existing(context.Context, store.Class, []string) (map[string]bool, error) {
	return nil, store.ErrBudget
}

func (spent) Range(context.Context, store.Class, string, string, int) (wire.Page, error) {
	return wire.Page{}, store.ErrBudget
}

// A countedPeer counts the calls to it.
type countedPeer struct{ calls atomic.Int64 }

func (c *countedPeer) Call(context.Context, string, string, []byte, micro.Time) (int, []byte, error) {
	c.calls.Add(1)
	return 503, nil, nil
}

// What is over a node's own budget gets 503 at once, and is not handed on to the
// other nodes, which have polls of their own.
func TestPollsOverTheBudgetAreNotHandedOn(t *testing.T) {
	b := newBed(t)
	peers := &countedPeer{}
	n, stop := b.nodeWith("n-0", func(n *Node) {
		n.election.Pause(1 << 50)
		n.Store = spent{b.store}
		n.Cfg.Peers = []config.Peer{{Node: "n-1", Zone: "a"}}
		n.Peers = peers
	})
	defer stop()
	n.saw("j-000001") // one that was accepted, and one that may be unknown
	for _, id := range []string{"j-000001", "j-000002"} {
		if r := n.Show(id); r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("%s: %+v", id, r)
		}
	}
	if calls := peers.calls.Load(); calls > 0 {
		t.Errorf("%d calls to other nodes", calls)
	}
}

// Jobs that were over before the leader took over are answered at every node, at
// the first poll, whatever flood of unknown ids is under way: from the leader's
// memory, without a read of the store.
func TestFinishedJobsAreAnsweredInAFloodOfUnknownIDs(t *testing.T) {
	m := newMeter(stormRPS)
	play(t, 4, 3, func(w *simCluster) {
		w.wrap = m.wrap
		w.quick = true
		w.base.Facts.State.RPS = stormRPS
	}, func(w *simCluster) {
		w.led()
		var jobs []*job
		for range 6 {
			jobs = append(jobs, w.wants(order{kind: wire.Array, tasks: 1, run: micro.Second}).submit())
		}
		for _, j := range jobs {
			w.until(j.id+" done", 3*micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
		}
		w.sleep(20 * micro.Second) // their records are deleted
		for _, p := range w.controllers {
			w.kill(p) // no node remembers what it has told
		}
		w.sleep(micro.Second)
		for _, p := range w.controllers {
			w.begin(p)
		}
		l, _ := w.led()
		s := w.storms(3000)
		defer close(s.stop)
		w.sleep(5 * micro.Second)
		for _, j := range jobs {
			for _, p := range w.controllers {
				if got := stateOf(j.poll(p)); got != wire.JobDone {
					t.Errorf("%s at %s, the leader is %s: %q", j.id, p.name, l.name, got)
				}
			}
		}
	})
}

// While nobody leads, a finished job is read from the store within a bound, also
// in a flood of unknown ids that uses up the polls' budget again and again.
func TestFinishedJobIsReadInAFloodWhileNobodyLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		m := newMeter(stormRPS)
		n, stop := b.nodeWith("n-0", func(n *Node) {
			n.election.Pause(1 << 50)
			n.Store = m.wrap(fake.NewLink(b.store, rand.New(rand.NewPCG(1, 1))))
			n.Cfg.Facts.State.RPS = stormRPS
			n.share(0.3, 0.3)
		})
		defer b.end(stop)
		finished := []string{"j-000001", "j-000002", "j-000003"}
		for _, id := range finished {
			b.finish(id)
		}
		ctx, calm := context.WithCancel(context.Background())
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				go n.Show(fmt.Sprintf("j-%d", unknownBase+i))
				time.Sleep(time.Millisecond)
			}
		}()
		time.Sleep(5 * time.Second)
		for _, id := range finished {
			tries := 0
			for answered := false; !answered && tries < 4; tries++ {
				r := n.Show(id)
				if r.Status == 404 {
					t.Fatal(id, "is denied")
				}
				answered = r.Status == 200
				time.Sleep(time.Second)
			}
			if tries > 3 {
				t.Errorf("%s got no answer in %d polls", id, tries)
			}
		}
		calm()
	})
}

// A node that reads every job from the store, and may read far fewer than it is
// polled for, answers for each of them in turn: none is left without an answer.
func TestJobsTakeTurnsWhileTheBudgetForPollsIsShort(t *testing.T) {
	const (
		jobs    = 80
		every   = 5 * time.Second
		patient = 75 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		m := newMeter(stormRPS)
		n, stop := b.nodeWith("n-0", func(n *Node) {
			n.election.Pause(1 << 50)
			n.Store = m.wrap(fake.NewLink(b.store, rand.New(rand.NewPCG(1, 1))))
			n.Cfg.Facts.State.RPS = stormRPS
			n.share(0.1, 0.1)
		})
		defer b.end(stop)
		var answered [jobs]time.Duration
		var polling sync.WaitGroup
		from := time.Now()
		draw := rand.New(rand.NewPCG(2, 2))
		for i := range jobs {
			id := fmt.Sprintf("j-%06d", i+1)
			if _, err := b.store.Commit(context.Background(), store.Routine, wire.Txn{Then: []wire.Change{{Put: specKey(id), Value: wire.Job{ID: id, Tasks: 1}}}}); err != nil {
				t.Fatal(err)
			}
			first := time.Duration(draw.Int64N(int64(every)))
			jitter := rand.New(rand.NewPCG(3, uint64(i)))
			polling.Go(func() {
				time.Sleep(first)
				for time.Since(from) < patient {
					if r := n.Show(id); r.Status == 200 && answered[i] == 0 {
						answered[i] = time.Since(from)
					}
					time.Sleep(every - 500*time.Millisecond + time.Duration(jitter.Int64N(int64(time.Second))))
				}
			})
		}
		polling.Wait()
		missed, last := 0, time.Duration(0)
		for _, at := range answered {
			if last = max(last, at); at == 0 {
				missed++
			}
		}
		sent, _ := m.counts(store.Poll)
		t.Logf("%d requests, the last job got its first answer after %v", sent, last)
		if missed > 0 {
			t.Errorf("%d of %d jobs got no answer in %v", missed, jobs, patient)
		}
	})
}

// end stops a node in fake time, and waits until what it has under way is over.
func (b *bed) end(stop func()) {
	stop()
	time.Sleep(time.Minute)
}

// finish puts a job that is done into the store.
func (b *bed) finish(id string) {
	b.t.Helper()
	_, err := b.store.Commit(context.Background(), store.Routine, wire.Txn{Then: []wire.Change{
		{Put: specKey(id), Value: wire.Job{ID: id, Tasks: 1}}, {Put: endKey(id), Value: map[string]any{"state": "done"}}}})
	if err != nil {
		b.t.Fatal(err)
	}
}

// A gated store holds back answers, read already, until it is told to let go.
type gated struct {
	*metered
	gate chan struct{}
}

func (s gated) Existing(ctx context.Context, c store.Class, keys []string) (map[string]bool, error) {
	there, err := s.metered.Existing(ctx, c, keys)
	<-s.gate
	return there, err
}

func (s gated) Range(ctx context.Context, c store.Class, prefix, after string, limit int) (wire.Page, error) {
	page, err := s.metered.Range(ctx, c, prefix, after, limit)
	<-s.gate
	return page, err
}

// gatedNode is a node that knows of no leader.
func gatedNode(t *testing.T) (*bed, *Node, *meter, gated) {
	b := newBed(t)
	m := newMeter(0)
	g := gated{metered: m.wrap(fake.NewLink(b.store, rand.New(rand.NewPCG(1, 1)))).(*metered), gate: make(chan struct{})}
	n, stop := b.nodeWith("n-0", func(n *Node) {
		n.election.Pause(1 << 50)
		n.Store = g
	})
	t.Cleanup(func() { b.end(stop) })
	return b, n, m, g
}

// A look-up that has read that a job is unknown, and is slow to say so, must not
// answer a poll that came after another node accepted the job.
func TestPollSharesNoLookUpBegunBeforeTheJobWasAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, n, _, g := gatedNode(t)
		before, after := make(chan front.Reply, 1), make(chan front.Reply, 1)
		go func() { before <- n.Show("j-000001") }()
		time.Sleep(2 * usualAnswer.Std()) // the store has answered, the node has not heard it
		b.finish("j-000001")
		go func() { after <- n.Show("j-000001") }()
		time.Sleep(2 * usualAnswer.Std())
		close(g.gate)
		if r := <-before; r.Status != 404 {
			t.Errorf("asked before: %d", r.Status)
		}
		if r := <-after; r.Status != 200 {
			t.Errorf("asked after the job was accepted: %d", r.Status)
		}
	})
}

// The same for a read of a job that was accepted: what began before the job was
// over must not answer a poll that came after another node said that it is.
func TestPollSharesNoReadBegunBeforeTheJobWasOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, n, _, g := gatedNode(t)
		if _, err := b.store.Commit(context.Background(), store.Routine, wire.Txn{Then: []wire.Change{{Put: specKey("j-000001"), Value: wire.Job{ID: "j-000001", Tasks: 1}}}}); err != nil {
			t.Fatal(err)
		}
		n.saw("j-000001")
		before, after := make(chan front.Reply, 1), make(chan front.Reply, 1)
		go func() { before <- n.Show("j-000001") }()
		time.Sleep(2 * usualAnswer.Std())
		g.gate <- struct{}{}              // the records of its tasks
		time.Sleep(2 * usualAnswer.Std()) // its own keys are read, the node has not heard it
		b.finish("j-000001")
		go func() { after <- n.Show("j-000001") }()
		time.Sleep(2 * usualAnswer.Std())
		close(g.gate)
		if s := stateOf(<-before); s != wire.JobPending {
			t.Errorf("asked before: %q", s)
		}
		if s := stateOf(<-after); s != wire.JobDone {
			t.Errorf("asked after another node said done: %q", s)
		}
	})
}

// Equal polls at the same time, and polls for many unknown ids, share requests.
func TestPollsAtTheSameTimeShareRequests(t *testing.T) {
	const polls = 500
	for name, c := range map[string]struct {
		known, accepted bool // the node knows that the job was accepted; it was
		id              func(i int) string
		status, most    int
	}{
		"equal, unknown":     {false, false, func(int) string { return "j-000001" }, 404, 2},
		"equal, accepted":    {true, true, func(int) string { return "j-000001" }, 200, 2 * readRequests},
		"equal, not heard":   {false, true, func(int) string { return "j-000001" }, 200, 2 + 2*readRequests},
		"different, unknown": {false, false, func(i int) string { return fmt.Sprintf("j-%d", unknownBase+i%90) }, 404, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, n, m, g := gatedNode(t)
				if c.accepted {
					// Not over: a final state would be remembered, and read once.
					if _, err := b.store.Commit(context.Background(), store.Routine, wire.Txn{Then: []wire.Change{{Put: specKey("j-000001"), Value: wire.Job{ID: "j-000001", Tasks: 1}}}}); err != nil {
						t.Fatal(err)
					}
				}
				if c.known {
					n.saw("j-000001")
				}
				var polled sync.WaitGroup
				for i := range polls {
					polled.Go(func() {
						if r := n.Show(c.id(i)); r.Status != c.status {
							t.Errorf("poll %d: %d", i, r.Status)
						}
					})
				}
				synctest.Wait()
				close(g.gate)
				polled.Wait()
				if sent, _ := m.counts(store.Poll, store.Routine); sent > c.most {
					t.Errorf("%d requests for %d polls, at most %d expected", sent, polls, c.most)
				}
			})
		})
	}
}

// What cannot be a job's id is denied without asking anyone, whoever asks.
func TestMalformedIDsCostNothing(t *testing.T) {
	b := newBed(t)
	m := newMeter(0)
	n, stop := b.nodeWith("n-0", func(n *Node) {
		n.election.Pause(1 << 50)
		n.Store = m.wrap(fake.NewLink(b.store, rand.New(rand.NewPCG(1, 1))))
	})
	defer stop()
	for _, id := range []string{"", "j-", "j", "j-1x", "x-000001", "j-000001/../x", "J-000001", "j-0000 1", "j-٣"} {
		if r := n.Show(id); r.Status != 404 {
			t.Errorf("%q: %d", id, r.Status)
		}
		if status, _ := n.peerCall(context.Background(), peer.Read, []byte(id)); status != 404 {
			t.Errorf("%q from a peer: %d", id, status)
		}
	}
	if sent, _ := m.counts(store.Poll, store.Routine); sent > 0 {
		t.Errorf("%d requests", sent)
	}
}

// Polls come last in what is left of a node's budget.
func TestPollsComeLastInTheBudget(t *testing.T) {
	for _, c := range []store.Class{store.Leadership, store.Urgent, store.Routine, store.Lazy} {
		lim := rate.NewLimiter(0, 100)
		for store.Admit(lim, store.Poll, 1) {
		}
		if !store.Admit(lim, c, 1) {
			t.Errorf("polls leave nothing to class %d", c)
		}
	}
}
