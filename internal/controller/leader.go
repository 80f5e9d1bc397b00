package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/detector"
	"notchmux.dev/notchmux/internal/dispatch"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard/coordinator"
	"notchmux.dev/notchmux/internal/statestore"
)

// Leader is one term of leadership. Its loop owns the model.
type Leader struct {
	node *Node
	term *election.Term
	log  *slog.Logger
	loop *eventloop.Loop

	pendingTasks atomic.Int64
	knownJobs    sync.Map    // ids of jobs in the model
	serving      atomic.Bool // the takeover is over: known holds all jobs that it read

	// Owned by the loop.
	cluster                  *cluster.State
	scheduler                *scheduler.Scheduler
	planner                  *autoscaler.Planner
	speeds                   *scheduler.SpeedEstimator
	objectives               *scheduler.Objectives
	records                  *persist.Records
	dispatcher               *dispatch.Dispatcher
	detector                 *detector.Detector
	schedulePending          bool
	lastSchedule             micro.Time
	scheduleInterval         micro.Time // least time between passes, by what the last one took
	lastSweep                micro.Time
	lastPlan                 micro.Time
	lastSpeedWrite           micro.Time
	lastStatusLog            micro.Time
	instanceRequests         map[string]*instanceRequest
	instanceRequestCount     int
	requestQueue             []*instanceRequest // rentals whose turn is to come
	requestsInFlight         int                // rentals under way
	firstProvisionedRecord   *statestore.Record
	firstProvisioned         string                      // the first machine that the service ever rented
	inventoryAt              micro.Time                  // when the list that was read last was asked for
	pendingTerminations      map[*cluster.Machine]uint64 // machines to be returned, with the version of their rental's record that must be stored before
	renewalBound             *leasekeeper.RenewalBound
	fencedZones              atomic.Pointer[map[string]bool] // zones whose keepers are not answered; nil: all
	pendingCancellations     map[*cluster.Job]bool           // withdrawn jobs whose users are not told yet
	unconfirmedCancellations map[*cluster.Job]bool           // those whose users were told, with places not proven free
	cancellationWaiters      map[string][]chan httpapi.Reply
	dependencyLookups        map[string]bool // awaited jobs to be looked up in the store
	recovered                bool            // the takeover has read everything
	dependencyLookupInFlight bool            // a look-up is under way

	owner            *ownedShard              // what this loop owns; nil: it is the leader's
	responsesBlocked atomic.Bool              // an owner that may say nothing, for a hand-over is under way or in doubt
	coordinator      *coordinator.Coordinator // the leader's part in shares; nil: the feature is off
}

// newLeader makes the loop of a term of leadership.
func newLeader(n *Node, t *election.Term) *Leader {
	l := newEventLoop(n, t, dispatch.FirstFencingToken(t.FencingRevision), n.Log.With("term", t.FencingRevision))
	l.records = newRecords(l, leaderRole{l})
	zones := map[string]string{}
	for _, p := range n.Cfg.Peers {
		zones[p.Node] = p.Zone
	}
	l.renewalBound = leasekeeper.NewRenewalBound(
		t.FencingRevision, l.cluster.TermStartedAt, n.Cfg.LeaseProxyDuration(), zones, n.Cfg.Zone,
	)
	for _, t := range n.Cfg.Facts.Teams {
		l.cluster.Teams[t.Name] = &cluster.Team{
			Name: t.Name, GuaranteedCPUs: t.CPUs, CPULimit: t.CPUsMax, GuaranteedGPUs: t.GPUs, GPULimit: t.GPUsMax,
		}
	}
	l.coordinator = newCoordinator(l)
	return l
}

