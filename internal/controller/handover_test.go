package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/referral"
	"notchmux.dev/notchmux/wire"
)

// servedWithin is the time within which users require a waiting job to be served once the last fault is over.
const servedWithin = 4 * micro.Minute

// All machines die while their tasks use up a team's quota, and a job of that team waits for quota. In each term, a
// machine is requested for another team's job, boots, and is terminated when it has been idle for a while; with it
// goes the only agent that reaches the leader.
//
// Failure guarded against: the leader handed over ("no agent reaches this node") 1.5 s after it had terminated that
// machine itself, because the dead machines counted as suspect and no other was up. The next leader requested a
// machine in turn, was reached by it, and so reset its count of handovers. Terms of 12 to 27 s followed one another
// without end, too short to prove leases of 30 s expired, and the job that waited for quota was never served.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, in all 20 handovers of seed 20246 and 9 of the 26 of seed 10321.
// The log of such a term has "scale-out requested", "machine from=registering to=up reason=reports", "machine from=up
// to=terminating reason=idle" and, 1.1 to 1.7 s later, "resigning reason=no agent reaches this node".
func TestLeaderIsReachedByOneAgentWhileDeadMachinesHoldTheQuota(t *testing.T) {
	for _, nodes := range []int{3, 4, 5} {
		for _, fastBoot := range []bool{false, true} {
			t.Run(fmt.Sprint(nodes, " nodes, fast boot ", fastBoot), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 1, nodes, func(sim *simCluster) { sim.fastBoot = fastBoot }, func(sim *simCluster) {
					const tasks = teamMaxCPUs / 4
					full := sim.newJob(
						jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, priority: wire.Low, team: "team"},
					).submit()
					sim.waitRunning(full, tasks)
					for _, machine := range sim.liveMachines() {
						machine.terminate()
					}
					waiting := sim.newJob(
						jobRequest{kind: wire.Service, tasks: 1, cpus: 4, priority: wire.Production, team: "team"},
					).submit()
					go sim.runShortJobs("other")
					sim.waitUntil("waiting job running", servedWithin, func() bool { return waiting.runningTasks() == 1 })
				})
			})
		}
	}
}

// runShortJobs submits short jobs of a team until the scenario ends, each once the machines of the previous one were
// terminated.
func (w *simCluster) runShortJobs(team string) {
	for w.ctx.Err() == nil {
		w.newJob(jobRequest{kind: wire.JobArray, tasks: 1, cpus: 1, runTime: micro.Second, team: team}).submit()
		for len(w.liveMachines()) == 0 && w.ctx.Err() == nil {
			w.sleep(micro.Second)
		}
		for len(w.liveMachines()) > 0 && w.ctx.Err() == nil {
			w.sleep(micro.Second)
		}
	}
}

// All machines die at once, and the job on them needs three quarters of the time within which it must be served.
//
// Failure guarded against: no node received heartbeats, and none could distinguish dead machines from a network
// partition between it and the agents. Leadership therefore passed to each node twice before one kept it: 50 to 97 s
// with three to five nodes, in which no term was long enough to prove the leases of the dead machines expired.
func TestLeaderStaysWhenAllMachinesDie(t *testing.T) {
	for _, nodes := range []int{3, 4, 5} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 2, nodes, nil, func(sim *simCluster) {
				const tasksAtOnce = teamMaxCPUs / 4
				const runTime = servedWithin / 4
				job := sim.newJob(
					jobRequest{kind: wire.JobArray, tasks: 3 * tasksAtOnce, cpus: 4, runTime: runTime, team: "team"},
				).submit()
				go job.watchUntilFinal()
				sim.waitUntil("first tasks running", micro.Minute, func() bool { return job.runningTasks() == tasksAtOnce })
				term := sim.currentTerm()
				for _, machine := range sim.liveMachines() {
					machine.terminate()
				}
				sim.waitUntil("job done", servedWithin, func() bool { return job.knowledge().done })
				if sim.currentTerm() != term {
					sim.t.Error("leader changed, though agents cannot reach any other node either")
				}
			})
		})
	}
}

// All machines of a shard die at once, and all others live.
//
// Failure guarded against: the owner reported to the leader that no agent reached it, and the leader moved the shard
// twice for that reason, without checking whether agents tried to reach the owner through other nodes.
func TestShardIsNotMovedWhenAllItsMachinesDie(t *testing.T) {
	runShardScenario(t, 3, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		const tasks = teamMaxCPUs / 4
		var services []*userJob
		for _, team := range []string{"team", "other"} {
			service := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, zone: "b", team: team}).submit()
			sim.waitRunning(service, tasks)
			services = append(services, service)
		}
		sim.sleep(10 * micro.Second) // further requested machines are up
		before, _ := sim.shardRecord()
		for _, machine := range sim.liveMachines() {
			if machine.agent.Zone == "b" {
				machine.terminate()
			}
		}
		for _, service := range services {
			sim.waitUntil("tasks running again", servedWithin, func() bool { return service.runningTasks() == tasks })
		}
		if after, _ := sim.shardRecord(); after.Record.OwnerChanges != before.Record.OwnerChanges {
			sim.t.Error("shard moved, though agents cannot reach any other node either")
		}
	})
}

