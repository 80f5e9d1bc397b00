package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/referral"
	"notchmux.dev/notchmux/wire"
)

// servedWithin is by when the users want a waiting job served once the last trouble is over.
const servedWithin = 4 * micro.Minute

// All machines die while their tasks take up a team's quota, and a job of that team waits for
// it. In each term a machine is requested for something else, comes up, and is returned as idle
// after a while: the only agent that reaches the leader goes.
//
// What happened: the leader handed over ("no agent reaches this node") a second and a half
// after it had returned that machine itself, because the dead ones counted as suspect and no
// other was up. The next leader requested a machine in its turn, was reached by it, and so
// forgot how often it had handed over. Terms of 12 to 27 s followed one another for ever, too
// short to prove leases of 30 s expired, and what waits for the quota was never served.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, in all 20 handovers of seed 20246 and 9 of the
// 26 of seed 10321, by these lines of a term: "scale-out requested", "machine from=registering to=up reason=reports",
// "machine from=up to=terminating reason=idle" and, 1.1 to 1.7 s later, "resigning reason=no
// agent reaches this node".
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
					sim.waitUntil("the waiting job runs", servedWithin, func() bool { return waiting.runningTasks() == 1 })
				})
			})
		}
	}
}

// runShortJobs has a team submit short jobs, each once the machines of the one before were
// returned, until the scenario ends.
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

// All machines die at once, and the work on them takes three quarters of the time within which
// the users want it served.
//
// What happened: every node found only dead machines, and none could tell that from a network
// that keeps the agents from it. So the lead went round, twice to each node, before one
// stayed: 50 to 97 s with three to five nodes, in which no term was long enough to prove the
// leases of the dead machines expired.
func TestLeadDoesNotGoRoundWhereAllMachinesDied(t *testing.T) {
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
				sim.waitUntil("the first tasks run", micro.Minute, func() bool { return job.runningTasks() == tasksAtOnce })
				term := sim.currentTerm()
				for _, machine := range sim.liveMachines() {
					machine.terminate()
				}
				sim.waitUntil("the job is done", servedWithin, func() bool { return job.knowledge().done })
				if sim.currentTerm() != term {
					sim.t.Error("the lead changed, though agents reach no other node either")
				}
			})
		})
	}
}

// The machines of a shard die at once, all others live.
//
// What happened: the owner told the leader that no agent reached it, and the leader moved the shard
// twice, for the same reason: neither asked whether agents looked for the owner elsewhere.
func TestShardDoesNotGoRoundWhereAllItsMachinesDied(t *testing.T) {
	runShardScenario(t, 3, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		const tasks = teamMaxCPUs / 4
		var services []*userJob
		for _, team := range []string{"team", "other"} {
			service := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, zone: "b", team: team}).submit()
			sim.waitRunning(service, tasks)
			services = append(services, service)
		}
		sim.sleep(10 * micro.Second) // what was requested beside is up
		before, _ := sim.shardRecord()
		for _, machine := range sim.liveMachines() {
			if machine.agent.Zone == "b" {
				machine.terminate()
			}
		}
		for _, service := range services {
			sim.waitUntil("the tasks run again", servedWithin, func() bool { return service.runningTasks() == tasks })
		}
		if after, _ := sim.shardRecord(); after.Record.OwnerChanges != before.Record.OwnerChanges {
			sim.t.Error("the shard was moved, though agents reach no other node either")
		}
	})
}

// Two of three nodes are cut off from all agents, and one of them leads: an agent that gets no answer
// there tries the other one next, and only then the third.
//
// What happened: a leader handed over only once agents had come to a peer on their own. Ten seconds of
// timeouts went by before that, beyond the time in which one that no agent reaches hands over; the
// next leader, cut off as well, took as long. Seen in CI: TestNodeThatAgentsReachComesToLead, seed 5,
// in 34 of 800 runs, "never: the node that workers reach leads".
func TestLeaderHandsOverThoughAgentsTryAnotherCutNodeFirst(t *testing.T) {
	runSeeds(t, 8, 3, func(sim *simCluster) {
		sim.fillZone("a", 4)
		leader, _ := sim.waitForRestoredLeader()
		reached := sim.lastTriedAfter(leader)
		cutAt := sim.now()
		for _, controller := range sim.otherControllers(reached) {
			sim.partitionNode(controller, 3*micro.Minute, "workers")
		}
		sim.waitUntil("the first leader handed over", sim.handoverBound(), func() bool {
			next := sim.leader()
			return next != nil && next != leader
		})
		untilReached := cutAt + 2*sim.handoverBound() - sim.now()
		sim.waitUntil("the node that agents reach leads", untilReached, func() bool { return sim.leader() == reached })
	})
}

