package jobapi

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/jobstatus"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// MaxReadAge is the maximum age of a read that found no final status. If the store takes longer, the read is not
	// used to report that the job has not ended.
	MaxReadAge = 400 * micro.Millisecond
	// maxDependencyReads is the maximum number of dependencies that are read for one status. A query that needs more
	// gets a reply that asks the client to retry.
	maxDependencyReads = 24
)

// statusReader reads the statuses of jobs from the store. Any goroutine may call its methods.
type statusReader struct {
	store         store.Store
	jobs          JobReader
	finalStatuses *FinalStatusCache
	budget        *lookupBudget
	now           func() micro.Time
	log           *slog.Logger
}

// read returns the status of a job as stored: the job's own keys tell whether it exists and how it ended, the records
// of its tasks how many are done or running. The final status is read last, and a slow read that finds none is an
// error: while the store was slow, a user was told that a job was done and then, by a read that had started earlier,
// that it was pending. For status queries, the caller has already taken RequestsPerRead requests from the budget.
func (r *statusReader) read(id string, class store.Class) (httpapi.Reply, error) {
	done, running, err := r.countTasks(id, class)
	if err != nil {
		return httpapi.Reply{}, fmt.Errorf("read task records of job %s: %w", id, err)
	}
	readAt := r.now()
	job, err := r.jobs.ReadJob(class, id)
	switch {
	case err != nil:
		return httpapi.Reply{}, fmt.Errorf("read job %s: %w", id, err)
	case !job.Accepted && !job.Ended:
		return noSuchJob(), nil
	case job.Ended && job.FinalStatus.State.Final():
		return r.finalReply(id, job.FinalStatus.State, &job), nil
	case !job.Ended && !job.DependenciesComplete:
		return httpapi.Reply{}, fmt.Errorf("stored dependency list of job %s is incomplete: %w", id, store.ErrUncertain)
	}
	own := wire.JobStatus{ID: id, State: wire.JobPending, Done: done, Running: running}
	switch {
	case job.Ended:
		own.State = job.FinalStatus.State
	case running > 0:
		own.State = wire.JobRunning
	}
	return r.unfinishedReply(own, job.Spec.Dependencies, class, readAt)
}

// unfinishedReply returns the reply for a job that had no final status when it was read at the time readAt. The status
// also follows from the stored statuses of its dependencies.
func (r *statusReader) unfinishedReply(
	own wire.JobStatus, dependencies []string, class store.Class, readAt micro.Time,
) (httpapi.Reply, error) {
	derived, err := jobstatus.Derive(own, dependencies, &storedDependencies{reader: r, class: class})
	if err != nil {
		return httpapi.Reply{}, fmt.Errorf("read dependencies of job %s: %w", own.ID, err)
	}
	if derived.AbortedDependency != "" {
		r.log.Debug(
			"job status follows from an aborted dependency", "job", own.ID, "dependency", derived.AbortedDependency,
		)
		r.finalStatuses.Put(derived.Status)
		return statusReply(derived.Status), nil
	}
	if r.now()-readAt > MaxReadAge {
		return httpapi.Reply{}, fmt.Errorf("read of unfinished job %s took too long: %w", own.ID, store.ErrUncertain)
	}
	return statusReply(derived.Status), nil
}

// countTasks reads the task records of a job and returns how many tasks are done and how many are running.
func (r *statusReader) countTasks(id string, class store.Class) (done, running int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeReadTimeout.Duration())
	defer cancel()
	var counter cluster.TaskCounter
	visit := func(rest string, value []byte) error { return counter.Add(rest, keys.CompactMark, value) }
	if err := store.ReadPrefix(ctx, r.store, class, keys.ChunkPrefixFor(id), visit); err != nil {
		return 0, 0, err
	}
	done, running = counter.Count()
	return done, running, nil
}

// finalReply returns the reply for a job that has ended, and caches its status.
func (r *statusReader) finalReply(id string, state wire.JobState, job *StoredJob) httpapi.Reply {
	status := wire.JobStatus{ID: id, State: state}
	if state == wire.JobDone && job.Accepted {
		status.Done = job.Spec.Tasks
	}
	r.finalStatuses.Put(status)
	return statusReply(status)
}

// storedDependencies provides the stored states of dependencies for one status. It implements jobstatus.Source.
type storedDependencies struct {
	reader *statusReader
	class  store.Class
	reads  int
}

// StoredState returns the stored state of a job. It returns store.ErrBudgetExhausted if more than maxDependencyReads
// jobs are needed for one status.
func (d *storedDependencies) StoredState(id string) (jobstatus.StoredState, error) {
	if d.reads++; d.reads > maxDependencyReads {
		return jobstatus.StoredState{}, store.ErrBudgetExhausted
	}
	job, err := d.reader.readDependency(id, d.class)
	if err != nil {
		return jobstatus.StoredState{}, err
	}
	if job.Ended {
		return jobstatus.StoredState{Final: job.FinalStatus.State}, nil
	}
	return jobstatus.StoredState{Dependencies: job.Spec.Dependencies}, nil
}

// readDependency reads a job on which another one depends, unless its final status is cached.
func (r *statusReader) readDependency(id string, class store.Class) (StoredJob, error) {
	if status, ok := r.finalStatuses.Get(id); ok {
		return StoredJob{FinalStatus: cluster.FinalStatusRecord{State: status.State}, Ended: true}, nil
	}
	if class == store.StatusQuery {
		r.budget.charge()
	}
	job, err := r.jobs.ReadJob(store.Routine, id)
	if err != nil {
		return StoredJob{}, fmt.Errorf("read job %s: %w", id, err)
	}
	if !job.Ended && (!job.Accepted || !job.DependenciesComplete) {
		return StoredJob{}, fmt.Errorf("spec or dependencies of job %s missing: %w", id, store.ErrUncertain)
	}
	return job, nil
}

// isRateLimited reports whether a request was rejected by a rate limit, of this node or of the store.
func isRateLimited(err error) bool {
	return errors.Is(err, store.ErrBudgetExhausted) || errors.Is(err, store.ErrRateLimited)
}
