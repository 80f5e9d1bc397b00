package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
)

// JobState is a job's state in the leader's picture.
type JobState uint8

// The states of a job.
const (
	Active    JobState = iota
	Finishing          // all tasks are done, its end is being written
	Aborting           // its withdrawal is being written
	Done
	Aborted
	Blocked  // for other jobs to be done
	Assigned // to a share of the machines: its owner places it
)

func (s JobState) String() string {
	return [...]string{"active", "finishing", "aborting", "done", "aborted", "awaiting", "assigned"}[s]
}

var jobTransitions = map[[2]JobState]bool{
	{Active, Finishing}: true, {Active, Aborting}: true, {Finishing, Done}: true,
	{Finishing, Aborted}: true, {Aborting, Aborted}: true, {Aborting, Done}: true,
	{Active, Done}: true, {Active, Aborted}: true,
	{Blocked, Active}: true, {Blocked, Aborting}: true, {Blocked, Aborted}: true,
	{Active, Assigned}: true, {Assigned, Active}: true, {Assigned, Aborting}: true,
	{Assigned, Finishing}: true, {Assigned, Done}: true, {Assigned, Aborted}: true,
}

// IsTerminal reports whether the job's end is in the store.
func (j *Job) IsTerminal() bool { return j.State == Done || j.State == Aborted }

// transitionJob is the one place where a job's state changes.
func (s *State) transitionJob(job *Job, to JobState) {
	if job.State == to {
		return
	}
	if !jobTransitions[[2]JobState{job.State, to}] {
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
		s.leaveTeam(job)
	}
}

// activateJob lets a job compete for room.
func (s *State) activateJob(job *Job) {
	s.ActiveJobs[job] = true
	s.PendingJobs[job] = true
	job.WaitingSince = max(job.EligibleSince, s.TermStartedAt) // no leader looks for room in its predecessor's time
	if job.Team != nil {
		// Kept in the order in which they could start, for guarantees.
		unfinished := append(job.Team.unfinished, job)
		for i := len(unfinished) - 1; i > 0 && unfinished[i-1].EligibleSince > unfinished[i].EligibleSince; i-- {
			unfinished[i-1], unfinished[i] = unfinished[i], unfinished[i-1]
		}
		job.Team.unfinished = unfinished
	}
	job.Class.LastJob = &job.Spec
	job.Class.jobCount++
	job.Class.MeanImageGB += (job.Spec.ImageGB - job.Class.MeanImageGB) / job.Class.jobCount
	for range min(job.Spec.Tasks, 50) {
		job.Class.Arrivals = append(job.Class.Arrivals, job.EligibleSince)
	}
	if arrivals := len(job.Class.Arrivals); arrivals > 400 {
		job.Class.Arrivals = append([]micro.Time(nil), job.Class.Arrivals[arrivals-200:]...)
	}
	s.ScheduleSoon()
}

// BeginAbort notes that a withdrawal is about to be written.
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
