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

// Meetings of troubles with a change of leader, or with orders and reports that
// come late. Each scenario makes sure that its meeting came about; the checker of
// the rules judges all that happens.

// runSeeds plays a scenario on several days.
func runSeeds(t *testing.T, n, nodes int, scenario func(sim *simCluster)) {
	t.Helper()
	for seed := range n {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			runScenario(t, uint64(seed+1), nodes, nil, scenario)
		})
	}
}

// runServiceInZone submits a service, a machine a task in one zone, and waits until it runs.
// Of three nodes, zone a has two, which keep its leases in a cut, and b has one,
// which does not.
func (w *simCluster) runServiceInZone(zone string, tasks int) *userJob {
	w.t.Helper()
	job := w.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, zone: zone}).submit()
	w.waitRunning(job, tasks)
	return job
}

func (w *simCluster) waitRunning(job *userJob, tasks int) {
	w.t.Helper()
	w.waitUntil(job.id+" runs", 90*micro.Second, func() bool { return job.runningTasks() == tasks })
}

// startIdleMachines makes a machine in each of these zones that is up and empty.
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
			"empty", 30*micro.Second,
			func() bool { machine.mu.Lock(); defer machine.mu.Unlock(); return len(machine.agent.Tasks) == 0 },
		)
	}
	return out
}

// A direct start was held up, its job was cancelled, and the machine's reports,
// which showed nothing of it, were taken for proof that it would never run: its
// team's capacity went to another job, and the start arrived.
func TestStartDelayedBeyondACancellationKeepsItsTeamsQuota(t *testing.T) {
	runSeeds(t, 4, 3, func(sim *simCluster) {
		sim.runServiceInZone("a", 3)
		machine := sim.startIdleMachines("a", "b")[0]
		machine.holdDispatch()
		machine.loseResponses(10 * micro.Second)
		delayed := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "a"}).submit()
		sim.waitUntil("start held up", 5*micro.Second, func() bool { return machine.heldDispatchCount() == 1 })
		go delayed.cancel()
		next := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "b"}).submit()
		for end := sim.now() + 7*micro.Second; sim.now() < end && next.runningTasks() == 0; {
			sim.sleep(50 * micro.Millisecond)
		}
		if !machine.releaseDispatches() {
			sim.t.Fatal("the machine refused the start: it did not come late")
		}
		sim.waitUntil("the late start runs", 3*micro.Second, func() bool { return delayed.runningTasks() == 1 })
		sim.waitRunning(next, 1)
		if delayed.runningTasks() != 0 {
			sim.t.Error("cancelled, and runs on")
		}
	})
}

// A machine hung with the order to stop on its way, and went on seconds later.
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
					sim.t.Fatalf("%d tasks run, want that on the hanging machine", full.runningTasks())
				}
				sim.waitRunning(next, 4)
				sim.waitUntil("told", 60*micro.Second, func() bool { return full.knowledge().aborted })
			})
		})
	}
}

// Half of a zone's agents reached no controller, while orders reached them: they
// went on with their tasks, which must not begin elsewhere before their leases ran
// out, whoever leads.
func TestAgentsThatReachNoControllerKeepTheirTasks(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprint("another leader ", changes), func(t *testing.T) {
			runSeeds(t, 3, 3, func(sim *simCluster) {
				long, short := sim.runServiceInZone("b", 3), sim.runServiceInZone("b", 1)
				partitioned := append(long.machines()[:2], short.machines()...)
				for _, machine := range partitioned {
					machine.loseHeartbeats(20 * micro.Second)
				}
				go short.cancel()
				sim.waitUntil("stopped by a direct order", 4*micro.Second, func() bool { return short.runningTasks() == 0 })
				if !partitioned[2].heartbeatsLost() {
					sim.t.Fatal("it reaches the controllers again")
				}
				if changes {
					sim.replaceLeader(5 * micro.Second)
				}
				sim.waitUntil("heard again", 30*micro.Second, func() bool { return !partitioned[0].heartbeatsLost() })
				sim.sleep(10 * micro.Second)
				if long.runningTasks() != 3 || long.startCount() != 3 {
					sim.t.Errorf("%d of its tasks run, %d starts", long.runningTasks(), long.startCount())
				}
			})
		})
	}
}

