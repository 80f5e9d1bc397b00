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

// Leader is one term of leadership. The goroutine of its loop owns the cluster state.
type Leader struct {
	*controlLoop

	// Owned by the loop's goroutine.
	provisioner     *provision.Provisioner
	lastSweep       micro.Time
	lastSpeedWrite  micro.Time
	renewalBound    *leasekeeper.RenewalBound
	cancellations   *cancellation.Manager
	failover        *recovery.Failover
	declineLogged   bool                     // it was said that no agent reaches this node and it stays
	recovered       bool                     // the failover has read everything
	coordinator     *coordinator.Coordinator // the leader's part in shards; nil: the feature is off
	unservedJobScan *coordinator.UnservedJobScan
}

// newLeader makes the loop of a term of leadership.
func newLeader(n *Node, t *election.Term) *Leader {
	l := &Leader{}
	l.controlLoop = newControlLoop(
		n, t, dispatch.FirstFencingToken(t.FencingRevision), n.Log.With("term", t.FencingRevision), l,
	)
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
	l.unservedJobScan = coordinator.NewUnservedJobScan(l.coordinator)
	l.describeEligibleOwners = l.coordinator.DescribeEligibleOwners
	l.cancellations = newCancellationManager(l)
	l.provisioner = newProvisioner(l)
	l.failover = newFailover(l)
	return l
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
		"failover complete", "jobs", len(l.cluster.Jobs), "machines", len(l.cluster.Machines), "took_ms",
		int64((l.node.Now()-from)/micro.Millisecond),
	)
	defer l.node.Metrics.RemoveGauge(unservedJobsGauge)
	go l.intake.WatchSubmissions(ctx, rev)
	go l.intake.RunLookups(ctx)
	go l.provisioner.PollInventory(ctx)
	l.loop.Run(eventloop.Handlers{Now: l.node.Now, Tick: l.tick, AfterEvents: l.runPending})
}

// runPending does what the events called for: place, write, send.
func (l *Leader) runPending(now micro.Time) {
	if !l.holdsLease() {
		return
	}
	l.schedule(now)
	l.cancellations.CompletePending(now)
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
	if l.provisioner.PlanIfDue(now) {
		l.schedulePending = true // backoffs and reservations run out
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
