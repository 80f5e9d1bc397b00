// Package leasekeeper lets the controllers inside a zone that is cut off from
// everything keep the leases of that zone's workers alive for a while, so that
// what runs there goes on. A keeper gives no orders and tells no user anything:
// it only answers reports.
//
// The leader must not take a place for free while a keeper may have renewed its
// worker's lease. So a keeper asks the leader every second, may keep only for a
// span from when it *sent* the last request that was answered in time, and only
// after it has been out of touch for a while; and it confesses to having kept.
// Ledger is the leader's side, which bounds what keepers may have done.
package leasekeeper

import (
	"sync"

	"notchmux.dev/notchmux/internal/micro"
)

// Timing that keepers and leaders share.
const (
	RequestInterval = micro.Second            // between a keeper's requests
	ResponseTimeout = 500 * micro.Millisecond // how long it waits for an answer: a later one does not count
	renewAfter      = 4 * micro.Second        // out of touch for so long before it may keep
	probeMaxAge     = 2500 * micro.Millisecond
)

// clockDrift is the most that two steady clocks part over a span, with room to spare.
func clockDrift(window micro.Time) micro.Time { return window/500 + 10*micro.Millisecond }

// State is what a node is to its zone's workers.
type State uint8

// The states.
const (
	Connected State = iota // the leader answers, or this node leads
	Isolated               // it does not answer
	Renewing               // nor does anybody outside the zone: leases are kept
)

func (s State) String() string { return [...]string{"in touch", "alone", "keeping"}[s] }

// LeaderTimestamp is the leader's answer to a keeper, which the next request carries.
type LeaderTimestamp struct {
	Term uint64 `msgpack:"t"`
	At   int64  `msgpack:"a"` // by the leader's steady clock
}

// Request is what a keeper asks the leader.
type Request struct {
	Node          string          `msgpack:"n"`
	Echo          LeaderTimestamp `msgpack:"e"` // the last answer
	RenewedLeases bool            `msgpack:"k"` // a lease was renewed since the request that it answered
}

// Proxy is a node's own side. Its methods may be called by any goroutine.
type Proxy struct {
	Node          string
	RenewalWindow micro.Time // how long leases may be kept; 0: never
	Log           func(msg string, args ...any)

	mu              sync.Mutex
	state           State
	lastAnswered    micro.Time // when the last request was sent that was answered; 0: none was
	lastTimestamp   LeaderTimestamp
	lastRenewal     micro.Time // when a lease was last renewed; 0: never
	lastRequest     micro.Time // when the latest request was made
	zonePartitioned bool       // while out of touch, only this zone's nodes answered
	lastProbe       micro.Time
}

// transition is the one place where the state changes.
func (p *Proxy) transition(to State) {
	if p.state == to {
		return
	}
	p.Log("zone", "was", p.state.String(), "is", to.String())
	p.state = to
}

// Request is what to ask the leader now.
func (p *Proxy) Request(now micro.Time) Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRequest = now
	return Request{
		Node: p.Node, Echo: p.lastTimestamp, RenewedLeases: p.lastRenewal > 0 && p.lastRenewal >= p.lastAnswered,
	}
}

// HandleResponse takes in the leader's answer to a request that was sent at a time.
func (p *Proxy) HandleResponse(sent, now micro.Time, timestamp LeaderTimestamp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-sent > ResponseTimeout || sent <= p.lastAnswered {
		return // the leader counts on answers that came in time
	}
	p.lastAnswered, p.lastTimestamp, p.zonePartitioned = sent, timestamp, false
	p.transition(Connected)
}

// NoteLeading notes that this node itself has the right to act now.
func (p *Proxy) NoteLeading(now micro.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswered, p.lastTimestamp, p.zonePartitioned = now, LeaderTimestamp{}, false
	p.transition(Connected)
}

// Disconnected reports whether nodes should be looked for: the leader did not
// answer the latest requests.
func (p *Proxy) Disconnected(now micro.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now-p.lastAnswered > RequestInterval+ResponseTimeout
}

// RecordProbe takes in which nodes answered: any of this zone, and any outside. Only
// where the whole zone is cut off are leases kept: the workers of a node that is
// cut off by itself do better with another. That the zone's other nodes end
// meanwhile changes nothing.
func (p *Proxy) RecordProbe(reachedInside, reachedOutside bool, now micro.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zonePartitioned, p.lastProbe = (reachedInside || p.zonePartitioned) && !reachedOutside, now
	if now-p.lastAnswered > RequestInterval+ResponseTimeout {
		p.transition(p.stateAt(now))
	}
}

func (p *Proxy) stateAt(now micro.Time) State {
	since := now - p.lastAnswered
	if p.lastAnswered > 0 && since >= renewAfter && since < p.RenewalWindow && p.zonePartitioned &&
		now-p.lastProbe < probeMaxAge {
		return Renewing
	}
	return Isolated
}

// ZonePartitioned reports whether this zone's nodes reach nobody outside it.
func (p *Proxy) ZonePartitioned(now micro.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zonePartitioned && now-p.lastProbe < probeMaxAge && now-p.lastAnswered > RequestInterval+ResponseTimeout
}

// TryRenew reports whether a worker's lease may be renewed now. It notes that it
// was: the leader will be told.
func (p *Proxy) TryRenew(now micro.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.lastRequest || p.stateAt(now) != Renewing {
		// A process that stood still between its look at the clock and here may
		// have told the leader of nothing kept meanwhile.
		return false
	}
	p.lastRenewal = now
	return true
}

// LastRenewal is when a lease was last renewed; 0: never.
func (p *Proxy) LastRenewal() micro.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastRenewal
}
