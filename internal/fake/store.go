// Package fake holds in-memory emulated services for the services around a node,
// written from the protocol, for tests.
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

// Store is a stand-in for the store.
type Store struct {
	mu               sync.Mutex
	keys             map[string]value
	leases           map[uint64]*lease
	events           []wire.Event
	revision         uint64
	lastLeaseID      uint64
	outage           bool
	partitioned      bool
	answersToLose    int                // so many commits run, but their answers are lost
	commitsToHold    int                // so many commits are held back, and answered by nothing
	heldCommits      []wire.Transaction // those commits
	limits           Limits
	writeTokens      float64    // changes that the rate allows now
	refilledAt       micro.Time // when they were counted
	MalformedCount   int        // requests refused as malformed, for their size
	RateLimitedCount int        // requests refused for being over the rate
	Now              func() micro.Time
	changed          chan struct{} // closed when something changes
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{keys: map[string]value{}, leases: map[uint64]*lease{}, Now: micro.Now, changed: make(chan struct{})}
}

// Limits are what the store enforces; 0: no limit.
type Limits struct {
	ValueBytes int // of a value's JSON form
	TxnOps     int // changes a transaction; conditions four times as many
	WriteRPS   float64
}

// SetLimits sets the limits, at any time and without notice.
func (s *Store) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.writeTokens, s.refilledAt = l, l.WriteRPS, s.Now()
}

// checkLimits applies the limits to a transaction.
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

// ExistingKeys says which keys there are.
func (s *Store) ExistingKeys(ctx context.Context, class store.Class, keys []string) (map[string]bool, error) {
	s.mu.Lock()
	over := s.limits.TxnOps > 0 && len(keys) > 4*s.limits.TxnOps
	s.mu.Unlock()
	if over {
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

// SetOutage starts or ends an outage; after it every lease has its full time.
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

// notifyWatches wakes the watches.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetPartitioned makes the store silent, as for a node that the network keeps from it.
func (s *Store) SetPartitioned(on bool) { s.mu.Lock(); s.partitioned = on; s.mu.Unlock() }

// unavailable is why the store does not answer.
func (s *Store) unavailable() error {
	switch {
	case s.partitioned:
		return store.ErrUncertain
	case s.outage:
		return store.ErrRefused
	}
	return nil
}

// LoseAnswers lets the next n commits run without an answer.
func (s *Store) LoseAnswers(n int) { s.mu.Lock(); s.answersToLose = n; s.mu.Unlock() }

// HoldCommits keeps the next n commits, unanswered, until Deliver.
func (s *Store) HoldCommits(n int) { s.mu.Lock(); s.commitsToHold = n; s.mu.Unlock() }

// HeldCommits is how many commits are held back.
func (s *Store) HeldCommits() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.heldCommits) }

// DeliverHeld runs what was held back and says how many took effect.
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

// AvailableWrites is without limit.
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

// Range reads keys in order.
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

// Commit runs a transaction.
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

// Grant makes a lease.
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

// Renew extends a lease.
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

// Revoke ends a lease.
func (s *Store) Revoke(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailable(); err != nil {
		return err
	}
	s.endLease(id)
	return nil
}

// eventsAfter are the changes under a prefix after a revision; the lock is held.
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

// Watch waits for changes.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error) {
	for deadline := s.Now() + wait; ; {
		s.mu.Lock()
		s.expireLeases()
		events := s.eventsAfter(prefix, after)
		outage, changed, now := s.outage, s.changed, s.Now()
		remaining := deadline - now
		if !outage {
			for _, granted := range s.leases { // a lease that ends is a change as well
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
