package cluster

// A service that changes hands as a whole keeps its team's quota: what its replicas free while they are
// stopped is not given to another job, and what those that wait will need is counted from the
// decision on. Its own allocations, and its assignment, take the place of what is held.

// heldQuota is for how many tasks, beside its allocations, a job's quota is held.
func (j *Job) heldQuota() int { return max(j.QuotaHoldTasks-j.AllocationCount, 0) }

// WithinQuota reports whether the quota of a job's team leaves capacity for so many more of its tasks;
// what is held for the job is its own.
func (j *Job) WithinQuota(tasks int) bool {
	tasks -= j.heldQuota()
	return j.Team == nil || tasks <= 0 || j.Team.WithinLimit(j.Spec.CPUs, j.Spec.GPUs, tasks)
}

// HoldQuota holds a job's quota for so many of its tasks, those with allocations among them; false:
// there is not so much.
func (s *State) HoldQuota(job *Job, tasks int) bool {
	if !job.WithinQuota(tasks - job.AllocationCount) {
		return false
	}
	s.setQuotaHold(job, tasks)
	return true
}

// ReleaseQuotaHold gives back what is held and not used.
func (s *State) ReleaseQuotaHold(job *Job) {
	if job.QuotaHoldTasks > 0 {
		s.setQuotaHold(job, 0)
		s.ScheduleSoon()
	}
}

func (s *State) setQuotaHold(job *Job, tasks int) {
	before := job.heldQuota()
	job.QuotaHoldTasks = tasks
	s.chargeQuota(job, job.heldQuota()-before)
}

// countAllocation counts an allocation of a job, or its end, against its team's quota: once beside
// what is held.
func (s *State) countAllocation(job *Job, change int) {
	before := job.heldQuota()
	job.AllocationCount += change
	s.chargeQuota(job, change+job.heldQuota()-before)
}
