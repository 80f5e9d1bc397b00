package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// sweepInterval is how often these tests look for reports, as the leader's scan does.
const sweepInterval = 500 * micro.Millisecond

// sweepsUntilGapTooLong counts the looks, without a report between them, after which the
// silence of so many live workers is too long; at most so many looks are made.
func sweepsUntilGapTooLong(s *heartbeatGap, up, most int, from micro.Time) int {
	const interval = 7500 * micro.Millisecond
	s.exceeded(1, up, from, interval)
	for n := 1; n <= most; n++ {
		if s.exceeded(1, up, from+micro.Time(n)*sweepInterval, interval) {
			return n
		}
	}
	return 0
}

func TestHeartbeatGapOfAllAgentsIsTooLongByTheHeartbeatsDue(t *testing.T) {
	for _, row := range []struct{ up, looks int }{
		{1500, 5}, // 2.5 s, the shortest spell
		{60, 10},  // 40 reports of 60 workers that report each 7.5 s take 5 s
		{10, 0},   // single machines are found silent sooner
		{0, 0},
	} {
		s := heartbeatGap{}
		if got := sweepsUntilGapTooLong(&s, row.up, 20, micro.Second); got != row.looks {
			t.Errorf("%d workers: too long after %d looks, want %d", row.up, got, row.looks)
		}
	}
}

func TestOneHeartbeatEndsAGap(t *testing.T) {
	s := heartbeatGap{}
	const interval = 7500 * micro.Millisecond
	for n := range micro.Time(40) { // one report in each second look
		if s.exceeded(uint64(n/2), 1500, micro.Second+n*sweepInterval, interval) {
			t.Fatalf("look %d: too long while workers report", n)
		}
	}
}

// A process that stood still has not listened in that time, however long it was.
func TestTimeWithoutTheProcessorIsNoHeartbeatGap(t *testing.T) {
	s := heartbeatGap{}
	const interval = 7500 * micro.Millisecond
	s.exceeded(1, 1500, micro.Second, interval)
	if s.exceeded(1, 1500, 31*micro.Second, interval) {
		t.Fatal("one look after 30 s counts as 30 s of listening")
	}
}

// A leader of many workers loses all of them at once, and nothing else. Single
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
			// Room for one task on each machine.
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
