package update

import (
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

// twoZones is a shard with one empty machine in each of two zones.
func twoZones() *cluster.State {
	state := cluster.New(noEffects{})
	state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, Zones: []string{"a", "b"}}}})
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
			state := twoZones()
			if row.waiting != nil {
				spec := *row.waiting
				spec.ID, spec.Kind, spec.Tasks = "j-1", wire.JobArray, 3
				job := state.AddJob(spec, 0, 0)
				job.MaxAllocations = row.maxAllocations
				job.AllocationCount = 1 // of an array that runs already
			}
			zones := map[string]int{}
			for _, free := range FreeCapacity(state, now) {
				zones[free.Zone] += free.Count
			}
			for _, zone := range []string{"a", "b"} {
				want := 0
				for _, each := range row.want {
					if each == zone {
						want++
					}
				}
				if zones[zone] != want {
					t.Errorf("zone %s: %d machines are free, want %d", zone, zones[zone], want)
				}
			}
		})
	}
}
