package shard_test

import (
	"errors"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// The write of an allocation that races with a move fails its preconditions: the record is not stored, and no start
// command is sent for it.
func TestWriteRacingWithAMoveFails(t *testing.T) {
	sim := newSimulation(t.Fatalf, func(options []string) string { return options[0] })
	controller := sim.controllers["n-0"]
	sim.refresh(controller)
	put := func(key string) error {
		_, err := sim.commit(
			wire.Transaction{
				If:   append(controller.owner.Preconditions(), wire.Precondition{Key: key}),
				Then: []wire.Change{{Put: key, Value: "i-1"}},
			},
		)
		return err
	}
	if err := put(shard.AllocationKey(shardName, "j-1", 0)); err != nil {
		t.Fatal(err)
	}
	sim.leaderAction("move", "n-1", "answered")
	if err := put(shard.AllocationKey(shardName, "j-2", 0)); !errors.Is(err, store.ErrConflict) {
		t.Errorf("write with the record's version from before the move: %v, want a conflict", err)
	}
	sim.refresh(controller)
	if controller.owner.MayAllocate() {
		t.Error("owner may allocate although the shard is to move")
	}
	if err := put(shard.AllocationKey(shardName, "j-2", 0)); err != nil {
		t.Errorf("write of the draining owner: %v", err)
	}
	sim.register("n-0")
	if err := put(shard.AllocationKey(shardName, "j-3", 0)); !errors.Is(err, store.ErrConflict) {
		t.Errorf("write of an incarnation whose session has ended: %v, want a conflict", err)
	}
}

func TestRecordStateTransitions(t *testing.T) {
	a, b := shard.Controller{Node: "a", SessionVersion: 1}, shard.Controller{Node: "b", SessionVersion: 2}
	formed := shard.NewRecord(shard.Selector{Zone: "z"}, nil, 0)
	owned, _ := formed.Grant(a, 1)
	moving, _ := owned.Move(b, 2)
	released, err := shard.Record{State: shard.Moving, Owner: a}.Transfer(3)
	if err != nil || released.State != shard.Released || released.Owner.Node != "" {
		t.Fatalf("transfer to the leader: record %+v, error %v", released, err)
	}
	after, err := moving.Transfer(3)
	if err != nil || after.Owner != b || after.OwnerChanges != 2 || after.State != shard.Owned {
		t.Fatalf("transfer to b: record %+v, error %v", after, err)
	}
	for name, refused := range map[string]struct {
		err  error
		want error
	}{
		"move to the owner":            {errorOf(owned.Move(a, 2)), shard.ErrSameOwner},
		"move of a moving shard":       {errorOf(moving.Move(a, 2)), shard.ErrAlreadyMoving},
		"move of a forming shard":      {errorOf(formed.Move(b, 2)), shard.ErrNotOwned},
		"move of a released shard":     {errorOf(released.Move(b, 2)), shard.ErrNotOwned},
		"cancel without a move":        {errorOf(owned.CancelMove(2)), shard.ErrNotMoving},
		"transfer without a move":      {errorOf(owned.Transfer(2)), shard.ErrNotMoving},
		"reassign of a released shard": {errorOf(released.Reassign(b, 2)), shard.ErrNotOwned},
		"grant of an owned shard":      {errorOf(owned.Grant(b, 2)), shard.ErrSameOwner},
	} {
		if !errors.Is(refused.err, refused.want) {
			t.Errorf("%s: error %v, want %v", name, refused.err, refused.want)
		}
	}
	cancelled, err := moving.CancelMove(4)
	if err != nil || cancelled.Owner != a || cancelled.OwnerChanges != owned.OwnerChanges {
		t.Errorf("cancelled move: record %+v, error %v", cancelled, err)
	}
}

func errorOf(_ shard.Record, err error) error { return err }

func TestSelectorsMatchAndOverlap(t *testing.T) {
	machine := shard.Attributes{Type: "t", Zone: "z", Spot: true}
	for _, c := range []struct {
		s       shard.Selector
		matches bool
	}{
		{shard.Selector{Type: "t"}, true},
		{shard.Selector{Type: "u"}, false},
		{shard.Selector{Zone: "z", Kind: shard.SpotOnly}, true},
		{shard.Selector{Kind: shard.OnDemandOnly}, false},
		{shard.Selector{Type: "t", Zone: "y"}, false},
	} {
		if c.s.Matches(machine) != c.matches {
			t.Errorf("selector %v matches: %v", c.s, !c.matches)
		}
	}
	for _, c := range []struct {
		a, b     shard.Selector
		overlaps bool
	}{
		{shard.Selector{Type: "t"}, shard.Selector{Zone: "z"}, true},
		{shard.Selector{Type: "t"}, shard.Selector{Type: "u"}, false},
		{shard.Selector{Type: "t", Kind: shard.SpotOnly}, shard.Selector{Type: "t", Kind: shard.OnDemandOnly}, false},
		{shard.Selector{Type: "t", Zone: "z"}, shard.Selector{Type: "t", Kind: shard.SpotOnly}, true},
	} {
		if c.a.Overlaps(c.b) != c.overlaps || c.b.Overlaps(c.a) != c.overlaps {
			t.Errorf("selectors %v and %v overlap: %v", c.a, c.b, !c.overlaps)
		}
	}
}

// A snapshot does not change when the table is written, and an older record never replaces a later one.
func TestTableSnapshotsAreConsistent(t *testing.T) {
	var table shard.Table
	newEntry := func(name string, version uint64) shard.Entry {
		return shard.Entry{Name: name, Version: version, Record: shard.Record{Selector: shard.Selector{Type: name}}}
	}
	table.Replace([]shard.Entry{newEntry("a", 1), newEntry("b", 2)})
	before := table.Snapshot()
	table.Put(newEntry("c", 5))
	table.Put(newEntry("a", 9))
	table.Put(newEntry("a", 4))
	table.Delete("b", 7)
	table.Delete("c", 3)
	names := func(s shard.Snapshot) string {
		var out []string
		s.Each(func(entry shard.Entry) bool { out = append(out, entry.Name); return true })
		return strings.Join(out, " ")
	}
	if names(before) != "a b" || names(table.Snapshot()) != "a c" {
		t.Errorf("snapshot before the writes: %s, after: %s", names(before), names(table.Snapshot()))
	}
	if entry, ok := table.Snapshot().Get("a"); !ok || entry.Version != 9 {
		t.Errorf("shard a has version %d, want 9", entry.Version)
	}
	if entry, ok := table.Snapshot().ShardOf(shard.Attributes{Type: "c"}); !ok || entry.Name != "c" {
		t.Errorf("shard of type c: %+v, %v", entry, ok)
	}
}

func TestKeysRoundTripAndInvalidNamesAreRejected(t *testing.T) {
	name, job, ok := shard.ParseAssignmentKey(shard.AssignmentKey("gpu-1", "j-12"))
	if !ok || name != "gpu-1" || job != "j-12" {
		t.Errorf("parsed assignment key: shard %s, job %s, %v", name, job, ok)
	}
	name, job, chunk, ok := shard.ParseAllocationKey(shard.AllocationKey("gpu-1", "j-12", 7))
	if !ok || name != "gpu-1" || job != "j-12" || chunk != 7 {
		t.Errorf("parsed allocation key: shard %s, job %s, chunk %d, %v", name, job, chunk, ok)
	}
	for _, bad := range []string{"", "Up", "a b", "a/b", strings.Repeat("x", 41)} {
		if shard.ValidName(bad) {
			t.Errorf("%q is accepted as a shard name", bad)
		}
	}
}
