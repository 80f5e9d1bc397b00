package controller

import (
	"context"
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Scenarios that combine faults with a change of leader, or with delayed commands and heartbeats. Each scenario
// verifies that the intended combination occurred; the checker's rules judge everything that happens.

// runSeeds runs a scenario as parallel subtests with the seeds 1 to n, in clusters of the given number of nodes.
func runSeeds(t *testing.T, n, nodes int, scenario func(sim *simCluster)) {
	t.Helper()
	for seed := range n {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			runScenario(t, uint64(seed+1), nodes, nil, scenario)
		})
	}
}

// runServiceInZone submits a service in one zone, each task of which fills a machine, and waits until all tasks run.
// Of three nodes, zone a has two, which renew its leases while it is partitioned, and zone b has one, which does not.
func (w *simCluster) runServiceInZone(zone string, tasks int) *userJob {
	w.t.Helper()
	job := w.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, zone: zone}).submit()
	w.waitRunning(job, tasks)
	return job
}

// waitRunning waits until the given number of the job's tasks run.
func (w *simCluster) waitRunning(job *userJob, tasks int) {
	w.t.Helper()
	w.waitUntil(job.id+" running", 90*micro.Second, func() bool { return job.runningTasks() == tasks })
}

// startIdleMachines provisions a machine in each of the zones, waits until all are up without tasks, and returns them.
func (w *simCluster) startIdleMachines(zones ...string) []*fakeMachine {
	w.t.Helper()
	var out []*fakeMachine
	var jobs []*userJob
	for _, zone := range zones {
		jobs = append(jobs, w.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: zone, team: "other"}).submit())
	}
	for _, job := range jobs {
		w.waitRunning(job, 1)
	}
	for _, job := range jobs {
		out = append(out, job.machines()...)
		job.cancel()
	}
	for _, machine := range out {
		w.waitUntil(
			"machine without tasks", 30*micro.Second,
			func() bool { machine.mu.Lock(); defer machine.mu.Unlock(); return len(machine.agent.Tasks) == 0 },
		)
	}
	return out
}

// The direct dispatch of a start is delayed and its job is cancelled. The machine's heartbeats, which do not show the
// task, were taken as proof that it would never run: its team's quota was given to another job, and then the start
// arrived.
func TestStartDelayedBeyondACancellationKeepsItsTeamsQuota(t *testing.T) {
	runSeeds(t, 4, 3, func(sim *simCluster) {
		sim.runServiceInZone("a", 3)
		machine := sim.startIdleMachines("a", "b")[0]
		machine.holdDispatch()
		machine.loseResponses(10 * micro.Second)
		delayed := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "a"}).submit()
		sim.waitUntil("start command delayed", 5*micro.Second, func() bool { return machine.heldDispatchCount() == 1 })
		go delayed.cancel()
		next := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "b"}).submit()
		for end := sim.now() + 7*micro.Second; sim.now() < end && next.runningTasks() == 0; {
			sim.sleep(50 * micro.Millisecond)
		}
		if !machine.releaseDispatches() {
			sim.t.Fatal("the machine refused the delayed start: it did not arrive late")
		}
		sim.waitUntil("task of the delayed start runs", 3*micro.Second, func() bool { return delayed.runningTasks() == 1 })
		sim.waitRunning(next, 1)
		if delayed.runningTasks() != 0 {
			sim.t.Error("task of the cancelled job still runs")
		}
	})
}

// A machine hangs while the command to stop a task is in flight to it, and resumes seconds later: the task's
// allocation must not be released before the task is proven gone.
func TestStopInFlightToAHungMachineReleasesNothing(t *testing.T) {
	for _, duration := range []micro.Time{3 * micro.Second, 6 * micro.Second, 14 * micro.Second} {
		t.Run(duration.Duration().String(), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 1, 3, nil, func(sim *simCluster) {
				full := sim.runServiceInZone("a", 4)
				machine := full.machines()[0]
				machine.hang(duration)
				go full.cancel()
				next := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 4, zone: "b"}).submit()
				sim.sleep(duration - micro.Second)
				if full.runningTasks() != 1 && machine.isUp() {
					sim.t.Fatalf("%d tasks run, want only the one on the hanging machine", full.runningTasks())
				}
				sim.waitRunning(next, 4)
				sim.waitUntil("cancellation reported", 60*micro.Second, func() bool { return full.knowledge().aborted })
			})
		})
	}
}

