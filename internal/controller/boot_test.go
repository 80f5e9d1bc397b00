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

// Tests with machines that boot late or never, and with termination requests that the cloud executes late.

// A machine whose termination was requested gets no further task, even if the cloud executes the request a
// minute later and the next leader receives the machine's heartbeats meanwhile: the tasks on it would be lost
// when it is terminated.
func TestTerminatingMachineGetsNoTaskFromTheNextLeader(t *testing.T) {
	for _, end := range []string{
		"leader resigns", "leader killed", "leader killed before the termination record is stored",
	} {
		t.Run(end, func(t *testing.T) {
			runScenario(t, 3, 3, func(sim *simCluster) {
				sim.fastBoot = true
				sim.config.IdleTerminateAfter = 5 * micro.Second
			}, func(sim *simCluster) {
				leader, _ := sim.waitForRestoredLeader()
				sim.waitUntil("the current record format is in use", micro.Minute, func() bool {
					_, err := sim.store.Get(sim.ctx, store.Routine, keys.Format)
					return err == nil
				})
				sim.sleep(micro.Second) // the leader learns of the record format
				sim.onTaskStart = func(machine *fakeMachine, key fake.AttemptKey) {
					if at, ok := sim.terminationRequestedAt(machine.agent.Name); ok {
						t.Errorf(
							"%v: task %s started on %s, whose termination was requested at %v", sim.now(), key.Task, machine.agent.Name, at,
						)
					}
				}
				job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, cpus: 2, runTime: 3 * micro.Second}).submit()
				sim.waitUntil(
					"job done", micro.Minute, func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
				)
				sim.mu.Lock()
				sim.cloud.terminationDelay = micro.Minute
				sim.mu.Unlock()
				var held atomic.Bool
				if end == "leader killed before the termination record is stored" {
					sim.onCommit(leader, "hire/", func(int, wire.Change) fake.CommitFault {
						held.Store(true)
						return fake.CommitFault{Unanswered: true, ExecuteAfter: micro.Minute}
					})
				}
				sim.waitUntil("a termination requested or its record being written", micro.Minute, func() bool {
					if held.Load() {
						sim.sleep(micro.Second)
						return true
					}
					return sim.anyTerminationRequested()
				})
				if end == "leader resigns" {
					leader.resignTerm()
				} else {
					sim.killController(leader)
				}
				sim.waitUntil("another node leads", micro.Minute, func() bool { x := sim.leader(); return x != nil && x != leader })
				sim.sleep(3 * micro.Second) // agents send heartbeats to the new leader
				next := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 4, cpus: 2, runTime: 3 * micro.Second}).submit()
				sim.waitUntil(
					"second job done on another machine", micro.Minute,
					func() bool { return replyState(next.queryStatus(sim.randomUserNode())) == wire.JobDone },
				)
				sim.sleep(2 * micro.Minute)
				for _, machine := range sim.liveMachines() {
					if at, ok := sim.terminationRequestedAt(machine.agent.Name); ok && sim.now()-at > 90*micro.Second {
						t.Errorf("machine %s still exists more than 90 s after its termination was requested", machine.agent.Name)
					}
				}
			})
		})
	}
}

// The tasks of a dead machine restart elsewhere without waiting until the machine's termination record is
// stored: under heavy write load, that record waited 14 s behind other writes. The termination of a machine
// without tasks is not urgent and waits for its record.
func TestOnlyTheTerminationOfAMachineWithoutTasksWaitsForItsRecord(t *testing.T) {
	runScenario(t, 5, 3, func(sim *simCluster) { sim.fastBoot = true }, func(sim *simCluster) {
		leader, _ := sim.waitForRestoredLeader()
		sim.waitUntil(
			"the current record format is in use", micro.Minute,
			func() bool { return leader.runningNode().activeLeader().usesCompactRecords() },
		)
		long := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, cpus: 4, runTime: 3 * micro.Minute}).submit()
		short := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, cpus: 4, runTime: 20 * micro.Second}).submit()
		sim.waitUntil(
			"both jobs run", micro.Minute, func() bool { return long.runningTasks() == 1 && short.runningTasks() == 1 },
		)
		busy, idle := long.machines()[0].agent.Name, short.machines()[0].agent.Name
		sim.waitUntil(
			"short job done", micro.Minute,
			func() bool { return replyState(short.queryStatus(sim.randomUserNode())) == wire.JobDone },
		)
		sim.sleep(micro.Second)
		currentLeader := sim.leader().runningNode().activeLeader()
		pendingRecords := make(chan map[string]bool, 1)
		currentLeader.post(func() {
			pending := map[string]bool{}
			for _, name := range []string{busy, idle} {
				machine := currentLeader.cluster.Machines[name]
				currentLeader.provisioner.Terminate(machine, "test")
				pending[name] = !currentLeader.provisioner.TerminationRecorded(machine)
			}
			pendingRecords <- pending
		})
		pending := <-pendingRecords
		if pending[busy] {
			t.Error("termination of a machine with a task waits for its record")
		}
		if !pending[idle] {
			t.Error("termination of an idle machine does not wait for its record")
		}
	})
}

