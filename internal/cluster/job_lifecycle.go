package cluster

import "notchmux.dev/notchmux/internal/micro"

// IsTerminal reports whether the job's final status is in the store.
func (j *Job) IsTerminal() bool { return j.State == Done || j.State == Aborted }

// transitionJob is the only function that changes a job's state.
func (s *State) transitionJob(job *Job, to JobState) {
	if job.State == to {
		return
	}
	if !job.State.CanTransitionTo(to) {
		s.Log("job state refused", "job", job.Spec.ID, "from", job.State.String(), "to", to.String())
		return
	}
	if job.State == Blocked {
		s.BlockedJobs--
	}
	job.State = to
	switch to {
	case Active:
		s.activateJob(job)
	case Assigned: // it still takes its part of its team's guarantee
		delete(s.PendingJobs, job)
		delete(s.ActiveJobs, job)
	default:
		delete(s.PendingJobs, job)
		delete(s.ActiveJobs, job)
		s.removeUnfinished(job)
	}
}

// activateJob lets a job compete for resources.
func (s *State) activateJob(job *Job) {
	s.ActiveJobs[job] = true
	s.PendingJobs[job] = true
	job.WaitingSince = max(job.EligibleSince, s.TermStartedAt) // nobody schedules in the time before this term
	if job.Team != nil {
		job.Team.addUnfinished(job)
	}
	job.Class.RecordArrival(&job.Spec, job.EligibleSince)
	s.ScheduleSoon()
}

// BeginAbort notes that a cancellation is about to be written.
func (s *State) BeginAbort(job *Job) { s.transitionJob(job, Aborting) }

// FinalizeJob settles a job for good and winds its tasks up.
func (s *State) FinalizeJob(job *Job, aborted bool, now micro.Time) {
	if aborted {
		s.transitionJob(job, Aborted)
	} else {
		s.transitionJob(job, Done)
	}
	for _, allocation := range job.Allocations() {
		s.StopAllocation(allocation, "job over", 0, now)
	}
	s.ApplyFinalStatus(job.Spec.ID, FinalStatus{Aborted: aborted, EndedAt: now}, now)
	s.ScheduleSoon()
}
