// Package election keeps one leader among the nodes, by a key on a lease of the
// state service. A node's session as an owner of shares is held by the same rules, as
// a key for which no other node stands.
//
// The right to act ends, by this node's own steady clock, a lifetime (less the
// drift of clocks) after the last good renewal was sent. The store ends the
// lease no earlier than that, so two nodes never hold the right at once.
package election

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Key is the leader's key.
const Key = "leader"

// drift is the most that a steady clock may gain on another, in parts of 1e4,
// with room for both clocks and for a timer's step.
const drift = 20

// Record is the value of the leader's key.
type Record struct {
	Node  string     `msgpack:"node"`
	Nonce string     `msgpack:"nonce"`
	Lease wire.Count `msgpack:"lease"`
}

// State is what this node takes itself to be.
type State int32

// The states of a node.
const (
	Follower State = iota
	Candidate
	Leader
)

func (s State) String() string { return [...]string{"follower", "candidate", "leader"}[s] }

// Term is one node's time as leader.
type Term struct {
	Stamp uint64 // version of the leader's key: every write is guarded by it
	Lease uint64
	key   string // the key that is held
	until atomic.Int64
	ended atomic.Bool
}

// Valid reports whether the right to act still holds.
func (t *Term) Valid(now micro.Time) bool {
	return t != nil && !t.ended.Load() && int64(now) < t.until.Load()
}

// Guard is the condition that every write of the term carries.
func (t *Term) Guard() wire.Guard { return wire.Guard{Key: t.key, Version: wire.Count(t.Stamp)} }

// End gives the term up for good.
func (t *Term) End() { t.ended.Store(true) }

// NewTerm makes a term that is valid until the given time; for tests.
func NewTerm(stamp uint64, until micro.Time) *Term {
	return NewTermOf(Key, stamp, until)
}

// NewTermOf makes a term that holds the given key; for tests.
func NewTermOf(key string, stamp uint64, until micro.Time) *Term {
	t := &Term{Stamp: stamp, key: key}
	t.until.Store(int64(until))
	return t
}

// Extend puts off the end of the right; for tests.
func (t *Term) Extend(until micro.Time) { t.until.Store(int64(until)) }

// Election runs one node's part.
type Election struct {
	Key    string // the key to be held; "": the leader's
	Node   string
	Nonce  string
	Store  store.Store
	TTL    micro.Time
	Renew  micro.Time
	Log    *slog.Logger
	Now    func() micro.Time
	OnLead func(*Term) // called when this node has become leader
	OnLose func(*Term) // called when its term is over

	mu     sync.Mutex
	paused micro.Time // no campaign before
	yields micro.Time // until then other candidates go first
	state  State
	leader string
	term   *Term
}

// key is the key to be held.
func (e *Election) key() string {
	if e.Key == "" {
		return Key
	}
	return e.Key
}

// Leader is the node that this one believes leads, "" if none is known.
func (e *Election) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// Pause keeps this node from campaigning for a while, so that another may lead.
func (e *Election) Pause(d micro.Time) {
	e.mu.Lock()
	e.paused = e.Now() + d
	e.mu.Unlock()
}

// headStart is how long a node that yields waits before it campaigns: enough for
// a candidate that does not to create the key, also in a slow store.
const headStart = micro.Second

// Yield lets any other candidate go first for a while. Unlike Pause it keeps this
// node from nothing: if no other one campaigns, it leads after a head start.
func (e *Election) Yield(d micro.Time) {
	e.mu.Lock()
	e.yields = e.Now() + d
	e.mu.Unlock()
}

// Term is this node's term, nil if it does not lead.
func (e *Election) Term() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// become is the one place where the state changes.
func (e *Election) become(s State, leader string, term *Term) {
	e.mu.Lock()
	was, old := e.state, e.term
	changed := was != s || e.leader != leader
	e.state, e.leader, e.term = s, leader, term
	e.mu.Unlock()
	if changed {
		e.Log.Info("election", "state", s.String(), "was", was.String(), "leader", leader)
	}
	if old != nil && old != term {
		old.End()
		e.OnLose(old)
	}
	if term != nil && term != old {
		e.OnLead(term)
	}
}

