package scheduler

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// The first replica of a service of one zone goes to another zone than the machines that are kept for all of
// them: the second has no capacity there, and the service was stopped in vain.
func TestServiceOfOneZoneGoesToTheZoneWhereMachinesAreKept(t *testing.T) {
	for seed := range 8 {
		tc := newTestCluster(t)
		for range seed {
			tc.scheduler.Rand.Uint64()
		}
		service := tc.cluster.AddJob(wire.Job{
			ID: "j-1", Class: "c", Kind: wire.Service, Priority: wire.Low, Tasks: 2, CPUs: 3, MemoryGB: 1, OneZone: true,
		}, 0, 0)
		for _, name := range []string{"i-1", "i-2"} {
			machine := tc.addMachine(name, "small", "a")
			machine.ReservedFor, machine.KeptForMove = service, true
		}
		other := tc.addMachine("i-3", "small", "b") // has room for one only
		tc.cluster.Allocate(tc.submitArray("j-2", 1, 1, 0), 0, other, 1, 1, 0)
		service.MachinesKept = true
		for now := micro.Second; now < 20*micro.Second; now += micro.Second {
			tc.scheduler.Schedule(now)
		}
		if service.AllocationCount != 2 {
			t.Errorf("seed %d: %d replicas are placed, %v", seed, service.AllocationCount, service.AllocationsByZone)
		}
	}
}
