package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A machine's heartbeats arrived, but no response and no command reached it.
func TestMachineWhoseResponsesAreLostTakesNoTasksUntilTheyArrive(t *testing.T) {
	tc, agent, job := newClusterWithTask(t, 1)
	tc.startTasks(agent)
	machine := tc.cluster.Machines["m1"]
	for range 2 {
		tc.token++
		tc.now += 6 * micro.Second
		tc.heartbeatWithResponseLost(agent) // its heartbeat comes, the response is lost
	}
	if machine.ResponsesLikelyLost() {
		t.Fatal("one lost answer is no sign: the report after it was sent before the token was told")
	}
	for range 2 {
		tc.now += 6 * micro.Second
		tc.heartbeatWithResponseLost(agent)
	}
	if !machine.ResponsesLikelyLost() {
		t.Fatal("three reports in a row had not seen the token, and it passes for one that hears")
	}
	tc.cluster.SetResponsesLost(machine, true, tc.now)
	tc.submit("j-2", wire.JobArray, 1, 1)
	tc.expectScheduled(0)
	tc.expectAllocations(job, 1) // what it runs goes elsewhere only once proven released
	agent.Epoch++                // its lease ran out, since no response arrived
	clear(agent.Tasks)
	tc.heartbeatWithResponseLost(agent)
	tc.expectAllocations(job, 0)
	tc.expectScheduled(0)
	tc.heartbeat(agent) // now a response arrives
	tc.heartbeat(agent)
	tc.expectScheduled(2)
}

// Copies of heartbeats come seconds to minutes late. A copy of a heartbeat that was
// read is older than what is known; one of a heartbeat that was lost looks new.
func TestDuplicateHeartbeatsAreNoProofOfLife(t *testing.T) {
	tc, agent, job := newClusterWithTask(t, 1)
	tc.heartbeat(agent)
	received := agent.Heartbeat()
	tc.reconcile(agent, received)
	lost := agent.Heartbeat()
	machine := tc.cluster.Machines["m1"]
	lastHeartbeat := machine.LastHeartbeat
	tc.now += 20 * micro.Second // the machine died
	if _, outcome := tc.cluster.Reconcile(received, cluster.FromHeartbeat, tc.now); outcome != cluster.Stale {
		t.Fatalf("verdict %v", outcome)
	}
	if machine.LastHeartbeat != lastHeartbeat {
		t.Fatal("a copy of a report that was read made a silent machine look alive")
	}
	if tc.cluster.LeaseExpired(machine, tc.now+leaseDuration-micro.Second) {
		t.Fatal("the worker may have taken the answer to the copy: its lease counts from it")
	}
	machine.RequiredFencingToken = tc.token + 1
	tc.cluster.TransitionMachine(machine, cluster.Suspect, "no reports")
	tc.cluster.Reconcile(lost, cluster.FromHeartbeat, tc.now)
	if machine.State != cluster.Suspect {
		t.Fatal("a copy of a lost report revived a silent machine")
	}
	tc.expectAllocations(job, 1)
	if !machine.NeedsNewerToken(tc.token) {
		t.Fatal("nobody asks for the token that would prove it alive")
	}
	tc.token++
	tc.heartbeat(agent) // it lives after all
	tc.heartbeat(agent)
	if machine.State != cluster.Up {
		t.Fatal("its echo of the new token is proof of life")
	}
}

// A new leader knows no newer heartbeat, and no list of machines that are gone.
func TestDuplicateHeartbeatsToANewLeaderChangeNothing(t *testing.T) {
	tc, agent, _ := newClusterWithTask(t, 4)
	before := agent.Heartbeat() // sent before the start arrived
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
		t.Fatal("a late copy revived a machine")
	}
	tc.expectAllocations(job, 1) // the copy lacks the task, which frees nothing
	tc.submit("j-2", wire.JobArray, 1, 1)
	tc.expectScheduled(0) // and it offers no capacity
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 1)
	if job.RunningTasks != 1 {
		t.Fatal("the running task was not found")
	}
}

// Silent for a moment and back, in the same epoch or the next.
func TestReturningMachineKeepsItsAllocationsOnlyInTheSameAgentEpoch(t *testing.T) {
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
		tc.cluster.TransitionMachine(machine, cluster.Suspect, "no reports")
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
			t.Fatalf("next session %v: %v with %d places", newEpoch, machine.State, len(machine.Allocations))
		}
	}
}

// A zone was partitioned. Until its machines' heartbeats were overdue, work was placed
// there, and stayed until the cut ended.
func TestUnreachableMachinesTakeNoTasksUntilTheirNextHeartbeat(t *testing.T) {
	tc := newTestCluster(t)
	first, second := tc.addAgent("m1", "a"), tc.addAgent("m2", "b")
	tc.heartbeat(first)
	tc.heartbeat(second)
	unreachable, unanswered := tc.cluster.Machines["m1"], tc.cluster.Machines["m2"]
	tc.now += micro.Second
	tc.cluster.ZoneUnreachableSince["a"], unanswered.DispatchUnanswered = tc.now, true
	if tc.cluster.MachineReachable(unreachable) || tc.cluster.MachineReachable(unanswered) {
		t.Fatal("one is in a zone that fell silent, the other left an order unanswered")
	}
	tc.now += micro.Second
	tc.heartbeat(first)
	tc.heartbeat(second)
	if !tc.cluster.MachineReachable(unreachable) || !tc.cluster.MachineReachable(unanswered) {
		t.Fatal("both were heard since")
	}
}
