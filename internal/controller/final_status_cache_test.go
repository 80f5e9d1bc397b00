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

// rangeCountingStore is a store that counts its range reads.
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

// Users may query ended jobs at any time and as often as they like. The final status of each is read from the store
// once, the cache of final statuses is bounded, and an evicted status is read again.
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
	expectDone := func(id string) {
		t.Helper()
		if reply := node.Status(id); reply.Status != 200 || reply.Body.(wire.JobStatus).State != wire.JobDone {
			t.Fatalf("status of %s: got %+v, want done", id, reply)
		}
	}
	expectDone("j-1")
	first := reads
	for range 100 {
		expectDone("j-1")
	}
	if reads != first {
		t.Errorf("%d more store reads for a cached final status", reads-first)
	}
	finalStatuses := node.jobs.FinalStatuses()
	for i := range jobapi.MaxFinalStatuses + 1000 {
		finalStatuses.Put(wire.JobStatus{ID: fmt.Sprint("j-9", i), State: wire.JobAborted})
	}
	if got := finalStatuses.Len(); got > jobapi.MaxFinalStatuses {
		t.Errorf("%d final statuses are cached, more than jobapi.MaxFinalStatuses", got)
	}
	expectDone("j-2")
	expectDone("j-1")
	finalStatuses.Put(wire.JobStatus{ID: "j-3", State: wire.JobRunning})
	if _, ok := finalStatuses.Get("j-3"); ok {
		t.Error("the status of a running job is cached as a final status")
	}
}
