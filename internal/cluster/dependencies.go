package cluster

import (
	"notchmux.dev/notchmux/internal/jobstatus"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// FinalStatus is how a job ended, according to the store.
type FinalStatus struct {
	Aborted bool
	EndedAt micro.Time // monotonic clock
}

// state returns the final state that is stored.
func (f FinalStatus) state() wire.JobState {
	if f.Aborted {
		return wire.JobAborted
	}
	return wire.JobDone
}

// StoredState returns what is known to be stored about a job, or false if the job is unknown. A write
// of its final state that has no response yet is not taken into account.
func (s *State) StoredState(id string) (jobstatus.StoredState, bool) {
	if status, final := s.FinalStatuses[id]; final {
		return jobstatus.StoredState{Final: status.state()}, true
	}
	job := s.Jobs[id]
	if job == nil {
		return jobstatus.StoredState{}, false
	}
	return jobstatus.StoredState{Dependencies: job.Spec.Dependencies}, true
}

// awaitDependencies counts a job's dependencies that have not ended. Whether a dependency completed
// is taken from its stored final status only: a job that is no longer in the list of live jobs may
// have been cancelled.
func (s *State) awaitDependencies(job *Job) {
	var lastEnd micro.Time
	dependencyAborted := false
	for _, id := range job.Spec.Dependencies {
		status, final := s.FinalStatuses[id]
		switch {
		case final && status.Aborted:
			dependencyAborted = true
		case final:
			lastEnd = max(lastEnd, status.EndedAt)
		default:
			job.UnmetDependencies++
			s.dependents[id] = append(s.dependents[id], job)
			dependency := s.Jobs[id]
			if dependency == nil {
				s.DependencyUnknown(id)
			} else if dependency.DependencyAborted {
				dependencyAborted = true
			}
		}
	}
	switch {
	case dependencyAborted:
		s.cascadeAbort(job)
	case job.UnmetDependencies == 0:
		job.EligibleSince = max(job.SubmittedAt, lastEnd)
		s.transitionJob(job, Active)
	}
}

// ApplyFinalStatus applies a job's stored final status. It unblocks the job's dependents or, if the
// job was aborted, aborts all direct and indirect dependents. The aborts follow from that one
// status alone, so any other leader or controller reaches the same result.
func (s *State) ApplyFinalStatus(id string, status FinalStatus) {
	if _, known := s.FinalStatuses[id]; known {
		return
	}
	s.FinalStatuses[id] = status
	dependents := s.dependents[id]
	delete(s.dependents, id)
	for _, job := range dependents {
		job.UnmetDependencies--
		switch {
		case status.Aborted:
			s.cascadeAbort(job)
		case job.UnmetDependencies == 0 && job.State == Blocked:
			job.EligibleSince = max(job.SubmittedAt, status.EndedAt)
			s.transitionJob(job, Active)
			s.Log("job dependencies are met", "job", job.Spec.ID)
		}
	}
	if job := s.Jobs[id]; job != nil && status.Aborted {
		s.propagateToDependencies(job) // one dependent fewer passes on its priority and deadline
	}
}

// cascadeAbort aborts a job and all its direct and indirect dependents. None of them has ever
// started. A job whose own cancellation has begun is already being written as aborted; its dependents
// do not wait for that write.
func (s *State) cascadeAbort(job *Job) {
	for stack := []*Job{job}; len(stack) > 0; {
		next := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if next.DependencyAborted || next.State != Blocked && next.State != Aborting {
			continue
		}
		next.DependencyAborted = true
		if next.State == Blocked {
			s.transitionJob(next, Aborting)
			s.DependencyAborted(next)
		}
		stack = append(stack, s.dependents[next.Spec.ID]...)
	}
}

// expectedDuration returns how long a job in a pipeline is expected to take.
func (j *Job) expectedDuration() micro.Time { return j.Class.ExpectedDuration(&j.Spec, len(j.Tasks)) }

// effectiveDeadline returns the time by which the job itself must be done to meet the deadline that
// it inherits.
func (j *Job) effectiveDeadline() micro.Time {
	return j.DeadlineSource.SubmittedAt + micro.FromSeconds(*j.DeadlineSource.Spec.DeadlineS) - j.CriticalPath
}

// inheritFromDependents derives a job's priority level and deadline from its own and those of its
// dependents. The job gets the highest of these levels, and must be done in time for the tightest
// of these deadlines, reduced by the duration of the jobs that follow it. Users set both on the
// last job of a pipeline only, and accept that they apply to its dependencies.
func (s *State) inheritFromDependents(job *Job) {
	inherited := s.inheritance(job)
	if inherited.level == job.PriorityLevel && inherited.source == job.DeadlineSource &&
		inherited.criticalPath == job.CriticalPath {
		return
	}
	job.setPriorityLevel(inherited.level)
	job.DeadlineSource, job.CriticalPath = inherited.source, inherited.criticalPath
	s.propagateToDependencies(job)
	s.ScheduleSoon()
}

// inheritance is what a job has itself or inherits from its dependents: the highest priority level,
// and the tightest deadline with the duration of the jobs that follow until then.
type inheritance struct {
	level        int
	source       *Job
	criticalPath micro.Time
	deadline     micro.Time // when the job itself has to be done; valid only if source is set
}

// inheritance determines the priority level and deadline of a job from its own and those of its
// dependents.
func (s *State) inheritance(job *Job) inheritance {
	inherited := inheritance{level: job.Spec.Priority.Level()}
	if job.Spec.DeadlineS != nil {
		inherited.source = job
		inherited.deadline = job.SubmittedAt + micro.FromSeconds(*job.Spec.DeadlineS)
	}
	for _, dependent := range s.dependents[job.Spec.ID] {
		if dependent.IsTerminal() || dependent.State == Aborting {
			continue
		}
		inherited.level = min(inherited.level, dependent.PriorityLevel)
		if dependent.DeadlineSource != nil {
			inherited.tighten(dependent)
		}
	}
	return inherited
}

// tighten adopts a dependent's deadline if it requires the job to be done earlier.
func (i *inheritance) tighten(dependent *Job) {
	duration := dependent.expectedDuration()
	deadline := dependent.effectiveDeadline() - duration
	if i.source == nil || deadline < i.deadline {
		i.source, i.criticalPath, i.deadline = dependent.DeadlineSource, dependent.CriticalPath+duration, deadline
	}
}

// setPriorityLevel changes a job's priority level, and moves the usage of its allocations to that
// level on their machines.
func (j *Job) setPriorityLevel(level int) {
	if level == j.PriorityLevel {
		return
	}
	allocations := j.Allocations()
	for _, allocation := range allocations {
		allocation.Machine.addAllocationUsage(allocation, -1)
	}
	j.PriorityLevel = level
	for _, allocation := range allocations {
		allocation.Machine.addAllocationUsage(allocation, 1)
	}
}

// propagateToDependencies updates what a job's dependencies inherit from it.
func (s *State) propagateToDependencies(job *Job) {
	for _, id := range job.Spec.Dependencies {
		if dependency := s.Jobs[id]; dependency != nil && !dependency.IsTerminal() {
			s.inheritFromDependents(dependency)
		}
	}
}
