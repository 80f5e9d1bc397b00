package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Commands lists what a machine's agent is to do now. Token is the one that the commands go
// out under; dispatched says that they go to the agent by themselves, not in the response to
// a heartbeat. Called on the goroutine that owns the state.
func (s *State) Commands(machine *Machine, token uint64, dispatched bool, _ micro.Time) []wire.Command {
	var commands []wire.Command
	for _, allocation := range machine.SortedAllocations() {
		switch {
		case allocation.needsStop():
			commands = append(commands, allocation.stopCommand())
		case allocation.needsStart():
			if dispatched {
				allocation.DispatchToken = max(allocation.DispatchToken, token)
			}
			commands = append(commands, newCommand(wire.CommandStart, allocation.key()))
		}
	}
	if dispatched {
		return commands
	}
	for key, exited := range machine.exitedAttempts {
		if exited.canForget(machine.FencingToken) {
			commands = append(commands, newCommand(wire.CommandForget, key))
		}
	}
	return commands
}

// newCommand names an attempt that an agent is to start, stop or forget.
func newCommand(kind wire.CommandKind, key AllocationKey) wire.Command {
	return wire.Command{Kind: kind, Task: key.Task, Attempt: wire.Count(key.Attempt)}
}

// needsStop reports whether an agent is to stop the attempt.
func (a *Allocation) needsStop() bool { return a.Stopping && (a.Observed || a.State != Planned) }

func (a *Allocation) stopCommand() wire.Command {
	grace := a.GraceS
	command := newCommand(wire.CommandStop, a.key())
	command.GracePeriodS = &grace
	return command
}

// needsStart reports whether an agent is to start the attempt: its record is stored, no
// heartbeat has shown it, and it was allocated in this term and for this agent epoch.
func (a *Allocation) needsStart() bool {
	return a.State == Starting && !a.Observed && !a.Restored && a.AgentEpoch == a.Machine.AgentEpoch
}

// canForget reports whether the agent may drop an exited attempt from its list. A late
// copy of a dispatched start would run the attempt again after it was forgotten: the agent
// must have seen a newer token first.
func (e *exitedAttempt) canForget(seenToken uint64) bool {
	return seenToken > e.dispatchToken &&
		(e.chunk == nil || e.chunk.StoredVersion >= e.chunkVersion || e.chunk.Job.IsTerminal())
}

// NeedsNewerToken reports whether something on the machine waits for its agent to see a fencing
// token above the given one.
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