// Agents that reach no controller for long end their tasks with their leases,
// though dispatched commands still arrive, which renew nothing: the tasks begin elsewhere
// as soon as that is sure, and not only once their machines are given up.
func TestTasksOfAgentsPartitionedBeyondALeaseRestartElsewhere(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprint("another leader ", changes), func(t *testing.T) {
			runSeeds(t, 3, 3, func(sim *simCluster) {
				job := sim.runServiceInZone("b", 4)
				partitioned := job.machines()[:2]
				for _, machine := range partitioned {
					machine.loseHeartbeats(2 * micro.Minute)
				}
				from := sim.now()
				if changes {
					sim.replaceLeader(5 * micro.Second)
				}
				sim.waitUntil("killed", 32*micro.Second, func() bool { return job.runningTasks() == 2 })
				sim.waitUntil("begun elsewhere", 50*micro.Second-(sim.now()-from), func() bool { return job.runningTasks() == 4 })
				if !partitioned[0].heartbeatsLost() || !partitioned[1].heartbeatsLost() {
					sim.t.Fatal("they reach the controllers again")
				}
				sim.sleep(80 * micro.Second) // they are back meanwhile
				if job.runningTasks() != 4 || job.startCount() != 6 {
					sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// All controllers ended, and one was back within a second: whoever had led, its
// tasks are known, and those of the leader before are taken over at once.
func TestTasksContinueWhenOneControllerRestartsWithinASecondOfAllStopping(t *testing.T) {
	for _, after := range []micro.Time{100, 300, 500, 700, 900} {
		for _, led := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d ms, led %v", after, led), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 1, 3, nil, func(sim *simCluster) {
					job := sim.runServiceInZone("b", 4)
					leader, was := sim.leader(), sim.currentTerm()
					back := leader
					for _, controller := range sim.controllers {
						sim.killController(controller)
						if !led && controller != leader {
							back = controller
						}
					}
					sim.restartController(back, after*micro.Millisecond)
					most := 10 * micro.Second
					if led {
						most = after*micro.Millisecond + 500*micro.Millisecond // no need to wait for its own old lease
					}
					sim.waitUntil("leads", most, func() bool { x := sim.currentTerm(); return x > was })
					sim.sleep(20 * micro.Second)
					for _, controller := range sim.controllers {
						if controller != back {
							sim.startController(controller)
						}
					}
					sim.replaceLeader(micro.Second)
					sim.sleep(20 * micro.Second)
					if job.runningTasks() != 4 || job.startCount() != 4 {
						sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
					}
				})
			})
		}
	}
}

