// Package election keeps one leader among the nodes, by a key on a lease of the store. A
// node's session as an owner of shards is held by the same rules, as a key for which no
// other node campaigns.
//
// The leadership lease ends, by this node's own steady clock, a TTL (less the drift of
// clocks) after the last successful renewal was sent. The store ends its lease no earlier
// than that, so two nodes never hold the leadership lease at once.
//
// Election.Run owns the state; all other methods may be called from any goroutine.
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

// LeaderKey is the key that names the leader. It is a fixed format.
const LeaderKey = "leader"

// maxClockDrift is the most that a steady clock may gain on another, in parts of 1e4,
// with capacity for both clocks and for a timer's step.
const (
	maxClockDrift      = 20
	clockDriftDivisor  = 10000
	timerStep          = 5 * micro.Millisecond
	maxCampaignDelay   = 30 * micro.Millisecond // so that candidates do not collide
	retryDelay         = 300 * micro.Millisecond
	renewRetryDelay    = 150 * micro.Millisecond
	watchTimeout       = 10 * micro.Second
	watchRetryDelay    = 200 * micro.Millisecond
	commitRetryDelay   = 200 * micro.Millisecond
	suspendedPollDelay = 500 * micro.Millisecond
)

// Record is the value of the key.
type Record struct {
	Node  string     `msgpack:"node"`
	Nonce string     `msgpack:"nonce"` // of the process: a restarted node has another
	Lease wire.Count `msgpack:"lease"`
	// Features names what the holder of a session can do beyond the first version of shards.
	Features []string `msgpack:"features,omitempty" json:",omitempty"`
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

// Term is one node's time as leader, or as holder of its session.
type Term struct {
	FencingRevision uint64 // version of the key: the precondition of every write of the term
	Lease           uint64
	key             string // the key that is held
	validUntil      atomic.Int64
	ended           atomic.Bool
}

// HoldsLease reports whether this node may still act as leader.
func (t *Term) HoldsLease(now micro.Time) bool {
	return t != nil && !t.ended.Load() && int64(now) < t.validUntil.Load()
}

// Precondition is the condition that every write of the term carries.
func (t *Term) Precondition() wire.Precondition {
	return wire.Precondition{Key: t.key, Version: wire.Count(t.FencingRevision)}
}

// End gives the term up for good.
func (t *Term) End() { t.ended.Store(true) }

// NewTerm makes a term that holds the lease until the given time; for tests.
func NewTerm(revision uint64, until micro.Time) *Term {
	return NewTermForKey(LeaderKey, revision, until)
}

// NewTermForKey makes a term that holds the given key; for tests.
func NewTermForKey(key string, revision uint64, until micro.Time) *Term {
	term := &Term{FencingRevision: revision, key: key}
	term.validUntil.Store(int64(until))
	return term
}

// Extend sets when the lease ends; for tests.
func (t *Term) Extend(until micro.Time) { t.validUntil.Store(int64(until)) }

// Election is one node's part in an election.
type Election struct {
	Key                string // the key to be held; "": LeaderKey
	Node               string
	Nonce              string
	Features           []string      // announced with the key; none for the leader's
	AcquisitionChanges []wire.Change // further changes of the transaction that creates the key
	Store              store.Store
	TTL                micro.Time
	RenewInterval      micro.Time
	Log                *slog.Logger
	Now                func() micro.Time
	OnStartedLeading   func(*Term) // called by Run when this node has become leader
	OnStoppedLeading   func(*Term) // called by Run when its term is over

	mu                sync.Mutex
	campaignNotBefore micro.Time
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

// SuspendCampaign keeps this node from campaigning for a time, so that another may lead.
func (e *Election) SuspendCampaign(d micro.Time) {
	e.mu.Lock()
	e.campaignNotBefore = e.Now() + d
	e.mu.Unlock()
}

// deferralDelay is how long a node that defers waits before it campaigns: enough for a candidate
// that does not defer to create the key, also in a slow store.
const deferralDelay = micro.Second

// DeferCampaign lets any other candidate go first for a time. Unlike SuspendCampaign it
// forbids nothing: if no other node campaigns, this one leads after the head start.
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

// transition is the one place where the state changes. It tells whoever leads or led.
func (e *Election) transition(state State, leader string, term *Term) {
	e.mu.Lock()
	previousState, previousTerm := e.state, e.term
	changed := previousState != state || e.leader != leader
	e.state, e.leader, e.term = state, leader, term
	e.mu.Unlock()
	if changed {
		e.Log.Info("election", "from", previousState.String(), "to", state.String(), "leader", leader)
	}
	if previousTerm != nil && previousTerm != term {
		previousTerm.End()
		e.OnStoppedLeading(previousTerm)
	}
	if term != nil && term != previousTerm {
		e.OnStartedLeading(term)
	}
}

// Run takes part in the election until the context ends.
func (e *Election) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		e.runOnce(ctx)
	}
	return nil
}

