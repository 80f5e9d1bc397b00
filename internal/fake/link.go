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

// Reachability is how the store meets one node.
type Reachability uint8

// The ways.
const (
	Reachable   Reachability = iota
	Refusing                 // 503 for this node alone
	Partitioned              // no answer: the network keeps it from the store
)

// Link is the store as one process of a node reaches it, with the troubles that
// befall this process alone. What waits does so on the timers of package time,
// so that it serves in real time and in fake time.
type Link struct {
	*Store

	mu              sync.Mutex
	reachability    Reachability
	killed          bool
	delay           micro.Time
	lateCommitRatio float64                            // share of commits carried out late, and answered by nothing
	lostAnswerRatio float64                            // share of commits carried out at once, and answered by nothing
	onCommit        func(wire.Transaction) CommitFault // nil: nothing of note
	pausedUntil     time.Time
	writeLimiter    *rate.Limiter // what the process may change; nil: no limit
	writeRPS        float64       // of which its share is a part
	rng             *rand.Rand
	AnswerTimeout   micro.Time // how long a call without a deadline waits for an answer
}

// NewLink makes the link of a process.
func NewLink(s *Store, r *rand.Rand) *Link {
	return &Link{Store: s, rng: r, AnswerTimeout: micro.Second}
}

// SetReachability changes how the store meets the node.
func (l *Link) SetReachability(r Reachability) { l.mu.Lock(); l.reachability = r; l.mu.Unlock() }

// Kill ends the process: nothing that it still tries has an effect.
func (l *Link) Kill() { l.mu.Lock(); l.killed = true; l.mu.Unlock() }

// SetDelay makes every answer take so long.
func (l *Link) SetDelay(d micro.Time) { l.mu.Lock(); l.delay = d; l.mu.Unlock() }

// SetCommitFaultRatios has a share of the commits carried out 2 to 12 s late, and of another
// share only the answers lost.
func (l *Link) SetCommitFaultRatios(lateRatio, lostAnswerRatio float64) {
	l.mu.Lock()
	l.lateCommitRatio, l.lostAnswerRatio = lateRatio, lostAnswerRatio
	l.mu.Unlock()
}

// SetWriteBudget holds the process to its share of a rate of changes, as the real client
// does; until a share is set, it is that part.
func (l *Link) SetWriteBudget(writeRPS, share float64) {
	l.mu.Lock()
	l.writeRPS, l.writeLimiter = writeRPS, rate.NewLimiter(0, 0)
	l.mu.Unlock()
	l.SetBudgetFraction(share, share)
}

// SetBudgetFraction sets the part of the limits that the process may use.
func (l *Link) SetBudgetFraction(_, writes float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writeLimiter != nil {
		l.writeLimiter.SetLimit(rate.Limit(l.writeRPS * writes))
		l.writeLimiter.SetBurst(max(1, int(l.writeRPS*writes)))
	}
}

func (l *Link) currentLimiter() *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writeLimiter
}

// AvailableWrites is how many puts and deletes the budget allows now.
func (l *Link) AvailableWrites(class store.Class) int {
	if lim := l.currentLimiter(); lim != nil {
		return int(lim.Tokens() - max(class.ReservedFraction(), 0)*float64(lim.Burst()))
	}
	return l.Store.AvailableWrites(class)
}

// CommitFault is what befalls one commit.
type CommitFault struct {
	Refused      bool       // it is not carried out
	Unanswered   bool       // it is answered by nothing
	ExecuteAfter micro.Time // when one without an answer is carried out
}

// OnCommit lets a story say what befalls each commit; nil: nothing more.
func (l *Link) OnCommit(f func(wire.Transaction) CommitFault) {
	l.mu.Lock()
	l.onCommit = f
	l.mu.Unlock()
}

// PauseUntil keeps every call back until a time, as a process does that stands still
// just before it sends.
func (l *Link) PauseUntil(until time.Time) { l.mu.Lock(); l.pausedUntil = until; l.mu.Unlock() }

func (l *Link) conditions() (Reachability, bool, micro.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.delay
	if d > 0 {
		d = d/2 + micro.Time(l.rng.Int64N(int64(d)))
	}
	return l.reachability, l.killed, d
}

func (l *Link) occurs(ratio float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ratio > 0 && l.rng.Float64() < ratio
}

// waitUnanswered waits until the caller gives up.
func (l *Link) waitUnanswered(ctx context.Context) error {
	t := time.NewTimer(l.AnswerTimeout.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return store.ErrUncertain
}

// deliverRequest is the way of a request to the store.
func (l *Link) deliverRequest(ctx context.Context) error {
	for {
		l.mu.Lock()
		wait := time.Until(l.pausedUntil)
		l.mu.Unlock()
		if wait <= 0 {
			break
		}
		time.Sleep(wait)
	}
	reachability, killed, delay := l.conditions()
	if delay > 0 {
		time.Sleep((delay / 2).Duration())
	}
	switch {
	case killed || reachability == Partitioned:
		return l.waitUnanswered(ctx)
	case reachability == Refusing:
		return store.ErrRefused
	}
	return nil
}

// deliverResponse is the way back of its answer; the error says that it got lost.
func (l *Link) deliverResponse(ctx context.Context) error {
	reachability, killed, delay := l.conditions()
	if delay > 0 {
		timer := time.NewTimer((delay / 2).Duration())
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return store.ErrUncertain
		case <-timer.C:
		}
	}
	if killed || reachability == Partitioned {
		return l.waitUnanswered(ctx)
	}
	return nil
}

