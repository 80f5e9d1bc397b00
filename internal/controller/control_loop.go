package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/detector"
	"notchmux.dev/notchmux/internal/dispatch"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/provision"
	"notchmux.dev/notchmux/internal/recovery"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// controlLoop is the event loop, and the components that run on it, shared by the leader and by
// shard owners. Both manage their machines and jobs in the same way; the differences are in role.
type controlLoop struct {
	node *Node
	term *election.Term
	log  *slog.Logger
	loop *eventloop.Loop
	role role

	pendingTasks atomic.Int64
	serving      atomic.Bool // recovery from the store is complete: the intake knows all jobs

	// Owned by the loop's goroutine.
	cluster               *cluster.State
	scheduler             *scheduler.Scheduler
	speeds                *scheduler.SpeedEstimator
	objectives            *scheduler.Objectives
	records               *persist.Records
	dispatcher            *dispatch.Dispatcher
	detector              *detector.Detector
	intake                *recovery.Intake
	reader                *recovery.Reader
	schedulePending       bool
	lastSchedule          micro.Time
	scheduleInterval      micro.Time // minimum time between passes, from the duration of the last one
	lastStatusLog         micro.Time
	referralQueryInFlight bool // a query to the peers about this node's agents is in flight

	// describeEligibleOwners describes the owners of a sharded fleet that can run all of a job; it
	// returns "" if the fleet is not sharded. It is nil in the loop of a shard owner.
	describeEligibleOwners func(*cluster.Job) string
}

// role defines the behaviour that differs between the leader's loop and a shard owner's loop. Its
// methods are called only on the loop's goroutine, except mayRespond.
type role interface {
	cluster.Effects
	detector.Host
	persist.Role
	// mayRespond reports whether the loop may send responses and commands while it holds its
	// lease. It is safe for concurrent use.
	mayRespond() bool
	// refusesHeartbeat reports whether a heartbeat must be answered by another controller.
	refusesHeartbeat(heartbeat *wire.Heartbeat) bool
	// jobEnded updates the in-memory state of a job whose final state has been stored.
	jobEnded(job *cluster.Job, state wire.JobState)
}

// newControlLoop returns a loop that issues fencing tokens starting at firstToken.
func newControlLoop(node *Node, term *election.Term, firstToken uint64, log *slog.Logger, role role) *controlLoop {
	l := &controlLoop{node: node, term: term, log: log, loop: eventloop.New(), role: role}
	l.cluster = cluster.New(role)
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
	l.dispatcher = dispatch.New(firstToken, dispatch.Dependencies{
		Cluster: l.cluster, Loop: l.loop, Sender: node.Agent, Log: l.log,
		Now: func() micro.Time { return node.Now() }, Host: dispatchHost{l},
	})
	l.detector = detector.New(detector.Dependencies{
		Cluster: l.cluster, Config: node.Cfg, MaxInventoryAge: provision.MaxInventoryAge,
		FencingTokens: l.dispatcher, Handovers: &node.handovers, Host: role,
	})
	l.records = persist.New(persist.Dependencies{
		Host: recordsHost{l}, Role: role, Limits: node.Cfg, Cluster: l.cluster, Speeds: l.speeds,
		Store: node.Store, Log: l.log,
	})
	l.reader = recovery.NewReader(node.Store, l.loop, log)
	l.intake = recovery.NewIntake(recovery.IntakeDependencies{
		Cluster: l.cluster, Objectives: l.objectives, Store: node.Store, Loop: l.loop,
		Resign: l.resign, Now: l.Now, Wall: l.Wall, Log: log,
	})
	return l
}

// holdsLease reports whether this loop may send responses and commands. It is safe for concurrent
// use.
func (l *controlLoop) holdsLease() bool {
	return l.role.mayRespond() && l.term.HoldsLease(l.node.Now())
}

// schedule runs a scheduling pass if one is pending and the schedule interval has passed since the
// last one.
func (l *controlLoop) schedule(now micro.Time) {
	if !l.schedulePending || now-l.lastSchedule <= l.scheduleInterval {
		return
	}
	l.schedulePending = false
	l.lastSchedule = now
	l.scheduler.Schedule(now)
	took := l.node.Now() - now
	l.scheduleInterval = min(max(scheduleTimeDivisor*took, minScheduleInterval), maxScheduleInterval)
	l.scheduler.Overloaded = took > l.node.Cfg.SampleAbovePassTime
	l.node.Metrics.Observe("pass", took)
}

// Scheduling passes use at most 1/scheduleTimeDivisor of the loop's time.
const (
	scheduleTimeDivisor = 8
	minScheduleInterval = 40 * micro.Millisecond
	maxScheduleInterval = micro.Second
)

// flush writes changed records to the store and sends pending commands to agents.
func (l *controlLoop) flush(now micro.Time) {
	l.records.Flush(now)
	l.dispatcher.SendPending(now)
}

// resign ends the term and revokes its lease. It is safe for concurrent use.
func (l *controlLoop) resign(reason string) {
	l.log.Info("resigning", "reason", reason)
	l.term.End()
	l.node.election.SuspendCampaign(resignCooldown)
	go func() { _ = l.node.Store.Revoke(context.Background(), l.term.Lease) }()
}

// resignCooldown is how long a node does not campaign after it resigned.
const resignCooldown = 4 * micro.Second

// Now returns the time by this node's monotonic clock.
func (l *controlLoop) Now() micro.Time { return l.node.Now() }

// Wall returns the time by this node's wall clock.
func (l *controlLoop) Wall() micro.Time { return l.node.Wall() }

// HoldsLease reports whether the loop may send responses and commands.
func (l *controlLoop) HoldsLease() bool { return l.holdsLease() }

// Post queues an event on the loop.
func (l *controlLoop) Post(event eventloop.Event) { l.loop.Post(event) }

// recordsHost implements persist.Host for a control loop.
type recordsHost struct{ *controlLoop }

// ObserveCommit records the duration of a transaction in the metrics.
func (h recordsHost) ObserveCommit(took micro.Time) { h.node.Metrics.Observe("commit", took) }

// JobEnded updates the in-memory state of a job whose final state has been stored.
func (h recordsHost) JobEnded(job *cluster.Job, state wire.JobState) { h.role.jobEnded(job, state) }

// FormatRaised opens this node's format gate: the stored format was raised.
func (h recordsHost) FormatRaised() { h.node.formatGate.MarkOpen() }
