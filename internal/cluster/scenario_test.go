package cluster_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

func TestLeaderLostBetweenPersistAndStart(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	tc.submit("j-1", wire.JobArray, 1, 1)
	tc.expectScheduled(1)
	if commands := tc.dispatchCommands(agent); len(commands.Items) != 0 {
		t.Fatal("a start went out before its record was written")
	}
	tc.persist()
	tc.failOver(2) // the start was never sent
	job := tc.cluster.Jobs["j-1"]
	tc.expectAllocations(job, 1)
	tc.expectScheduled(0)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 1) // that heartbeat may be older than a start of the last term
	tc.expectScheduled(0)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 0)
	if len(agent.StartedTasks) != 0 {
		t.Fatalf("a place of the last term was started: %v", agent.StartedTasks)
	}
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if len(agent.StartedTasks) != 1 || job.RunningTasks != 1 || job.Tasks[0].Attempt != 2 {
		t.Fatalf("started %v, running %d, attempt %d", agent.StartedTasks, job.RunningTasks, job.Tasks[0].Attempt)
	}
}

// A leader gave an allocation up that had never been started and used the quota for
// another, whose record it wrote first. The next leader read both, and started
// both: the team was over its quota.
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
	tc.storedRecords["j-1"][0] = previousRecord // what it gave up was to be written later
	tc.failOver(2)
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if fmt.Sprint(agent.StartedTasks) != "[j-2/0]" {
		t.Fatalf("started %v on one machine with room for one", agent.StartedTasks)
	}
	tc.expectAllocations(tc.cluster.Jobs["j-1"], 0)
}

// A heartbeat of an earlier attempt reached the next leader before any other. It took
// the attempt for one that the records lacked, wrote it down, and the leader after
// that started it once more, while the task ran elsewhere.
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
	tc.heartbeat(first) // forgotten
	tc.heartbeat(first)
	if len(first.Tasks) != 0 {
		t.Fatal("the worker still knows the attempt")
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
		t.Fatalf("started %v and %v", first.StartedTasks, second.StartedTasks)
	}
	if job := tc.cluster.Jobs["j-1"]; job.RunningTasks != 1 || job.AllocationCount != 1 {
		t.Fatalf("running %d, places %d", job.RunningTasks, job.AllocationCount)
	}
}

func TestLateDispatchedStartAfterAStopHoldsItsAllocationUntilItCannotRun(t *testing.T) {
	tc, agent, job := newClusterWithTask(t, 1)
	late := tc.dispatchCommands(agent) // held in the network, sender has given up
	tc.cluster.FinalizeJob(job, true, tc.now)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 1) // absent, but the start may still run
	tc.token++
	tc.heartbeat(agent) // the agent sees the newer token
	tc.heartbeat(agent) // and says so
	tc.expectAllocations(job, 0)
	if _, ok := agent.HandleDispatch(late); ok || len(agent.StartedTasks) != 0 {
		t.Fatal("the late start ran after its place was given up")
	}
}

func TestLateCopyOfAStartIsHarmlessAfterForget(t *testing.T) {
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
		t.Fatal("forgotten while a late copy of its start could run it again")
	}
	if !tc.cluster.Machines["m1"].NeedsNewerToken(tc.token) {
		t.Fatal("nobody asks for a newer token")
	}
	tc.token++
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if len(agent.Tasks) != 1 {
		t.Fatal("never forgotten")
	}
	if _, ok := agent.HandleDispatch(commands); ok {
		t.Fatal("the late copy ran")
	}
}

func TestDoneIsForgottenOnlyOnceItIsInTheStore(t *testing.T) {
	tc, agent, job := newClusterWithTask(t, 1)
	tc.heartbeat(agent)
	agent.ExitTask("j-1/0", 1, wire.CauseDone)
	tc.heartbeat(agent)
	tc.token++
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if len(agent.Tasks) != 1 {
		t.Fatal("forgotten before the completion was written")
	}
	if job.Status().State == wire.JobDone || len(tc.finishedJobs) != 1 {
		t.Fatalf("state %v before the end is written, ends asked for: %v", job.Status().State, tc.finishedJobs)
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
	stale := agent.Heartbeat() // overtaken on its way
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	if _, outcome := tc.cluster.Reconcile(stale, cluster.FromHeartbeat, tc.now); outcome != cluster.Stale {
		t.Fatalf("verdict %v", outcome)
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
		t.Fatal("given up within a lease of the takeover")
	}
	tc.expectScheduled(0)
	tc.now += 2 * micro.Second
	if !agent.ExpireLease(tc.now) || !tc.cluster.LeaseExpired(machine, tc.now) {
		t.Fatal("the lease should be over on both sides")
	}
	tc.cluster.ExpireMachine(machine, tc.now)
	tc.expectAllocations(job, 0)
	tc.heartbeat(other)
	tc.expectScheduled(1)
}

func TestDelayedHeartbeatOfAnExpiredAgentEpochIsRefused(t *testing.T) {
	tc, agent, _ := newClusterWithTask(t, 1)
	tc.heartbeat(agent)
	delayed := agent.Heartbeat() // sent before the cut, delivered after it
	tc.now += leaseDuration + 2*micro.Second
	tc.cluster.ExpireMachine(tc.cluster.Machines["m1"], tc.now)
	if _, outcome := tc.cluster.Reconcile(delayed, cluster.FromHeartbeat, tc.now); outcome != cluster.Refused {
		t.Fatalf("verdict %v", outcome)
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
		first.ExpireLease(tc.now + 2*leaseDuration) // its tasks are gone
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
			t.Fatalf("attempt %d", job.GangAttempt)
		}
	}
}

