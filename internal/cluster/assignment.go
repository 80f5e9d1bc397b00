package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A job may be assigned as a whole to a shard of the machines, whose owner schedules its
// tasks. From then on all of them count against its team's quota, until the record of
// the assignment is gone: only then is surely none of them on a machine. While it is assigned,
// the leader's records of its tasks stay as they are, or are deleted once the owner has its own.

// NeverAllocated reports whether none of a job's tasks was ever allocated: there are no records
// of its tasks.
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

// CanTransfer reports whether a job that waits could go to a shard, or back, as a whole: none
// of its tasks is on a machine, or may be. A job that had allocations before may only where all
// controllers can go on with it.
func (s *State) CanTransfer(job *Job) bool {
	if job.State != Active || job.AllocationCount > 0 {
		return false
	}
	return s.HandoverSupported || job.NeverAllocated()
}

// UnallocatedFor is for how long a job that waits has had no allocation at all. Where WaitingSince is
// since when its first tasks wait, others may have run until now.
func (j *Job) UnallocatedFor(now micro.Time) micro.Time {
	return now - max(j.WaitingSince, j.UnallocatedSince)
}

// UnfinishedTasks is how many of a job's tasks are not done.
func (j *Job) UnfinishedTasks() int { return len(j.Tasks) - j.DoneTasks }

// Assign gives a waiting job to a shard, and says how many of its tasks its team's quota has
// capacity for: all that are not done, or some of an array's; 0: it was not assigned.
func (s *State) Assign(job *Job, shard string) int {
	tasks := job.UnfinishedTasks()
	if tasks == 0 || !s.CanTransfer(job) || job.Team != nil && job.Team.QuotaWithheldFrom(job) {
		return 0
	}
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
	job.UnassignedAt = now
	s.rewriteHandedOverChunks(job)
	s.ResumeScheduling(job, now)
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

// PrepareTransfer keeps a job's tasks from being scheduled here: it is handed back. Those that
// still have allocations are stopped, with the time that a checkpoint takes.
func (s *State) PrepareTransfer(job *Job, now micro.Time) {
	if job.State != Active {
		return
	}
	s.transitionJob(job, Assigned)
	for _, allocation := range job.Allocations() {
		s.StopAllocation(allocation, "the job is handed back", job.Spec.CheckpointDurationS, now)
	}
}

// ResumeScheduling has a job that was kept from being scheduled here scheduled: it is this
// controller's by now.
func (s *State) ResumeScheduling(job *Job, now micro.Time) {
	if job.State != Assigned {
		return
	}
	s.removeUnfinished(job)
	s.transitionJob(job, Active)
	job.WaitingSince = now
}

// rewriteHandedOverChunks has the records written anew that were deleted as a job went to a shard.
func (s *State) rewriteHandedOverChunks(job *Job) {
	for _, chunk := range job.Chunks {
		if chunk.HandedOver {
			chunk.HandedOver = false
			chunk.MemoryVersion++
			s.ChunkDirty(chunk)
		}
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
	if job.Shard == "" || tasks <= 0 || job.Team != nil && job.Team.QuotaWithheldFrom(job) {
		return 0
	}
	if job.Team != nil {
		tasks = min(tasks, job.Team.TaskHeadroom(job.Spec.CPUs, job.Spec.GPUs))
	}
	job.ReservedTasks += tasks
	s.chargeQuota(job, tasks)
	return tasks
}
