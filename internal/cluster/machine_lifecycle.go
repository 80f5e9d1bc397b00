package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
)

// MachineState is the state of a machine.
type MachineState uint8

// The states of a machine.
const (
	Registering MachineState = iota // rented, listed or recorded; no report in this term
	Up                              // reports
	Suspect                         // reported, and stopped doing so
	Expired                         // its worker's lease surely ran out
	Terminating                     // asked to be returned
	Terminated                      // the cloud said so
)

func (s MachineState) String() string {
	return [...]string{"unheard", "up", "silent", "lost", "returning", "gone"}[s]
}

// machineTransitions lists the states that may follow each state. Terminated is final.
var machineTransitions = transitions[MachineState]{
	Registering: {Up, Expired, Terminating, Terminated, Suspect},
	Up:          {Suspect, Expired, Terminating, Terminated},
	Suspect:     {Up, Expired, Terminating, Terminated},
	Expired:     {Up, Terminating, Terminated},
	Terminating: {Terminated},
}

// TransitionMachine is the one place where a machine's state changes.
func (s *State) TransitionMachine(machine *Machine, to MachineState, reason string) bool {
	if machine.State == to || !machineTransitions.allow(machine.State, to) {
		return false
	}
	s.Log(
		"machine", "machine", machine.Name, "type", machine.TypeName, "spot", machine.Spot, "was", machine.State.String(),
		"is", to.String(), "why", reason,
	)
	machine.State = to
	s.updatePool(machine)
	s.ScheduleSoon()
	return true
}

// ExpireMachine frees everything on a machine whose worker's lease surely ran out.
func (s *State) ExpireMachine(machine *Machine, now micro.Time) {
	s.TransitionMachine(machine, Expired, "its lease ran out")
	machine.ExpiredEpoch = max(machine.ExpiredEpoch, machine.AgentEpoch)
	for _, allocation := range machine.sortedAllocations() {
		machine.ExpiredEpoch = max(machine.ExpiredEpoch, allocation.AgentEpoch)
		s.release(allocation, now)
	}
	clear(machine.exitedAttempts)
}

// RemoveMachine frees everything on a machine that the cloud says is gone.
func (s *State) RemoveMachine(machine *Machine, now micro.Time) {
	if machine.State != Terminating {
		s.TransitionMachine(machine, Terminating, "returned")
	}
	s.TransitionMachine(machine, Terminated, "the cloud said so")
	for _, allocation := range machine.sortedAllocations() {
		s.release(allocation, now)
	}
	delete(s.Machines, machine.Name)
	delete(s.quarantineCandidates, machine)
	s.sortedMachines = nil
	s.TerminatedAt[machine.Name] = now
}

// WasTerminated reports whether a machine was returned in this term, as far back as that
// is remembered.
func (s *State) WasTerminated(name string) bool {
	_, terminated := s.TerminatedAt[name]
	return terminated
}
