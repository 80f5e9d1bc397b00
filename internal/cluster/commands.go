package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

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
