package coordinator

import (
	"fmt"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

func tableOf(entries ...shard.Entry) shard.Snapshot {
	table := &shard.Table{}
	table.Replace(entries)
	return table.Snapshot()
}

func shardOf(name string, selector shard.Selector, teams ...string) shard.Entry {
	return shard.Entry{Name: name, Record: shard.Record{State: shard.Owned, Selector: selector, Teams: teams}}
}

// The cloud offers the types m and g in some zones.
func TestEligibleOwnersOf(t *testing.T) {
	const has = "it has allocations at the leader, and goes to shard "
	zone, inB := "b", shard.Selector{Zone: "b"}
	none, east := tableOf(), tableOf(shardOf("east", inB))
	needsGPU := wire.Job{Tasks: 2, Spread: true, GPUs: 1}
	closed := tableOf(shardOf("east", inB, "vision"))
	parted := tableOf(shardOf("east", inB), shardOf("west", shard.Selector{Zone: "a"}))
	gpu := tableOf(shardOf("gpu", shard.Selector{Type: "g"}))
	closedGPU := tableOf(
		shardOf("gpu", shard.Selector{Type: "g"}, "vision"), shardOf("m", shard.Selector{Type: "m", Zone: "b"}),
	)
	any1, bound, spread := wire.Job{Tasks: 1}, wire.Job{Tasks: 1, Zone: &zone}, wire.Job{Tasks: 2, Spread: true}
	for name, c := range map[string]eligibleOwnersCase{
		"no shard":        {"ab", none, any1, 0, "4 map[] the leader"},
		"both sides":      {"ab", east, any1, 0, "2 map[east:2] the leader, shard east"},
		"spot too":        {"ab", east, wire.Job{Tasks: 1, Spot: true}, 0, "4 map[east:4] the leader, shard east"},
		"is allocated":    {"ab", east, any1, 1, "2 map[east:2] the leader"},
		"bound":           {"ab", east, bound, 0, "0 map[east:2] shard east"},
		"too large":       {"ab", east, wire.Job{CPUs: 99}, 0, "0 map[] none: the cloud has no offer for it"},
		"spread, one":     {"ab", east, wire.Job{Tasks: 1, Spread: true}, 0, "2 map[east:2] the leader, shard east"},
		"spread, outside": {"abc", east, spread, 0, "4 map[east:2] the leader"},
		"bound, is allocated": {
			"ab", east, bound, 1, "0 map[east:2] none: only shard east has offers for it: " + has + "east as a whole",
		},
		"bound, another team's shard": {
			"ab", closed, bound, 0,
			"0 map[east:2] none: only shard east has offers for it: shard east takes jobs of team vision only",
		},
		"spread, zones on both sides": {
			"ab", east, spread, 0,
			"2 map[east:2] none: zones on both sides: shard east holds zone b; a spread service is not split",
		},
		"spread, zones in two shards": {
			"ab", parted, spread, 0,
			"0 map[east:2 west:2] none: zones in several shards: shard east holds zone b, shard west holds zone a; a spread " +
				"service is not split",
		},
		"spread, the cloud has one zone": {
			"a", none, spread, 0, "2 map[] none: only zone a has offers for it, and a spread service needs two",
		},
		"spread, is allocated, both zones in a shard": {
			"ab", gpu, needsGPU, 1,
			"0 map[gpu:2] none: only shard gpu has offers for it: " + has + "gpu as a whole",
		},
		"spread, both zones in another team's shard": {
			"ab", closedGPU, spread, 0,
			"1 map[gpu:2 m:1] none: the leader has offers in zone a only: shard gpu takes jobs of team vision only, shard m " +
				"holds zone b only",
		},
	} {
		t.Run(name, c.check)
	}
}

// eligibleOwnersCase is a job and the shards that may serve it.
type eligibleOwnersCase struct {
	zones     string
	table     shard.Snapshot
	spec      wire.Job
	allocated int
	want      string // the leader's offers, the shards', and the sides in words
}

func (c eligibleOwnersCase) check(t *testing.T) {
	test := newTestCoordinator(t)
	test.setZones(strings.Split(c.zones, "")...)
	job := test.addJob("j-1", c.spec)
	job.AllocationCount = c.allocated
	catalog := DivideCatalog(test.Cluster.CatalogOrder, c.table, true)
	side := catalog.EligibleOwnersOf(job)
	if got := fmt.Sprint(side.LeaderOffers, " ", side.ShardOffers, " ", side); got != c.want ||
		catalog.Served(job) != (len(side.ServedBy) > 0) {
		t.Errorf("%q, want %q; served %v", got, c.want, catalog.Served(job))
	}
}

// A job that had allocations counts as one that no side may serve, though a shard takes it.
func TestEligibleOwnersOfAJobThatHadAllocations(t *testing.T) {
	zone := "b"
	for _, continues := range []bool{false, true} {
		test := newTestCoordinator(t)
		test.setZones("a", zone)
		job := test.addJob("j-1", wire.Job{Tasks: 1, Zone: &zone})
		job.Chunk(0).MemoryVersion = 1
		east := tableOf(shard.Entry{Name: "east", Record: shard.Record{Selector: shard.Selector{Zone: zone}}})
		side := DivideCatalog(test.Cluster.CatalogOrder, east, continues).EligibleOwnersOf(job)
		if served := len(side.ServedBy) > 0; served != continues {
			t.Errorf("controllers go on with such jobs: %v, served by %q, %q", continues, side.ServedBy, side.Reason)
		}
	}
}
