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

// checkFreshness decides by a message's session and number whether it is newer than what is
// known of the machine.
func (s *State) checkFreshness(machine *Machine, heartbeat *wire.Heartbeat, source Source, now micro.Time) Outcome {
	epoch, sequence := uint64(heartbeat.AgentEpoch), uint64(heartbeat.Sequence)
	if epoch <= machine.ExpiredEpoch {
		// Held up on the way: this session's lease surely ran out already.
		return Refused
	}
	if epoch > machine.AgentEpoch || epoch == machine.AgentEpoch && sequence > machine.Sequence {
		return Applied
	}
	if source == FromHeartbeat && epoch == machine.AgentEpoch {
		// Overtaken by the answer to a direct order, or a late copy. The
		// worker may still take our answer, and that would renew its lease;
		// but it is no sign of life: copies may come long after the worker
		// died.
		machine.LeaseRenewedAt = now
	}
	return Stale
}

// beginAgentEpoch frees what a machine held in earlier sessions.
func (s *State) beginAgentEpoch(machine *Machine, epoch uint64, now micro.Time) {
	if machine.AgentEpoch > 0 && machine.State == Up && now-machine.LeaseRenewedAt < s.LeaseDuration/2 {
		machine.MissedResponses = responsesLostAfter // its lease ran out though it was answered
	}
	for _, allocation := range machine.sortedAllocations() {
		if allocation.AgentEpoch < epoch {
			s.release(allocation, now)
		}
	}
	clear(machine.exitedAttempts)
	// The lease of a session counts from its beginning, before any answer to a
	// report: heard of in the answer to a direct order after an outage, a new
	// session was taken for over by the last answer to the one before.
	machine.LeaseRenewedAt = now
}

// recordHeartbeat notes a sign of life and the token that the worker has seen.
func (s *State) recordHeartbeat(machine *Machine, token uint64, source Source, now micro.Time) {
	machine.FencingToken = max(machine.FencingToken, token)
	machine.LastHeartbeat, machine.DispatchUnanswered = now, false
	if source == FromHeartbeat {
		machine.LeaseRenewedAt = now
		s.trackResponseReceipt(machine, token)
		if machine.FirstHeartbeat == 0 {
			machine.FirstHeartbeat = now
			machine.IdleSince = now
		}
	}
	if token >= machine.RequiredFencingToken {
		// Only an echo of a token given out since then proves that the report
		// is no late copy of a machine that is gone, silent or returned.
		s.TransitionMachine(machine, Up, "reports")
	}
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

// Commands are what the machine's worker is to do now. Token is the one that the
// orders go out under; direct says that they go to the worker by themselves.
func (s *State) Commands(machine *Machine, token uint64, dispatched bool, now micro.Time) []wire.Command {
	var commands []wire.Command
	for _, allocation := range machine.sortedAllocations() {
		switch {
		case allocation.Stopping && (allocation.Observed || allocation.State != Planned):
			grace := allocation.GraceS
			commands = append(
				commands,
				wire.Command{
					Kind: wire.CommandStop, Task: allocation.TaskName, Attempt: wire.Count(allocation.Attempt), GracePeriodS: &grace,
				},
			)
		case allocation.State == Starting && !allocation.Observed && !allocation.Restored && allocation.AgentEpoch == machine.AgentEpoch:
			if dispatched {
				allocation.DispatchToken = max(allocation.DispatchToken, token)
			}
			commands = append(
				commands, wire.Command{Kind: wire.CommandStart, Task: allocation.TaskName, Attempt: wire.Count(allocation.Attempt)},
			)
		}
	}
	if !dispatched {
		for key, exited := range machine.exitedAttempts {
			// A late copy of a direct start would run the attempt again after
			// it was forgotten: the worker must have seen a newer token first.
			if machine.FencingToken > exited.dispatchToken &&
				(exited.chunk == nil || exited.chunk.StoredVersion >= exited.chunkVersion || exited.chunk.Job.IsTerminal()) {
				commands = append(
					commands, wire.Command{Kind: wire.CommandForget, Task: key.Task, Attempt: wire.Count(key.Attempt)},
				)
			}
		}
	}
	return commands
}

// NeedsNewerToken reports whether something on the machine waits for the worker to
// see a token above the given one.
func (m *Machine) NeedsNewerToken(token uint64) bool {
	if m.RequiredFencingToken > token {
		return true
	}
	for _, exited := range m.exitedAttempts {
		if exited.dispatchToken >= token {
			return true
		}
	}
	for _, allocation := range m.Allocations {
		if allocation.Stopping && !allocation.Observed && allocation.DispatchToken >= token {
			return true
		}
	}
	return false
}
