package leasekeeper

import (
	"sync"

	"notchmux.dev/notchmux/internal/micro"
)

// RenewalBound tracks, for one leadership term, until when the other nodes may have renewed leases as
// lease proxies. Its methods may be called from any goroutine.
type RenewalBound struct {
	term       uint64
	termStart  micro.Time
	window     micro.Time
	leaderZone string // the leader's own zone; "" if it cannot have lease proxies

	mu       sync.Mutex
	zones    map[string][]string // nodes of the zones that can have lease proxies, by zone
	contacts map[string]*nodeContact

	lastRequests map[string]micro.Time // time of the last request of each node, also of nodes that are no lease proxies
}

// nodeContact is the leader's contact with one node.
type nodeContact struct {
	lastAnswer    micro.Time // last ordinary answer sent: the node's renewal window may begin with it
	lastConfirmed micro.Time // last answer that certainly arrived in time
	renewedUntil  micro.Time // until when it may have renewed leases before it was last connected or fenced
	fencedAt      micro.Time // when it last confirmed a fence; 0: not since the last ordinary answer
}

// NewRenewalBound returns the bound for a term that starts now. Answers of earlier terms were sent before
// termStart. The map nodes holds the zone of every other node. A zone with one node has no lease proxy,
// since that node cannot distinguish its own isolation from a partition of its zone.
func NewRenewalBound(
	term uint64, termStart, window micro.Time, nodes map[string]string, leaderZone string,
) *RenewalBound {
	bound := &RenewalBound{
		term: term, termStart: termStart, window: window, zones: map[string][]string{}, contacts: map[string]*nodeContact{},
		lastRequests: map[string]micro.Time{},
	}
	if window == 0 {
		return bound
	}
	nodesByZone := map[string]int{leaderZone: 1}
	for node, zone := range nodes {
		nodesByZone[zone]++
		bound.zones[zone] = append(bound.zones[zone], node)
		bound.contacts[node] = &nodeContact{lastAnswer: termStart}
	}
	for zone, count := range nodesByZone {
		if count < 2 {
			delete(bound.zones, zone)
		}
	}
	if nodesByZone[leaderZone] > 1 {
		bound.leaderZone = leaderZone
	}
	return bound
}

// RecordRequest records that a node sent a request to this leader now, whatever the answer.
func (b *RenewalBound) RecordRequest(node string, now micro.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastRequests[node] = now
}

// RequestedRecently reports whether one of the last missedRequestLimit requests of a node, due every
// RequestInterval, reached this leader.
func (b *RenewalBound) RequestedRecently(node string, now micro.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, found := b.lastRequests[node]
	return found && now-at < missedRequestLimit*RequestInterval
}

// missedRequestLimit is the number of consecutive missing requests after which a node counts as
// unreachable.
const missedRequestLimit = 3

// HandleRequest processes a node's request and returns the ordinary answer. The caller must still hold
// the leadership lease when it sends the answer.
func (b *RenewalBound) HandleRequest(request Request, now micro.Time) LeaderTimestamp {
	b.mu.Lock()
	defer b.mu.Unlock()
	contact := b.contacts[request.Node]
	if contact == nil {
		return LeaderTimestamp{Term: b.term, At: int64(now)}
	}
	if request.Echo.Term == b.term {
		contact.lastConfirmed = max(contact.lastConfirmed, micro.Time(request.Echo.At))
	}
	if request.RenewedLeases || request.Echo.Term != b.term {
		// A process that was not connected in this term may have renewed leases until now.
		contact.renewedUntil = now
	}
	contact.lastAnswer, contact.fencedAt = now, 0
	return LeaderTimestamp{Term: b.term, At: int64(now)}
}

// Fence returns the answer to a request of a node that must not renew leases.
func (b *RenewalBound) Fence(now micro.Time) Fence { return Fence{Term: b.term, At: int64(now)} }

