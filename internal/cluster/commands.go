package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Commands returns the commands that a machine's agent is to execute now. token is the fencing
// token under which they are sent. dispatched reports whether they are sent in a request of their
// own rather than in the response to a heartbeat. It must be called on the goroutine that owns the
// state.
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

// newCommand returns a command to start, stop or forget an attempt.
func newCommand(kind wire.CommandKind, key AllocationKey) wire.Command {
	return wire.Command{Kind: kind, Task: key.Task, Attempt: wire.Count(key.Attempt)}
}

// needsStop reports whether the agent is to stop the attempt.
func (a *Allocation) needsStop() bool { return a.Stopping && (a.Observed || a.State != Planned) }

func (a *Allocation) stopCommand() wire.Command {
	grace := a.GraceS
	command := newCommand(wire.CommandStop, a.key())
	command.GracePeriodS = &grace
	return command
}

// needsStart reports whether the agent is to start the attempt: its record is stored, no heartbeat
// has reported it, and it was allocated in this term and for the current agent epoch.
func (a *Allocation) needsStart() bool {
	return a.State == Starting && !a.Observed && !a.Restored && a.AgentEpoch == a.Machine.AgentEpoch
}

// canForget reports whether the agent may drop an exited attempt from its list. A delayed copy of a
// dispatched start command would run the attempt again after it was forgotten, so the agent must
// have seen a newer fencing token first.
func (e *exitedAttempt) canForget(seenToken uint64) bool {
	return seenToken > e.dispatchToken &&
		(e.chunk == nil || e.chunk.StoredVersion >= e.chunkVersion || e.chunk.Job.IsTerminal())
}

// NeedsNewerToken reports whether progress on the machine requires its agent to see a fencing token
// above the given one.
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
