package controller

import (
	"bytes"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Scenarios with a shard in which accepted jobs were permanently unserved. The random scenarios found them;
// docs/incidents has the postmortems.

// runOnDemandShardScenario runs a scenario on three nodes once n-2 owns a shard of all on-demand machines.
func runOnDemandShardScenario(t *testing.T, seed uint64, scenario func(sim *simCluster)) {
	t.Helper()
	runScenario(t, seed, 3, func(sim *simCluster) {
		withShard(sim)
		sim.config.Shards.Declared[0].Selector = shard.Selector{Kind: shard.OnDemandOnly}
	}, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		scenario(sim)
	})
}

// Guards against a leader that leaves an undescribed machine to a shard. A spot machine dies, its tasks are allocated
// elsewhere, and a late copy of its heartbeat reaches the next leader, which counts the tasks in it until their lease
// is proven expired. The leader after that knows the machine by its allocations only, which do not hold its type.
//
// An undescribed machine was treated as on-demand, and so matched a shard of on-demand machines. The leader left it to
// the shard's owner, which did not know it: its lease never expired. Its allocations stayed charged to the team's
// quota, and the user of a job with a task there was never notified of a cancellation.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seed 100339: the tasks of j-0016 were commanded to stop at
// 171.4 s, and two of their machines were terminated as idle. For i-000009, which had died at 61.8 s and was adopted at
// 85.2 s (reason="not in the records"), no line follows until the end at 446.6 s; the last "leader status" has live=0
// known=1.
func TestUndescribedMachineIsNotLeftToAShard(t *testing.T) {
	runOnDemandShardScenario(t, 47, func(sim *simCluster) {
		sim.startRecording()
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, spot: true}).submit()
		sim.waitRunning(job, 1)
		dead := job.machines()[0]
		if !dead.agent.Spot {
			sim.t.Fatalf("%s is not a spot machine", dead.agent.Name)
		}
		sim.sleep(5 * micro.Second)
		dead.terminate()
		sim.waitUntil("the service runs on another machine", micro.Minute, func() bool { return job.runningTasks() == 1 })
		sim.waitUntil("the record of its instance request is deleted", 2*micro.Minute, func() bool {
			return !sim.requestStored(dead)
		})
		sim.replaceLeader(5 * micro.Second)
		dead.replayHeartbeatWith(job)
		sim.waitUntil("the allocation in the late heartbeat is stored", micro.Minute, func() bool {
			return sim.allocationStored(dead.agent.Name, fake.AttemptKey{Task: job.id + "/0", Attempt: 1})
		})
		sim.replaceLeader(5 * micro.Second)
		go job.cancel()
		sim.waitUntil("the user is notified of the cancellation", servedWithin, func() bool {
			return job.knowledge().aborted
		})
		const tasks = teamMaxCPUs / 4
		next := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4}).submit()
		sim.waitUntil("the whole quota can be used again", servedWithin, func() bool { return next.runningTasks() == tasks })
	})
}

// requestStored reports whether the instance request by which a machine was provisioned is still stored.
func (w *simCluster) requestStored(machine *fakeMachine) bool {
	page, err := w.store.Range(w.ctx, store.Routine, keys.InstanceRequestPrefix, "", 1000)
	if err != nil {
		w.t.Error(err)
	}
	for _, item := range page.Items {
		if bytes.Contains(item.Value, []byte(machine.agent.Name)) {
			return true
		}
	}
	return false
}

// Guards against a waiting job in a shard that keeps other jobs from the shard's free machines. The job waits for
// machines of a zone where none boots, while jobs for another zone wait at the leader and the shard has empty machines
// there.
//
// An owner reported no free capacity while any job waited in its shard, even one that could not use the capacity. As
// long as the first job waited, the leader assigned nothing, the empty machines were terminated as idle, and others
// were requested.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seed 200487: from 284 to 397 s j-0007, which required zone b,
// waited in the shard ("job waits ... reason="insufficient resources""). The owner's "leader status" had
// "small a ordinary 15, 15 empty", the leader's pending=12 tasks=41, and no task was allocated from 292 to 397 s.
func TestJobThatCannotUseFreeShardMachinesDoesNotBlockOtherJobs(t *testing.T) {
	runOnDemandShardScenario(t, 48, func(sim *simCluster) {
		waiting := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "b"}).submit()
		sim.waitRunning(waiting, 1)
		sim.mu.Lock()
		sim.cloud.failsBoot = func(request wire.InstanceRequest) bool { return request.Zone == "b" }
		sim.mu.Unlock()
		waiting.machines()[0].terminate()
		sim.sleep(45 * micro.Second) // by then the machine's lease is proven expired and the task waits
		other := sim.newJob(
			jobRequest{kind: wire.JobArray, tasks: 2, cpus: 4, runTime: 5 * micro.Second, zone: "a", team: "other"},
		).submit()
		go other.watchUntilFinal()
		sim.waitUntil("the other job is done", servedWithin, func() bool { return other.knowledge().done })
		if waiting.runningTasks() > 0 {
			sim.t.Error("the first job did not wait until the other was done")
		}
	})
}

