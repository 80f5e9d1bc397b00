// Package fake holds in-memory stand-ins for the services around a node,
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
	raw   []byte
	stamp uint64
	lease uint64
}

type lease struct {
	ttl  micro.Time
	ends micro.Time
}

// Store is a stand-in for the state service.
type Store struct {
	mu     sync.Mutex
	keys   map[string]value
	leases map[uint64]*lease
	log    []wire.Event
	rev    uint64
	nextID uint64
	out    bool
	cut    bool
	lose   int        // so many commits run, but their answers are lost
	late   int        // so many commits are held back, and answered by nothing
	held   []wire.Txn // those commits
	limits Limits
	tokens float64    // changes that the rate allows now
	filled micro.Time // when they were counted
	Bad    int        // requests refused as malformed, for their size
	Busy   int        // requests refused for being over the rate
	Now    func() micro.Time
	wake   chan struct{} // closed when something changes
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{keys: map[string]value{}, leases: map[uint64]*lease{}, Now: micro.Now, wake: make(chan struct{})}
}

// Limits are what the store enforces; 0: no limit.
type Limits struct {
	ValueBytes int // of a value's JSON form
	TxnOps     int // changes a transaction; conditions four times as many
	WriteRPS   float64
}

// Limit sets the limits, at any time and without notice.
func (s *Store) Limit(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.tokens, s.filled = l, l.WriteRPS, s.Now()
}

// within applies the limits to a transaction.
func (s *Store) within(t wire.Txn) error {
	l := s.limits
	if l.TxnOps > 0 && (len(t.Then) > l.TxnOps || len(t.If) > 4*l.TxnOps) {
		s.Bad++
		return store.ErrMalformed
	}
	for _, c := range t.Then {
		if l.ValueBytes > 0 && c.Value != nil && wire.JSONSize(c.Value) > l.ValueBytes {
			s.Bad++
			return store.ErrMalformed
		}
	}
	if l.WriteRPS > 0 && len(t.Then) > 0 {
		now := s.Now()
		s.tokens = min(s.tokens+(now-s.filled).Seconds()*l.WriteRPS, l.WriteRPS)
		s.filled = now
		if s.tokens < float64(len(t.Then)) {
			s.Busy++
			return store.ErrRateLimited
		}
		s.tokens -= float64(len(t.Then))
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

// Outage starts or ends an outage; after it every lease has its full time.
func (s *Store) Outage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = on
	s.stir()
	if !on {
		for _, l := range s.leases {
			l.ends = s.Now() + l.ttl
		}
	}
}

// stir wakes the watches.
func (s *Store) stir() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// Cut makes the store silent, as for a node that the network keeps from it.
func (s *Store) Cut(on bool) { s.mu.Lock(); s.cut = on; s.mu.Unlock() }

// away is why the store does not answer.
func (s *Store) away() error {
	switch {
	case s.cut:
		return store.ErrUncertain
	case s.out:
		return store.ErrRefused
	}
	return nil
}

// LoseAnswers lets the next n commits run without an answer.
func (s *Store) LoseAnswers(n int) { s.mu.Lock(); s.lose = n; s.mu.Unlock() }

// HoldBack keeps the next n commits, unanswered, until Deliver.
func (s *Store) HoldBack(n int) { s.mu.Lock(); s.late = n; s.mu.Unlock() }

// Held is how many commits are held back.
func (s *Store) Held() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.held) }

// Deliver runs what was held back and says how many took effect.
func (s *Store) Deliver() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := 0
	for _, t := range s.held {
		if _, err := s.commit(t); err == nil {
			done++
		}
	}
	s.held = nil
	return done
}

func (s *Store) expire() {
	if s.out {
		return
	}
	for id, l := range s.leases {
		if s.Now() > l.ends {
			s.end(id)
		}
	}
}

func (s *Store) end(id uint64) {
	delete(s.leases, id)
	for k, v := range s.keys {
		if v.lease == id {
			s.rev++
			delete(s.keys, k)
			s.log = append(s.log, wire.Event{Delete: k, Version: wire.Count(s.rev)})
			s.stir()
		}
	}
}

// AvailableWrites is without limit.
func (s *Store) AvailableWrites(store.Class) int { return 1000 }

