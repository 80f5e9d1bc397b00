package coordinator

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// The shard "east" has all of zone b.
func TestReviewCountsTheJobsThatNoSideMayServe(t *testing.T) {
	test := newTestCoordinator(t)
	test.setZones("a", "b")
	const unserved = 2*maxReviewedJobs + 1
	for i := range unserved {
		test.addJob(fmt.Sprint("j-", i), wire.Job{Tasks: 2, CPUs: 1, Spread: true})
	}
	test.addJob("served", wire.Job{Tasks: 2, CPUs: 1})
	review := NewServingReview(test.Coordinator)
	for range 2 {
		if _, complete := review.Advance(test.at); complete {
			t.Fatal("complete too soon")
		}
		if review.Advance(test.at + micro.Millisecond); review.reviewedAt != test.at {
			t.Fatal("reviewed again at once")
		}
		test.at += servingReviewInterval
	}
	if count, complete := review.Advance(test.at); !complete || count != unserved {
		t.Fatalf("%d counted, complete %v, want %d", count, complete, unserved)
	}
	for job := range test.Cluster.PendingJobs {
		test.Cluster.FinalizeJob(job, true, test.at)
	}
	test.at += servingReviewInterval
	if count, complete := review.Advance(test.at); !complete || count != 0 {
		t.Errorf("%d counted once all are over, complete %v", count, complete)
	}
}

func TestReviewWithoutShardsCountsNone(t *testing.T) {
	if _, complete := NewServingReview(nil).Advance(micro.Minute); complete {
		t.Error("a controller without the feature has a count")
	}
	test := newTestCoordinator(t)
	test.setZones("a")
	test.addJob("j-1", wire.Job{Tasks: 2, Spread: true})
	deletion := wire.Transaction{Then: []wire.Change{{Delete: shard.RecordKey("east")}}}
	if _, err := test.store.Commit(t.Context(), store.Routine, deletion); err != nil {
		t.Fatal(err)
	}
	if _, err := test.Table.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if count, complete := NewServingReview(test.Coordinator).Advance(test.at); !complete || count != 0 {
		t.Errorf("%d, complete %v", count, complete)
	}
}

// A part of a review: as many jobs as it looks at, 24 types in 6 zones, and 8 shards.
func BenchmarkServingReview(b *testing.B) {
	state := cluster.New(noEffects{})
	catalog := &wire.Catalog{}
	var entries []shard.Entry
	for i := range 24 {
		name := fmt.Sprint("t", i)
		catalog.Types = append(catalog.Types, wire.MachineType{
			Name: name, CPUs: 16, MemoryGB: 64, Zones: []string{"a", "b", "c", "d", "e", "f"},
		})
		if i < 8 {
			entries = append(entries, shard.Entry{Name: "of-" + name, Record: shard.Record{Selector: shard.Selector{Type: name}}})
		}
	}
	state.SetCatalog(catalog)
	divideAndReview := func(b *testing.B) {
		for b.Loop() {
			divided := DivideCatalog(state.CatalogOrder, tableOf(entries...), true)
			for job := range state.PendingJobs {
				divided.Served(job)
			}
		}
	}
	for i := range maxReviewedJobs {
		state.AddJob(wire.Job{ID: fmt.Sprint("j-", i), Kind: wire.Service, Tasks: 40, Spread: i%2 == 0, Spot: true}, 0, 0)
	}
	b.Run("all served", divideAndReview)
	for job := range state.PendingJobs {
		job.Spec.Types, job.AllocationCount = []string{"t0"}, 1
	}
	b.Run("none served", divideAndReview)
}
