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
	status := wire.JobStatus{ID: id, State: wire.JobPending, Done: done, Running: running}
	if job.Ended {
		status.State = job.FinalStatus.State
	} else if len(job.Spec.Dependencies) > 0 && done+running == 0 {
		unmet, aborted, err := r.dependencyStatus(job.Spec.Dependencies, class)
		if err != nil {
			return httpapi.Reply{}, fmt.Errorf("read dependencies of job %s: %w", id, err)
		}
		if aborted {
			return r.finalReply(id, wire.JobAborted, &job), nil
		}
		status.Dependencies = unmet
	}
	if r.now()-readAt > MaxReadAge {
		return httpapi.Reply{}, fmt.Errorf("read of unfinished job %s took too long: %w", id, store.ErrUncertain)
	}
	if running > 0 {
		status.State = wire.JobRunning
	}
	return statusReply(status), nil
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

// dependencyStatus reports whether any of the dependencies, direct or transitive, is stored as aborted: then the job
// that depends on it is aborted too, although a leader may not have written its final status yet. Otherwise unmet holds
// direct dependencies without a stored final status.
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
