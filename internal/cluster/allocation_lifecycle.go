package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// transitionAllocation is the only function that changes an allocation's state.
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

// updateRunningCount keeps the number of a job's running tasks after a transition of one of its
// allocations.
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
		s.Log("job runs", "job", job.Spec.ID)
	}
}

// release gives an allocation up. It is called only with one of the proofs: a newer message of
// the agent shows that the attempt ended, or does not show it after it had been seen or its
// start had settled; a later agent epoch; the agent's lease surely ran out; the cloud said that
// the machine is gone.
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

// StopAllocation asks for an attempt to be stopped. A grace period of at least the job's
// checkpoint duration, in seconds, lets it write a checkpoint. A second call can only shorten
// the grace period.
func (s *State) StopAllocation(allocation *Allocation, reason string, graceS float64, now micro.Time) {
	if allocation.State == Released {
		return
	}
	if allocation.State == Planned {
		// No start has gone out, and none will: nothing is used at once.
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
			"stop",
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

// ChunkPersisted notes that a chunk's version is in the store: starts may go out.
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

// abortGangAttempt stops a gang's attempt after a member went; when all its allocations are
// released, every task is scheduled anew under the next attempt number. Starting a replacement
// under the same number is allowed only before the gang has started, which a new leader cannot
// know: the attempt is always given up whole.
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
