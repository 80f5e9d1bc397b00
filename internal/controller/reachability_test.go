package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A leader of many agents is partitioned from all of them at once, and from nothing else. Single machines are
// considered silent after 7.75 s, the last of them 3.75 s later; another node must lead well before that, and no task
// may start twice.
func TestLeaderPartitionedFromManyAgentsHandsOverWithinSeconds(t *testing.T) {
	const (
		tasks         = 60   // one on each machine
		cpus          = 0.25 // the sum of all tasks is below the team's limit
		handoverBound = 5500 * micro.Millisecond
	)
	for seed := range uint64(3) {
		runScenario(t, seed, 3, func(sim *simCluster) {
			sim.fastBoot = true
			// Capacity for one task on each machine.
			machineType := wire.MachineType{
				Name: "tiny", CPUs: cpus, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 5, FetchGBPerS: 1,
				Zones: []string{"a", "b"},
			}
			sim.machineTypes = []wire.MachineType{machineType}
			sim.checker.machineTypes[machineType.Name] = machineType
			sim.cloud.Types, sim.cloud.Capacity = sim.machineTypes, 2*tasks
		}, func(sim *simCluster) {
			sim.waitForRestoredLeader()
			job := sim.newJob(
				jobRequest{kind: wire.JobArray, tasks: tasks, cpus: cpus, runTime: 5 * micro.Minute, team: "team"},
			).submit()
			sim.waitUntil("all tasks running", 2*micro.Minute, func() bool { return job.runningTasks() == tasks })
			sim.sleep(10 * micro.Second)
			leader := sim.leader()
			leader.setPartitioned(true, "workers")
			partitionedAt := sim.now()
			sim.waitUntil(
				"another node leads", micro.Minute, func() bool { next := sim.leader(); return next != nil && next != leader },
			)
			if took := sim.now() - partitionedAt; took > handoverBound {
				t.Errorf(
					"seed %d: another node leads %.1f s after the partition, want at most %.1f s", seed, took.Seconds(),
					handoverBound.Seconds(),
				)
			}
			sim.sleep(micro.Minute)
			leader.setPartitioned(false, "workers")
			if starts := job.startCount(); starts != tasks {
				t.Errorf("seed %d: %d starts of %d tasks, want one each", seed, starts, tasks)
			}
		})
	}
}
