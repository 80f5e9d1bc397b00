package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A machine that another controller owned sends a heartbeat only after this controller has
// reclaimed its shard. A start command of the other controller may still be in flight, under a
// token of this term or a later one.
func TestTaskOnAnAcquiredMachineIsReleasedOnlyUnderANewerToken(t *testing.T) {
	tc := newTestCluster(t)
	tc.submit("j-1", wire.JobArray, 1, 1)
	agent := tc.addAgent("i-1", "a")
	minToken := tc.token + 1000
	agent.FencingToken = minToken - 1 // the last token of the other owner
	agent.Tasks[fake.AttemptKey{Task: "j-1/0", Attempt: 1}] = &wire.TaskStatus{
		Task: "j-1/0", Attempt: 1, State: wire.TaskRunning,
	}
	tc.cluster.RaiseMinFencingToken(minToken)
	machine, _ := tc.cluster.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, tc.now)
	allocations := machine.SortedAllocations()
	if len(allocations) != 1 || !allocations[0].Stopping || allocations[0].DispatchToken != minToken-1 {
		t.Fatalf("allocations %+v, want one that is stopping", allocations)
	}
}

// A job in a shard uses its part of the team's quota until its assignment is deleted. The part
// shrinks as the job's tasks end, and grows where the quota has capacity.
func TestAssignedJobCountsAgainstTheQuota(t *testing.T) {
	tc := newTestCluster(t)
	team := tc.cluster.Teams["team"] // limit: 8 CPUs
	service := tc.submit("j-1", wire.Service, 3, 1)
	if tasks := tc.cluster.Assign(service, "east"); tasks != 3 || team.UsedCPU != 3 {
		t.Fatalf("%d tasks of the service assigned, %v CPUs of the quota used, want 3 and 3", tasks, team.UsedCPU)
	}
	array := tc.submit("j-2", wire.JobArray, 10, 1)
	if tasks := tc.cluster.Assign(array, "east"); tasks != 5 || team.UsedCPU != 8 {
		t.Fatalf("%d tasks of the array assigned, %v CPUs of the quota used, want 5 and 8", tasks, team.UsedCPU)
	}
	gang := tc.submit("j-3", wire.Gang, 2, 1)
	if tasks := tc.cluster.Assign(gang, "east"); tasks != 0 || gang.State != cluster.Active {
		t.Errorf("%d tasks of a gang assigned beyond the limit, want none", tasks)
	}
	tc.cluster.ReleaseQuota(array, 7) // more tasks than it has quota reserved for
	if team.UsedCPU != 8 {
		t.Errorf("%v CPUs of the quota used, want 8", team.UsedCPU)
	}
	tc.cluster.ReleaseQuota(service, 1)
	if tasks := tc.cluster.ReserveQuota(array, 5); tasks != 2 || team.UsedCPU != 8 {
		t.Errorf("%d more tasks reserved, %v CPUs of the quota used, want 2 and 8", tasks, team.UsedCPU)
	}
	tc.cluster.Unassign(service, tc.now)
	if team.UsedCPU != 7 || service.State != cluster.Active || service.Shard != "" {
		t.Errorf(
			"%v CPUs of the quota used, want 7; service %v in shard %q", team.UsedCPU, service.State, service.Shard,
		)
	}
	tc.cluster.FinishAssigned(array)
	tc.cluster.FinalizeJob(array, false, tc.now)
	tc.cluster.Unassign(array, tc.now)
	if team.UsedCPU != 0 || array.State != cluster.Done {
		t.Errorf("%v CPUs of the quota used, want 0; array %v", team.UsedCPU, array.State)
	}
	if !tc.cluster.PendingJobs[service] {
		t.Error("the job that was handed back does not wait for allocations")
	}
}

// If a job were assigned to a shard while one of its tasks is, or may be, on a machine, the task
// would run twice.
func TestJobWithAnAllocationIsNotAssigned(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.HandoverSupported = true
	agent := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 2, 1)
	expectNotAssigned := func(when string) {
		t.Helper()
		if tasks := tc.cluster.Assign(job, "east"); tasks > 0 || job.State != cluster.Active || job.Shard != "" {
			t.Fatalf("%s: %d tasks were assigned, state %v", when, tasks, job.State)
		}
	}
	allocation := tc.cluster.Allocate(job, 0, tc.cluster.Machines["m1"], 1, 1, tc.now)
	expectNotAssigned("planned")
	tc.persist()
	expectNotAssigned("starting")
	tc.startTasks(agent)
	expectNotAssigned("running")
	tc.cluster.StopAllocation(allocation, "the test", 0, tc.now)
	expectNotAssigned("stopping")
	tc.expireLeases("m1")
	tc.expectAllocations(job, 0)
	tc.cluster.HandoverSupported = false
	expectNotAssigned("had an allocation, and not all controllers support handover")
	tc.cluster.HandoverSupported = true
	tc.expectQuotaUsed(0)
	if tasks := tc.cluster.Assign(job, "east"); tasks != 2 {
		t.Errorf("%d tasks assigned once the job has no allocation, want 2", tasks)
	}
	tc.expectQuotaUsed(2)
	tc.cluster.RestoreAssignment(job, "east", 2)
	tc.expectQuotaUsed(2)
	tc.cluster.Unassign(job, tc.now)
	tc.expectQuotaUsed(0)
}

// A late heartbeat must not change the records of a job that another controller continues. They
// would then differ from what the assignment says.
func TestLateHeartbeatDoesNotChangeAJobInAShard(t *testing.T) {
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
			"%d allocations, %d done, attempt %d, chunk version %d, want 0 each",
			job.AllocationCount, job.DoneTasks, job.Tasks[1].Attempt, chunk.MemoryVersion,
		)
	}
	tc.expectQuotaUsed(used)
	for range 3 { // the agent is told to stop or forget the attempt
		tc.now, tc.token = tc.now+micro.Second, tc.token+1
		tc.heartbeat(agent)
	}
	if task := agent.Tasks[key]; task != nil && !(state == wire.TaskRunning && task.State == wire.TaskExited) {
		t.Errorf("the agent still lists %+v", *task)
	}
}