// newEventLoop makes a loop that gives out tokens from the first one on.
func newEventLoop(node *Node, term *election.Term, firstToken uint64, log *slog.Logger) *Leader {
	l := &Leader{
		node:                     node,
		term:                     term,
		log:                      log,
		loop:                     eventloop.New(),
		instanceRequests:         map[string]*instanceRequest{},
		pendingTerminations:      map[*cluster.Machine]uint64{},
		cancellationWaiters:      map[string][]chan httpapi.Reply{},
		dependencyLookups:        map[string]bool{},
		pendingCancellations:     map[*cluster.Job]bool{},
		unconfirmedCancellations: map[*cluster.Job]bool{},
	}
	l.cluster = cluster.New(l)
	l.cluster.MinFencingToken = firstToken
	l.cluster.TermStartedAt = node.Now()
	l.cluster.LeaseDuration = node.Cfg.LeaseExpiredAfter()
	l.cluster.QuarantineThreshold = node.Cfg.QuarantineFailedJobs
	l.cluster.Verbose = node.Log.Enabled(context.Background(), slog.LevelDebug)
	l.objectives = scheduler.NewObjectives(node.Cfg.Facts.Objectives)
	l.speeds = scheduler.NewSpeedEstimator()
	l.scheduler = &scheduler.Scheduler{
		Cluster: l.cluster, Objectives: l.objectives, Properties: &node.Cfg.Properties,
		Rand: rand.New(rand.NewPCG(term.FencingRevision, 1)),
	}
	l.planner = &autoscaler.Planner{
		Cluster: l.cluster, Objectives: l.objectives, Properties: &node.Cfg.Properties,
		RefusedUntil: map[autoscaler.InstanceOffer]micro.Time{}, ConsecutiveRefusals: map[autoscaler.InstanceOffer]int{},
		PendingRequests: map[string]autoscaler.ScaleOut{},
	}
	l.scheduler.WithinPrice = l.planner.WithinPrice
	l.dispatcher = dispatch.New(firstToken, dispatch.Dependencies{
		Cluster: l.cluster, Loop: l.loop, Sender: node.Agent, Log: l.log,
		Now: func() micro.Time { return node.Now() }, Host: dispatchHost{l},
	})
	l.detector = detector.New(detector.Dependencies{
		Cluster: l.cluster, Config: node.Cfg, MaxInventoryAge: maxInventoryAge,
		FencingTokens: l.dispatcher, Handovers: &node.handovers, Host: detectorHost{l},
	})
	return l
}

// holdsLease reports whether this loop may answer and send orders; any goroutine may ask.
func (l *Leader) holdsLease() bool {
	return !l.responsesBlocked.Load() && l.term.HoldsLease(l.node.Now())
}

// post hands the loop something to do; it is dropped once the term is over.
func (l *Leader) post(f func()) { l.loop.Post(funcEvent(f)) }

// funcEvent is an event that has no type of its own yet.
type funcEvent func()

// Apply runs it.
func (f funcEvent) Apply() { f() }

// callLoop runs f in the loop and waits for its reply, but not for long. Heartbeats and
// cancellations go before queries.
func (l *Leader) callLoop(
	queue eventloop.Queue, timeout micro.Time, f func(reply func(httpapi.Reply)),
) (httpapi.Reply, bool) {
	event := func(reply eventloop.Reply[httpapi.Reply]) eventloop.Event {
		return funcEvent(func() { f(reply.Send) })
	}
	answer, ok := eventloop.Call(l.loop, queue, timeout, event)
	// The lease may have lapsed meanwhile: then nothing may be said.
	return answer, ok && l.holdsLease()
}

// run is the leader's loop: it takes over what the store holds, then serves events.
func (l *Leader) run(ctx context.Context) {
	l.loop.StopWith(ctx)
	from := l.node.Now()
	rev, ok := l.recoverState(ctx)
	if !ok {
		return
	}
	l.serving.Store(true)
	l.log.Info(
		"took over", "jobs", len(l.cluster.Jobs), "machines", len(l.cluster.Machines), "took_ms",
		int64((l.node.Now()-from)/micro.Millisecond),
	)
	go l.watchSubmissions(ctx, rev)
	go l.pollInventory(ctx)
	l.serve(l.tick)
}

// serve serves events, and ticks, until the loop is stopped.
func (l *Leader) serve(tick func(now micro.Time)) {
	l.loop.Run(eventloop.Handlers{Now: l.node.Now, Tick: tick, AfterEvents: l.runPending})
}

// runPending does what the events called for: place, write, send.
func (l *Leader) runPending(now micro.Time) {
	if !l.holdsLease() {
		return
	}
	if l.schedulePending && now-l.lastSchedule > l.scheduleInterval && l.mayPlace() {
		l.schedulePending = false
		l.lastSchedule = now
		l.scheduler.Schedule(now)
		took := l.node.Now() - now
		l.scheduleInterval = min(max(scheduleTimeDivisor*took, minScheduleInterval), maxScheduleInterval)
		l.scheduler.Overloaded = took > l.node.Cfg.SampleAbovePassTime
		l.node.Metrics.Observe("pass", took)
	}
	for job := range l.pendingCancellations {
		l.completeCancellation(job, now)
	}
	l.records.Flush(now)
	l.dispatcher.SendPending(now)
}

