package update

import (
	"slices"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// noEffects implements the effects of a cluster by doing nothing.
type noEffects struct{ cluster.Effects }

func (noEffects) ChunkDirty(*cluster.TaskChunk) {}
func (noEffects) DispatchSoon(*cluster.Machine) {}
func (noEffects) ScheduleSoon()                 {}
func (noEffects) Log(string, ...any)            {}

const now = micro.Minute

// newTwoZoneCluster returns the state of a shard with one empty machine in each of two zones.
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

// Machines that a waiting job of the shard could use are not reported as free capacity, and all others are.
func TestFreeCapacityLeavesOutMachinesUsableByWaitingJobs(t *testing.T) {
	zone := "b"
	for name, row := range map[string]struct {
		waiting        *wire.Job
		maxAllocations int
		want           []string // zones with free machines
	}{
		"no job waits":                         {want: []string{"a", "b"}},
		"job waits for any zone":               {waiting: &wire.Job{CPUs: 4}},
		"job waits for one zone":               {waiting: &wire.Job{CPUs: 4, Zone: &zone}, want: []string{"a"}},
		"job waits for a larger type":          {waiting: &wire.Job{CPUs: 17}, want: []string{"a", "b"}},
		"job waits with its quota used up":     {waiting: &wire.Job{CPUs: 4}, maxAllocations: 1, want: []string{"a", "b"}},
		"job waits within its part of a quota": {waiting: &wire.Job{CPUs: 4}, maxAllocations: 2},
	} {
		t.Run(name, func(t *testing.T) {
			state := newTwoZoneCluster()
			if row.waiting != nil {
				addJobArray(state, *row.waiting, row.maxAllocations)
			}
			if got := freeZones(state); !slices.Equal(got, row.want) {
				t.Errorf("free machines in zones %v, want %v", got, row.want)
			}
		})
	}
}

// addJobArray adds a job array of three tasks, one of which runs, that may have maxAllocations allocations at once.
func addJobArray(state *cluster.State, spec wire.Job, maxAllocations int) {
	spec.ID, spec.Kind, spec.Tasks = "j-1", wire.JobArray, 3
	job := state.AddJob(spec, 0)
	job.MaxAllocations, job.AllocationCount = maxAllocations, 1
}

// freeZones returns the zone of each free machine.
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
