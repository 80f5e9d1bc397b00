package cluster_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// An array of which some tasks never had an allocation, because its quota or the capacity is too
// small for all of them at once, loses the only running task. Its time without an allocation starts
// now and not when that task was placed. Otherwise, the owner of its shard would have it recalled
// at once.
func TestUnallocatedTimeStartsWhenTheLastAllocationIsLost(t *testing.T) {
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
		t.Errorf("job is %v, unallocated for %v s, want active and at most 1 s", job.State, waited.Seconds())
	}
}
