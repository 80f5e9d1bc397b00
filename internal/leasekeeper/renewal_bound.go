package leasekeeper

import (
	"sync"

	"notchmux.dev/notchmux/internal/micro"
)

// RenewalBound is what a leader knows of the other nodes as lease proxies, in one term. Its
// methods may be called by any goroutine.
type RenewalBound struct {
	term       uint64
	termStart  micro.Time
	window     micro.Time
	leaderZone string // the leader's own zone, "" if it can have no lease proxies

	mu       sync.Mutex
	zones    map[string][]string // the zones that can have lease proxies, with their nodes
	contacts map[string]*nodeContact

	lastRequests map[string]micro.Time // when each node last asked this leader, whether it may proxy leases or not
}

// nodeContact is the leader's contact with one node.
type nodeContact struct {
	lastAnswer    micro.Time // the latest answer: the node's window may begin with it
	lastConfirmed micro.Time // the latest answer that surely arrived in time
	renewedUntil  micro.Time // until when it may have renewed leases, as far as it was connected or fenced since
	fencedAt      micro.Time // when it last confirmed a fence; 0: not since it was last answered
}

// NewRenewalBound starts a term: answers of earlier terms went out before. Nodes gives the
// zone of every other node. A zone of one node has no lease proxy: that node cannot tell its
// own isolation from a partition of its zone.
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

// RecordRequest notes that a node asks this leader now, whatever the answer.
func (b *RenewalBound) RecordRequest(node string, now micro.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastRequests[node] = now
}

// RequestedRecently reports whether a node asked this leader just now. Each does every RequestInterval.
func (b *RenewalBound) RequestedRecently(node string, now micro.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, heard := b.lastRequests[node]
	return heard && now-at < missedRequestLimit*RequestInterval
}

// missedRequestLimit is how many requests of a node that fail to come show that it is out of reach.
const missedRequestLimit = 3

// HandleRequest takes in a node's request and gives the answer to it; the caller must still
// hold the leadership lease when it sends that.
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
		// What a process did that was not connected in this term is not known.
		contact.renewedUntil = now
	}
	contact.lastAnswer, contact.fencedAt = now, 0
	return LeaderTimestamp{Term: b.term, At: int64(now)}
}

// Fence is the answer to a request of a node that is to renew no lease.
func (b *RenewalBound) Fence(now micro.Time) Fence { return Fence{Term: b.term, At: int64(now)} }

// HandleConfirmation takes in that a node keeps to a fence: it renews no lease until its next
// ordinary answer. A confirmation of a fence from before the last such answer is a late copy.
func (b *RenewalBound) HandleConfirmation(confirmation FenceConfirmation, now micro.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	contact := b.contacts[confirmation.Node]
	if contact == nil || confirmation.Fence.Term != b.term || micro.Time(confirmation.Fence.At) <= contact.lastAnswer {
		return
	}
	if contact.fencedAt == 0 {
		contact.renewedUntil = now // what it did until then is not known
	}
	contact.fencedAt = now
}

// fenced reports whether a node surely renews no lease until it is answered.
func (c *nodeContact) fenced() bool { return c.fencedAt > 0 }

// reachable reports whether the leader was in contact with a node just now.
func (c *nodeContact) reachable(now micro.Time) bool {
	return c.connected(now) || c.fenced() && now < c.fencedAt+renewAfter
}

// connected reports whether a node surely renews no lease now: it received the answer given
// at lastConfirmed within ResponseTimeout of its request, renews nothing for renewAfter from
// that request on, and its next request told whether it had renewed any until then.
func (c *nodeContact) connected(now micro.Time) bool {
	return c.lastConfirmed > 0 && now < c.lastConfirmed+renewAfter-ResponseTimeout-clockDrift(renewAfter)
}

// RenewedUntil is until when a lease proxy may have renewed the lease of an agent of a zone;
// "" stands for a zone that is not known.
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

// contactGrace is how long after a term began each reachable node has asked its leader: it
// asks every second, and is connected after two requests.
const contactGrace = 8 * micro.Second

// ZoneDisconnected reports whether a zone's nodes, two or more, are all disconnected. One that
// has not been connected in this term counts once there was time for it: a leader that was
// elected while the zone was partitioned once requested instances there.
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

// RenewalLimit is until when a lease proxy of a zone may yet renew a lease, if none is
// answered from now on; 0: it has none. A confirmed fence does not shorten it: a fence that ends
// before the user of a cancelled job is told must not let them be told while its tasks run.
func (b *RenewalBound) RenewalLimit(zone string, now micro.Time) micro.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var limit micro.Time
	if b.leaderZone != "" && (zone == "" || zone == b.leaderZone) {
		limit = now + b.window + clockDrift(b.window) // the leader may become a lease proxy itself
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

func (b *RenewalBound) forEachContact(zone string, f func(*nodeContact)) {
	for candidate, nodes := range b.zones {
		if zone == "" || zone == candidate {
			for _, node := range nodes {
				f(b.contacts[node])
			}
		}
	}
}
