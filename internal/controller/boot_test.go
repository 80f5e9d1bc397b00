package controller

import (
	"sync/atomic"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Where machines come up late or never, and where their return is carried out late.

// A machine whose return was asked for never gets another task, though the request
// is carried out a minute later and the next leader hears the machine report:
// whatever is on it then goes with it.
func TestTerminatingMachineGetsNoTaskFromTheNextLeader(t *testing.T) {
	for _, end := range []string{"handed over", "ended", "ended before its record was written"} {
		t.Run(end, func(t *testing.T) {
			runScenario(t, 3, 3, func(sim *simCluster) {
				sim.fastBoot = true
				sim.config.IdleTerminateAfter = 5 * micro.Second
			}, func(sim *simCluster) {
				leader, _ := sim.waitForRestoredLeader()
				sim.waitUntil("the forms of this version in use", micro.Minute, func() bool {
					_, err := sim.store.Get(sim.ctx, store.Routine, keys.Format)
					return err == nil
				})
				sim.sleep(micro.Second) // and its leader told
				sim.onTaskStart = func(machine *fakeMachine, key fake.AttemptKey) {
					if at, ok := sim.terminationRequestedAt(machine.agent.Name); ok {
						t.Errorf("%v: %s starts on %s, whose return was asked for at %v", sim.now(), key.Task, machine.agent.Name, at)
					}
				}
				job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, cpus: 2, runTime: 3 * micro.Second}).submit()
				sim.waitUntil(
					"done", micro.Minute, func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
				)
				sim.mu.Lock()
				sim.cloud.terminationDelay = micro.Minute
				sim.mu.Unlock()
				var held atomic.Bool
				if end == "ended before its record was written" {
					sim.onCommit(leader, "hire/", func(int, wire.Change) fake.CommitFault {
						held.Store(true)
						return fake.CommitFault{Unanswered: true, ExecuteAfter: micro.Minute}
					})
				}
				sim.waitUntil("a return asked for, or about to be", micro.Minute, func() bool {
					if held.Load() {
						sim.sleep(micro.Second)
						return true
					}
					return sim.anyTerminationRequested()
				})
				if end == "handed over" {
					leader.resignTerm()
				} else {
					sim.killController(leader)
				}
				sim.waitUntil("another leads", micro.Minute, func() bool { x := sim.leader(); return x != nil && x != leader })
				sim.sleep(3 * micro.Second) // its agents report to it
				next := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 4, cpus: 2, runTime: 3 * micro.Second}).submit()
				sim.waitUntil(
					"done on another machine", micro.Minute,
					func() bool { return replyState(next.queryStatus(sim.randomUserNode())) == wire.JobDone },
				)
				sim.sleep(2 * micro.Minute)
				for _, machine := range sim.liveMachines() {
					if at, ok := sim.terminationRequestedAt(machine.agent.Name); ok && sim.now()-at > 90*micro.Second {
						t.Errorf("%s is still there", machine.agent.Name)
					}
				}
			})
		})
	}
}

// The tasks of a dead machine begin elsewhere without waiting until the store knows
// that the machine is to be returned: behind the writes of a busy hour that took 14 s.
// A machine that holds nothing is in no hurry.
func TestOnlyTheTerminationOfAMachineWithoutTasksWaitsForItsRecord(t *testing.T) {
	runScenario(t, 5, 3, func(sim *simCluster) { sim.fastBoot = true }, func(sim *simCluster) {
		leader, _ := sim.waitForRestoredLeader()
		sim.waitUntil(
			"the forms of this version in use", micro.Minute,
			func() bool { return leader.runningNode().activeLeader().usesCompactRecords() },
		)
		long := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, cpus: 4, runTime: 3 * micro.Minute}).submit()
		short := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, cpus: 4, runTime: 20 * micro.Second}).submit()
		sim.waitUntil("both run", micro.Minute, func() bool { return long.runningTasks() == 1 && short.runningTasks() == 1 })
		busy, idle := long.machines()[0].agent.Name, short.machines()[0].agent.Name
		sim.waitUntil(
			"one is done", micro.Minute,
			func() bool { return replyState(short.queryStatus(sim.randomUserNode())) == wire.JobDone },
		)
		sim.sleep(micro.Second)
		currentLeader := sim.leader().runningNode().activeLeader()
		waits := make(chan map[string]bool, 1)
		currentLeader.post(func() {
			found := map[string]bool{}
			for _, name := range []string{busy, idle} {
				machine := currentLeader.cluster.Machines[name]
				currentLeader.provisioner.Terminate(machine, "for a test")
				found[name] = !currentLeader.provisioner.TerminationRecorded(machine)
			}
			waits <- found
		})
		found := <-waits
		if found[busy] {
			t.Error("the return of a machine with a task waits for the record")
		}
		if !found[idle] {
			t.Error("the return of an idle machine does not wait for the record")
		}
	})
}

