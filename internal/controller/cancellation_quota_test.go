package controller

import (
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// fillTeamLimit submits services that use up a team's CPU limit, and waits until all their tasks run.
func (w *simCluster) fillTeamLimit(team string, cpus int, request jobRequest) []*userJob {
	w.t.Helper()
	var jobs []*userJob
	for used := 0; used < cpus; used += request.tasks {
		request.kind, request.team = wire.Service, team
		jobs = append(jobs, w.newJob(request).submit())
	}
	w.waitUntil(team+" at its limit", 2*micro.Minute, func() bool {
		for _, job := range jobs {
			if job.runningTasks() != request.tasks {
				return false
			}
		}
		return true
	})
	return jobs
}

// Every team is at its limit while jobs on partitioned or hanging machines are cancelled and the leader changes
// twice. Allocations that are not proven released count against the team's limit under every leader; released
// capacity is used within seconds.
func TestQuotaOfCancelledJobsOnLostMachinesIsReusedOnceReleased(t *testing.T) {
	partition := func(sim *simCluster, machine *fakeMachine) {
		duration := sim.randomTime(10*micro.Second, 50*micro.Second)
		machine.loseResponses(duration)
		machine.loseHeartbeats(duration)
	}
	for _, test := range []struct {
		name         string
		leaseProxies bool
		machineFault func(sim *simCluster, machine *fakeMachine)
		change       func(sim *simCluster, leader *controllerProcess)
	}{
		{"partitioned, leader killed, lease proxies", true, partition, func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(micro.Second, 8*micro.Second))
		}},
		{"partitioned, leader paused, lease proxies", true, partition, func(sim *simCluster, leader *controllerProcess) {
			leader.freeze(sim.randomTime(4500*micro.Millisecond, 12*micro.Second))
		}},
		{"machines hang, leader killed", false, func(sim *simCluster, machine *fakeMachine) {
			machine.hang(sim.randomTime(10*micro.Second, 50*micro.Second))
		}, func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(micro.Second, 8*micro.Second))
		}},
		{"machines hang, store refuses the leader, lease proxies", true, func(sim *simCluster, machine *fakeMachine) {
			machine.hang(sim.randomTime(5*micro.Second, 28*micro.Second))
		}, func(sim *simCluster, leader *controllerProcess) {
			sim.refuseNode(leader, sim.randomTime(6*micro.Second, 12*micro.Second))
		}},
		{"machines lose responses, leader partitioned", false, func(sim *simCluster, machine *fakeMachine) {
			machine.loseResponses(sim.randomTime(5*micro.Second, 40*micro.Second))
		}, func(sim *simCluster, leader *controllerProcess) {
			sim.partitionNode(leader, sim.randomTime(6*micro.Second, 12*micro.Second), "state", "peers")
		}},
	} {
		runCaseWithSeeds(t, 4, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, []int{3, 5}[seed%2], func(sim *simCluster) {
				sim.fastBoot = true
				if !test.leaseProxies {
					sim.config.LeaseProxyFactor = 0
				}
			}, func(sim *simCluster) {
				team, other := sim.fillTeamLimit("team", teamMaxCPUs, jobRequest{tasks: 2}), sim.fillTeamLimit(
					"other", teamMaxCPUs, jobRequest{tasks: 4},
				)
				var waiting []*userJob
				for range 4 {
					waiting = append(
						waiting, sim.newJob(jobRequest{kind: wire.Service, tasks: 2}).submit(),
						sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, runTime: 3 * micro.Second, team: "other"}).submit(),
					)
				}
				sim.sleep(3 * micro.Second)
				cancelled := []*userJob{team[0], team[1], team[2], other[0], other[1]}
				lost := map[*fakeMachine]bool{}
				for _, job := range cancelled {
					if machines := job.machines(); len(machines) > 0 && !lost[machines[0]] {
						lost[machines[0]] = true
						test.machineFault(sim, machines[0])
					}
					go job.cancel()
				}
				for range 2 {
					sim.sleep(sim.randomTime(0, 1500*micro.Millisecond))
					leader := sim.waitForLeader()
					oldTerm := leader.runningNode().activeLeader().term
					test.change(sim, leader)
					sim.waitUntil("a new term", 20*micro.Second, func() bool {
						n := sim.waitForLeader().runningNode().activeLeader()
						return n != nil && n.term.FencingRevision > oldTerm.FencingRevision
					})
				}
				if len(lost) < 2 {
					t.Fatalf("%d machines affected by faults, want at least 2", len(lost))
				}
				sim.waitUntil(
					"all cancelled allocations released", 2*micro.Minute,
					func() bool { return sim.allAllocationsReleased(cancelled...) },
				)
				releasedAt := sim.now()
				sim.waitUntil("waiting jobs are served", 10*micro.Second, func() bool {
					served := 0
					for _, job := range waiting {
						if job.queryStatus(sim.randomUserNode()); job.knowledge().done || job.runningTasks() == 2 {
							served++
						}
					}
					return served >= 3+4 // capacity for three services, and for all arrays
				})
				t.Logf("waiting jobs served %.1f s after the last allocation was released", (sim.now() - releasedAt).Seconds())
				for _, job := range cancelled {
					sim.waitUntil(job.id+" reported aborted", 2*micro.Minute, func() bool { return job.knowledge().aborted })
				}
				sim.waitUntil("no active faults", 3*micro.Minute, sim.noActiveFaults)
				sim.sleep(cancelSpan)
			})
		})
	}
}

