package cluster

import (
	"notchmux.dev/notchmux/internal/cluster/contact"
	"notchmux.dev/notchmux/internal/micro"
)

type (
	// Contact is what is known of a machine's agent by its messages, and of its lease.
	Contact = contact.Contact
	// Source says how an agent's message came.
	Source = contact.Source
	// Outcome says what became of a message.
	Outcome = contact.Outcome
)

// See contact.Source and contact.Outcome.
const (
	FromHeartbeat        = contact.FromHeartbeat
	FromDispatchResponse = contact.FromDispatchResponse
	Applied              = contact.Applied
	Stale                = contact.Stale
	Refused              = contact.Refused
)

// latestLeaseStart is the latest time from which the agent's lease may count: the last response
// to any of its heartbeats, a late copy included, or the failover, before which another leader
// may have responded; or the last time at which a lease proxy of its zone may have.
func (s *State) latestLeaseStart(machine *Machine) micro.Time {
	return max(machine.LeaseRenewedAt, s.lastRenewalBeforeTerm(machine), s.ProxyRenewedUntil[machine.Zone])
}

// ResponseSent notes the fencing token of a response that went out in good time; 0: it may have
// come too late for the agent to take it.
func (s *State) ResponseSent(machine *Machine, token uint64) { machine.SetLastResponse(token) }

// WouldProveLiveness reports whether a machine's agent was heard, but has yet to show a token that
// proves it alive, and the given one would.
func (m *Machine) WouldProveLiveness(token uint64) bool {
	return m.State != Up && m.State != Terminating && m.State != Terminated && m.LivenessUnproven() &&
		m.RequiredFencingToken <= token
}

// SetResponsesLost marks a machine whose agent gets no responses (a one-way partition): it takes
// no new tasks, and what it has runs elsewhere only once it is proven released. It is used again as
// soon as a heartbeat shows that responses arrive.
func (s *State) SetResponsesLost(machine *Machine, lost bool, now micro.Time) {
	if machine.ResponsesLost == lost {
		return
	}
	machine.ResponsesLost, machine.ResponsesLostSince = lost, now
	s.Log("heartbeat responses lost", "machine", machine.Name, "lost", lost)
	s.updatePool(machine)
	s.ScheduleSoon()
}

// LeaseExpired reports whether the agent's lease surely ran out.
func (s *State) LeaseExpired(machine *Machine, now micro.Time) bool {
	return now > s.latestLeaseStart(machine)+s.LeaseDuration
}

// MachineReachable reports whether commands are likely to arrive: not on a machine that left a
// dispatch unanswered, nor in a zone that became unreachable as a whole, unless a message came
// since. In the first seconds of a partition, gangs were placed beyond it until their machines'
// heartbeats were overdue, and stayed there until it ended.
func (s *State) MachineReachable(machine *Machine) bool {
	if machine.DispatchUnanswered {
		return false
	}
	since, unreachable := s.ZoneUnreachableSince[machine.Zone]
	return !unreachable || machine.LastHeartbeat > since
}

// ZoneReachable reports whether an instance that is requested in the zone is likely to be heard
// from: its controllers answer, or one of its machines was heard from since they do not.
func (s *State) ZoneReachable(zone string) bool {
	since, unreachable := s.ZoneUnreachableSince[zone]
	if !unreachable {
		return true
	}
	for _, machine := range s.SortedMachines() {
		if machine.Zone == zone && machine.LastHeartbeat > since {
			return true
		}
	}
	return false
}

// beginAgentEpoch releases what a machine held in earlier agent epochs.
func (s *State) beginAgentEpoch(machine *Machine, epoch uint64, now micro.Time) {
	if machine.AgentEpoch > 0 && machine.State == Up && now-machine.LeaseRenewedAt < s.LeaseDuration/2 {
		machine.RecordUnexpectedLeaseExpiry()
	}
	for _, allocation := range machine.SortedAllocations() {
		if allocation.AgentEpoch < epoch {
			s.release(allocation, now)
		}
	}
	clear(machine.exitedAttempts)
	// The lease of an epoch counts from its beginning, before any response to a
	// heartbeat: first seen in the response to a dispatch after an outage, a new
	// epoch was taken for over by the last response to the one before.
	machine.LeaseRenewedAt = now
}

// recordHeartbeat notes a sign of life and the fencing token that the agent has seen.
func (s *State) recordHeartbeat(machine *Machine, token uint64, source Source, now micro.Time) {
	machine.FencingToken = max(machine.FencingToken, token)
	machine.LastHeartbeat, machine.DispatchUnanswered = now, false
	if source == FromHeartbeat {
		machine.LeaseRenewedAt = now
		if machine.TrackResponse(token) {
			s.SetResponsesLost(machine, false, 0)
		}
		if machine.FirstHeartbeat == 0 {
			machine.FirstHeartbeat = now
			machine.IdleSince = now
			if idleSince, ok := s.PreviousTerm.IdleSince[machine.Name]; ok {
				machine.IdleSince = idleSince
			}
		}
	}
	if token >= machine.RequiredFencingToken {
		// Only an echo of a token given out since then proves that the message
		// is no late copy from a machine that is gone, suspect or terminated.
		s.TransitionMachine(machine, Up, "reports")
	}
}
