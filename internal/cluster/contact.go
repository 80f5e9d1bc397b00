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

// latestLeaseStart is the latest time from which the worker's lease may count: the last
// answer to any of its reports, a late copy included, or the takeover, before
// which another leader may have answered it; or the last time at which a keeper
// of its zone may have.
func (s *State) latestLeaseStart(machine *Machine) micro.Time {
	return max(machine.LeaseRenewedAt, s.TermStartedAt, s.ProxyRenewedUntil[machine.Zone])
}

// ResponseSent notes the token of an answer that went out in good time; 0: it may have
// come too late for the worker to take it.
func (s *State) ResponseSent(machine *Machine, token uint64) { machine.SetLastResponse(token) }

// WouldProveAlive reports whether a machine was heard, but has yet to show a token that
// proves it alive, and the given one would.
func (m *Machine) WouldProveAlive(token uint64) bool {
	return m.State != Up && m.State != Terminating && m.State != Terminated && m.LacksProofOfLife() &&
		m.RequiredFencingToken <= token
}

// SetResponsesLost marks a machine that hears nothing: it takes no new tasks, and what it
// has is placed elsewhere only once proven free. It is used again as soon as it
// shows that it hears.
func (s *State) SetResponsesLost(machine *Machine, lost bool, now micro.Time) {
	if machine.ResponsesLost == lost {
		return
	}
	machine.ResponsesLost, machine.ResponsesLostSince = lost, now
	s.Log("machine hears", "machine", machine.Name, "hears", !lost)
	s.updatePool(machine)
	s.ScheduleSoon()
}

// LeaseExpired reports whether the worker's lease surely ran out.
func (s *State) LeaseExpired(machine *Machine, now micro.Time) bool {
	return now > s.latestLeaseStart(machine)+s.LeaseDuration
}

// MachineReachable reports whether orders are likely to arrive: not on a machine that
// left one unanswered, nor in a zone that fell silent as a whole, unless it was
// heard since. In the first seconds of a cut, gangs were placed beyond it until
// their machines' reports were overdue, and stayed there until it ended.
func (s *State) MachineReachable(machine *Machine) bool {
	if machine.DispatchUnanswered {
		return false
	}
	since, unreachable := s.ZoneUnreachableSince[machine.Zone]
	return !unreachable || machine.LastHeartbeat > since
}

// ZoneReachable reports whether a machine that is rented in the zone is likely to be
// heard: its controllers are in touch, or one of its machines was heard since they
// are not.
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

// beginAgentEpoch frees what a machine held in earlier sessions.
func (s *State) beginAgentEpoch(machine *Machine, epoch uint64, now micro.Time) {
	if machine.AgentEpoch > 0 && machine.State == Up && now-machine.LeaseRenewedAt < s.LeaseDuration/2 {
		machine.LeaseRanOutUnexpectedly()
	}
	for _, allocation := range machine.SortedAllocations() {
		if allocation.AgentEpoch < epoch {
			s.release(allocation, now)
		}
	}
	clear(machine.exitedAttempts)
	// The lease of a session counts from its beginning, before any answer to a
	// report: heard of in the answer to a direct order after an outage, a new
	// session was taken for over by the last answer to the one before.
	machine.LeaseRenewedAt = now
}

// recordHeartbeat notes a sign of life and the token that the worker has seen.
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
		}
	}
	if token >= machine.RequiredFencingToken {
		// Only an echo of a token given out since then proves that the report
		// is no late copy of a machine that is gone, silent or returned.
		s.TransitionMachine(machine, Up, "reports")
	}
}
