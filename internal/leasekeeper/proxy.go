// Package leasekeeper lets the controllers inside a partitioned zone renew the leases of
// that zone's agents for a limited time, so that their tasks go on. A lease proxy gives no
// commands and tells no user anything: it only answers heartbeats.
//
// The leader must not release an allocation while a lease proxy may have renewed its agent's
// lease. So a proxy asks the leader every second; it may renew leases only after it has been
// disconnected for a few seconds, and only within a window that begins when it *sent* the
// last request that was answered in time; and its requests say whether it did. RenewalBound
// is the leader's side, which bounds until when leases may have been renewed. Where leases of a
// zone must not be renewed, the leader answers with a Fence instead: the proxy renews nothing
// until its next ordinary answer, and confirms that.
package leasekeeper

import (
	"sync"

	"notchmux.dev/notchmux/internal/micro"
)

// Timing that lease proxies and leaders share.
const (
	RequestInterval = micro.Second            // between a lease proxy's requests
	ResponseTimeout = 500 * micro.Millisecond // how long it waits for an answer: a later one does not count
	renewAfter      = 4 * micro.Second        // disconnected for so long before it may renew leases
	probeMaxAge     = 2500 * micro.Millisecond
)

// clockDriftDivisor and timerMargin bound how far two steady clocks part.
const (
	clockDriftDivisor = 500
	timerMargin       = 10 * micro.Millisecond
)

// clockDrift is the most that two steady clocks part over a time, with room to spare.
func clockDrift(window micro.Time) micro.Time { return window/clockDriftDivisor + timerMargin }

// State is what a node is to its zone's agents.
type State uint8

// The states.
const (
	Connected State = iota // the leader answers, or this node leads
	Isolated               // the leader does not answer
	Renewing               // nor does any node outside the zone: leases are renewed here
	Fenced                 // the leader has forbidden to renew leases
)

func (s State) String() string { return [...]string{"connected", "isolated", "renewing", "fenced"}[s] }

// LeaderTimestamp is the leader's answer to a lease proxy, which the next request carries.
type LeaderTimestamp struct {
	Term uint64 `msgpack:"t"`
	At   int64  `msgpack:"a"` // by the leader's steady clock
}

// Request is what a lease proxy asks the leader.
type Request struct {
	Node          string          `msgpack:"n"`
	Echo          LeaderTimestamp `msgpack:"e"` // the last answer
	RenewedLeases bool            `msgpack:"k"` // a lease was renewed since the request that it answered
}

// Fence is the leader's answer to a lease proxy that is to renew no lease until its next ordinary
// answer.
type Fence struct {
	Term uint64 `msgpack:"t"`
	At   int64  `msgpack:"a"` // by the leader's steady clock
}

// FenceConfirmation tells the leader that a lease proxy keeps to a Fence.
type FenceConfirmation struct {
	Node  string `msgpack:"n"`
	Fence Fence  `msgpack:"f"`
}

// Proxy is a node's own side. Its methods may be called by any goroutine.
type Proxy struct {
	Node          string
	RenewalWindow micro.Time // how long leases may be renewed without the leader; 0: never
	Log           func(msg string, args ...any)

	mu              sync.Mutex
	state           State
	lastAnswered    micro.Time // when the last request was sent that was answered; 0: none was
	lastTimestamp   LeaderTimestamp
	lastRenewal     micro.Time // when a lease was last renewed; 0: never
	lastRequest     micro.Time // when the latest request was made
	fenced          bool       // no lease is renewed until the next answer
	lastFenced      micro.Time // when the last request was sent that was answered with a fence; 0: none was
	zonePartitioned bool       // while disconnected, only this zone's nodes answered
	lastProbe       micro.Time
}

// transition is the one place where the state changes.
func (p *Proxy) transition(to State) {
	if p.state == to {
		return
	}
	p.Log("lease proxy", "from", p.state.String(), "to", to.String())
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
	if now-sent > ResponseTimeout || sent <= p.lastAnswered || sent <= p.lastFenced {
		return // the leader counts on answers that came in time
	}
	p.lastAnswered, p.lastTimestamp, p.zonePartitioned, p.fenced = sent, timestamp, false, false
	p.transition(Connected)
}

// HandleFence takes in a fence that answered a request that was sent at a time. It reports
// whether the fence holds, and so is to be confirmed.
func (p *Proxy) HandleFence(sent micro.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sent <= p.lastAnswered || sent <= p.lastFenced {
		return false // a later request was answered already
	}
	p.fenced, p.lastFenced = true, sent
	p.transition(Fenced)
	return true
}

// RecordLeading notes that this node itself holds the leadership lease now.
func (p *Proxy) RecordLeading(now micro.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswered, p.lastTimestamp, p.zonePartitioned, p.fenced = now, LeaderTimestamp{}, false, false
	p.transition(Connected)
}

// Disconnected reports whether the other nodes should be probed: the leader did not answer
// the latest requests.
func (p *Proxy) Disconnected(now micro.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now-p.lastAnswered > RequestInterval+ResponseTimeout
}

// RecordProbe takes in which nodes answered a probe: any of this zone, and any outside. Leases
// are renewed only where the whole zone is partitioned: the agents of a node that is isolated
// by itself do better with another node. That the zone's other nodes end meanwhile changes
// nothing.
func (p *Proxy) RecordProbe(reachedInside, reachedOutside bool, now micro.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zonePartitioned, p.lastProbe = (reachedInside || p.zonePartitioned) && !reachedOutside, now
	if now-p.lastAnswered > RequestInterval+ResponseTimeout {
		p.transition(p.stateAt(now))
	}
}

func (p *Proxy) stateAt(now micro.Time) State {
	if p.fenced {
		return Fenced
	}
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

// TryRenew reports whether an agent's lease may be renewed now. It notes that it was: the
// next request tells the leader.
func (p *Proxy) TryRenew(now micro.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.lastRequest || p.stateAt(now) != Renewing {
		// A process that stalled between reading the clock and here may have told the
		// leader meanwhile that nothing was renewed.
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
