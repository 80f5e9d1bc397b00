package cluster

import "notchmux.dev/notchmux/internal/micro"

// MachineInactivity is what is known about machines from before this controller's term.
type MachineInactivity struct {
	// RenewedAt is the time, by machine, at which the lease of the machine's agent may last have
	// been renewed before the term. The lease of a machine without an entry may have been renewed
	// until the term began.
	RenewedAt map[string]micro.Time
	// IdleSince is the time, by machine, since which the machine had been idle when the term began.
	IdleSince map[string]micro.Time
}

// lastRenewalBeforeTerm returns the latest time at which an earlier controller may have renewed the
// lease of a machine's agent.
func (s *State) lastRenewalBeforeTerm(machine *Machine) micro.Time {
	if at, ok := s.PreviousTerm.RenewedAt[machine.Name]; ok {
		return at
	}
	return s.TermStartedAt
}

// ExportMachineInactivity returns what a controller that takes over all machines of this one can rely
// on: the last possible lease renewals of machines with allocations that send no heartbeats, and
// the times since which other machines are idle.
func (s *State) ExportMachineInactivity() MachineInactivity {
	inactivity := MachineInactivity{RenewedAt: map[string]micro.Time{}, IdleSince: map[string]micro.Time{}}
	for name, idleSince := range s.PreviousTerm.IdleSince {
		if s.Machines[name] == nil {
			inactivity.IdleSince[name] = idleSince // its agent has not sent a heartbeat in this term
		}
	}
	for _, machine := range s.SortedMachines() {
		switch {
		case machine.State != Up && len(machine.Allocations) > 0:
			inactivity.RenewedAt[machine.Name] = max(machine.LeaseRenewedAt, s.lastRenewalBeforeTerm(machine))
		case machine.State == Up && len(machine.Allocations) == 0:
			inactivity.IdleSince[machine.Name] = machine.IdleSince
		}
	}
	return inactivity
}