// Run takes part until the context ends.
func (e *Election) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		e.round(ctx)
	}
	return nil
}

func (e *Election) pause(ctx context.Context, d micro.Time) {
	t := time.NewTimer(d.Std())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// round looks at the leader's key once and does what it calls for.
func (e *Election) round(ctx context.Context) {
	it, err := e.Store.Get(ctx, store.Leadership, e.key())
	switch {
	case errors.Is(err, store.ErrNotFound):
		if e.campaign(ctx) {
			e.hold(ctx)
		}
		return
	case err != nil:
		// Whoever leads cannot be told from here; what was known may be stale.
		e.pause(ctx, 300*micro.Millisecond)
		return
	}
	var rec Record
	if err := wire.Unmarshal(it.Value, &rec); err != nil {
		e.pause(ctx, micro.Second)
		return
	}
	if rec.Node == e.Node && rec.Nonce != e.Nonce {
		// Our own earlier incarnation: that process is dead, since one address
		// runs one process. Its lease may end at once.
		_ = e.Store.Revoke(ctx, uint64(rec.Lease))
		return
	}
	if rec.Node == e.Node {
		// A campaign whose answer was lost has won after all. When its lease was
		// last renewed is not known any more: start afresh.
		_ = e.Store.Revoke(ctx, uint64(rec.Lease))
		return
	}
	e.become(Follower, rec.Node, nil)
	ev, err := e.Store.Watch(ctx, e.key(), uint64(it.Version), 10*micro.Second)
	if err != nil {
		e.pause(ctx, 200*micro.Millisecond+micro.Time(rand.Int64N(int64(200*micro.Millisecond))))
		return
	}
	if len(ev.Events) > 0 {
		e.become(Follower, "", nil)
	}
}

// campaign tries to create the leader's key.
func (e *Election) campaign(ctx context.Context) bool {
	e.mu.Lock()
	now := e.Now()
	wait, yields := e.paused-now, now < e.yields
	e.mu.Unlock()
	if wait > 0 {
		e.become(Follower, "", nil)
		e.pause(ctx, min(wait, 500*micro.Millisecond))
		return false
	}
	e.become(Candidate, "", nil)
	first := micro.Time(rand.Int64N(int64(30 * micro.Millisecond)))
	if yields {
		first += headStart
	}
	e.pause(ctx, first)
	sent := e.Now()
	lease, err := e.Store.Grant(ctx, e.TTL)
	if err != nil {
		e.pause(ctx, 300*micro.Millisecond)
		return false
	}
	rev, err := e.Store.Commit(ctx, store.Leadership, wire.Txn{
		If:   []wire.Guard{{Key: e.key()}},
		Then: []wire.Change{{Put: e.key(), Value: Record{Node: e.Node, Nonce: e.Nonce, Lease: wire.Count(lease)}, Lease: wire.Count(lease)}},
	})
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			e.pause(ctx, 200*micro.Millisecond)
		}
		return false
	}
	t := &Term{Stamp: rev, Lease: lease, key: e.key()}
	t.until.Store(int64(e.right(sent)))
	e.become(Leader, e.Node, t)
	return true
}

// right is when the right to act ends that a renewal sent at a time gives.
func (e *Election) right(sent micro.Time) micro.Time {
	return sent + e.TTL - e.TTL*drift/10000 - 5*micro.Millisecond
}

// hold renews the lease until it is lost. During an outage the lease keeps its
// life in the store: the right to act lapses here, and comes back with the next
// good renewal, since no other node can have led in between.
func (e *Election) hold(ctx context.Context) {
	t := e.Term()
	wait := e.Renew
	for ctx.Err() == nil && !t.ended.Load() {
		e.pause(ctx, wait)
		sent := e.Now()
		rctx, cancel := context.WithTimeout(ctx, (e.TTL / 3).Std())
		err := e.Store.Renew(rctx, t.Lease)
		cancel()
		switch {
		case err == nil:
			t.until.Store(int64(e.right(sent)))
			wait = e.Renew
		case errors.Is(err, store.ErrNoLease):
			e.become(Follower, "", nil)
			return
		default:
			e.Log.Info("leader lease not renewed", "err", err)
			wait = 150 * micro.Millisecond
		}
	}
	e.become(Follower, "", nil)
}
