package cluster_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

func alwaysSettled(*cluster.Job) bool { return true }

// In a fleet that had been running for months, the leader kept every job that it had ever seen.
func TestRetainedEntriesDoNotGrowWithTheAgeOfATerm(t *testing.T) {
	tc := newTestCluster(t)
	const perMinute = 50
	for minute := range 240 {
		for i := range perMinute {
			id := fmt.Sprintf("j-%d", minute*perMinute+i)
			tc.cluster.FinalizeJob(tc.submit(id, wire.JobArray, 4, 1), i%2 == 0, tc.now)
			name := fmt.Sprintf("i-%d", minute*perMinute+i)
			tc.cluster.RemoveMachine(tc.cluster.EnsureMachine(name, tc.now), tc.now)
		}
		tc.now += micro.Minute
		tc.cluster.Prune(tc.now, alwaysSettled)
	}
	if limit := 11 * perMinute; len(tc.cluster.Jobs) > limit {
		t.Errorf("%d jobs kept, want at most %d", len(tc.cluster.Jobs), limit)
	}
	if limit := 61 * perMinute; len(tc.cluster.FinalStatuses) > limit || len(tc.cluster.TerminatedAt) > limit {
		t.Errorf(
			"%d final statuses and %d terminated machines kept, want at most %d", len(tc.cluster.FinalStatuses),
			len(tc.cluster.TerminatedAt), limit,
		)
	}
}

// An ended job with an allocation that is not proven released still uses part of its team's quota.
// A final status that a blocked job depends on is still needed to unblock it.
func TestPruneKeepsEntriesThatAreStillNeeded(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("i-1", "a")
	allocated := tc.submitScheduled("j-1", wire.JobArray, 1, 1)
	tc.heartbeat(agent)
	tc.cluster.FinalizeJob(allocated, true, tc.now)
	tc.cluster.FinalizeJob(tc.submit("j-2", wire.JobArray, 1, 1), false, tc.now)
	tc.cluster.FinalizeJob(tc.submit("j-3", wire.JobArray, 1, 1), false, tc.now)
	unwritten := tc.submit("j-4", wire.JobArray, 1, 1)
	tc.cluster.FinalizeJob(unwritten, false, tc.now)
	blocked := tc.submitSpec(pipelineJob("j-5", "j-2", "j-99"))
	tc.now += 2 * 60 * micro.Minute
	tc.cluster.Prune(tc.now, func(job *cluster.Job) bool { return job != unwritten })
	if tc.cluster.Jobs["j-1"] == nil {
		t.Error("a job with an allocation that is not proven released was pruned")
	}
	if tc.cluster.Jobs["j-4"] == nil {
		t.Error("a job with unwritten changes was pruned")
	}
	if _, ok := tc.cluster.FinalStatuses["j-2"]; !ok || len(tc.status(blocked).Dependencies) != 1 {
		t.Errorf(
			"the final status of a dependency was pruned: blocked job waits for %v",
			tc.status(blocked).Dependencies,
		)
	}
	if tc.cluster.Jobs["j-3"] != nil || tc.cluster.Jobs["j-5"] == nil {
		t.Error("an ended job was kept, or a blocked one was pruned")
	}
	if _, ok := tc.cluster.FinalStatuses["j-3"]; ok {
		t.Error("a final status that is no longer needed was kept")
	}
}

// The status of a job whose own cancellation has begun, and of a job that has not started, is still derived from the
// final statuses of their dependencies.
func TestPruneKeepsFinalStatusesThatStatusesAreDerivedFrom(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.FinalizeJob(tc.submit("j-1", wire.JobArray, 1, 1), true, tc.now)
	tc.cluster.FinalizeJob(tc.submit("j-2", wire.JobArray, 1, 1), false, tc.now)
	cancelled, eligible := tc.submitSpec(pipelineJob("j-3", "j-1")), tc.submitSpec(pipelineJob("j-4", "j-2"))
	if cancelled.State != cluster.Aborting || eligible.State != cluster.Active {
		t.Fatalf("dependents are %v and %v, want aborting and active", cancelled.State, eligible.State)
	}
	tc.now += 2 * 60 * micro.Minute
	tc.cluster.Prune(tc.now, alwaysSettled)
	for id, want := range map[string]wire.JobState{"j-1": wire.JobAborted, "j-2": wire.JobDone} {
		if stored, ok := tc.cluster.StoredState(id); !ok || stored.Final != want {
			t.Errorf("stored state of %s: got %+v, known %v, want %s", id, stored, ok, want)
		}
	}
	if got := tc.status(cancelled).State; got != wire.JobAborted {
		t.Errorf("a job whose dependency was aborted is %q, want aborted", got)
	}
}

// A single record holds the images of only about 200 machines, so those of a larger fleet were not
// known to the next leader.
func TestImagesOfThousandsOfMachinesAreRestoredByTheNextLeader(t *testing.T) {
	tc := newTestCluster(t)
	record := cluster.ImageRecord{Names: []string{"image-1", "image-2"}, GB: []float64{4, 5}, Machines: map[string][]int{}}
	const machines = 4000
	for i := range machines {
		name := fmt.Sprintf("i-%06d", i)
		tc.cluster.EnsureMachine(name, tc.now)
		record.Machines[name] = []int{i % 2}
	}
	tc.cluster.RestoreImages(record, tc.now)
	pages := tc.cluster.ImagePages(4096)
	tc.failOver(2)
	for _, page := range pages {
		if size := wire.JSONSize(page); size > 4096 {
			t.Errorf("record of %d bytes, limit 4096", size)
		}
		tc.cluster.RestoreImages(page, tc.now)
	}
	if len(tc.cluster.Machines) != 0 {
		t.Errorf("%d machines were created from image records, which are only hints", len(tc.cluster.Machines))
	}
	for i := range machines {
		machine := tc.cluster.EnsureMachine(fmt.Sprintf("i-%06d", i), tc.now)
		if !machine.HasImage(fmt.Sprintf("image-%d", i%2+1)) {
			t.Fatalf("the image of %s was not restored", machine.Name)
		}
	}
	t.Logf("%d records", len(pages))
}
