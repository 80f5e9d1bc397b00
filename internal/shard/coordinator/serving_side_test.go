package coordinator

import (
	"slices"
	"testing"

	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// tableOf is a table of shards that select zones, for some teams.
func tableOf(entries ...shard.Entry) shard.Snapshot {
	table := &shard.Table{}
	table.Replace(entries)
	return table.Snapshot()
}

func zoneShard(name, zone string, teams ...string) shard.Entry {
	return shard.Entry{Name: name, Record: shard.Record{State: shard.Owned, Selector: shard.Selector{Zone: zone}, Teams: teams}}
}

func TestServingSideOfAJob(t *testing.T) {
	zone, east := "b", []shard.Entry{zoneShard("east", "b")}
	const leader, shardEast = "the leader", "shard east"
	for name, c := range map[string]struct {
		zones     []string // of the types m and g
		shards    []shard.Entry
		spec      wire.Job
		allocated bool
		leader    int
		inShards  int
		servedBy  []string
		reason    string
	}{
		"no shard": {
			[]string{"a", "b"}, nil, wire.Job{Tasks: 1}, false, 4, 0, []string{leader}, "",
		},
		"both sides": {
			[]string{"a", "b"}, east, wire.Job{Tasks: 1}, false, 2, 2, []string{leader, shardEast}, "",
		},
		"spot machines count for work that may use them": {
			[]string{"a", "b"}, east, wire.Job{Tasks: 1, Spot: true}, false, 4, 4, []string{leader, shardEast}, "",
		},
		"has an allocation, and the leader has offers": {
			[]string{"a", "b"}, east, wire.Job{Tasks: 1}, true, 2, 2, []string{leader}, "",
		},
		"bound to the shard's zone": {
			[]string{"a", "b"}, east, wire.Job{Tasks: 1, Zone: &zone}, false, 0, 2, []string{shardEast}, "",
		},
		"bound to the shard's zone, has an allocation": {
			[]string{"a", "b"},
			east,
			wire.Job{Tasks: 1, Zone: &zone},
			true, 0, 2, nil,
			"only shard east has offers for it: it has allocations at the leader, and goes to shard east as a whole",
		},
		"bound to the zone of a shard for another team": {
			[]string{"a", "b"},
			[]shard.Entry{zoneShard("east", "b", "vision")},
			wire.Job{Tasks: 1, Zone: &zone, Team: "speech"},
			false, 0, 2, nil,
			"only shard east has offers for it: shard east takes jobs of team vision only",
		},
		"needs a type, in one zone of the shard's": {
			[]string{"a", "b"}, east, wire.Job{Tasks: 1, Types: []string{"g"}, Zone: &zone}, false, 0, 1, []string{shardEast}, "",
		},
		"spread, zones on both sides": {
			[]string{"a", "b"},
			east,
			wire.Job{Tasks: 2, Spread: true},
			false, 2, 2, nil,
			"zones on both sides: shard east holds zone b; a spread service is not split",
		},
		"spread, zones in two shards": {
			[]string{"a", "b"},
			append([]shard.Entry{zoneShard("west", "a")}, east...),
			wire.Job{Tasks: 2, Spread: true},
			false, 0, 4, nil,
			"zones in several shards: shard east holds zone b, shard west holds zone a; a spread service is not split",
		},
		"spread, one task": {
			[]string{"a", "b"}, east, wire.Job{Tasks: 1, Spread: true}, false, 2, 2, []string{leader, shardEast}, "",
		},
		"spread, two zones outside": {
			[]string{"a", "b", "c"}, east, wire.Job{Tasks: 2, Spread: true}, false, 4, 2, []string{leader}, "",
		},
		"spread, the cloud has one zone": {
			[]string{"a"},
			nil,
			wire.Job{Tasks: 2, Spread: true},
			false, 2, 0, nil,
			"only zone a has offers for it, and a spread service needs two",
		},
		"spread, has an allocation, and a shard has both zones": {
			[]string{"a", "b"},
			[]shard.Entry{{Name: "gpu", Record: shard.Record{Selector: shard.Selector{Type: "g"}}}},
			wire.Job{Tasks: 2, Spread: true, GPUs: 1},
			true, 0, 2, nil,
			"only shard gpu has offers for it: it has allocations at the leader, and goes to shard gpu as a whole",
		},
		"spread, one zone outside, and the shard is for another team": {
			[]string{"a", "b"},
			[]shard.Entry{{Name: "gpu", Record: shard.Record{
				Selector: shard.Selector{Type: "g"}, Teams: []string{"vision"},
			}}, {Name: "plain", Record: shard.Record{Selector: shard.Selector{Type: "m", Zone: "b"}}}},
			wire.Job{Tasks: 2, Spread: true},
			false, 1, 3, nil,
			"the leader has offers in zone a only: shard gpu takes jobs of team vision only, shard plain holds zone b only",
		},
		"larger than any": {
			[]string{"a", "b"}, east, wire.Job{Tasks: 1, CPUs: 99}, false, 0, 0, nil, "the cloud has no offer for it",
		},
	} {
		test := newTestCoordinator(t)
		test.setZones(c.zones...)
		job := test.addJob("j-1", c.spec)
		if c.allocated {
			job.AllocationCount = 1
		}
		catalog := DivideCatalog(test.Cluster.CatalogOrder, tableOf(c.shards...), true)
		got := catalog.ServingSideOf(job)
		inShards := 0
		for _, offers := range got.ShardOffers {
			inShards += offers
		}
		if got.LeaderOffers != c.leader || inShards != c.inShards || !slices.Equal(got.ServedBy, c.servedBy) ||
			got.Reason != c.reason || catalog.Served(job) != (c.reason == "") {
			t.Errorf("%s: %+v, want %d and %d offers, by %q, %q", name, got, c.leader, c.inShards, c.servedBy, c.reason)
		}
	}
}

// A job that had allocations counts as one that no side may serve, though a shard takes it.
func TestServingSideOfAJobThatHadAllocations(t *testing.T) {
	zone := "b"
	for _, continues := range []bool{false, true} {
		test := newTestCoordinator(t)
		test.setZones("a", zone)
		job := test.addJob("j-1", wire.Job{Tasks: 1, Zone: &zone})
		job.Chunk(0).MemoryVersion = 1
		side := DivideCatalog(test.Cluster.CatalogOrder, tableOf(zoneShard("east", zone)), continues).ServingSideOf(job)
		if served := len(side.ServedBy) > 0; served != continues {
			t.Errorf("controllers go on with such jobs: %v, served by %q, %q", continues, side.ServedBy, side.Reason)
		}
	}
}
