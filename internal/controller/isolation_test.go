package controller

import (
	"fmt"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Scenarios in which controllers are isolated for longer than a lease. Each is judged by the checker's rules and
// by checks of what must work meanwhile. Scenarios with isolated zones and machines are in other files.

// handoverBound returns the longest time for which a leader that receives no heartbeats stays leader: the time until
// its machines are suspect, and a second and a scan more. It includes the election of the next leader.
func (w *simCluster) handoverBound() micro.Time {
	cfg := w.controllers[0].runningNode().Cfg
	return cfg.SuspectAfter + 3*micro.Second
}

// otherControllers returns all controllers except the given ones.
func (w *simCluster) otherControllers(except ...*controllerProcess) []*controllerProcess {
	var out []*controllerProcess
	for _, controller := range w.controllers {
		excluded := false
		for _, other := range except {
			excluded = excluded || controller == other
		}
		if !excluded {
			out = append(out, controller)
		}
	}
	return out
}

// submitThrough submits a job through the given nodes in turn until one accepts it, and returns the job. It fails
// the test after the given time.
func (w *simCluster) submitThrough(nodes []*controllerProcess, timeout micro.Time, request jobRequest) *userJob {
	w.t.Helper()
	job := w.newJob(request)
	next := 0
	w.waitUntil(job.id+" is accepted", timeout, func() bool {
		reply := job.submitOnce(nodes[next%len(nodes)])
		next++
		return reply.Status == 200 || reply.Status == 201
	})
	return job
}

// waitAnsweredBy waits until the node answers a status query for the job.
func (w *simCluster) waitAnsweredBy(job *userJob, controller *controllerProcess, timeout micro.Time) {
	w.t.Helper()
	w.waitUntil(
		fmt.Sprintf("%s answers a status query for %s", controller.name, job.id), timeout,
		func() bool { return replyState(job.queryStatus(controller)) != "" },
	)
}

// checkServing checks that each of the nodes accepts a submission, that all of them answer status queries for the job
// and that the job runs to completion, each within a time limit.
func (w *simCluster) checkServing(nodes []*controllerProcess) {
	w.t.Helper()
	const (
		acceptedWithin = 10 * micro.Second
		answeredWithin = 10 * micro.Second
		doneWithin     = 45 * micro.Second // a machine may have to be provisioned
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

// Two of three nodes, one of them the leader, are partitioned from all agents, but reach the store and each other.
// The third node, which agents reach, must become leader after each of the two has led at most once.
func TestNodeReachedByAgentsBecomesLeader(t *testing.T) {
	runSeeds(t, 16, 3, func(sim *simCluster) {
		job := sim.runServiceInZone("a", 4)
		leader, followers := sim.waitForRestoredLeader()
		reached := followers[sim.randomInt(2)]
		partitioned := sim.otherControllers(reached)
		partitionStart := sim.now()
		for _, controller := range partitioned {
			sim.partitionNode(controller, 3*micro.Minute, "workers")
		}
		sim.waitUntil(
			"node reached by agents leads", 2*sim.handoverBound()+micro.Second,
			func() bool { return sim.leader() == reached },
		)
		sim.t.Logf(
			"leader %s was partitioned from agents, %s leads after %.1f s", leader.name, reached.name,
			(sim.now() - partitionStart).Seconds(),
		)
		sim.checkServing(sim.controllers)
		sim.waitRunning(job, 4)
		if sim.leader() != reached {
			sim.t.Errorf("%s does not lead any more, though agents reach it", reached.name)
		}
	})
}

// The leader, and in a cluster of five nodes another node too, is unresponsive for over a minute: paused, partitioned
// from everything, or stopped. The other nodes keep serving users and jobs; when the old leader responds again, it
// must report nothing from its old term.
func TestWorkContinuesWhileTheLeaderIsUnresponsive(t *testing.T) {
	const silentFor = 100 * micro.Second
	for name, silence := range map[string]func(sim *simCluster, controller *controllerProcess){
		"process paused": func(sim *simCluster, controller *controllerProcess) {
			sim.injectFault(silentFor, func() { controller.freeze(silentFor) }, func() {})
		},
		"partitioned": func(sim *simCluster, controller *controllerProcess) {
			sim.partitionNode(controller, silentFor, "state", "peers", "workers", "users", "cloud")
		},
		"stopped": func(sim *simCluster, controller *controllerProcess) {
			sim.injectFault(silentFor, func() { sim.restartController(controller, silentFor) }, func() {})
		},
	} {
		for _, test := range []struct{ nodes, silent int }{{3, 1}, {5, 2}} {
			t.Run(fmt.Sprintf("%s, %d of %d", name, test.silent, test.nodes), func(t *testing.T) {
				runSeeds(t, 3, test.nodes, func(sim *simCluster) {
					// With so few machines the old leader does not hand over for lack of heartbeats: only the
					// expiry of its lease may keep it from answering.
					job := sim.runServiceInZone("a", 1)
					leader, followers := sim.waitForRestoredLeader()
					silent := append([]*controllerProcess{leader}, followers[:test.silent-1]...)
					responsive := sim.otherControllers(silent...)
					finishing := sim.newJob(
						jobRequest{kind: wire.JobArray, tasks: 1, cpus: 1, runTime: 25 * micro.Second, team: "other"},
					).submit()
					cancelled := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 1}).submit()
					sim.waitUntil(
						"leader knows both jobs", 30*micro.Second,
						func() bool { return leader.jobStateInMemory(cancelled.id) != "" && finishing.runningTasks() == 1 },
					)
					silenceStart := sim.now()
					for _, controller := range silent {
						silence(sim, controller)
					}
					sim.waitUntil(
						"another node leads", 10*micro.Second, func() bool { next := sim.leader(); return next != nil && next != leader },
					)
					sim.waitUntil(
						"cancellation reported", 60*micro.Second,
						func() bool { return replyState(cancelled.cancelOnce(responsive[0])) == wire.JobAborted },
					)
					sim.waitUntil(
						"job done", 60*micro.Second,
						func() bool { return replyState(finishing.queryStatus(responsive[0])) == wire.JobDone },
					)
					sim.checkServing(responsive)
					if sim.now() > silenceStart+silentFor {
						sim.t.Fatalf(
							"the checks took %v s, longer than the leader was unresponsive", (sim.now() - silenceStart).Seconds(),
						)
					}
					// Whatever the old leader has in memory, it must report no state from its old term.
					sim.slowStoreFor(silent, 300*micro.Millisecond, silenceStart+silentFor+5*micro.Second-sim.now())
					sim.sleep(silenceStart + silentFor - 500*micro.Millisecond - sim.now())
					for sim.now() < silenceStart+silentFor+3*micro.Second {
						for _, controller := range silent {
							go finishing.queryStatus(controller)
							go cancelled.queryStatus(controller)
						}
						sim.sleep(20 * micro.Millisecond)
					}
					sim.waitUntil("no active faults", 10*micro.Second, sim.noActiveFaults)
					sim.checkServing(sim.controllers)
					if job.runningTasks() != 1 || job.startCount() != 1 {
						sim.t.Errorf("%d tasks running, %d starts, want 1 of each", job.runningTasks(), job.startCount())
					}
				})
			})
		}
	}
}

// The store refuses only the leader for longer than an agent's lease, while peers, agents and users reach it. Another
// node must lead, tasks must keep running, and users must be served through every node, the refused one included.
func TestAnotherNodeLeadsWhenTheStoreRefusesTheLeaderBeyondALease(t *testing.T) {
	const refusedFor = 70 * micro.Second
	for _, nodes := range []int{3, 5} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			runSeeds(t, 4, nodes, func(sim *simCluster) {
				job := sim.runServiceInZone("a", 3)
				refused, followers := sim.waitForRestoredLeader()
				refusalStart := sim.now()
				sim.refuseNode(refused, refusedFor)
				sim.waitUntil(
					"another node leads", 8*micro.Second,
					func() bool { leader := sim.leader(); return leader != nil && leader != refused },
				)
				service := sim.submitThrough(
					[]*controllerProcess{refused}, 10*micro.Second, jobRequest{kind: wire.Service, tasks: 1, cpus: 1},
				)
				sim.waitUntil(
					"cancellation reported", 60*micro.Second,
					func() bool { return replyState(service.cancelOnce(followers[0])) == wire.JobAborted },
				)
				sim.checkServing(append([]*controllerProcess{refused}, followers[:1]...))
				sim.sleep(refusalStart + refusedFor - 5*micro.Second - sim.now())
				sim.waitAnsweredBy(service, refused, 2*micro.Second)
				if leader := sim.leader(); leader == nil || leader == refused {
					sim.t.Error("no other node leads during the refusal")
				}
				if job.runningTasks() != 3 || job.startCount() != 3 {
					sim.t.Errorf("%d tasks running, %d starts, want 3 of each", job.runningTasks(), job.startCount())
				}
				sim.waitUntil("no active faults", 10*micro.Second, sim.noActiveFaults)
				sim.checkServing(sim.controllers)
				time.Sleep(time.Second)
				if job.runningTasks() != 3 || job.startCount() != 3 {
					sim.t.Errorf(
						"after the refusal: %d tasks running, %d starts, want 3 of each", job.runningTasks(), job.startCount(),
					)
				}
			})
		})
	}
}
