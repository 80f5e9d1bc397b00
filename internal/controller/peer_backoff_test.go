package controller

import (
	"net/http"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A node that the store refuses, and it alone, takes submissions through its peers. A peer that
// gave no answer to one call is left alone for two seconds.
//
// What happened: whatever came in those two seconds got 503 at once, though the peer could have
// answered: one late answer of each peer, or one cancellation that the leader held for longer
// than its caller waits, kept all users of the node out.
//
// Seen in TestDependenciesMustHaveBeenAccepted (3 of 600 runs beside three batches of random
// scenarios), where the node had learnt who leads before it had an address for it: the failed
// runs took 0.02 s, no call was out for a millisecond, and the trace of the calls ends in
// "/peer/exist ... peer: no answer" from before the address was there. The time limit of 500 ms,
// which was suspected, was reached in no run.
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
			sim.t.Fatalf("with peers that answer late: %+v", reply)
		}
		sim.sleep(600 * micro.Millisecond) // the second peer is asked for as long as the first
		for _, controller := range peers {
			if !refused.runningNode().peerBackoff.BackingOff(controller.name) {
				sim.t.Fatalf("%s answered in time", controller.name)
			}
			sim.delayPeerAnswers(controller, 0)
		}
		from := sim.now()
		if reply := job.submitOnce(refused); reply.Status != http.StatusCreated && reply.Status != http.StatusOK {
			sim.t.Errorf("with peers that answer: %+v", reply)
		}
		if took := sim.now() - from; took > submissionLatencyTarget {
			sim.t.Errorf("answered after %v", took.Duration())
		}
	})
}

// submissionLatencyTarget is within what time submissions are to be accepted.
const submissionLatencyTarget = 200 * micro.Millisecond

// The leader holds the user of a cancellation while the tasks end. Asked by another node, it
// answers before that one gives up: else the leader counts as out of reach there.
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
			sim.t.Fatalf("a cancellation whose tasks run beyond a cut: %+v", reply)
		}
		if refused.runningNode().peerBackoff.BackingOff(leader.name) {
			sim.t.Error("the leader counts as out of reach")
		}
		next := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: micro.Second})
		if reply := next.submitOnce(refused); reply.Status != http.StatusCreated {
			sim.t.Errorf("a submission beside it: %+v", reply)
		}
	})
}
