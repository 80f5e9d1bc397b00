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
	// watchTimeout is the maximum duration of one watch request for submissions.
	watchTimeout = 10 * micro.Second
	// watchPause is the pause between watch requests, so that one request returns several jobs.
	watchPause = 700 * micro.Millisecond
)

// IntakeDependencies are the components that an Intake uses.
type IntakeDependencies struct {
	Cluster    *cluster.State
	Objectives *scheduler.Objectives
	Store      store.Store
	Loop       *eventloop.Loop
	// Resign ends the leadership term for the given reason. It is safe for concurrent use.
	Resign func(reason string)
	// Now is the monotonic clock, Wall the wall clock.
	Now, Wall func() micro.Time
	Log       *slog.Logger
}

// Intake adds accepted jobs to the cluster state, and looks up the jobs that other jobs depend on.
type Intake struct {
	IntakeDependencies
	known   sync.Map // IDs of the jobs in the cluster state
	lookups dependencyLookups
}

// NewIntake returns an Intake that knows no jobs.
func NewIntake(deps IntakeDependencies) *Intake {
	return &Intake{IntakeDependencies: deps, lookups: newDependencyLookups()}
}

// Knows reports whether a job is in the cluster state. It is safe for concurrent use.
func (i *Intake) Knows(job string) bool {
	_, ok := i.known.Load(job)
	return ok
}

// Forget removes a job from the known jobs, after it was removed from the cluster state.
func (i *Intake) Forget(job string) { i.known.Delete(job) }

// InsertJob adds a job to the cluster state. The submission time in its spec is by the wall
// clock.
func (i *Intake) InsertJob(spec wire.Job, now, wall micro.Time) *cluster.Job {
	i.known.Store(spec.ID, true)
	age := max(wall-micro.Time(spec.SubmittedAt), 0)
	job := i.Cluster.AddJob(spec, now-age)
	job.Class.StartObjective = i.Objectives.StartObjective(spec.Class)
	return job
}

// AddJob adds an accepted job, unless it is already known or has ended: a late notification of its
// acceptance must not add it again. A job whose dependencies are stored in separate keys is looked up
// first.
func (i *Intake) AddJob(spec wire.Job) {
	if i.Cluster.Jobs[spec.ID] != nil {
		return
	}
	if _, ended := i.Cluster.FinalStatuses[spec.ID]; ended {
		return
	}
	if spec.DependencyChunks > 0 {
		i.lookups.request(spec.ID) // its other dependencies are in separate keys
		return
	}
	job := i.InsertJob(spec, i.Now(), i.Wall())
	i.Log.Info(
		"job added",
		"job", spec.ID,
		"class", spec.Class,
		"kind", string(spec.Kind),
		"tasks", spec.Tasks,
		"state", job.State.String(),
		"dependencies", spec.Dependencies,
		"unmet", job.UnmetDependencies,
	)
}

// WatchSubmissions watches the store for jobs that other nodes accept after a revision, and posts them
// to the loop until the loop is stopped. It must run on its own goroutine.
func (i *Intake) WatchSubmissions(ctx context.Context, revision uint64) {
	for {
		events, err := i.Store.Watch(ctx, keys.JobPrefix, revision, watchTimeout)
		switch {
		case errors.Is(err, store.ErrCompacted):
			i.Resign("the store has compacted changes that were not read")
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

// postSubmissions posts the jobs whose specs were written by events.
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

// PostJob posts a job that was accepted by this or another node to the loop. It is safe for concurrent
// use.
func (i *Intake) PostJob(job wire.Job) { i.Loop.Post(jobAccepted{i, job}) }

// jobAccepted is the event that a job's spec is stored.
type jobAccepted struct {
	intake *Intake
	job    wire.Job
}

// Apply adds the job to the cluster state.
func (e jobAccepted) Apply() { e.intake.AddJob(e.job) }
