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

// newOwnedEntry returns the record of a shard that n-1 owns; if moving is set, n-1 is to transfer it to n-2.
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

// newTestOwner returns the owner of the shard of newOwnedEntry at version 9.
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

// Every transaction of an owner must fail once its session or the shard's record has changed, and a transfer also once
// the session of its target has changed.
func TestOwnerTransactionsRequireSessionsAndRecordVersion(t *testing.T) {
	sorted := func(preconditions []wire.Precondition) []wire.Precondition {
		return slices.SortedFunc(slices.Values(preconditions), func(a, b wire.Precondition) int {
			if a.Key < b.Key {
				return -1
			}
			return 1
		})
	}
	active, moving := newTestOwner(t, false), newTestOwner(t, true)
	transfer, ok := moving.BeginTransfer(2)
	if !ok {
		t.Fatal("draining owner does not begin the transfer")
	}
	moving.HandleTransferResult(store.ErrUncertain)
	rewrite, ok := moving.ResolveUncertain(3)
	if !ok {
		t.Fatal("owner does not resolve the uncertain transfer")
	}
	reassign, err := newOwnedEntry(
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
		{"reassignment by the leader", reassign.If, []wire.Precondition{
			{Key: "leader", Version: 3},
			{Key: "owner/n-1"},
			targetSessionPrecondition, recordPrecondition,
		}},
		{"write of an active owner", active.Preconditions(), []wire.Precondition{
			ownerSessionPrecondition, recordPrecondition,
		}},
		{"transfer", transfer.If, []wire.Precondition{
			ownerSessionPrecondition, targetSessionPrecondition, recordPrecondition,
		}},
		{"rewrite of the record", rewrite.If, []wire.Precondition{ownerSessionPrecondition, recordPrecondition}},
	} {
		if got := sorted(c.got); !slices.Equal(got, sorted(c.want)) {
			t.Errorf("preconditions of %s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Checks what an owner may do in each state while the lease of its session holds, and that it may answer nobody once
// the lease has expired.
func TestOwnerRespondsAndAllocatesOnlyWhileOwnershipIsCertain(t *testing.T) {
	otherIncarnation := ownerController
	otherIncarnation.SessionVersion = 6
	reassigned := newOwnedEntry(t, 10, false)
	reassigned.Record.Owner = otherIncarnation
	older := newOwnedEntry(t, 8, true)
	for _, c := range []struct {
		name                string
		moving              bool
		then                func(owner *shard.Owner)
		responds, allocates bool
	}{
		{"active", false, func(*shard.Owner) {}, true, true},
		{"draining", true, func(*shard.Owner) {}, true, false},
		{"transferring", true, func(owner *shard.Owner) { owner.BeginTransfer(2) }, false, false},
		{
			"transfer uncertain", true,
			func(owner *shard.Owner) { owner.BeginTransfer(2); owner.HandleTransferResult(store.ErrUncertain) }, false, false,
		},
		{"transfer uncertain, rewrite of the record uncertain", true, func(owner *shard.Owner) {
			owner.BeginTransfer(2)
			owner.HandleTransferResult(store.ErrUncertain)
			owner.HandleResolveResult(12, store.ErrUncertain)
		}, false, false},
		{"transfer uncertain, record rewritten", true, func(owner *shard.Owner) {
			owner.BeginTransfer(2)
			owner.HandleTransferResult(store.ErrUncertain)
			owner.HandleResolveResult(12, nil)
		}, true, false},
		{
			"transfer refused", true,
			func(owner *shard.Owner) { owner.BeginTransfer(2); owner.HandleTransferResult(store.ErrRefused) }, true, false,
		},
		{
			"transferred", true, func(owner *shard.Owner) { owner.BeginTransfer(2); owner.HandleTransferResult(nil) }, false,
			false,
		},
		{
			"record names another incarnation of the same controller", false,
			func(owner *shard.Owner) { owner.Observe(reassigned) }, false, false,
		},
		{"record deleted", false, func(owner *shard.Owner) { owner.HandleRecordDeleted() }, false, false},
		{"older record read late", false, func(owner *shard.Owner) { owner.Observe(older) }, true, true},
	} {
		owner := newTestOwner(t, c.moving)
		c.then(owner)
		if owner.MayRespond() != c.responds || owner.MayServe(0) != c.responds || owner.MayAllocate() != c.allocates {
			t.Errorf(
				"%s: MayRespond %v, MayServe %v, MayAllocate %v",
				c.name,
				owner.MayRespond(),
				owner.MayServe(0),
				owner.MayAllocate(),
			)
		}
		if owner.MayServe(micro.Minute) {
			t.Errorf("%s: owner may serve although the lease of its session has expired", c.name)
		}
		if owner.FirstFencingToken()>>24 != 9 {
			t.Errorf("%s: first token %x, want revision 9: only a change of owner raises it", c.name, owner.FirstFencingToken())
		}
	}
}
