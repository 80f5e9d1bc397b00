package fake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Reach is how the store meets one node.
type Reach uint8

// The ways.
const (
	Served  Reach = iota
	Refused       // 503 for this node alone
	Silent        // no answer: the network keeps it from the store
)

// Link is the store as one process of a node reaches it, with the troubles that
// befall this process alone. What waits does so on the timers of package time,
// so that it serves in real time and in fake time.
type Link struct {
	*Store

	mu      sync.Mutex
	reach   Reach
	dead    bool
	delay   micro.Time
	late    float64             // share of commits that are carried out late, and answered by nothing
	lost    float64             // share of commits that are carried out at once, and answered by nothing
	meets   func(wire.Txn) Fate // nil: nothing of note
	hold    time.Time
	writes  *rate.Limiter // what the process may change; nil: no limit
	wps     float64       // of which its share is a part
	rand    *rand.Rand
	Patient micro.Time // how long a call without a deadline waits for an answer
}

// NewLink makes the link of a process.
func NewLink(s *Store, r *rand.Rand) *Link {
	return &Link{Store: s, rand: r, Patient: micro.Second}
}

// Set changes how the store meets the node.
func (l *Link) Set(r Reach) { l.mu.Lock(); l.reach = r; l.mu.Unlock() }

// Die ends the process: nothing that it still tries has an effect.
func (l *Link) Die() { l.mu.Lock(); l.dead = true; l.mu.Unlock() }

// Delay makes every answer take so long.
func (l *Link) Delay(d micro.Time) { l.mu.Lock(); l.delay = d; l.mu.Unlock() }

// Unsure has a share of the commits carried out 2 to 12 s late, and of another
// share only the answers lost.
func (l *Link) Unsure(late, lost float64) { l.mu.Lock(); l.late, l.lost = late, lost; l.mu.Unlock() }

// Budget holds the process to its share of a rate of changes, as the real client
// does; until a share is set, it is that part.
func (l *Link) Budget(writeRPS, share float64) {
	l.mu.Lock()
	l.wps, l.writes = writeRPS, rate.NewLimiter(0, 0)
	l.mu.Unlock()
	l.SetBudgetFraction(share, share)
}

// SetBudgetFraction sets the part of the limits that the process may use.
func (l *Link) SetBudgetFraction(_, writes float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writes != nil {
		l.writes.SetLimit(rate.Limit(l.wps * writes))
		l.writes.SetBurst(max(1, int(l.wps*writes)))
	}
}

func (l *Link) limiter() *rate.Limiter { l.mu.Lock(); defer l.mu.Unlock(); return l.writes }

// AvailableWrites is how many puts and deletes the budget allows now.
func (l *Link) AvailableWrites(class store.Class) int {
	if lim := l.limiter(); lim != nil {
		return int(lim.Tokens() - max(class.ReservedFraction(), 0)*float64(lim.Burst()))
	}
	return l.Store.AvailableWrites(class)
}

// Fate is what befalls one commit.
type Fate struct {
	Refused bool       // it is not carried out
	Mute    bool       // it is answered by nothing
	After   micro.Time // when one without an answer is carried out
}

// Meets lets a story say what befalls each commit; nil: nothing more.
func (l *Link) Meets(f func(wire.Txn) Fate) { l.mu.Lock(); l.meets = f; l.mu.Unlock() }

// Hold keeps every call back until a time, as a process does that stands still
// just before it sends.
func (l *Link) Hold(until time.Time) { l.mu.Lock(); l.hold = until; l.mu.Unlock() }

func (l *Link) state() (Reach, bool, micro.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.delay
	if d > 0 {
		d = d/2 + micro.Time(l.rand.Int64N(int64(d)))
	}
	return l.reach, l.dead, d
}

func (l *Link) chance(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return share > 0 && l.rand.Float64() < share
}

// silence waits until the caller gives up.
func (l *Link) silence(ctx context.Context) error {
	t := time.NewTimer(l.Patient.Std())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return store.ErrUncertain
}

// enter is the way of a request to the store.
func (l *Link) enter(ctx context.Context) error {
	for {
		l.mu.Lock()
		wait := time.Until(l.hold)
		l.mu.Unlock()
		if wait <= 0 {
			break
		}
		time.Sleep(wait)
	}
	reach, dead, d := l.state()
	if d > 0 {
		time.Sleep((d / 2).Std())
	}
	switch {
	case dead || reach == Silent:
		return l.silence(ctx)
	case reach == Refused:
		return store.ErrRefused
	}
	return nil
}

