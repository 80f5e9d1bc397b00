package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// transitionAllocation changes an allocation's state and reports whether the transition was
// allowed. It is the only function that changes that state.
func (s *State) transitionAllocation(allocation *Allocation, to AllocationState) bool {
	if allocation.State == to || !allocation.State.CanTransitionTo(to) {
		return false
	}
	previous := allocation.State
	allocation.State = to
	if allocation.taskKnown {
		s.updateRunningCount(allocation.Job, previous, to)
	}
	return true
}

// updateRunningCount updates the number of running tasks of a job after a state transition of one
// of its allocations.
func (s *State) updateRunningCount(job *Job, from, to AllocationState) {
	if from == Running {
		job.RunningTasks--
	}
	if to != Running {
		return
	}
	job.RunningTasks++
	if !job.Started {
		job.Started = true
		s.Log("job started running", "job", job.Spec.ID)
	}
}

// release releases an allocation and its resources. Callers must have one of these proofs that the
// attempt no longer runs and cannot start:
//
//   - a newer message of the agent reports that the attempt ended;
//   - a newer message of the agent no longer reports an attempt that was observed before or whose
//     start command can no longer take effect;
//   - the agent has begun a later epoch;
//   - the agent's lease has certainly expired;
//   - the cloud reports that the machine no longer exists.
func (s *State) release(allocation *Allocation, now micro.Time) {
	if !s.transitionAllocation(allocation, Released) {
		return
	}
	machine := allocation.Machine
	delete(machine.Allocations, allocation.key())
	machine.IdleSince = now
	if !allocation.taskKnown {
		return
	}
	s.unreserve(allocation)
	job := allocation.Job
	s.markChunkDirty(job, allocation.Index)
	s.ScheduleSoon()
	if job.AllocationCount == 0 {
		job.UnallocatedSince = now
	}
	if job.Spec.Kind == wire.Gang {
		s.abortGangAttempt(job, now)
		return
	}
	s.requeue(job, allocation.Index, now)
}

// StopAllocation requests that an attempt be stopped. graceS is the grace period in seconds; if it
// is at least the job's checkpoint duration, the task can write a checkpoint. A further call can
// only shorten the grace period.
func (s *State) StopAllocation(allocation *Allocation, reason string, graceS float64, now micro.Time) {
	if allocation.State == Released {
		return
	}
	if allocation.State == Planned {
		// No start command has been sent and none will be, so the resources are free at once.
		s.release(allocation, now)
		return
	}
	if allocation.Stopping && graceS >= allocation.GraceS {
		return
	}
	if !allocation.Stopping {
		allocation.StopRequestedAt = now
		if allocation.taskKnown {
			allocation.Machine.addAllocationUsage(allocation, -1)
		}
	}
	wasStopping := allocation.Stopping
	allocation.Stopping, allocation.GraceS, allocation.StopReason = true, graceS, reason
	if !wasStopping && allocation.taskKnown {
		allocation.Machine.addAllocationUsage(allocation, 1)
	}
	if s.Verbose {
		s.Log(
			"stopping task",
			"task",
			allocation.TaskName,
			"attempt",
			allocation.Attempt,
			"machine",
			allocation.Machine.Name,
			"reason",
			reason,
			"grace_s",
			graceS,
		)
	}
	s.DispatchSoon(allocation.Machine)
}

// ChunkPersisted records that a version of a chunk is in the store. Start commands that were
// waiting for it can now be sent.
func (s *State) ChunkPersisted(chunk *TaskChunk, version uint64) {
	chunk.StoredVersion = max(chunk.StoredVersion, version)
	if !chunk.Stored {
		chunk.Stored = true
		if legacy := chunk.Legacy; legacy != nil {
			if legacy.PendingChunks--; legacy.PendingChunks == 0 {
				s.LegacyRecordSuperseded(legacy)
			}
		}
	}
	for _, allocation := range chunk.Allocations {
		if allocation.State == Planned && allocation.ChunkVersion <= chunk.StoredVersion {
			s.transitionAllocation(allocation, Starting)
			s.DispatchSoon(allocation.Machine)
		}
	}
}

// abortGangAttempt stops a gang's attempt after it lost a member. Once all its allocations are
// released, every task is requeued under the next attempt number. A replacement may be started
// under the same number only before the gang has started. A new leader cannot know whether it has,
// so the attempt is always aborted as a whole.
func (s *State) abortGangAttempt(job *Job, now micro.Time) {
	if job.State != Active {
		return
	}
	if job.AllocationCount > 0 {
		job.GangStopping = true
		for _, allocation := range job.Allocations() {
			s.StopAllocation(allocation, "gang lost a member", 0, now)
		}
		return
	}
	if job.State != Active || !job.GangStopping && job.PendingTasks() == len(job.Tasks) {
		return
	}
	job.GangStopping = false
	for i := range job.Tasks {
		s.requeue(job, i, now)
	}
}
