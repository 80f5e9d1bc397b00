package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Source says how a worker's message came.
type Source uint8

// The ways.
const (
	FromHeartbeat        Source = iota // the worker's own report
	FromDispatchResponse               // the body of an answer to a direct order
)

// Outcome says what became of a report.
type Outcome uint8

// The verdicts.
const (
	Applied Outcome = iota
	Stale           // older than what is known: nothing was read from it
	Refused         // from a session or machine that is over
)

// Reconcile reads a worker's message into the model.
func (s *State) Reconcile(heartbeat *wire.Heartbeat, source Source, now micro.Time) (*Machine, Outcome) {
	if s.WasTerminated(heartbeat.Machine) {
		return nil, Refused
	}
	machine := s.EnsureMachine(heartbeat.Machine, now)
	if machine.State == Terminating {
		// It goes; only proofs of freedom could still be read, and the cloud's
		// answer is a better one.
		return machine, Refused
	}
	if outcome := s.checkFreshness(machine, heartbeat, source, now); outcome != Applied {
		return machine, outcome
	}
	if machine.Type == nil || machine.TypeName != heartbeat.Type {
		s.DescribeMachine(machine, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	}
	machine.Addr = heartbeat.Addr
	if epoch := uint64(heartbeat.AgentEpoch); epoch > machine.AgentEpoch {
		s.beginAgentEpoch(machine, epoch, now)
	}
	machine.AgentEpoch, machine.Sequence = uint64(heartbeat.AgentEpoch), uint64(heartbeat.Sequence)
	s.recordHeartbeat(machine, uint64(heartbeat.FencingToken), source, now)
	if heartbeat.PreemptionNoticeS != nil && machine.PreemptionAt == 0 {
		machine.PreemptionAt = now + micro.FromSeconds(max(*heartbeat.PreemptionNoticeS, 0))
		s.updatePool(machine)
		s.handlePreemptionNotice(machine, now)
	}
	s.releaseAbsent(machine, s.reconcileTasks(machine, heartbeat, now), source, now)
	return machine, Applied
}

// reconcileTasks reads the tasks of a report, and tells which attempts it names.
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

// releaseAbsent frees the places of attempts that a report does not name, where that
// proves that they are not on the machine and cannot come to it.
func (s *State) releaseAbsent(machine *Machine, reported map[AllocationKey]bool, source Source, now micro.Time) {
	for key := range machine.exitedAttempts {
		if !reported[key] {
			delete(machine.exitedAttempts, key)
		}
	}
	for _, allocation := range machine.sortedAllocations() {
		if reported[AllocationKey{allocation.TaskName, allocation.Attempt}] {
			continue
		}
		switch {
		case allocation.Observed:
			s.release(allocation, now)
		case source == FromHeartbeat && allocation.Stopping && machine.FencingToken > allocation.DispatchToken:
			// Never seen, and no start can still run: a start in an answer to a
			// beat runs before the next beat or not at all, and direct ones
			// carry tokens below what the worker has seen by now.
			s.release(allocation, now)
		case allocation.Restored && machine.FencingToken > allocation.DispatchToken:
			// Never seen, and the worker has seen a token of this term: whatever an
			// earlier one sent, in an answer or directly, it drops.
			s.release(allocation, now)
		}
	}
}

// reconcileTask reads a task that is on the machine.
func (s *State) reconcileTask(machine *Machine, key AllocationKey, status *wire.TaskStatus, now micro.Time) {
	allocation := machine.Allocations[key]
	if allocation == nil {
		allocation = s.adoptAttempt(machine, key)
		allocation.PlannedAt = now
		s.StopAllocation(allocation, "not in the records", 0, now)
	}
	allocation.Observed = true
	state := map[wire.TaskState]AllocationState{
		wire.TaskFetching: Fetching, wire.TaskWaitingForGang: Waiting, wire.TaskRunning: Running, wire.TaskCheckpointing: Checkpointing,
	}[status.State]
	if s.transitionAllocation(allocation, state) && state >= Waiting && allocation.taskKnown {
		machine.recordImage(allocation.Job.Spec.Image, allocation.Job.Spec.ImageGB, now)
	}
	if state == Running && allocation.RunningSince == 0 {
		allocation.RunningSince = now
	}
}

// adoptAttempt makes a place for a task that a worker has and the records lack. It
// holds its room until it is gone.
func (s *State) adoptAttempt(machine *Machine, key AllocationKey) *Allocation {
	allocation := &Allocation{
		TaskName: key.Task, Attempt: key.Attempt, Machine: machine, AgentEpoch: machine.AgentEpoch, State: Starting,
		DispatchToken: s.MinFencingToken - 1,
	}
	if id, index, ok := wire.ParseTaskName(key.Task); ok {
		if job := s.Jobs[id]; job != nil && index < len(job.Tasks) {
			allocation.Job, allocation.Index, allocation.taskKnown = job, index, true
			allocation.ScaledCPU = job.Spec.CPUs
			if job.Tasks[index].Queued {
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

// reconcileExit reads an ended attempt.
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
	job := s.Jobs[id]
	if job == nil || index >= len(job.Tasks) {
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

// recordCompletion reads a task's completion. A gang completes as one.
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

// recordFailure reads any other exit.
func (s *State) recordFailure(machine *Machine, allocation *Allocation, status *wire.TaskStatus, now micro.Time) {
	job := allocation.Job
	task := &job.Tasks[allocation.Index]
	if s.Verbose && (!allocation.Stopping || status.Cause != wire.CauseStopped) || status.Cause == wire.CauseError {
		s.Log(
			"exit", "task", allocation.TaskName, "try", allocation.Attempt, "machine", machine.Name, "cause",
			string(status.Cause),
		)
	}
	switch status.Cause {
	case wire.CauseError:
		s.recordTaskError(machine, allocation, now)
		s.backoff(task, now)
	case wire.CauseNoResources, wire.CauseAlreadyRunning, wire.CauseJobUnknown, wire.CauseGangTimeout:
		s.backoff(task, now)
		if status.Cause == wire.CauseNoResources {
			machine.QuarantinedUntil, machine.LastFaultAt = max(machine.QuarantinedUntil, now+2*micro.Second), now
		}
	}
}

func (s *State) backoff(task *Task, now micro.Time) {
	if task.Failures < 6 {
		task.Failures++
	}
	task.NotBefore = now + 250*micro.Millisecond<<task.Failures
}

// handlePreemptionNotice reacts to the cloud's notice that it takes the machine back: what can
// save does so at once; the rest may still complete in time.
func (s *State) handlePreemptionNotice(machine *Machine, now micro.Time) {
	s.Log("notice", "machine", machine.Name, "left_s", (machine.PreemptionAt - now).Seconds())
	for _, allocation := range machine.sortedAllocations() {
		if allocation.taskKnown && allocation.State == Running && allocation.Job.Spec.CheckpointIntervalS > 0 {
			s.StopAllocation(allocation, "spot notice", allocation.Job.Spec.CheckpointDurationS, now)
		} else if allocation.taskKnown && allocation.State < Running {
			s.StopAllocation(allocation, "spot notice", 0, now)
		}
	}
	s.ScheduleSoon()
}
