package controller

import (
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Jobs are cancelled around a change of leader: ten jobs, at random times from one second before it to six
// seconds after.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestTasksStopInTimeWhenCancelledDuringAChangeOfLeader(t *testing.T) {
	for _, test := range []struct {
		name         string
		nodes        int
		leaseProxies bool
		change       func(sim *simCluster, leader *controllerProcess)
		clusterFault func(sim *simCluster)
	}{
		{"leader killed", 3, false, func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(100*micro.Millisecond, 8*micro.Second))
		}, nil},
		{"leader restarted within a second, lease proxies", 4, true, func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(50*micro.Millisecond, 900*micro.Millisecond))
		}, nil},
		{"leader paused", 3, false, func(sim *simCluster, leader *controllerProcess) {
			leader.freeze(sim.randomTime(4500*micro.Millisecond, 9*micro.Second))
		}, nil},
		{"leader paused, lease proxies", 5, true, func(sim *simCluster, leader *controllerProcess) {
			leader.freeze(sim.randomTime(4500*micro.Millisecond, 9*micro.Second))
		}, nil},
		{"leader partitioned, lease proxies", 4, true, func(sim *simCluster, leader *controllerProcess) {
			sim.partitionNode(leader, sim.randomTime(4*micro.Second, 12*micro.Second), "state", "peers")
		}, nil},
		{"store refuses the leader", 3, false, func(sim *simCluster, leader *controllerProcess) {
			sim.refuseNode(leader, sim.randomTime(4*micro.Second, 12*micro.Second))
		}, nil},
		{"leader resigns, proxies", 4, true, func(_ *simCluster, leader *controllerProcess) { resignLeader(leader) }, nil},
		{"leader resigns", 3, false, func(_ *simCluster, leader *controllerProcess) { resignLeader(leader) }, nil},
		{"leader killed, writes executed late", 3, false, func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(100*micro.Millisecond, 8*micro.Second))
		}, func(sim *simCluster) { sim.disturbCommits(0.3, 0, 8*micro.Second) }},
		{"leader resigns, responses lost, lease proxies", 4, true, func(_ *simCluster, leader *controllerProcess) {
			resignLeader(leader)
		}, func(sim *simCluster) { sim.disturbCommits(0, 0.3, 8*micro.Second) }},
		{"leader paused, heartbeats delayed", 3, false, func(sim *simCluster, leader *controllerProcess) {
			leader.freeze(sim.randomTime(4500*micro.Millisecond, 9*micro.Second))
		}, func(sim *simCluster) { sim.replayHeartbeats(0.5, 45*micro.Second, 15*micro.Second) }},
	} {
		outcomes := newOutcomeCounts(t)
		runCaseWithSeeds(t, 6, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, test.nodes, func(sim *simCluster) {
				if !test.leaseProxies {
					sim.config.LeaseProxyFactor = 0
				}
			}, func(sim *simCluster) {
				outcomes.record(simulationRan)
				const jobCount = 10
				var jobs []*userJob
				for i := range jobCount {
					request := []jobRequest{{kind: wire.Service, tasks: 2}, {kind: wire.JobArray, tasks: 3, runTime: endlessRun}, {kind: wire.Gang, tasks: 2, runTime: endlessRun}, {kind: wire.JobArray, tasks: 2, runTime: endlessRun, zone: "b"}}[i%4]
					request.team = []string{"team", "other"}[i%2]
					jobs = append(jobs, sim.submitAndWaitRunning(request))
				}
				leader := sim.waitForLeader()
				oldTerm := leader.runningNode().activeLeader().term
				changeAt := sim.now() + micro.Second
				if test.clusterFault != nil {
					test.clusterFault(sim)
				}
				for _, job := range jobs {
					queryRapidly := sim.randomChance(0.5)
					at := sim.randomDuration(0, 7*micro.Second)
					time.AfterFunc(at, func() {
						go job.watchUntilFinal()
						if queryRapidly {
							go job.queryRapidly()
						}
						job.cancel()
						if queryRapidly {
							job.queryRapidly()
						}
					})
				}
				sim.sleep(micro.Second)
				test.change(sim, leader)
				var newTermAt micro.Time
				sim.waitUntil("a new term", 20*micro.Second, func() bool {
					for _, controller := range sim.controllers {
						if node := controller.runningNode(); node != nil && node.activeLeader() != nil &&
							node.activeLeader().term.FencingRevision > oldTerm.FencingRevision {
							newTermAt = sim.now()
						}
					}
					return newTermAt > 0
				})
				for _, job := range jobs {
					sim.waitUntil(job.id+" reported aborted", 80*micro.Second, func() bool { return job.knowledge().aborted })
					switch reportedAt, _, _, _ := job.abortReport(); {
					case reportedAt < changeAt:
						outcomes.record("told before")
					case reportedAt < newTermAt:
						outcomes.record("told within")
					default:
						outcomes.record("told after")
					}
				}
				sim.sleep(cancelSpan + micro.Second)
				for _, job := range jobs {
					if job.runningTasks() > 0 {
						t.Errorf("%s still has running tasks", job.id)
					}
				}
				sim.checkRecovery()
			})
		})
		outcomes.require(test.name, "told before", "told after")
	}
}

