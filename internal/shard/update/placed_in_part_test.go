package update

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// A service is stopped to be moved though the rest of it comes up where it is, or cannot be placed
// anywhere, or what it has would not be known to be stopped.
func TestServiceIsPlacedInPartOnlyWhileItWaitsForMachines(t *testing.T) {
	waited := shard.PartialServiceDelay + micro.Second
	for name, c := range map[string]struct {
		change func(state *cluster.State, allocation *cluster.Allocation)
		waited micro.Time
		want   bool
	}{
		"it waits":                 {waited: waited, want: true},
		"not for long":             {waited: micro.Minute},
		"machines boot for longer": {waited: waited, change: bootFor(90)},
		"for two boots":            {waited: 3*micro.Minute + micro.Second, change: bootFor(90), want: true},
		"beyond its part of a quota": {waited: waited, change: func(_ *cluster.State, allocation *cluster.Allocation) {
			allocation.Job.MaxAllocations = 1
		}},
		"its replica stops": {waited: waited, change: func(_ *cluster.State, allocation *cluster.Allocation) {
			allocation.Stopping = true
		}},
		"its replica starts": {waited: waited, change: func(_ *cluster.State, allocation *cluster.Allocation) {
			allocation.State = cluster.Planned
		}},
		"its machine is suspect": {waited: waited, change: func(state *cluster.State, allocation *cluster.Allocation) {
			state.TransitionMachine(allocation.Machine, cluster.Suspect, "for a test")
		}},
		"its machine answers no dispatch": {waited: waited, change: func(_ *cluster.State, allocation *cluster.Allocation) {
			allocation.Machine.DispatchUnanswered = true
		}},
		"no service": {waited: waited, change: func(_ *cluster.State, allocation *cluster.Allocation) {
			allocation.Job.Spec.Kind = wire.JobArray
		}},
	} {
		t.Run(name, func(t *testing.T) {
			state := twoZones()
			spec := wire.Job{ID: "j-1", Kind: wire.Service, Tasks: 2, CPUs: 4}
			job := state.AddJob(spec, 0, 0)
			allocation := state.Allocate(job, 0, state.Machines["i-1"], 1, 4, now)
			allocation.State = cluster.Running
			if c.change != nil {
				c.change(state, allocation)
			}
			if got := PlacedInPart(state, job, now+c.waited); got != c.want {
				t.Errorf("placed in part: %v, want %v", got, c.want)
			}
		})
	}
}

// bootFor has machines take so many seconds to boot.
func bootFor(seconds float64) func(*cluster.State, *cluster.Allocation) {
	return func(state *cluster.State, _ *cluster.Allocation) {
		state.CatalogOrder[0].BootS = seconds
	}
}

// Machines that are reserved or lie out of reach are kept for a service that comes back, too.
func TestFreeMachinesLeaveOutWhatIsReservedOrNotReachable(t *testing.T) {
	state := twoZones()
	if free := FreeMachines(state, now); len(free) != 2 || free[0].Machine.Name != "i-1" || free[0].CPU != 16 {
		t.Fatalf("free machines %+v", free)
	}
	state.Machines["i-1"].ReservedFor = state.AddJob(wire.Job{ID: "j-1", Kind: wire.JobArray, Tasks: 1, CPUs: 99}, 0, 0)
	state.Machines["i-2"].DispatchUnanswered = true
	if free := FreeMachines(state, now); len(free) > 0 {
		t.Errorf("free machines %+v", free)
	}
}
