package scheduler

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// newKeptMachine is a cluster whose only machine is kept for the service j-1 of two replicas, which is
// in a shard.
func newKeptMachine(t *testing.T) (tc *testCluster, machine *cluster.Machine, service *cluster.Job) {
	t.Helper()
	tc = newTestCluster(t)
	machine = tc.addMachine("i-1", "small", "a")
	tc.cluster.Teams["team"] = &cluster.Team{Name: "team", CPULimit: 4}
	service = tc.cluster.AddJob(wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.Service, Priority: wire.Low, Tasks: 2, CPUs: 2, MemoryGB: 1,
	}, 0, 0)
	if tc.cluster.Assign(service, "east") != 2 {
		t.Fatal("not assigned")
	}
	machine.ReservedFor, machine.KeptForMove, service.MachinesKept = service, true, true
	return tc, machine, service
}

// takeBack makes the service the leader's, with its quota held.
func (tc *testCluster) takeBack(service *cluster.Job, now micro.Time) {
	tc.Helper()
	tc.cluster.Unassign(service, now)
	if !tc.cluster.HoldQuota(service, 2) {
		tc.Fatal("no quota held")
	}
}

// The machine for which a service was stopped in its shard goes to an overdue job, to one of a higher
// priority, or to whatever comes between its two replicas.
func TestMachineKeptForAServiceTakesNoOtherJob(t *testing.T) {
	tc, machine, service := newKeptMachine(t)
	other := tc.cluster.AddJob(
		wire.Job{ID: "j-2", Class: "c", Kind: wire.JobArray, Priority: wire.High, Tasks: 1, CPUs: 2, MemoryGB: 1}, 0, 0,
	)
	now := micro.Second
	for ; now < 10*micro.Minute; now += micro.Second {
		tc.scheduler.Schedule(now)
	}
	if other.AllocationCount > 0 || machine.ReservedFor != service {
		t.Fatalf("%d tasks of another job are placed on it; it is kept: %v", other.AllocationCount, machine.KeptForMove)
	}
	tc.takeBack(service, now)
	tc.scheduler.Schedule(now + micro.Second)
	if service.AllocationCount != 2 || other.AllocationCount > 0 {
		t.Errorf("%d replicas and %d tasks of another job are placed", service.AllocationCount, other.AllocationCount)
	}
}

// The quota that is held for a service goes to another job of its team, or the service itself may not use it.
func TestQuotaHeldForAServiceIsItsOwn(t *testing.T) {
	tc, _, service := newKeptMachine(t)
	tc.addMachine("i-2", "small", "a")
	other := tc.cluster.AddJob(wire.Job{
		ID: "j-2", Team: "team", Class: "c", Kind: wire.JobArray, Priority: wire.High, Tasks: 2, CPUs: 2, MemoryGB: 1,
	}, 0, 0)
	tc.takeBack(service, micro.Second)
	tc.scheduler.Schedule(2 * micro.Second)
	if service.AllocationCount != 2 || other.AllocationCount > 0 || service.Team.UsedCPU != 4 {
		t.Errorf(
			"%d replicas, %d tasks of another job, %v CPUs used", service.AllocationCount, other.AllocationCount,
			service.Team.UsedCPU,
		)
	}
}
