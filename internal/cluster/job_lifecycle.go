package cluster

import "notchmux.dev/notchmux/internal/micro"

// IsTerminal reports whether the job's final status is in the store.
func (j *Job) IsTerminal() bool { return j.State == Done || j.State == Aborted }

// transitionJob changes a job's state. It is the only function that does so.
func (s *State) transitionJob(job *Job, to JobState) {
	if job.State == to {
		return
	}
	if !job.State.CanTransitionTo(to) {
		s.Log("job state transition refused", "job", job.Spec.ID, "from", job.State.String(), "to", to.String())
		return
	}
	if job.State == Blocked {
		s.BlockedJobs--
	}
	job.State = to
	switch to {
	case Active:
		s.activateJob(job)
	case Assigned: // the job still uses its part of its team's guarantee
		delete(s.PendingJobs, job)
		delete(s.ActiveJobs, job)
	default:
		delete(s.PendingJobs, job)
		delete(s.ActiveJobs, job)
		s.removeUnfinished(job)
	}
}

// activateJob makes a job eligible for scheduling.
func (s *State) activateJob(job *Job) {
	s.ActiveJobs[job] = true
	s.PendingJobs[job] = true
	job.WaitingSince = max(job.EligibleSince, s.TermStartedAt) // nothing is scheduled before this term begins
	if job.Team != nil {
		job.Team.addUnfinished(job)
	}
	job.Class.RecordArrival(&job.Spec, job.EligibleSince)
	s.ScheduleSoon()
}

// BeginAbort marks a job whose cancellation is about to be stored.
func (s *State) BeginAbort(job *Job) { s.transitionJob(job, Aborting) }

// FinalizeJob moves a job to its final state and stops its remaining tasks.
func (s *State) FinalizeJob(job *Job, aborted bool, now micro.Time) {
	if aborted {
		s.transitionJob(job, Aborted)
	} else {
		s.transitionJob(job, Done)
	}
	for _, allocation := range job.Allocations() {
		s.StopAllocation(allocation, "job over", 0, now)
	}
	s.ApplyFinalStatus(job.Spec.ID, FinalStatus{Aborted: aborted, EndedAt: now})
	s.ScheduleSoon()
}
