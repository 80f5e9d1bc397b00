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

// controlLoop are the parts that the loop of a leader and that of a shard's owner have in
// common. Both run their machines and jobs in the same way; what they do differently is in
// their duties.
type controlLoop struct {
	node *Node
	term *election.Term
	log  *slog.Logger
	loop *eventloop.Loop
	role role

	pendingTasks atomic.Int64
	serving      atomic.Bool // all that the store holds was read: the intake knows all jobs

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
	scheduleInterval      micro.Time // least time between passes, by what the last one took
	lastStatusLog         micro.Time
	referralQueryInFlight bool // the peers are being asked for agents that look for this node

	// describeEligibleOwners says which sides of a divided fleet may serve a job; "": the fleet is
	// not divided. Nil: the loop is an owner's.
	describeEligibleOwners func(*cluster.Job) string
}

// role are what a leader's loop and that of a shard's owner do each in its own way. Only
// the loop's goroutine calls them, but for mayRespond.
type role interface {
	cluster.Effects
	detector.Host
	persist.Role
	// mayRespond reports whether answers and commands may be sent as far as the lease goes;
	// any goroutine may ask.
	mayRespond() bool
	// refusesHeartbeat reports whether a heartbeat is another controller's to answer.
	refusesHeartbeat(heartbeat *wire.Heartbeat) bool
	// jobEnded settles a job whose end is in the store.
	jobEnded(job *cluster.Job, state wire.JobState)
}

// newControlLoop makes a loop that gives out fencing tokens from the first one on.
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

// holdsLease reports whether this loop may answer and send commands; any goroutine may ask.
func (l *controlLoop) holdsLease() bool {
	return l.role.mayRespond() && l.term.HoldsLease(l.node.Now())
}

// schedule places tasks if something has changed since the last pass, and it is time.
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

// Passes take at most one part in scheduleTimeDivisor of the time.
const (
	scheduleTimeDivisor = 8
	minScheduleInterval = 40 * micro.Millisecond
	maxScheduleInterval = micro.Second
)

// flush writes what was decided, and sends the commands that wait.
func (l *controlLoop) flush(now micro.Time) {
	l.records.Flush(now)
	l.dispatcher.SendPending(now)
}

// resign ends the term; any goroutine may call it.
func (l *controlLoop) resign(reason string) {
	l.log.Info("resigning", "reason", reason)
	l.term.End()
	l.node.election.SuspendCampaign(resignCooldown)
	go func() { _ = l.node.Store.Revoke(context.Background(), l.term.Lease) }()
}

// resignCooldown is how long a node that resigned stands for no election.
const resignCooldown = 4 * micro.Second

// Now is this node's steady clock.
func (l *controlLoop) Now() micro.Time { return l.node.Now() }

// Wall is this node's wall clock.
func (l *controlLoop) Wall() micro.Time { return l.node.Wall() }

// HoldsLease reports whether the loop may answer and send commands.
func (l *controlLoop) HoldsLease() bool { return l.holdsLease() }

// Post hands the loop an event.
func (l *controlLoop) Post(event eventloop.Event) { l.loop.Post(event) }

// recordsHost is a loop as its records see it.
type recordsHost struct{ *controlLoop }

// ObserveCommit notes how long a transaction took.
func (h recordsHost) ObserveCommit(took micro.Time) { h.node.Metrics.Observe("commit", took) }

// JobEnded settles a job whose end is in the store.
func (h recordsHost) JobEnded(job *cluster.Job, state wire.JobState) { h.role.jobEnded(job, state) }

// FormatRaised opens this node's format gate.
func (h recordsHost) FormatRaised() { h.node.formatGate.MarkOpen() }
