package cluster_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A leader fails after storing the record of an allocation and before sending the start command.
// The next leader must not start that attempt, but a new one after the allocation is proven
// released.
func TestAllocationPersistedButNotStartedIsReplacedByTheNextLeader(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	tc.submit("j-1", wire.JobArray, 1, 1)
	tc.expectScheduled(1)
	if commands := tc.dispatchCommands(agent); len(commands.Items) != 0 {
		t.Fatal("a start command was sent before its record was stored")
	}
	tc.persist()
	tc.failOver(2) // the start command was never sent
	job := tc.cluster.Jobs["j-1"]
	tc.expectAllocations(job, 1)
	tc.expectScheduled(0)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 1) // this heartbeat may have been sent before a start command of the last term arrived
	tc.expectScheduled(0)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 0)
	if len(agent.StartedTasks) != 0 {
		t.Fatalf("an allocation of the last term was started: %v", agent.StartedTasks)
	}
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if len(agent.StartedTasks) != 1 || job.RunningTasks != 1 || job.Tasks[0].Attempt != 2 {
		t.Fatalf(
			"started %v, %d running, attempt %d, want 1, 1 and 2",
			agent.StartedTasks, job.RunningTasks, job.Tasks[0].Attempt,
		)
	}
}

// A leader released an allocation that had never been started, and used its quota for another one
// whose record it stored first. The next leader read both records and started both tasks, so the
// team exceeded its quota.
func TestAllocationReleasedByThePreviousLeaderIsNotStarted(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.Teams["team"].CPULimit = 4
	agent := tc.addAgent("m1", "a")
	tc.submitScheduled("j-1", wire.JobArray, 1, 4)
	previousRecord := tc.storedRecords["j-1"][0]
	for _, allocation := range tc.cluster.Jobs["j-1"].Allocations() {
		tc.cluster.StopAllocation(allocation, "preempted", 0, tc.now)
	}
	tc.token++
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	tc.expectAllocations(tc.cluster.Jobs["j-1"], 0)
	tc.cluster.Jobs["j-1"].NotBefore = tc.now + micro.Minute
	tc.submitScheduled("j-2", wire.JobArray, 1, 4)
	tc.startTasks(agent)
	tc.storedRecords["j-1"][0] = previousRecord // the release was to be stored later
	tc.failOver(2)
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if fmt.Sprint(agent.StartedTasks) != "[j-2/0]" {
		t.Fatalf("started %v, want only j-2/0: the machine has capacity for one task", agent.StartedTasks)
	}
	tc.expectAllocations(tc.cluster.Jobs["j-1"], 0)
}

// A heartbeat with an ended attempt reached the next leader before any other heartbeat. That leader
// treated it as an attempt missing from the records and stored it, and the leader after that
// started it again while the task was running on another machine.
func TestAttemptFromAStaleHeartbeatIsNeverStartedAgain(t *testing.T) {
	tc := newTestCluster(t)
	first := tc.addAgent("m1", "a")
	tc.submitScheduled("j-1", wire.JobArray, 1, 1)
	tc.heartbeat(first)
	stale := first.Heartbeat()
	first.ExitTask("j-1/0", 1, wire.CauseError)
	tc.heartbeat(first)
	tc.persist()
	tc.token++
	tc.heartbeat(first)
	tc.heartbeat(first) // the agent forgets the attempt
	tc.heartbeat(first)
	if len(first.Tasks) != 0 {
		t.Fatal("the agent still lists the attempt")
	}
	second := tc.addAgent("m2", "a")
	tc.cluster.Machines["m1"].QuarantinedUntil = tc.now + 60*micro.Minute
	tc.now += 20 * micro.Second
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(second)
	tc.heartbeat(second)
	tc.failOver(2)
	tc.reconcile(first, stale)
	tc.persist()
	tc.failOver(3)
	for range 3 {
		tc.heartbeat(first)
		tc.heartbeat(second)
	}
	if len(first.StartedTasks) != 1 || len(second.StartedTasks) != 1 {
		t.Fatalf("started %v and %v, want one task each", first.StartedTasks, second.StartedTasks)
	}
	if job := tc.cluster.Jobs["j-1"]; job.RunningTasks != 1 || job.AllocationCount != 1 {
		t.Fatalf("%d running tasks, %d allocations, want 1 each", job.RunningTasks, job.AllocationCount)
	}
}

