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

// requestMeter counts, by class, the requests that reach the store, and those rejected by a rate limit of the node or
// of the store.
type requestMeter struct {
	mu      sync.Mutex
	limiter *rate.Limiter // limit of the store for all nodes together; nil: unlimited
	rps     float64       // limit of the store, in requests a second; 0: unlimited
	sent    map[store.Class]int
	refused map[store.Class]int
}

// newRequestMeter returns a meter for a store that accepts rps requests a second, or any number if rps is 0.
func newRequestMeter(rps float64) *requestMeter {
	meter := &requestMeter{rps: rps, sent: map[store.Class]int{}, refused: map[store.Class]int{}}
	if rps > 0 {
		meter.limiter = rate.NewLimiter(rate.Limit(rps), int(rps))
	}
	return meter
}

// counts returns how many requests of the classes reached the store, and how many were rejected by a rate limit.
func (m *requestMeter) counts(classes ...store.Class) (sent, refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range classes {
		sent, refused = sent+m.sent[c], refused+m.refused[c]
	}
	return sent, refused
}

// storeLatency is the response time of the store.
const storeLatency = 8 * micro.Millisecond

// rateLimitedStore is one node's connection to the store, with the request budget of the real client and the rate limit
// of the real store.
type rateLimitedStore struct {
	*fake.Link
	meter       *requestMeter
	nodeLimiter *rate.Limiter // the node's budget
}

// wrapLink returns a rate-limited, metered store over a link. It sets the delay of the link to storeLatency.
func (m *requestMeter) wrapLink(l *fake.Link) store.Store {
	l.SetDelay(storeLatency)
	nodeLimiter := rate.NewLimiter(rate.Limit(m.rps/3), max(1, int(m.rps/3))) // starts full, like the real client's
	return &rateLimitedStore{Link: l, meter: m, nodeLimiter: nodeLimiter}
}

func (s *rateLimitedStore) SetBudgetFraction(reads, writes float64) {
	s.Link.SetBudgetFraction(reads, writes)
	if s.meter.rps > 0 {
		s.nodeLimiter.SetLimit(rate.Limit(s.meter.rps * reads))
		s.nodeLimiter.SetBurst(max(1, int(s.meter.rps*reads)))
	}
}

// admit counts a request of the class, and returns an error if the node's budget is exhausted or the store's rate limit
// reached.
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

const (
	queryStormStoreRPS = 90        // limit of the store during a query storm, in requests a second
	unknownIDBase      = 7_000_000 // number of the first ID that is never submitted
)

// queryStorm sends status queries for IDs that were never submitted to every node, and counts the replies.
type queryStorm struct {
	sim        *simCluster
	mu         sync.Mutex
	sent       int
	notFound   int // answered 404
	retryLater int // answered 503 with Retry-After
	slowest    time.Duration
	stop       chan struct{}
}

// startQueryStorm sends perSecond status queries a second to every node until the stop channel of the storm is closed.
func (w *simCluster) startQueryStorm(perSecond int) *queryStorm {
	storm := &queryStorm{sim: w, stop: make(chan struct{})}
	const gap = 10 * time.Millisecond
	batch := perSecond * int(gap/time.Millisecond) / 1000
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
				for range batch {
					go storm.query(controller)
				}
			}
		}
	}()
	return storm
}

// query sends one status query for a new unknown ID and records the reply.
func (s *queryStorm) query(controller *controllerProcess) {
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
		s.sim.t.Errorf("status query for an unknown ID: status %d, want 404 or 503", reply.Status)
	}
}

