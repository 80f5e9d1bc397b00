package cluster

import "notchmux.dev/notchmux/internal/micro"

// Retention times of ended jobs and terminated machines. A term may last for months. If they were
// kept until its end, those of a large fleet would fill the memory of the controller's node.
const (
	// jobRetention is how long a job is kept in memory after it ended. The store keeps it
	// permanently.
	jobRetention = 10 * micro.Minute
	// finalStatusRetention is how long a final status is kept in memory. It prevents a delayed copy
	// of the job's submission from starting the job again. Messages are delayed by minutes at most.
	finalStatusRetention = 60 * micro.Minute
	// terminatedRetention is how long a terminated machine is remembered, so that neither a delayed
	// heartbeat nor an outdated inventory makes it known again.
	terminatedRetention = 60 * micro.Minute
)

// Prune removes entries that ended long ago, and returns the jobs that it removed. A job is kept as
// long as one of its allocations is not proven released, or settled returns false for it because
// part of its state still has to be written.
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
		clear(s.imageHints) // hints for machines that never appeared
	}
	for name, terminatedAt := range s.TerminatedAt {
		if now-terminatedAt > terminatedRetention {
			delete(s.TerminatedAt, name)
		}
	}
	return pruned
}

// pruneFinalStatuses removes old final statuses, except those of jobs that are still in memory or
// that a job without a final status depends on: its status is derived from them.
func (s *State) pruneFinalStatuses(now micro.Time) {
	dependencies := s.dependenciesOfUnfinished()
	for id, status := range s.FinalStatuses {
		if now-status.EndedAt > finalStatusRetention && s.Jobs[id] == nil && !dependencies[id] {
			delete(s.FinalStatuses, id)
		}
	}
}

// dependenciesOfUnfinished returns the direct dependencies of all jobs without a final status.
func (s *State) dependenciesOfUnfinished() map[string]bool {
	dependencies := map[string]bool{}
	for _, job := range s.Jobs {
		if job.IsTerminal() {
			continue
		}
		for _, id := range job.Spec.Dependencies {
			dependencies[id] = true
		}
	}
	return dependencies
}
