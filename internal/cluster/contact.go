package cluster

import (
	"notchmux.dev/notchmux/internal/cluster/contact"
	"notchmux.dev/notchmux/internal/micro"
)

type (
	// Contact is what a controller knows about a machine's agent and its lease from the agent's
	// messages.
	Contact = contact.Contact
	// Source is the way in which an agent's message arrived.
	Source = contact.Source
	// Outcome is the result of processing a message.
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

// latestLeaseStart returns the latest time from which the agent's lease may be running. That is the
// latest of the last response to any of its heartbeats, including duplicates, the failover, before
// which another leader may have responded, and the last time at which a lease proxy in the
// machine's zone may have renewed it.
func (s *State) latestLeaseStart(machine *Machine) micro.Time {
	return max(machine.LeaseRenewedAt, s.lastRenewalBeforeTerm(machine), s.ProxyRenewedUntil[machine.Zone])
}

// ResponseSent records the fencing token of a response that was sent in time; 0 if it may have been
// sent too late for the agent to accept it.
func (s *State) ResponseSent(machine *Machine, token uint64) { machine.SetLastResponse(token) }

// WouldProveLiveness reports whether the machine's agent has sent messages but has not yet reported
// a token that proves that it is alive, and the given token would be such a proof.
func (m *Machine) WouldProveLiveness(token uint64) bool {
	return m.State != Up && m.State != Terminating && m.State != Terminated && m.LivenessUnproven() &&
		m.RequiredFencingToken <= token
}

// SetResponsesLost marks a machine whose agent receives no responses because of a one-way network
// partition. The machine gets no new tasks, and its current tasks are moved only after their
// allocations are proven released. It is used again as soon as a heartbeat shows that responses
// arrive.
func (s *State) SetResponsesLost(machine *Machine, lost bool, now micro.Time) {
	if machine.ResponsesLost == lost {
		return
	}
	machine.ResponsesLost, machine.ResponsesLostSince = lost, now
	s.Log("heartbeat response loss changed", "machine", machine.Name, "lost", lost)
	s.updatePool(machine)
	s.ScheduleSoon()
}

// LeaseExpired reports whether the agent's lease has certainly expired.
func (s *State) LeaseExpired(machine *Machine, now micro.Time) bool {
	return now > s.latestLeaseStart(machine)+s.LeaseDuration
}

// MachineReachable reports whether commands are likely to reach the machine. They are not if the
// machine left a dispatch unanswered or if its whole zone became unreachable, unless a message has
// arrived since. Without this check, gangs were placed on machines beyond a network partition in
// its first seconds, before the heartbeats of these machines were overdue, and stayed there until
// the partition ended.
func (s *State) MachineReachable(machine *Machine) bool {
	if machine.DispatchUnanswered {
		return false
	}
	since, unreachable := s.ZoneUnreachableSince[machine.Zone]
	return !unreachable || machine.LastHeartbeat > since
}

// ZoneReachable reports whether the controller is likely to receive heartbeats from a machine that
// is newly requested in the zone: the zone's controllers respond, or one of its machines has sent a
// heartbeat since they stopped responding.
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

// beginAgentEpoch releases the allocations that a machine held in earlier agent epochs.
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
	// The lease of an epoch runs from the beginning of the epoch, before any response to a
	// heartbeat. When a new epoch was first seen in the response to a dispatch after an outage, it
	// used to be treated as expired, based on the last response to the previous epoch.
	machine.LeaseRenewedAt = now
}

// recordHeartbeat records that the agent is alive and which fencing token it has seen.
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
		// Without this token the message may be a delayed copy from a machine that no longer
		// exists, is suspect or was terminated. Only an agent that received a response after the
		// token was issued can report it.
		s.TransitionMachine(machine, Up, "heartbeat received")
	}
}