// Get reads a key.
func (s *Store) Get(_ context.Context, _ store.Class, key string) (wire.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.away(); err != nil {
		return wire.Item{}, err
	}
	s.expire()
	v, ok := s.keys[key]
	if !ok {
		return wire.Item{}, store.ErrNotFound
	}
	return wire.Item{Key: key, Value: v.raw, Version: wire.Count(v.stamp), Lease: wire.Count(v.lease)}, nil
}

// Range reads keys in order.
func (s *Store) Range(_ context.Context, _ store.Class, prefix, after string, limit int) (wire.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.away(); err != nil {
		return wire.Page{}, err
	}
	s.expire()
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	p := wire.Page{Revision: wire.Count(s.rev)}
	if len(names) > limit {
		names, p.More = names[:limit], true
	}
	for _, k := range names {
		v := s.keys[k]
		p.Items = append(p.Items, wire.Item{Key: k, Value: v.raw, Version: wire.Count(v.stamp)})
	}
	return p, nil
}

// Commit runs a transaction.
func (s *Store) Commit(_ context.Context, _ store.Class, t wire.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.away(); err != nil {
		return 0, err
	}
	if err := s.within(t); err != nil {
		return 0, err
	}
	if s.late > 0 {
		s.late--
		s.held = append(s.held, t)
		return 0, store.ErrUncertain
	}
	rev, err := s.commit(t)
	if s.lose > 0 {
		s.lose--
		return 0, store.ErrUncertain
	}
	return rev, err
}

func (s *Store) commit(t wire.Txn) (uint64, error) {
	s.expire()
	for _, g := range t.If {
		if s.keys[g.Key].stamp != uint64(g.Version) {
			return 0, store.ErrConflict
		}
	}
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[uint64(c.Lease)] == nil {
			return 0, store.ErrNoLease
		}
	}
	s.rev++
	for _, c := range t.Then {
		if c.Delete != "" {
			delete(s.keys, c.Delete)
			s.log = append(s.log, wire.Event{Delete: c.Delete, Version: wire.Count(s.rev)})
			continue
		}
		raw := wire.MustMarshal(c.Value)
		s.keys[c.Put] = value{raw, s.rev, uint64(c.Lease)}
		s.log = append(s.log, wire.Event{Put: c.Put, Value: raw, Version: wire.Count(s.rev)})
	}
	s.stir()
	return s.rev, nil
}

// Grant makes a lease.
func (s *Store) Grant(_ context.Context, ttl micro.Time) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.away(); err != nil {
		return 0, err
	}
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, s.Now() + ttl}
	return s.nextID, nil
}

// Renew extends a lease.
func (s *Store) Renew(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.away(); err != nil {
		return err
	}
	s.expire()
	l := s.leases[id]
	if l == nil {
		return store.ErrNoLease
	}
	l.ends = s.Now() + l.ttl
	return nil
}

// Revoke ends a lease.
func (s *Store) Revoke(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.away(); err != nil {
		return err
	}
	s.end(id)
	return nil
}

// Watch waits for changes.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error) {
	for end := s.Now() + wait; ; {
		s.mu.Lock()
		s.expire()
		ev := wire.Events{Revision: wire.Count(s.rev)}
		i := sort.Search(len(s.log), func(i int) bool { return uint64(s.log[i].Version) > after })
		for _, e := range s.log[i:] {
			if strings.HasPrefix(e.Put+e.Delete, prefix) {
				ev.Events = append(ev.Events, e)
			}
		}
		out, wake, now := s.out, s.wake, s.Now()
		left := end - now
		if !out {
			for _, l := range s.leases { // a lease that ends is a change as well
				left = min(left, max(l.ends-now, 0)+micro.Millisecond)
			}
		}
		s.mu.Unlock()
		if !out && len(ev.Events) > 0 || now > end {
			return ev, nil
		}
		t := time.NewTimer(max(left, 0).Std() + time.Millisecond)
		select {
		case <-ctx.Done():
			t.Stop()
			return wire.Events{}, fmt.Errorf("%w: %v", store.ErrUncertain, ctx.Err())
		case <-wake:
		case <-t.C:
		}
		t.Stop()
	}
}
