// Package fake implements in-memory fakes of the services around a node, for tests. The fakes are written from
// the protocol.
package fake

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

type value struct {
	raw     []byte
	version uint64
	lease   uint64
}

type lease struct {
	ttl       micro.Time
	expiresAt micro.Time
}

// Store is a fake of the store.
type Store struct {
	mu               sync.Mutex
	keys             map[string]value
	leases           map[uint64]*lease
	events           []wire.Event
	revision         uint64
	lastLeaseID      uint64
	outage           bool
	partitioned      bool
	answersToLose    int                // number of next commits that are executed, but whose responses are lost
	commitsToHold    int                // number of next commits that are held, without a response
	heldCommits      []wire.Transaction // held commits, in the order of their arrival
	limits           Limits
	writeTokens      float64    // number of changes that the rate limit currently allows
	refilledAt       micro.Time // when writeTokens was last refilled
	MalformedCount   int        // requests refused as malformed because of their size
	RateLimitedCount int        // requests refused because they exceed the rate limit
	Now              func() micro.Time
	changed          chan struct{} // closed when a key or the outage state changes
}

// NewStore returns an empty store without limits.
func NewStore() *Store {
	return &Store{keys: map[string]value{}, leases: map[uint64]*lease{}, Now: micro.Now, changed: make(chan struct{})}
}

// Limits are the limits that the store enforces; 0 means no limit.
type Limits struct {
	ValueBytes int     // size of a value in JSON
	TxnOps     int     // changes per transaction; the limit on preconditions is four times as high
	WriteRPS   float64 // changes per second
}

// SetLimits sets the limits. It may be called at any time.
func (s *Store) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.writeTokens, s.refilledAt = l, l.WriteRPS, s.Now()
}

// checkLimits returns an error if the transaction exceeds a limit; otherwise it consumes write tokens.
// The caller must hold s.mu.
func (s *Store) checkLimits(txn wire.Transaction) error {
	limits := s.limits
	if limits.TxnOps > 0 && (len(txn.Then) > limits.TxnOps || len(txn.If) > 4*limits.TxnOps) {
		s.MalformedCount++
		return store.ErrMalformed
	}
	for _, change := range txn.Then {
		if limits.ValueBytes > 0 && change.Value != nil && wire.JSONSize(change.Value) > limits.ValueBytes {
			s.MalformedCount++
			return store.ErrMalformed
		}
	}
	if limits.WriteRPS > 0 && len(txn.Then) > 0 {
		now := s.Now()
		s.writeTokens = min(s.writeTokens+(now-s.refilledAt).Seconds()*limits.WriteRPS, limits.WriteRPS)
		s.refilledAt = now
		if s.writeTokens < float64(len(txn.Then)) {
			s.RateLimitedCount++
			return store.ErrRateLimited
		}
		s.writeTokens -= float64(len(txn.Then))
	}
	return nil
}

// ExistingKeys reports for each of the keys whether it exists. At most four times Limits.TxnOps keys are allowed.
func (s *Store) ExistingKeys(ctx context.Context, class store.Class, keys []string) (map[string]bool, error) {
	s.mu.Lock()
	tooMany := s.limits.TxnOps > 0 && len(keys) > 4*s.limits.TxnOps
	s.mu.Unlock()
	if tooMany {
		return nil, store.ErrMalformed
	}
	out := map[string]bool{}
	for _, k := range keys {
		_, err := s.Get(ctx, class, k)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return nil, err
		}
		out[k] = err == nil
	}
	return out, nil
}

// SetOutage starts or ends an outage. At its end every lease is extended by its full TTL.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.notifyWatches()
	if !on {
		for _, l := range s.leases {
			l.expiresAt = s.Now() + l.ttl
		}
	}
}

// notifyWatches wakes all waiting watches. The caller must hold s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetPartitioned starts or ends a state in which the store does not respond, as during a network partition.
func (s *Store) SetPartitioned(on bool) { s.mu.Lock(); s.partitioned = on; s.mu.Unlock() }

// unavailable returns the error of every call while the store is partitioned or in an outage, otherwise nil.
func (s *Store) unavailable() error {
	switch {
	case s.partitioned:
		return store.ErrUncertain
	case s.outage:
		return store.ErrRefused
	}
	return nil
}

// LoseAnswers makes the store execute the next n commits without a response.
func (s *Store) LoseAnswers(n int) { s.mu.Lock(); s.answersToLose = n; s.mu.Unlock() }

// HoldCommits makes the store hold the next n commits, without a response, until DeliverHeld.
func (s *Store) HoldCommits(n int) { s.mu.Lock(); s.commitsToHold = n; s.mu.Unlock() }

// HeldCommits returns the number of held commits.
func (s *Store) HeldCommits() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.heldCommits) }

// DeliverHeld executes the held commits and returns how many of them succeeded.
func (s *Store) DeliverHeld() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := 0
	for _, t := range s.heldCommits {
		if _, err := s.commit(t); err == nil {
			succeeded++
		}
	}
	s.heldCommits = nil
	return succeeded
}

