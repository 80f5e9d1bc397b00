package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A leader of many agents loses all of them at once, and nothing else. Single
// machines count as silent after 7.75 s, the last of them 3.75 s later; another node
// must lead well before, and no task may begin twice.
func TestLeaderPartitionedFromManyAgentsHandsOverWithinSeconds(t *testing.T) {
	const (
		tasks = 60   // one on each machine
		cpus  = 0.25 // all together stay under the team's limit
		bound = 5500 * micro.Millisecond
	)
	for seed := range uint64(3) {
		runScenario(t, seed, 3, func(sim *simCluster) {
			sim.fastBoot = true
			// Capacity for one task on each machine.
			tiny := wire.MachineType{
				Name: "tiny", CPUs: cpus, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 5, FetchGBPerS: 1,
				Zones: []string{"a", "b"},
			}
			sim.machineTypes = []wire.MachineType{tiny}
			sim.checker.machineTypes[tiny.Name] = tiny
			sim.cloud.Types, sim.cloud.Capacity = sim.machineTypes, 2*tasks
		}, func(sim *simCluster) {
			sim.waitForRestoredLeader()
			job := sim.newJob(
				jobRequest{kind: wire.JobArray, tasks: tasks, cpus: cpus, runTime: 5 * micro.Minute, team: "team"},
			).submit()
			sim.waitUntil("all run", 2*micro.Minute, func() bool { return job.runningTasks() == tasks })
			sim.sleep(10 * micro.Second)
			leader := sim.leader()
			leader.setPartitioned(true, "workers")
			cutAt := sim.now()
			sim.waitUntil("another leads", micro.Minute, func() bool { l := sim.leader(); return l != nil && l != leader })
			if took := sim.now() - cutAt; took > bound {
				t.Errorf("seed %d: another leads %.1f s after the cut, want at most %.1f s", seed, took.Seconds(), bound.Seconds())
			}
			sim.sleep(micro.Minute)
			leader.setPartitioned(false, "workers")
			if starts := job.startCount(); starts != tasks {
				t.Errorf("seed %d: %d starts of %d tasks", seed, starts, tasks)
			}
		})
	}
}
