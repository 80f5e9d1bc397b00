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

// The cloud offers the machine types m and g in the zones of each case.
func TestEligibleOwnersOf(t *testing.T) {
	const has = "it has allocations at the leader, and goes to shard "
	zone, inB := "b", shard.Selector{Zone: "b"}
	none, east := tableOf(), tableOf(shardOf("east", inB))
	needsGPU := wire.Job{Tasks: 2, Spread: true, GPUs: 1}
	reserved := tableOf(shardOf("east", inB, "vision"))
	twoShards := tableOf(shardOf("east", inB), shardOf("west", shard.Selector{Zone: "a"}))
	gpu := tableOf(shardOf("gpu", shard.Selector{Type: "g"}))
	reservedGPU := tableOf(
		shardOf("gpu", shard.Selector{Type: "g"}, "vision"), shardOf("m", shard.Selector{Type: "m", Zone: "b"}),
	)
	oneTask, inZoneB, spread := wire.Job{Tasks: 1}, wire.Job{Tasks: 1, Zone: &zone}, wire.Job{Tasks: 2, Spread: true}
	for name, c := range map[string]eligibleOwnersCase{
		"no shard":          {"ab", none, oneTask, 0, "4 map[] the leader"},
		"no constraint":     {"ab", east, oneTask, 0, "2 map[east:2] the leader, shard east"},
		"spot allowed":      {"ab", east, wire.Job{Tasks: 1, Spot: true}, 0, "4 map[east:4] the leader, shard east"},
		"allocated":         {"ab", east, oneTask, 1, "2 map[east:2] the leader"},
		"zone of the shard": {"ab", east, inZoneB, 0, "0 map[east:2] shard east"},
		"too large":         {"ab", east, wire.Job{CPUs: 99}, 0, "0 map[] none: the cloud has no offer for it"},
		"spread, one task":  {"ab", east, wire.Job{Tasks: 1, Spread: true}, 0, "2 map[east:2] the leader, shard east"},
		"spread, two zones outside the shard": {
			"abc", east, spread, 0, "4 map[east:2] the leader",
		},
		"zone of the shard, allocated": {
			"ab", east, inZoneB, 1, "0 map[east:2] none: only shard east has offers for it: " + has + "east as a whole",
		},
		"zone of another team's shard": {
			"ab", reserved, inZoneB, 0,
			"0 map[east:2] none: only shard east has offers for it: shard east takes jobs of team vision only",
		},
		"spread, zones divided between leader and shard": {
			"ab", east, spread, 0,
			"2 map[east:2] none: zones on both sides: shard east holds zone b; a spread service is not split",
		},
		"spread, zones in two shards": {
			"ab", twoShards, spread, 0,
			"0 map[east:2 west:2] none: zones in several shards: shard east holds zone b, shard west holds zone a; a spread " +
				"service is not split",
		},
		"spread, the cloud has one zone": {
			"a", none, spread, 0, "2 map[] none: only zone a has offers for it, and a spread service needs two",
		},
		"spread, allocated, both zones in a shard": {
			"ab", gpu, needsGPU, 1,
			"0 map[gpu:2] none: only shard gpu has offers for it: " + has + "gpu as a whole",
		},
		"spread, both zones in another team's shard": {
			"ab", reservedGPU, spread, 0,
			"1 map[gpu:2 m:1] none: the leader has offers in zone a only: shard gpu takes jobs of team vision only, shard m " +
				"holds zone b only",
		},
	} {
		t.Run(name, c.check)
	}
}

// eligibleOwnersCase is a job, the shards and the expected owners.
type eligibleOwnersCase struct {
	zones     string // zones in which the cloud offers all types, one letter each
	table     shard.Snapshot
	spec      wire.Job
	allocated int    // number of allocations of the job at the leader
	want      string // LeaderOffers, ShardOffers and String() of EligibleOwners
}

func (c eligibleOwnersCase) check(t *testing.T) {
	test := newTestCoordinator(t)
	test.setZones(strings.Split(c.zones, "")...)
	job := test.addJob("j-1", c.spec)
	job.AllocationCount = c.allocated
	catalog := DivideCatalog(test.Cluster.CatalogOrder, c.table, true)
	eligible := catalog.EligibleOwnersOf(job)
	if got := fmt.Sprint(eligible.LeaderOffers, " ", eligible.ShardOffers, " ", eligible); got != c.want ||
		catalog.Served(job) != (len(eligible.ServedBy) > 0) {
		t.Errorf("%q, want %q; served %v", got, c.want, catalog.Served(job))
	}
}

// A started job without allocations, whose offers are all in a shard, is served exactly if all
// controllers support handover. Guards against reporting it as unserved although the shard accepts it.
func TestEligibleOwnersOfAJobThatHadAllocations(t *testing.T) {
	zone := "b"
	for _, supported := range []bool{false, true} {
		test := newTestCoordinator(t)
		test.setZones("a", zone)
		job := test.addJob("j-1", wire.Job{Tasks: 1, Zone: &zone})
		job.Chunk(0).MemoryVersion = 1
		east := tableOf(shard.Entry{Name: "east", Record: shard.Record{Selector: shard.Selector{Zone: zone}}})
		eligible := DivideCatalog(test.Cluster.CatalogOrder, east, supported).EligibleOwnersOf(job)
		if served := len(eligible.ServedBy) > 0; served != supported {
			t.Errorf("handover supported %v, served by %q, reason %q", supported, eligible.ServedBy, eligible.Reason)
		}
	}
}
