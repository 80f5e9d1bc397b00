package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/wire"
)

// A machine that was another controller's is heard of only after its shard was taken
// back: a start of that controller may still be on its way, under a token of this term
// or above.
func TestTaskOnAnAcquiredMachineIsReleasedOnlyUnderANewerToken(t *testing.T) {
	tc := newTestCluster(t)
	tc.submit("j-1", wire.JobArray, 1, 1)
	agent := tc.addAgent("i-1", "a")
	minToken := tc.token + 1000
	agent.FencingToken = minToken - 1 // the other owner's
	agent.Tasks[fake.AttemptKey{Task: "j-1/0", Attempt: 1}] = &wire.TaskStatus{
		Task: "j-1/0", Attempt: 1, State: wire.TaskRunning,
	}
	tc.cluster.RaiseMinFencingToken(minToken)
	machine, _ := tc.cluster.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, tc.now)
	allocations := machine.SortedAllocations()
	if len(allocations) != 1 || !allocations[0].Stopping || allocations[0].DispatchToken != minToken-1 {
		t.Fatalf("%+v", allocations)
	}
}

// A job in a shard takes its part of its team's quota until its assignment is gone: less
// as its tasks end, more where the quota has capacity.
func TestAssignedJobCountsAgainstTheQuota(t *testing.T) {
	tc := newTestCluster(t)
	team := tc.cluster.Teams["team"] // of 8 CPUs
	service := tc.submit("j-1", wire.Service, 3, 1)
	if tasks := tc.cluster.Assign(service, "east"); tasks != 3 || team.UsedCPU != 3 {
		t.Fatalf("%d tasks, %v CPUs", tasks, team.UsedCPU)
	}
	array := tc.submit("j-2", wire.JobArray, 10, 1)
	if tasks := tc.cluster.Assign(array, "east"); tasks != 5 || team.UsedCPU != 8 {
		t.Fatalf("%d tasks of the array, %v CPUs", tasks, team.UsedCPU)
	}
	gang := tc.submit("j-3", wire.Gang, 2, 1)
	if tasks := tc.cluster.Assign(gang, "east"); tasks != 0 || gang.State != cluster.Active {
		t.Errorf("%d tasks of a gang beyond the limit", tasks)
	}
	tc.cluster.ReleaseQuota(array, 7) // it needs more than it has
	if team.UsedCPU != 8 {
		t.Errorf("%v CPUs", team.UsedCPU)
	}
	tc.cluster.ReleaseQuota(service, 1)
	if tasks := tc.cluster.ReserveQuota(array, 5); tasks != 2 || team.UsedCPU != 8 {
		t.Errorf("%d more, %v CPUs", tasks, team.UsedCPU)
	}
	tc.cluster.Unassign(service, tc.now)
	if team.UsedCPU != 7 || service.State != cluster.Active || service.Shard != "" {
		t.Errorf("%v CPUs, %v in %q", team.UsedCPU, service.State, service.Shard)
	}
	tc.cluster.FinishAssigned(array)
	tc.cluster.FinalizeJob(array, false, tc.now)
	tc.cluster.Unassign(array, tc.now)
	if team.UsedCPU != 0 || array.State != cluster.Done {
		t.Errorf("%v CPUs, %v", team.UsedCPU, array.State)
	}
	if !tc.cluster.PendingJobs[service] {
		t.Error("the job that was handed back does not wait for a place")
	}
}