// A dispatched start command that is delayed beyond the stop of its task may still take effect
// until the agent has seen a newer token.
func TestLateDispatchedStartOfAStoppedTaskKeepsItsAllocationUntilItCannotRun(t *testing.T) {
	tc, agent, job := newClusterWithTask(t, 1)
	late := tc.dispatchCommands(agent) // delayed in the network; the sender has timed out
	tc.cluster.FinalizeJob(job, true, tc.now)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 1) // not reported, but the start command may still take effect
	tc.token++
	tc.heartbeat(agent) // the agent receives the newer token
	tc.heartbeat(agent) // and reports it
	tc.expectAllocations(job, 0)
	if _, ok := agent.HandleDispatch(late); ok || len(agent.StartedTasks) != 0 {
		t.Fatal("the delayed start command took effect after its allocation was released")
	}
}

// A delayed copy of a dispatched start command would run an attempt again that the agent has
// forgotten. The agent is therefore told to forget it only after it has seen a newer token.
func TestLateCopyOfAStartIsRefusedAfterForget(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	tc.submitScheduled("j-1", wire.JobArray, 2, 1)
	commands := tc.dispatchCommands(agent)
	heartbeat, _ := agent.HandleDispatch(commands)
	tc.cluster.Reconcile(heartbeat, cluster.FromDispatchResponse, tc.now)
	agent.ExitTask("j-1/0", 1, wire.CauseDone)
	tc.heartbeat(agent)
	tc.persist()
	tc.heartbeat(agent)
	if len(agent.Tasks) != 2 {
		t.Fatal("attempt forgotten while a delayed copy of its start command could run it again")
	}
	if !tc.cluster.Machines["m1"].NeedsNewerToken(tc.token) {
		t.Fatal("no newer token is requested")
	}
	tc.token++
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if len(agent.Tasks) != 1 {
		t.Fatal("attempt not forgotten after the agent has seen a newer token")
	}
	if _, ok := agent.HandleDispatch(commands); ok {
		t.Fatal("the agent accepted the delayed copy")
	}
}

// The agent is the only one that knows of a completion until the completion is stored.
func TestCompletionIsForgottenOnlyAfterItIsStored(t *testing.T) {
	tc, agent, job := newClusterWithTask(t, 1)
	tc.heartbeat(agent)
	agent.ExitTask("j-1/0", 1, wire.CauseDone)
	tc.heartbeat(agent)
	tc.token++
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if len(agent.Tasks) != 1 {
		t.Fatal("attempt forgotten before its completion was stored")
	}
	if tc.status(job).State == wire.JobDone || len(tc.finishedJobs) != 1 {
		t.Fatalf("state %v before the final status is stored, requested for %v", tc.status(job).State, tc.finishedJobs)
	}
	tc.failOver(2)
	tc.heartbeat(agent)
	if tc.cluster.Jobs["j-1"].DoneTasks != 1 {
		t.Fatal("the next leader lost the completion")
	}
}

func TestStaleHeartbeatReleasesNothing(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 1, 1)
	stale := agent.Heartbeat() // overtaken in the network
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if _, outcome := tc.cluster.Reconcile(stale, cluster.FromHeartbeat, tc.now); outcome != cluster.Stale {
		t.Fatalf("outcome %v, want stale", outcome)
	}
	tc.expectAllocations(job, 1)
}

