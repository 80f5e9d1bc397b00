package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Guards against started jobs that stay in a shard whose only zone is lost, with the machines and in one case the
// controller in it, although the jobs may run in the other zone.
func TestStartedJobsOfAShardRunElsewhereAfterZoneLoss(t *testing.T) {
	for name, controllerLost := range map[string]bool{"machines only": false, "with its controller": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 230, 3, func(sim *simCluster) {
				withShard(sim)
				sim.config.Shards.Declared[0].Teams = []string{"team"}
			}, func(sim *simCluster) {
				sim.waitShardOwned("n-2", 2*micro.Minute)
				first := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4, zone: "b"}).submit()
				sim.waitRunning(first, 2)
				first.cancel()
				sim.waitUntil("the first service has stopped", micro.Minute, func() bool { return first.runningTasks() == 0 })
				sim.sleep(3 * micro.Second)
				array := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, cpus: 4, runTime: 20 * micro.Minute}).submit()
				sim.waitRunning(array, 2)
				for _, machine := range array.machines() {
					if machine.agent.Zone != "b" {
						sim.t.Fatal("the array runs outside the shard")
					}
				}
				sim.sleep(20 * micro.Second)
				sim.cloud.failsBoot = func(request wire.InstanceRequest) bool { return request.Zone == "b" }
				if controllerLost {
					sim.killController(sim.controllerNamed("n-1"))
				}
				for _, machine := range sim.liveMachines() {
					if machine.agent.Zone == "b" {
						machine.terminate()
					}
				}
				from := sim.now()
				sim.waitUntil("the array runs in the other zone", 15*micro.Minute, func() bool { return array.runningTasks() == 2 })
				sim.t.Logf("the array runs again after %.1f s", (sim.now() - from).Seconds())
			})
		})
	}
}

// Guards against an array whose tasks do not all fit at once and that is recalled as soon as it loses its machines in
// a shard, as if it had waited for as long as its tasks had run, although new machines boot there within seconds.
func TestArrayThatLosesItsShardMachinesIsNotRecalledAtOnce(t *testing.T) {
	for seed := range uint64(2) {
		runScenario(t, 220+seed, 3, withShard, func(sim *simCluster) {
			sim.waitShardOwned("n-2", 2*micro.Minute)
			array := sim.newJob(
				jobRequest{kind: wire.JobArray, tasks: 6, cpus: 8, runTime: 5 * micro.Minute, zone: "b"},
			).submit()
			sim.waitRunning(array, 2)
			sim.sleep(40 * micro.Second)
			for _, machine := range array.machines() {
				machine.terminate()
			}
			died := sim.now()
			recalledAt, runsAt := micro.Time(0), micro.Time(0)
			for sim.now() < died+2*micro.Minute && runsAt == 0 {
				sim.sleep(100 * micro.Millisecond)
				if sim.isRecalled(array) && recalledAt == 0 {
					recalledAt = sim.now()
				}
				if array.runningTasks() > 0 {
					runsAt = sim.now()
				}
			}
			if recalledAt > 0 && recalledAt < died+leaseS*micro.Second+handBackTimeout {
				sim.t.Errorf(
					"recalled %.1f s after its machines died, runs again after %.1f s", (recalledAt - died).Seconds(),
					(runsAt - died).Seconds(),
				)
			}
		})
	}
}

// isRecalled reports whether the stored assignment of a job requests its recall.
func (w *simCluster) isRecalled(job *userJob) bool {
	item, err := w.store.Get(w.ctx, store.Routine, shard.AssignmentKey("east", job.id))
	var assignment shard.Assignment
	return err == nil && wire.Unmarshal(item.Value, &assignment) == nil && assignment.RecallRequested
}

