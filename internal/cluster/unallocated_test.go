package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// An array some of whose tasks never had an allocation (its quota, or the capacity, is too small for
// all at once) loses the only one that runs. It waits "since none of its tasks was allocated": from
// now on, not from when that task was placed; else its shard's owner has it recalled at once.
func TestJobThatLosesItsLastAllocationWaitsFromThen(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	job := tc.submit("j-1", wire.JobArray, 2, 1)
	tc.cluster.Allocate(job, 0, tc.cluster.Machines["m1"], 1, 1, tc.now)
	tc.persist()
	tc.startTasks(agent)
	tc.now += 10 * micro.Minute
	tc.cluster.RemoveMachine(tc.cluster.Machines["m1"], tc.now)
	tc.expectAllocations(job, 0)
	if waited := job.UnallocatedFor(tc.now); job.State != cluster.Active || waited > micro.Second {
		t.Errorf("%v, has waited for %v s", job.State, waited.Seconds())
	}
}
