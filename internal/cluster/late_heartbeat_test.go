package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// The heartbeats of the machine arrive, but no response and no command reaches it.
func TestMachineWithLostResponsesGetsNoTasksUntilTheyArrive(t *testing.T) {
	tc, agent, job := newClusterWithTask(t, 1)
	tc.startTasks(agent)
	machine := tc.cluster.Machines["m1"]
	for range 2 {
		tc.token++
		tc.now += 6 * micro.Second
		tc.heartbeatWithResponseLost(agent) // the heartbeat arrives, the response is lost
	}
	if machine.ResponsesLikelyLost() {
		t.Fatal("responses count as lost after one lost response, when the next heartbeat preceded the token")
	}
	for range 2 {
		tc.now += 6 * micro.Second
		tc.heartbeatWithResponseLost(agent)
	}
	if !machine.ResponsesLikelyLost() {
		t.Fatal("responses do not count as lost although three consecutive heartbeats lacked the token")
	}
	tc.cluster.SetResponsesLost(machine, true, tc.now)
	tc.submit("j-2", wire.JobArray, 1, 1)
	tc.expectScheduled(0)
	tc.expectAllocations(job, 1) // its task moves only once its allocation is proven released
	agent.Epoch++                // its lease expired because no response arrived
	clear(agent.Tasks)
	tc.heartbeatWithResponseLost(agent)
	tc.expectAllocations(job, 0)
	tc.expectScheduled(0)
	tc.heartbeat(agent) // now a response arrives
	tc.heartbeat(agent)
	tc.expectScheduled(2)
}

// Duplicates of heartbeats arrive seconds to minutes late. A duplicate of a heartbeat that was
// applied is older than the known state. A duplicate of a heartbeat that was lost appears to be
// new.
func TestDuplicateHeartbeatsDoNotProveLiveness(t *testing.T) {
	tc, agent, job := newClusterWithTask(t, 1)
	tc.heartbeat(agent)
	received := agent.Heartbeat()
	tc.reconcile(agent, received)
	lost := agent.Heartbeat()
	machine := tc.cluster.Machines["m1"]
	lastHeartbeat := machine.LastHeartbeat
	tc.now += 20 * micro.Second // the machine failed
	if _, outcome := tc.cluster.Reconcile(received, cluster.FromHeartbeat, tc.now); outcome != cluster.Stale {
		t.Fatalf("outcome %v, want stale", outcome)
	}
	if machine.LastHeartbeat != lastHeartbeat {
		t.Fatal("a duplicate of an applied heartbeat made a failed machine appear alive")
	}
	if tc.cluster.LeaseExpired(machine, tc.now+leaseDuration-micro.Second) {
		t.Fatal("lease expired although the agent may have accepted the response to the duplicate, which renews it")
	}
	machine.RequiredFencingToken = tc.token + 1
	tc.cluster.TransitionMachine(machine, cluster.Suspect, "no heartbeats")
	tc.cluster.Reconcile(lost, cluster.FromHeartbeat, tc.now)
	if machine.State != cluster.Suspect {
		t.Fatal("a delayed copy of a lost heartbeat made a failed machine appear alive")
	}
	tc.expectAllocations(job, 1)
	if !machine.NeedsNewerToken(tc.token) {
		t.Fatal("no newer token is requested to prove the machine alive")
	}
	tc.token++
	tc.heartbeat(agent) // it is still alive
	tc.heartbeat(agent)
	if machine.State != cluster.Up {
		t.Fatal("the machine is not up although it reported the new token")
	}
}

// A new leader has no newer heartbeat to compare with, and no list of terminated machines.
func TestDuplicateHeartbeatsToANewLeaderChangeNothing(t *testing.T) {
	tc, agent, _ := newClusterWithTask(t, 4)
	before := agent.Heartbeat() // sent before the start command arrived
	terminated := tc.addAgent("m0", "a")
	terminatedCopy := terminated.Heartbeat()
	for range 2 {
		tc.heartbeat(terminated)
		tc.heartbeat(agent)
	}
	tc.failOver(2)
	job := tc.cluster.Jobs["j-1"]
	tc.cluster.Reconcile(terminatedCopy, cluster.FromHeartbeat, tc.now)
	tc.cluster.Reconcile(before, cluster.FromHeartbeat, tc.now)
	if tc.cluster.Machines["m0"].State == cluster.Up {
		t.Fatal("a delayed heartbeat made a terminated machine appear alive")
	}
	tc.expectAllocations(job, 1) // the delayed heartbeat lacks the task, which releases nothing
	tc.submit("j-2", wire.JobArray, 1, 1)
	tc.expectScheduled(0) // and it offers no capacity
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 1)
	if job.RunningTasks != 1 {
		t.Fatal("the running task was not recognized")
	}
}

// A machine stops sending heartbeats for a short time and resumes, in the same agent epoch or the
// next one.
func TestReconnectedMachineKeepsItsAllocationsOnlyInTheSameAgentEpoch(t *testing.T) {
	for _, newEpoch := range []bool{false, true} {
		tc := newTestCluster(t)
		agent := tc.addAgent("m1", "a")
		job := tc.submit("j-1", wire.JobArray, 1, 4)
		tc.expectScheduled(1)
		tc.persist()
		tc.heartbeat(agent)
		tc.heartbeat(agent)
		machine := tc.cluster.Machines["m1"]
		machine.RequiredFencingToken = tc.token + 1
		tc.cluster.TransitionMachine(machine, cluster.Suspect, "no heartbeats")
		tc.token++
		if newEpoch {
			agent.Epoch, agent.Sequence = agent.Epoch+1, 0
			clear(agent.Tasks)
		}
		tc.heartbeat(agent)
		tc.heartbeat(agent)
		want := 1
		if newEpoch {
			want = 0
		}
		tc.expectAllocations(job, want)
		tc.expectScheduled(1 - want)
		if machine.State != cluster.Up || len(machine.Allocations) != 1 {
			t.Fatalf(
				"new epoch %v: machine is %v with %d allocations, want up with 1",
				newEpoch, machine.State, len(machine.Allocations),
			)
		}
	}
}

// A zone was partitioned. Until the heartbeats of its machines were overdue, tasks were placed
// there, and stayed there until the partition ended.
func TestMachineStaysUnreachableUntilItsNextHeartbeat(t *testing.T) {
	tc := newTestCluster(t)
	first, second := tc.addAgent("m1", "a"), tc.addAgent("m2", "b")
	tc.heartbeat(first)
	tc.heartbeat(second)
	unreachable, unanswered := tc.cluster.Machines["m1"], tc.cluster.Machines["m2"]
	tc.now += micro.Second
	tc.cluster.ZoneUnreachableSince["a"], unanswered.DispatchUnanswered = tc.now, true
	if tc.cluster.MachineReachable(unreachable) || tc.cluster.MachineReachable(unanswered) {
		t.Fatal("a machine in an unreachable zone or one that left a dispatch unanswered counts as reachable")
	}
	tc.now += micro.Second
	tc.heartbeat(first)
	tc.heartbeat(second)
	if !tc.cluster.MachineReachable(unreachable) || !tc.cluster.MachineReachable(unanswered) {
		t.Fatal("a machine that has sent a heartbeat since counts as unreachable")
	}
}