func TestNewLeaderWaitsForASuspectAgentsLeaseToExpire(t *testing.T) {
	tc, agent, _ := newClusterWithTask(t, 1)
	tc.heartbeat(agent)
	tc.failOver(2)
	other := tc.addAgent("m2", "a")
	job := tc.cluster.Jobs["j-1"]
	machine := tc.cluster.Machines["m1"]
	tc.now += leaseDuration
	if tc.cluster.LeaseExpired(machine, tc.now) {
		t.Fatal("lease expired within its duration after the failover")
	}
	tc.expectScheduled(0)
	tc.now += 2 * micro.Second
	if !agent.ExpireLease(tc.now) || !tc.cluster.LeaseExpired(machine, tc.now) {
		t.Fatal("the lease has not expired for both the agent and the leader")
	}
	tc.cluster.ExpireMachine(machine, tc.now)
	tc.expectAllocations(job, 0)
	tc.heartbeat(other)
	tc.expectScheduled(1)
}

func TestDelayedHeartbeatOfAnExpiredAgentEpochIsRefused(t *testing.T) {
	tc, agent, _ := newClusterWithTask(t, 1)
	tc.heartbeat(agent)
	delayed := agent.Heartbeat() // sent before the partition and delivered after it
	tc.now += leaseDuration + 2*micro.Second
	tc.cluster.ExpireMachine(tc.cluster.Machines["m1"], tc.now)
	if _, outcome := tc.cluster.Reconcile(delayed, cluster.FromHeartbeat, tc.now); outcome != cluster.Refused {
		t.Fatalf("outcome %v, want refused", outcome)
	}
}

func TestGangRestartsOnlyAfterAllMembersAreReleased(t *testing.T) {
	for _, started := range []bool{false, true} {
		tc := newTestCluster(t)
		first, second := tc.addAgent("m1", "a"), tc.addAgent("m2", "a")
		job := tc.submitScheduled("j-1", wire.Gang, 2, 4)
		tc.heartbeat(first)
		tc.heartbeat(second)
		if started {
			tc.heartbeat(first)
			tc.heartbeat(second)
		}
		first.LeaseStart = 0
		first.ExpireLease(tc.now + 2*leaseDuration) // its tasks have ended
		tc.heartbeat(first)
		tc.heartbeat(first)
		tc.expectAllocations(job, 1)
		tc.expectScheduled(0) // the other member still holds its allocation
		tc.token++
		tc.heartbeat(second)
		tc.heartbeat(second)
		tc.heartbeat(second)
		tc.expectAllocations(job, 0)
		tc.expectScheduled(2)
		if job.GangAttempt != 2 {
			t.Fatalf("gang attempt %d, want 2", job.GangAttempt)
		}
	}
}

func TestQuotaCountsStartsThatMayBeInFlight(t *testing.T) {
	tc := newTestCluster(t) // the team's limit is 8 CPUs
	for _, name := range []string{"m1", "m2", "m3"} {
		tc.addAgent(name, "a")
	}
	tc.submit("j-1", wire.JobArray, 3, 4)
	tc.expectScheduled(2)
	tc.persist()
	tc.failOver(2)
	tc.addAgent("m3", "a")
	tc.expectScheduled(0) // two start commands may still be in flight
	if team := tc.cluster.Teams["team"]; team.UsedCPU != 8 {
		t.Fatalf("%v CPUs of the quota used, want 8", team.UsedCPU)
	}
}