// Passes take at most one part in scheduleTimeDivisor of the time.
const (
	scheduleTimeDivisor = 8
	minScheduleInterval = 40 * micro.Millisecond
	maxScheduleInterval = micro.Second
)

func (l *Leader) tick(now micro.Time) {
	if !l.detector.ObserveLease(l.holdsLease(), now) {
		return
	}
	if now-l.lastSweep >= 500*micro.Millisecond {
		l.lastSweep = now
		l.sweep(now)
	}
	l.lookUpDependencies()
	l.coordinator.Reconcile(now)
	if now-l.lastPlan >= l.planInterval() {
		l.lastPlan = now
		l.planScaling(now)
		l.schedulePending = true // backoffs and reservations run out
		l.reviewPendingJobs(now)
	}
	l.records.Images.WriteIfDue(now)
	l.prune(l.records.PruneIfDue(now))
	if now-l.lastStatusLog >= statusLogInterval {
		l.lastStatusLog = now
		l.logStatus()
	}
	if now-l.lastSpeedWrite >= l.node.Cfg.SpeedWriteInterval {
		l.lastSpeedWrite = now
		if l.speeds.TakeDirty() {
			l.speeds.Apply(l.cluster)
			for _, machineType := range l.cluster.CatalogOrder {
				l.log.Debug(
					"speed", "type", machineType.Name, "k", machineType.SpeedFactor, "learnt",
					l.speeds.Record().Speeds[machineType.Name],
				)
			}
			l.records.WriteSpeeds(now)
		}
	}
	l.dispatcher.CheckToken(now)
}

// planInterval is how often rentals are planned: more often while nothing is there
// to place work on.
func (l *Leader) planInterval() micro.Time {
	for _, p := range l.cluster.Pools {
		if p.MachineCount > 0 {
			return micro.Second
		}
	}
	return 300 * micro.Millisecond
}

// statusLogInterval is how often the leader says how it fares.
const statusLogInterval = 20 * micro.Second

func (l *Leader) logStatus() {
	usable := 0
	var fleet strings.Builder
	for _, pool := range l.cluster.Pools {
		if pool.MachineCount == 0 {
			continue
		}
		usable += pool.MachineCount
		empty := 0
		for row := range pool.Rows() {
			for _, machine := range pool.Row(row) {
				if len(machine.Allocations) == 0 {
					empty++
				}
			}
		}
		kind := "ordinary"
		if pool.Spot {
			kind = "spot"
		}
		fmt.Fprintf(&fleet, "%s %s %s %d, %d empty; ", pool.Type.Name, pool.Zone, kind, pool.MachineCount, empty)
	}
	l.log.Info(
		"leading",
		"live",
		len(l.cluster.ActiveJobs),
		"awaiting",
		l.cluster.BlockedJobs,
		"pending",
		len(l.cluster.PendingJobs),
		"tasks",
		l.pendingTasks.Load(),
		"usable",
		usable,
		"known",
		len(l.cluster.Machines),
		"writes_first",
		l.records.Queued(statestore.PriorityUrgent),
		"writes_soon",
		l.records.Queued(statestore.PriorityHigh),
		"writes_lazy",
		l.records.Queued(statestore.PriorityLow),
		"writes_idle",
		l.records.Queued(statestore.PriorityBackground),
		"written",
		l.records.ChangeCounts(),
		"pass_gap_ms",
		int64(
			l.scheduleInterval/micro.Millisecond,
		),
		"events",
		l.loop.Len(eventloop.Events),
		"asks",
		l.loop.Len(eventloop.Queries),
		"directs",
		l.dispatcher.InFlight(),
		"kicked",
		l.dispatcher.Pending(),
		"rentals_waiting",
		len(l.requestQueue),
		"fleet",
		fleet.String(),
	)
}

func (l *Leader) resign(reason string) {
	l.log.Info("resigning", "why", reason)
	l.term.End()
	l.node.election.SuspendCampaign(4 * micro.Second)
	go func() { _ = l.node.Store.Revoke(context.Background(), l.term.Lease) }()
}