// resignLeader makes the node resign if it leads.
func resignLeader(controller *controllerProcess) {
	if l := controller.runningNode().activeLeader(); l != nil {
		l.post(func() { l.resign("test") })
	}
}

// A cancellation was reported to the user, but the job's machines received no command to stop before the leader
// changed. The next leader answers their heartbeats and so renews their leases: it must order the tasks to stop
// without another request from a user.
func TestNextLeaderStopsTasksOfJobsCancelledBeforeItsTerm(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(sim *simCluster, leader *controllerProcess)
	}{
		{"leader killed", func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(micro.Second, 8*micro.Second))
		}},
		{"store refuses the leader", func(sim *simCluster, leader *controllerProcess) {
			sim.refuseNode(leader, sim.randomTime(6*micro.Second, 12*micro.Second))
		}},
		{"leader resigns", func(_ *simCluster, leader *controllerProcess) { resignLeader(leader) }},
	} {
		runCaseWithSeeds(t, 4, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, 3, func(sim *simCluster) { sim.config.LeaseProxyFactor = 0 }, func(sim *simCluster) {
				jobs := []*userJob{
					sim.submitAndWaitRunning(jobRequest{kind: wire.Service, tasks: 2}),
					sim.submitAndWaitRunning(jobRequest{kind: wire.JobArray, tasks: 2, runTime: endlessRun}),
					sim.submitAndWaitRunning(jobRequest{kind: wire.Gang, tasks: 2, runTime: endlessRun}),
				}
				sim.sleep(3 * micro.Second)
				leader := sim.waitForLeader()
				oldTerm := leader.runningNode().activeLeader().term
				for _, job := range jobs {
					for _, machine := range job.machines() {
						machine.loseResponses(sim.randomTime(10*micro.Second, 15*micro.Second))
					}
				}
				for _, job := range jobs {
					job.cancel()
				}
				test.change(sim, leader)
				sim.waitUntil("a new term", 20*micro.Second, func() bool {
					newLeader := sim.waitForLeader().runningNode().activeLeader()
					return newLeader != nil && newLeader.term.FencingRevision > oldTerm.FencingRevision
				})
				for _, job := range jobs {
					if _, _, remaining, ok := job.abortReport(); !ok || remaining != 2 || job.runningTasks() != 2 {
						t.Fatalf(
							"%s: %d tasks when the cancellation was reported, %d when the next leader's term began, want 2", job.id,
							remaining, job.runningTasks(),
						)
					}
				}
				sim.sleep(cancelSpan)
				sim.checkRecovery()
			})
		})
	}
}

// The write of a cancellation gets no response, and the leader changes. If the store executed the write after the
// next leader's term began, it must refuse it: that leader would not know of the final status, any node would
// report it to the user, and the tasks would run on.
func TestLateCancellationWriteIsRefusedAfterTheNextLeaderBegan(t *testing.T) {
	outcomes := newOutcomeCounts(t)
	for name, change := range map[string]func(sim *simCluster, leader *controllerProcess){
		"leader killed":  func(sim *simCluster, leader *controllerProcess) { sim.restartController(leader, 20*micro.Second) },
		"leader resigns": func(_ *simCluster, leader *controllerProcess) { resignLeader(leader) },
		"leader partitioned": func(sim *simCluster, leader *controllerProcess) {
			sim.partitionNode(leader, 20*micro.Second, "state", "peers")
		},
	} {
		runCaseWithSeeds(t, 5, name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, 3, func(sim *simCluster) { sim.config.LeaseProxyFactor = 0 }, func(sim *simCluster) {
				outcomes.record(simulationRan)
				job := sim.submitAndWaitRunning(jobRequest{kind: wire.Service, tasks: 2})
				sim.sleep(3 * micro.Second)
				old := sim.waitForLeader()
				sim.disturbCommits(1, 0, 300*micro.Millisecond, old)
				go job.cancelOnce(old)
				sim.sleep(200 * micro.Millisecond)
				if oldLeader := old.runningNode().activeLeader(); oldLeader == nil || !oldLeader.records.EndUncertain(job.id) {
					t.Fatal("the write of the cancellation was not sent")
				}
				change(sim, old)
				next := sim.waitForNextLeader(old)
				_, err := sim.store.Get(sim.ctx, store.Urgent, keys.JobEnd(job.id))
				stored := err == nil
				sim.sleep(13 * micro.Second) // the store executes the late write
				if _, err := sim.store.Get(sim.ctx, store.Urgent, keys.JobEnd(job.id)); !stored && err == nil &&
					!job.knowledge().aborted &&
					job.runningTasks() > 0 {
					t.Errorf("the job's final status was stored without the knowledge of %s, which leads", next.name)
				} else if !stored &&
					err != nil {
					outcomes.record("refused by its guard")
				}
				for _, controller := range sim.controllers {
					if controller != old || controller.holdsLease() {
						job.queryStatus(controller)
					}
				}
				if !stored {
					sim.waitUntil("both tasks run", 90*micro.Second, func() bool { return job.runningTasks() == 2 })
				}
				sim.waitUntil("no active faults", micro.Minute, sim.noActiveFaults)
				job.cancel()
				sim.sleep(cancelSpan + micro.Second)
			})
		})
	}
	outcomes.require("late", "refused by its guard")
}
