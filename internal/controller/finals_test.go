package controller

import (
	"context"
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// counted is a store that counts what is read from it.
type counted struct {
	store.Store
	ranges *int
}

func (s counted) Range(ctx context.Context, c store.Class, prefix, after string, limit int) (wire.Page, error) {
	*s.ranges++
	return s.Store.Range(ctx, c, prefix, after, limit)
}

// Users may ask for over jobs at any later time and as often as they like: each
// is read from the store once, whatever else is kept is bounded, and what had to
// go is read again.
func TestFinalStatesAreReadOnceAndKeptWithinABound(t *testing.T) {
	b := newBed(t)
	n, _ := b.nodeWith("n-0", func(n *Node) { n.election.Pause(1 << 50) })
	reads := 0
	n.Store = counted{b.store, &reads}
	var then []wire.Change
	for _, id := range []string{"j-1", "j-2"} {
		then = append(then, wire.Change{Put: specKey(id), Value: wire.Job{ID: id, Tasks: 1}}, wire.Change{Put: endKey(id), Value: map[string]any{"state": "done"}})
	}
	if _, err := b.store.Commit(context.Background(), store.Routine, wire.Txn{Then: then}); err != nil {
		t.Fatal(err)
	}
	ask := func(id string) {
		t.Helper()
		if r := n.Show(id); r.Status != 200 || r.Body.(wire.JobStatus).State != wire.JobDone {
			t.Fatalf("%s: %+v", id, r)
		}
	}
	ask("j-1")
	first := reads
	for range 100 {
		ask("j-1")
	}
	if reads != first {
		t.Errorf("%d more reads for what was known", reads-first)
	}
	for i := range maxFinals + 1000 {
		n.finals.put(wire.JobStatus{ID: fmt.Sprint("j-9", i), State: wire.JobAborted})
	}
	if got := len(n.finals.m); got > maxFinals {
		t.Errorf("%d are kept", got)
	}
	ask("j-2")
	ask("j-1")
	n.finals.put(wire.JobStatus{ID: "j-3", State: wire.JobRunning})
	if _, ok := n.finals.get("j-3"); ok {
		t.Error("a state that may change is kept")
	}
}
