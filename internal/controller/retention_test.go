package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A job is done, and the leader forgets it: status queries, a repeated submission and a late
// word of its acceptance must not find it any other way than done.
func TestPrunedJobStaysDone(t *testing.T) {
	runScenario(t, 4, 3, nil, func(sim *simCluster) {
		job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, runTime: 3 * micro.Second}).submit()
		other := sim.newJob(jobRequest{kind: wire.Service, tasks: 1}).submit()
		sim.waitUntil(
			"done", 2*micro.Minute, func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
		)
		sim.waitRunning(other, 1)
		knows := func() (known bool) {
			currentLeader := sim.waitForLeader().runningNode().activeLeader()
			read := make(chan struct{})
			currentLeader.post(func() { _, known = currentLeader.cluster.Jobs[job.id]; close(read) })
			<-read
			return known
		}
		if !knows() {
			t.Fatal("forgotten at once")
		}
		sim.waitUntil("forgotten", 15*micro.Minute, func() bool { return !knows() })
		for _, controller := range sim.controllers {
			if reply := job.queryStatus(controller); replyState(reply) != wire.JobDone {
				t.Errorf("%s says %+v of a job that is done", controller.name, reply)
			}
			if reply := job.submitOnce(controller); replyState(reply) != wire.JobDone {
				t.Errorf("%s answers %+v to the repeat of a job that is done", controller.name, reply)
			}
		}
		spec, _ := sim.checker.spec(job.id)
		currentLeader := sim.waitForLeader().runningNode().activeLeader()
		currentLeader.post(func() { currentLeader.intake.AddJob(spec) })
		sim.sleep(10 * micro.Second)
		if knows() {
			t.Error("a late copy of its acceptance brought it back")
		}
		if sim.chunkRecordCount(job.id) != 0 {
			t.Error("it was forgotten before its records were deleted")
		}
	})
}

// chunkRecordCount is how many records of a job's tasks the store holds.
func (w *simCluster) chunkRecordCount(id string) int {
	p, err := w.store.Range(w.ctx, 0, keys.ChunkPrefixFor(id), "", 1000)
	if err != nil {
		w.t.Error(err)
	}
	return len(p.Items)
}

// A record that is yet to be deleted is the next leader's only word of an allocation.
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
		t.Fatal("forgotten though its record is in the store")
	}
	entry.SetVersion(0)
	fleet.leader.prune(fleet.leader.records.Prune(fleet.now))
	if fleet.leader.cluster.Jobs[job.Spec.ID] != nil || fleet.leader.records.LookupChunk(job.Chunks[0]) != nil {
		t.Fatal("kept though nothing of it is left")
	}
	if status, ok := fleet.leader.node.jobs.FinalStatuses().Get(job.Spec.ID); !ok || status.State != wire.JobAborted {
		t.Errorf("polls for it are not answered from memory: %+v", status)
	}
}
