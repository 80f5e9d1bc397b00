package shard_test

import (
	"slices"
	"testing"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

var (
	ownerController  = shard.Controller{Node: "n-1", SessionVersion: 5}
	targetController = shard.Controller{Node: "n-2", SessionVersion: 7}
)

// newOwnedEntry is the record of a shard that n-1 owns, or is to transfer.
func newOwnedEntry(t *testing.T, version uint64, moving bool) shard.Entry {
	t.Helper()
	r := shard.Record{State: shard.Owned, Owner: ownerController, Selector: shard.Selector{Zone: "a"}, OwnerChanges: 1}
	if moving {
		var err error
		if r, err = r.Move(targetController, 1); err != nil {
			t.Fatal(err)
		}
	}
	return shard.Entry{Name: "gpus", Version: version, Record: r}
}

// newTestOwner is the owner of that shard.
func newTestOwner(t *testing.T, moving bool) *shard.Owner {
	t.Helper()
	return shard.NewOwner(
		newOwnedEntry(t, 9, moving), election.NewTermForKey(shard.SessionKey("n-1"), 5, micro.Minute), ownerController,
		func(string, ...any) {},
	)
}

var (
	ownerSessionPrecondition  = wire.Precondition{Key: "owner/n-1", Version: 5}
	targetSessionPrecondition = wire.Precondition{Key: "owner/n-2", Version: 7}
	recordPrecondition        = wire.Precondition{Key: "share/gpus", Version: 9}
)

// Every transaction of an owner fails once its session, or the shard's record, is
// another; a transfer also once its target's session is.
func TestOwnerTransactionsCarryTheSessionsAndTheRecordVersion(t *testing.T) {
	sorted := func(guards []wire.Precondition) []wire.Precondition {
		return slices.SortedFunc(slices.Values(guards), func(a, b wire.Precondition) int {
			if a.Key < b.Key {
				return -1
			}
			return 1
		})
	}
	acting, moving := newTestOwner(t, false), newTestOwner(t, true)
	handOver, ok := moving.BeginTransfer(2)
	if !ok {
		t.Fatal("does not hand over")
	}
	moving.HandleTransferResult(store.ErrUncertain)
	renew, ok := moving.ResolveUncertain(3)
	if !ok {
		t.Fatal("does not resolve its doubt")
	}
	take, err := newOwnedEntry(
		t,
		9,
		false,
	).Reassign(targetController, shard.Sessions{"n-2": 7}, 4, wire.Precondition{Key: "leader", Version: 3})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name      string
		got, want []wire.Precondition
	}{
		{"taken from an owner that is gone", take.If, []wire.Precondition{
			{Key: "leader", Version: 3},
			{Key: "owner/n-1"},
			targetSessionPrecondition, recordPrecondition,
		}},
		{"writes", acting.Preconditions(), []wire.Precondition{ownerSessionPrecondition, recordPrecondition}},
		{"hand-over", handOver.If, []wire.Precondition{ownerSessionPrecondition, targetSessionPrecondition, recordPrecondition}},
		{"renewal of the record", renew.If, []wire.Precondition{ownerSessionPrecondition, recordPrecondition}},
	} {
		if got := sorted(c.got); !slices.Equal(got, sorted(c.want)) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// What an owner may do in each state, and with its session's right lapsed.
func TestOwnerRespondsAndAllocatesOnlyWhileItSurelyOwnsTheShard(t *testing.T) {
	other := ownerController
	other.SessionVersion = 6
	taken := newOwnedEntry(t, 10, false)
	taken.Record.Owner = other
	older := newOwnedEntry(t, 8, true)
	for _, c := range []struct {
		name           string
		moving         bool
		then           func(owner *shard.Owner)
		speaks, places bool
	}{
		{"acting", false, func(*shard.Owner) {}, true, true},
		{"settling", true, func(*shard.Owner) {}, true, false},
		{"handing over", true, func(owner *shard.Owner) { owner.BeginTransfer(2) }, false, false},
		{
			"in doubt", true,
			func(owner *shard.Owner) { owner.BeginTransfer(2); owner.HandleTransferResult(store.ErrUncertain) }, false, false,
		},
		{"in doubt, the renewal has no answer", true, func(owner *shard.Owner) {
			owner.BeginTransfer(2)
			owner.HandleTransferResult(store.ErrUncertain)
			owner.HandleResolveResult(12, store.ErrUncertain)
		}, false, false},
		{"in doubt, the record is renewed", true, func(owner *shard.Owner) {
			owner.BeginTransfer(2)
			owner.HandleTransferResult(store.ErrUncertain)
			owner.HandleResolveResult(12, nil)
		}, true, false},
		{
			"refused", true, func(owner *shard.Owner) { owner.BeginTransfer(2); owner.HandleTransferResult(store.ErrRefused) },
			true, false,
		},
		{
			"handed over", true, func(owner *shard.Owner) { owner.BeginTransfer(2); owner.HandleTransferResult(nil) }, false,
			false,
		},
		{
			"the record names another incarnation of the same controller", false,
			func(owner *shard.Owner) { owner.Observe(taken) }, false, false,
		},
		{"the record is gone", false, func(owner *shard.Owner) { owner.HandleRecordDeleted() }, false, false},
		{"an older record is read late", false, func(owner *shard.Owner) { owner.Observe(older) }, true, true},
	} {
		owner := newTestOwner(t, c.moving)
		c.then(owner)
		if owner.MayRespond() != c.speaks || owner.MayServe(0) != c.speaks || owner.MayAllocate() != c.places {
			t.Errorf(
				"%s: speaks %v, may answer %v, places %v",
				c.name,
				owner.MayRespond(),
				owner.MayServe(0),
				owner.MayAllocate(),
			)
		}
		if owner.MayServe(micro.Minute) {
			t.Errorf("%s: may answer though its session's right has lapsed", c.name)
		}
		if owner.FirstFencingToken()>>24 != 9 {
			t.Errorf("%s: tokens begin at %x: only a change of owner raises them", c.name, owner.FirstFencingToken())
		}
	}
}
