package controller

import (
	"fmt"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Scenarios in which nodes are isolated for longer than leases last. Each ends in the
// checker's rules and in what should work meanwhile. Zones and machines that are
// isolated have files of their own.

// handoverBound is at most how long a leader that no agent reaches keeps the lead:
// its machines become silent, and it waits a second and a scan more. The election
// of the next leader is included.
func (w *simCluster) handoverBound() micro.Time {
	cfg := w.controllers[0].runningNode().Cfg
	return cfg.SuspectAfter + 3*micro.Second
}

// otherControllers lists the nodes but these.
func (w *simCluster) otherControllers(but ...*controllerProcess) []*controllerProcess {
	var out []*controllerProcess
	for _, controller := range w.controllers {
		excluded := false
		for _, b := range but {
			excluded = excluded || controller == b
		}
		if !excluded {
			out = append(out, controller)
		}
	}
	return out
}

// submitThrough submits a job through the first of these nodes that accepts it,
// each user's attempt being made in turn, and fails after a bound.
func (w *simCluster) submitThrough(nodes []*controllerProcess, most micro.Time, request jobRequest) *userJob {
	w.t.Helper()
	job := w.newJob(request)
	next := 0
	w.waitUntil(job.id+" is accepted", most, func() bool {
		r := job.submitOnce(nodes[next%len(nodes)])
		next++
		return r.Status == 200 || r.Status == 201
	})
	return job
}

// waitAnsweredBy waits until a status query of the job gets an answer from this node.
func (w *simCluster) waitAnsweredBy(job *userJob, controller *controllerProcess, most micro.Time) {
	w.t.Helper()
	w.waitUntil(
		fmt.Sprintf("%s answers for %s", controller.name, job.id), most,
		func() bool { return replyState(job.queryStatus(controller)) != "" },
	)
}

// checkServing checks that submissions, status queries and starts work through these nodes, each
// within a bound.
func (w *simCluster) checkServing(nodes []*controllerProcess) {
	w.t.Helper()
	const (
		acceptedWithin = 10 * micro.Second
		answeredWithin = 10 * micro.Second
		doneWithin     = 45 * micro.Second // a machine may have to be rented
	)
	for _, controller := range nodes {
		job := w.submitThrough(
			[]*controllerProcess{controller}, acceptedWithin,
			jobRequest{kind: wire.JobArray, tasks: 1, cpus: 1, runTime: 2 * micro.Second, team: "other"},
		)
		for _, other := range nodes {
			w.waitAnsweredBy(job, other, answeredWithin)
		}
		w.waitUntil(
			job.id+" is done", doneWithin, func() bool { return replyState(job.queryStatus(controller)) == wire.JobDone },
		)
	}
}

// Fault: two of three nodes, one of them the leader, are cut off from all agents,
// and reach the store and each other. The third one, which the agents reach, comes
// to lead once each of the two has tried at most once.
func TestNodeReachedByAgentsBecomesLeader(t *testing.T) {
	runSeeds(t, 16, 3, func(sim *simCluster) {
		job := sim.runServiceInZone("a", 4)
		leader, followers := sim.waitForRestoredLeader()
		reached := followers[sim.randomInt(2)]
		cut := sim.otherControllers(reached)
		from := sim.now()
		for _, controller := range cut {
			sim.partitionNode(controller, 3*micro.Minute, "workers")
		}
		sim.waitUntil(
			"the node that workers reach leads", 2*sim.handoverBound()+micro.Second,
			func() bool { return sim.leader() == reached },
		)
		sim.t.Logf("%s was cut, %s leads after %.1f s", leader.name, reached.name, (sim.now() - from).Seconds())
		sim.checkServing(sim.controllers)
		sim.waitRunning(job, 4)
		if sim.leader() != reached {
			sim.t.Errorf("%s leads no more, though workers reach it", reached.name)
		}
	})
}

// Fault: the leader, and in a site of five another node too, is silent for over a
// minute, frozen, cut off from everything, or gone. Users and work go on through
// the others; when it is back it tells nothing of its old term.
func TestWorkContinuesWhileTheLeaderIsUnresponsive(t *testing.T) {
	const silentFor = 100 * micro.Second
	for name, silence := range map[string]func(sim *simCluster, controller *controllerProcess){
		"frozen": func(sim *simCluster, controller *controllerProcess) {
			sim.injectFault(silentFor, func() { controller.freeze(silentFor) }, func() {})
		},
		"cut off": func(sim *simCluster, controller *controllerProcess) {
			sim.partitionNode(controller, silentFor, "state", "peers", "workers", "users", "cloud")
		},
		"gone": func(sim *simCluster, controller *controllerProcess) {
			sim.injectFault(silentFor, func() { sim.restartController(controller, silentFor) }, func() {})
		},
	} {
		for _, test := range []struct{ nodes, silent int }{{3, 1}, {5, 2}} {
			t.Run(fmt.Sprintf("%s, %d of %d", name, test.silent, test.nodes), func(t *testing.T) {
				runSeeds(t, 3, test.nodes, func(sim *simCluster) {
					// Fewer machines than it takes for the old leader to hand over for
					// hearing none: only its right is to keep it from answering.
					job := sim.runServiceInZone("a", 1)
					leader, followers := sim.waitForRestoredLeader()
					silent := append([]*controllerProcess{leader}, followers[:test.silent-1]...)
					rest := sim.otherControllers(silent...)
					ends := sim.newJob(
						jobRequest{kind: wire.JobArray, tasks: 1, cpus: 1, runTime: 25 * micro.Second, team: "other"},
					).submit()
					called := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 1}).submit()
					sim.waitUntil(
						"the leader knows both", 30*micro.Second,
						func() bool { return leader.jobStateInMemory(called.id) != "" && ends.runningTasks() == 1 },
					)
					from := sim.now()
					for _, controller := range silent {
						silence(sim, controller)
					}
					sim.waitUntil("another leads", 10*micro.Second, func() bool { l := sim.leader(); return l != nil && l != leader })
					sim.waitUntil(
						"cancelled", 60*micro.Second, func() bool { return replyState(called.cancelOnce(rest[0])) == wire.JobAborted },
					)
					sim.waitUntil(
						"done", 60*micro.Second, func() bool { return replyState(ends.queryStatus(rest[0])) == wire.JobDone },
					)
					sim.checkServing(rest)
					if sim.now() > from+silentFor {
						sim.t.Fatalf("what goes on took %v s, longer than the silence", (sim.now() - from).Seconds())
					}
					// Whatever it still has in mind, it tells nothing from before.
					sim.slowStoreFor(silent, 300*micro.Millisecond, from+silentFor+5*micro.Second-sim.now())
					sim.sleep(from + silentFor - 500*micro.Millisecond - sim.now())
					for sim.now() < from+silentFor+3*micro.Second {
						for _, controller := range silent {
							go ends.queryStatus(controller)
							go called.queryStatus(controller)
						}
						sim.sleep(20 * micro.Millisecond)
					}
					sim.waitUntil("calm", 10*micro.Second, sim.noActiveFaults)
					sim.checkServing(sim.controllers)
					if job.runningTasks() != 1 || job.startCount() != 1 {
						sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
					}
				})
			})
		}
	}
}

