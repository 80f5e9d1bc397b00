package jobapi

import (
	"context"
	"errors"
	"fmt"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// MaxReadAge is how long the store may take over whether a job is over, for an
	// answer that it is not.
	MaxReadAge = 400 * micro.Millisecond
	// maxDependencyReads is how many jobs are looked at for one answer: a query that would
	// need more is told to come back.
	maxDependencyReads = 24
)

// statusReader answers from the store.
type statusReader struct {
	store         store.Store
	jobs          JobReader
	finalStatuses *FinalStatusCache
	budget        *lookupBudget
	now           func() micro.Time
}

// read answers from the store: the job's own keys tell whether it exists and
// how it ended, the records of its tasks how far it is. The end is read last, and
// a slow answer without one is none: while the store was slow, a user was told
// that a job was done, and then, by a read begun before, that it was pending.
// Queries have taken what it usually costs from their budget before.
func (r *statusReader) read(id string, class store.Class) (httpapi.Reply, error) {
	done, running, err := r.countTasks(id, class)
	if err != nil {
		return httpapi.Reply{}, fmt.Errorf("reading the tasks of job %s: %w", id, err)
	}
	readAt := r.now()
	job, err := r.jobs.ReadJob(class, id)
	switch {
	case err != nil:
		return httpapi.Reply{}, fmt.Errorf("reading job %s: %w", id, err)
	case !job.Accepted && !job.Ended:
		return noSuchJob(), nil
	case job.Ended && job.FinalStatus.State.Final():
		return r.finalReply(id, job.FinalStatus.State, &job), nil
	case !job.Ended && !job.DependenciesComplete:
		return httpapi.Reply{}, fmt.Errorf("dependencies of job %s missing: %w", id, store.ErrUncertain)
	}
	status := wire.JobStatus{ID: id, State: wire.JobPending, Done: done, Running: running}
	if job.Ended {
		status.State = job.FinalStatus.State
	} else if len(job.Spec.Dependencies) > 0 && done+running == 0 {
		unmet, aborted, err := r.dependencyStatus(job.Spec.Dependencies, class)
		if err != nil {
			return httpapi.Reply{}, fmt.Errorf("reading the dependencies of job %s: %w", id, err)
		}
		if aborted {
			return r.finalReply(id, wire.JobAborted, &job), nil
		}
		status.Dependencies = unmet
	}
	if r.now()-readAt > MaxReadAge {
		return httpapi.Reply{}, fmt.Errorf("job %s read too slowly: %w", id, store.ErrUncertain)
	}
	if running > 0 {
		status.State = wire.JobRunning
	}
	return statusReply(status), nil
}

// countTasks reads the records of a job's tasks.
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

// finalReply answers for a job that is over, and keeps the answer.
func (r *statusReader) finalReply(id string, state wire.JobState, job *StoredJob) httpapi.Reply {
	status := wire.JobStatus{ID: id, State: state}
	if state == wire.JobDone && job.Accepted {
		status.Done = job.Spec.Tasks
	}
	r.finalStatuses.Put(status)
	return statusReply(status)
}

// dependencyStatus reports whether a job that is needed, directly or through others, is
// stored as aborted: then so is what needs it, though its own end may still have
// to be written by a leader. Else it names those whose end is not stored.
func (r *statusReader) dependencyStatus(
	dependencies []string, class store.Class,
) (unmet []string, aborted bool, err error) {
	visited := map[string]bool{}
	for queue := dependencies; len(queue) > 0; {
		id := queue[0]
		queue = queue[1:]
		if visited[id] {
			continue
		}
		if visited[id] = true; len(visited) > maxDependencyReads {
			return nil, false, store.ErrBudgetExhausted
		}
		job, err := r.readDependency(id, class)
		if err != nil {
			return nil, false, err
		}
		if job.Ended {
			if job.FinalStatus.State == wire.JobAborted {
				return nil, true, nil
			}
			continue
		}
		if len(visited) <= len(dependencies) {
			unmet = append(unmet, id)
		}
		queue = append(queue[:len(queue):len(queue)], job.Spec.Dependencies...)
	}
	return unmet, false, nil
}

// readDependency reads a job that another needs, unless its end is known.
func (r *statusReader) readDependency(id string, class store.Class) (StoredJob, error) {
	if status, ok := r.finalStatuses.Get(id); ok {
		return StoredJob{FinalStatus: cluster.FinalStatusRecord{State: status.State}, Ended: true}, nil
	}
	if class == store.StatusQuery {
		r.budget.charge()
	}
	job, err := r.jobs.ReadJob(store.Routine, id)
	if err != nil {
		return StoredJob{}, fmt.Errorf("reading job %s: %w", id, err)
	}
	if !job.Ended && (!job.Accepted || !job.DependenciesComplete) {
		return StoredJob{}, fmt.Errorf("description of job %s missing: %w", id, store.ErrUncertain)
	}
	return job, nil
}

// isRateLimited reports whether a request was refused for its rate, by this node or
// by the store.
func isRateLimited(err error) bool {
	return errors.Is(err, store.ErrBudgetExhausted) || errors.Is(err, store.ErrRateLimited)
}
