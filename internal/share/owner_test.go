package share_test

import (
	"errors"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// A placement that races with a move fails its conditions: its record is not stored, and
// no start goes out for it.
func TestWriteRacingWithAMoveFails(t *testing.T) {
	sim := newSimulation(t.Fatalf, func(options []string) string { return options[0] })
	controller := sim.controllers["n-0"]
	sim.refresh(controller)
	put := func(key string) error {
		_, err := sim.commit(wire.Transaction{If: append(controller.owner.Preconditions(), wire.Precondition{Key: key}), Then: []wire.Change{{Put: key, Value: "i-1"}}})
		return err
	}
	if err := put(share.AllocationKey(shardName, "j-1", 0)); err != nil {
		t.Fatal(err)
	}
	sim.leaderAction("move", "n-1", "answered")
	if err := put(share.AllocationKey(shardName, "j-2", 0)); !errors.Is(err, store.ErrConflict) {
		t.Errorf("a write under the record before the move: %v", err)
	}
	sim.refresh(controller)
	if controller.owner.MayAllocate() {
		t.Error("it places, though the share is to move")
	}
	if err := put(share.AllocationKey(shardName, "j-2", 0)); err != nil {
		t.Errorf("the owner settles what it wrote: %v", err)
	}
	sim.register("n-0")
	if err := put(share.AllocationKey(shardName, "j-3", 0)); !errors.Is(err, store.ErrConflict) {
		t.Errorf("a write of an incarnation that is over: %v", err)
	}
}

func TestRecordStateTransitions(t *testing.T) {
	a, b := share.Controller{Node: "a", SessionVersion: 1}, share.Controller{Node: "b", SessionVersion: 2}
	formed := share.NewRecord(share.Selector{Zone: "z"}, nil, 0)
	owned, _ := formed.Grant(a, 1)
	moving, _ := owned.Move(b, 2)
	released, err := share.Record{State: share.Moving, Owner: a}.Transfer(3)
	if err != nil || released.State != share.Released || released.Owner.Node != "" {
		t.Fatalf("%+v, %v", released, err)
	}
	after, err := moving.Transfer(3)
	if err != nil || after.Owner != b || after.OwnerChanges != 2 || after.State != share.Owned {
		t.Fatalf("%+v, %v", after, err)
	}
	for name, refused := range map[string]struct {
		err  error
		want error
	}{
		"move to the owner":         {errorOf(owned.Move(a, 2)), share.ErrSameOwner},
		"move of a moving one":      {errorOf(moving.Move(a, 2)), share.ErrAlreadyMoving},
		"move of one being formed":  {errorOf(formed.Move(b, 2)), share.ErrNotOwned},
		"move of a released one":    {errorOf(released.Move(b, 2)), share.ErrNotOwned},
		"cancel without a move":     {errorOf(owned.CancelMove(2)), share.ErrNotMoving},
		"hand over without a move":  {errorOf(owned.Transfer(2)), share.ErrNotMoving},
		"reassign a released one":   {errorOf(released.Reassign(b, 2)), share.ErrNotOwned},
		"grant one that is granted": {errorOf(owned.Grant(b, 2)), share.ErrSameOwner},
	} {
		if !errors.Is(refused.err, refused.want) {
			t.Errorf("%s: %v, want %v", name, refused.err, refused.want)
		}
	}
	cancelled, err := moving.CancelMove(4)
	if err != nil || cancelled.Owner != a || cancelled.OwnerChanges != owned.OwnerChanges {
		t.Errorf("%+v, %v", cancelled, err)
	}
}

func errorOf(_ share.Record, err error) error { return err }

func TestSelectors(t *testing.T) {
	machine := share.Attributes{Type: "t", Zone: "z", Spot: true}
	for _, c := range []struct {
		s       share.Selector
		matches bool
	}{
		{share.Selector{Type: "t"}, true}, {share.Selector{Type: "u"}, false}, {share.Selector{Zone: "z", Kind: share.SpotOnly}, true},
		{share.Selector{Kind: share.OnDemandOnly}, false}, {share.Selector{Type: "t", Zone: "y"}, false},
	} {
		if c.s.Matches(machine) != c.matches {
			t.Errorf("%v matches: %v", c.s, !c.matches)
		}
	}
	for _, c := range []struct {
		a, b     share.Selector
		overlaps bool
	}{
		{share.Selector{Type: "t"}, share.Selector{Zone: "z"}, true},
		{share.Selector{Type: "t"}, share.Selector{Type: "u"}, false},
		{share.Selector{Type: "t", Kind: share.SpotOnly}, share.Selector{Type: "t", Kind: share.OnDemandOnly}, false},
		{share.Selector{Type: "t", Zone: "z"}, share.Selector{Type: "t", Kind: share.SpotOnly}, true},
	} {
		if c.a.Overlaps(c.b) != c.overlaps || c.b.Overlaps(c.a) != c.overlaps {
			t.Errorf("%v and %v overlap: %v", c.a, c.b, !c.overlaps)
		}
	}
}

// A reader sees a snapshot as a whole, whatever is written meanwhile, and an older
// record never replaces a later one.
func TestTableSnapshotsAreConsistent(t *testing.T) {
	var table share.Table
	newEntry := func(name string, version uint64) share.Entry {
		return share.Entry{Name: name, Version: version, Record: share.Record{Selector: share.Selector{Type: name}}}
	}
	table.Replace([]share.Entry{newEntry("a", 1), newEntry("b", 2)})
	before := table.Snapshot()
	table.Put(newEntry("c", 5))
	table.Put(newEntry("a", 9))
	table.Put(newEntry("a", 4))
	table.Delete("b", 7)
	table.Delete("c", 3)
	names := func(s share.Snapshot) string {
		var out []string
		s.Each(func(entry share.Entry) bool { out = append(out, entry.Name); return true })
		return strings.Join(out, " ")
	}
	if names(before) != "a b" || names(table.Snapshot()) != "a c" {
		t.Errorf("before: %s, now: %s", names(before), names(table.Snapshot()))
	}
	if entry, ok := table.Snapshot().Get("a"); !ok || entry.Version != 9 {
		t.Errorf("version %d", entry.Version)
	}
	if entry, ok := table.Snapshot().ShardOf(share.Attributes{Type: "c"}); !ok || entry.Name != "c" {
		t.Errorf("%+v, %v", entry, ok)
	}
}

func TestKeysRoundTrip(t *testing.T) {
	name, job, ok := share.ParseAssignmentKey(share.AssignmentKey("gpu-1", "j-12"))
	if !ok || name != "gpu-1" || job != "j-12" {
		t.Errorf("%s, %s, %v", name, job, ok)
	}
	name, job, chunk, ok := share.ParseAllocationKey(share.AllocationKey("gpu-1", "j-12", 7))
	if !ok || name != "gpu-1" || job != "j-12" || chunk != 7 {
		t.Errorf("%s, %s, %d, %v", name, job, chunk, ok)
	}
	for _, bad := range []string{"", "Up", "a b", "a/b", strings.Repeat("x", 41)} {
		if share.ValidName(bad) {
			t.Errorf("%q is a valid name", bad)
		}
	}
}