// usesCompactRecords asks the loop whether records have the forms of this version.
func (l *controlLoop) usesCompactRecords() bool {
	compact := make(chan bool, 1)
	l.post(func() { compact <- l.cluster.CompactRecords })
	select {
	case found := <-compact:
		return found
	case <-l.loop.Done():
		return false
	}
}

// anyTerminationRequested reports whether the return of any machine was asked for.
func (w *simCluster) anyTerminationRequested() bool {
	for _, machine := range w.liveMachines() {
		if _, ok := w.terminationRequestedAt(machine.agent.Name); ok {
			return true
		}
	}
	return false
}

// terminationRequestedAt is when the return of a machine was first asked for.
func (w *simCluster) terminationRequestedAt(name string) (micro.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.cloud.terminationRequested[name]
	return at, ok
}

// Machines that never come up, listed as booting or not listed at all, are charged
// for a bounded time, and a few at a time.
func TestMachinesThatNeverBootAreBilledForABoundedTime(t *testing.T) {
	for _, unlisted := range []bool{false, true} {
		name := "listed as booting"
		if unlisted {
			name = "not listed"
		}
		t.Run(name, func(t *testing.T) {
			runScenario(t, 4, 3, func(sim *simCluster) {
				sim.cloud.bootFailureRatio = 1
				if unlisted {
					sim.cloud.unlisted = func(string) bool { return true }
				}
			}, func(sim *simCluster) {
				sim.waitForRestoredLeader()
				const trouble = 3 * micro.Minute
				job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 4, runTime: 3 * micro.Second}).submit() // fits one machine
				sim.sleep(trouble)
				sim.mu.Lock()
				sim.cloud.bootFailureRatio = 0
				all := len(sim.machines)
				sim.mu.Unlock()
				sim.waitUntil(
					"done", micro.Minute, func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
				)
				sim.sleep(3 * micro.Minute)
				left := len(sim.cloud.Instances())
				charged := sim.cloud.billedTime()
				t.Logf("%d machines never came up, charged for %.0f s in all, %d are left", all, charged.Seconds(), left)
				// Another is asked for after 1.6 boot times and 2 s of the last, and each
				// goes back after four boot times and two lists.
				boot := 5 * micro.Second
				if most := 1 + int(trouble/(boot*8/5+2*micro.Second)); all > most {
					t.Errorf("%d machines were rented, at most %d", all, most)
				}
				if most := micro.Time(all+1) * (4*boot + 25*micro.Second); charged > most+2*micro.Minute {
					t.Errorf("%.0f s of machines are charged, at most %.0f", charged.Seconds(), most.Seconds())
				}
				if left > 0 {
					t.Errorf("%d machines are left", left)
				}
			})
		})
	}
}

// All machines of the cheapest type fail to boot, in both zones and kinds: work
// that another type fits goes there.
func TestJobsCompleteWhenTheCheapestMachineTypeFailsToBoot(t *testing.T) {
	runScenario(t, 6, 3, func(sim *simCluster) {
		sim.cloud.failsBoot = func(r wire.InstanceRequest) bool { return r.Type == "small" }
	}, func(sim *simCluster) {
		sim.waitForRestoredLeader()
		for i := range 6 {
			at := sim.now()
			job := sim.newJob(
				jobRequest{
					kind: wire.JobArray, tasks: 12, runTime: 10 * micro.Second, team: []string{"team", "other"}[i%2], spot: i%3 == 0,
				},
			).submit()
			sim.waitUntil(
				"done", 2*micro.Minute, func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
			)
			t.Logf("done after %.0f s", (sim.now() - at).Seconds())
		}
	})
}