// A restored allocation was counted under no zone until its machine was described, and both tasks
// of a spread service were placed in one zone.
func TestSpreadHoldsForAllocationsInUnknownZones(t *testing.T) {
	tc := newTestCluster(t)
	m1 := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.Service, 2, 1)
	job.Spec.Spread = true
	tc.jobs[0].Spread = true
	tc.expectScheduled(1) // the other task must be placed in another zone
	tc.persist()
	for _, entry := range tc.storedRecords["j-1"][0].Allocations {
		if entry.Zone != "a" {
			t.Fatalf("recorded zone %q, want a", entry.Zone)
		}
	}
	for i := range tc.storedRecords["j-1"][0].Allocations {
		tc.storedRecords["j-1"][0].Allocations[i].Zone = "" // as in a record of an older version
	}
	tc.heartbeat(m1)
	tc.failOver(2)
	tc.addAgent("m2", "a")
	tc.expectScheduled(0)
	tc.addAgent("m3", "b")
	tc.expectScheduled(0) // the restored allocation may be in zone b as well
	tc.heartbeat(m1)
	tc.heartbeat(m1)
	tc.expectScheduled(1)
	if tasks := tc.cluster.Jobs["j-1"].AllocationsByZone["a"]; tasks != 1 {
		t.Fatalf("%d tasks counted in zone a, want 1", tasks)
	}
}

func TestUnknownTaskIsStoppedAndHoldsItsAllocation(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 1, 4)
	agent.Tasks[fake.AttemptKey{Task: "j-1/0", Attempt: 7}] = &wire.TaskStatus{
		Task: "j-1/0", Attempt: 7, State: wire.TaskRunning,
	}
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if job.Tasks[0].Attempt < 7 {
		t.Fatal("the attempt number of the reported task may be used again")
	}
	tc.addAgent("m2", "a")
	tc.persist()
	tc.token++
	tc.heartbeat(agent)
	tc.expectScheduled(1)
	if job.Tasks[0].Attempt != 8 {
		t.Fatalf("attempt %d, want 8", job.Tasks[0].Attempt)
	}
}

func TestFailingJobBacksOffAndFailingMachineIsQuarantined(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	for _, id := range []string{"j-1", "j-2"} {
		tc.submit(id, wire.JobArray, 1, 1)
	}
	tc.expectScheduled(2)
	tc.persist()
	tc.heartbeat(agent)
	agent.ExitTask("j-1/0", 1, wire.CauseError)
	agent.ExitTask("j-2/0", 1, wire.CauseError)
	tc.heartbeat(agent)
	if tc.cluster.Machines["m1"].Schedulable(tc.now) {
		t.Fatal("a machine on which two jobs failed is still schedulable")
	}
	job := tc.cluster.Jobs["j-1"]
	job.FailedOn["x"], job.FailedOn["y"] = true, true
	tc.addAgent("m2", "a")
	tc.now += 20 * micro.Second
	tc.expectScheduled(2)
}

func TestSlowMachineIsQuarantinedAndItsTasksMove(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	job := tc.submitScheduled("j-1", wire.JobArray, 2, 1)
	tc.startTasks(agent)
	machine := tc.cluster.Machines["m1"]
	checkOverruns := func() {
		for _, allocation := range machine.SortedAllocations() {
			tc.cluster.CheckOverrun(allocation, 10*micro.Second, tc.now)
		}
	}
	tc.now += 20 * micro.Second
	checkOverruns()
	if !machine.Schedulable(tc.now) {
		t.Fatal("machine quarantined although its tasks took only twice their expected run time")
	}
	tc.now += 10 * micro.Second
	checkOverruns()
	checkOverruns() // the first overrun is recorded before the machine counts as slow
	if machine.Schedulable(tc.now) {
		t.Fatal("slow machine is still schedulable")
	}
	tc.addAgent("m2", "a")
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 0)
	tc.expectScheduled(2)
	if len(tc.cluster.Machines["m2"].Allocations) != 2 {
		t.Fatal("the tasks of the slow machine did not move to m2")
	}
}

