package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// newClusterAtQuota returns a cluster whose team has used its quota of 8 CPUs for the tasks of j-1,
// one running on m1 and one on m2. m3 is empty, and j-2 waits for quota.
func newClusterAtQuota(t *testing.T) (tc *testCluster, m1, m2 *fake.Agent) {
	t.Helper()
	tc = newTestCluster(t)
	m1, m2 = tc.addAgent("m1", "a"), tc.addAgent("m2", "a")
	tc.submitScheduled("j-1", wire.JobArray, 2, 4)
	tc.heartbeat(m1)
	tc.heartbeat(m2)
	tc.heartbeat(m1)
	tc.heartbeat(m2)
	tc.addAgent("m3", "a")
	tc.submit("j-2", wire.JobArray, 2, 4)
	tc.expectScheduled(0)
	return tc, m1, m2
}

// failOverWithAgent starts a new leader that reads j-1's final status from the store before its
// allocations, and receives heartbeats from the given agent only.
func (tc *testCluster) failOverWithAgent(revision uint64, agent *fake.Agent) {
	tc.startTerm(revision)
	for _, spec := range tc.jobs {
		job := tc.cluster.AddJob(spec, tc.now)
		if spec.ID == "j-1" {
			tc.cancel()
		}
		for index, record := range tc.storedRecords[spec.ID] {
			tc.cluster.RestoreChunk(job, index, &record, 1, tc.now)
		}
	}
	tc.cluster.FinishRestore(tc.now)
	tc.heartbeat(agent)
	tc.heartbeat(agent)
}

// The machines of a cancelled job are partitioned. Under each new leader, the quota includes the
// tasks that may still run there until their leases have expired. Each leader has to count them
// again.
func TestQuotaCountsPartitionedAllocationsUnderEachLeader(t *testing.T) {
	tc, _, _ := newClusterAtQuota(t)
	m3 := fake.NewAgent("m3", "small", "a", leaseDuration)
	tc.cancel()
	tc.expectQuotaUsed(8)
	for revision := uint64(2); revision < 6; revision++ {
		tc.now += 20 * micro.Second
		m3.LeaseStart = tc.now
		tc.failOverWithAgent(revision, m3)
		tc.expectQuotaUsed(8)
		tc.expectScheduled(0)
	}
	tc.expireLeases("m1", "m2")
	tc.expectQuotaUsed(0)
	tc.heartbeat(m3)
	tc.expectScheduled(1) // m3 has capacity for one task
	tc.expectQuotaUsed(4)
}

// A machine hangs and resumes within its lease, and its task ends then. The quota is free at the
// first scheduling pass after that proof, and not before.
func TestQuotaCountsHungTasksUntilProvenReleased(t *testing.T) {
	tc, m1, m2 := newClusterAtQuota(t)
	tc.cancel()
	tc.failOverWithAgent(2, m2) // m2 stops its task and reports it
	tc.expectQuotaUsed(4)
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(m2) // delivers the start command
	tc.now += 5 * micro.Second
	tc.failOverWithAgent(3, m2)
	tc.expectQuotaUsed(8) // the hung task and the allocation that the previous leader made
	tc.expectScheduled(0)
	tc.heartbeat(m1) // m1 receives the stop command
	tc.expectQuotaUsed(8)
	tc.expectScheduled(0)
	tc.heartbeat(m1) // and reports that the task has ended
	tc.expectQuotaUsed(4)
	tc.expectScheduled(1)
	tc.expectQuotaUsed(8)
}

// A dispatched start command that was left unanswered may take effect until the agent has seen a
// newer token, regardless of its heartbeats and of the leader that receives them.
func TestQuotaCountsUnansweredDispatchedStarts(t *testing.T) {
	tc := newTestCluster(t)
	agent, other := tc.addAgent("m1", "a"), tc.addAgent("m2", "a")
	tc.submit("j-1", wire.JobArray, 1, 4)
	tc.submit("j-2", wire.JobArray, 2, 4)
	tc.cluster.Machines["m2"].DispatchUnanswered = true
	tc.expectScheduled(1)
	tc.persist()
	delayed := tc.dispatchCommands(agent) // in flight, but the sender has timed out
	tc.cluster.Machines["m1"].DispatchUnanswered = true
	tc.cancel()
	tc.failOver(2)
	tc.cancel()
	tc.expectQuotaUsed(4)
	if machine, outcome := tc.cluster.Reconcile(
		agent.Heartbeat(), cluster.FromHeartbeat, tc.now,
	); outcome != cluster.Applied ||
		machine.State == cluster.Up {
		t.Fatalf("outcome %v, machine %v after a heartbeat that may be a delayed copy", outcome, machine.State)
	}
	tc.expectQuotaUsed(4) // not reported, but the start command may still take effect
	tc.heartbeat(other)
	tc.heartbeat(other)
	tc.expectScheduled(1)
	tc.expectQuotaUsed(8)
	tc.expectScheduled(0)
	tc.heartbeat(agent) // receives the token of this term
	tc.expectQuotaUsed(8)
	tc.heartbeat(agent) // and reports it
	tc.expectQuotaUsed(4)
	if _, ok := agent.HandleDispatch(delayed); ok || len(agent.StartedTasks) != 0 {
		t.Fatal("the delayed start command took effect after its allocation was released")
	}
	tc.expectScheduled(1)
	tc.expectQuotaUsed(8)
}

// A job that was cancelled under one leader stays cancelled under the next, which knows it from the
// records. An allocation on a machine that has not been described yet counts as well.
func TestQuotaCountsAllocationsOnMachinesRegisteringAfterFailover(t *testing.T) {
	tc, m1, m2 := newClusterAtQuota(t)
	tc.failOver(2)
	tc.expectQuotaUsed(8)
	tc.cancel()
	tc.expectQuotaUsed(8)
	tc.addAgent("m4", "a")
	tc.expectScheduled(0)
	m1.Epoch++ // its lease expired meanwhile, so all its tasks have ended
	clear(m1.Tasks)
	tc.heartbeat(m1)
	tc.expectQuotaUsed(4)
	tc.expectScheduled(1)
	tc.expectQuotaUsed(8)
	tc.heartbeat(m2)
	tc.heartbeat(m2)
	tc.expectQuotaUsed(4)
}
