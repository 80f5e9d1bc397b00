package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A job may be assigned as a whole to a shard of the machines, whose owner schedules its
// tasks. From then on all of them count against its team's quota, until the record of
// the assignment is gone: only then is surely none of them on a machine.

// NeverAllocated reports whether none of a job's tasks was ever allocated: only such a job may
// be assigned, or handed back.
func (j *Job) NeverAllocated() bool {
	if j.AllocationCount > 0 || j.DoneTasks > 0 || !j.NeverDequeued() {
		return false
	}
	for _, chunk := range j.Chunks {
		if chunk.Stored || chunk.KeyRevision != 0 || chunk.MemoryVersion > 0 {
			return false
		}
	}
	return true
}

// Assign gives a waiting job to a shard, and says how many of its tasks its team's quota has
// capacity for: all of them, or some of an array's; 0: it was not assigned.
func (s *State) Assign(job *Job, shard string) int {
	if job.State != Active || !job.NeverAllocated() {
		return 0
	}
	tasks := len(job.Tasks)
	if job.Team != nil && !job.Team.WithinLimit(job.Spec.CPUs, job.Spec.GPUs, tasks) {
		if job.Spec.Kind != wire.JobArray {
			return 0
		}
		if tasks = job.Team.TaskHeadroom(job.Spec.CPUs, job.Spec.GPUs); tasks == 0 {
			return 0
		}
	}
	s.transitionJob(job, Assigned)
	s.setAssignment(job, shard, tasks)
	return tasks
}

// RestoreAssignment notes that a job's assignment was read from the store, whatever the quotas
// are now.
func (s *State) RestoreAssignment(job *Job, shard string, tasks int) {
	if job.State == Active {
		s.transitionJob(job, Assigned)
	}
	if job.Shard == "" {
		s.setAssignment(job, shard, tasks)
	}
}

func (s *State) setAssignment(job *Job, shard string, tasks int) {
	job.Shard, job.ReservedTasks = shard, tasks
	s.chargeQuota(job, tasks)
}

// chargeQuota changes by so many tasks what a job uses of its team's quota.
func (s *State) chargeQuota(job *Job, tasks int) {
	if job.Team != nil {
		job.Team.UsedCPU += float64(tasks) * job.Spec.CPUs
		job.Team.UsedGPU += float64(tasks) * job.Spec.GPUs
	}
}

// Unassign notes that the record of a job's assignment is gone: none of its tasks is in the
// shard. One that is not over waits to be scheduled again.
func (s *State) Unassign(job *Job, now micro.Time) {
	if job.Shard == "" {
		return
	}
	s.chargeQuota(job, -job.ReservedTasks)
	job.Shard, job.ReservedTasks, job.ShardRunningTasks, job.ShardDoneTasks = "", 0, 0, 0
	if job.State == Assigned {
		s.leaveTeam(job)
		s.transitionJob(job, Active)
		job.WaitingSince = now
	}
	s.ScheduleSoon()
}

// FinishAssigned notes that the owner of a job's shard says that all its tasks are done, and has
// stored that.
func (s *State) FinishAssigned(job *Job) {
	if job.State != Assigned {
		return
	}
	job.ShardRunningTasks, job.ShardDoneTasks = 0, len(job.Tasks)
	s.transitionJob(job, Finishing)
	s.JobFinished(job)
}

// PrepareTransfer keeps a job that was never allocated from being scheduled here: it is handed
// back.
func (s *State) PrepareTransfer(job *Job) {
	if job.State == Active && job.NeverAllocated() {
		s.transitionJob(job, Assigned)
	}
}

// ReleaseQuota gives back what a job in a shard has reserved beyond the tasks that it may still
// run at once.
func (s *State) ReleaseQuota(job *Job, needed int) {
	if job.Shard == "" || needed >= job.ReservedTasks {
		return
	}
	s.chargeQuota(job, needed-job.ReservedTasks)
	job.ReservedTasks = needed
	s.ScheduleSoon()
}

// ReserveQuota reserves quota for up to so many more tasks of a job in a shard, and says for how
// many there was some.
func (s *State) ReserveQuota(job *Job, tasks int) int {
	if job.Shard == "" || tasks <= 0 {
		return 0
	}
	if job.Team != nil {
		tasks = min(tasks, job.Team.TaskHeadroom(job.Spec.CPUs, job.Spec.GPUs))
	}
	job.ReservedTasks += tasks
	s.chargeQuota(job, tasks)
	return tasks
}
