package cluster

import (
	"notchmux.dev/notchmux/internal/cluster/lifecycle"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Reconcile applies an agent's message to the state. It must be called on the goroutine that owns
// the state. The returned machine is nil if the message came from a machine that was terminated.
func (s *State) Reconcile(heartbeat *wire.Heartbeat, source Source, now micro.Time) (*Machine, Outcome) {
	if s.WasTerminated(heartbeat.Machine) {
		return nil, Refused
	}
	machine := s.EnsureMachine(heartbeat.Machine, now)
	if machine.State == Terminating {
		// The machine is being terminated. Its messages could only prove allocations released, and
		// the cloud's confirmation of the termination is a stronger proof.
		return machine, Refused
	}
	epoch, sequence := uint64(heartbeat.AgentEpoch), uint64(heartbeat.Sequence)
	if outcome := machine.CheckFreshness(epoch, sequence, source, now); outcome != Applied {
		return machine, outcome
	}
	s.reconcileDescription(machine, heartbeat)
	s.reconcileContact(machine, heartbeat, source, now)
	s.reconcilePreemptionNotice(machine, heartbeat, now)
	reported := s.reconcileTasks(machine, heartbeat, now)
	machine.dropForgottenExits(reported)
	s.releaseAbsent(machine, reported, source, now)
	return machine, Applied
}

// reconcileDescription updates the machine's description from the heartbeat.
func (s *State) reconcileDescription(machine *Machine, heartbeat *wire.Heartbeat) {
	if machine.Type == nil || machine.TypeName != heartbeat.Type {
		s.DescribeMachine(machine, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	}
	machine.Addr = heartbeat.Addr
}

// reconcileContact updates the agent's epoch, sequence number and fencing token.
func (s *State) reconcileContact(machine *Machine, heartbeat *wire.Heartbeat, source Source, now micro.Time) {
	if epoch := uint64(heartbeat.AgentEpoch); epoch > machine.AgentEpoch {
		s.beginAgentEpoch(machine, epoch, now)
	}
	machine.AgentEpoch, machine.Sequence = uint64(heartbeat.AgentEpoch), uint64(heartbeat.Sequence)
	s.recordHeartbeat(machine, uint64(heartbeat.FencingToken), source, now)
}

// reconcilePreemptionNotice handles the first notice that the cloud will preempt a spot machine.
func (s *State) reconcilePreemptionNotice(machine *Machine, heartbeat *wire.Heartbeat, now micro.Time) {
	if heartbeat.PreemptionNoticeS == nil || machine.PreemptionAt != 0 {
		return
	}
	machine.PreemptionAt = now + micro.FromSeconds(max(*heartbeat.PreemptionNoticeS, 0))
	s.updatePool(machine)
	s.handlePreemptionNotice(machine, now)
}

// reconcileTasks applies the tasks in a heartbeat, and returns the attempts that it reports.
func (s *State) reconcileTasks(
	machine *Machine, heartbeat *wire.Heartbeat, now micro.Time,
) (reported map[AllocationKey]bool) {
	reported = make(map[AllocationKey]bool, len(heartbeat.Tasks))
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		key := AllocationKey{status.Task, uint64(status.Attempt)}
		reported[key] = true
		if status.State == wire.TaskExited {
			s.reconcileExit(machine, key, status, now)
		} else {
			s.reconcileTask(machine, key, status, now)
		}
	}
	return reported
}

// dropForgottenExits drops the exited attempts that the agent no longer reports.
func (m *Machine) dropForgottenExits(reported map[AllocationKey]bool) {
	for key := range m.exitedAttempts {
		if !reported[key] {
			delete(m.exitedAttempts, key)
		}
	}
}

// releaseAbsent releases the allocations of attempts that a heartbeat does not report, if that
// proves that they are not on the machine and can no longer start there.
func (s *State) releaseAbsent(machine *Machine, reported map[AllocationKey]bool, source Source, now micro.Time) {
	for _, allocation := range machine.SortedAllocations() {
		if !reported[allocation.key()] && allocation.absenceProvesRelease(source) {
			s.release(allocation, now)
		}
	}
}

// absenceProvesRelease reports whether an attempt that a heartbeat does not report is certainly not
// on its machine and can no longer start there.
func (a *Allocation) absenceProvesRelease(source Source) bool {
	seenNewerToken := a.Machine.FencingToken > a.DispatchToken
	switch {
	case a.Observed:
		return true
	case source == FromHeartbeat && a.Stopping && seenNewerToken:
		// Never observed, and no start command can still take effect: one in the response to a
		// heartbeat is executed before the next heartbeat or not at all, and dispatched ones carry
		// tokens below the one that the agent has seen by now.
		return true
	default:
		// Never observed, and the agent has seen a token of this term, so it discards all commands
		// of earlier terms, whether sent in a response or dispatched.
		return a.Restored && seenNewerToken
	}
}

// reconcileTask applies the status of a task that is on the machine.
func (s *State) reconcileTask(machine *Machine, key AllocationKey, status *wire.TaskStatus, now micro.Time) {
	allocation := machine.Allocations[key]
	if allocation == nil {
		allocation = s.adoptAttempt(machine, key)
		allocation.PlannedAt = now
		s.StopAllocation(allocation, "not in the records", 0, now)
	}
	allocation.Observed = true
	state := lifecycle.ReportedState(status.State)
	if s.transitionAllocation(allocation, state) && state >= Waiting && allocation.taskKnown {
		machine.recordImage(allocation.Job.Spec.Image, allocation.Job.Spec.ImageGB, now)
	}
	if state == Running && allocation.RunningSince == 0 {
		allocation.RunningSince = now
	}
}

// localJob returns the job of a task if this controller keeps its records. It returns nil if the
// job is unknown or another controller keeps its records. A late report of an attempt that is in no
// record must not change the records of a job that has been transferred since.
func (s *State) localJob(id string, index int) *Job {
	job := s.Jobs[id]
	if job == nil || index >= len(job.Tasks) || job.Shard != "" || job.State == Assigned {
		return nil
	}
	return job
}

// adoptAttempt creates an allocation for an attempt that an agent reports but the records lack. It
// uses the task's resources until it is released.
func (s *State) adoptAttempt(machine *Machine, key AllocationKey) *Allocation {
	allocation := &Allocation{
		TaskName: key.Task, Attempt: key.Attempt, Machine: machine, AgentEpoch: machine.AgentEpoch, State: Starting,
		DispatchToken: s.MinFencingToken - 1,
	}
	if id, index, ok := wire.ParseTaskName(key.Task); ok {
		if job := s.localJob(id, index); job != nil {
			allocation.Job, allocation.Index, allocation.taskKnown = job, index, true
			allocation.ScaledCPU = job.Spec.CPUs
			if job.Tasks[index].Requeued {
				s.dequeue(job, index)
			}
			job.Tasks[index].Attempt = max(job.Tasks[index].Attempt, uint32(key.Attempt))
		}
	}
	s.reserve(allocation)
	if allocation.taskKnown {
		s.markChunkDirty(allocation.Job, allocation.Index)
	}
	return allocation
}

// reconcileExit applies the status of an ended attempt.
func (s *State) reconcileExit(machine *Machine, key AllocationKey, status *wire.TaskStatus, now micro.Time) {
	if machine.exitedAttempts[key] != nil {
		return
	}
	exited := &exitedAttempt{dispatchToken: s.MinFencingToken - 1}
	machine.exitedAttempts[key] = exited
	allocation := machine.Allocations[key]
	if allocation != nil {
		exited.dispatchToken = max(exited.dispatchToken, allocation.DispatchToken)
	}
	id, index, _ := wire.ParseTaskName(key.Task)
	job := s.localJob(id, index)
	if allocation != nil && allocation.taskKnown {
		job = allocation.Job
	}
	if job == nil {
		if allocation != nil {
			s.release(allocation, now)
		}
		return
	}
	if status.Cause == wire.CauseDone {
		s.recordCompletion(job, index, allocation, now)
	} else if allocation != nil {
		s.recordFailure(machine, allocation, status, now)
	}
	if allocation != nil {
		s.release(allocation, now)
	}
	exited.chunk = job.Chunk(index)
	exited.chunkVersion = exited.chunk.MemoryVersion
}

// recordCompletion records the completion of a task. If one task of a gang completes, the whole
// gang is complete.
func (s *State) recordCompletion(job *Job, index int, allocation *Allocation, now micro.Time) {
	if allocation != nil && allocation.RunningSince > 0 {
		s.AttemptCompleted(allocation, now-allocation.RunningSince)
	}
	if job.Spec.Kind == wire.Gang {
		for i := range job.Tasks {
			s.finishTask(job, i, now)
		}
		return
	}
	s.finishTask(job, index, now)
}

// recordFailure records an exit other than a completion.
func (s *State) recordFailure(machine *Machine, allocation *Allocation, status *wire.TaskStatus, now micro.Time) {
	job := allocation.Job
	task := &job.Tasks[allocation.Index]
	if s.Verbose && (!allocation.Stopping || status.Cause != wire.CauseStopped) || status.Cause == wire.CauseError {
		s.Log(
			"task attempt exited", "task", allocation.TaskName, "attempt", allocation.Attempt,
			"machine", machine.Name, "cause", string(status.Cause),
		)
	}
	switch status.Cause {
	case wire.CauseError:
		s.recordTaskError(machine, allocation, now)
		task.BackOff(now)
	case wire.CauseNoResources, wire.CauseAlreadyRunning, wire.CauseJobUnknown, wire.CauseGangTimeout:
		task.BackOff(now)
		if status.Cause == wire.CauseNoResources {
			machine.RecordRefusal(now)
		}
	}
}

// handlePreemptionNotice handles the cloud's notice that it will preempt a spot instance. Tasks
// that can write a checkpoint are stopped so that they do so at once. Other running tasks may still
// complete in time.
func (s *State) handlePreemptionNotice(machine *Machine, now micro.Time) {
	s.Log("preemption notice received", "machine", machine.Name, "left_s", (machine.PreemptionAt - now).Seconds())
	for _, allocation := range machine.SortedAllocations() {
		if allocation.taskKnown && allocation.State == Running && allocation.Job.Spec.CheckpointIntervalS > 0 {
			s.StopAllocation(allocation, "spot preemption notice", allocation.Job.Spec.CheckpointDurationS, now)
		} else if allocation.taskKnown && allocation.State < Running {
			s.StopAllocation(allocation, "spot preemption notice", 0, now)
		}
	}
	s.ScheduleSoon()
}