// All ended, one came back and ended again in mid-election: it had won, and never
// knew. Back once more, it does not wait for the lease that it then took.
func TestNodeKilledDuringAnElectionLeadsAtOnceAfterItsRestart(t *testing.T) {
	for _, after := range []micro.Time{100, 500, 900} {
		t.Run(fmt.Sprintf("%d ms", after), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 1, 3, nil, func(sim *simCluster) {
				job := sim.runServiceInZone("b", 4)
				controller, was := sim.leader(), sim.currentTerm()
				for _, controller := range sim.controllers {
					sim.killController(controller)
				}
				sim.sleep(300 * micro.Millisecond)
				sim.startController(controller)
				sim.slowStore(600*micro.Millisecond, 5*micro.Second)
				won := func() bool {
					item, err := sim.store.Get(context.Background(), store.Leadership, election.LeaderKey)
					return err == nil && uint64(item.Version) > was
				}
				for end := sim.now() + 20*micro.Second; !won() && sim.now() < end; {
					sim.sleep(5 * micro.Millisecond)
				}
				if !won() || sim.leader() != nil {
					sim.t.Fatal("it was to have won without knowing")
				}
				sim.restartController(controller, after*micro.Millisecond)
				sim.waitUntil("leads", (after+500)*micro.Millisecond, func() bool { return sim.leader() == controller })
				sim.sleep(20 * micro.Second)
				if job.runningTasks() != 4 || job.startCount() != 4 {
					sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// The store refused the leader alone just as tasks ended and others got their
// places: a start whose record cannot be written must not go out, since the next
// leader could not know of it.
func TestStartIsNotDispatchedBeforeItsRecordIsStored(t *testing.T) {
	for _, before := range []micro.Time{100, 500, 1500} {
		t.Run(fmt.Sprintf("%d ms", before), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 1, 3, nil, func(sim *simCluster) {
				job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 6, runTime: 20 * micro.Second, cpus: 4}).submit()
				sim.waitRunning(job, 4)
				sim.waitUntil(
					"soon over", 30*micro.Second,
					func() bool { return len(sim.tasksRunningFor(job, 20*micro.Second-before*micro.Millisecond)) > 0 },
				)
				leader, was := sim.leader(), sim.currentTerm()
				sim.refuseNode(leader, 8*micro.Second)
				sim.waitUntil("one ended", 5*micro.Second, func() bool { return job.runningTasks() < 4 })
				if sim.currentTerm() != was {
					sim.t.Fatal("it leads no more: it would have started nothing anyway")
				}
				sim.waitUntil("another leader", 20*micro.Second, func() bool { x := sim.leader(); return x != nil && x != leader })
				sim.waitUntil(
					"done", 90*micro.Second, func() bool { job.queryStatus(sim.randomUserNode()); return job.knowledge().done },
				)
				if job.startCount() != 6 {
					sim.t.Errorf("%d starts of 6 tasks", job.startCount())
				}
			})
		})
	}
}

// Leaders changed ten times in two minutes, each as a start went out, and one of
// them inside an outage: a start goes out only once the next leader can read of it.
func TestTenLeadersInTwoMinutesStartNothingTwice(t *testing.T) {
	runSeeds(t, 3, 3, func(sim *simCluster) {
		long := sim.runServiceInZone("b", 2)
		sim.sleep(90 * micro.Second) // the first leader has counted its token up
		from := sim.now()
		var jobs []*userJob
		terms := map[uint64]bool{}
		sim.slowStore(300*micro.Millisecond, 2*micro.Minute)
		for i := range 10 {
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, runTime: 15 * micro.Second, cpus: 1}).submit()
			jobs = append(jobs, job)
			sim.waitUntil("a start", 20*micro.Second, func() bool { return job.startCount() > 0 })
			if i == 5 {
				sim.storeOutage(4 * micro.Second)
			}
			sim.replaceLeader(500 * micro.Millisecond)
			terms[sim.currentTerm()] = true
		}
		if len(terms) < 10 || sim.now()-from > 2*micro.Minute {
			sim.t.Fatalf("%d terms in %v s", len(terms), (sim.now() - from).Seconds())
		}
		for _, job := range jobs {
			sim.waitUntil(
				job.id+" is done", 90*micro.Second,
				func() bool { job.queryStatus(sim.randomUserNode()); return job.knowledge().done },
			)
			if job.startCount() != 2 {
				sim.t.Errorf("%s: %d starts of 2 tasks", job.id, job.startCount())
			}
		}
		if long.runningTasks() != 2 || long.startCount() != 2 {
			sim.t.Errorf("%d of the long tasks run, %d starts", long.runningTasks(), long.startCount())
		}
	})
}

