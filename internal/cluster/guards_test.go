package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A heartbeat is reconciled with what is known: a task that was seen on the machine, and
// that a newer heartbeat lacks, is gone.
func TestObservedTaskMissingFromANewerHeartbeatIsReleased(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 1, 1)
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(agent)
	tc.heartbeat(agent) // shows the task
	tc.expectAllocations(job, 1)
	clear(agent.Tasks)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 0)
}

// A start may be on its way in the answer to a heartbeat. That the answer to a dispatched command
// lacks the task, under whatever token, does not show that it cannot begin: only the next
// report does.
func TestDispatchResponseReleasesNoStartThatAHeartbeatResponseCarries(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 1, 1)
	tc.expectScheduled(1)
	tc.persist()
	machine, _ := tc.cluster.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, tc.now)
	if o := tc.cluster.Commands(machine, tc.token, false, tc.now); len(o) != 1 || o[0].Kind != wire.CommandStart {
		t.Fatalf("the answer carries %v", o)
	}
	tc.cluster.FinalizeJob(job, true, tc.now)
	tc.token++
	heartbeat, ok := agent.HandleDispatch(wire.Commands{FencingToken: wire.Count(tc.token), AgentEpoch: 1})
	if !ok {
		t.Fatal("the direct order is refused")
	}
	tc.cluster.Reconcile(heartbeat, cluster.FromDispatchResponse, tc.now)
	tc.expectAllocations(job, 1)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 0)
}

// An uncertain or older write of a record says nothing of an allocation that was taken after
// it: no start goes out that the next leader cannot know of.
func TestOlderWriteOfARecordReleasesNoLaterStart(t *testing.T) {
	tc := newTestCluster(t)
	first := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 2, 4)
	tc.expectScheduled(1)
	written := job.Chunk(0).MemoryVersion
	second := tc.addAgent("m2", "a")
	tc.expectScheduled(1)
	tc.cluster.ChunkPersisted(job.Chunk(0), written)
	if n, m := len(tc.dispatchCommands(first).Items), len(tc.dispatchCommands(second).Items); n != 1 || m != 0 {
		t.Fatalf("%d and %d starts go out, want 1 and 0", n, m)
	}
	tc.cluster.ChunkPersisted(job.Chunk(0), job.Chunk(0).MemoryVersion)
	if n := len(tc.dispatchCommands(second).Items); n != 1 {
		t.Fatalf("%d starts go out once the later record is written", n)
	}
}

// A late heartbeat does not bring back a machine that the cloud says is gone, and one of a
// machine that is to be returned frees nothing.
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
		t.Errorf("returning: verdict %v", outcome)
	}
	tc.expectAllocations(job, 1)
	tc.cluster.RemoveMachine(machine, tc.now)
	tc.expectAllocations(job, 0)
	if got, outcome := tc.cluster.Reconcile(
		agent.Heartbeat(), cluster.FromHeartbeat, tc.now,
	); outcome != cluster.Refused || got != nil ||
		tc.cluster.Machines["m1"] != nil {
		t.Errorf("gone: verdict %v, known again: %v", outcome, tc.cluster.Machines["m1"] != nil)
	}
}

// An agent's lease counts from the latest of all times at which somebody may have
// renewed it.
func TestLeaseExpiryCountsFromTheLatestPossibleRenewal(t *testing.T) {
	const from = 200 * micro.Second
	for _, c := range []struct {
		name string
		set  func(tc *testCluster, machine *cluster.Machine)
	}{
		{"a report was answered", func(_ *testCluster, machine *cluster.Machine) { machine.LeaseRenewedAt = from }},
		{"another leader may have answered until the takeover", func(tc *testCluster, _ *cluster.Machine) { tc.cluster.TermStartedAt = from }},
		{"a keeper of its zone may have renewed it", func(tc *testCluster, _ *cluster.Machine) { tc.cluster.ProxyRenewedUntil["a"] = from }},
	} {
		tc := newTestCluster(t)
		tc.addAgent("m1", "a")
		machine := tc.cluster.Machines["m1"]
		c.set(tc, machine)
		if tc.cluster.LeaseExpired(machine, from+tc.cluster.LeaseDuration) {
			t.Errorf("%s: over within a lease", c.name)
		}
		if !tc.cluster.LeaseExpired(machine, from+tc.cluster.LeaseDuration+1) {
			t.Errorf("%s: never over", c.name)
		}
	}
}

// Machines that another controller answered until now: their leases count from now, and
// they count as up once they have shown a token of this controller's.
func TestAcquiredMachineMayHaveHadItsLeaseRenewedUntilNow(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	machine := tc.cluster.Machines["m1"]
	tc.now += 20 * micro.Second
	tc.cluster.RaiseMinFencingToken(9 << 24)
	tc.cluster.AcquireMachine(machine, tc.now)
	if machine.State == cluster.Up || tc.cluster.LeaseExpired(machine, tc.now+tc.cluster.LeaseDuration) {
		t.Fatalf(
			"state %v, lease over within a lease of the change: %v",
			machine.State,
			tc.cluster.LeaseExpired(machine, tc.now+tc.cluster.LeaseDuration),
		)
	}
	tc.token = 9 << 24
	tc.heartbeat(agent)
	if machine.State == cluster.Up {
		t.Error("a report that has seen no token of this controller's counts as a sign of life")
	}
	tc.heartbeat(agent)
	if machine.State != cluster.Up {
		t.Error("never up")
	}
}