// expireLeases ends the expired leases; during an outage no lease expires. The caller must hold s.mu.
func (s *Store) expireLeases() {
	if s.outage {
		return
	}
	for id, l := range s.leases {
		if s.Now() > l.expiresAt {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and its keys. The caller must hold s.mu.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for k, v := range s.keys {
		if v.lease == id {
			s.revision++
			delete(s.keys, k)
			s.events = append(s.events, wire.Event{Delete: k, Version: wire.Count(s.revision)})
			s.notifyWatches()
		}
	}
}

// AvailableWrites returns a fixed large number: the fake store has no write budget.
func (s *Store) AvailableWrites(store.Class) int { return 1000 }

// Get reads a key.
func (s *Store) Get(_ context.Context, _ store.Class, key string) (wire.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailable(); err != nil {
		return wire.Item{}, err
	}
	s.expireLeases()
	v, ok := s.keys[key]
	if !ok {
		return wire.Item{}, store.ErrNotFound
	}
	return wire.Item{Key: key, Value: v.raw, Version: wire.Count(v.version), Lease: wire.Count(v.lease)}, nil
}

// Range reads a page of keys in order.
func (s *Store) Range(_ context.Context, _ store.Class, prefix, after string, limit int) (wire.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailable(); err != nil {
		return wire.Page{}, err
	}
	s.expireLeases()
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	page := wire.Page{Revision: wire.Count(s.revision)}
	if len(names) > limit {
		names, page.More = names[:limit], true
	}
	for _, key := range names {
		stored := s.keys[key]
		page.Items = append(page.Items, wire.Item{Key: key, Value: stored.raw, Version: wire.Count(stored.version)})
	}
	return page, nil
}

// Commit executes a transaction.
func (s *Store) Commit(_ context.Context, _ store.Class, txn wire.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailable(); err != nil {
		return 0, err
	}
	if err := s.checkLimits(txn); err != nil {
		return 0, err
	}
	if s.commitsToHold > 0 {
		s.commitsToHold--
		s.heldCommits = append(s.heldCommits, txn)
		return 0, store.ErrUncertain
	}
	revision, err := s.commit(txn)
	if s.answersToLose > 0 {
		s.answersToLose--
		return 0, store.ErrUncertain
	}
	return revision, err
}

// commit executes a transaction if its preconditions hold. The caller must hold s.mu.
func (s *Store) commit(txn wire.Transaction) (uint64, error) {
	s.expireLeases()
	for _, condition := range txn.If {
		if s.keys[condition.Key].version != uint64(condition.Version) {
			return 0, store.ErrConflict
		}
	}
	for _, change := range txn.Then {
		if change.Lease != 0 && s.leases[uint64(change.Lease)] == nil {
			return 0, store.ErrNoLease
		}
	}
	s.revision++
	for _, change := range txn.Then {
		if change.Delete != "" {
			delete(s.keys, change.Delete)
			s.events = append(s.events, wire.Event{Delete: change.Delete, Version: wire.Count(s.revision)})
			continue
		}
		raw := wire.MustMarshal(change.Value)
		s.keys[change.Put] = value{raw, s.revision, uint64(change.Lease)}
		s.events = append(s.events, wire.Event{Put: change.Put, Value: raw, Version: wire.Count(s.revision)})
	}
	s.notifyWatches()
	return s.revision, nil
}

// Grant creates a lease.
func (s *Store) Grant(_ context.Context, ttl micro.Time) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailable(); err != nil {
		return 0, err
	}
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, s.Now() + ttl}
	return s.lastLeaseID, nil
}

// Renew extends a lease by its full TTL.
func (s *Store) Renew(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailable(); err != nil {
		return err
	}
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return store.ErrNoLease
	}
	l.expiresAt = s.Now() + l.ttl
	return nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailable(); err != nil {
		return err
	}
	s.endLease(id)
	return nil
}

// eventsAfter returns the changes of keys with the prefix after a revision. The caller must hold s.mu.
func (s *Store) eventsAfter(prefix string, after uint64) wire.Events {
	events := wire.Events{Revision: wire.Count(s.revision)}
	i := sort.Search(len(s.events), func(i int) bool { return uint64(s.events[i].Version) > after })
	for _, event := range s.events[i:] {
		if strings.HasPrefix(event.Put+event.Delete, prefix) {
			events.Events = append(events.Events, event)
		}
	}
	return events
}

// Watch returns the changes of keys with the prefix after a revision. It waits for the first one, at most for the
// given time, and during an outage for that time in any case.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error) {
	for deadline := s.Now() + wait; ; {
		s.mu.Lock()
		s.expireLeases()
		events := s.eventsAfter(prefix, after)
		outage, changed, now := s.outage, s.changed, s.Now()
		remaining := deadline - now
		if !outage {
			for _, granted := range s.leases { // the expiry of a lease may delete keys
				remaining = min(remaining, max(granted.expiresAt-now, 0)+micro.Millisecond)
			}
		}
		s.mu.Unlock()
		if !outage && len(events.Events) > 0 || now > deadline {
			return events, nil
		}
		timer := time.NewTimer(max(remaining, 0).Duration() + time.Millisecond)
		select {
		case <-ctx.Done():
			timer.Stop()
			return wire.Events{}, fmt.Errorf("%w: %w", store.ErrUncertain, ctx.Err())
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