// Half of a zone's agents reach no controller, while dispatched commands reach them. Their tasks keep running and must
// not start elsewhere before the leases expire, whether or not the leader changes.
func TestAgentsThatReachNoControllerKeepTheirTasks(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprint("leader changes ", leaderChanges), func(t *testing.T) {
			runSeeds(t, 3, 3, func(sim *simCluster) {
				long, short := sim.runServiceInZone("b", 3), sim.runServiceInZone("b", 1)
				partitioned := append(long.machines()[:2], short.machines()...)
				for _, machine := range partitioned {
					machine.loseHeartbeats(20 * micro.Second)
				}
				go short.cancel()
				sim.waitUntil(
					"task stopped by a dispatched command", 4*micro.Second, func() bool { return short.runningTasks() == 0 },
				)
				if !partitioned[2].heartbeatsLost() {
					sim.t.Fatal("the machine reaches the controllers again")
				}
				if leaderChanges {
					sim.replaceLeader(5 * micro.Second)
				}
				sim.waitUntil("heartbeats received again", 30*micro.Second, func() bool { return !partitioned[0].heartbeatsLost() })
				sim.sleep(10 * micro.Second)
				if long.runningTasks() != 3 || long.startCount() != 3 {
					sim.t.Errorf("%d tasks running, %d starts, want 3 of each", long.runningTasks(), long.startCount())
				}
			})
		})
	}
}

