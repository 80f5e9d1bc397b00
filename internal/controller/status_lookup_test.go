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
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/jobapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// A meter counts the requests that reach the store, by class, and those that were
// held back for their rate.
type requestMeter struct {
	mu      sync.Mutex
	limiter *rate.Limiter // what the store takes of all nodes; nil: anything
	rps     float64
	sent    map[store.Class]int
	refused map[store.Class]int
}

func newRequestMeter(rps float64) *requestMeter {
	meter := &requestMeter{rps: rps, sent: map[store.Class]int{}, refused: map[store.Class]int{}}
	if rps > 0 {
		meter.limiter = rate.NewLimiter(rate.Limit(rps), int(rps))
	}
	return meter
}

// counts is how many requests of the classes were sent, and how many held back.
func (m *requestMeter) counts(classes ...store.Class) (sent, refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range classes {
		sent, refused = sent+m.sent[c], refused+m.refused[c]
	}
	return sent, refused
}

// storeLatency is how long the store takes over an answer.
const storeLatency = 8 * micro.Millisecond

// rateLimitedStore is the store as one node reaches it, with the budgets for requests of
// the real client and the limit of the real store.
type rateLimitedStore struct {
	*fake.Link
	meter       *requestMeter
	nodeLimiter *rate.Limiter // the node's part
}

func (m *requestMeter) wrapLink(l *fake.Link) store.Store {
	l.SetDelay(storeLatency)
	own := rate.NewLimiter(rate.Limit(m.rps/3), max(1, int(m.rps/3))) // full at first, as the real client's
	return &rateLimitedStore{Link: l, meter: m, nodeLimiter: own}
}

func (s *rateLimitedStore) SetBudgetFraction(reads, writes float64) {
	s.Link.SetBudgetFraction(reads, writes)
	if s.meter.rps > 0 {
		s.nodeLimiter.SetLimit(rate.Limit(s.meter.rps * reads))
		s.nodeLimiter.SetBurst(max(1, int(s.meter.rps*reads)))
	}
}

func (s *rateLimitedStore) admit(class store.Class) error {
	s.meter.mu.Lock()
	defer s.meter.mu.Unlock()
	if s.meter.limiter != nil {
		if !store.Admit(s.nodeLimiter, class, 1) {
			s.meter.refused[class]++
			return store.ErrBudgetExhausted
		}
		if !s.meter.limiter.Allow() {
			s.meter.refused[class]++
			return store.ErrRateLimited
		}
	}
	s.meter.sent[class]++
	return nil
}

func (s *rateLimitedStore) Get(ctx context.Context, c store.Class, key string) (wire.Item, error) {
	if err := s.admit(c); err != nil {
		return wire.Item{}, err
	}
	return s.Link.Get(ctx, c, key)
}

func (s *rateLimitedStore) Range(
	ctx context.Context, c store.Class, prefix, after string, limit int,
) (wire.Page, error) {
	if err := s.admit(c); err != nil {
		return wire.Page{}, err
	}
	return s.Link.Range(ctx, c, prefix, after, limit)
}

func (s *rateLimitedStore) ExistingKeys(ctx context.Context, c store.Class, keys []string) (map[string]bool, error) {
	if err := s.admit(c); err != nil {
		return nil, err
	}
	return s.Link.ExistingKeys(ctx, c, keys)
}

func (s *rateLimitedStore) Commit(ctx context.Context, c store.Class, t wire.Transaction) (uint64, error) {
	if err := s.admit(c); err != nil {
		return 0, err
	}
	return s.Link.Commit(ctx, c, t)
}

func (s *rateLimitedStore) Grant(ctx context.Context, ttl micro.Time) (uint64, error) {
	if err := s.admit(store.Leadership); err != nil {
		return 0, err
	}
	return s.Link.Grant(ctx, ttl)
}

func (s *rateLimitedStore) Renew(ctx context.Context, lease uint64) error {
	if err := s.admit(store.Leadership); err != nil {
		return err
	}
	return s.Link.Renew(ctx, lease)
}

func (s *rateLimitedStore) Watch(
	ctx context.Context, prefix string, after uint64, wait micro.Time,
) (wire.Events, error) {
	if err := s.admit(store.Leadership); err != nil {
		return wire.Events{}, err
	}
	return s.Link.Watch(ctx, prefix, after, wait)
}

// queryStormStoreRPS is what the store of a storm takes, and unknownIDBase the first of the
// ids that nobody submits.
const (
	queryStormStoreRPS = 90
	unknownIDBase      = 7_000_000
)

