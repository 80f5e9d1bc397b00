package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// A shard's only zone is lost, with the machines and perhaps a controller in it: its begun jobs, which
// may run in the other zone, go there.
func TestStartedJobsOfAShardRunElsewhereAfterZoneLoss(t *testing.T) {
	for name, dead := range map[string]bool{"machines only": false, "with its controller": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 230, 3, func(sim *simCluster) {
				withShard(sim)
				sim.config.Shards.Declared[0].Teams = []string{"team"}
			}, func(sim *simCluster) {
				sim.waitShardOwned("n-2", 2*micro.Minute)
				first := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4, zone: "b"}).submit()
				sim.waitRunning(first, 2)
				first.cancel()
				sim.waitUntil("gone", micro.Minute, func() bool { return first.runningTasks() == 0 })
				sim.sleep(3 * micro.Second)
				array := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, cpus: 4, runTime: 20 * micro.Minute}).submit()
				sim.waitRunning(array, 2)
				for _, machine := range array.machines() {
					if machine.agent.Zone != "b" {
						sim.t.Fatal("not in the shard")
					}
				}
				sim.sleep(20 * micro.Second)
				sim.cloud.failsBoot = func(r wire.InstanceRequest) bool { return r.Zone == "b" }
				if dead {
					sim.killController(sim.controllerNamed("n-1"))
				}
				for _, machine := range sim.liveMachines() {
					if machine.agent.Zone == "b" {
						machine.terminate()
					}
				}
				from := sim.now()
				sim.waitUntil("it runs in the other zone", 15*micro.Minute, func() bool { return array.runningTasks() == 2 })
				sim.t.Logf("after %.1f s", (sim.now() - from).Seconds())
			})
		})
	}
}

// An array of which not all tasks fit at once loses the machines that it has in a shard. It is recalled
// at once, as if it had waited for as long as its tasks had run, though others boot there in seconds.
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
					"recalled %.1f s after its machines died, runs again after %.1f", (recalledAt - died).Seconds(),
					(runsAt - died).Seconds(),
				)
			}
		})
	}
}

// isRecalled reports whether the store says that a job is recalled.
func (w *simCluster) isRecalled(job *userJob) bool {
	item, err := w.store.Get(w.ctx, store.Routine, shard.AssignmentKey("east", job.id))
	var assignment shard.Assignment
	return err == nil && wire.Unmarshal(item.Value, &assignment) == nil && assignment.RecallRequested
}

// The zone of a shard is cut off with the shard's owner. The next owner hears none of the zone's
// machines: that is no sign that they are dead.
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
		sim.waitUntil("idle", micro.Minute, func() bool { return service.runningTasks() == 0 })
		sim.sleep(2 * micro.Second)
		from := sim.now()
		sim.partitionZone("b", 4*micro.Minute)
		for sim.now() < from+4*micro.Minute {
			sim.sleep(micro.Second)
			for _, machine := range machines {
				if !machine.isUp() {
					sim.t.Fatalf("%s was terminated %.1f s after the cut began", machine.agent.Name, (sim.now() - from).Seconds())
				}
			}
		}
	})
}

// partitionZoneFromNodes cuts a zone off from the other zones' nodes and machines, for so long: its own
// controllers reach the store, and keep their sessions.
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

// The zone of a shard is cut off from all but the store, and an owner outside takes the shard over
// meanwhile. In the moment in which the cut ends the zone counts as reachable, and idle machines of which
// the owner could not hear for the length of the cut are terminated.
func TestIdleShardMachinesAreKeptAfterPartitionWithOwnerChange(t *testing.T) {
	for _, nodes := range []int{3, 5} { // zone b has one controller, or two, and lease proxies
		for _, storeCut := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes, store cut off %v", nodes, storeCut), func(t *testing.T) {
				runIdleMachinesAfterPartition(t, nodes, storeCut)
			})
		}
	}
}

func runIdleMachinesAfterPartition(t *testing.T, nodes int, storeCut bool) {
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
		sim.waitUntil("idle", micro.Minute, func() bool { return service.runningTasks() == 0 })
		sim.sleep(2 * micro.Second)
		sim.moveShard("n-2")
		from := sim.now()
		if storeCut {
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
					sim.t.Fatalf("%s was terminated %.1f s after the cut of 240 s began", machine.agent.Name, (sim.now() - from).Seconds())
				}
			}
		}
	})
}
