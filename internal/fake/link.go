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

// Reachability is how the store responds to one node.
type Reachability uint8

// Values of Reachability.
const (
	Reachable   Reachability = iota
	Refusing                 // the store refuses only this node (503)
	Partitioned              // no response: a network partition separates the node from the store
)

// Link is the connection of one process to the store, with faults that affect only this process.
// All waits use the timers of package time, so that a Link works in real time and in fake time.
type Link struct {
	*Store

	mu              sync.Mutex
	reachability    Reachability
	killed          bool
	delay           micro.Time
	lateCommitRatio float64                            // fraction of commits executed late, without a response
	lostAnswerRatio float64                            // fraction of commits executed at once, without a response
	onCommit        func(wire.Transaction) CommitFault // returns the fault of a commit; nil: no faults
	pausedUntil     time.Time
	writeLimiter    *rate.Limiter // limits the puts and deletes of the process; nil: no limit
	writeRPS        float64       // total write rate, of which the process may use a fraction
	rng             *rand.Rand
	AnswerTimeout   micro.Time // how long a call without a response waits before it returns store.ErrUncertain
}

// NewLink returns the link of a process to the store.
func NewLink(s *Store, r *rand.Rand) *Link {
	return &Link{Store: s, rng: r, AnswerTimeout: micro.Second}
}

// SetReachability changes how the store responds to the node.
func (l *Link) SetReachability(r Reachability) { l.mu.Lock(); l.reachability = r; l.mu.Unlock() }

// Kill simulates the end of the process: its later calls have no effect.
func (l *Link) Kill() { l.mu.Lock(); l.killed = true; l.mu.Unlock() }

// SetDelay sets the mean delay of a call. The request and the response are each delayed by half of a value that is
// drawn from [d/2, 3d/2).
func (l *Link) SetDelay(d micro.Time) { l.mu.Lock(); l.delay = d; l.mu.Unlock() }

// SetCommitFaultRatios sets the fraction of commits that are executed 2 to 12 s late, without a response, and
// the fraction of commits of which only the response is lost.
func (l *Link) SetCommitFaultRatios(lateRatio, lostAnswerRatio float64) {
	l.mu.Lock()
	l.lateCommitRatio, l.lostAnswerRatio = lateRatio, lostAnswerRatio
	l.mu.Unlock()
}

// SetWriteBudget limits the writes of the process to a fraction of the write rate, as the real client does.
// SetBudgetFraction changes the fraction later.
func (l *Link) SetWriteBudget(writeRPS, share float64) {
	l.mu.Lock()
	l.writeRPS, l.writeLimiter = writeRPS, rate.NewLimiter(0, 0)
	l.mu.Unlock()
	l.SetBudgetFraction(share, share)
}

// SetBudgetFraction sets the fraction of the write rate that the process may use. The fraction of reads is ignored.
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

// AvailableWrites returns the number of puts and deletes that the budget currently allows for the class.
func (l *Link) AvailableWrites(class store.Class) int {
	if lim := l.currentLimiter(); lim != nil {
		return int(lim.Tokens() - max(class.ReservedFraction(), 0)*float64(lim.Burst()))
	}
	return l.Store.AvailableWrites(class)
}

// CommitFault is a fault of one commit. The zero value is no fault.
type CommitFault struct {
	Refused      bool       // the commit is refused and not executed
	Unanswered   bool       // the commit is executed without a response
	ExecuteAfter micro.Time // delay after which an unanswered commit is executed
}

// OnCommit sets a function that returns the fault of each commit; nil removes it.
func (l *Link) OnCommit(f func(wire.Transaction) CommitFault) {
	l.mu.Lock()
	l.onCommit = f
	l.mu.Unlock()
}

// PauseUntil delays every call until the given time, as a process pause does just before the process sends a
// request.
func (l *Link) PauseUntil(until time.Time) { l.mu.Lock(); l.pausedUntil = until; l.mu.Unlock() }

// conditions returns the current reachability, whether the process was killed, and a random delay of the next call.
func (l *Link) conditions() (Reachability, bool, micro.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.delay
	if d > 0 {
		d = d/2 + micro.Time(l.rng.Int64N(int64(d)))
	}
	return l.reachability, l.killed, d
}

// occurs returns true with the given probability.
func (l *Link) occurs(ratio float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ratio > 0 && l.rng.Float64() < ratio
}

// waitUnanswered waits until the context ends, or for AnswerTimeout at most, and returns store.ErrUncertain.
func (l *Link) waitUnanswered(ctx context.Context) error {
	t := time.NewTimer(l.AnswerTimeout.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return store.ErrUncertain
}

// deliverRequest simulates the transmission of a request to the store. An error means that the store does not
// execute the request.
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

// deliverResponse simulates the transmission of the response. An error means that the response is lost.
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

// Range reads a page of keys in order.
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

// ExistingKeys reports for each of the keys whether it exists.
func (l *Link) ExistingKeys(ctx context.Context, class store.Class, keys []string) (map[string]bool, error) {
	if err := l.deliverRequest(ctx); err != nil {
		return nil, err
	}
	existing, err := l.Store.ExistingKeys(ctx, class, keys)
	if lostErr := l.deliverResponse(ctx); lostErr != nil {
		return nil, lostErr
	}
	return existing, err
}

// Commit executes a transaction, subject to the faults that are set.
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

// commitLater executes a transaction after a delay, also if the caller's context has ended by then.
func (l *Link) commitLater(ctx context.Context, after time.Duration, class store.Class, txn wire.Transaction) {
	ctx = context.WithoutCancel(ctx)
	time.AfterFunc(after, func() { _, _ = l.Store.Commit(ctx, class, txn) })
}

// Grant creates a lease.
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

// Renew extends a lease by its full TTL.
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

// Revoke ends a lease and deletes its keys.
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

// Watch waits for changes. A watch that is open when the store starts to refuse the node continues to wait, as in
// an outage.
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