// A storm status queries for ids that nobody submitted, at every node.
type queryStorm struct {
	sim        *simCluster
	mu         sync.Mutex
	sent       int
	notFound   int // answered 404
	retryLater int // told to come back
	slowest    time.Duration
	stop       chan struct{}
}

// startQueryStorm sends so many polls a second to every node until the storm is over.
func (w *simCluster) startQueryStorm(perSecond int) *queryStorm {
	storm := &queryStorm{sim: w, stop: make(chan struct{})}
	const gap = 10 * time.Millisecond
	each := perSecond * int(gap/time.Millisecond) / 1000
	go func() {
		for {
			select {
			case <-storm.stop:
				return
			case <-w.ctx.Done():
				return
			case <-time.After(gap):
			}
			for _, controller := range w.controllers {
				for range each {
					go storm.poll(controller)
				}
			}
		}
	}()
	return storm
}

func (s *queryStorm) poll(controller *controllerProcess) {
	s.mu.Lock()
	s.sent++
	id := fmt.Sprintf("j-%d", unknownIDBase+s.sent)
	s.mu.Unlock()
	from := time.Now()
	reply, ok := s.sim.callNode(
		controller, "users", 2*time.Second, func(node *Node) httpapi.Reply { return node.Status(id) },
	)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.slowest = max(s.slowest, time.Since(from))
	}
	switch {
	case ok && reply.Status == 404:
		s.notFound++
	case ok && reply.Status == 503 && reply.RetryAfter > 0:
		s.retryLater++
	case ok:
		s.sim.t.Errorf("an id that nobody submitted: %d", reply.Status)
	}
}

// A storm of status queries for unknown ids holds back no renewal, no write and no
// submission, in calm, while the store refuses all, and while a leader is elected.
// All look-ups together stay within the status queries' part of the store's limit.
func TestStatusQueryStormDelaysNoOtherRequests(t *testing.T) {
	const stormS = 20
	for name, trouble := range map[string]func(sim *simCluster, leader *controllerProcess){
		"calm": func(*simCluster, *controllerProcess) {},
		"refused": func(sim *simCluster, leader *controllerProcess) {
			sim.refuseNode(sim.otherControllers(leader)[0], 10*micro.Second)
		},
		"outage": func(sim *simCluster, _ *controllerProcess) {
			sim.store.SetOutage(true)
			sim.sleep(8 * micro.Second)
			sim.store.SetOutage(false)
		},
		"election": func(sim *simCluster, leader *controllerProcess) { sim.restartController(leader, 5*micro.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			meter := newRequestMeter(queryStormStoreRPS)
			runScenario(t, 3, 3, func(sim *simCluster) {
				sim.wrapStore = meter.wrapLink
				sim.config.Facts.State.RPS = queryStormStoreRPS
			}, func(sim *simCluster) {
				leader, _ := sim.waitForRestoredLeader()
				running := sim.newJob(jobRequest{kind: wire.Service, tasks: 2}).submit()
				sim.waitUntil("runs", 2*micro.Minute, func() bool { return running.runningTasks() == 2 })
				sim.sleep(10 * micro.Second)
				before, _ := meter.counts(store.StatusQuery)
				others := []store.Class{store.Leadership, store.Urgent, store.Routine, store.Deferrable}
				_, heldBefore := meter.counts(others...)
				from, unanswered := sim.now(), sim.unansweredHeartbeats.Load()
				storm := sim.startQueryStorm(400)
				sim.sleep(2 * micro.Second)
				trouble(sim, leader)
				sim.waitUntil("a leader", micro.Minute, func() bool { return sim.leader() != nil })
				sim.sleep(2 * micro.Second)
				for end := from + stormS*micro.Second; sim.now() < end; sim.sleep(micro.Second) {
					for _, controller := range sim.controllers {
						if node := controller.runningNode(); node == nil || node.catalog.Load() == nil {
							continue // it takes no submission yet
						}
						if reply := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: micro.Second}).submitOnce(
							controller,
						); reply.Status != 201 &&
							reply.Status != 200 {
							t.Errorf("%.1f s: a submission to %s got %d", sim.now().Seconds(), controller.name, reply.Status)
						}
					}
					if s := replyState(running.queryStatus(sim.leader())); s != wire.JobRunning {
						t.Errorf("%.1f s: the job that runs is %q", sim.now().Seconds(), s)
					}
				}
				took := (sim.now() - from).Seconds()
				close(storm.stop)
				sim.sleep(3 * micro.Second)
				after, _ := meter.counts(store.StatusQuery)
				_, held := meter.counts(others...)
				if got := sim.unansweredHeartbeats.Load() - unanswered; name == "calm" && got > 0 {
					t.Errorf("%d reports were not answered", got)
				}
				if got := running.startCount(); got != 2 {
					t.Errorf("%d starts of two tasks: workers were not heard, or not answered", got)
				}
				if held > heldBefore {
					t.Errorf("%d requests other than polls were held back", held-heldBefore)
				}
				// For 3 s more what is under way comes to its end; bursts are of 1 s.
				if most := int(jobapi.LookupRateShare * queryStormStoreRPS * (took + 3 + 1)); after-before > most {
					t.Errorf("%d requests for polls in %.0f s, more than %d", after-before, took, most)
				}
				storm.mu.Lock()
				t.Logf(
					"%d polls: %d denied, %d told to come back, the slowest after %v; %d requests for them", storm.sent,
					storm.notFound, storm.retryLater, storm.slowest, after-before,
				)
				if storm.notFound == 0 || storm.slowest > 2*time.Second {
					t.Errorf("%d of %d were answered, the slowest after %v", storm.notFound, storm.sent, storm.slowest)
				}
				storm.mu.Unlock()
				running.cancel()
			})
		})
	}
}

