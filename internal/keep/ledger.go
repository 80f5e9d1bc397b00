package keep

import (
	"sync"

	"notchmux.dev/notchmux/internal/micro"
)

// Ledger is what a leader knows of the other nodes as keepers, in one term.
type Ledger struct {
	term  uint64
	began micro.Time
	span  micro.Time
	self  string // the leader's own zone, "" if it can have no keepers

	mu    sync.Mutex
	zones map[string][]string // the zones that can have keepers, with their nodes
	nodes map[string]*contact
}

// contact is the leader's touch with a node.
type contact struct {
	answered micro.Time // the latest answer: from it the node may keep for a span
	sure     micro.Time // the latest answer that surely arrived in time
	kept     micro.Time // until when it may have kept, as far as it was in touch since
}

// NewLedger starts a term: answers of earlier terms went out before. Nodes lists the zone of every other node, self is the
// leader's own zone. A zone of one node has no keeper: a node cut off by itself
// and a zone cut off look alike to it.
func NewLedger(term uint64, began, span micro.Time, nodes map[string]string, self string) *Ledger {
	l := &Ledger{term: term, began: began, span: span, zones: map[string][]string{}, nodes: map[string]*contact{}}
	if span == 0 {
		return l
	}
	all := map[string]int{self: 1}
	for node, zone := range nodes {
		all[zone]++
		l.zones[zone] = append(l.zones[zone], node)
		l.nodes[node] = &contact{answered: began}
	}
	for zone, n := range all {
		if n < 2 {
			delete(l.zones, zone)
		}
	}
	if all[self] > 1 {
		l.self = self
	}
	return l
}

// Answer takes in a node's request and says what it is told; the caller must
// still have the right to act.
func (l *Ledger) Answer(r Request, now micro.Time) Echo {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.nodes[r.Node]
	if c == nil {
		return Echo{Term: l.term, At: int64(now)}
	}
	if r.Echo.Term == l.term {
		c.sure = max(c.sure, micro.Time(r.Echo.At))
	}
	if r.Kept || r.Echo.Term != l.term {
		// What a process did that was not in touch in this term is not known.
		c.kept = now
	}
	c.answered = now
	return Echo{Term: l.term, At: int64(now)}
}

// inTouch reports whether a node surely keeps nothing now. It took the answer
// given at sure within Wait of its request, keeps nothing for a while after that
// request, and its next request told what it had kept until then.
func (c *contact) inTouch(now micro.Time) bool {
	return c.sure > 0 && now < c.sure+after-Wait-drift(after)
}

// Until is until when a keeper may have renewed the lease of a worker of a zone;
// "" stands for a zone that is not known.
func (l *Ledger) Until(zone string, now micro.Time) micro.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var until micro.Time
	l.each(zone, func(c *contact) {
		u := c.kept
		if !c.inTouch(now) {
			u = max(u, min(now, c.answered+l.span+drift(l.span)))
		}
		until = max(until, u)
	})
	return until
}

// introduction is how long after a term began each node in reach has asked its
// leader: it asks every second, and twice until it is in touch.
const introduction = 8 * micro.Second

// Away reports whether a zone's nodes, two or more, are all out of touch. One that
// has not been in touch in this term counts once there was time for it: a leader
// that took over while the zone was cut off once rented machines there.
func (l *Ledger) Away(zone string, now micro.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	away := now-l.began > introduction
	for _, n := range l.zones[zone] {
		c := l.nodes[n]
		if c.inTouch(now) {
			return false
		}
		away = away || c.sure > 0
	}
	return away && len(l.zones[zone]) > 0 && zone != l.self
}

// Limit is until when a keeper of a zone may yet renew a lease, if none is
// answered from now on; 0: it has none.
func (l *Ledger) Limit(zone string, now micro.Time) micro.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var limit micro.Time
	if l.self != "" && (zone == "" || zone == l.self) {
		limit = now + l.span + drift(l.span) // the leader may become a keeper itself
	}
	l.each(zone, func(c *contact) {
		u := c.answered + l.span + drift(l.span)
		if c.inTouch(now) {
			u = now + l.span + drift(l.span)
		}
		limit = max(limit, u)
	})
	return limit
}

func (l *Ledger) each(zone string, f func(*contact)) {
	for z, nodes := range l.zones {
		if zone == "" || zone == z {
			for _, n := range nodes {
				f(l.nodes[n])
			}
		}
	}
}
