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

// Scenarios in which machines get another owner: with task ends that are not stored yet, or when they are dead.

// Guards against a shard that is granted before the task ends on its machines are stored, so that the tasks run again.
//
// A shard was granted once the leader had no allocation on its machines in memory, and the leader ended before it had
// stored the ends. The agents reported them to the new owner, which did not know the job and had the agents forget
// them. The next leader considered the tasks running until their machines' leases had expired, and restarted them.
func TestShardIsGrantedOnlyAfterTaskEndsOnItsMachinesAreStored(t *testing.T) {
	runScenario(t, 90, 3, checkTaskStarts, func(sim *simCluster) {
		array := sim.newHandoverArray(false, "team").submit()
		sim.waitRunning(array, arrayTasksAtOnce)
		sim.declareShard(onDemand)
		allow := sim.refuseCommits(keys.ChunkPrefix)
		sim.waitUntil("the first tasks have ended", micro.Minute, func() bool {
			return array.doneTasks() == arrayTasksAtOnce
		})
		sim.sleep(20 * micro.Second)
		if entry, ok := sim.shardRecord(); !ok || entry.Record.State != shard.Forming {
			sim.t.Errorf("the shard is %s, want forming", entry.Record.State)
		}
		sim.restartLeader(5 * micro.Second)
		sim.sleep(10 * micro.Second)
		allow()
		sim.waitShardOwned("n-2", 2*micro.Minute)
		sim.waitDone(array, servedWithin)
	})
}

// refuseCommits has the store refuse all changes of keys with a prefix until the returned function is called.
func (w *simCluster) refuseCommits(prefix string) (allow func()) {
	var refused atomic.Bool
	refused.Store(true)
	fault := func(int, wire.Change) fake.CommitFault { return fake.CommitFault{Refused: refused.Load()} }
	for _, controller := range w.controllers {
		w.onCommit(controller, prefix, fault)
	}
	return func() { refused.Store(false) }
}

// Guards against idle machines of a shard that die shortly before its owner ends, and are never terminated.
//
// The next owner learns of machines from their heartbeats and from its records, and dead idle machines have neither.
// The leader considered them up, as the previous owner had reported. They occupied the capacity of the cloud, and
// since they counted as up, an offer of which no machine boots was not excluded.
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
				sim.t.Fatalf("%s is not a spot machine", machine.agent.Name)
			}
			machine.terminate()
		}
		sim.restartController(sim.controllerNamed("n-2"), 20*micro.Second)
		for _, machine := range dead {
			sim.waitUntil(
				machine.agent.Name+" is terminated", servedWithin, func() bool { return !sim.requestStored(machine) },
			)
		}
	})
}

// Guards against replicas that fit only on a shard's machines, are stopped as soon as the shard is being formed, and
// stay down until the longest task on those machines has ended.
func TestReplicasWithoutOtherMachinesRunUntilShardMachinesAreFree(t *testing.T) {
	runThreeSeeds(t, 92, checkTaskStarts, func(sim *simCluster) {
		array := sim.newJob(
			jobRequest{kind: wire.JobArray, tasks: 2, cpus: 4, runTime: 90 * micro.Second, team: "other"},
		).submit()
		sim.waitRunning(array, 2)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4}).submit()
		sim.waitRunning(service, 2)
		sim.declareShard(onDemand)
		outage := micro.Time(0)
		for owned := false; !owned || service.runningTasks() < 2; {
			const step = 50 * micro.Millisecond
			sim.sleep(step)
			if service.runningTasks() == 0 {
				outage += step
			}
			entry, ok := sim.shardRecord()
			owned = ok && entry.Record.State == shard.Owned
			if outage > servedWithin {
				break
			}
		}
		sim.t.Logf("no replica ran for %v", outage.Duration())
		if array.runningTasks() > 0 {
			sim.t.Error("the array still runs: the shard was not granted before the service ran again")
		}
		const maxOutage = 30 * micro.Second // far less than the run time of the array's tasks, 90 s
		if outage > maxOutage {
			sim.t.Errorf("no replica ran for %v, more than %v", outage.Duration(), maxOutage.Duration())
		}
	})
}