// Guards against a leader that hands the leadership over although agents reach its node: it owns a shard whose agents
// reach it, and all machines outside the shard die.
//
// The leader handed over because no agent reached its leader loop, though some reached its node as the shard owner. So
// did the other nodes in turn; and on the node that owned the shard by then, heartbeats of the shard's machines reset
// the memory of its handover. The leadership circulated for 100 s and more.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seeds 2000697 and 2000081: 12 and 10 times
// "handover hands_over=true up=0 suspect=3", in the former with hands_over=false at 221.96 s and hands_over=true on
// the same node and in the same term at 223.46 s.
func TestLeaderReachedByAgentsOfItsShardKeepsLeading(t *testing.T) {
	runOnDemandShardScenario(t, 49, func(sim *simCluster) {
		owner := sim.controllerNamed("n-2")
		for sim.leader() != owner {
			sim.replaceLeader(20 * micro.Second)
		}
		shardService := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, team: "other"}).submit()
		sim.waitRunning(shardService, 1)
		const tasks = teamMaxCPUs / 4
		spotService := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, spot: true}).submit()
		sim.waitRunning(spotService, tasks)
		term := sim.currentTerm()
		for _, machine := range spotService.machines() {
			machine.terminate()
		}
		sim.waitUntil("the tasks run again", servedWithin, func() bool { return spotService.runningTasks() == tasks })
		if sim.currentTerm() != term {
			sim.t.Error("the leader handed the leadership over")
		}
	})
}

// Guards against leases of a fenced zone that are proven expired too late. The user of a job was notified of its
// cancellation while its tasks were on machines of a zone whose nodes the leader could not reach. The machines are dead
// and still charged to the team's quota; the nodes are reachable again, and another leader starts its term.
//
// The lease proxies of the zone got no replies, so that tasks of the cancelled job end in time. The new leader knew
// nothing of the proxies, and assumed that they renewed leases for as long as a reply in the previous term could
// permit: no lease was proven expired during the first 76 s of the term.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seed 4001567: "lease proxy from=connected to=isolated" on five
// nodes at 168 s, "to=connected" at 364 s, although no partition lasted beyond 205 s. The last term starts at 286.4 s,
// and the first machine expires at 362.7 s.
func TestLeasesOfAFencedZoneAreProvenExpiredInTime(t *testing.T) {
	runScenario(t, 50, 4, nil, func(sim *simCluster) {
		const tasksAtOnce = teamMaxCPUs / 4
		const runTime = servedWithin / 4
		cancelled := sim.newJob(jobRequest{kind: wire.Service, tasks: tasksAtOnce, cpus: 4, zone: "a"}).submit()
		sim.waitRunning(cancelled, tasksAtOnce)
		live := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 1, zone: "b", team: "other"}).submit()
		sim.waitRunning(live, 4)
		for sim.leader().zone != "b" {
			sim.replaceLeader(10 * micro.Second)
		}
		sim.sleep(20 * micro.Second)
		for _, controller := range sim.controllers {
			if controller.zone == "a" {
				sim.partitionNode(controller, 45*micro.Second, "peers")
			}
		}
		for _, machine := range cancelled.machines() {
			machine.terminate()
		}
		go cancelled.cancel()
		sim.waitUntil("the user is notified of the cancellation", 45*micro.Second, func() bool {
			return cancelled.knowledge().aborted
		})
		sim.waitUntil("all faults have ended", micro.Minute, sim.noActiveFaults)
		waiting := sim.newJob(
			jobRequest{kind: wire.JobArray, tasks: 3 * tasksAtOnce, cpus: 4, runTime: runTime},
		).submit()
		sim.replaceLeader(5 * micro.Second)
		go waiting.watchUntilFinal()
		sim.waitUntil("the waiting job is done", servedWithin, func() bool { return waiting.knowledge().done })
	})
}

