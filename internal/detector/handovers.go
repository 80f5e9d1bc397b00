package detector

import (
	"sync/atomic"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
)

// LeadershipHandovers remembers, across a node's terms and for all of its loops, when an agent last reached
// the node, when it last handed the leadership over because none did, and how often in a row.
// A leader and the owner of a shard on one node are reached by the same network. Where all
// machines had died, the nodes once handed the leadership round for ever: no term lasted long
// enough to find them dead, and to request others. A node that has tried the others in vain
// stays. The zero value is ready; any goroutine may call it.
type LeadershipHandovers struct {
	last        atomic.Pointer[leadershipHandover]
	lastContact atomic.Int64 // in microseconds of the node's steady clock
}

type leadershipHandover struct {
	at    micro.Time
	count int
}

// MaxLeadershipHandovers leaves each of the others its chance, whoever is elected first.
const MaxLeadershipHandovers = 2

// maxUnreachableTerm is how long a term lasts beside the time until machines count as suspect
// where no agent reaches the leader: election, failover and handover.
const maxUnreachableTerm = 10 * micro.Second

// LeadershipHandoverWindow is how soon a node leads again if no agent reaches any of the others either.
func LeadershipHandoverWindow(cfg *config.Config) micro.Time {
	return micro.Time(len(cfg.Peers)+1) * (cfg.SuspectAfter + maxUnreachableTerm)
}

// ObserveContact notes that an agent reached this node at a time.
func (h *LeadershipHandovers) ObserveContact(at micro.Time) {
	for {
		latest := h.lastContact.Load()
		if int64(at) <= latest || h.lastContact.CompareAndSwap(latest, int64(at)) {
			return
		}
	}
}

// LastContact is when an agent last reached this node; 0: none did.
func (h *LeadershipHandovers) LastContact() micro.Time { return micro.Time(h.lastContact.Load()) }

// Reset notes that agents reach this node.
func (h *LeadershipHandovers) Reset() { h.last.Store(nil) }

// Begin notes a handover, in a term that started at the given time, unless as many in a row,
// each within the window of the one before, were in vain: then it returns false.
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