// A node that the store refuses alone has its peers say which ids are unknown, and
// read the jobs that the leader does not answer for.
func TestRefusedNodeAnswersStatusQueriesThroughItsPeers(t *testing.T) {
	runScenario(t, 6, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 1}).submit()
		sim.waitUntil("runs", 2*micro.Minute, func() bool { return job.runningTasks() == 1 })
		others[0].setRefused(true)
		sim.partitionNode(leader, 5*micro.Second, "peers") // the other one has only the store to ask
		sim.sleep(micro.Second)
		if reply := (&userJob{sim: sim, id: fmt.Sprintf("j-%d", unknownIDBase)}).queryUnknown(
			others[0],
		); reply.Status != 404 {
			t.Errorf("an unknown id: %d", reply.Status)
		}
		if state := replyState(job.queryStatus(others[0])); state != wire.JobRunning {
			t.Errorf("a job that runs: %q", state)
		}
		others[0].setRefused(false)
		sim.sleep(10 * micro.Second)
		job.cancel()
	})
}

// queryUnknown asks for an id that the checker does not know.
func (j *userJob) queryUnknown(controller *controllerProcess) httpapi.Reply {
	r, _ := j.sim.callNode(controller, "users", 2*time.Second, func(n *Node) httpapi.Reply { return n.Status(j.id) })
	return r
}

// An legacyPeer runs the version before: it does not know the call that polls use.
type legacyPeer struct{}

func (legacyPeer) Call(_ context.Context, _, call string, body []byte, _ micro.Time) (int, []byte, error) {
	if call == peer.StoredStatus {
		return 200, wire.MustMarshal(wire.JobStatus{ID: string(body), State: wire.JobRunning, Running: 1}), nil
	}
	return 404, nil, nil
}

// Beside nodes of the version before, a node that the store refuses still has
// them read jobs for its status queries.
func TestRefusedNodeAnswersStatusQueriesThroughPeersOfPreviousRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestCluster(t)
		n, stop := env.startNodeWith("n-0", func(n *Node) {
			n.Cfg.Peers = []config.Peer{{Node: "n-1", Zone: "a"}}
			n.Peers = legacyPeer{}
		})
		defer env.stopNode(stop)
		env.store.SetOutage(true)
		if r := n.Status("j-000001"); r.Status != 200 {
			t.Errorf("got %d", r.Status)
		}
		env.store.SetOutage(false)
	})
}

// A spent store lets no request out: the node's budget is used.
type exhaustedStore struct{ store.Store }

func (exhaustedStore) ExistingKeys(context.Context, store.Class, []string) (map[string]bool, error) {
	return nil, store.ErrBudgetExhausted
}

func (exhaustedStore) Range(context.Context, store.Class, string, string, int) (wire.Page, error) {
	return wire.Page{}, store.ErrBudgetExhausted
}

// A callCountingPeer counts the calls to it.
type callCountingPeer struct{ calls atomic.Int64 }

func (c *callCountingPeer) Call(context.Context, string, string, []byte, micro.Time) (int, []byte, error) {
	c.calls.Add(1)
	return 503, nil, nil
}

