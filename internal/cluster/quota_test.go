package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// newClusterAtQuota is a site whose team's quota of 8 CPUs is used up by a job on m1 and m2,
// each of whose tasks runs there; m3 stands empty, and j-2 waits for the quota.
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

// failOverWithAgent is a new leader that finds j-1's final status in the store, before its
// allocations, and hears from the given agent only.
func (tc *testCluster) failOverWithAgent(revision uint64, agent *fake.Agent) {
	tc.startTerm(revision)
	for _, spec := range tc.jobs {
		job := tc.cluster.AddJob(spec, tc.now, tc.now)
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

// The machines of a cancelled job are partitioned: whichever leader comes, the quota
// counts what may still run there until the lease is out, counted anew by each.
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
	tc.expectScheduled(1) // m3 has capacity for one
	tc.expectQuotaUsed(4)
}

// A machine hangs and comes back within its lease: its task ends then, and the
// quota is free at the next pass after that proof, not before.
func TestQuotaCountsHungTasksUntilProvenReleased(t *testing.T) {
	tc, m1, m2 := newClusterAtQuota(t)
	tc.cancel()
	tc.failOverWithAgent(2, m2) // its task is stopped, and shown to be
	tc.expectQuotaUsed(4)
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(m2) // the start
	tc.now += 5 * micro.Second
	tc.failOverWithAgent(3, m2)
	tc.expectQuotaUsed(8) // what hangs, and the allocation that the last leader gave
	tc.expectScheduled(0)
	tc.heartbeat(m1) // hears of the stop
	tc.expectQuotaUsed(8)
	tc.expectScheduled(0)
	tc.heartbeat(m1) // and shows that it is gone
	tc.expectQuotaUsed(4)
	tc.expectScheduled(1)
	tc.expectQuotaUsed(8)
}

// A start that went out directly and was left unanswered may run as long as the
// agent has not seen a newer token, whatever its heartbeats say, and whichever
// leader reads them.
func TestQuotaCountsUnansweredDispatchedStarts(t *testing.T) {
	tc := newTestCluster(t)
	agent, other := tc.addAgent("m1", "a"), tc.addAgent("m2", "a")
	tc.submit("j-1", wire.JobArray, 1, 4)
	tc.submit("j-2", wire.JobArray, 2, 4)
	tc.cluster.Machines["m2"].DispatchUnanswered = true
	tc.expectScheduled(1)
	tc.persist()
	delayed := tc.dispatchCommands(agent) // on its way, the sender gave up
	tc.cluster.Machines["m1"].DispatchUnanswered = true
	tc.cancel()
	tc.failOver(2)
	tc.cancel()
	tc.expectQuotaUsed(4)
	if machine, outcome := tc.cluster.Reconcile(
		agent.Heartbeat(), cluster.FromHeartbeat, tc.now,
	); outcome != cluster.Applied ||
		machine.State == cluster.Up {
		t.Fatalf("verdict %v, %v: a report that may be a late copy", outcome, machine.State)
	}
	tc.expectQuotaUsed(4) // absent, and the start may still run
	tc.heartbeat(other)
	tc.heartbeat(other)
	tc.expectScheduled(1)
	tc.expectQuotaUsed(8)
	tc.expectScheduled(0)
	tc.heartbeat(agent) // it sees the token of this term
	tc.expectQuotaUsed(8)
	tc.heartbeat(agent) // and says so
	tc.expectQuotaUsed(4)
	if _, ok := agent.HandleDispatch(delayed); ok || len(agent.StartedTasks) != 0 {
		t.Fatal("the held start ran after its place was given up")
	}
	tc.expectScheduled(1)
	tc.expectQuotaUsed(8)
}

// A job cancelled under one leader is cancelled under the next, whose picture of
// it comes from the records: an allocation on a machine that nobody has described yet
// counts as much.
func TestQuotaCountsAllocationsOnMachinesRegisteringAfterFailover(t *testing.T) {
	tc, m1, m2 := newClusterAtQuota(t)
	tc.failOver(2)
	tc.expectQuotaUsed(8)
	tc.cancel()
	tc.expectQuotaUsed(8)
	tc.addAgent("m4", "a")
	tc.expectScheduled(0)
	m1.Epoch++ // its lease ran out meanwhile: all it had is gone
	clear(m1.Tasks)
	tc.heartbeat(m1)
	tc.expectQuotaUsed(4)
	tc.expectScheduled(1)
	tc.expectQuotaUsed(8)
	tc.heartbeat(m2)
	tc.heartbeat(m2)
	tc.expectQuotaUsed(4)
}