// HandleConfirmation records that a fence is in effect on a node: it renews no lease until its next
// ordinary answer. A confirmation of a fence from before the last ordinary answer is a late copy and is
// ignored.
func (b *RenewalBound) HandleConfirmation(confirmation FenceConfirmation, now micro.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	contact := b.contacts[confirmation.Node]
	if contact == nil || confirmation.Fence.Term != b.term || micro.Time(confirmation.Fence.At) <= contact.lastAnswer {
		return
	}
	if contact.fencedAt == 0 {
		contact.renewedUntil = now // it may have renewed leases until the fence
	}
	contact.fencedAt = now
}

// fenced reports whether a node certainly renews no lease until its next ordinary answer.
func (c *nodeContact) fenced() bool { return c.fencedAt > 0 }

// reachable reports whether the node is connected or confirmed a fence less than renewAfter ago.
func (c *nodeContact) reachable(now micro.Time) bool {
	return c.connected(now) || c.fenced() && now < c.fencedAt+renewAfter
}

// connected reports whether a node certainly renews no lease now: it received the answer sent at
// lastConfirmed within ResponseTimeout of its request, it renews no lease for renewAfter from that
// request on, and its next request reported whether it had renewed any before.
func (c *nodeContact) connected(now micro.Time) bool {
	return c.lastConfirmed > 0 && now < c.lastConfirmed+renewAfter-ResponseTimeout-clockDrift(renewAfter)
}

// RenewedUntil returns the time until which a lease proxy may have renewed the lease of an agent in a
// zone; "" stands for an unknown zone.
func (b *RenewalBound) RenewedUntil(zone string, now micro.Time) micro.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var until micro.Time
	b.forEachContact(zone, func(contact *nodeContact) {
		renewedUntil := contact.renewedUntil
		if !contact.connected(now) && !contact.fenced() {
			renewedUntil = max(renewedUntil, min(now, contact.lastAnswer+b.window+clockDrift(b.window)))
		}
		until = max(until, renewedUntil)
	})
	return until
}

// contactGrace is the time after the start of a term by which each reachable node is connected: a node
// sends a request every second and is connected after two.
const contactGrace = 8 * micro.Second

// ZoneDisconnected reports whether all nodes of a zone with two or more nodes are disconnected. A node
// that has not been connected in this term counts as disconnected after contactGrace: a leader that was
// elected while a zone was partitioned once requested instances in that zone.
func (b *RenewalBound) ZoneDisconnected(zone string, now micro.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	disconnected := now-b.termStart > contactGrace
	for _, node := range b.zones[zone] {
		contact := b.contacts[node]
		if contact.reachable(now) {
			return false
		}
		disconnected = disconnected || contact.lastConfirmed > 0
	}
	return disconnected && len(b.zones[zone]) > 0 && zone != b.leaderZone
}

// RenewalLimit returns the time until which a lease proxy of a zone may still renew a lease if no request
// is answered from now on, or 0 if the zone has no lease proxy. A confirmed fence does not shorten it:
// the fence may end before the user of a cancelled job is told that the job has ended, and they must not
// be told while its tasks may still run.
func (b *RenewalBound) RenewalLimit(zone string, now micro.Time) micro.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var limit micro.Time
	if b.leaderZone != "" && (zone == "" || zone == b.leaderZone) {
		limit = now + b.window + clockDrift(b.window) // this node may become a lease proxy after its term
	}
	b.forEachContact(zone, func(contact *nodeContact) {
		renewableUntil := contact.lastAnswer + b.window + clockDrift(b.window)
		if contact.connected(now) {
			renewableUntil = now + b.window + clockDrift(b.window)
		}
		limit = max(limit, renewableUntil)
	})
	return limit
}

// forEachContact calls f for each node of a zone that can have lease proxies, or of all such zones if zone
// is "".
func (b *RenewalBound) forEachContact(zone string, f func(*nodeContact)) {
	for candidate, nodes := range b.zones {
		if zone == "" || zone == candidate {
			for _, node := range nodes {
				f(b.contacts[node])
			}
		}
	}
}
