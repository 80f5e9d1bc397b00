// Package leasekeeper lets the controllers inside a partitioned zone renew the leases of that zone's
// agents for a limited time, so that their tasks continue. A controller that does so is a lease proxy.
// It only answers heartbeats: it sends no commands and serves no user requests.
//
// The leader must not release an allocation while a lease proxy may have renewed its agent's lease.
// The protocol ensures this:
//   - A proxy sends a request to the leader every second.
//   - It may renew leases only after it has been disconnected for renewAfter, and only within a window
//     that begins when it sent (not when it received the answer to) the last request that was answered
//     within ResponseTimeout.
//   - Its requests report whether it renewed any lease.
//   - RenewalBound, the leader's side, bounds the time until which leases may have been renewed.
//   - If leases of a zone must not be renewed, the leader answers with a Fence: the proxy renews no lease
//     until its next ordinary answer, and confirms the fence.
package leasekeeper

import (
	"sync"

	"notchmux.dev/notchmux/internal/micro"
)

// Timing that lease proxies and leaders share.
const (
	RequestInterval = micro.Second             // time between a lease proxy's requests
	ResponseTimeout = 500 * micro.Millisecond  // an answer that arrives later is ignored
	renewAfter      = 4 * micro.Second         // time disconnected before leases may be renewed
	probeMaxAge     = 2500 * micro.Millisecond // age from which the result of a probe is not used
)

// clockDriftDivisor and timerMargin bound the drift between two monotonic clocks: 1/clockDriftDivisor of
// the elapsed time, and a margin for timers.
const (
	clockDriftDivisor = 500
	timerMargin       = 10 * micro.Millisecond
)

// clockDrift returns an upper bound, with a margin, of the drift between two monotonic clocks during a
// window.
func clockDrift(window micro.Time) micro.Time { return window/clockDriftDivisor + timerMargin }

// State is the state of a node as a lease proxy.
type State uint8

// The states of a lease proxy.
const (
	Connected State = iota // the leader answers, or this node is the leader
	Isolated               // the leader does not answer
	Renewing               // neither the leader nor any node outside the zone answers: leases are renewed
	Fenced                 // the leader has forbidden lease renewals
)

func (s State) String() string { return [...]string{"connected", "isolated", "renewing", "fenced"}[s] }

// LeaderTimestamp is the leader's ordinary answer to a lease proxy. The proxy's next request returns it.
type LeaderTimestamp struct {
	Term uint64 `msgpack:"t"`
	At   int64  `msgpack:"a"` // microseconds of the leader's monotonic clock
}

// Request is the periodic request of a lease proxy to the leader.
type Request struct {
	Node          string          `msgpack:"n"`
	Echo          LeaderTimestamp `msgpack:"e"` // the last ordinary answer
	RenewedLeases bool            `msgpack:"k"` // a lease was renewed since the request that Echo answered
}

// Fence is the leader's answer to a lease proxy that must not renew leases until its next ordinary
// answer.
type Fence struct {
	Term uint64 `msgpack:"t"`
	At   int64  `msgpack:"a"` // microseconds of the leader's monotonic clock
}

// FenceConfirmation is sent by a lease proxy to the leader to confirm that a Fence is in effect.
type FenceConfirmation struct {
	Node  string `msgpack:"n"`
	Fence Fence  `msgpack:"f"`
}

// Proxy is the lease proxy of a node. Its methods may be called from any goroutine.
type Proxy struct {
	Node          string
	RenewalWindow micro.Time // time after the last answered request in which leases may be renewed; 0: never renew
	Log           func(msg string, args ...any)

	mu              sync.Mutex
	state           State
	lastAnswered    micro.Time // when the last request with an ordinary answer was sent; 0: none
	lastTimestamp   LeaderTimestamp
	lastRenewal     micro.Time // when a lease was last renewed; 0: never
	lastRequest     micro.Time // when the last request was created
	fenced          bool       // no lease may be renewed until the next ordinary answer
	lastFenced      micro.Time // when the last request answered with a fence was sent; 0: none
	zonePartitioned bool       // while disconnected, only nodes of this zone answered probes
	lastProbe       micro.Time
}

// transition changes the state, which happens nowhere else.
func (p *Proxy) transition(to State) {
	if p.state == to {
		return
	}
	p.Log("lease proxy state changed", "from", p.state.String(), "to", to.String())
	p.state = to
}

// Request returns the request to send to the leader now.
func (p *Proxy) Request(now micro.Time) Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRequest = now
	return Request{
		Node: p.Node, Echo: p.lastTimestamp, RenewedLeases: p.lastRenewal > 0 && p.lastRenewal >= p.lastAnswered,
	}
}

// HandleResponse processes the leader's ordinary answer to a request that was sent at the given time. It
// ignores late answers and answers to requests older than the last one answered.
func (p *Proxy) HandleResponse(sent, now micro.Time, timestamp LeaderTimestamp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-sent > ResponseTimeout || sent <= p.lastAnswered || sent <= p.lastFenced {
		return // the leader relies on late answers being ignored
	}
	p.lastAnswered, p.lastTimestamp, p.zonePartitioned, p.fenced = sent, timestamp, false, false
	p.transition(Connected)
}

// HandleFence processes a fence that answered a request sent at the given time. It reports whether the
// fence is in effect and must be confirmed.
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

// RecordLeading records that this node itself holds the leadership lease now.
func (p *Proxy) RecordLeading(now micro.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswered, p.lastTimestamp, p.zonePartitioned, p.fenced = now, LeaderTimestamp{}, false, false
	p.transition(Connected)
}

// Disconnected reports whether the leader has not answered the latest requests in time, so that the other
// nodes should be probed.
func (p *Proxy) Disconnected(now micro.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now-p.lastAnswered > RequestInterval+ResponseTimeout
}

// RecordProbe records whether any node of this zone and any node outside it answered a probe. Leases are
// renewed only if the whole zone is partitioned: if only this node is isolated, its agents are better
// served by another node. Once a node of the zone has answered, the zone counts as partitioned even if its
// other nodes stop later, until a node outside it or the leader answers, or this node leads.
func (p *Proxy) RecordProbe(reachedInside, reachedOutside bool, now micro.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zonePartitioned, p.lastProbe = (reachedInside || p.zonePartitioned) && !reachedOutside, now
	if now-p.lastAnswered > RequestInterval+ResponseTimeout {
		p.transition(p.stateAt(now))
	}
}

// stateAt returns the state at the given time of a proxy that is not connected.
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

// ZonePartitioned reports whether the nodes of this zone reach no node outside it.
func (p *Proxy) ZonePartitioned(now micro.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.zonePartitioned && now-p.lastProbe < probeMaxAge && now-p.lastAnswered > RequestInterval+ResponseTimeout
}

// TryRenew reports whether an agent's lease may be renewed now. If so, it records the renewal, which the
// next request reports to the leader.
func (p *Proxy) TryRenew(now micro.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.lastRequest || p.stateAt(now) != Renewing {
		// If the goroutine was paused after it read the clock, a later request may have told the
		// leader already that no lease was renewed.
		return false
	}
	p.lastRenewal = now
	return true
}

// LastRenewal returns when a lease was last renewed, or 0 if none was.
func (p *Proxy) LastRenewal() micro.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastRenewal
}
