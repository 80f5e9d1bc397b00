package controller

import (
	"context"

	"notchmux.dev/notchmux/internal/cancellation"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/dispatch"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/provision"
	"notchmux.dev/notchmux/internal/recovery"
	"notchmux.dev/notchmux/internal/shard/coordinator"
)

// Leader runs one leadership term. The cluster state is owned by its loop's goroutine.
type Leader struct {
	*controlLoop

	// Owned by the loop's goroutine.
	provisioner     *provision.Provisioner
	lastSweep       micro.Time
	lastSpeedWrite  micro.Time
	renewalBound    *leasekeeper.RenewalBound
	cancellations   *cancellation.Manager
	failover        *recovery.Failover
	declineLogged   bool                     // a decision against a leadership handover was logged in this term
	recovered       bool                     // the failover has read all records
	coordinator     *coordinator.Coordinator // coordinates the shards; nil: the feature is off
	unservedJobScan *coordinator.UnservedJobScan
}

// newLeader returns the leader of a leadership term; its loop is not started.
func newLeader(n *Node, term *election.Term) *Leader {
	l := &Leader{}
	l.controlLoop = newControlLoop(
		n, term, dispatch.FirstFencingToken(term.FencingRevision), n.Log.With("term", term.FencingRevision), l,
	)
	zones := map[string]string{}
	for _, p := range n.Cfg.Peers {
		zones[p.Node] = p.Zone
	}
	l.renewalBound = leasekeeper.NewRenewalBound(
		term.FencingRevision, l.cluster.TermStartedAt, n.Cfg.LeaseProxyDuration(), zones, n.Cfg.Zone,
	)
	for _, team := range n.Cfg.Facts.Teams {
		l.cluster.Teams[team.Name] = &cluster.Team{
			Name: team.Name, GuaranteedCPUs: team.CPUs, CPULimit: team.CPUsMax,
			GuaranteedGPUs: team.GPUs, GPULimit: team.GPUsMax,
		}
	}
	l.coordinator = newCoordinator(l)
	l.unservedJobScan = coordinator.NewUnservedJobScan(l.coordinator)
	l.describeEligibleOwners = l.coordinator.DescribeEligibleOwners
	l.cancellations = newCancellationManager(l)
	l.provisioner = newProvisioner(l)
	l.failover = newFailover(l)
	return l
}

// run restores the cluster state from the store and then runs the event loop until ctx ends or the
// loop is stopped.
func (l *Leader) run(ctx context.Context) {
	l.loop.StopWith(ctx)
	startedAt := l.node.Now()
	revision, ok := l.takeOver(ctx)
	if !ok {
		return
	}
	l.serving.Store(true)
	l.log.Info(
		"failover complete", "jobs", len(l.cluster.Jobs), "machines", len(l.cluster.Machines), "took_ms",
		int64((l.node.Now()-startedAt)/micro.Millisecond),
	)
	defer l.node.Metrics.RemoveGauge(unservedJobsGauge)
	go l.intake.WatchSubmissions(ctx, revision)
	go l.intake.RunLookups(ctx)
	go l.provisioner.PollInventory(ctx)
	l.loop.Run(eventloop.Handlers{Now: l.node.Now, Tick: l.tick, AfterEvents: l.runPending})
}

// runPending does the work that the handled events made pending: it schedules tasks, completes
// cancellations, writes records and sends commands.
func (l *Leader) runPending(now micro.Time) {
	if !l.holdsLease() {
		return
	}
	l.schedule(now)
	l.cancellations.CompletePending(now)
	l.flush(now)
}

// tick runs the leader's periodic work.
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
	if l.provisioner.PlanIfDue(now) {
		l.schedulePending = true // backoffs and reservations may have expired
		l.reviewPendingJobs(now)
		l.updateUnservedJobs(now)
	}
	l.records.Images.WriteIfDue(now)
	l.prune(l.records.PruneIfDue(now))
	l.logStatusIfDue(now, l.provisioner.QueuedRequests())
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