// What is over a node's own budget gets 503 at once, and is not handed on to the
// other nodes, which have status queries of their own.
func TestStatusQueriesOverTheBudgetAreNotRelayed(t *testing.T) {
	env := newTestCluster(t)
	peers := &callCountingPeer{}
	node, stop := env.startNodeWith("n-0", func(node *Node) {
		node.election.SuspendCampaign(1 << 50)
		node.Store = exhaustedStore{env.store}
		node.Cfg.Peers = []config.Peer{{Node: "n-1", Zone: "a"}}
		node.Peers = peers
	})
	defer stop()
	node.jobs.RememberAccepted("j-000001") // one that was accepted, and one that may be unknown
	for _, id := range []string{"j-000001", "j-000002"} {
		if reply := node.Status(id); reply.Status != 503 || reply.RetryAfter == 0 {
			t.Errorf("%s: %+v", id, reply)
		}
	}
	if calls := peers.calls.Load(); calls > 0 {
		t.Errorf("%d calls to other nodes", calls)
	}
}

// Jobs that were over before the leader took over are answered at every node, at
// the first poll, whatever flood of unknown ids is under way: from the leader's
// memory, without a read of the store.
func TestFinishedJobsAreAnsweredDuringAStormOfUnknownIDs(t *testing.T) {
	meter := newRequestMeter(queryStormStoreRPS)
	runScenario(t, 4, 3, func(sim *simCluster) {
		sim.wrapStore = meter.wrapLink
		sim.fastBoot = true
		sim.config.Facts.State.RPS = queryStormStoreRPS
	}, func(sim *simCluster) {
		sim.waitForRestoredLeader()
		var jobs []*userJob
		for range 6 {
			jobs = append(jobs, sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: micro.Second}).submit())
		}
		for _, job := range jobs {
			sim.waitUntil(
				job.id+" done", 3*micro.Minute,
				func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
			)
		}
		sim.sleep(20 * micro.Second) // their records are deleted
		for _, controller := range sim.controllers {
			sim.killController(controller) // no node remembers what it has told
		}
		sim.sleep(micro.Second)
		for _, controller := range sim.controllers {
			sim.startController(controller)
		}
		leader, _ := sim.waitForRestoredLeader()
		storm := sim.startQueryStorm(3000)
		defer close(storm.stop)
		sim.sleep(5 * micro.Second)
		for _, job := range jobs {
			for _, controller := range sim.controllers {
				if got := replyState(job.queryStatus(controller)); got != wire.JobDone {
					t.Errorf("%s at %s, the leader is %s: %q", job.id, controller.name, leader.name, got)
				}
			}
		}
	})
}

