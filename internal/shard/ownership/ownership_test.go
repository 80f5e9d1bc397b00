package ownership_test

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/shard/ownership"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// fakeOwner is an owner loop that records the calls of its methods.
type fakeOwner struct {
	self          shard.Controller
	session       *election.Term
	stopped       atomic.Bool
	recordDeleted atomic.Bool // the record did not exist at the last call of Observe
}

func (o *fakeOwner) Observe(_ shard.Entry, exists bool) { o.recordDeleted.Store(!exists) }
func (o *fakeOwner) Stop()                              { o.stopped.Store(true) }
func (o *fakeOwner) Stopped() bool                      { return o.stopped.Load() }

// fakeHost is a controller that counts the loops that it starts and the changes of the table.
type fakeHost struct {
	ready   atomic.Bool
	started atomic.Int32
	changes atomic.Int32
}

func (h *fakeHost) Ready() bool   { return h.ready.Load() }
func (h *fakeHost) TableChanged() { h.changes.Add(1) }

func (h *fakeHost) StartOwner(
	_ context.Context, _ shard.Entry, session *election.Term, self shard.Controller,
) *fakeOwner {
	h.started.Add(1)
	return &fakeOwner{self: self, session: session}
}

// testOwners are the Owners of controller n-1, with their host and store.
type testOwners struct {
	*ownership.Owners[*fakeOwner]
	t     *testing.T
	host  *fakeHost
	store *fake.Store
}

// runOwners runs the Owners of n-1 until the test ends.
func runOwners(t *testing.T) *testOwners {
	t.Helper()
	test := &testOwners{t: t, host: &fakeHost{}, store: fake.NewStore()}
	test.Owners = ownership.New(
		ownership.Config{Node: "n-1", SessionTTL: 2 * micro.Second, RenewInterval: 200 * micro.Millisecond},
		ownership.Dependencies[*fakeOwner]{
			Host: test.host, Store: test.store, Now: micro.Now, Log: slog.New(slog.DiscardHandler),
		},
	)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- test.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return test
}

func (test *testOwners) waitUntil(what string, condition func() bool) {
	test.t.Helper()
	for until := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			test.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// session waits for the session of n-1, and returns its incarnation.
func (test *testOwners) session() shard.Controller {
	test.t.Helper()
	var item wire.Item
	test.waitUntil("session of n-1", func() (ok bool) {
		var err error
		item, err = test.store.Get(test.t.Context(), store.Routine, shard.SessionKey("n-1"))
		return err == nil
	})
	return shard.Controller{Node: "n-1", SessionVersion: item.Version}
}

func (test *testOwners) commit(change wire.Change) {
	test.t.Helper()
	transaction := wire.Transaction{Then: []wire.Change{change}}
	if _, err := test.store.Commit(test.t.Context(), store.Routine, transaction); err != nil {
		test.t.Fatal(err)
	}
}

func (test *testOwners) assignShardTo(owner shard.Controller) {
	test.t.Helper()
	record := shard.NewRecord(shard.Selector{Zone: "b"}, nil, 0)
	record.State, record.Owner = shard.Owned, owner
	test.commit(wire.Change{Put: shard.RecordKey("east"), Value: record})
}

func (test *testOwners) waitOwned() *fakeOwner {
	test.t.Helper()
	var owner *fakeOwner
	test.waitUntil("running loop of the shard", func() (ok bool) {
		owner, ok = test.Owner("east")
		return ok && !owner.Stopped()
	})
	return owner
}

// With a session but without the machine types, a controller could be given a shard none of whose machines it answers.
func TestSessionStartsOnlyOnceMachineTypesAreKnown(t *testing.T) {
	test := runOwners(t)
	test.waitUntil("first read of the table", test.Table().HasRead)
	time.Sleep(2 * shard.ReadRetry.Duration())
	if _, err := test.store.Get(t.Context(), store.Routine, shard.SessionKey("n-1")); err == nil {
		t.Error("the controller has a session although the machine types are not known")
	}
	test.host.ready.Store(true)
	test.session()
}

// Only a record that names this incarnation starts a loop, and the loop observes that the record is deleted.
func TestOwnerLoopFollowsShardRecord(t *testing.T) {
	test := runOwners(t)
	test.host.ready.Store(true)
	self := test.session()
	test.assignShardTo(shard.Controller{Node: "n-1", SessionVersion: self.SessionVersion + 1})
	test.waitUntil("record in the table", func() bool { return test.Table().Snapshot().Len() == 1 })
	if _, ok := test.Owner("east"); ok {
		t.Error("the loop of another incarnation's shard runs")
	}
	test.assignShardTo(self)
	owner := test.waitOwned()
	if owner.self != self || test.host.started.Load() != 1 || test.host.changes.Load() == 0 {
		t.Errorf("%d loops were started, the last one for %v", test.host.started.Load(), owner.self)
	}
	test.commit(wire.Change{Delete: shard.RecordKey("east")})
	test.waitUntil("the loop observes that the record is deleted", owner.recordDeleted.Load)
}

// A loop that stops by itself, for example after a gap in the store's history, must be started again.
func TestOwnerLoopThatStoppedByItselfIsRestarted(t *testing.T) {
	test := runOwners(t)
	test.host.ready.Store(true)
	test.assignShardTo(test.session())
	first := test.waitOwned()
	first.Stop()
	if second := test.waitOwned(); second == first || test.host.started.Load() != 2 {
		t.Errorf("%d loops were started, want a second one", test.host.started.Load())
	}
}

func TestOwnerLoopsStopWhenSessionEnds(t *testing.T) {
	test := runOwners(t)
	test.host.ready.Store(true)
	test.assignShardTo(test.session())
	owner := test.waitOwned()
	if err := test.store.Revoke(t.Context(), owner.session.Lease); err != nil {
		t.Fatal(err)
	}
	test.waitUntil("the loop of the ended session stops", owner.Stopped)
	if _, ok := test.Owner("east"); ok {
		t.Error("the shard is still owned after the session ended")
	}
}