// Agents that reach no controller for longer than a lease kill their tasks when the leases expire, although dispatched
// commands still arrive, which renew no lease. The tasks must restart elsewhere as soon as the leases are known to
// have expired, and not only once their machines are considered lost.
func TestTasksOfAgentsPartitionedBeyondALeaseRestartElsewhere(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprint("leader changes ", leaderChanges), func(t *testing.T) {
			runSeeds(t, 3, 3, func(sim *simCluster) {
				job := sim.runServiceInZone("b", 4)
				partitioned := job.machines()[:2]
				for _, machine := range partitioned {
					machine.loseHeartbeats(2 * micro.Minute)
				}
				partitionStart := sim.now()
				if leaderChanges {
					sim.replaceLeader(5 * micro.Second)
				}
				sim.waitUntil(
					"tasks killed on the partitioned machines", 32*micro.Second, func() bool { return job.runningTasks() == 2 },
				)
				sim.waitUntil(
					"tasks restarted elsewhere", 50*micro.Second-(sim.now()-partitionStart),
					func() bool { return job.runningTasks() == 4 },
				)
				if !partitioned[0].heartbeatsLost() || !partitioned[1].heartbeatsLost() {
					sim.t.Fatal("the machines reach the controllers again")
				}
				sim.sleep(80 * micro.Second) // the machines reconnect meanwhile
				if job.runningTasks() != 4 || job.startCount() != 6 {
					sim.t.Errorf("%d tasks running, want 4; %d starts, want 6", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// All controllers stop, and one restarts within a second. Whether or not it led before, it must know the running
// tasks and take over at once those that the previous leader started.
func TestTasksContinueWhenOneControllerRestartsWithinASecondOfAllStopping(t *testing.T) {
	for _, downMs := range []micro.Time{100, 300, 500, 700, 900} {
		for _, wasLeader := range []bool{true, false} {
			t.Run(fmt.Sprintf("down for %d ms, was leader %v", downMs, wasLeader), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 1, 3, nil, func(sim *simCluster) {
					job := sim.runServiceInZone("b", 4)
					leader, oldTerm := sim.leader(), sim.currentTerm()
					restarted := leader
					for _, controller := range sim.controllers {
						sim.killController(controller)
						if !wasLeader && controller != leader {
							restarted = controller
						}
					}
					sim.restartController(restarted, downMs*micro.Millisecond)
					timeout := 10 * micro.Second
					if wasLeader {
						timeout = downMs*micro.Millisecond + 500*micro.Millisecond // it need not wait for its own old lease to expire
					}
					sim.waitUntil("restarted node leads", timeout, func() bool { term := sim.currentTerm(); return term > oldTerm })
					sim.sleep(20 * micro.Second)
					for _, controller := range sim.controllers {
						if controller != restarted {
							sim.startController(controller)
						}
					}
					sim.replaceLeader(micro.Second)
					sim.sleep(20 * micro.Second)
					if job.runningTasks() != 4 || job.startCount() != 4 {
						sim.t.Errorf("%d tasks running, %d starts, want 4 of each", job.runningTasks(), job.startCount())
					}
				})
			})
		}
	}
}

// All controllers stop; one restarts and is killed during an election that it has won without learning of it. When it
// restarts again, it must not wait for the lease that it took then.
func TestNodeKilledDuringAnElectionLeadsAtOnceAfterItsRestart(t *testing.T) {
	for _, downMs := range []micro.Time{100, 500, 900} {
		t.Run(fmt.Sprintf("down for %d ms", downMs), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 1, 3, nil, func(sim *simCluster) {
				job := sim.runServiceInZone("b", 4)
				controller, oldTerm := sim.leader(), sim.currentTerm()
				for _, controller := range sim.controllers {
					sim.killController(controller)
				}
				sim.sleep(300 * micro.Millisecond)
				sim.startController(controller)
				sim.slowStore(600*micro.Millisecond, 5*micro.Second)
				won := func() bool {
					item, err := sim.store.Get(context.Background(), store.Leadership, election.LeaderKey)
					return err == nil && uint64(item.Version) > oldTerm
				}
				for end := sim.now() + 20*micro.Second; !won() && sim.now() < end; {
					sim.sleep(5 * micro.Millisecond)
				}
				if !won() || sim.leader() != nil {
					sim.t.Fatal("the node did not win the election without learning of it")
				}
				sim.restartController(controller, downMs*micro.Millisecond)
				sim.waitUntil(
					"restarted node leads", (downMs+500)*micro.Millisecond, func() bool { return sim.leader() == controller },
				)
				sim.sleep(20 * micro.Second)
				if job.runningTasks() != 4 || job.startCount() != 4 {
					sim.t.Errorf("%d tasks running, %d starts, want 4 of each", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// The store refuses only the leader just as tasks end and others are allocated. A start whose record cannot be written
// must not be dispatched, since the next leader would not know of it.
func TestStartIsNotDispatchedBeforeItsRecordIsStored(t *testing.T) {
	for _, beforeEndMs := range []micro.Time{100, 500, 1500} {
		t.Run(fmt.Sprintf("refused %d ms before a task ends", beforeEndMs), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 1, 3, nil, func(sim *simCluster) {
				job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 6, runTime: 20 * micro.Second, cpus: 4}).submit()
				sim.waitRunning(job, 4)
				sim.waitUntil(
					"a task close to its end", 30*micro.Second,
					func() bool { return len(sim.tasksRunningFor(job, 20*micro.Second-beforeEndMs*micro.Millisecond)) > 0 },
				)
				leader, oldTerm := sim.leader(), sim.currentTerm()
				sim.refuseNode(leader, 8*micro.Second)
				sim.waitUntil("a task ended", 5*micro.Second, func() bool { return job.runningTasks() < 4 })
				if sim.currentTerm() != oldTerm {
					sim.t.Fatal("the leader changed too early: it could not have dispatched a start")
				}
				sim.waitUntil(
					"another node leads", 20*micro.Second, func() bool { next := sim.leader(); return next != nil && next != leader },
				)
				sim.waitUntil(
					"job done", 90*micro.Second, func() bool { job.queryStatus(sim.randomUserNode()); return job.knowledge().done },
				)
				if job.startCount() != 6 {
					sim.t.Errorf("%d starts of 6 tasks, want one each", job.startCount())
				}
			})
		})
	}
}

// The leader changes ten times in two minutes, each time as a start is dispatched, and once during a store outage. A
// start must be dispatched only once the next leader can read its record.
func TestTenLeadersInTwoMinutesStartNothingTwice(t *testing.T) {
	runSeeds(t, 3, 3, func(sim *simCluster) {
		long := sim.runServiceInZone("b", 2)
		sim.sleep(90 * micro.Second) // the first leader has raised its fencing token meanwhile
		startedAt := sim.now()
		var jobs []*userJob
		terms := map[uint64]bool{}
		sim.slowStore(300*micro.Millisecond, 2*micro.Minute)
		for i := range 10 {
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, runTime: 15 * micro.Second, cpus: 1}).submit()
			jobs = append(jobs, job)
			sim.waitUntil("a task started", 20*micro.Second, func() bool { return job.startCount() > 0 })
			if i == 5 {
				sim.storeOutage(4 * micro.Second)
			}
			sim.replaceLeader(500 * micro.Millisecond)
			terms[sim.currentTerm()] = true
		}
		if len(terms) < 10 || sim.now()-startedAt > 2*micro.Minute {
			sim.t.Fatalf("%d terms in %v s, want at least 10 in 2 minutes", len(terms), (sim.now() - startedAt).Seconds())
		}
		for _, job := range jobs {
			sim.waitUntil(
				job.id+" done", 90*micro.Second,
				func() bool { job.queryStatus(sim.randomUserNode()); return job.knowledge().done },
			)
			if job.startCount() != 2 {
				sim.t.Errorf("%s: %d starts of 2 tasks, want one each", job.id, job.startCount())
			}
		}
		if long.runningTasks() != 2 || long.startCount() != 2 {
			sim.t.Errorf("%d of the 2 long tasks running, %d starts", long.runningTasks(), long.startCount())
		}
	})
}

// A zone with two or three of five controllers is partitioned for longer than the agents' leases, which its controllers
// renew as lease proxies: its tasks must keep running, each started once.
func TestZonePartitionedForLongerThanALeaseKeepsItsTasks(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		t.Run(zone, func(t *testing.T) {
			runSeeds(t, 2, 5, func(sim *simCluster) {
				job := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 2, zone: zone}).submit()
				sim.waitRunning(job, 4)
				oldLeader := sim.leader()
				sim.partitionZone(zone, 55*micro.Second)
				sim.sleep(50 * micro.Second)
				leader := sim.leader()
				if leader == nil || leader.zone == zone || oldLeader.zone == zone && leader == oldLeader {
					sim.t.Fatal("no node of the other zone leads")
				}
				if job.runningTasks() != 4 {
					sim.t.Errorf("%d tasks running: leases were not renewed", job.runningTasks())
				}
				sim.waitUntil("partition ended", 30*micro.Second, sim.noActiveFaults)
				sim.sleep(20 * micro.Second)
				if job.runningTasks() != 4 || job.startCount() != 4 {
					sim.t.Errorf("%d tasks running, %d starts, want 4 of each", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// The tasks of a job end far apart, and the leader stops soon after the first ended. The agent must not discard the
// completion before the next leader can read it, or the next leader would start the task again.
func TestTasksThatEndFarApartAcrossAChangeOfLeaderRunOnce(t *testing.T) {
	for _, tasks := range []int{2, 3} {
		for _, delayMs := range []micro.Time{700, 900, 1100, 1300, 8000} {
			t.Run(fmt.Sprintf("%d tasks, leader stops after %d ms", tasks, delayMs), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 1, 3, nil, func(sim *simCluster) {
					job := sim.newJob(
						jobRequest{kind: wire.JobArray, tasks: tasks, runTime: 5 * micro.Second, runTimeStep: 25 * micro.Second, cpus: 1},
					).submit()
					sim.waitUntil(
						"first task ended", 60*micro.Second,
						func() bool { return job.startCount() == tasks && job.runningTasks() == tasks-1 },
					)
					sim.sleep(delayMs * micro.Millisecond)
					sim.replaceLeader(micro.Second)
					if job.runningTasks() != tasks-1 {
						sim.t.Fatal("the other tasks ended before the leader changed")
					}
					sim.waitUntil(
						"job done", 90*micro.Second, func() bool { job.queryStatus(sim.randomUserNode()); return job.knowledge().done },
					)
					if job.startCount() != tasks {
						sim.t.Errorf("%d starts of %d tasks, want one each", job.startCount(), tasks)
					}
				})
			})
		}
	}
}

// A heartbeat from before a task started arrives after newer ones, also under another leader that has already acted.
// That the task is missing in it must not be taken as proof that the task does not run.
func TestHeartbeatFromBeforeATaskStartedReleasesNothing(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprint("leader changes ", leaderChanges), func(t *testing.T) {
			runSeeds(t, 2, 3, func(sim *simCluster) {
				sim.startRecording()
				sim.startIdleMachines("a") // it sends heartbeats before it has a task
				job := sim.runServiceInZone("a", 1)
				machine := job.machines()[0]
				if leaderChanges {
					sim.replaceLeader(5 * micro.Second)
				}
				sim.sleep(8 * micro.Second) // the machine sends newer heartbeats
				machine.replayHeartbeatWithout(job)
				sim.sleep(30 * micro.Second)
				if job.runningTasks() != 1 || job.startCount() != 1 {
					sim.t.Errorf("%d tasks running, %d starts, want 1 of each", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// An old heartbeat reaches every controller just as the term of a new leader begins, which has received nothing newer.
// A cancelled job's task is missing in it but still runs, so its allocation must not be released.
func TestStaleHeartbeatToANewLeaderReleasesNoCancelledTask(t *testing.T) {
	runSeeds(t, 4, 3, func(sim *simCluster) {
		sim.startRecording()
		sim.startIdleMachines("b") // it sends heartbeats before it has a task
		job := sim.runServiceInZone("b", 1)
		machine := job.machines()[0]
		sim.runServiceInZone("a", 3)
		sim.startIdleMachines("a") // ready for the next job
		machine.isolate(20 * micro.Second)
		job.cancel()
		next := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "a"}).submit()
		sim.replaceLeader(5 * micro.Second)
		machine.replayHeartbeatWithout(job)
		sim.sleep(4 * micro.Second)
		if job.runningTasks() != 1 {
			sim.t.Fatal("the task on the unreachable machine does not run any more")
		}
		sim.waitRunning(next, 1)
	})
}

// A machine dies while a heartbeat of it is in flight, which arrives once the term of a new leader has begun. It is no
// proof that the machine is alive, and no waiting job may be allocated there.
func TestHeartbeatDelayedUntilAnotherLeaderActsIsNoLivenessProof(t *testing.T) {
	runSeeds(t, 3, 3, func(sim *simCluster) {
		sim.startRecording()
		machine := sim.startIdleMachines("b")[0]
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "b"})
		machine.terminate()
		sim.replaceLeader(5 * micro.Second)
		sim.sleep(micro.Second)
		machine.replayHeartbeatWithout(job)
		submittedAt := sim.now()
		job.submit()
		sim.waitRunning(job, 1)
		if took := sim.now() - submittedAt; took > 12*micro.Second {
			sim.t.Errorf("job ran after %v s, want at most 12: another machine is up within 8 s", took.Seconds())
		}
	})
}

// A heartbeat that shows an earlier attempt of a task arrives while the next attempt runs elsewhere. A leader that
// knows that the earlier attempt's lease expired must ignore it, and must not count its capacity as used. The next
// leader counts what the heartbeat shows until it is proven gone. Neither may start a task because of it.
func TestHeartbeatOfAnEarlierAttemptStartsNothing(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprint("leader changes ", leaderChanges), func(t *testing.T) {
			runSeeds(t, 3, 3, func(sim *simCluster) {
				sim.startRecording()
				job := sim.runServiceInZone("b", 1)
				machine := job.machines()[0]
				sim.sleep(5 * micro.Second)
				machine.isolate(60 * micro.Second)
				sim.waitUntil(
					"second attempt running", 60*micro.Second,
					func() bool { return job.startCount() == 2 && job.runningTasks() == 1 && job.machines()[0] != machine },
				)
				if leaderChanges {
					sim.replaceLeader(5 * micro.Second)
				}
				machine.replayHeartbeatWith(job)
				submittedAt := sim.now()
				sim.runServiceInZone("a", 3)
				if took := sim.now() - submittedAt; !leaderChanges && took > 12*micro.Second {
					sim.t.Errorf("the team's quota was held for %v s by a task that is gone", took.Seconds())
				}
				sim.sleep(50 * micro.Second)
				if job.runningTasks() != 1 || job.startCount() != 2 {
					sim.t.Errorf("%d tasks running, want 1; %d starts, want 2", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// A heartbeat of an expired agent session arrives under a new leader, which has received heartbeats of the next session
// and of a task that runs in it. It must change nothing.
func TestHeartbeatOfAnEarlierEpochChangesNothing(t *testing.T) {
	runSeeds(t, 2, 3, func(sim *simCluster) {
		sim.startRecording()
		sim.startIdleMachines("b", "b")
		job := sim.runServiceInZone("b", 2)
		old := job.machines()
		for _, machine := range old {
			machine.isolate(36 * micro.Second)
		}
		newSessions := func() bool {
			for _, machine := range old {
				machine.mu.Lock()
				restarted := machine.agent.Epoch > 1
				machine.mu.Unlock()
				if !restarted {
					return false
				}
			}
			return true
		}
		sim.waitUntil("new sessions of the isolated agents", 50*micro.Second, newSessions)
		sim.sleep(10 * micro.Second)
		var laterJobs []*userJob
		for range 4 { // so many that the isolated machines are used again
			laterJobs = append(
				laterJobs, sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "b", team: "other"}).submit(),
			)
		}
		for _, later := range laterJobs {
			sim.waitRunning(later, 1)
		}
		sim.waitRunning(job, 2)
		reused := 0
		for _, later := range laterJobs {
			if machine := later.machines()[0]; machine == old[0] || machine == old[1] {
				reused++
			}
		}
		if reused == 0 && job.machines()[0] != old[0] {
			sim.t.Fatal("none of the isolated machines is used again")
		}
		startsBefore := job.startCount()
		for range 2 {
			sim.replaceLeader(micro.Second)
			sim.sleep(8 * micro.Second)
			for _, machine := range old {
				machine.replayHeartbeatWithout(job)
			}
			sim.sleep(8 * micro.Second)
		}
		for _, later := range laterJobs {
			if later.runningTasks() != 1 || later.startCount() != 1 {
				sim.t.Errorf("%s: %d tasks running, %d starts, want 1 of each", later.id, later.runningTasks(), later.startCount())
			}
		}
		if job.runningTasks() != 2 || job.startCount() != startsBefore {
			sim.t.Errorf("%d tasks running, %d starts, %d starts before", job.runningTasks(), job.startCount(), startsBefore)
		}
	})
}

// All controllers are down for longer than the agents' leases, so the agents kill their tasks: each task must restart
// exactly once.
func TestTasksRestartOnceAfterAllControllersWereDownBeyondALease(t *testing.T) {
	for _, downS := range []micro.Time{32, 45, 70} {
		t.Run(fmt.Sprintf("down for %d s", downS), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 1, 3, nil, func(sim *simCluster) {
				job := sim.runServiceInZone("a", 4)
				for _, controller := range sim.controllers {
					sim.restartController(controller, downS*micro.Second+micro.Time(sim.randomInt(900))*micro.Millisecond)
				}
				sim.waitUntil("tasks killed", 40*micro.Second, func() bool { return job.runningTasks() == 0 })
				sim.waitUntil("a node leads", 90*micro.Second, func() bool { return sim.leader() != nil })
				sim.waitRunning(job, 4)
				sim.sleep(20 * micro.Second)
				if job.runningTasks() != 4 || job.startCount() != 8 {
					sim.t.Errorf("%d tasks running, want 4; %d starts, want 8", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// The leader stops while machines with long tasks are unreachable or lose responses. The next leader has received
// nothing from them and counts their leases from its failover, since the previous leader may have renewed them until
// then: the tasks must not be started again.
func TestTasksOnUnreachableMachinesRunOnceAcrossAChangeOfLeader(t *testing.T) {
	for fault, inject := range map[string]func(*fakeMachine, micro.Time){
		"unreachable": (*fakeMachine).isolate, "losing responses": (*fakeMachine).loseResponses,
	} {
		for _, zone := range []string{"a", "b"} {
			t.Run(fault+" in "+zone, func(t *testing.T) {
				runSeeds(t, 3, 3, func(sim *simCluster) {
					job := sim.runServiceInZone(zone, 4)
					for _, machine := range job.machines()[:2] {
						inject(machine, 20*micro.Second)
					}
					sim.replaceLeader(5 * micro.Second)
					if !job.machines()[0].responsesLost() {
						sim.t.Fatal("the machine receives responses again")
					}
					sim.sleep(40 * micro.Second)
					if job.runningTasks() != 4 || job.startCount() != 4 {
						sim.t.Errorf("%d tasks running, %d starts, want 4 of each", job.runningTasks(), job.startCount())
					}
				})
			})
		}
	}
}
