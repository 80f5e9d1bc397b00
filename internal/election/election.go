// Package election elects one leader among the nodes. The leader holds a key that is attached to a
// lease of the store. A node's session as an owner of shards works in the same way, with a key for
// which no other node campaigns.
//
// By this node's own monotonic clock, the leadership lease ends one TTL, less the allowed clock
// drift, after the last successful renewal was sent. The store ends its lease no earlier than that,
// so two nodes never hold the leadership lease at the same time.
//
// Only Election.Run changes the state. All other methods may be called from any goroutine.
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

// LeaderKey is the key whose value names the leader. It must not change.
const LeaderKey = "leader"

// Timing of the election. maxClockDrift, in parts of clockDriftDivisor, is the greatest drift
// between two monotonic clocks, with a margin for both clocks; timerStep is the margin for the
// resolution of a timer.
const (
	maxClockDrift      = 20
	clockDriftDivisor  = 10000
	timerStep          = 5 * micro.Millisecond
	maxCampaignDelay   = 30 * micro.Millisecond // upper bound of a random delay that keeps candidates from colliding
	retryDelay         = 300 * micro.Millisecond
	renewRetryDelay    = 150 * micro.Millisecond
	watchTimeout       = 10 * micro.Second
	watchRetryDelay    = 200 * micro.Millisecond
	commitRetryDelay   = 200 * micro.Millisecond
	suspendedPollDelay = 500 * micro.Millisecond
)

// Record is the value of the key that a leader or the holder of a session writes.
type Record struct {
	Node  string     `msgpack:"node"`
	Nonce string     `msgpack:"nonce"` // identifies the process; it differs after a restart of the node
	Lease wire.Count `msgpack:"lease"`
	// Features names the features that the holder of a session supports beyond the first release of
	// shards.
	Features []string `msgpack:"features,omitempty" json:",omitempty"`
}

// State is the role of this node in the election.
type State int32

// The states of a node.
const (
	Follower State = iota
	Candidate
	Leader
)

func (s State) String() string { return [...]string{"follower", "candidate", "leader"}[s] }

// Term is one continuous time of a node as leader or as holder of its session.
type Term struct {
	FencingRevision uint64 // version of the key: the precondition of every write of the term
	Lease           uint64
	key             string
	validUntil      atomic.Int64
	ended           atomic.Bool
}

// HoldsLease reports whether the term has not ended and its lease is valid, so that this node may
// act as leader. It returns false for a nil Term.
func (t *Term) HoldsLease(now micro.Time) bool {
	return t != nil && !t.ended.Load() && int64(now) < t.validUntil.Load()
}

// Precondition returns the condition that every write of the term carries.
func (t *Term) Precondition() wire.Precondition {
	return wire.Precondition{Key: t.key, Version: wire.Count(t.FencingRevision)}
}

// End ends the term permanently.
func (t *Term) End() { t.ended.Store(true) }

// NewTerm returns a term that holds the leader's key until the given time. It is used in tests.
func NewTerm(revision uint64, until micro.Time) *Term {
	return NewTermForKey(LeaderKey, revision, until)
}

// NewTermForKey returns a term that holds the given key until the given time. It is used in tests.
func NewTermForKey(key string, revision uint64, until micro.Time) *Term {
	term := &Term{FencingRevision: revision, key: key}
	term.validUntil.Store(int64(until))
	return term
}

// Extend sets when the lease ends. It is used in tests.
func (t *Term) Extend(until micro.Time) { t.validUntil.Store(int64(until)) }

// Election runs the participation of one node in an election.
type Election struct {
	Key                string // the key to create; "": LeaderKey
	Node               string
	Nonce              string
	Features           []string      // stored in the record; empty for the leader's key
	AcquisitionChanges []wire.Change // further changes in the transaction that creates the key
	Store              store.Store
	TTL                micro.Time
	RenewInterval      micro.Time
	Log                *slog.Logger
	Now                func() micro.Time
	OnStartedLeading   func(*Term) // called by Run when a term has started
	OnStoppedLeading   func(*Term) // called by Run when a term has ended

	mu                sync.Mutex
	campaignNotBefore micro.Time
	deferUntil        micro.Time // until then campaigns are delayed by deferralDelay
	state             State
	leader            string
	term              *Term
}