// Guards against a next owner that terminates the idle machines of a zone because it gets no heartbeats from them: the
// zone is partitioned from the others together with the shard's previous owner, and its machines are alive.
func TestIdleShardMachinesAreKeptDuringPartition(t *testing.T) {
	runScenario(t, 210, 3, func(sim *simCluster) {
		withShard(sim)
		sim.config.Shards.Declared[0].Owner = "n-1" // in zone b
		sim.config.IdleTerminateAfter = 30 * micro.Minute
	}, func(sim *simCluster) {
		sim.waitShardOwned("n-1", 2*micro.Minute)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 3, cpus: 4, zone: "b"}).submit()
		sim.waitRunning(service, 3)
		sim.waitRunning(sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "a", team: "other"}).submit(), 1)
		sim.ensureLeaderOutside("b")
		sim.sleep(10 * micro.Second)
		if entry, _ := sim.shardRecord(); entry.Record.Owner.Node != "n-1" {
			sim.moveShard("n-1")
		}
		sim.sleep(10 * micro.Second)
		machines := service.machines()
		service.cancel()
		sim.waitUntil("the machines are idle", micro.Minute, func() bool { return service.runningTasks() == 0 })
		sim.sleep(2 * micro.Second)
		from := sim.now()
		sim.partitionZone("b", 4*micro.Minute)
		for sim.now() < from+4*micro.Minute {
			sim.sleep(micro.Second)
			for _, machine := range machines {
				if !machine.isUp() {
					sim.t.Fatalf(
						"%s was terminated %.1f s after the partition began", machine.agent.Name, (sim.now() - from).Seconds(),
					)
				}
			}
		}
	})
}

// partitionZoneFromNodes partitions a zone from the nodes and machines of other zones for a time d. The zone's own
// controllers still reach the store, and keep their sessions.
func (w *simCluster) partitionZoneFromNodes(zone string, d micro.Time) {
	set := func(on bool) func() {
		return func() {
			w.mu.Lock()
			w.partitionedZones[zone] = on
			w.mu.Unlock()
		}
	}
	w.injectFault(d, set(true), set(false))
}

// Guards against idle machines that are terminated when a partition of their zone ends, during which the shard got an
// owner outside the zone. The zone counts as reachable from that moment on, while the owner has had no heartbeats of
// its machines for the length of the partition. The partitioned zone reaches the store, or does not.
func TestIdleShardMachinesAreKeptAfterPartitionWithOwnerChange(t *testing.T) {
	for _, nodes := range []int{3, 5} { // zone b has one controller, or two of them and lease proxies
		for _, storePartitioned := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes, store partitioned %v", nodes, storePartitioned), func(t *testing.T) {
				runIdleMachinesAfterPartition(t, nodes, storePartitioned)
			})
		}
	}
}

// runIdleMachinesAfterPartition partitions the shard's zone for four minutes, moves the shard to an owner outside it
// meanwhile, and checks that the idle machines in the zone stay up for six minutes.
func runIdleMachinesAfterPartition(t *testing.T, nodes int, storePartitioned bool) {
	t.Helper()
	runScenario(t, 210, nodes, func(sim *simCluster) {
		sim.config.LeaseProxyFactor = 20
		withShard(sim)
		sim.config.IdleTerminateAfter = 30 * micro.Minute
	}, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 3, cpus: 4, zone: "b"}).submit()
		sim.waitRunning(service, 3)
		sim.waitRunning(sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "a", team: "other"}).submit(), 1)
		sim.ensureLeaderOutside("b")
		sim.sleep(10 * micro.Second)
		machines := service.machines()
		service.cancel()
		sim.waitUntil("the machines are idle", micro.Minute, func() bool { return service.runningTasks() == 0 })
		sim.sleep(2 * micro.Second)
		sim.moveShard("n-2")
		from := sim.now()
		if storePartitioned {
			sim.partitionZone("b", 4*micro.Minute)
		} else {
			sim.partitionZoneFromNodes("b", 4*micro.Minute)
		}
		sim.moveShard("n-0")
		last := ""
		for sim.now() < from+6*micro.Minute {
			sim.sleep(50 * micro.Millisecond)
			if entry, _ := sim.shardRecord(); entry.Record.Owner.Node != last {
				last = entry.Record.Owner.Node
				sim.t.Logf("%.1f s: owner %s", (sim.now() - from).Seconds(), last)
			}
			for _, machine := range machines {
				if !machine.isUp() {
					sim.t.Fatalf(
						"%s was terminated %.1f s after the partition of 240 s began", machine.agent.Name,
						(sim.now() - from).Seconds(),
					)
				}
			}
		}
	})
}