// A storm of status queries for unknown IDs delays no lease renewal, no write and no submission: not in normal
// operation, while the store refuses one node or is down, or during a leader election. All look-ups together stay
// within the share of the store's rate limit that is reserved for status queries.
func TestStatusQueryStormDelaysNoOtherRequests(t *testing.T) {
	const stormS = 20
	for name, injectFault := range map[string]func(sim *simCluster, leader *controllerProcess){
		"no fault": func(*simCluster, *controllerProcess) {},
		"one node refused by the store": func(sim *simCluster, leader *controllerProcess) {
			sim.refuseNode(sim.otherControllers(leader)[0], 10*micro.Second)
		},
		"store outage": func(sim *simCluster, _ *controllerProcess) {
			sim.store.SetOutage(true)
			sim.sleep(8 * micro.Second)
			sim.store.SetOutage(false)
		},
		"leader election": func(sim *simCluster, leader *controllerProcess) { sim.restartController(leader, 5*micro.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			meter := newRequestMeter(queryStormStoreRPS)
			runScenario(t, 3, 3, func(sim *simCluster) {
				sim.wrapStore = meter.wrapLink
				sim.config.Facts.State.RPS = queryStormStoreRPS
			}, func(sim *simCluster) {
				leader, _ := sim.waitForRestoredLeader()
				running := sim.newJob(jobRequest{kind: wire.Service, tasks: 2}).submit()
				sim.waitUntil("both tasks run", 2*micro.Minute, func() bool { return running.runningTasks() == 2 })
				sim.sleep(10 * micro.Second)
				before, _ := meter.counts(store.StatusQuery)
				others := []store.Class{store.Leadership, store.Urgent, store.Routine, store.Deferrable}
				_, refusedBefore := meter.counts(others...)
				from, unanswered := sim.now(), sim.unansweredHeartbeats.Load()
				storm := sim.startQueryStorm(400)
				sim.sleep(2 * micro.Second)
				injectFault(sim, leader)
				sim.waitUntil("a leader is elected", micro.Minute, func() bool { return sim.leader() != nil })
				sim.sleep(2 * micro.Second)
				for end := from + stormS*micro.Second; sim.now() < end; sim.sleep(micro.Second) {
					for _, controller := range sim.controllers {
						if node := controller.runningNode(); node == nil || node.catalog.Load() == nil {
							continue // it does not accept submissions yet
						}
						if reply := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: micro.Second}).submitOnce(
							controller,
						); reply.Status != 201 &&
							reply.Status != 200 {
							t.Errorf(
								"%.1f s: submission to %s: status %d, want 201 or 200",
								sim.now().Seconds(), controller.name, reply.Status,
							)
						}
					}
					if s := replyState(running.queryStatus(sim.leader())); s != wire.JobRunning {
						t.Errorf("%.1f s: the running job is reported as %q", sim.now().Seconds(), s)
					}
				}
				took := (sim.now() - from).Seconds()
				close(storm.stop)
				sim.sleep(3 * micro.Second)
				after, _ := meter.counts(store.StatusQuery)
				_, refused := meter.counts(others...)
				if got := sim.unansweredHeartbeats.Load() - unanswered; name == "no fault" && got > 0 {
					t.Errorf("%d heartbeats were not answered", got)
				}
				if got := running.startCount(); got != 2 {
					t.Errorf("%d starts of two tasks, want 2: heartbeats were lost or not answered", got)
				}
				if refused > refusedBefore {
					t.Errorf("%d requests other than status queries were rejected by a rate limit", refused-refusedBefore)
				}
				// 3 s for the status queries in flight at the end, and 1 s for the burst of the limiter.
				if limit := int(jobapi.LookupRateShare * queryStormStoreRPS * (took + 3 + 1)); after-before > limit {
					t.Errorf("%d store requests for status queries in %.0f s, want at most %d", after-before, took, limit)
				}
				storm.mu.Lock()
				t.Logf(
					"%d status queries: %d answered 404, %d 503, the slowest after %v; %d store requests", storm.sent,
					storm.notFound, storm.retryLater, storm.slowest, after-before,
				)
				if storm.notFound == 0 || storm.slowest > 2*time.Second {
					t.Errorf(
						"%d of %d status queries were answered 404, the slowest reply came after %v",
						storm.notFound, storm.sent, storm.slowest,
					)
				}
				storm.mu.Unlock()
				running.cancel()
			})
		})
	}
}