// key returns the key for which this node campaigns.
func (e *Election) key() string {
	if e.Key == "" {
		return LeaderKey
	}
	return e.Key
}

// Leader returns the node that is the leader as far as this node knows, or "" if none is known.
func (e *Election) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// SuspendCampaign prevents this node from campaigning for d, so that another node may become leader.
func (e *Election) SuspendCampaign(d micro.Time) {
	e.mu.Lock()
	e.campaignNotBefore = e.Now() + d
	e.mu.Unlock()
}

// deferralDelay is the additional delay of a deferred campaign. It is long enough for another candidate
// to create the key, even if the store is slow.
const deferralDelay = micro.Second

// DeferCampaign delays campaigns of this node by deferralDelay for the next d, so that other candidates
// have precedence. Unlike SuspendCampaign it does not prevent campaigns: if no other node campaigns,
// this one becomes leader after the delay.
func (e *Election) DeferCampaign(d micro.Time) {
	e.mu.Lock()
	e.deferUntil = e.Now() + d
	e.mu.Unlock()
}

// Term returns this node's term, or nil if it does not hold the key.
func (e *Election) Term() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// transition changes the state, which happens nowhere else, and calls the callbacks when a term ends or
// starts.
func (e *Election) transition(state State, leader string, term *Term) {
	e.mu.Lock()
	previousState, previousTerm := e.state, e.term
	changed := previousState != state || e.leader != leader
	e.state, e.leader, e.term = state, leader, term
	e.mu.Unlock()
	if changed {
		e.Log.Info("election state changed", "from", previousState.String(), "to", state.String(), "leader", leader)
	}
	if previousTerm != nil && previousTerm != term {
		previousTerm.End()
		e.OnStoppedLeading(previousTerm)
	}
	if term != nil && term != previousTerm {
		e.OnStartedLeading(term)
	}
}

// Run participates in the election until the context ends. It always returns nil.
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

// runOnce reads the key and campaigns, follows its holder, or revokes an old lease of this node.
func (e *Election) runOnce(ctx context.Context) {
	item, err := e.Store.Get(ctx, store.Leadership, e.key())
	switch {
	case errors.Is(err, store.ErrNotFound):
		if e.campaign(ctx) {
			e.renewUntilLost(ctx)
		}
		return
	case err != nil:
		// The leader is unknown while the store cannot be read; the last known leader may be stale.
		e.sleep(ctx, retryDelay)
		return
	}
	var record Record
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		e.Log.Error("decode election record failed", "key", e.key(), "err", err)
		e.sleep(ctx, micro.Second)
		return
	}
	if record.Node == e.Node {
		// The record was written by a previous process of this node, which has ended, since only
		// one process uses an address; or by a successful campaign of this process whose response
		// was lost, so that the start of its lease is not known. Either lease can be revoked at
		// once, and a new campaign follows.
		_ = e.Store.Revoke(ctx, uint64(record.Lease))
		return
	}
	e.follow(ctx, record.Node, uint64(item.Version))
}

// follow waits until the key held by another node changes or the watch times out.
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

// campaign tries to create the key. It returns true if this node now holds it.
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

// record returns the value of the key for a lease.
func (e *Election) record(lease uint64) Record {
	return Record{Node: e.Node, Nonce: e.Nonce, Lease: wire.Count(lease), Features: e.Features}
}

// leaseDeadline returns when the leadership lease ends after a successful renewal sent at the given
// time.
func (e *Election) leaseDeadline(sent micro.Time) micro.Time {
	return sent + e.TTL - e.TTL*maxClockDrift/clockDriftDivisor - timerStep
}

// renewUntilLost renews the lease until it is lost. If renewals fail, for example during an outage of the
// store, the leadership lease expires on this node but the term continues: the next successful renewal makes
// it valid again. An outage does not shorten the store's lease, so no other node can have become leader meanwhile.
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
			e.Log.Info("election lease renewal failed, retrying", "key", e.key(), "err", err)
			wait = renewRetryDelay
		}
	}
	e.transition(Follower, "", nil)
}