func (e *Election) sleep(ctx context.Context, d micro.Time) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runOnce reads the key once and does what it calls for.
func (e *Election) runOnce(ctx context.Context) {
	item, err := e.Store.Get(ctx, store.Leadership, e.key())
	switch {
	case errors.Is(err, store.ErrNotFound):
		if e.campaign(ctx) {
			e.renewUntilLost(ctx)
		}
		return
	case err != nil:
		// Who leads is not known to this node now, and what it knew may be stale.
		e.sleep(ctx, retryDelay)
		return
	}
	var record Record
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		e.Log.Error("election record not understood", "key", e.key(), "err", err)
		e.sleep(ctx, micro.Second)
		return
	}
	if record.Node == e.Node {
		// Written by an earlier incarnation of this node, which is dead, since one address
		// runs one process; or by a campaign of this one whose response was lost, and which
		// won after all: when its lease was last renewed is not known. Either lease may end
		// at once, and the election starts afresh.
		_ = e.Store.Revoke(ctx, uint64(record.Lease))
		return
	}
	e.follow(ctx, record.Node, uint64(item.Version))
}

// follow waits until the key of another leader changes.
func (e *Election) follow(ctx context.Context, leader string, version uint64) {
	e.transition(Follower, leader, nil)
	events, err := e.Store.Watch(ctx, e.key(), version, watchTimeout)
	if err != nil {
		e.sleep(ctx, watchRetryDelay+micro.Time(rand.Int64N(int64(watchRetryDelay))))
		return
	}
	if len(events.Events) > 0 {
		e.transition(Follower, "", nil)
	}
}

// campaign tries to create the key; true: this node leads.
func (e *Election) campaign(ctx context.Context) bool {
	e.mu.Lock()
	now := e.Now()
	wait, deferring := e.campaignNotBefore-now, now < e.deferUntil
	e.mu.Unlock()
	if wait > 0 {
		e.transition(Follower, "", nil)
		e.sleep(ctx, min(wait, suspendedPollDelay))
		return false
	}
	e.transition(Candidate, "", nil)
	delay := micro.Time(rand.Int64N(int64(maxCampaignDelay)))
	if deferring {
		delay += deferralDelay
	}
	e.sleep(ctx, delay)
	sent := e.Now()
	lease, err := e.Store.Grant(ctx, e.TTL)
	if err != nil {
		e.sleep(ctx, retryDelay)
		return false
	}
	revision, err := e.Store.Commit(ctx, store.Leadership, wire.Transaction{
		If: []wire.Precondition{{Key: e.key()}},
		Then: append(
			[]wire.Change{{Put: e.key(), Value: e.record(lease), Lease: wire.Count(lease)}}, e.AcquisitionChanges...,
		),
	})
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			e.sleep(ctx, commitRetryDelay)
		}
		return false
	}
	term := &Term{FencingRevision: revision, Lease: lease, key: e.key()}
	term.validUntil.Store(int64(e.leaseDeadline(sent)))
	e.transition(Leader, e.Node, term)
	return true
}

// record is the value of the key under a lease.
func (e *Election) record(lease uint64) Record {
	return Record{Node: e.Node, Nonce: e.Nonce, Lease: wire.Count(lease), Features: e.Features}
}

// leaseDeadline is when the leadership lease ends that a renewal sent at a time gives.
func (e *Election) leaseDeadline(sent micro.Time) micro.Time {
	return sent + e.TTL - e.TTL*maxClockDrift/clockDriftDivisor - timerStep
}

// renewUntilLost renews the lease until it is lost. An outage of the store does not shorten
// the lease that it holds: leadership lapses here, and resumes with the next successful
// renewal, since no other node can have led in between.
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
			e.Log.Info("leader lease not renewed", "key", e.key(), "err", err)
			wait = renewRetryDelay
		}
	}
	e.transition(Follower, "", nil)
}