// A node that the store alone refuses asks its peers which IDs are unknown, and has them read the status of jobs for
// which it cannot reach the leader.
func TestRefusedNodeAnswersStatusQueriesThroughItsPeers(t *testing.T) {
	runScenario(t, 6, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 1}).submit()
		sim.waitUntil("the job runs", 2*micro.Minute, func() bool { return job.runningTasks() == 1 })
		others[0].setRefused(true)
		sim.partitionNode(leader, 5*micro.Second, "peers") // the other peer can only read the store
		sim.sleep(micro.Second)
		if reply := (&userJob{sim: sim, id: fmt.Sprintf("j-%d", unknownIDBase)}).queryUnknown(
			others[0],
		); reply.Status != 404 {
			t.Errorf("unknown ID: status %d, want 404", reply.Status)
		}
		if state := replyState(job.queryStatus(others[0])); state != wire.JobRunning {
			t.Errorf("the running job is reported as %q", state)
		}
		others[0].setRefused(false)
		sim.sleep(10 * micro.Second)
		job.cancel()
	})
}

// queryUnknown queries the status of an ID that the checker does not track.
func (j *userJob) queryUnknown(controller *controllerProcess) httpapi.Reply {
	r, _ := j.sim.callNode(controller, "users", 2*time.Second, func(n *Node) httpapi.Reply { return n.Status(j.id) })
	return r
}

// legacyPeer is a peer of the previous release: it lacks the call that status queries use now, and answers
// peer.StoredStatus only.
type legacyPeer struct{}

func (legacyPeer) Call(_ context.Context, _, call string, body []byte, _ micro.Time) (int, []byte, error) {
	if call == peer.StoredStatus {
		return 200, wire.MustMarshal(wire.JobStatus{ID: string(body), State: wire.JobRunning, Running: 1}), nil
	}
	return 404, nil, nil
}

// A node that the store refuses has peers of the previous release read the status of jobs from the store.
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
			t.Errorf("status %d, want 200", r.Status)
		}
		env.store.SetOutage(false)
	})
}

// exhaustedStore is a store client whose request budget is used up.
type exhaustedStore struct{ store.Store }

func (exhaustedStore) ExistingKeys(context.Context, store.Class, []string) (map[string]bool, error) {
	return nil, store.ErrBudgetExhausted
}

func (exhaustedStore) Range(context.Context, store.Class, string, string, int) (wire.Page, error) {
	return wire.Page{}, store.ErrBudgetExhausted
}

// callCountingPeer counts the calls to it and answers each with 503.
type callCountingPeer struct{ calls atomic.Int64 }

func (c *callCountingPeer) Call(context.Context, string, string, []byte, micro.Time) (int, []byte, error) {
	c.calls.Add(1)
	return 503, nil, nil
}

// Status queries beyond the node's own budget get 503 at once, and are not relayed to peers, which have status queries
// of their own to answer.
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
	node.jobs.RememberAccepted("j-000001") // j-000001 was accepted, j-000002 may be unknown
	for _, id := range []string{"j-000001", "j-000002"} {
		if reply := node.Status(id); reply.Status != 503 || reply.RetryAfter == 0 {
			t.Errorf("%s: got %+v, want status 503 with Retry-After", id, reply)
		}
	}
	if calls := peers.calls.Load(); calls > 0 {
		t.Errorf("%d calls to peers, want none", calls)
	}
}

// Every node answers the first status query for a job that ended before the leader's term, even during a storm of
// queries for unknown IDs: the leader has the final status in memory, so no read of the store is needed.
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
		sim.sleep(20 * micro.Second) // their chunk records are deleted meanwhile
		for _, controller := range sim.controllers {
			sim.killController(controller) // so that no node has cached a status
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
					t.Errorf("%s is reported by %s (leader %s) as %q, want done", job.id, controller.name, leader.name, got)
				}
			}
		}
	})
}

