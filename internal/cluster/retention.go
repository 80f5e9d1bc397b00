package cluster

import "notchmux.dev/notchmux/internal/micro"

// How long the state remembers what is over. A term may last for months: kept for
// good, the jobs and machines of a large fleet would fill the node's memory.
const (
	// jobRetention is for how long a job stays after it ended. The store has it for good.
	jobRetention = 10 * micro.Minute
	// finalStatusRetention is for how long a final status is remembered. A late copy of its
	// submission must not bring it back to life, and messages are late by minutes at
	// the most.
	finalStatusRetention = 60 * micro.Minute
	// terminatedRetention is for how long a terminated machine is remembered, so that a late
	// heartbeat, or a list that lags, does not bring it back.
	terminatedRetention = 60 * micro.Minute
)

// Prune forgets what has been over for long, and lists the jobs that it forgot. A job stays
// while an allocation of it is not proven released, or while settled says that something of it has
// still to be written.
func (s *State) Prune(now micro.Time, settled func(*Job) bool) []*Job {
	var pruned []*Job
	for id, job := range s.Jobs {
		if job.IsTerminal() && job.AllocationCount == 0 && now-s.FinalStatuses[id].EndedAt > jobRetention && settled(job) {
			delete(s.Jobs, id)
			pruned = append(pruned, job)
		}
	}
	s.pruneFinalStatuses(now)
	if now-s.TermStartedAt > terminatedRetention {
		clear(s.imageHints) // of machines that never came
	}
	for name, terminatedAt := range s.TerminatedAt {
		if now-terminatedAt > terminatedRetention {
			delete(s.TerminatedAt, name)
		}
	}
	return pruned
}

// pruneFinalStatuses forgets old final statuses, but those of jobs that are still here or that a
// blocked job depends on.
func (s *State) pruneFinalStatuses(now micro.Time) {
	dependencies := s.awaitedJobs()
	for id, status := range s.FinalStatuses {
		if now-status.EndedAt > finalStatusRetention && s.Jobs[id] == nil && !dependencies[id] {
			delete(s.FinalStatuses, id)
		}
	}
}

// awaitedJobs lists the jobs that blocked ones depend on.
func (s *State) awaitedJobs() map[string]bool {
	dependencies := map[string]bool{}
	if s.BlockedJobs == 0 {
		return dependencies
	}
	for _, job := range s.Jobs {
		if job.State != Blocked {
			continue
		}
		for _, id := range job.Spec.Dependencies {
			dependencies[id] = true
		}
	}
	return dependencies
}
