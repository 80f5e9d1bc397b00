package update

import (
	"slices"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// noEffects is a cluster's effects where none matters.
type noEffects struct{ cluster.Effects }

func (noEffects) ChunkDirty(*cluster.TaskChunk) {}
func (noEffects) DispatchSoon(*cluster.Machine) {}
func (noEffects) ScheduleSoon()                 {}
func (noEffects) Log(string, ...any)            {}

const now = micro.Minute

// newTwoZoneCluster is a shard with one empty machine in each of two zones.
func newTwoZoneCluster() *cluster.State {
	state := cluster.New(noEffects{})
	state.SetCatalog(&wire.Catalog{
		Types: []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, Zones: []string{"a", "b"}}},
	})
	for name, zone := range map[string]string{"i-1": "a", "i-2": "b"} {
		machine := state.EnsureMachine(name, now)
		state.DescribeMachine(machine, "m", zone, false)
		state.TransitionMachine(machine, cluster.Up, "for a test")
	}
	return state
}

// Machines that a job waiting in the shard could use are not free for others; the rest are.
func TestFreeCapacityLeavesOutWhatJobsOfTheShardCouldUse(t *testing.T) {
	zone := "b"
	for name, row := range map[string]struct {
		waiting        *wire.Job
		maxAllocations int
		want           []string // zones with free machines
	}{
		"nothing waits":              {want: []string{"a", "b"}},
		"for any zone":               {waiting: &wire.Job{CPUs: 4}},
		"for another zone":           {waiting: &wire.Job{CPUs: 4, Zone: &zone}, want: []string{"a"}},
		"for a larger type":          {waiting: &wire.Job{CPUs: 17}, want: []string{"a", "b"}},
		"beyond its part of a quota": {waiting: &wire.Job{CPUs: 4}, maxAllocations: 1, want: []string{"a", "b"}},
		"within its part of a quota": {waiting: &wire.Job{CPUs: 4}, maxAllocations: 2},
	} {
		t.Run(name, func(t *testing.T) {
			state := newTwoZoneCluster()
			if row.waiting != nil {
				addJobArray(state, *row.waiting, row.maxAllocations)
			}
			if got := freeZones(state); !slices.Equal(got, row.want) {
				t.Errorf("machines are free in zones %v, want %v", got, row.want)
			}
		})
	}
}

// addJobArray adds an array of three tasks, one of which runs; it may have so many allocations at once.
func addJobArray(state *cluster.State, spec wire.Job, maxAllocations int) {
	spec.ID, spec.Kind, spec.Tasks = "j-1", wire.JobArray, 3
	job := state.AddJob(spec, 0, 0)
	job.MaxAllocations, job.AllocationCount = maxAllocations, 1
}

// freeZones lists the zones of the free machines, one for each.
func freeZones(state *cluster.State) []string {
	var zones []string
	for _, free := range FreeCapacity(state, now) {
		for range free.Count {
			zones = append(zones, free.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}