// Without a leader, the status of a finished job is read from the store within at most three status queries, even while
// a storm of queries for unknown IDs keeps exhausting the look-up budget.
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
		ctx, stopStorm := context.WithCancel(context.Background())
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				go node.Status(fmt.Sprintf("j-%d", unknownIDBase+i))
				time.Sleep(time.Millisecond)
			}
		}()
		time.Sleep(5 * time.Second)
		for _, id := range finished {
			attempts := 0
			for answered := false; !answered && attempts < 4; attempts++ {
				reply := node.Status(id)
				if reply.Status == 404 {
					t.Fatal(id, "is reported as unknown")
				}
				answered = reply.Status == 200
				time.Sleep(time.Second)
			}
			if attempts > 3 {
				t.Errorf("%s: no status after %d status queries, want it after at most 3", id, attempts)
			}
		}
		stopStorm()
	})
}

// A node that must read every status from the store, with a budget far below the rate of status queries, answers for
// the jobs in turn: each job gets an answer within 75 s.
func TestEveryJobIsAnsweredWhenLookupBudgetIsShort(t *testing.T) {
	const (
		jobs     = 80
		interval = 5 * time.Second // mean interval of the queries for one job
		deadline = 75 * time.Second
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
		rng := rand.New(rand.NewPCG(2, 2))
		for i := range jobs {
			id := fmt.Sprintf("j-%06d", i+1)
			if _, err := env.store.Commit(
				context.Background(), store.Routine,
				wire.Transaction{Then: []wire.Change{{Put: keys.JobSpec(id), Value: wire.Job{ID: id, Tasks: 1}}}},
			); err != nil {
				t.Fatal(err)
			}
			firstDelay := time.Duration(rng.Int64N(int64(interval)))
			jitter := rand.New(rand.NewPCG(3, uint64(i)))
			polling.Go(func() {
				time.Sleep(firstDelay)
				for time.Since(from) < deadline {
					if reply := node.Status(id); reply.Status == 200 && answered[i] == 0 {
						answered[i] = time.Since(from)
					}
					time.Sleep(interval - 500*time.Millisecond + time.Duration(jitter.Int64N(int64(time.Second))))
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
		t.Logf("%d store requests; the last job got its first answer after %v", sent, last)
		if missed > 0 {
			t.Errorf("%d of %d jobs got no answer within %v", missed, jobs, deadline)
		}
	})
}

// stopNode stops a node in fake time, and waits a minute for its operations in flight to end.
func (b *testCluster) stopNode(stop func()) {
	stop()
	time.Sleep(time.Minute)
}

// storeFinishedJob stores the records of a job that is done.
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

// gatedStore executes reads at once, but delays each response until a receive from release succeeds; closing release
// lets all responses pass.
type gatedStore struct {
	*rateLimitedStore
	release chan struct{}
}

func (s gatedStore) ExistingKeys(ctx context.Context, c store.Class, keys []string) (map[string]bool, error) {
	existing, err := s.rateLimitedStore.ExistingKeys(ctx, c, keys)
	<-s.release
	return existing, err
}

func (s gatedStore) Range(ctx context.Context, c store.Class, prefix, after string, limit int) (wire.Page, error) {
	page, err := s.rateLimitedStore.Range(ctx, c, prefix, after, limit)
	<-s.release
	return page, err
}

// startGatedNode starts a node that knows no leader and reads the store through a gatedStore.
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

// A look-up that read a job as unknown, but whose response is delayed, must not answer a status query that arrived
// after another node accepted the job.
func TestStatusQuerySharesNoLookupStartedBeforeAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, node, _, gate := startGatedNode(t)
		before, after := make(chan httpapi.Reply, 1), make(chan httpapi.Reply, 1)
		go func() { before <- node.Status("j-000001") }()
		time.Sleep(2 * storeLatency.Duration()) // the store has executed the read, its response is delayed
		env.storeFinishedJob("j-000001")
		go func() { after <- node.Status("j-000001") }()
		time.Sleep(2 * storeLatency.Duration())
		close(gate.release)
		if reply := <-before; reply.Status != 404 {
			t.Errorf("query before the job was accepted: status %d, want 404", reply.Status)
		}
		if reply := <-after; reply.Status != 200 {
			t.Errorf("query after the job was accepted: status %d, want 200", reply.Status)
		}
	})
}

