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

// Scenarios with a shard in which accepted jobs were not served for good. The random scenarios
// found them; docs/incidents has the postmortems.

// runOnDemandShardScenario plays a scenario on three nodes, once n-2 owns a shard of all on-demand
// machines.
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

// A spot machine dies, its tasks are placed elsewhere, and a late copy of its heartbeat reaches
// the next leader, which counts what that shows until it is proven gone. The leader after that
// knows of the machine by its allocations alone, which hold no type.
//
// What happened: where a shard selects on-demand machines, the machine matched it, since what
// is not known of one reads as on-demand. The leader left it to the shard's owner, which knew
// nothing of it: its lease was never found expired. What it had held stayed taken of the
// team's quota, and the user of a job with a task there was never told of a cancellation.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seed 100339: the tasks of j-0016 were told
// to stop at 171.4 s, two of their machines were returned as idle, and of i-000009, which was
// gone since 61.8 s and adopted at 85.2 s (reason="not in the records"), no line follows until
// the end at 446.6 s; the last "leader status" has live=0 known=1.
func TestUndescribedMachineIsNotLeftToAShard(t *testing.T) {
	runOnDemandShardScenario(t, 47, func(sim *simCluster) {
		sim.startRecording()
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, spot: true}).submit()
		sim.waitRunning(job, 1)
		dead := job.machines()[0]
		if !dead.agent.Spot {
			sim.t.Fatalf("%s is no spot machine", dead.agent.Name)
		}
		sim.sleep(5 * micro.Second)
		dead.terminate()
		sim.waitUntil("it runs elsewhere", micro.Minute, func() bool { return job.runningTasks() == 1 })
		sim.waitUntil("no record of its request is left", 2*micro.Minute, func() bool { return !sim.requestStored(dead) })
		sim.replaceLeader(5 * micro.Second)
		dead.replayHeartbeatWith(job)
		sim.waitUntil("what the copy shows is stored", micro.Minute, func() bool {
			return sim.allocationStored(dead.agent.Name, fake.AttemptKey{Task: job.id + "/0", Attempt: 1})
		})
		sim.replaceLeader(5 * micro.Second)
		go job.cancel()
		sim.waitUntil("the user is told", servedWithin, func() bool { return job.knowledge().aborted })
		const tasks = teamMaxCPUs / 4
		next := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4}).submit()
		sim.waitUntil("the whole quota is used again", servedWithin, func() bool { return next.runningTasks() == tasks })
	})
}

// requestStored reports whether the store holds the instance request that a machine came of.
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

// A job waits in a shard for machines of a zone where none come up. Jobs for another zone wait
// at the leader, and the shard has empty machines there.
//
// What happened: an owner reported no free capacity while any job waited in its shard, also
// one that could not use it. The leader assigned nothing, the empty machines were returned as
// idle and others requested, for as long as the first job waited.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seed 200487: from 284 to 397 s j-0007
// waited in the shard ("job waits ... reason="insufficient resources""), bound to zone b; the
// owner's "leader status" said "small a ordinary 15, 15 empty", the leader's pending=12 tasks=41,
// and no task was allocated from 292 to 397 s.
func TestJobThatCannotUseFreeShardMachinesDoesNotBlockOtherJobs(t *testing.T) {
	runOnDemandShardScenario(t, 48, func(sim *simCluster) {
		waiting := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "b"}).submit()
		sim.waitRunning(waiting, 1)
		sim.mu.Lock()
		sim.cloud.failsBoot = func(request wire.InstanceRequest) bool { return request.Zone == "b" }
		sim.mu.Unlock()
		waiting.machines()[0].terminate()
		sim.sleep(45 * micro.Second) // by then the machine's lease is proven expired, and the task waits
		other := sim.newJob(
			jobRequest{kind: wire.JobArray, tasks: 2, cpus: 4, runTime: 5 * micro.Second, zone: "a", team: "other"},
		).submit()
		go other.watchUntilFinal()
		sim.waitUntil("the other job is done", servedWithin, func() bool { return other.knowledge().done })
		if waiting.runningTasks() > 0 {
			sim.t.Error("the first job did not wait meanwhile")
		}
	})
}

// The leader owns a shard whose agents reach it, and all of its other machines die.
//
// What happened: it handed over, for no agent reached its loop, though some reached its node as
// the owner. So did the others in turn; and wherever the shard was by then, its machines made the
// node forget that it had handed over. The lead went round for 100 s and more.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seeds 2000697 and 2000081: 12 and 10 times
// "handover hands_over=true up=0 suspect=3", the former with hands_over=false at 221.96 s and
// hands_over=true on the same node and in the same term at 223.46 s.
func TestLeaderReachedByAgentsOfItsShardKeepsLeading(t *testing.T) {
	runOnDemandShardScenario(t, 49, func(sim *simCluster) {
		owner := sim.controllerNamed("n-2")
		for sim.leader() != owner {
			sim.replaceLeader(20 * micro.Second)
		}
		sharded := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, team: "other"}).submit()
		sim.waitRunning(sharded, 1)
		const tasks = teamMaxCPUs / 4
		spot := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, spot: true}).submit()
		sim.waitRunning(spot, tasks)
		term := sim.currentTerm()
		for _, machine := range spot.machines() {
			machine.terminate()
		}
		sim.waitUntil("the tasks run again", servedWithin, func() bool { return spot.runningTasks() == tasks })
		if sim.currentTerm() != term {
			sim.t.Error("the leader handed over")
		}
	})
}

