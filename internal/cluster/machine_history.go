package cluster

import "notchmux.dev/notchmux/internal/micro"

// MachineInactivity is what is known of machines from before this controller's term.
type MachineInactivity struct {
	// RenewedAt is when the lease of a machine's agent may last have been renewed before the
	// term, by machine; those that are not named may have been until the term began.
	RenewedAt map[string]micro.Time
	// IdleSince is since when a machine was idle as the term began, by machine.
	IdleSince map[string]micro.Time
}

// lastRenewalBeforeTerm is until when an earlier controller may have renewed the lease of a
// machine's agent.
func (s *State) lastRenewalBeforeTerm(machine *Machine) micro.Time {
	if at, ok := s.PreviousTerm.RenewedAt[machine.Name]; ok {
		return at
	}
	return s.TermStartedAt
}

// ExportMachineInactivity lists what a controller that takes over all machines of this one can count on: since
// when no lease was renewed of those whose agents are silent, and since when others are idle.
func (s *State) ExportMachineInactivity() MachineInactivity {
	inactivity := MachineInactivity{RenewedAt: map[string]micro.Time{}, IdleSince: map[string]micro.Time{}}
	for name, idleSince := range s.PreviousTerm.IdleSince {
		if s.Machines[name] == nil {
			inactivity.IdleSince[name] = idleSince // its agent has not come here yet
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