// A read of an accepted job that started before the job ended must not answer a status query that arrived after another
// node reported the job as done.
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
		gate.release <- struct{}{}              // the read of the chunk records returns
		time.Sleep(2 * storeLatency.Duration()) // the job's own keys are read, the response is delayed
		env.storeFinishedJob("j-000001")
		go func() { after <- node.Status("j-000001") }()
		time.Sleep(2 * storeLatency.Duration())
		close(gate.release)
		if state := replyState(<-before); state != wire.JobPending {
			t.Errorf("query before the job ended: %q, want pending", state)
		}
		if state := replyState(<-after); state != wire.JobDone {
			t.Errorf("query after the job ended: %q, want done", state)
		}
	})
}

// Concurrent status queries for the same job, and for many unknown IDs, share requests to the store.
func TestConcurrentStatusQueriesShareRequests(t *testing.T) {
	const queries = 500
	for name, test := range map[string]struct {
		known, accepted     bool // known: the node knows that the job was accepted
		id                  func(i int) string
		status, maxRequests int
	}{
		"equal, unknown":     {false, false, func(int) string { return "j-000001" }, 404, 2},
		"equal, accepted":    {true, true, func(int) string { return "j-000001" }, 200, 2 * jobapi.RequestsPerRead},
		"equal, not known":   {false, true, func(int) string { return "j-000001" }, 200, 2 + 2*jobapi.RequestsPerRead},
		"different, unknown": {false, false, func(i int) string { return fmt.Sprintf("j-%d", unknownIDBase+i%90) }, 404, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env, node, meter, gate := startGatedNode(t)
				if test.accepted {
					// The job has not ended: a final status would be cached after one read.
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
				var answered sync.WaitGroup
				for i := range queries {
					answered.Go(func() {
						if reply := node.Status(test.id(i)); reply.Status != test.status {
							t.Errorf("status query %d: unexpected status %d", i, reply.Status)
						}
					})
				}
				synctest.Wait()
				close(gate.release)
				answered.Wait()
				if sent, _ := meter.counts(store.StatusQuery, store.Routine); sent > test.maxRequests {
					t.Errorf("%d store requests for %d status queries, want at most %d", sent, queries, test.maxRequests)
				}
			})
		})
	}
}

// Malformed job IDs are answered 404 to users and peers without any request to the store.
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
			t.Errorf("ID %q from a user: status %d, want 404", id, reply.Status)
		}
		if status, _ := node.handlePeerCall(context.Background(), peer.StoredStatus, []byte(id)); status != 404 {
			t.Errorf("ID %q from a peer: status %d, want 404", id, status)
		}
	}
	if sent, _ := meter.counts(store.StatusQuery, store.Routine); sent > 0 {
		t.Errorf("%d requests to the store, want none", sent)
	}
}

// Status queries have the lowest priority in a node's request budget: once they are refused, it still admits requests
// of every other class.
func TestStatusQueriesHaveLowestBudgetPriority(t *testing.T) {
	for _, c := range []store.Class{store.Leadership, store.Urgent, store.Routine, store.Deferrable} {
		limiter := rate.NewLimiter(0, 100)
		for store.Admit(limiter, store.StatusQuery, 1) {
		}
		if !store.Admit(limiter, c, 1) {
			t.Errorf("status queries leave no budget for requests of class %d", c)
		}
	}
}
