package controller

import (
	"net/http"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A node that the store alone refuses accepts submissions through its peers. It backs off for two seconds from a peer
// that did not answer a call, but must still call it if no other peer answers.
//
// Otherwise every request in those two seconds gets 503 at once although the peer could answer: one late response of
// each peer, or one cancellation that the leader holds longer than its caller waits, makes the node unavailable to all
// its users. TestDependenciesMustHaveBeenAccepted failed this way in 3 of 600 runs beside three batches of random
// scenarios, when the node knew the leader before it had an address for it: the failed runs took 0.02 s, no call took a
// millisecond, and the last call recorded, from before the address was known, was "/peer/exist ... peer: no answer".
// The 500 ms time-out of calls, suspected first, was reached in no run.
func TestNodeRefusedByTheStoreRetriesPeersThatTimedOut(t *testing.T) {
	runScenario(t, 1, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		refused := others[0]
		sim.refuseNode(refused, micro.Minute)
		sim.sleep(2 * micro.Second)
		peers := []*controllerProcess{leader, others[1]}
		for _, controller := range peers {
			sim.delayPeerAnswers(controller, 600*micro.Millisecond)
		}
		job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: micro.Second})
		if reply := job.submitOnce(refused); reply.Status != http.StatusServiceUnavailable {
			sim.t.Fatalf("with peers that answer late: got %+v, want status 503", reply)
		}
		sim.sleep(600 * micro.Millisecond) // the second peer is called for as long as the first
		for _, controller := range peers {
			if !refused.runningNode().peerBackoff.BackingOff(controller.name) {
				sim.t.Fatalf("the node does not back off from %s, which answered late", controller.name)
			}
			sim.delayPeerAnswers(controller, 0)
		}
		submittedAt := sim.now()
		if reply := job.submitOnce(refused); reply.Status != http.StatusCreated && reply.Status != http.StatusOK {
			sim.t.Errorf("with peers that answer again: got %+v, want status 201 or 200", reply)
		}
		if took := sim.now() - submittedAt; took > submissionLatencyTarget {
			sim.t.Errorf("the submission was answered after %v, over submissionLatencyTarget", took.Duration())
		}
	})
}

// submissionLatencyTarget is the time within which submissions should be accepted.
const submissionLatencyTarget = 200 * micro.Millisecond

// The leader delays the reply to a cancellation until the tasks have stopped. If a peer forwarded the cancellation, the
// leader replies before that peer's time-out; otherwise the peer would back off from the leader as unreachable.
func TestPendingCancellationDoesNotMarkTheLeaderUnreachable(t *testing.T) {
	runScenario(t, 2, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		refused := others[0]
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4}).submit()
		sim.waitRunning(job, 1)
		job.machines()[0].isolate(micro.Minute)
		sim.refuseNode(refused, micro.Minute)
		sim.killController(others[1])
		sim.sleep(3 * micro.Second)
		if reply := job.cancelOnce(refused); reply.Status != http.StatusServiceUnavailable {
			sim.t.Fatalf("cancellation of a task on an isolated machine: got %+v, want status 503", reply)
		}
		if refused.runningNode().peerBackoff.BackingOff(leader.name) {
			sim.t.Error("the node backs off from the leader")
		}
		next := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: micro.Second})
		if reply := next.submitOnce(refused); reply.Status != http.StatusCreated {
			sim.t.Errorf("submission during the pending cancellation: got %+v, want status 201", reply)
		}
	})
}
