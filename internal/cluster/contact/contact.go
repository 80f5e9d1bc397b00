// Package contact tracks what a machine's agent reveals by its messages: its epoch, its most recent
// message, the fencing token that it has seen, and whether responses reach it. It does no locking:
// a Contact belongs to the goroutine that owns the cluster state. Times are on that process's
// monotonic clock, and 0 means never.
package contact

import "notchmux.dev/notchmux/internal/micro"

// Source is the way in which an agent's message arrived.
type Source uint8

// Sources of messages.
const (
	FromHeartbeat        Source = iota // a heartbeat that the agent sent
	FromDispatchResponse               // the response body of a dispatch
)

// Outcome is the result of processing a message.
type Outcome uint8

// Outcomes of processing a message.
const (
	Applied Outcome = iota // newer than the known state; applied
	Stale                  // older than the known state; ignored
	Refused                // from an epoch or a machine that has ended
)

// lostResponseThreshold is the number of consecutive heartbeats without the expected token after
// which responses are considered lost.
const lostResponseThreshold = 3

// Contact is what a controller knows about a machine's agent and its lease from the agent's
// messages.
type Contact struct {
	AgentEpoch           uint64 // current epoch of the agent; a new one begins when its lease has expired
	ExpiredEpoch         uint64 // epochs up to and including this one have certainly ended
	Sequence             uint64 // sequence number of the most recent message in the epoch
	FencingToken         uint64 // highest fencing token that the agent has seen
	RequiredFencingToken uint64 // the machine is considered up once the agent has seen this token
	FirstHeartbeat       micro.Time
	LastHeartbeat        micro.Time // last message that proved the agent alive

	// LeaseRenewedAt is the time of the last response to a heartbeat, whether the heartbeat was new
	// or not, or the time when the epoch was first seen. The agent's lease may be running from
	// then.
	LeaseRenewedAt micro.Time

	MissedResponses    int        // consecutive heartbeats that did not contain the token of the last response
	ResponsesLost      bool       // no response reaches the agent: the machine gets no new tasks
	ResponsesLostSince micro.Time // when ResponsesLost last changed

	lastResponseToken uint64 // fencing token of the last response; 0 if unknown
}

// CheckFreshness determines from a message's epoch and sequence number whether the message is newer
// than the known state of the agent.
func (c *Contact) CheckFreshness(epoch, sequence uint64, source Source, now micro.Time) Outcome {
	if epoch <= c.ExpiredEpoch {
		// Delayed in the network: the lease of this epoch has certainly expired.
		return Refused
	}
	if epoch > c.AgentEpoch || epoch == c.AgentEpoch && sequence > c.Sequence {
		return Applied
	}
	if source == FromHeartbeat && epoch == c.AgentEpoch {
		// Received after a newer response to a dispatch, or a duplicate. The agent may still accept the
		// response to it, which would renew its lease. The message is no proof of liveness, since
		// duplicates may arrive long after the agent stopped.
		c.LeaseRenewedAt = now
	}
	return Stale
}

// SetLastResponse records the fencing token of a response that was sent in time; 0 if it may have
// been sent too late for the agent to accept it.
func (c *Contact) SetLastResponse(token uint64) { c.lastResponseToken = token }

// TrackResponse checks from the token in a heartbeat whether the agent received the previous
// response, and reports whether it certainly did. The agent sends its next heartbeat only after it
// has received that response or has stopped waiting for it.
func (c *Contact) TrackResponse(token uint64) bool {
	if c.lastResponseToken > 0 && token >= c.lastResponseToken {
		c.MissedResponses = 0
		return true
	}
	if c.lastResponseToken > 0 {
		c.MissedResponses++
	}
	return false
}

// RecordUnexpectedLeaseExpiry records that the agent's lease expired although its heartbeats were
// answered.
func (c *Contact) RecordUnexpectedLeaseExpiry() { c.MissedResponses = lostResponseThreshold }

// ResponsesLikelyLost reports whether heartbeats arrive although responses do not reach the agent.
func (c *Contact) ResponsesLikelyLost() bool { return c.MissedResponses >= lostResponseThreshold }

// LivenessUnproven reports whether the agent has sent messages but has not yet reported the token
// that proves that it is alive.
func (c *Contact) LivenessUnproven() bool {
	return c.LastHeartbeat > 0 && c.FencingToken < c.RequiredFencingToken
}
