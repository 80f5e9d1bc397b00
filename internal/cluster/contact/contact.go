// Package contact holds what a machine's agent shows by its messages: its epoch, the newest
// message, the fencing token that it has seen, and whether responses reach it. It locks
// nothing: a Contact belongs to the goroutine that owns the cluster's state. Times are on
// that process's steady clock; 0: never.
package contact

import "notchmux.dev/notchmux/internal/micro"

// Source says how an agent's message came.
type Source uint8

// The ways.
const (
	FromHeartbeat        Source = iota // the agent's own heartbeat
	FromDispatchResponse               // the body of the response to a dispatch
)

// Outcome says what became of a message.
type Outcome uint8

// The outcomes.
const (
	Applied Outcome = iota
	Stale           // older than what is known: nothing was read from it
	Refused         // from an epoch or machine that is over
)

// lostResponseThreshold is how many heartbeats in a row show that responses do not arrive.
const lostResponseThreshold = 3

// Contact is what is known of a machine's agent by its messages, and of its lease.
type Contact struct {
	AgentEpoch           uint64 // the agent's current epoch: a new one begins when its lease ran out
	ExpiredEpoch         uint64 // epochs up to this one surely ended
	Sequence             uint64 // of the newest message in the epoch
	FencingToken         uint64 // the highest that the agent has seen
	RequiredFencingToken uint64 // the machine counts as up once it has shown this token
	FirstHeartbeat       micro.Time
	LastHeartbeat        micro.Time // the last new proof of life

	// LeaseRenewedAt is when a heartbeat, new or not, was last answered, or when the epoch
	// first showed: the agent's lease may count from it.
	LeaseRenewedAt micro.Time

	MissedResponses    int        // heartbeats in a row that had not seen the token they should have
	ResponsesLost      bool       // its heartbeats come, but no response reaches it: it takes no new tasks
	ResponsesLostSince micro.Time // since when

	lastResponseToken uint64 // the token of the last response; 0: not known
}

// CheckFreshness decides by a message's epoch and sequence number whether it is newer than
// what is known of the agent.
func (c *Contact) CheckFreshness(epoch, sequence uint64, source Source, now micro.Time) Outcome {
	if epoch <= c.ExpiredEpoch {
		// Held up on the way: this epoch's lease surely ran out already.
		return Refused
	}
	if epoch > c.AgentEpoch || epoch == c.AgentEpoch && sequence > c.Sequence {
		return Applied
	}
	if source == FromHeartbeat && epoch == c.AgentEpoch {
		// Overtaken by the response to a dispatch, or a late copy. The agent may
		// still take our response, and that would renew its lease; but it is no
		// sign of life: copies may come long after the agent died.
		c.LeaseRenewedAt = now
	}
	return Stale
}

// SetLastResponse notes the token of a response that went out in good time; 0: it may have
// come too late for the agent to take it.
func (c *Contact) SetLastResponse(token uint64) { c.lastResponseToken = token }

// TrackResponse looks whether a heartbeat's agent has taken the response before, and reports
// whether responses are sure to arrive. The next heartbeat is sent only after that response,
// or after the agent gave it up.
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

// RecordUnexpectedLeaseExpiry notes that the agent's lease ran out though it was answered.
func (c *Contact) RecordUnexpectedLeaseExpiry() { c.MissedResponses = lostResponseThreshold }

// ResponsesLikelyLost reports whether heartbeats come, but nothing reaches the agent.
func (c *Contact) ResponsesLikelyLost() bool { return c.MissedResponses >= lostResponseThreshold }

// LivenessUnproven reports whether the agent was heard, but has yet to show the token that
// proves it alive.
func (c *Contact) LivenessUnproven() bool {
	return c.LastHeartbeat > 0 && c.FencingToken < c.RequiredFencingToken
}
