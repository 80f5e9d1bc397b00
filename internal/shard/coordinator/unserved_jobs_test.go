package coordinator

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// A spread service can run neither at the leader nor in the shard "east", which selects all of zone b.
// A scan counts such jobs in steps of maxJobsPerScanStep, at most one step per unservedScanInterval.
func TestUnservedJobScanCountsJobsInSteps(t *testing.T) {
	test := newTestCoordinator(t)
	test.setZones("a", "b")
	const unserved = 2*maxJobsPerScanStep + 1
	for i := range unserved {
		test.addJob(fmt.Sprint("j-", i), wire.Job{Tasks: 2, CPUs: 1, Spread: true})
	}
	test.addJob("served", wire.Job{Tasks: 2, CPUs: 1})
	scan := NewUnservedJobScan(test.Coordinator)
	for range 2 {
		if _, complete := scan.Advance(test.at); complete {
			t.Fatal("scan completed before all jobs were checked")
		}
		if scan.Advance(test.at + micro.Millisecond); scan.steppedAt != test.at {
			t.Fatal("a step was made within unservedScanInterval")
		}
		test.at += unservedScanInterval
	}
	if count, complete := scan.Advance(test.at); !complete || count != unserved {
		t.Fatalf("counted %d unserved jobs, complete %v; want %d, true", count, complete, unserved)
	}
	if _, complete := NewUnservedJobScan(nil).Advance(test.at); complete {
		t.Error("the scan of a nil Coordinator completed")
	}
}

// BenchmarkUnservedJobScan measures one step of a scan: maxJobsPerScanStep jobs, 24 machine types in 6
// zones, and 8 shards.
func BenchmarkUnservedJobScan(b *testing.B) {
	state, catalog, entries := cluster.New(noEffects{}), &wire.Catalog{}, []shard.Entry{}
	for i := range 24 {
		name, zones := fmt.Sprint("t", i), []string{"a", "b", "c", "d", "e", "f"}
		catalog.Types = append(catalog.Types, wire.MachineType{Name: name, CPUs: 16, MemoryGB: 64, Zones: zones})
		if i < 8 {
			entries = append(entries, shardOf(name, shard.Selector{Type: name}))
		}
	}
	state.SetCatalog(catalog)
	for i := range maxJobsPerScanStep {
		state.AddJob(wire.Job{ID: fmt.Sprint("j-", i), Kind: wire.Service, Tasks: 40, Spread: i%2 == 0, Spot: true}, 0)
	}
	for name, types := range map[string][]string{"all served": nil, "none served": {"t0"}} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				divided := DivideCatalog(state.CatalogOrder, tableOf(entries...), true)
				for job := range state.PendingJobs {
					job.Spec.Types, job.AllocationCount = types, 1
					divided.Served(job)
				}
			}
		})
	}
}
