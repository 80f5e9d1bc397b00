package cluster

import "notchmux.dev/notchmux/internal/micro"

// FinalStatus is how a job ended, as it is in the store.
type FinalStatus struct {
	Aborted bool
	EndedAt micro.Time // on the steady clock
}

// awaitDependencies counts a job's dependencies that are not over. That one is done is known
// from its stored final status alone: one that has left the lists of live jobs may have been
// cancelled.
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

// ApplyFinalStatus takes in a final status that is in the store: it unblocks the job's
// dependents, or aborts all of them, through any depth. What is aborted here follows from that
// one status, so that any other leader, or node, comes to the same.
func (s *State) ApplyFinalStatus(id string, status FinalStatus, _ micro.Time) {
	if _, known := s.FinalStatuses[id]; known {
		return
	}
	s.FinalStatuses[id] = status
	dependents := s.dependents[id]
	delete(s.dependents, id)
	for _, job := range dependents {
		job.UnmetDependencies--
		switch {
		case job.State != Blocked:
		case status.Aborted:
			s.cascadeAbort(job)
		case job.UnmetDependencies == 0:
			job.EligibleSince = max(job.SubmittedAt, status.EndedAt)
			s.transitionJob(job, Active)
			s.Log("job may start", "job", job.Spec.ID)
		}
	}
	if job := s.Jobs[id]; job != nil && status.Aborted {
		s.propagateToDependencies(job) // one dependent less passes its priority on
	}
}

// cascadeAbort aborts a job and all its dependents. None of them has ever started.
func (s *State) cascadeAbort(job *Job) {
	for stack := []*Job{job}; len(stack) > 0; {
		next := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if next.DependencyAborted || next.IsTerminal() || next.State != Blocked && next.State != Aborting {
			continue
		}
		next.DependencyAborted = true
		s.transitionJob(next, Aborting)
		s.DependencyAborted(next)
		stack = append(stack, s.dependents[next.Spec.ID]...)
	}
}

// expectedDuration is how long a job of a pipeline is expected to take.
func (j *Job) expectedDuration() micro.Time { return j.Class.ExpectedDuration(&j.Spec, len(j.Tasks)) }

// effectiveDeadline is when the inherited deadline asks the job itself to be done.
func (j *Job) effectiveDeadline() micro.Time {
	return j.DeadlineSource.SubmittedAt + micro.FromSeconds(*j.DeadlineSource.Spec.DeadlineS) - j.CriticalPath
}

// inheritFromDependents passes priority level and deadline back from a job's dependents: it
// counts as the highest of their levels and its own, and has to be done as early as the tightest
// of their deadlines asks, less what comes after it. Users set both on the last job of a
// pipeline only, and allow this.
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

// inheritance is what a job has of its own and from its dependents: the highest priority
// level, and the tightest deadline with what comes after the job until then.
type inheritance struct {
	level        int
	source       *Job
	criticalPath micro.Time
	deadline     micro.Time // when the job itself has to be done; meaningless without a source
}

// inheritance compares a job's own level and deadline with those of its dependents.
func (s *State) inheritance(job *Job) inheritance {
	inherited := inheritance{level: job.Spec.Priority.Level()}
	if job.Spec.DeadlineS != nil {
		inherited.source = job
		inherited.deadline = job.SubmittedAt + micro.FromSeconds(*job.Spec.DeadlineS)
	}
	for _, dependent := range s.dependents[job.Spec.ID] {
		if dependent.IsTerminal() || dependent.DependencyAborted || dependent.State == Aborting {
			continue
		}
		inherited.level = min(inherited.level, dependent.PriorityLevel)
		if dependent.DeadlineSource != nil {
			inherited.tighten(dependent)
		}
	}
	return inherited
}

// tighten takes a dependent's deadline over if it asks the job to be done earlier.
func (i *inheritance) tighten(dependent *Job) {
	duration := dependent.expectedDuration()
	deadline := dependent.effectiveDeadline() - duration
	if i.source == nil || deadline < i.deadline {
		i.source, i.criticalPath, i.deadline = dependent.DeadlineSource, dependent.CriticalPath+duration, deadline
	}
}

// setPriorityLevel changes a job's level, by which machines count what it holds.
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

// propagateToDependencies lets a job's dependencies inherit from it anew.
func (s *State) propagateToDependencies(job *Job) {
	for _, id := range job.Spec.Dependencies {
		if dependency := s.Jobs[id]; dependency != nil && !dependency.IsTerminal() {
			s.inheritFromDependents(dependency)
		}
	}
}
