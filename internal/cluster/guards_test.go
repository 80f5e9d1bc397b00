package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A task that was observed on a machine and is missing from a newer heartbeat no longer runs there,
// so its allocation is released.
func TestObservedTaskMissingFromANewerHeartbeatIsReleased(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 1, 1)
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(agent)
	tc.heartbeat(agent) // reports the task
	tc.expectAllocations(job, 1)
	clear(agent.Tasks)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 0)
}

// A start command may be in flight in the response to a heartbeat. If the response to a dispatch
// lacks the task, under whatever token, that does not prove that the task cannot start. Only the
// next heartbeat does.
func TestDispatchResponseDoesNotReleaseAStartInAHeartbeatResponse(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 1, 1)
	tc.expectScheduled(1)
	tc.persist()
	machine, _ := tc.cluster.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, tc.now)
	if items := tc.cluster.Commands(machine, tc.token, false, tc.now); len(items) != 1 ||
		items[0].Kind != wire.CommandStart {
		t.Fatalf("the response to the heartbeat contains %v, want a start command", items)
	}
	tc.cluster.FinalizeJob(job, true, tc.now)
	tc.token++
	heartbeat, ok := agent.HandleDispatch(wire.Commands{FencingToken: wire.Count(tc.token), AgentEpoch: 1})
	if !ok {
		t.Fatal("the agent refused the dispatch")
	}
	tc.cluster.Reconcile(heartbeat, cluster.FromDispatchResponse, tc.now)
	tc.expectAllocations(job, 1)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 0)
}

// A write of a chunk record that is older than an allocation does not persist that allocation. Its
// start command must not be sent, because the next leader would not know of it.
func TestOlderRecordWriteDoesNotPermitALaterStart(t *testing.T) {
	tc := newTestCluster(t)
	first := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 2, 4)
	tc.expectScheduled(1)
	written := job.Chunk(0).MemoryVersion
	second := tc.addAgent("m2", "a")
	tc.expectScheduled(1)
	tc.cluster.ChunkPersisted(job.Chunk(0), written)
	if n, m := len(tc.dispatchCommands(first).Items), len(tc.dispatchCommands(second).Items); n != 1 || m != 0 {
		t.Fatalf("%d and %d start commands are sent, want 1 and 0", n, m)
	}
	tc.cluster.ChunkPersisted(job.Chunk(0), job.Chunk(0).MemoryVersion)
	if n := len(tc.dispatchCommands(second).Items); n != 1 {
		t.Fatalf("%d start commands are sent after the later record is stored, want 1", n)
	}
}

// A late heartbeat does not restore a machine that was terminated according to the cloud, and a
// heartbeat of a machine that is being terminated releases nothing.
func TestHeartbeatOfATerminatingOrTerminatedMachineIsRefused(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 1, 1)
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	machine := tc.cluster.Machines["m1"]
	tc.cluster.TransitionMachine(machine, cluster.Terminating, "test")
	clear(agent.Tasks)
	if _, outcome := tc.cluster.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, tc.now); outcome != cluster.Refused {
		t.Errorf("terminating machine: outcome %v, want refused", outcome)
	}
	tc.expectAllocations(job, 1)
	tc.cluster.RemoveMachine(machine, tc.now)
	tc.expectAllocations(job, 0)
	if got, outcome := tc.cluster.Reconcile(
		agent.Heartbeat(), cluster.FromHeartbeat, tc.now,
	); outcome != cluster.Refused || got != nil ||
		tc.cluster.Machines["m1"] != nil {
		t.Errorf(
			"terminated machine: outcome %v, want refused; machine restored: %v",
			outcome, tc.cluster.Machines["m1"] != nil,
		)
	}
}

// An agent's lease runs from the latest time at which it may have been renewed.
func TestLeaseExpiryCountsFromTheLatestPossibleRenewal(t *testing.T) {
	const from = 200 * micro.Second
	for _, c := range []struct {
		name string
		set  func(tc *testCluster, machine *cluster.Machine)
	}{
		{"answered heartbeat", func(_ *testCluster, machine *cluster.Machine) { machine.LeaseRenewedAt = from }},
		{"previous leader until failover", func(tc *testCluster, _ *cluster.Machine) { tc.cluster.TermStartedAt = from }},
		{"lease proxy of the zone", func(tc *testCluster, _ *cluster.Machine) { tc.cluster.ProxyRenewedUntil["a"] = from }},
	} {
		tc := newTestCluster(t)
		tc.addAgent("m1", "a")
		machine := tc.cluster.Machines["m1"]
		c.set(tc, machine)
		if tc.cluster.LeaseExpired(machine, from+tc.cluster.LeaseDuration) {
			t.Errorf("%s: expired before the lease duration has passed", c.name)
		}
		if !tc.cluster.LeaseExpired(machine, from+tc.cluster.LeaseDuration+1) {
			t.Errorf("%s: not expired after the lease duration", c.name)
		}
	}
}

// The agents of machines that another controller answered until now have leases that run from now
// on. They are considered up once they have reported a token of this controller.
func TestLeaseOfAnAcquiredMachineRunsFromTheTransfer(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	machine := tc.cluster.Machines["m1"]
	tc.now += 20 * micro.Second
	tc.cluster.RaiseMinFencingToken(9 << 24)
	tc.cluster.AcquireMachine(machine, tc.now)
	if machine.State == cluster.Up || tc.cluster.LeaseExpired(machine, tc.now+tc.cluster.LeaseDuration) {
		t.Fatalf(
			"state %v, lease expired within its duration after the transfer: %v",
			machine.State,
			tc.cluster.LeaseExpired(machine, tc.now+tc.cluster.LeaseDuration),
		)
	}
	tc.token = 9 << 24
	tc.heartbeat(agent)
	if machine.State == cluster.Up {
		t.Error("a heartbeat without a token of this controller was taken as proof of liveness")
	}
	tc.heartbeat(agent)
	if machine.State != cluster.Up {
		t.Error("the machine is not up after it reported a token of this controller")
	}
}