// The user of a cancelled job was told while its tasks were on machines of a zone whose nodes were
// out of the leader's reach; the machines are dead, and hold the team's quota. The nodes are back,
// and another leader begins.
//
// What happened: so that tasks of the cancelled job end in time, the lease proxies of the zone got
// no answer. The leader then knew nothing of them, and took them to renew leases for as long as an
// answer of the term before could allow: no lease was proven expired until 76 s of the term had
// gone.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seed 4001567: "lease proxy from=connected
// to=isolated" on five nodes at 168 s, "to=connected" at 364 s, in no partition since 205 s; the
// last term begins at 286.4 s, and the first machine is expired at 362.7 s.
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
		sim.waitUntil("the user is told", 45*micro.Second, func() bool { return cancelled.knowledge().aborted })
		sim.waitUntil("all faults are over", micro.Minute, sim.noActiveFaults)
		waiting := sim.newJob(
			jobRequest{kind: wire.JobArray, tasks: 3 * tasksAtOnce, cpus: 4, runTime: runTime},
		).submit()
		sim.replaceLeader(5 * micro.Second)
		go waiting.watchUntilFinal()
		sim.waitUntil("the waiting job is done", servedWithin, func() bool { return waiting.knowledge().done })
	})
}

// A shard whose machines are all dead is moved by an operator every few seconds.
//
// What happened: each owner began to prove the leases expired anew, since the one before may
// have renewed them just before the move. No ownership lasted for a lease, so what the dead
// machines held stayed taken until the moves ended.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, 7 of the 13 slowest of 3,000 seeds (5000151: the
// shard's owner changes nine times from 154 to 264 s, five machines are expired at 295 s).
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

// A shard of idle machines is moved by an operator every few seconds.
//
// What happened: with each owner the machines counted as idle from its first heartbeat on. They
// were kept, and paid for, until the moves ended, and took up what the cloud had.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seed 5000818: eleven idle machines of the shard
// are returned from 311 to 314 s, 46 s after the last move, while eight jobs wait for machines
// that the cloud refuses.
func TestIdleMachinesAreTerminatedThoughTheirShardMoves(t *testing.T) {
	runShardScenario(t, 52, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 4, zone: "b"}).submit()
		sim.waitRunning(service, 4)
		machines := service.machines()
		go sim.moveShardRepeatedly(8 * micro.Second)
		service.cancel()
		const untilFound = 15 * micro.Second // moves meet the owner's look at its machines
		sim.sleep(sim.config.IdleTerminateAfter + untilFound)
		for _, machine := range machines {
			if machine.isUp() {
				sim.t.Errorf("%s is still rented", machine.agent.Name)
			}
		}
	})
}

// moveShardRepeatedly has an operator move the shard round the nodes until the scenario ends.
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

// A shard has empty machines in one zone. A service waits that is to be spread over two zones, and
// so goes to the shard only as a whole.
//
// What happened: what is free in shards was not counted, and all of the service's tasks had machines
// requested, again and again in the zone where the shard had empty ones. They took up what the
// cloud had, and the zone that was missing got none.
//
// Seen in TestRandomScenariosWithShardsKeepTheRules, seed 5001091 (trial, a bound of 150 s): seven to
// ten machines of the shard are empty in zone a from 276 to 354 s, 19 more are granted there and no
// on-demand one in zone b, and five spread services wait, one for 244 s.
func TestSpreadServiceHasMachinesRequestedOnlyInTheZoneThatItsShardLacks(t *testing.T) {
	const tasks = 3
	runOnDemandShardScenario(t, 53, func(sim *simCluster) {
		first := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 4, zone: "a", team: "other"}).submit()
		sim.waitRunning(first, 4)
		first.cancel()
		sim.sleep(5 * micro.Second) // the shard's owner has told of what is free
		before := sim.grantedMachineCount("a")
		spread := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, spread: true}).submit()
		sim.waitUntil("the service runs", servedWithin, func() bool { return spread.runningTasks() == tasks })
		if more := sim.grantedMachineCount("a") - before; more > 0 {
			sim.t.Errorf("%d more machines were requested in the zone where the shard had four empty ones", more)
		}
	})
}

// grantedMachineCount counts the machines that the cloud granted so far in a zone.
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
