package cluster

import "notchmux.dev/notchmux/internal/micro"

// TransitionMachine is the only function that changes a machine's state; false: it is in that
// state already, or the transition is not allowed. The reason is for operators.
func (s *State) TransitionMachine(machine *Machine, to MachineState, reason string) bool {
	if machine.State == to || !machine.State.CanTransitionTo(to) {
		return false
	}
	s.Log(
		"machine", "machine", machine.Name, "type", machine.TypeName, "spot", machine.Spot,
		"from", machine.State.String(), "to", to.String(), "reason", reason,
	)
	machine.State = to
	s.updatePool(machine)
	s.ScheduleSoon()
	return true
}

// ExpireMachine releases everything on a machine whose agent's lease surely ran out.
func (s *State) ExpireMachine(machine *Machine, now micro.Time) {
	s.TransitionMachine(machine, Expired, "its lease ran out")
	machine.ExpiredEpoch = max(machine.ExpiredEpoch, machine.AgentEpoch)
	for _, allocation := range machine.SortedAllocations() {
		machine.ExpiredEpoch = max(machine.ExpiredEpoch, allocation.AgentEpoch)
		s.release(allocation, now)
	}
	clear(machine.exitedAttempts)
}

// RemoveMachine releases everything on a machine that the cloud says is gone.
func (s *State) RemoveMachine(machine *Machine, now micro.Time) {
	if machine.State != Terminating {
		s.TransitionMachine(machine, Terminating, "returned")
	}
	s.TransitionMachine(machine, Terminated, "the cloud said so")
	for _, allocation := range machine.SortedAllocations() {
		s.release(allocation, now)
	}
	delete(s.Machines, machine.Name)
	s.ForgetMachine(machine.Name)
	s.sortedMachines = nil
	s.TerminatedAt[machine.Name] = now
}

// WasTerminated reports whether a machine was terminated in this term, as far back as that is
// remembered.
func (s *State) WasTerminated(name string) bool {
	_, terminated := s.TerminatedAt[name]
	return terminated
}
