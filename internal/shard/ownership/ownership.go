// Package ownership is a controller's part in shards as an owner: it holds the controller's
// session, follows the shard table, and starts and stops the loops of the shards that the
// table says are this controller's.
//
// Owners guards its state by a lock: any goroutine may call it.
package ownership

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Owner is the loop of one shard. Any goroutine may call it.
type Owner interface {
	// Observe hands the loop what the shard's record says now; it does not exist if the record
	// is gone.
	Observe(entry shard.Entry, exists bool)
	// Stop ends the loop for good.
	Stop()
	// Stopped reports whether the loop was stopped; it may end by itself.
	Stopped() bool
}

// Host is what Owners needs of the controller. Any goroutine may be the caller.
type Host[O Owner] interface {
	// Ready reports whether the machine types are known. Without them no agent of a shard
	// could be answered.
	Ready() bool
	// StartOwner starts the loop of a shard that this incarnation owns, until the context ends.
	StartOwner(ctx context.Context, entry shard.Entry, session *election.Term, self shard.Controller) O
	// TableChanged is told that the shard table has changed.
	TableChanged()
}

// Config is how a controller takes part.
type Config struct {
	Node          string     // its name
	SessionTTL    micro.Time // how long the session lives without a renewal
	RenewInterval micro.Time // how often it is renewed
}

// Dependencies are what Owners works with.
type Dependencies[O Owner] struct {
	Host  Host[O]
	Store store.Store
	Now   func() micro.Time // the steady clock
	Log   *slog.Logger
}

// Owners are the loops of the shards that one controller owns.
type Owners[O Owner] struct {
	node    string
	host    Host[O]
	table   *shard.Watcher
	session *election.Election
	term    atomic.Pointer[election.Term] // of the session; nil: none

	mu     sync.Mutex
	ctx    context.Context // of Run; nil until it is called
	owners map[string]runningOwner[O]
}

// runningOwner is a loop that runs, and the term of the session under which it was started.
type runningOwner[O Owner] struct {
	owner O
	term  *election.Term
}

// New makes the part of a controller that owns no shard yet.
func New[O Owner](config Config, deps Dependencies[O]) *Owners[O] {
	owners := &Owners[O]{node: config.Node, host: deps.Host, owners: map[string]runningOwner[O]{}}
	owners.table = shard.NewWatcher(deps.Store, deps.Log, owners.tableChanged)
	features := []string{shard.HandoverFeature}
	announcement := wire.Change{
		Put: shard.AnnouncementKey(config.Node), Value: shard.Announcement{Features: features},
	}
	owners.session = &election.Election{
		Key: shard.SessionKey(config.Node), Node: config.Node, Nonce: rand.Text(), Store: deps.Store,
		TTL: config.SessionTTL, RenewInterval: config.RenewInterval, Features: features,
		WithKey: []wire.Change{announcement},
		Log:     deps.Log.With("session", config.Node), Now: deps.Now,
		OnStartedLeading: owners.sessionStarted, OnStoppedLeading: owners.sessionEnded,
	}
	return owners
}

// Table is the shard table.
func (o *Owners[O]) Table() *shard.Watcher { return o.table }

// Owner is the loop of a shard that this controller owns; false if it does not.
func (o *Owners[O]) Owner(name string) (O, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	running, ok := o.owners[name]
	return running.owner, ok
}

// Run holds the session and follows the table until the context ends.
func (o *Owners[O]) Run(ctx context.Context) error {
	o.start(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.holdSession(ctx) })
	group.Go(func() error { return o.table.Run(ctx) })
	group.Go(func() error {
		o.reconcilePeriodically(ctx)
		return nil
	})
	return group.Wait()
}

func (o *Owners[O]) start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
}

// holdSession holds the session once the machine types are known: without them a shard
// could be given to this controller, and nobody would answer its machines.
func (o *Owners[O]) holdSession(ctx context.Context) error {
	for !o.host.Ready() && ctx.Err() == nil {
		sleep(ctx, shard.ReadRetry)
	}
	return o.session.Run(ctx)
}

// reconcileInterval is how often the loops of shards are looked after.
const reconcileInterval = micro.Second

// reconcilePeriodically looks after the loops also when the table does not change: one may have
// ended by itself.
func (o *Owners[O]) reconcilePeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reconcileInterval)
		o.Reconcile()
	}
}

func (o *Owners[O]) sessionStarted(term *election.Term) {
	o.term.Store(term)
	o.Reconcile()
}

func (o *Owners[O]) sessionEnded(term *election.Term) {
	o.term.CompareAndSwap(term, nil)
	o.Reconcile()
}

// tableChanged tells all that go by the table.
func (o *Owners[O]) tableChanged() {
	o.Reconcile()
	o.host.TableChanged()
}

// Reconcile starts the loops of shards whose record names this incarnation, tells those that
// run of what the records say now, and stops those of an earlier session.
func (o *Owners[O]) Reconcile() {
	o.mu.Lock()
	defer o.mu.Unlock()
	term, table := o.term.Load(), o.table.Snapshot()
	for name, running := range o.owners {
		entry, ok := table.Get(name)
		if running.owner.Stopped() || running.term != term {
			running.owner.Stop()
			delete(o.owners, name)
			continue
		}
		running.owner.Observe(entry, ok)
	}
	if term == nil || o.ctx == nil || !o.host.Ready() {
		return
	}
	self := shard.Controller{Node: o.node, SessionVersion: wire.Count(term.FencingRevision)}
	table.Each(func(entry shard.Entry) bool {
		if _, runs := o.owners[entry.Name]; !runs && entry.HasOwner() && entry.Record.Owner == self {
			o.owners[entry.Name] = runningOwner[O]{o.host.StartOwner(o.ctx, entry, term, self), term}
		}
		return true
	})
}

func sleep(ctx context.Context, d micro.Time) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