// While nobody leads, a finished job is read from the store within a bound, also
// in a flood of unknown ids that uses up the status queries' budget again and again.
func TestFinishedJobIsReadDuringAStormWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestCluster(t)
		meter := newRequestMeter(queryStormStoreRPS)
		node, stop := env.startNodeWith("n-0", func(node *Node) {
			node.election.SuspendCampaign(1 << 50)
			node.Store = meter.wrapLink(fake.NewLink(env.store, rand.New(rand.NewPCG(1, 1))))
			node.Cfg.Facts.State.RPS = queryStormStoreRPS
		})
		node.setBudgetFractions(0.3, 0.3)
		defer env.stopNode(stop)
		finished := []string{"j-000001", "j-000002", "j-000003"}
		for _, id := range finished {
			env.storeFinishedJob(id)
		}
		ctx, calm := context.WithCancel(context.Background())
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				go node.Status(fmt.Sprintf("j-%d", unknownIDBase+i))
				time.Sleep(time.Millisecond)
			}
		}()
		time.Sleep(5 * time.Second)
		for _, id := range finished {
			tries := 0
			for answered := false; !answered && tries < 4; tries++ {
				reply := node.Status(id)
				if reply.Status == 404 {
					t.Fatal(id, "is denied")
				}
				answered = reply.Status == 200
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
// queried for, answers for each of them in turn: none is left without an answer.
func TestEveryJobIsAnsweredWhenLookupBudgetIsShort(t *testing.T) {
	const (
		jobs    = 80
		every   = 5 * time.Second
		patient = 75 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		env := newTestCluster(t)
		meter := newRequestMeter(queryStormStoreRPS)
		node, stop := env.startNodeWith("n-0", func(node *Node) {
			node.election.SuspendCampaign(1 << 50)
			node.Store = meter.wrapLink(fake.NewLink(env.store, rand.New(rand.NewPCG(1, 1))))
			node.Cfg.Facts.State.RPS = queryStormStoreRPS
		})
		node.setBudgetFractions(0.1, 0.1)
		defer env.stopNode(stop)
		var answered [jobs]time.Duration
		var polling sync.WaitGroup
		from := time.Now()
		draw := rand.New(rand.NewPCG(2, 2))
		for i := range jobs {
			id := fmt.Sprintf("j-%06d", i+1)
			if _, err := env.store.Commit(
				context.Background(), store.Routine,
				wire.Transaction{Then: []wire.Change{{Put: keys.JobSpec(id), Value: wire.Job{ID: id, Tasks: 1}}}},
			); err != nil {
				t.Fatal(err)
			}
			first := time.Duration(draw.Int64N(int64(every)))
			jitter := rand.New(rand.NewPCG(3, uint64(i)))
			polling.Go(func() {
				time.Sleep(first)
				for time.Since(from) < patient {
					if reply := node.Status(id); reply.Status == 200 && answered[i] == 0 {
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
		sent, _ := meter.counts(store.StatusQuery)
		t.Logf("%d requests, the last job got its first answer after %v", sent, last)
		if missed > 0 {
			t.Errorf("%d of %d jobs got no answer in %v", missed, jobs, patient)
		}
	})
}

// stopNode stops a node in fake time, and waits until what it has under way is over.
func (b *testCluster) stopNode(stop func()) {
	stop()
	time.Sleep(time.Minute)
}

// storeFinishedJob puts a job that is done into the store.
func (b *testCluster) storeFinishedJob(id string) {
	b.t.Helper()
	_, err := b.store.Commit(context.Background(), store.Routine, wire.Transaction{Then: []wire.Change{
		{
			Put:   keys.JobSpec(id),
			Value: wire.Job{ID: id, Tasks: 1},
		},
		{Put: keys.JobEnd(id), Value: map[string]any{"state": "done"}},
	}})
	if err != nil {
		b.t.Fatal(err)
	}
}

// A gated store holds back answers, read already, until it is told to let go.
type gatedStore struct {
	*rateLimitedStore
	release chan struct{}
}

func (s gatedStore) ExistingKeys(ctx context.Context, c store.Class, keys []string) (map[string]bool, error) {
	there, err := s.rateLimitedStore.ExistingKeys(ctx, c, keys)
	<-s.release
	return there, err
}

func (s gatedStore) Range(ctx context.Context, c store.Class, prefix, after string, limit int) (wire.Page, error) {
	page, err := s.rateLimitedStore.Range(ctx, c, prefix, after, limit)
	<-s.release
	return page, err
}

// startGatedNode is a node that knows of no leader.
func startGatedNode(t *testing.T) (*testCluster, *Node, *requestMeter, gatedStore) {
	env := newTestCluster(t)
	meter := newRequestMeter(0)
	gate := gatedStore{
		rateLimitedStore: meter.wrapLink(fake.NewLink(env.store, rand.New(rand.NewPCG(1, 1)))).(*rateLimitedStore),
		release:          make(chan struct{}),
	}
	n, stop := env.startNodeWith("n-0", func(n *Node) {
		n.election.SuspendCampaign(1 << 50)
		n.Store = gate
	})
	t.Cleanup(func() { env.stopNode(stop) })
	return env, n, meter, gate
}

// A look-up that has read that a job is unknown, and is slow to say so, must not
// answer a status query that came after another node accepted the job.
func TestStatusQuerySharesNoLookupStartedBeforeAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, node, _, gate := startGatedNode(t)
		before, after := make(chan httpapi.Reply, 1), make(chan httpapi.Reply, 1)
		go func() { before <- node.Status("j-000001") }()
		time.Sleep(2 * storeLatency.Duration()) // the store has answered, the node has not heard it
		env.storeFinishedJob("j-000001")
		go func() { after <- node.Status("j-000001") }()
		time.Sleep(2 * storeLatency.Duration())
		close(gate.release)
		if reply := <-before; reply.Status != 404 {
			t.Errorf("asked before: %d", reply.Status)
		}
		if reply := <-after; reply.Status != 200 {
			t.Errorf("asked after the job was accepted: %d", reply.Status)
		}
	})
}

// The same for a read of a job that was accepted: what began before the job was
// over must not answer a status query that came after another node said that it is.
func TestStatusQuerySharesNoReadStartedBeforeTheJobEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, node, _, gate := startGatedNode(t)
		if _, err := env.store.Commit(
			context.Background(), store.Routine,
			wire.Transaction{Then: []wire.Change{{Put: keys.JobSpec("j-000001"), Value: wire.Job{ID: "j-000001", Tasks: 1}}}},
		); err != nil {
			t.Fatal(err)
		}
		node.jobs.RememberAccepted("j-000001")
		before, after := make(chan httpapi.Reply, 1), make(chan httpapi.Reply, 1)
		go func() { before <- node.Status("j-000001") }()
		time.Sleep(2 * storeLatency.Duration())
		gate.release <- struct{}{}              // the records of its tasks
		time.Sleep(2 * storeLatency.Duration()) // its own keys are read, the node has not heard it
		env.storeFinishedJob("j-000001")
		go func() { after <- node.Status("j-000001") }()
		time.Sleep(2 * storeLatency.Duration())
		close(gate.release)
		if state := replyState(<-before); state != wire.JobPending {
			t.Errorf("asked before: %q", state)
		}
		if state := replyState(<-after); state != wire.JobDone {
			t.Errorf("asked after another node said done: %q", state)
		}
	})
}