// Get reads a key.
func (l *Link) Get(ctx context.Context, class store.Class, key string) (wire.Item, error) {
	if err := l.deliverRequest(ctx); err != nil {
		return wire.Item{}, err
	}
	item, err := l.Store.Get(ctx, class, key)
	if lostErr := l.deliverResponse(ctx); lostErr != nil {
		return wire.Item{}, lostErr
	}
	return item, err
}

// Range reads keys in order.
func (l *Link) Range(ctx context.Context, class store.Class, prefix, after string, limit int) (wire.Page, error) {
	if err := l.deliverRequest(ctx); err != nil {
		return wire.Page{}, err
	}
	page, err := l.Store.Range(ctx, class, prefix, after, limit)
	if lostErr := l.deliverResponse(ctx); lostErr != nil {
		return wire.Page{}, lostErr
	}
	return page, err
}

// ExistingKeys says which keys there are.
func (l *Link) ExistingKeys(ctx context.Context, class store.Class, keys []string) (map[string]bool, error) {
	if err := l.deliverRequest(ctx); err != nil {
		return nil, err
	}
	m, err := l.Store.ExistingKeys(ctx, class, keys)
	if lost := l.deliverResponse(ctx); lost != nil {
		return nil, lost
	}
	return m, err
}

// Commit runs a transaction, or has it run late.
func (l *Link) Commit(ctx context.Context, class store.Class, txn wire.Transaction) (uint64, error) {
	if limiter := l.currentLimiter(); limiter != nil && !store.Admit(limiter, class, len(txn.Then)) {
		return 0, store.ErrBudgetExhausted
	}
	if err := l.deliverRequest(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	lateRatio, lostAnswerRatio, onCommit := l.lateCommitRatio, l.lostAnswerRatio, l.onCommit
	l.mu.Unlock()
	var fault CommitFault
	if onCommit != nil {
		fault = onCommit(txn)
	}
	switch {
	case fault.Refused:
		return 0, store.ErrRefused
	case fault.Unanswered && fault.ExecuteAfter > 0:
		l.commitLater(ctx, fault.ExecuteAfter.Duration(), class, txn)
		return 0, l.waitUnanswered(ctx)
	case fault.Unanswered:
		_, _ = l.Store.Commit(ctx, class, txn)
		return 0, l.waitUnanswered(ctx)
	}
	if l.occurs(lateRatio) {
		l.mu.Lock()
		after := 2*time.Second + time.Duration(l.rng.Int64N(int64(10*time.Second)))
		l.mu.Unlock()
		l.commitLater(ctx, after, class, txn)
		return 0, l.waitUnanswered(ctx)
	}
	revision, err := l.Store.Commit(ctx, class, txn)
	if l.occurs(lostAnswerRatio) {
		return 0, l.waitUnanswered(ctx)
	}
	if lostErr := l.deliverResponse(ctx); lostErr != nil {
		return 0, lostErr
	}
	return revision, err
}

// commitLater carries a transaction out after a while, whatever became of its caller.
func (l *Link) commitLater(ctx context.Context, after time.Duration, class store.Class, txn wire.Transaction) {
	ctx = context.WithoutCancel(ctx)
	time.AfterFunc(after, func() { _, _ = l.Store.Commit(ctx, class, txn) })
}

// Grant makes a lease.
func (l *Link) Grant(ctx context.Context, ttl micro.Time) (uint64, error) {
	if err := l.deliverRequest(ctx); err != nil {
		return 0, err
	}
	id, err := l.Store.Grant(ctx, ttl)
	if lostErr := l.deliverResponse(ctx); lostErr != nil {
		return 0, lostErr
	}
	return id, err
}

// Renew extends a lease.
func (l *Link) Renew(ctx context.Context, id uint64) error {
	if err := l.deliverRequest(ctx); err != nil {
		return err
	}
	err := l.Store.Renew(ctx, id)
	if lostErr := l.deliverResponse(ctx); lostErr != nil {
		return lostErr
	}
	return err
}

// Revoke ends a lease.
func (l *Link) Revoke(ctx context.Context, id uint64) error {
	if err := l.deliverRequest(ctx); err != nil {
		return err
	}
	err := l.Store.Revoke(ctx, id)
	if lostErr := l.deliverResponse(ctx); lostErr != nil {
		return lostErr
	}
	return err
}

// Watch waits for changes. One that is open when the store begins to refuse the
// node waits on, as in an outage.
func (l *Link) Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error) {
	if err := l.deliverRequest(ctx); err != nil {
		return wire.Events{}, err
	}
	deadline := time.Now().Add(wait.Duration())
	events, err := l.Store.Watch(ctx, prefix, after, wait)
	for {
		reachability, killed, _ := l.conditions()
		if !killed && reachability == Reachable {
			return events, err
		}
		if killed || reachability == Partitioned {
			return wire.Events{}, l.waitUnanswered(ctx)
		}
		if !time.Now().Before(deadline) {
			return wire.Events{}, store.ErrRefused
		}
		timer := time.NewTimer(100 * time.Millisecond)
		select {
		case <-ctx.Done():
			timer.Stop()
			return wire.Events{}, store.ErrUncertain
		case <-timer.C:
		}
	}
}
