package controller

import (
	"context"
	"sync/atomic"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/dispatch"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/recovery"
	"notchmux.dev/notchmux/internal/shard/coordinator"
	"notchmux.dev/notchmux/internal/statestore"
)

// Leader is one term of leadership. The goroutine of its loop owns the cluster state.
type Leader struct {
	*controlLoop

	// Owned by the loop's goroutine.
	planner                  *autoscaler.Planner
	lastSweep                micro.Time
	lastPlan                 micro.Time
	lastSpeedWrite           micro.Time
	instanceRequests         map[string]*instanceRequest
	instanceRequestCount     int
	requestQueue             []*instanceRequest // instance requests whose turn is to come
	requestsInFlight         int                // instance requests under way
	firstProvisionedRecord   *statestore.Record
	firstProvisioned         string                      // the first machine that the service ever requested
	inventoryAt              micro.Time                  // when the list that was read last was asked for
	pendingTerminations      map[*cluster.Machine]uint64 // machines to be terminated, with the version of their request's record that must be stored before
	renewalBound             *leasekeeper.RenewalBound
	fencedZones              atomic.Pointer[map[string]bool] // zones whose lease proxies are not answered; nil: all
	pendingCancellations     map[*cluster.Job]bool           // cancelled jobs whose users are not told yet
	unconfirmedCancellations map[*cluster.Job]bool           // those whose users were told, with allocations not proven free
	cancellationWaiters      map[string][]chan httpapi.Reply
	failover                 *recovery.Failover
	recovered                bool                     // the failover has read everything
	coordinator              *coordinator.Coordinator // the leader's part in shards; nil: the feature is off
}

// newLeader makes the loop of a term of leadership.
func newLeader(n *Node, t *election.Term) *Leader {
	l := &Leader{
		instanceRequests:         map[string]*instanceRequest{},
		pendingTerminations:      map[*cluster.Machine]uint64{},
		cancellationWaiters:      map[string][]chan httpapi.Reply{},
		pendingCancellations:     map[*cluster.Job]bool{},
		unconfirmedCancellations: map[*cluster.Job]bool{},
	}
	l.controlLoop = newControlLoop(
		n, t, dispatch.FirstFencingToken(t.FencingRevision), n.Log.With("term", t.FencingRevision), l,
	)
	l.planner = newPlanner(l.controlLoop)
	l.firstProvisionedRecord = l.records.Record(keys.FirstProvisioned)
	l.firstProvisionedRecord.Build = func() (any, uint64) { return firstProvisionedRecord{l.firstProvisioned}, 0 }
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
	l.failover = newFailover(l)
	return l
}

// newPlanner makes the planner of scale-out and scale-in, by whose prices tasks are placed.
func newPlanner(l *controlLoop) *autoscaler.Planner {
	planner := &autoscaler.Planner{
		Cluster: l.cluster, Objectives: l.objectives, Properties: &l.node.Cfg.Properties,
		RefusedUntil: map[autoscaler.InstanceOffer]micro.Time{}, ConsecutiveRefusals: map[autoscaler.InstanceOffer]int{},
		PendingRequests: map[string]autoscaler.ScaleOut{},
	}
	l.scheduler.WithinPrice = planner.WithinPrice
	return planner
}

// run is the leader's loop: it takes over what the store holds, then serves events.
func (l *Leader) run(ctx context.Context) {
	l.loop.StopWith(ctx)
	from := l.node.Now()
	rev, ok := l.takeOver(ctx)
	if !ok {
		return
	}
	l.serving.Store(true)
	l.log.Info(
		"took over", "jobs", len(l.cluster.Jobs), "machines", len(l.cluster.Machines), "took_ms",
		int64((l.node.Now()-from)/micro.Millisecond),
	)
	go l.intake.WatchSubmissions(ctx, rev)
	go l.intake.RunLookups(ctx)
	go l.pollInventory(ctx)
	l.loop.Run(eventloop.Handlers{Now: l.node.Now, Tick: l.tick, AfterEvents: l.runPending})
}

// runPending does what the events called for: place, write, send.
func (l *Leader) runPending(now micro.Time) {
	if !l.holdsLease() {
		return
	}
	l.schedule(now)
	for job := range l.pendingCancellations {
		l.completeCancellation(job, now)
	}
	l.flush(now)
}

func (l *Leader) tick(now micro.Time) {
	if !l.detector.ObserveLease(l.holdsLease(), now) {
		return
	}
	if now-l.lastSweep >= 500*micro.Millisecond {
		l.lastSweep = now
		l.sweep(now)
	}
	l.intake.LookUpDependencies()
	l.coordinator.Reconcile(now)
	if now-l.lastPlan >= l.planInterval() {
		l.lastPlan = now
		l.planScaling(now)
		l.schedulePending = true // backoffs and reservations run out
		l.reviewPendingJobs(now)
	}
	l.records.Images.WriteIfDue(now)
	l.prune(l.records.PruneIfDue(now))
	l.logStatusIfDue(now, len(l.requestQueue))
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