// After an outage longer than its lease, an agent answered a dispatch before it sent a heartbeat,
// and then hung. Its new epoch had just begun, but was treated as expired based on the last
// response to the previous epoch, so its tasks were started on another machine while they still ran
// on this one.
func TestLeaseOfAnEpochFirstSeenInADispatchResponseRunsFromThen(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	tc.now += leaseDuration + 10*micro.Second // no heartbeat is answered
	if !agent.ExpireLease(tc.now) {
		t.Fatal("the agent's lease has not expired")
	}
	tc.token++
	heartbeat, _ := agent.HandleDispatch(wire.Commands{FencingToken: wire.Count(tc.token), AgentEpoch: 2})
	tc.cluster.Reconcile(heartbeat, cluster.FromDispatchResponse, tc.now)
	job := tc.submitScheduled("j-1", wire.JobArray, 1, 1)
	agent.HandleDispatch(tc.dispatchCommands(agent))
	if len(agent.StartedTasks) != 1 {
		t.Fatal("the dispatched task was not started")
	}
	machine := tc.cluster.Machines["m1"]
	tc.now += leaseDuration - micro.Second
	if tc.cluster.LeaseExpired(machine, tc.now) {
		t.Fatal("lease expired within its duration after the epoch was first seen")
	}
	tc.now += 3 * micro.Second
	if !tc.cluster.LeaseExpired(machine, tc.now) {
		t.Fatal("lease not expired after its duration")
	}
	tc.expectAllocations(job, 1)
}

// Jobs submitted with a mistake fail on every machine. Two of them caused each machine on which
// both had failed to be quarantined. A faulty machine must still be detected alongside such jobs.
func TestNoMachineIsQuarantinedForJobsThatFailEverywhere(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.Teams["team"].CPULimit = 0
	agents := []*fake.Agent{tc.addAgent("m1", "a"), tc.addAgent("m2", "a"), tc.addAgent("m3", "a")}
	failTasks := func(id string, on ...*fake.Agent) {
		tc.persist()
		for _, agent := range agents {
			tc.heartbeat(agent)
			tc.heartbeat(agent)
		}
		for _, agent := range on {
			failTasksOf(agent, id)
			tc.heartbeat(agent)
		}
	}
	for _, id := range []string{"j-1", "j-2"} {
		job := tc.submit(id, wire.JobArray, 3, 4)
		tc.expectScheduled(3)
		failTasks(id, agents...)
		if job.NotBefore <= tc.now {
			t.Fatalf("%s is retried without backoff", id)
		}
	}
	if got := tc.quarantinedMachines(); got != "" {
		t.Fatalf("quarantined: %s, want none", got)
	}
	for _, machine := range tc.cluster.SortedMachines() {
		if machine.Name != "m1" {
			tc.cluster.SetCordoned(machine, true)
		}
	}
	for _, id := range []string{"j-3", "j-4"} {
		tc.submit(id, wire.JobArray, 1, 4)
		tc.expectScheduled(1)
		failTasks(id, agents[0])
		tc.token++ // exited attempts are forgotten
		tc.heartbeat(agents[0])
		tc.heartbeat(agents[0])
	}
	if got := tc.quarantinedMachines(); got != "m1 " {
		t.Fatalf("quarantined: %q, want only the faulty m1", got)
	}
}

// A large job failed on three faulty machines, and all its tasks were held back as if it failed on
// every machine, although others of its tasks had completed.
func TestJobWithACompletedTaskDoesNotFailEverywhere(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.Teams["team"].CPULimit = 0
	agents := []*fake.Agent{tc.addAgent("m1", "a"), tc.addAgent("m2", "a"), tc.addAgent("m3", "a"), tc.addAgent("m4", "a")}
	job := tc.submitScheduled("j-1", wire.JobArray, 4, 4)
	for i, agent := range agents {
		tc.heartbeat(agent)
		tc.heartbeat(agent)
		for key := range agent.Tasks {
			agent.ExitTask(key.Task, key.Attempt, []wire.ExitCause{wire.CauseDone, wire.CauseError}[min(i, 1)])
		}
		tc.heartbeat(agent)
	}
	if len(job.FailedOn) != 3 || job.NotBefore > tc.now {
		t.Fatalf("failed on %d machines, next try in %v, want 3 and none", len(job.FailedOn), job.NotBefore-tc.now)
	}
}
