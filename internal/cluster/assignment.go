package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A job may be assigned as a whole to a shard, whose owner then schedules its tasks. From then on
// the tasks count against the quota of the job's team until the assignment record is deleted,
// because only then is it certain that none of them is on a machine. While the job is assigned, the
// leader's chunk records of its tasks are left unchanged, or are deleted once the shard owner has
// stored its own.

// NeverAllocated reports whether none of the job's tasks was ever allocated, that is, whether the
// store has no records of its tasks.
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

// CanTransfer reports whether a waiting job may be transferred as a whole to a shard or back: none
// of its tasks is, or may be, on a machine. A job that had allocations earlier may be transferred
// only if all controllers support handover.
func (s *State) CanTransfer(job *Job) bool {
	if job.State != Active || job.AllocationCount > 0 {
		return false
	}
	return s.HandoverSupported || job.NeverAllocated()
}

// UnallocatedFor returns how long a waiting job has had no allocation at all. WaitingSince alone is
// not sufficient: it is the time since which the first of its pending tasks have been waiting, and
// other tasks may have run until now.
func (j *Job) UnallocatedFor(now micro.Time) micro.Time {
	return now - max(j.WaitingSince, j.UnallocatedSince)
}

// UnfinishedTasks returns the number of the job's tasks that are not done.
func (j *Job) UnfinishedTasks() int { return len(j.Tasks) - j.DoneTasks }

// Assign assigns a waiting job to a shard and reserves quota for its tasks. It returns the number
// of tasks that the team's quota allows: all unfinished tasks or, for an array, possibly only some
// of them. It returns 0 if the job was not assigned.
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

// RestoreAssignment restores a job's assignment that was read from the store, regardless of the
// current quotas.
func (s *State) RestoreAssignment(job *Job, shard string, tasks int) {
	if job.State == Active {
		s.transitionJob(job, Assigned)
	}
	if job.Shard == "" {
		s.setAssignment(job, shard, tasks)
	}
}

// setAssignment records the shard and reserves quota for the given number of tasks.
func (s *State) setAssignment(job *Job, shard string, tasks int) {
	job.Shard, job.ReservedTasks = shard, tasks
	s.chargeQuota(job, tasks)
}

// chargeQuota adds the resources of the given number of tasks, which may be negative, to the quota
// usage of the job's team.
func (s *State) chargeQuota(job *Job, tasks int) {
	if job.Team != nil {
		job.Team.UsedCPU += float64(tasks) * job.Spec.CPUs
		job.Team.UsedGPU += float64(tasks) * job.Spec.GPUs
	}
}

// Unassign handles the deletion of a job's assignment record: none of its tasks is in the shard any
// longer. An unfinished job is scheduled by this controller again.
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

// FinishAssigned marks a job as finishing after the shard owner reported that all its tasks are
// done and that this is stored.
func (s *State) FinishAssigned(job *Job) {
	if job.State != Assigned {
		return
	}
	job.ShardRunningTasks, job.ShardDoneTasks = 0, len(job.Tasks)
	s.transitionJob(job, Finishing)
	s.JobFinished(job)
}

// PrepareTransfer stops scheduling the tasks of a job that is being handed back. Remaining
// allocations are stopped with a grace period long enough for a checkpoint.
func (s *State) PrepareTransfer(job *Job, now micro.Time) {
	if job.State != Active {
		return
	}
	s.transitionJob(job, Assigned)
	for _, allocation := range job.Allocations() {
		s.StopAllocation(allocation, "job is being handed back", job.Spec.CheckpointDurationS, now)
	}
}

// ResumeScheduling schedules a job again that was assigned to a shard or prepared for a transfer
// and now belongs to this controller.
func (s *State) ResumeScheduling(job *Job, now micro.Time) {
	if job.State != Assigned {
		return
	}
	s.removeUnfinished(job)
	s.transitionJob(job, Active)
	job.WaitingSince = now
}

// rewriteHandedOverChunks marks the chunk records that were deleted when the job was handed over to
// a shard as dirty, so that they are written again.
func (s *State) rewriteHandedOverChunks(job *Job) {
	for _, chunk := range job.Chunks {
		if chunk.HandedOver {
			chunk.HandedOver = false
			chunk.MemoryVersion++
			s.ChunkDirty(chunk)
		}
	}
}

// ReleaseQuota releases the quota that is reserved for a job in a shard beyond the given number of
// tasks, which is the number that may still run at the same time.
func (s *State) ReleaseQuota(job *Job, needed int) {
	if job.Shard == "" || needed >= job.ReservedTasks {
		return
	}
	s.chargeQuota(job, needed-job.ReservedTasks)
	job.ReservedTasks = needed
	s.ScheduleSoon()
}

// ReserveQuota reserves quota for up to the given number of additional tasks of a job in a shard.
// It returns the number of tasks for which quota was available.
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
