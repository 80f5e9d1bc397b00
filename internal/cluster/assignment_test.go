package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
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

// A job goes to a shard while a task of it is on a machine, or may be, and runs at both.
func TestJobWithAnAllocationIsNotAssigned(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.HandoverSupported = true
	agent := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 2, 1)
	expectKept := func(when string) {
		t.Helper()
		if tasks := tc.cluster.Assign(job, "east"); tasks > 0 || job.State != cluster.Active || job.Shard != "" {
			t.Fatalf("%s: %d tasks were assigned, %v", when, tasks, job.State)
		}
	}
	allocation := tc.cluster.Allocate(job, 0, tc.cluster.Machines["m1"], 1, 1, tc.now)
	expectKept("planned")
	tc.persist()
	expectKept("to be started")
	tc.startTasks(agent)
	expectKept("on the machine")
	tc.cluster.StopAllocation(allocation, "the test", 0, tc.now)
	expectKept("stopping")
	tc.expireLeases("m1")
	tc.expectAllocations(job, 0)
	tc.cluster.HandoverSupported = false
	expectKept("begun, and not all controllers go on with it")
	tc.cluster.HandoverSupported = true
	tc.expectQuotaUsed(0)
	if tasks := tc.cluster.Assign(job, "east"); tasks != 2 {
		t.Errorf("%d tasks assigned once it has no allocation", tasks)
	}
	tc.expectQuotaUsed(2)
	tc.cluster.RestoreAssignment(job, "east", 2)
	tc.expectQuotaUsed(2)
	tc.cluster.Unassign(job, tc.now)
	tc.expectQuotaUsed(0)
}

// A late heartbeat changes the records of a job that another controller goes on with: what it reads
// of them is not what the assignment says.
func TestLateHeartbeatChangesNothingOfAJobInAShard(t *testing.T) {
	for name, handOver := range map[string]func(tc *testCluster, job *cluster.Job){
		"in a shard":           func(tc *testCluster, job *cluster.Job) { tc.cluster.Assign(job, "east") },
		"handed back by owner": func(tc *testCluster, job *cluster.Job) { tc.cluster.PrepareTransfer(job, tc.now) },
	} {
		for _, state := range []wire.TaskState{wire.TaskRunning, wire.TaskExited} {
			t.Run(name+", "+string(state), func(t *testing.T) { checkLateHeartbeat(t, handOver, state) })
		}
	}
}

func checkLateHeartbeat(t *testing.T, handOver func(*testCluster, *cluster.Job), state wire.TaskState) {
	t.Helper()
	tc := newTestCluster(t)
	tc.cluster.HandoverSupported = true
	job := tc.submit("j-1", wire.JobArray, 2, 1)
	handOver(tc, job)
	chunk, used := job.Chunk(1), tc.cluster.Teams["team"].UsedCPU
	agent := tc.addAgent("m1", "a")
	key := fake.AttemptKey{Task: "j-1/1", Attempt: 7}
	agent.Tasks[key] = &wire.TaskStatus{Task: key.Task, Attempt: 7, State: state}
	if state == wire.TaskExited {
		agent.Tasks[key].Cause = wire.CauseDone
	}
	tc.heartbeat(agent)
	if job.AllocationCount > 0 || job.DoneTasks > 0 || job.Tasks[1].Attempt > 0 || chunk.MemoryVersion > 0 ||
		tc.dirtyChunks[chunk] {
		t.Errorf(
			"%d allocations, %d done, attempt %d, version %d", job.AllocationCount, job.DoneTasks, job.Tasks[1].Attempt,
			chunk.MemoryVersion,
		)
	}
	tc.expectQuotaUsed(used)
	for range 3 { // it is told to stop, or to forget the attempt
		tc.now, tc.token = tc.now+micro.Second, tc.token+1
		tc.heartbeat(agent)
	}
	if task := agent.Tasks[key]; task != nil && !(state == wire.TaskRunning && task.State == wire.TaskExited) {
		t.Errorf("the agent still has %+v", *task)
	}
}
