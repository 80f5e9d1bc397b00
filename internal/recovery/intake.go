package recovery

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// watchTimeout is how long one watch of submissions lasts.
	watchTimeout = 10 * micro.Second
	// watchPause is the pause between two of them: jobs come a few together.
	watchPause = 700 * micro.Millisecond
)

// IntakeDependencies are what an Intake is built from.
type IntakeDependencies struct {
	Cluster    *cluster.State
	Objectives *scheduler.Objectives
	Store      store.Store
	Loop       *eventloop.Loop
	// Resign gives up the lead, with the reason; any goroutine may call it.
	Resign func(reason string)
	// Now is the steady clock, Wall the wall clock.
	Now, Wall func() micro.Time
	Log       *slog.Logger
}

// Intake takes jobs into the cluster's state, and looks up those that others depend on.
type Intake struct {
	IntakeDependencies
	known   sync.Map // ids of the jobs in the cluster's state
	lookups dependencyLookups
}

// NewIntake makes one that knows no job.
func NewIntake(deps IntakeDependencies) *Intake {
	return &Intake{IntakeDependencies: deps, lookups: newDependencyLookups()}
}

// Knows reports whether a job is in the cluster's state; any goroutine may ask.
func (i *Intake) Knows(job string) bool {
	_, ok := i.known.Load(job)
	return ok
}

// Forget notes that a job is in the cluster's state no more.
func (i *Intake) Forget(job string) { i.known.Delete(job) }

// InsertJob adds a job that was submitted at the wall clock's time in its description.
func (i *Intake) InsertJob(spec wire.Job, now, wall micro.Time) *cluster.Job {
	i.known.Store(spec.ID, true)
	age := max(wall-micro.Time(spec.SubmittedAt), 0)
	job := i.Cluster.AddJob(spec, now-age, now)
	job.Class.StartObjective = i.Objectives.StartObjective(spec.Class)
	return job
}

// AddJob adds a job that was accepted, unless it is known already, or has ended: a late word
// of its acceptance must not bring it back.
func (i *Intake) AddJob(spec wire.Job) {
	if i.Cluster.Jobs[spec.ID] != nil {
		return
	}
	if _, ended := i.Cluster.FinalStatuses[spec.ID]; ended {
		return
	}
	if spec.DependencyChunks > 0 {
		i.lookups.request(spec.ID) // the rest of its dependencies is in keys of its own
		return
	}
	job := i.InsertJob(spec, i.Now(), i.Wall())
	i.Log.Info(
		"job",
		"job", spec.ID,
		"class", spec.Class,
		"kind", string(spec.Kind),
		"tasks", spec.Tasks,
		"state", job.State.String(),
		"dependencies", spec.Dependencies,
		"unmet", job.UnmetDependencies,
	)
}

// WatchSubmissions finds the jobs that other nodes accept after a revision, until the loop is
// stopped. It runs on a goroutine of its own.
func (i *Intake) WatchSubmissions(ctx context.Context, revision uint64) {
	for {
		events, err := i.Store.Watch(ctx, keys.JobPrefix, revision, watchTimeout)
		switch {
		case errors.Is(err, store.ErrCompacted):
			i.Resign("the store's history is too short to follow")
			return
		case err == nil:
			revision = max(revision, uint64(events.Revision))
			i.postSubmissions(events.Events)
		}
		if !i.Loop.Sleep(watchPause) {
			return
		}
	}
}

func (i *Intake) postSubmissions(events []wire.Event) {
	for _, event := range events {
		if !keys.IsJobSpec(event.Put) {
			continue
		}
		var job wire.Job
		if decode(i.Log, wire.Item{Key: event.Put, Value: event.Value}, &job) && job.Tasks > 0 {
			i.PostJob(job)
		}
	}
}

// PostJob hands the loop a job that was accepted, by this node or by another; any goroutine
// may call it.
func (i *Intake) PostJob(job wire.Job) { i.Loop.Post(jobAccepted{i, job}) }

// jobAccepted says that a job's description is in the store.
type jobAccepted struct {
	intake *Intake
	job    wire.Job
}

// Apply adds the job.
func (e jobAccepted) Apply() { e.intake.AddJob(e.job) }