func TestQuotaCountsUnsettledStarts(t *testing.T) {
	tc := newTestCluster(t) // the team may use 8 CPUs
	for _, name := range []string{"m1", "m2", "m3"} {
		tc.addAgent(name, "a")
	}
	tc.submit("j-1", wire.JobArray, 3, 4)
	tc.expectScheduled(2)
	tc.persist()
	tc.failOver(2)
	tc.addAgent("m3", "a")
	tc.expectScheduled(0) // two starts may still be under way
	if team := tc.cluster.Teams["team"]; team.UsedCPU != 8 {
		t.Fatalf("%v CPUs counted", team.UsedCPU)
	}
}

// A restored allocation was counted under no zone until its machine was described,
// and a spread service put both tasks into one zone.
func TestSpreadHoldsForAllocationsInUnknownZones(t *testing.T) {
	tc := newTestCluster(t)
	m1 := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.Service, 2, 1)
	job.Spec.Spread = true
	tc.jobs[0].Spread = true
	tc.expectScheduled(1) // the other must go to another zone
	tc.persist()
	for _, entry := range tc.storedRecords["j-1"][0].Allocations {
		if entry.Zone != "a" {
			t.Fatalf("recorded zone %q", entry.Zone)
		}
	}
	for i := range tc.storedRecords["j-1"][0].Allocations {
		tc.storedRecords["j-1"][0].Allocations[i].Zone = "" // as an older record
	}
	tc.heartbeat(m1)
	tc.failOver(2)
	tc.addAgent("m2", "a")
	tc.expectScheduled(0)
	tc.addAgent("m3", "b")
	tc.expectScheduled(0) // it may be in b as well
	tc.heartbeat(m1)
	tc.heartbeat(m1)
	tc.expectScheduled(1)
	if tasks := tc.cluster.Jobs["j-1"].AllocationsByZone["a"]; tasks != 1 {
		t.Fatalf("%d tasks in zone a", tasks)
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
		t.Fatal("its attempt number may be used again")
	}
	tc.addAgent("m2", "a")
	tc.persist()
	tc.token++
	tc.heartbeat(agent)
	tc.expectScheduled(1)
	if job.Tasks[0].Attempt != 8 {
		t.Fatalf("attempt %d", job.Tasks[0].Attempt)
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
		t.Fatal("two jobs failed there and it is still used")
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
		t.Fatal("avoided though its tasks are only twice late")
	}
	tc.now += 10 * micro.Second
	checkOverruns()
	checkOverruns() // the first of them is counted before the machine is known as slow
	if machine.Schedulable(tc.now) {
		t.Fatal("still used")
	}
	tc.addAgent("m2", "a")
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 0)
	tc.expectScheduled(2)
	if len(tc.cluster.Machines["m2"].Allocations) != 2 {
		t.Fatal("its tasks did not move")
	}
}

// After an outage that outlived its lease, an agent responded to a dispatch before
// it sent a heartbeat, and hung then. Its epoch had just begun, and was given up by the
// last response to the epoch before: its tasks started elsewhere beside it.
func TestLeaseOfAnAgentEpochSeenInADispatchResponseCountsFromThen(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	tc.now += leaseDuration + 10*micro.Second // nobody responds
	if !agent.ExpireLease(tc.now) {
		t.Fatal("its lease should have run out")
	}
	tc.token++
	heartbeat, _ := agent.HandleDispatch(wire.Commands{FencingToken: wire.Count(tc.token), AgentEpoch: 2})
	tc.cluster.Reconcile(heartbeat, cluster.FromDispatchResponse, tc.now)
	job := tc.submitScheduled("j-1", wire.JobArray, 1, 1)
	agent.HandleDispatch(tc.dispatchCommands(agent))
	if len(agent.StartedTasks) != 1 {
		t.Fatal("not started")
	}
	machine := tc.cluster.Machines["m1"]
	tc.now += leaseDuration - micro.Second
	if tc.cluster.LeaseExpired(machine, tc.now) {
		t.Fatal("given up within the lease of its session")
	}
	tc.now += 3 * micro.Second
	if !tc.cluster.LeaseExpired(machine, tc.now) {
		t.Fatal("never given up")
	}
	tc.expectAllocations(job, 1)
}

// Jobs with a mistake fail on every machine. Two of them had each machine avoided
// on which both had failed; a faulty machine beside them must still be found.
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
			t.Fatalf("%s is tried again at once", id)
		}
	}
	if got := tc.quarantinedMachines(); got != "" {
		t.Fatalf("avoided: %s", got)
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
		tc.token++ // exits are forgotten
		tc.heartbeat(agents[0])
		tc.heartbeat(agents[0])
	}
	if got := tc.quarantinedMachines(); got != "m1 " {
		t.Fatalf("avoided: %q, want the faulty one", got)
	}
}

// A large job met three faulty machines, and all its tasks waited as if it failed
// everywhere, though others had completed.
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
		t.Fatalf("failed on %d, waits until %v", len(job.FailedOn), job.NotBefore-tc.now)
	}
}