// Equal polls at the same time, and status queries for many unknown ids, share requests.
func TestConcurrentStatusQueriesShareRequests(t *testing.T) {
	const polls = 500
	for name, test := range map[string]struct {
		known, accepted bool // the node knows that the job was accepted; it was
		id              func(i int) string
		status, most    int
	}{
		"equal, unknown":     {false, false, func(int) string { return "j-000001" }, 404, 2},
		"equal, accepted":    {true, true, func(int) string { return "j-000001" }, 200, 2 * jobapi.RequestsPerRead},
		"equal, not heard":   {false, true, func(int) string { return "j-000001" }, 200, 2 + 2*jobapi.RequestsPerRead},
		"different, unknown": {false, false, func(i int) string { return fmt.Sprintf("j-%d", unknownIDBase+i%90) }, 404, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env, node, meter, gate := startGatedNode(t)
				if test.accepted {
					// Not over: a final state would be remembered, and read once.
					if _, err := env.store.Commit(
						context.Background(), store.Routine,
						wire.Transaction{Then: []wire.Change{{Put: keys.JobSpec("j-000001"), Value: wire.Job{ID: "j-000001", Tasks: 1}}}},
					); err != nil {
						t.Fatal(err)
					}
				}
				if test.known {
					node.jobs.RememberAccepted("j-000001")
				}
				var polled sync.WaitGroup
				for i := range polls {
					polled.Go(func() {
						if reply := node.Status(test.id(i)); reply.Status != test.status {
							t.Errorf("poll %d: %d", i, reply.Status)
						}
					})
				}
				synctest.Wait()
				close(gate.release)
				polled.Wait()
				if sent, _ := meter.counts(store.StatusQuery, store.Routine); sent > test.most {
					t.Errorf("%d requests for %d polls, at most %d expected", sent, polls, test.most)
				}
			})
		})
	}
}

// What cannot be a job's id is denied without asking anyone, whoever asks.
func TestMalformedIDsCauseNoStoreRequests(t *testing.T) {
	env := newTestCluster(t)
	meter := newRequestMeter(0)
	node, stop := env.startNodeWith("n-0", func(node *Node) {
		node.election.SuspendCampaign(1 << 50)
		node.Store = meter.wrapLink(fake.NewLink(env.store, rand.New(rand.NewPCG(1, 1))))
	})
	defer stop()
	for _, id := range []string{"", "j-", "j", "j-1x", "x-000001", "j-000001/../x", "J-000001", "j-0000 1", "j-٣"} {
		if reply := node.Status(id); reply.Status != 404 {
			t.Errorf("%q: %d", id, reply.Status)
		}
		if status, _ := node.handlePeerCall(context.Background(), peer.StoredStatus, []byte(id)); status != 404 {
			t.Errorf("%q from a peer: %d", id, status)
		}
	}
	if sent, _ := meter.counts(store.StatusQuery, store.Routine); sent > 0 {
		t.Errorf("%d requests", sent)
	}
}

// Status queries come last in what is left of a node's budget.
func TestStatusQueriesHaveLowestBudgetPriority(t *testing.T) {
	for _, c := range []store.Class{store.Leadership, store.Urgent, store.Routine, store.Deferrable} {
		lim := rate.NewLimiter(0, 100)
		for store.Admit(lim, store.StatusQuery, 1) {
		}
		if !store.Admit(lim, c, 1) {
			t.Errorf("polls leave nothing to class %d", c)
		}
	}
}