// A zone with two or three of five controllers was cut off for longer than the
// agents' leases, which its controllers kept: what runs there runs on, once.
func TestZonePartitionedForLongerThanALeaseKeepsItsTasks(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		t.Run(zone, func(t *testing.T) {
			runSeeds(t, 2, 5, func(sim *simCluster) {
				job := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 2, zone: zone}).submit()
				sim.waitRunning(job, 4)
				was := sim.leader()
				sim.partitionZone(zone, 55*micro.Second)
				sim.sleep(50 * micro.Second)
				leader := sim.leader()
				if leader == nil || leader.zone == zone || was.zone == zone && leader == was {
					sim.t.Fatal("the other zone should lead")
				}
				if job.runningTasks() != 4 {
					sim.t.Errorf("%d tasks run: leases were not kept", job.runningTasks())
				}
				sim.waitUntil("over", 30*micro.Second, sim.noActiveFaults)
				sim.sleep(20 * micro.Second)
				if job.runningTasks() != 4 || job.startCount() != 4 {
					sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// The tasks of a job end far apart, and the leader ends soon after the first: its
// completion is not forgotten by the agent before the next leader can read of it.
func TestTasksThatEndFarApartAcrossAChangeOfLeaderRunOnce(t *testing.T) {
	for _, tasks := range []int{2, 3} {
		for _, after := range []micro.Time{700, 900, 1100, 1300, 8000} {
			t.Run(fmt.Sprintf("%d tasks, %d ms", tasks, after), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 1, 3, nil, func(sim *simCluster) {
					job := sim.newJob(
						jobRequest{kind: wire.JobArray, tasks: tasks, runTime: 5 * micro.Second, runTimeStep: 25 * micro.Second, cpus: 1},
					).submit()
					sim.waitUntil(
						"one ended", 60*micro.Second, func() bool { return job.startCount() == tasks && job.runningTasks() == tasks-1 },
					)
					sim.sleep(after * micro.Millisecond)
					sim.replaceLeader(micro.Second)
					if job.runningTasks() != tasks-1 {
						sim.t.Fatal("the others were to run on")
					}
					sim.waitUntil(
						"done", 90*micro.Second, func() bool { job.queryStatus(sim.randomUserNode()); return job.knowledge().done },
					)
					if job.startCount() != tasks {
						sim.t.Errorf("%d starts of %d tasks", job.startCount(), tasks)
					}
				})
			})
		}
	}
}

// A heartbeat from before a task began arrives after newer ones, also under another
// leader that has acted: that the task is missing in it proves nothing.
func TestHeartbeatFromBeforeATaskStartedReleasesNothing(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprint("another leader ", changes), func(t *testing.T) {
			runSeeds(t, 2, 3, func(sim *simCluster) {
				sim.startRecording()
				sim.startIdleMachines("a") // it reports a while before it has a task
				job := sim.runServiceInZone("a", 1)
				machine := job.machines()[0]
				if changes {
					sim.replaceLeader(5 * micro.Second)
				}
				sim.sleep(8 * micro.Second) // the machine was heard since
				machine.replayHeartbeatWithout(job)
				sim.sleep(30 * micro.Second)
				if job.runningTasks() != 1 || job.startCount() != 1 {
					sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// An old heartbeat reaches every controller just as a new leader begins, which has
// heard nothing newer: a cancelled job's task is missing in it, and yet runs.
func TestStaleHeartbeatToANewLeaderReleasesNoCancelledTask(t *testing.T) {
	runSeeds(t, 4, 3, func(sim *simCluster) {
		sim.startRecording()
		sim.startIdleMachines("b") // it reports a while before it has a task
		job := sim.runServiceInZone("b", 1)
		machine := job.machines()[0]
		sim.runServiceInZone("a", 3)
		sim.startIdleMachines("a") // ready for what is next
		machine.isolate(20 * micro.Second)
		job.cancel()
		next := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "a"}).submit()
		sim.replaceLeader(5 * micro.Second)
		machine.replayHeartbeatWithout(job)
		sim.sleep(4 * micro.Second)
		if job.runningTasks() != 1 {
			sim.t.Fatal("its task was to run on, out of reach")
		}
		sim.waitRunning(next, 1)
	})
}

// A machine died with a heartbeat on its way, which arrives once a new leader has
// begun: it is no sign of life, and work that waits is not sent there.
func TestHeartbeatDelayedUntilAnotherLeaderActsIsNoLivenessProof(t *testing.T) {
	runSeeds(t, 3, 3, func(sim *simCluster) {
		sim.startRecording()
		machine := sim.startIdleMachines("b")[0]
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "b"})
		machine.terminate()
		sim.replaceLeader(5 * micro.Second)
		sim.sleep(micro.Second)
		machine.replayHeartbeatWithout(job)
		from := sim.now()
		job.submit()
		sim.waitRunning(job, 1)
		if took := sim.now() - from; took > 12*micro.Second {
			sim.t.Errorf("it ran after %v s: another machine is up within 8", took.Seconds())
		}
	})
}

// A heartbeat of an earlier attempt arrives while the next one runs elsewhere. To
// the leader that knows its lease ran out it means nothing, not even capacity that is
// taken; the next leader counts what it shows until it is proven gone. Neither
// starts anything for it.
func TestHeartbeatOfAnEarlierAttemptStartsNothing(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprint("another leader ", changes), func(t *testing.T) {
			runSeeds(t, 3, 3, func(sim *simCluster) {
				sim.startRecording()
				job := sim.runServiceInZone("b", 1)
				machine := job.machines()[0]
				sim.sleep(5 * micro.Second)
				machine.isolate(60 * micro.Second)
				sim.waitUntil(
					"another attempt", 60*micro.Second,
					func() bool { return job.startCount() == 2 && job.runningTasks() == 1 && job.machines()[0] != machine },
				)
				if changes {
					sim.replaceLeader(5 * micro.Second)
				}
				machine.replayHeartbeatWith(job)
				from := sim.now()
				sim.runServiceInZone("a", 3)
				if took := sim.now() - from; !changes && took > 12*micro.Second {
					sim.t.Errorf("the team's room was held for %v s by a task that is gone", took.Seconds())
				}
				sim.sleep(50 * micro.Second)
				if job.runningTasks() != 1 || job.startCount() != 2 {
					sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// A heartbeat of a session that is over arrives under a new leader, which has heard
// of the next session, and of a task that runs in it.
func TestHeartbeatOfAnEarlierEpochChangesNothing(t *testing.T) {
	runSeeds(t, 2, 3, func(sim *simCluster) {
		sim.startRecording()
		sim.startIdleMachines("b", "b")
		job := sim.runServiceInZone("b", 2)
		old := job.machines()
		for _, machine := range old {
			machine.isolate(36 * micro.Second)
		}
		sessions := func() bool {
			for _, machine := range old {
				machine.mu.Lock()
				over := machine.agent.Epoch > 1
				machine.mu.Unlock()
				if !over {
					return false
				}
			}
			return true
		}
		sim.waitUntil("another session", 50*micro.Second, sessions)
		sim.sleep(10 * micro.Second)
		var again []*userJob
		for range 4 { // so many that the machines of before are used again
			again = append(
				again, sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: "b", team: "other"}).submit(),
			)
		}
		for _, x := range again {
			sim.waitRunning(x, 1)
		}
		sim.waitRunning(job, 2)
		used := 0
		for _, x := range again {
			if machine := x.machines()[0]; machine == old[0] || machine == old[1] {
				used++
			}
		}
		if used == 0 && job.machines()[0] != old[0] {
			sim.t.Fatal("none of the machines is used again")
		}
		n := job.startCount()
		for range 2 {
			sim.replaceLeader(micro.Second)
			sim.sleep(8 * micro.Second)
			for _, machine := range old {
				machine.replayHeartbeatWithout(job)
			}
			sim.sleep(8 * micro.Second)
		}
		for _, x := range again {
			if x.runningTasks() != 1 || x.startCount() != 1 {
				sim.t.Errorf("%s: %d of its tasks run, %d starts", x.id, x.runningTasks(), x.startCount())
			}
		}
		if job.runningTasks() != 2 || job.startCount() != n {
			sim.t.Errorf("%d of its tasks run, %d starts, %d before", job.runningTasks(), job.startCount(), n)
		}
	})
}

// All controllers were away for longer than the agents' leases, which killed
// their tasks: each begins again, once.
func TestTasksRestartOnceAfterAllControllersWereDownBeyondALease(t *testing.T) {
	for _, away := range []micro.Time{32, 45, 70} {
		t.Run(fmt.Sprintf("%d s", away), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 1, 3, nil, func(sim *simCluster) {
				job := sim.runServiceInZone("a", 4)
				for _, controller := range sim.controllers {
					sim.restartController(controller, away*micro.Second+micro.Time(sim.randomInt(900))*micro.Millisecond)
				}
				sim.waitUntil("killed", 40*micro.Second, func() bool { return job.runningTasks() == 0 })
				sim.waitUntil("back", 90*micro.Second, func() bool { return sim.leader() != nil })
				sim.waitRunning(job, 4)
				sim.sleep(20 * micro.Second)
				if job.runningTasks() != 4 || job.startCount() != 8 {
					sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
				}
			})
		})
	}
}

// The leader ended while machines with long tasks could not be reached, or heard
// no answer. The next one has heard nothing of them, and counts their leases from
// its failover, since the last leader may have renewed them until then.
func TestTasksOnUnreachableMachinesRunOnceAcrossAChangeOfLeader(t *testing.T) {
	for what, cut := range map[string]func(*fakeMachine, micro.Time){"unreachable": (*fakeMachine).isolate, "deaf": (*fakeMachine).loseResponses} {
		for _, zone := range []string{"a", "b"} {
			t.Run(what+" in "+zone, func(t *testing.T) {
				runSeeds(t, 3, 3, func(sim *simCluster) {
					job := sim.runServiceInZone(zone, 4)
					for _, machine := range job.machines()[:2] {
						cut(machine, 20*micro.Second)
					}
					sim.replaceLeader(5 * micro.Second)
					if !job.machines()[0].responsesLost() {
						sim.t.Fatal("it hears again")
					}
					sim.sleep(40 * micro.Second)
					if job.runningTasks() != 4 || job.startCount() != 4 {
						sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
					}
				})
			})
		}
	}
}