// leave is the way back of its answer; the error says that it got lost.
func (l *Link) leave(ctx context.Context) error {
	reach, dead, d := l.state()
	if d > 0 {
		t := time.NewTimer((d / 2).Std())
		defer t.Stop()
		select {
		case <-ctx.Done():
			return store.ErrUncertain
		case <-t.C:
		}
	}
	if dead || reach == Silent {
		return l.silence(ctx)
	}
	return nil
}

// Get reads a key.
func (l *Link) Get(ctx context.Context, c store.Class, key string) (wire.Item, error) {
	if err := l.enter(ctx); err != nil {
		return wire.Item{}, err
	}
	it, err := l.Store.Get(ctx, c, key)
	if lost := l.leave(ctx); lost != nil {
		return wire.Item{}, lost
	}
	return it, err
}

// Range reads keys in order.
func (l *Link) Range(ctx context.Context, c store.Class, prefix, after string, limit int) (wire.Page, error) {
	if err := l.enter(ctx); err != nil {
		return wire.Page{}, err
	}
	p, err := l.Store.Range(ctx, c, prefix, after, limit)
	if lost := l.leave(ctx); lost != nil {
		return wire.Page{}, lost
	}
	return p, err
}

// ExistingKeys says which keys there are.
func (l *Link) ExistingKeys(ctx context.Context, c store.Class, keys []string) (map[string]bool, error) {
	if err := l.enter(ctx); err != nil {
		return nil, err
	}
	m, err := l.Store.ExistingKeys(ctx, c, keys)
	if lost := l.leave(ctx); lost != nil {
		return nil, lost
	}
	return m, err
}

// Commit runs a transaction, or has it run late.
func (l *Link) Commit(ctx context.Context, c store.Class, t wire.Txn) (uint64, error) {
	if lim := l.limiter(); lim != nil && !store.Admit(lim, c, len(t.Then)) {
		return 0, store.ErrBudgetExhausted
	}
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	late, lost, meets := l.late, l.lost, l.meets
	l.mu.Unlock()
	var fate Fate
	if meets != nil {
		fate = meets(t)
	}
	switch {
	case fate.Refused:
		return 0, store.ErrRefused
	case fate.Mute && fate.After > 0:
		time.AfterFunc(fate.After.Std(), func() { _, _ = l.Store.Commit(context.Background(), c, t) })
		return 0, l.silence(ctx)
	case fate.Mute:
		_, _ = l.Store.Commit(ctx, c, t)
		return 0, l.silence(ctx)
	}
	if l.chance(late) {
		l.mu.Lock()
		after := 2*time.Second + time.Duration(l.rand.Int64N(int64(10*time.Second)))
		l.mu.Unlock()
		time.AfterFunc(after, func() { _, _ = l.Store.Commit(context.Background(), c, t) })
		return 0, l.silence(ctx)
	}
	rev, err := l.Store.Commit(ctx, c, t)
	if l.chance(lost) {
		return 0, l.silence(ctx)
	}
	if gone := l.leave(ctx); gone != nil {
		return 0, gone
	}
	return rev, err
}

// Grant makes a lease.
func (l *Link) Grant(ctx context.Context, ttl micro.Time) (uint64, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	id, err := l.Store.Grant(ctx, ttl)
	if lost := l.leave(ctx); lost != nil {
		return 0, lost
	}
	return id, err
}

// Renew extends a lease.
func (l *Link) Renew(ctx context.Context, id uint64) error {
	if err := l.enter(ctx); err != nil {
		return err
	}
	err := l.Store.Renew(ctx, id)
	if lost := l.leave(ctx); lost != nil {
		return lost
	}
	return err
}

// Revoke ends a lease.
func (l *Link) Revoke(ctx context.Context, id uint64) error {
	if err := l.enter(ctx); err != nil {
		return err
	}
	err := l.Store.Revoke(ctx, id)
	if lost := l.leave(ctx); lost != nil {
		return lost
	}
	return err
}

// Watch waits for changes. One that is open when the store begins to refuse the
// node waits on, as in an outage.
func (l *Link) Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error) {
	if err := l.enter(ctx); err != nil {
		return wire.Events{}, err
	}
	end := time.Now().Add(wait.Std())
	ev, err := l.Store.Watch(ctx, prefix, after, wait)
	for {
		reach, dead, _ := l.state()
		if !dead && reach == Served {
			return ev, err
		}
		if dead || reach == Silent {
			return wire.Events{}, l.silence(ctx)
		}
		if !time.Now().Before(end) {
			return wire.Events{}, store.ErrRefused
		}
		t := time.NewTimer(100 * time.Millisecond)
		select {
		case <-ctx.Done():
			t.Stop()
			return wire.Events{}, store.ErrUncertain
		case <-t.C:
		}
	}
}
