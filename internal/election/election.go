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

// LeaderKey is the leader's key.
const LeaderKey = "leader"

// maxClockDrift is the most that a steady clock may gain on another, in parts of 1e4,
// with room for both clocks and for a timer's step.
const maxClockDrift = 20

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
	FencingRevision uint64 // version of the leader's key: every write is guarded by it
	Lease           uint64
	key             string // the key that is held
	validUntil      atomic.Int64
	ended           atomic.Bool
}

// HoldsLease reports whether the right to act still holds.
func (t *Term) HoldsLease(now micro.Time) bool {
	return t != nil && !t.ended.Load() && int64(now) < t.validUntil.Load()
}

// Precondition is the condition that every write of the term carries.
func (t *Term) Precondition() wire.Precondition {
	return wire.Precondition{Key: t.key, Version: wire.Count(t.FencingRevision)}
}

// End gives the term up for good.
func (t *Term) End() { t.ended.Store(true) }

// NewTerm makes a term that is valid until the given time; for tests.
func NewTerm(revision uint64, until micro.Time) *Term {
	return NewTermForKey(LeaderKey, revision, until)
}

// NewTermForKey makes a term that holds the given key; for tests.
func NewTermForKey(key string, revision uint64, until micro.Time) *Term {
	term := &Term{FencingRevision: revision, key: key}
	term.validUntil.Store(int64(until))
	return term
}

// Extend puts off the end of the right; for tests.
func (t *Term) Extend(until micro.Time) { t.validUntil.Store(int64(until)) }

// Election runs one node's part.
type Election struct {
	Key              string // the key to be held; "": the leader's
	Node             string
	Nonce            string
	Store            store.Store
	TTL              micro.Time
	RenewInterval    micro.Time
	Log              *slog.Logger
	Now              func() micro.Time
	OnStartedLeading func(*Term) // called when this node has become leader
	OnStoppedLeading func(*Term) // called when its term is over

	mu                sync.Mutex
	campaignNotBefore micro.Time // no campaign before
	deferUntil        micro.Time // until then other candidates go first
	state             State
	leader            string
	term              *Term
}

// key is the key to be held.
func (e *Election) key() string {
	if e.Key == "" {
		return LeaderKey
	}
	return e.Key
}

// Leader is the node that this one believes leads, "" if none is known.
func (e *Election) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// SuspendCampaign keeps this node from campaigning for a while, so that another may lead.
func (e *Election) SuspendCampaign(d micro.Time) {
	e.mu.Lock()
	e.campaignNotBefore = e.Now() + d
	e.mu.Unlock()
}

// headStart is how long a node that yields waits before it campaigns: enough for
// a candidate that does not to create the key, also in a slow store.
const headStart = micro.Second

// DeferCampaign lets any other candidate go first for a while. Unlike Pause it keeps this
// node from nothing: if no other one campaigns, it leads after a head start.
func (e *Election) DeferCampaign(d micro.Time) {
	e.mu.Lock()
	e.deferUntil = e.Now() + d
	e.mu.Unlock()
}

// Term is this node's term, nil if it does not lead.
func (e *Election) Term() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// transition is the one place where the state changes.
func (e *Election) transition(state State, leader string, term *Term) {
	e.mu.Lock()
	previousState, previousTerm := e.state, e.term
	changed := previousState != state || e.leader != leader
	e.state, e.leader, e.term = state, leader, term
	e.mu.Unlock()
	if changed {
		e.Log.Info("election", "state", state.String(), "was", previousState.String(), "leader", leader)
	}
	if previousTerm != nil && previousTerm != term {
		previousTerm.End()
		e.OnStoppedLeading(previousTerm)
	}
	if term != nil && term != previousTerm {
		e.OnStartedLeading(term)
	}
}

// Run takes part until the context ends.
func (e *Election) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		e.runOnce(ctx)
	}
	return nil
}