// Two of three nodes, one of them the leader, are partitioned from all agents. An agent that gets no answer from the
// leader tries the other partitioned node next, and only then the third.
//
// Failure guarded against: a leader handed over only once agents had reached a peer on their own. By then ten seconds
// of timeouts had passed, more than the time in which a leader without heartbeats must hand over; the next leader,
// also partitioned, took as long. Seen in CI in 34 of 800 runs of TestNodeReachedByAgentsBecomesLeader, seed 5: the
// node that agents reach did not become leader in time.
func TestLeaderHandsOverWhenAgentsTryAnotherPartitionedNodeFirst(t *testing.T) {
	runSeeds(t, 8, 3, func(sim *simCluster) {
		sim.runServiceInZone("a", 4)
		leader, _ := sim.waitForRestoredLeader()
		reached := sim.lastNodeTriedAfter(leader)
		cutAt := sim.now()
		for _, controller := range sim.otherControllers(reached) {
			sim.partitionNode(controller, 3*micro.Minute, "workers")
		}
		sim.waitUntil("first leader handed over", sim.handoverBound(), func() bool {
			next := sim.leader()
			return next != nil && next != leader
		})
		untilReached := cutAt + 2*sim.handoverBound() - sim.now()
		sim.waitUntil("node reached by agents leads", untilReached, func() bool { return sim.leader() == reached })
	})
}

// lastNodeTriedAfter returns the node that agents try last when they get no answer from the given node.
func (w *simCluster) lastNodeTriedAfter(controller *controllerProcess) *controllerProcess {
	for i, other := range w.controllers {
		if other == controller {
			return w.controllers[(i+len(w.controllers)-1)%len(w.controllers)]
		}
	}
	w.t.Fatalf("node %s is not in the cluster", controller.name)
	return nil
}

// Agents that cannot connect to any controller still answer what controllers send to them, the leader included; no
// other node would receive their heartbeats either. The first version of the probes took an answer to a peer's probe
// as evidence that the leader is partitioned, and the leader handed over.
func TestLeaderStaysWhenAgentsReachNoController(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			runSeeds(t, 4, nodes, func(sim *simCluster) {
				sim.runServiceInZone("a", 4)
				sim.waitForRestoredLeader()
				term := sim.currentTerm()
				for _, machine := range sim.liveMachines() {
					machine.loseHeartbeats(micro.Minute)
				}
				sim.sleep(micro.Minute)
				if sim.currentTerm() != term {
					sim.t.Error("leader changed, though agents cannot reach any other node either")
				}
			})
		})
	}
}

// All machines hang for longer than it takes until they are suspect, and then resume.
//
// Failure guarded against: a machine that resumed answered a peer's probe at once, but reached the leader only a
// second later, after the heartbeat that it was waiting for had timed out. A probe in between showed a live agent,
// and the leader handed over although every agent could reach it.
func TestLeaderStaysWhenAllMachinesHangTemporarily(t *testing.T) {
	const hang = 12 * micro.Second
	runSeeds(t, 16, 3, func(sim *simCluster) {
		sim.runServiceInZone("a", 4)
		sim.waitForRestoredLeader()
		sim.sleep(10 * micro.Second)
		term := sim.currentTerm()
		for _, machine := range sim.liveMachines() {
			machine.hang(hang)
		}
		sim.sleep(hang + 5*micro.Second)
		if sim.currentTerm() != term {
			sim.t.Error("leader changed, though agents can reach every node")
		}
	})
}

// An agent reaches the leader while the leader's peers probe agents for it; their answer arrives before the next sweep.
//
// Failure guarded against: only a sweep, every half second, recorded the contact, and a peer whose probes are not all
// answered takes 300 ms. The leader therefore handed over although an agent had reached it meanwhile.
func TestReferralAnswerIsIgnoredOnceAnAgentReachedTheLeader(t *testing.T) {
	runSeeds(t, 1, 3, func(sim *simCluster) {
		sim.runServiceInZone("a", 4)
		leader, _ := sim.waitForRestoredLeader()
		loop := leader.runningNode().activeLeader()
		accepted := 0
		const attempts = 200
		for range attempts {
			applied := make(chan struct{})
			loop.post(func() {
				defer close(applied)
				var reachedAt micro.Time
				for _, machine := range loop.cluster.SortedMachines() {
					if machine.State == cluster.Up {
						reachedAt = max(reachedAt, machine.LastHeartbeat)
					}
				}
				askedAt := reachedAt - 1
				referralQueryCompleted{
					loop.controlLoop, referral.Result{Reached: true}, askedAt, func(referral.Result) { accepted++ },
				}.Apply()
			})
			<-applied
			sim.sleep(50 * micro.Millisecond)
		}
		if accepted > 0 {
			sim.t.Errorf(
				"%d of %d referral answers accepted, though an agent has reached the leader since it asked", accepted, attempts,
			)
		}
	})
}

// The owner of a shard is partitioned from all agents, and so is the node that they try next.
//
// Failure guarded against: without probes, the owner reports that no agent reaches it only after agents have waited
// for their timeouts at both nodes and reached the third.
func TestShardIsMovedWhenAgentsTryAnotherPartitionedNodeFirst(t *testing.T) {
	runShardScenario(t, 4, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		owner := sim.controllers[2]
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 4, zone: "b", team: "team"}).submit()
		sim.waitRunning(service, 4)
		sim.sleep(10 * micro.Second) // further requested machines are up
		before, _ := sim.shardRecord()
		for _, controller := range sim.otherControllers(sim.lastNodeTriedAfter(owner)) {
			sim.partitionNode(controller, 3*micro.Minute, "workers")
		}
		movedWithin := sim.handoverBound() + statusUpdateInterval
		sim.waitUntil("shard moved", movedWithin, func() bool {
			after, _ := sim.shardRecord()
			return after.Record.OwnerChanges != before.Record.OwnerChanges
		})
	})
}
