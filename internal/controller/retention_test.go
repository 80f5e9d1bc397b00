package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// After the leader has pruned a finished job, status queries and repeated submissions still report it as done, and a
// late notification of its acceptance does not add it again.
func TestPrunedJobStaysDone(t *testing.T) {
	runScenario(t, 4, 3, nil, func(sim *simCluster) {
		job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, runTime: 3 * micro.Second}).submit()
		other := sim.newJob(jobRequest{kind: wire.Service, tasks: 1}).submit()
		sim.waitUntil(
			"the job is done", 2*micro.Minute, func() bool {
				return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone
			},
		)
		sim.waitRunning(other, 1)
		leaderKnowsJob := func() (known bool) {
			currentLeader := sim.waitForLeader().runningNode().activeLeader()
			read := make(chan struct{})
			currentLeader.post(func() { _, known = currentLeader.cluster.Jobs[job.id]; close(read) })
			<-read
			return known
		}
		if !leaderKnowsJob() {
			t.Fatal("the leader pruned the job as soon as it was done")
		}
		sim.waitUntil("the leader has pruned the job", 15*micro.Minute, func() bool { return !leaderKnowsJob() })
		for _, controller := range sim.controllers {
			if reply := job.queryStatus(controller); replyState(reply) != wire.JobDone {
				t.Errorf("%s answers a status query for a finished job with %+v, want done", controller.name, reply)
			}
			if reply := job.submitOnce(controller); replyState(reply) != wire.JobDone {
				t.Errorf("%s answers the repeated submission of a finished job with %+v, want done", controller.name, reply)
			}
		}
		spec, _ := sim.checker.spec(job.id)
		currentLeader := sim.waitForLeader().runningNode().activeLeader()
		currentLeader.post(func() { currentLeader.intake.AddJob(spec) })
		sim.sleep(10 * micro.Second)
		if leaderKnowsJob() {
			t.Error("a late notification of its acceptance added the pruned job again")
		}
		if sim.chunkRecordCount(job.id) != 0 {
			t.Error("the job was pruned before its chunk records were deleted")
		}
	})
}

// chunkRecordCount returns the number of the job's chunk records in the store, at most 1000.
func (w *simCluster) chunkRecordCount(id string) int {
	page, err := w.store.Range(w.ctx, 0, keys.ChunkPrefixFor(id), "", 1000)
	if err != nil {
		w.t.Error(err)
	}
	return len(page.Items)
}

// A job is kept until its chunk records are deleted from the store: until then, they are all that the next leader would
// know of its allocations.
func TestJobWithStoredChunkRecordIsNotPruned(t *testing.T) {
	fleet := newFleet(t, 4)
	job := fleet.leader.cluster.SortedMachines()[0].SortedAllocations()[0].Job
	fleet.leader.cluster.FinalizeJob(job, true, fleet.now)
	for _, allocation := range job.Allocations() {
		fleet.leader.cluster.ExpireMachine(allocation.Machine, fleet.now)
	}
	fleet.now += micro.Minute * 60
	entry := fleet.leader.records.ChunkRecord(job.Chunks[0])
	entry.ClearDirty()
	entry.SetVersion(17)
	fleet.leader.prune(fleet.leader.records.Prune(fleet.now))
	if fleet.leader.cluster.Jobs[job.Spec.ID] == nil {
		t.Fatal("the job was pruned although its chunk record is in the store")
	}
	entry.SetVersion(0)
	fleet.leader.prune(fleet.leader.records.Prune(fleet.now))
	if fleet.leader.cluster.Jobs[job.Spec.ID] != nil || fleet.leader.records.LookupChunk(job.Chunks[0]) != nil {
		t.Fatal("the job was kept although no record of it is left")
	}
	if status, ok := fleet.leader.node.jobs.FinalStatuses().Get(job.Spec.ID); !ok || status.State != wire.JobAborted {
		t.Errorf("final status in memory after pruning: got %+v, want aborted", status)
	}
}