// waitForLeader waits until a node holds the leadership lease, and returns it.
func (w *simCluster) waitForLeader() *controllerProcess {
	w.t.Helper()
	var l *controllerProcess
	w.waitUntil("a node leads", 20*micro.Second, func() bool {
		l = w.leader()
		return l != nil && l.holdsLease()
	})
	return l
}

// allAllocationsReleased reports whether a leader that has recovered knows that all allocations of the jobs, which
// are no longer active, are released.
func (w *simCluster) allAllocationsReleased(jobs ...*userJob) bool {
	controller := w.leader()
	if controller == nil {
		return false
	}
	leader := controller.runningNode().activeLeader()
	if leader == nil {
		return false
	}
	reply := make(chan bool, 1)
	go leader.post(func() {
		released := leader.recovered
		for _, job := range jobs {
			tracked := leader.cluster.Jobs[job.id]
			released = released && (tracked == nil || tracked.State != cluster.Active && tracked.AllocationCount == 0)
		}
		reply <- released
	})
	select {
	case released := <-reply:
		return released
	case <-time.After(time.Second):
		return false
	}
}

// A team is at its limit when the leader changes. Some of its machines are unreachable for a while, and a job is
// cancelled meanwhile. Allocations that the new leader knows only from the stored records count against the limit
// until they are proven released, whether or not their job is cancelled.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestNextLeaderCountsAllocationsOnUnreachableMachinesAgainstTheQuota(t *testing.T) {
	const beforeChange, duringChange, afterChange = "before", "within", "after"
	for _, test := range []struct {
		name          string
		leaseProxies  bool
		cancelAt      string     // when the job is cancelled, relative to the change of leader
		onUnreachable bool       // the cancelled job is on the unreachable machines; otherwise it is another
		faultSpan     micro.Time // how long the machines are unreachable
	}{
		{"affected job cancelled before the change, lease proxies", true, beforeChange, true, 25 * micro.Second},
		{"affected job cancelled during the change", false, duringChange, true, 25 * micro.Second},
		{"affected job cancelled after the change, lease proxies", true, afterChange, true, 25 * micro.Second},
		{
			"affected job cancelled after the change, unreachable beyond the lease", false, afterChange, true, 50 * micro.Second,
		},
		{
			"affected job cancelled before the change, unreachable beyond the lease", false, beforeChange, true,
			50 * micro.Second,
		},
		{"other job cancelled before the change, lease proxies", true, beforeChange, false, 25 * micro.Second},
		{"other job cancelled during the change", false, duringChange, false, 45 * micro.Second},
		{"other job cancelled after the change", false, afterChange, false, 20 * micro.Second},
	} {
		runCaseWithSeeds(t, 4, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, []int{3, 4}[seed%2], func(sim *simCluster) {
				sim.fastBoot = true
				if !test.leaseProxies {
					sim.config.LeaseProxyFactor = 0
				}
			}, func(sim *simCluster) {
				full := sim.fillTeamLimit("team", teamMaxCPUs, jobRequest{tasks: 2})
				waiting := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, priority: wire.Production}).submit()
				sim.sleep(3 * micro.Second)
				if waiting.runningTasks() > 0 {
					t.Fatal("a task started above the team's limit")
				}
				unreachableJob := full[sim.randomInt(len(full))]
				unreachable := map[*fakeMachine]bool{}
				for _, machine := range unreachableJob.machines() {
					unreachable[machine] = true
					machine.loseResponses(test.faultSpan)
					machine.loseHeartbeats(test.faultSpan)
				}
				cancelled := unreachableJob
				for _, job := range full {
					elsewhere := true
					for _, machine := range job.machines() {
						elsewhere = elsewhere && !unreachable[machine]
					}
					if !test.onUnreachable && elsewhere {
						cancelled = job
					}
				}
				if test.onUnreachable != (cancelled == unreachableJob) {
					t.Fatal("all of the team's jobs are on unreachable machines")
				}
				faultStart := sim.now()
				sim.sleep(sim.randomTime(500*micro.Millisecond, 2*micro.Second))
				if test.cancelAt == beforeChange {
					go cancelled.cancel()
					sim.sleep(sim.randomTime(0, micro.Second))
				}
				leader := sim.waitForLeader()
				oldTerm := leader.runningNode().activeLeader().term
				sim.restartController(leader, sim.randomTime(micro.Second, 6*micro.Second))
				if test.cancelAt == duringChange {
					sim.sleep(sim.randomTime(0, 4*micro.Second))
					go cancelled.cancel()
				}
				sim.waitUntil("a new term", 20*micro.Second, func() bool {
					newLeader := sim.waitForLeader().runningNode().activeLeader()
					return newLeader != nil && newLeader.term.FencingRevision > oldTerm.FencingRevision
				})
				if test.cancelAt == afterChange {
					sim.sleep(sim.randomTime(0, 3*micro.Second))
					go cancelled.cancel()
				}
				if sim.now() > faultStart+test.faultSpan {
					t.Fatal("the machines became reachable before the change of leader and the cancellation")
				}
				sim.waitUntil(
					"allocations of the cancelled job released", 2*micro.Minute,
					func() bool { return sim.allAllocationsReleased(cancelled) },
				)
				releasedAt := sim.now()
				sim.waitUntil(
					"the waiting job uses the released capacity", 10*micro.Second, func() bool { return waiting.runningTasks() == 2 },
				)
				t.Logf(
					"capacity used %.1f s after its release, released %.1f s after the fault", (sim.now() - releasedAt).Seconds(),
					(releasedAt - faultStart).Seconds(),
				)
				sim.waitUntil("cancellation reported", micro.Minute, func() bool { return cancelled.knowledge().aborted })
				sim.sleep(cancelSpan + micro.Second)
			})
		})
	}
}