// usesCompactRecords reports whether the leader writes records in the compact format. It returns false if the
// control loop has stopped.
func (l *controlLoop) usesCompactRecords() bool {
	compact := make(chan bool, 1)
	l.post(func() { compact <- l.cluster.CompactRecords })
	select {
	case inUse := <-compact:
		return inUse
	case <-l.loop.Done():
		return false
	}
}

// anyTerminationRequested reports whether the termination of any live machine was requested.
func (w *simCluster) anyTerminationRequested() bool {
	for _, machine := range w.liveMachines() {
		if _, ok := w.terminationRequestedAt(machine.agent.Name); ok {
			return true
		}
	}
	return false
}

// terminationRequestedAt returns when the termination of a machine was first requested, and whether it was.
func (w *simCluster) terminationRequestedAt(name string) (micro.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.cloud.terminationRequested[name]
	return at, ok
}

// Machines that never boot, whether the cloud lists them as booting or not at all, are billed for a bounded
// time, and only a few are requested at once.
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
				const bootFailureSpan = 3 * micro.Minute
				job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 4, runTime: 3 * micro.Second}).submit() // fits one machine
				sim.sleep(bootFailureSpan)
				sim.mu.Lock()
				sim.cloud.bootFailureRatio = 0
				requested := len(sim.machines)
				sim.mu.Unlock()
				sim.waitUntil(
					"job done", micro.Minute, func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
				)
				sim.sleep(3 * micro.Minute)
				remaining := len(sim.cloud.Instances())
				billed := sim.cloud.billedTime()
				t.Logf("%d machines never booted, billed for %.0f s in total, %d remain", requested, billed.Seconds(), remaining)
				// A further machine is requested 1.6 boot times and 2 s after the previous one; each is
				// terminated after four boot times and two listings.
				boot := 5 * micro.Second
				if limit := 1 + int(bootFailureSpan/(boot*8/5+2*micro.Second)); requested > limit {
					t.Errorf("%d machines were requested, want at most %d", requested, limit)
				}
				if limit := micro.Time(requested+1) * (4*boot + 25*micro.Second); billed > limit+2*micro.Minute {
					t.Errorf("machines were billed for %.0f s, want at most %.0f s", billed.Seconds(), limit.Seconds())
				}
				if remaining > 0 {
					t.Errorf("%d machines remain, want none", remaining)
				}
			})
		})
	}
}

// All machines of the cheapest type fail to boot, in both zones, on-demand and spot. Jobs that fit on another
// machine type must run there.
func TestJobsCompleteWhenTheCheapestMachineTypeFailsToBoot(t *testing.T) {
	runScenario(t, 6, 3, func(sim *simCluster) {
		sim.cloud.failsBoot = func(r wire.InstanceRequest) bool { return r.Type == "small" }
	}, func(sim *simCluster) {
		sim.waitForRestoredLeader()
		for i := range 6 {
			submittedAt := sim.now()
			job := sim.newJob(
				jobRequest{
					kind: wire.JobArray, tasks: 12, runTime: 10 * micro.Second, team: []string{"team", "other"}[i%2], spot: i%3 == 0,
				},
			).submit()
			sim.waitUntil(
				"job done", 2*micro.Minute,
				func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
			)
			t.Logf("job done after %.0f s", (sim.now() - submittedAt).Seconds())
		}
	})
}