// Guards against leases that never expire because their shard, whose machines are all dead, is moved by an operator
// every few seconds.
//
// Each owner waited for a full lease before it considered the leases expired, since the previous owner could have
// renewed them just before the move. No ownership lasted for a lease, so the dead machines' allocations were kept until
// the moves ended.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, in 7 of the 13 slowest of 3,000 seeds (5000151: the shard's owner
// changes nine times from 154 to 264 s, five machines expire at 295 s).
func TestLeasesExpireThoughTheShardMoves(t *testing.T) {
	runShardScenario(t, 51, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		const tasks = teamMaxCPUs / 4
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, zone: "b"}).submit()
		sim.waitRunning(service, tasks)
		go sim.moveShardRepeatedly(8 * micro.Second)
		for _, machine := range service.machines() {
			machine.terminate()
		}
		sim.waitUntil("the tasks run again", servedWithin, func() bool { return service.runningTasks() == tasks })
	})
}

// Guards against idle machines that are never terminated because their shard is moved by an operator every few seconds.
//
// Each owner counted the machines as idle only from the first heartbeat that it received. They were kept, paid for and
// occupied the cloud's capacity until the moves ended.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seed 5000818: eleven idle machines of the shard are terminated
// from 311 to 314 s, 46 s after the last move, while eight jobs wait for machines that the cloud refuses.
func TestIdleMachinesAreTerminatedThoughTheirShardMoves(t *testing.T) {
	runShardScenario(t, 52, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 4, zone: "b"}).submit()
		sim.waitRunning(service, 4)
		machines := service.machines()
		go sim.moveShardRepeatedly(8 * micro.Second)
		service.cancel()
		const detectionDelay = 15 * micro.Second // moves delay the owner's scan for idle machines
		sim.sleep(sim.config.IdleTerminateAfter + detectionDelay)
		for _, machine := range machines {
			if machine.isUp() {
				sim.t.Errorf("%s is not terminated", machine.agent.Name)
			}
		}
	})
}

// moveShardRepeatedly requests moves of the shard to each controller in turn, at the given interval, until the scenario
// ends.
func (w *simCluster) moveShardRepeatedly(every micro.Time) {
	for next := 0; w.ctx.Err() == nil; next++ {
		if controller := w.randomUserNode(); controller != nil {
			command := shard.Command{
				Operation: shard.OperationMove, Shard: "east", Target: w.controllers[next%len(w.controllers)].name,
			}
			controller.runningNode().handleAdmin(wire.MustMarshal(command))
		}
		w.sleep(every)
	}
}

// Guards against machines that are requested in a zone where a shard has empty ones. The shard has empty machines in
// one zone, and a service waits that is to be spread over two zones, and so can only be assigned to the shard with all
// of its tasks.
//
// The autoscaler did not count free capacity in shards, and requested machines for all tasks of the service, repeatedly
// in the zone where the shard had empty ones. Those occupied the cloud's capacity, and the zone without machines got
// none.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seed 5001091 (a trial with a bound of 150 s): seven to ten
// machines of the shard are empty in zone a from 276 to 354 s, 19 more are granted there and no on-demand machine in
// zone b, and five spread services wait, one of them for 244 s.
func TestSpreadServiceHasMachinesRequestedOnlyInTheZoneThatItsShardLacks(t *testing.T) {
	const tasks = 3
	runOnDemandShardScenario(t, 53, func(sim *simCluster) {
		first := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 4, zone: "a", team: "other"}).submit()
		sim.waitRunning(first, 4)
		first.cancel()
		sim.sleep(5 * micro.Second) // the shard's owner has reported its free capacity
		before := sim.grantedMachineCount("a")
		spread := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, spread: true}).submit()
		sim.waitUntil("the service runs", servedWithin, func() bool { return spread.runningTasks() == tasks })
		if more := sim.grantedMachineCount("a") - before; more > 0 {
			sim.t.Errorf("%d more machines were requested in the zone where the shard had four empty machines", more)
		}
	})
}

// grantedMachineCount returns the number of machines that the cloud has granted in a zone so far.
func (w *simCluster) grantedMachineCount(zone string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, machine := range w.machines {
		if machine.agent.Zone == zone {
			count++
		}
	}
	return count
}
