package controller

import (
	"sync/atomic"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// Machines that change hands with a shard: with the ends of tasks that are not stored yet, and dead.

// A shard is given away before the ends of the tasks on its machines are stored, and they run again.
//
// What happened: a shard was granted once the leader's memory held no allocation on its machines. The
// leader ended before it had stored that: the agents told the new owner of the ends, which did not
// know the job, and had them forgotten. The next leader took the tasks for running, until their
// machines' leases had run out, and started them anew.
func TestShardIsGrantedOnlyAfterTaskEndsOnItsMachinesAreStored(t *testing.T) {
	runScenario(t, 90, 3, checkTaskStarts, func(sim *simCluster) {
		array := sim.newHandoverArray(false, "team").submit()
		sim.waitRunning(array, arrayTasksAtOnce)
		sim.declareShard(onDemand)
		allow := sim.refuseCommits(keys.ChunkPrefix)
		sim.waitUntil("the first tasks have ended", micro.Minute, func() bool { return array.doneTasks() == arrayTasksAtOnce })
		sim.sleep(20 * micro.Second)
		if entry, ok := sim.shardRecord(); !ok || entry.Record.State != shard.Forming {
			sim.t.Errorf("the shard is %s", entry.Record.State)
		}
		sim.restartLeader(5 * micro.Second)
		sim.sleep(10 * micro.Second)
		allow()
		sim.waitShardOwned("n-2", 2*micro.Minute)
		sim.waitDone(array, servedWithin)
	})
}

// refuseCommits has the store refuse all changes of keys with a prefix, until the function that it
// returns is called.
func (w *simCluster) refuseCommits(prefix string) (allow func()) {
	var refused atomic.Bool
	refused.Store(true)
	fate := func(int, wire.Change) fake.CommitFault { return fake.CommitFault{Refused: refused.Load()} }
	for _, controller := range w.controllers {
		w.onCommit(controller, prefix, fate)
	}
	return func() { refused.Store(false) }
}

// Idle machines of a shard die, its owner ends, and nobody ever gives them back.
//
// What happened: the next owner knows of machines by their heartbeats and by what its records hold,
// and by neither of these. For the leader they were up, as the owner before had said. They took up
// what the cloud had, and an offer none of whose machines boot was not left out beside machines
// that are up.
func TestIdleMachinesThatDieBeforeAnOwnerChangeAreTerminated(t *testing.T) {
	runScenario(t, 91, 3, func(sim *simCluster) {
		withShard(sim)
		sim.config.Shards.Declared[0].Selector = spotOnly
	}, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4, spot: true}).submit()
		sim.waitRunning(service, 2)
		dead := service.machines()
		service.cancel()
		sim.waitUntil("its machines are idle", micro.Minute, func() bool { return service.runningTasks() == 0 })
		sim.sleep(2 * micro.Second)
		for _, machine := range dead {
			if !machine.agent.Spot {
				sim.t.Fatalf("%s is no spot machine", machine.agent.Name)
			}
			machine.terminate()
		}
		sim.restartController(sim.controllerNamed("n-2"), 20*micro.Second)
		for _, machine := range dead {
			sim.waitUntil(
				machine.agent.Name+" is returned", servedWithin, func() bool { return !sim.requestStored(machine) },
			)
		}
	})
}

// Replicas that only the shard's machines can hold are stopped at once when a shard is formed over them,
// and are down for as long as the longest task there runs.
func TestReplicasWithoutOtherMachinesRunUntilShardMachinesAreFree(t *testing.T) {
	runThreeSeeds(t, 92, checkTaskStarts, func(sim *simCluster) {
		array := sim.newJob(
			jobRequest{kind: wire.JobArray, tasks: 2, cpus: 4, runTime: 90 * micro.Second, team: "other"},
		).submit()
		sim.waitRunning(array, 2)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4}).submit()
		sim.waitRunning(service, 2)
		sim.declareShard(onDemand)
		none := micro.Time(0)
		for owned := false; !owned || service.runningTasks() < 2; {
			const step = 50 * micro.Millisecond
			sim.sleep(step)
			if service.runningTasks() == 0 {
				none += step
			}
			entry, ok := sim.shardRecord()
			owned = ok && entry.Record.State == shard.Owned
			if none > servedWithin {
				break
			}
		}
		sim.t.Logf("no replica for %v", none.Duration())
		if array.runningTasks() > 0 {
			sim.t.Error("the array still runs: the shard was not formed over it")
		}
		const most = 30 * micro.Second // far less than the array's tasks run
		if none > most {
			sim.t.Errorf("no replica for %v, more than %v", none.Duration(), most.Duration())
		}
	})
}