// lastTriedAfter is the node to which agents come last that get no answer from a node.
func (w *simCluster) lastTriedAfter(controller *controllerProcess) *controllerProcess {
	for i, other := range w.controllers {
		if other == controller {
			return w.controllers[(i+len(w.controllers)-1)%len(w.controllers)]
		}
	}
	w.t.Fatalf("no such node: %s", controller.name)
	return nil
}

// Agents that can open no connection to any controller answer what is sent to them, also by the leader:
// no other node would hear them either. A first version of the probes took a peer's for a sign that
// the leader is cut off, and handed over.
func TestLeaderStaysWhereAgentsReachNoController(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			runSeeds(t, 4, nodes, func(sim *simCluster) {
				sim.fillZone("a", 4)
				sim.waitForRestoredLeader()
				term := sim.currentTerm()
				for _, machine := range sim.liveMachines() {
					machine.loseHeartbeats(micro.Minute)
				}
				sim.sleep(micro.Minute)
				if sim.currentTerm() != term {
					sim.t.Error("the lead changed, though agents reach no other node either")
				}
			})
		})
	}
}

// All machines stand still for longer than until they are suspect, and go on.
//
// What happened: a machine that goes on answered a peer's probe at once, and reached the leader only a second
// later, once it had given up the heartbeat that it was waiting for. A probe in between showed a live agent, and
// the leader handed over though every agent reaches it.
func TestLeadStaysWhereAllMachinesHangForAWhile(t *testing.T) {
	const hang = 12 * micro.Second
	runSeeds(t, 16, 3, func(sim *simCluster) {
		sim.fillZone("a", 4)
		sim.waitForRestoredLeader()
		sim.sleep(10 * micro.Second)
		term := sim.currentTerm()
		for _, machine := range sim.liveMachines() {
			machine.hang(hang)
		}
		sim.sleep(hang + 5*micro.Second)
		if sim.currentTerm() != term {
			sim.t.Error("the lead changed, though agents reach every node alike")
		}
	})
}

// An agent reaches the leader while the peers are being asked; their answer comes before the next sweep.
//
// What happened: only a sweep, every half second, took note of the contact, and a peer whose probes are not all
// answered takes 300 ms. So the leader handed over though an agent has reached it meanwhile.
func TestLeaderThatAnAgentReachedSinceItAskedStays(t *testing.T) {
	runSeeds(t, 1, 3, func(sim *simCluster) {
		sim.fillZone("a", 4)
		leader, _ := sim.waitForRestoredLeader()
		loop := leader.runningNode().activeLeader()
		wentOn := 0
		const looks = 200
		for range looks {
			looked := make(chan struct{})
			loop.post(func() {
				defer close(looked)
				var reachedAt micro.Time
				for _, machine := range loop.cluster.SortedMachines() {
					if machine.State == cluster.Up {
						reachedAt = max(reachedAt, machine.LastHeartbeat)
					}
				}
				askedAt := reachedAt - 1
				referralQueryCompleted{
					loop.controlLoop, referral.Answer{Reached: true}, askedAt, func(referral.Answer) { wentOn++ },
				}.Apply()
			})
			<-looked
			sim.sleep(50 * micro.Millisecond)
		}
		if wentOn > 0 {
			sim.t.Errorf("%d of %d answers count, though an agent has reached the node since it asked", wentOn, looks)
		}
	})
}

// The owner of a shard is cut off from all agents, and so is the node that they try next.
//
// What would happen without probes: the owner does not say that no agent reaches it until agents have waited out
// their timeouts at both nodes, and come to the third.
func TestShardMovesThoughAgentsTryAnotherCutNodeFirst(t *testing.T) {
	runShardScenario(t, 4, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		owner := sim.controllers[2]
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 4, zone: "b", team: "team"}).submit()
		sim.waitRunning(service, 4)
		sim.sleep(10 * micro.Second) // what was requested beside is up
		before, _ := sim.shardRecord()
		for _, controller := range sim.otherControllers(sim.lastTriedAfter(owner)) {
			sim.partitionNode(controller, 3*micro.Minute, "workers")
		}
		movedWithin := sim.handoverBound() + statusUpdateInterval
		sim.waitUntil("the shard is moved", movedWithin, func() bool {
			after, _ := sim.shardRecord()
			return after.Record.OwnerChanges != before.Record.OwnerChanges
		})
	})
}
