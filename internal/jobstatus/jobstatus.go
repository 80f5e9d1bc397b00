// Package jobstatus derives the status of a job that is reported to users.
//
// A job is aborted as soon as one of its direct or transitive dependencies is stored as aborted,
// although its own final state may be written later. The leader answers status queries from memory,
// the other nodes from the state store. Both use Derive, each with its own Source, so that they
// report the same status for the same stored states. The package does no I/O and holds no state.
package jobstatus

import (
	"fmt"

	"notchmux.dev/notchmux/wire"
)

// maxListedDependencies is the maximum number of unmet dependencies listed in a job's status.
const maxListedDependencies = 10

// StoredState is what the state store holds about a job.
type StoredState struct {
	Final        wire.JobState // the stored final state; "" if there is none
	Dependencies []string      // all direct dependencies; used only if the job has no final state
}

// Source provides the stored states of jobs.
type Source interface {
	// StoredState returns the stored state of a job. It returns an error if the caller cannot rule
	// out that the store holds a newer state, or does not know all dependencies of the job.
	StoredState(id string) (StoredState, error)
}

// Derived is the status of a job with the reason for an abort by a dependency.
type Derived struct {
	Status            wire.JobStatus
	AbortedDependency string // the dependency that is stored as aborted; "" if the status does not follow from one
}

// Derive completes the status that follows from a job's own records. A final status and that of a
// job that has started are returned as they are, because a job starts only after all of its
// dependencies are done. Any other job is aborted if one of its dependencies, direct or transitive,
// is stored as aborted; if not, the direct dependencies that have no final state are listed in its
// status. If the stored state of a dependency is not certain, Derive returns an error and the job's
// status must not be reported.
func Derive(own wire.JobStatus, dependencies []string, source Source) (Derived, error) {
	if own.State != wire.JobPending || own.Done > 0 {
		return Derived{Status: own}, nil
	}
	queue := newJobQueue(dependencies)
	direct := len(queue.ids)
	for position := 0; position < len(queue.ids); position++ {
		id := queue.ids[position]
		stored, err := source.StoredState(id)
		switch {
		case err != nil:
			return Derived{}, fmt.Errorf("stored state of dependency %s: %w", id, err)
		case stored.Final == wire.JobAborted:
			return Derived{Status: abortedStatus(own.ID), AbortedDependency: id}, nil
		case stored.Final.Final():
			continue
		}
		if position < direct && len(own.Dependencies) < maxListedDependencies {
			own.Dependencies = append(own.Dependencies, id)
		}
		queue.add(stored.Dependencies)
	}
	return Derived{Status: own}, nil
}

// jobQueue is a list of job IDs to which each ID is added at most once.
type jobQueue struct {
	ids   []string
	added map[string]bool
}

// newJobQueue returns a queue of the given jobs.
func newJobQueue(ids []string) *jobQueue {
	queue := &jobQueue{ids: make([]string, 0, len(ids)), added: make(map[string]bool, len(ids))}
	queue.add(ids)
	return queue
}

// add appends the jobs that were not added before.
func (q *jobQueue) add(ids []string) {
	for _, id := range ids {
		if !q.added[id] {
			q.added[id] = true
			q.ids = append(q.ids, id)
		}
	}
}

// abortedStatus returns the status of a job that is aborted and has never started.
func abortedStatus(id string) wire.JobStatus {
	return wire.JobStatus{ID: id, State: wire.JobAborted}
}