// Fault: the store refuses the leader alone, for longer than an agent's lease, while
// peers, agents and users reach it. Another node leads, tasks run on, and users are
// served through every node, the refused one included.
func TestAnotherNodeLeadsWhenTheStoreRefusesTheLeaderBeyondALease(t *testing.T) {
	const refusedFor = 70 * micro.Second
	for _, nodes := range []int{3, 5} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			runSeeds(t, 4, nodes, func(sim *simCluster) {
				job := sim.runServiceInZone("a", 3)
				refused, followers := sim.waitForRestoredLeader()
				from := sim.now()
				sim.refuseNode(refused, refusedFor)
				sim.waitUntil(
					"another leads", 8*micro.Second, func() bool { leader := sim.leader(); return leader != nil && leader != refused },
				)
				called := sim.submitThrough(
					[]*controllerProcess{refused}, 10*micro.Second, jobRequest{kind: wire.Service, tasks: 1, cpus: 1},
				)
				sim.waitUntil(
					"cancelled", 60*micro.Second,
					func() bool { return replyState(called.cancelOnce(followers[0])) == wire.JobAborted },
				)
				sim.checkServing(append([]*controllerProcess{refused}, followers[:1]...))
				sim.sleep(from + refusedFor - 5*micro.Second - sim.now())
				sim.waitAnsweredBy(called, refused, 2*micro.Second)
				if leader := sim.leader(); leader == nil || leader == refused {
					sim.t.Error("another node should lead all the while")
				}
				if job.runningTasks() != 3 || job.startCount() != 3 {
					sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
				}
				sim.waitUntil("calm", 10*micro.Second, sim.noActiveFaults)
				sim.checkServing(sim.controllers)
				time.Sleep(time.Second)
				if job.runningTasks() != 3 || job.startCount() != 3 {
					sim.t.Errorf("afterwards %d of its tasks run, %d starts", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}
