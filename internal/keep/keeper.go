// Package keep lets the controllers inside a zone that is cut off from
// everything keep the leases of that zone's workers alive for a while, so that
// what runs there goes on. A keeper gives no orders and tells no user anything:
// it only answers reports.
//
// The leader must not take a place for free while a keeper may have renewed its
// worker's lease. So a keeper asks the leader every second, may keep only for a
// span from when it *sent* the last request that was answered in time, and only
// after it has been out of touch for a while; and it confesses to having kept.
// Ledger is the leader's side, which bounds what keepers may have done.
package keep

import (
	"sync"

	"notchmux.dev/notchmux/internal/micro"
)

// Timing that keepers and leaders share.
const (
	Every = micro.Second            // between a keeper's requests
	Wait  = 500 * micro.Millisecond // how long it waits for an answer: a later one does not count
	after = 4 * micro.Second        // out of touch for so long before it may keep
	fresh = 2500 * micro.Millisecond
)

// drift is the most that two steady clocks part over a span, with room to spare.
func drift(span micro.Time) micro.Time { return span/500 + 10*micro.Millisecond }

// State is what a node is to its zone's workers.
type State uint8

// The states.
const (
	InTouch State = iota // the leader answers, or this node leads
	Alone                // it does not answer
	Keeping              // nor does anybody outside the zone: leases are kept
)

func (s State) String() string { return [...]string{"in touch", "alone", "keeping"}[s] }

// Echo is the leader's answer to a keeper, which the next request carries.
type Echo struct {
	Term uint64 `msgpack:"t"`
	At   int64  `msgpack:"a"` // by the leader's steady clock
}

// Request is what a keeper asks the leader.
type Request struct {
	Node string `msgpack:"n"`
	Echo Echo   `msgpack:"e"` // the last answer
	Kept bool   `msgpack:"k"` // a lease was renewed since the request that it answered
}

// Keeper is a node's own side. Its methods may be called by any goroutine.
type Keeper struct {
	Node string
	Span micro.Time // how long leases may be kept; 0: never
	Log  func(msg string, args ...any)

	mu     sync.Mutex
	state  State
	basis  micro.Time // when the last request was sent that was answered; 0: none was
	echo   Echo
	kept   micro.Time // when a lease was last renewed; 0: never
	asked  micro.Time // when the latest request was made
	parted bool       // while out of touch, only this zone's nodes answered
	looked micro.Time
}

// become is the one place where the state changes.
func (k *Keeper) become(to State) {
	if k.state == to {
		return
	}
	k.Log("zone", "was", k.state.String(), "is", to.String())
	k.state = to
}

// Request is what to ask the leader now.
func (k *Keeper) Request(now micro.Time) Request {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked = now
	return Request{Node: k.Node, Echo: k.echo, Kept: k.kept > 0 && k.kept >= k.basis}
}

// Answered takes in the leader's answer to a request that was sent at a time.
func (k *Keeper) Answered(sent, now micro.Time, e Echo) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now-sent > Wait || sent <= k.basis {
		return // the leader counts on answers that came in time
	}
	k.basis, k.echo, k.parted = sent, e, false
	k.become(InTouch)
}

// Leads notes that this node itself has the right to act now.
func (k *Keeper) Leads(now micro.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.basis, k.echo, k.parted = now, Echo{}, false
	k.become(InTouch)
}

// OutOfTouch reports whether nodes should be looked for: the leader did not
// answer the latest requests.
func (k *Keeper) OutOfTouch(now micro.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now-k.basis > Every+Wait
}

// Looked takes in which nodes answered: any of this zone, and any outside. Only
// where the whole zone is cut off are leases kept: the workers of a node that is
// cut off by itself do better with another. That the zone's other nodes end
// meanwhile changes nothing.
func (k *Keeper) Looked(inside, outside bool, now micro.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.parted, k.looked = (inside || k.parted) && !outside, now
	if now-k.basis > Every+Wait {
		k.become(k.at(now))
	}
}

func (k *Keeper) at(now micro.Time) State {
	since := now - k.basis
	if k.basis > 0 && since >= after && since < k.Span && k.parted && now-k.looked < fresh {
		return Keeping
	}
	return Alone
}

// Parted reports whether this zone's nodes reach nobody outside it.
func (k *Keeper) Parted(now micro.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.parted && now-k.looked < fresh && now-k.basis > Every+Wait
}

// Renew reports whether a worker's lease may be renewed now. It notes that it
// was: the leader will be told.
func (k *Keeper) Renew(now micro.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now < k.asked || k.at(now) != Keeping {
		// A process that stood still between its look at the clock and here may
		// have told the leader of nothing kept meanwhile.
		return false
	}
	k.kept = now
	return true
}

// Kept is when a lease was last renewed; 0: never.
func (k *Keeper) Kept() micro.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.kept
}