func (e *Election) sleep(ctx context.Context, d micro.Time) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// runOnce looks at the leader's key once and does what it calls for.
func (e *Election) runOnce(ctx context.Context) {
	item, err := e.Store.Get(ctx, store.Leadership, e.key())
	switch {
	case errors.Is(err, store.ErrNotFound):
		if e.campaign(ctx) {
			e.renewUntilLost(ctx)
		}
		return
	case err != nil:
		// Whoever leads cannot be told from here; what was known may be stale.
		e.sleep(ctx, 300*micro.Millisecond)
		return
	}
	var record Record
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		e.sleep(ctx, micro.Second)
		return
	}
	if record.Node == e.Node && record.Nonce != e.Nonce {
		// Our own earlier incarnation: that process is dead, since one address
		// runs one process. Its lease may end at once.
		_ = e.Store.Revoke(ctx, uint64(record.Lease))
		return
	}
	if record.Node == e.Node {
		// A campaign whose answer was lost has won after all. When its lease was
		// last renewed is not known any more: start afresh.
		_ = e.Store.Revoke(ctx, uint64(record.Lease))
		return
	}
	e.transition(Follower, record.Node, nil)
	events, err := e.Store.Watch(ctx, e.key(), uint64(item.Version), 10*micro.Second)
	if err != nil {
		e.sleep(ctx, 200*micro.Millisecond+micro.Time(rand.Int64N(int64(200*micro.Millisecond))))
		return
	}
	if len(events.Events) > 0 {
		e.transition(Follower, "", nil)
	}
}

// campaign tries to create the leader's key.
func (e *Election) campaign(ctx context.Context) bool {
	e.mu.Lock()
	now := e.Now()
	wait, deferring := e.campaignNotBefore-now, now < e.deferUntil
	e.mu.Unlock()
	if wait > 0 {
		e.transition(Follower, "", nil)
		e.sleep(ctx, min(wait, 500*micro.Millisecond))
		return false
	}
	e.transition(Candidate, "", nil)
	delay := micro.Time(rand.Int64N(int64(30 * micro.Millisecond)))
	if deferring {
		delay += headStart
	}
	e.sleep(ctx, delay)
	sent := e.Now()
	lease, err := e.Store.Grant(ctx, e.TTL)
	if err != nil {
		e.sleep(ctx, 300*micro.Millisecond)
		return false
	}
	revision, err := e.Store.Commit(ctx, store.Leadership, wire.Transaction{
		If: []wire.Precondition{{Key: e.key()}},
		Then: []wire.Change{
			{Put: e.key(), Value: Record{Node: e.Node, Nonce: e.Nonce, Lease: wire.Count(lease)}, Lease: wire.Count(lease)},
		},
	})
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			e.sleep(ctx, 200*micro.Millisecond)
		}
		return false
	}
	term := &Term{FencingRevision: revision, Lease: lease, key: e.key()}
	term.validUntil.Store(int64(e.leaseDeadline(sent)))
	e.transition(Leader, e.Node, term)
	return true
}

// leaseDeadline is when the right to act ends that a renewal sent at a time gives.
func (e *Election) leaseDeadline(sent micro.Time) micro.Time {
	return sent + e.TTL - e.TTL*maxClockDrift/10000 - 5*micro.Millisecond
}

// renewUntilLost renews the lease until it is lost. During an outage the lease keeps its
// life in the store: the right to act lapses here, and comes back with the next
// good renewal, since no other node can have led in between.
func (e *Election) renewUntilLost(ctx context.Context) {
	term := e.Term()
	wait := e.RenewInterval
	for ctx.Err() == nil && !term.ended.Load() {
		e.sleep(ctx, wait)
		sent := e.Now()
		renewCtx, cancel := context.WithTimeout(ctx, (e.TTL / 3).Duration())
		err := e.Store.Renew(renewCtx, term.Lease)
		cancel()
		switch {
		case err == nil:
			term.validUntil.Store(int64(e.leaseDeadline(sent)))
			wait = e.RenewInterval
		case errors.Is(err, store.ErrNoLease):
			e.transition(Follower, "", nil)
			return
		default:
			e.Log.Info("leader lease not renewed", "err", err)
			wait = 150 * micro.Millisecond
		}
	}
	e.transition(Follower, "", nil)
}
