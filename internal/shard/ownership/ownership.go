// Package ownership manages the shards that a controller owns: it holds the controller's session, watches the shard
// table, and starts and stops an owner loop for each shard whose record names this controller.
//
// Owners guards its state with a lock: any goroutine may call its methods.
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

// Owner is the owner loop of one shard. Any goroutine may call its methods.
type Owner interface {
	// Observe passes the shard's current record to the loop; exists is false if the record is deleted.
	Observe(entry shard.Entry, exists bool)
	// Stop stops the loop permanently.
	Stop()
	// Stopped reports whether the loop has stopped. It may also stop by itself.
	Stopped() bool
}

// Host is what Owners needs of the controller. Its methods are called from any goroutine.
type Host[O Owner] interface {
	// Ready reports whether the machine types are known. Without them the agents of a shard could not be answered.
	Ready() bool
	// StartOwner starts the loop of a shard that the incarnation self owns, to run until the context ends.
	StartOwner(ctx context.Context, entry shard.Entry, session *election.Term, self shard.Controller) O
	// TableChanged is called when the shard table has changed.
	TableChanged()
}

// Config configures the ownership of shards by one controller.
type Config struct {
	Node          string     // the controller's name
	SessionTTL    micro.Time // how long the session lasts without a renewal
	RenewInterval micro.Time // interval at which the session is renewed
}

// Dependencies are the collaborators of Owners.
type Dependencies[O Owner] struct {
	Host  Host[O]
	Store store.Store
	Now   func() micro.Time // monotonic clock
	Log   *slog.Logger
}

// Owners holds the owner loops of the shards that one controller owns.
type Owners[O Owner] struct {
	node    string
	host    Host[O]
	table   *shard.Watcher
	session *election.Election
	term    atomic.Pointer[election.Term] // term of the session; nil: there is no session

	mu     sync.Mutex
	ctx    context.Context // context of Run; nil until Run is called
	owners map[string]runningOwner[O]
}

// runningOwner is a running loop, with the term of the session under which it was started.
type runningOwner[O Owner] struct {
	owner O
	term  *election.Term
}

// New returns the Owners of a controller that owns no shard yet.
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
		AcquisitionChanges: []wire.Change{announcement},
		Log:                deps.Log.With("session", config.Node), Now: deps.Now,
		OnStartedLeading: owners.sessionStarted, OnStoppedLeading: owners.sessionEnded,
	}
	return owners
}

// Table returns the watcher of the shard table.
func (o *Owners[O]) Table() *shard.Watcher { return o.table }

// Owner returns the loop of a shard; false: no loop of the shard runs here.
func (o *Owners[O]) Owner(name string) (O, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	running, ok := o.owners[name]
	return running.owner, ok
}

// Run holds the session, watches the table and reconciles the loops with it until the context ends.
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

// holdSession holds the session once the machine types are known: without them, a shard could be given to this
// controller while nobody answers its machines.
func (o *Owners[O]) holdSession(ctx context.Context) error {
	for !o.host.Ready() && ctx.Err() == nil {
		sleep(ctx, shard.ReadRetry)
	}
	return o.session.Run(ctx)
}

// reconcileInterval is the interval at which the loops are reconciled with the table.
const reconcileInterval = micro.Second

// reconcilePeriodically reconciles the loops even if the table does not change: a loop may have stopped by itself.
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

// tableChanged applies a change of the table to the loops, and notifies the host.
func (o *Owners[O]) tableChanged() {
	o.Reconcile()
	o.host.TableChanged()
}

// Reconcile starts the loops of shards whose records name this incarnation, passes the current records to the loops
// that run, and stops and removes the loops of an earlier session.
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
