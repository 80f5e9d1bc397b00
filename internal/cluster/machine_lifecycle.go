package cluster

import "notchmux.dev/notchmux/internal/micro"

// TransitionMachine changes a machine's state. It is the only function that does so. It returns
// false if the machine is in that state already or the transition is not allowed. The reason is
// logged.
func (s *State) TransitionMachine(machine *Machine, to MachineState, reason string) bool {
	if machine.State == to || !machine.State.CanTransitionTo(to) {
		return false
	}
	s.Log(
		"machine state changed", "machine", machine.Name, "type", machine.TypeName, "spot", machine.Spot,
		"from", machine.State.String(), "to", to.String(), "reason", reason,
	)
	machine.State = to
	s.updatePool(machine)
	s.ScheduleSoon()
	return true
}

// ExpireMachine releases all allocations on a machine whose agent's lease has certainly expired.
func (s *State) ExpireMachine(machine *Machine, now micro.Time) {
	s.TransitionMachine(machine, Expired, "agent lease expired")
	machine.ExpiredEpoch = max(machine.ExpiredEpoch, machine.AgentEpoch)
	for _, allocation := range machine.SortedAllocations() {
		machine.ExpiredEpoch = max(machine.ExpiredEpoch, allocation.AgentEpoch)
		s.release(allocation, now)
	}
	clear(machine.exitedAttempts)
}

// RemoveMachine releases all allocations on a machine that no longer exists according to the cloud,
// and removes the machine.
func (s *State) RemoveMachine(machine *Machine, now micro.Time) {
	if machine.State != Terminating {
		s.TransitionMachine(machine, Terminating, "no longer in the cloud")
	}
	s.TransitionMachine(machine, Terminated, "termination confirmed by the cloud")
	for _, allocation := range machine.SortedAllocations() {
		s.release(allocation, now)
	}
	delete(s.Machines, machine.Name)
	s.ForgetMachine(machine.Name)
	s.sortedMachines = nil
	s.TerminatedAt[machine.Name] = now
}

// WasTerminated reports whether a machine was terminated in this term and within
// terminatedRetention.
func (s *State) WasTerminated(name string) bool {
	_, terminated := s.TerminatedAt[name]
	return terminated
}
