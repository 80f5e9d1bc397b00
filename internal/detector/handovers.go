package detector

import (
	"sync/atomic"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
)

// LeadershipHandovers records when an agent last reached a node, when the node last handed the
// leadership over because no agent did, and how many times in a row. It is kept across the node's
// terms and shared by all of its event loops, because a leader and a shard owner on one node are
// reached through the same network.
//
// The number of consecutive handovers is limited: when all machines had died, the nodes handed the
// leadership around without end, since no term lasted long enough to detect the dead machines and
// to request new ones. A node whose handovers had no success keeps the leadership.
//
// The zero value is ready to use. Methods may be called from any goroutine.
type LeadershipHandovers struct {
	last        atomic.Pointer[leadershipHandover]
	lastContact atomic.Int64 // in microseconds of the node's monotonic clock
}

type leadershipHandover struct {
	at    micro.Time
	count int // consecutive handovers up to this one
}

// MaxLeadershipHandovers is the greatest number of consecutive handovers by one node. It gives each
// of the other nodes the opportunity to lead, whichever is elected first.
const MaxLeadershipHandovers = 2

// maxUnreachableTerm bounds the time for election, failover and handover in a term of a leader that
// no agent reaches. The time until machines become suspect is added to it.
const maxUnreachableTerm = 10 * micro.Second

// LeadershipHandoverWindow returns the time within which a node leads again if no agent reaches any
// of the other nodes either.
func LeadershipHandoverWindow(cfg *config.Config) micro.Time {
	return micro.Time(len(cfg.Peers)+1) * (cfg.SuspectAfter + maxUnreachableTerm)
}

// ObserveContact records that an agent reached this node at the given time.
func (h *LeadershipHandovers) ObserveContact(at micro.Time) {
	for {
		latest := h.lastContact.Load()
		if int64(at) <= latest || h.lastContact.CompareAndSwap(latest, int64(at)) {
			return
		}
	}
}

// LastContact returns when an agent last reached this node, or 0 if none did.
func (h *LeadershipHandovers) LastContact() micro.Time { return micro.Time(h.lastContact.Load()) }

// Reset sets the number of consecutive handovers to zero, since agents reach this node.
func (h *LeadershipHandovers) Reset() { h.last.Store(nil) }

// Begin records a handover during the term that started at termStartedAt and returns true. It
// returns false if MaxLeadershipHandovers consecutive handovers, each followed by the start of this
// node's next term within the window, had no success.
func (h *LeadershipHandovers) Begin(now, termStartedAt, window micro.Time) bool {
	previous := h.last.Load()
	if previous == nil || termStartedAt-previous.at > window {
		previous = &leadershipHandover{}
	}
	if previous.count == MaxLeadershipHandovers {
		return false
	}
	h.last.Store(&leadershipHandover{now, previous.count + 1})
	return true
}
