package controller

import (
	"context"
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/jobapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// rangeCountingStore is a store that counts what is read from it.
type rangeCountingStore struct {
	store.Store
	rangeCount *int
}

func (s rangeCountingStore) Range(
	ctx context.Context, c store.Class, prefix, after string, limit int,
) (wire.Page, error) {
	*s.rangeCount++
	return s.Store.Range(ctx, c, prefix, after, limit)
}

// Users may ask for over jobs at any later time and as often as they like: each
// is read from the store once, whatever else is kept is bounded, and what had to
// go is read again.
func TestFinalStatusesAreReadOnceAndCacheIsBounded(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNodeWith("n-0", func(node *Node) { node.election.SuspendCampaign(1 << 50) })
	reads := 0
	replaceStore(node, rangeCountingStore{env.store, &reads})
	var then []wire.Change
	for _, id := range []string{"j-1", "j-2"} {
		then = append(
			then, wire.Change{Put: keys.JobSpec(id), Value: wire.Job{ID: id, Tasks: 1}},
			wire.Change{Put: keys.JobEnd(id), Value: map[string]any{"state": "done"}},
		)
	}
	if _, err := env.store.Commit(context.Background(), store.Routine, wire.Transaction{Then: then}); err != nil {
		t.Fatal(err)
	}
	ask := func(id string) {
		t.Helper()
		if reply := node.Status(id); reply.Status != 200 || reply.Body.(wire.JobStatus).State != wire.JobDone {
			t.Fatalf("%s: %+v", id, reply)
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
	finalStatuses := node.jobs.FinalStatuses()
	for i := range jobapi.MaxFinalStatuses + 1000 {
		finalStatuses.Put(wire.JobStatus{ID: fmt.Sprint("j-9", i), State: wire.JobAborted})
	}
	if got := finalStatuses.Len(); got > jobapi.MaxFinalStatuses {
		t.Errorf("%d are kept", got)
	}
	ask("j-2")
	ask("j-1")
	finalStatuses.Put(wire.JobStatus{ID: "j-3", State: wire.JobRunning})
	if _, ok := finalStatuses.Get("j-3"); ok {
		t.Error("a state that may change is kept")
	}
}
