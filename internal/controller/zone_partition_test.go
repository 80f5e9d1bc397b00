package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/detector"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// ensureLeaderOutside restarts leaders until one outside the zone leads, and returns it once it has recovered.
func (w *simCluster) ensureLeaderOutside(zone string) *controllerProcess {
	w.t.Helper()
	w.waitUntil("a leader outside zone "+zone, 2*micro.Minute, func() bool {
		l := w.leader()
		if l != nil && l.zone == zone {
			w.restartController(l, 5*micro.Second)
			w.sleep(8 * micro.Second)
		}
		return l != nil && l.zone != zone
	})
	l, _ := w.waitForRestoredLeader()
	return l
}

// controllersOutside returns the controllers in other zones.
func (w *simCluster) controllersOutside(zone string) []*controllerProcess {
	var out []*controllerProcess
	for _, controller := range w.controllers {
		if controller.zone != zone {
			out = append(out, controller)
		}
	}
	return out
}

// runServiceInAnyZone submits a service without a zone, each task of which fills a machine, and waits until all tasks
// run. It returns the job and the zone of its tasks, which must all be in one zone.
func (w *simCluster) runServiceInAnyZone(tasks int) (*userJob, string) {
	w.t.Helper()
	job := w.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4}).submit()
	w.waitRunning(job, tasks)
	zone := job.machines()[0].agent.Zone
	for _, machine := range job.machines() {
		if machine.agent.Zone != zone {
			w.t.Fatal("the service has tasks in two zones")
		}
	}
	return job, zone
}

// runServiceInBothZones runs a service on one machine in each zone, so that a leader outside a partitioned zone still
// receives heartbeats.
func (w *simCluster) runServiceInBothZones() {
	w.t.Helper()
	for _, z := range []string{"a", "b"} {
		w.waitRunning(w.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: z, team: "other"}).submit(), 1)
	}
}

// runningOutside returns how many tasks of the job run outside a zone.
func (j *userJob) runningOutside(zone string) int {
	checker := j.sim.checker
	checker.mu.Lock()
	defer checker.mu.Unlock()
	n := 0
	for task, machines := range checker.machinesByTask {
		if id, _, _ := wire.ParseTaskName(task); id == j.id {
			for _, z := range machines {
				if z != zone {
					n++
				}
			}
		}
	}
	return n
}

// renewalBound returns how long after the start of a partition tasks inside the zone may keep running: the lease of a
// leader inside expires, the renewal span of the lease proxies starts then, and the last lease that they renewed
// expires.
func (w *simCluster) renewalBound() micro.Time {
	cfg := w.controllers[0].runningNode().Cfg
	return cfg.LeaderLease + cfg.LeaseProxyDuration() + leaseS*micro.Second
}

// rescheduleBound returns within which time after that the tasks run elsewhere: the leader adds a margin for clock
// drift and provisions machines, whose agents try all nodes, unreachable ones included.
func (w *simCluster) rescheduleBound() micro.Time {
	const provisionAndBoot = 12 * micro.Second
	return provisionAndBoot + w.controllers[0].runningNode().Cfg.RegistrationWindow()
}

// A zone with controllers is partitioned for longer than its lease proxies may renew leases. Its tasks, killed there as
// the leases expire, must restart elsewhere, none twice, and the zone must serve jobs again after the partition.
func TestTasksOfAZonePartitionedBeyondTheRenewalSpanRestartElsewhere(t *testing.T) {
	for _, outside := range []bool{true, false} {
		t.Run(fmt.Sprint("with machines outside the zone ", outside), func(t *testing.T) {
			runSeeds(t, 4, 5, func(sim *simCluster) { runZonePartitionBeyondRenewalSpan(sim, outside) })
		})
	}
}

// runZonePartitionBeyondRenewalSpan runs the scenario, with or without machines outside the partitioned zone.
func runZonePartitionBeyondRenewalSpan(sim *simCluster, machinesOutside bool) {
	job, zone := sim.runServiceInAnyZone(4)
	limit := sim.renewalBound() + sim.rescheduleBound()
	if machinesOutside {
		sim.runServiceInBothZones()
	} else {
		// No leader outside receives heartbeats: each hands over without success before one stays, and
		// counts the leases that lease proxies may have renewed from its own failover.
		limit += micro.Time(len(sim.controllersOutside(zone))*detector.MaxLeadershipHandovers) * sim.handoverBound()
	}
	sim.sleep(5 * micro.Second)
	partitionStart := sim.now()
	sim.partitionZone(zone, limit+90*micro.Second)
	sim.sleep(sim.controllers[0].runningNode().Cfg.LeaseProxyDuration())
	if job.runningTasks() != 4 || job.startCount() != 4 {
		sim.t.Errorf(
			"within the renewal span of the lease proxies: %d tasks running, %d starts, want 4 of each", job.runningTasks(),
			job.startCount(),
		)
	}
	sim.waitUntil(
		"tasks killed in the partitioned zone", partitionStart+sim.renewalBound()+2*micro.Second-sim.now(),
		func() bool { return job.runningTasks() == job.runningOutside(zone) },
	)
	sim.waitUntil(
		"tasks running elsewhere", partitionStart+limit-sim.now(), func() bool { return job.runningOutside(zone) == 4 },
	)
	sim.t.Logf("tasks running elsewhere %.1f s after the partition began", (sim.now() - partitionStart).Seconds())
	sim.checkServing(sim.controllersOutside(zone))
	if sim.noActiveFaults() {
		sim.t.Fatal("the partition ended too early")
	}
	sim.waitUntil("partition ended", 5*micro.Minute, sim.noActiveFaults)
	next := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: zone, team: "other"}).submit()
	sim.waitUntil("zone serves a job again", 30*micro.Second, func() bool { return next.runningTasks() == 1 })
	sim.checkServing(sim.controllers)
	if job.runningTasks() != 4 || job.startCount() != 8 {
		sim.t.Errorf("%d tasks running, want 4; %d starts, want 8", job.runningTasks(), job.startCount())
	}
}

// The leader outside a partitioned zone stops during the partition. The next leader, also outside, does not know when
// the lease proxies inside were last answered and counts the leases that they may have renewed from its own failover.
// In a short partition the tasks keep running; in a long one they restart elsewhere, none twice.
func TestTasksRunOnceWhenTheLeaderStopsWhileProxiesRenewLeases(t *testing.T) {
	for _, test := range []struct {
		name         string
		span         micro.Time
		wantRestarts int // how many tasks are started a second time
	}{
		{"partition within the renewal span", 43 * micro.Second, 0},
		{"partition beyond the renewal span", 160 * micro.Second, 4},
	} {
		for _, after := range []micro.Time{6 * micro.Second, 20 * micro.Second} {
			t.Run(fmt.Sprintf("%s, leader stops after %v s", test.name, after.Seconds()), func(t *testing.T) {
				runSeeds(t, 3, 5, func(sim *simCluster) {
					job, zone := sim.runServiceInAnyZone(4) // uses the whole limit of the team
					sim.runServiceInBothZones()
					oldLeader := sim.ensureLeaderOutside(zone)
					sim.sleep(10 * micro.Second) // lease proxies are answered by the leader
					partitionStart := sim.now()
					sim.partitionZone(zone, test.span)
					sim.sleep(after)
					sim.replaceLeader(5 * micro.Second)
					next := sim.leader()
					if next.zone == zone || next == oldLeader {
						sim.t.Fatal("no other node outside the zone leads")
					}
					takeoverAt := sim.now()
					// The job waits for the team's quota, none of which is free.
					waiting := sim.submitThrough(
						sim.otherControllers(), micro.Minute,
						jobRequest{kind: wire.JobArray, tasks: 1, cpus: 4, runTime: 2 * micro.Second},
					)
					if test.wantRestarts == 0 {
						sim.waitUntil("partition ended", 2*micro.Minute, sim.noActiveFaults)
						sim.sleep(20 * micro.Second)
					} else {
						limit := sim.controllers[0].runningNode().Cfg.LeaseProxyDuration() + leaseS*micro.Second + sim.rescheduleBound()
						sim.waitUntil(
							"tasks running elsewhere", takeoverAt+limit-sim.now(),
							func() bool { return job.runningOutside(zone)+waiting.runningTasks() == 4 },
						)
						sim.t.Logf("tasks running elsewhere %.1f s after the partition began", (sim.now() - partitionStart).Seconds())
						sim.waitUntil("partition ended", 2*micro.Minute, sim.noActiveFaults)
						sim.sleep(20 * micro.Second)
					}
					if job.runningTasks() != 4 || job.startCount() != 4+test.wantRestarts {
						sim.t.Errorf("%d tasks running, %d starts", job.runningTasks(), job.startCount())
					}
					go job.cancel()
					sim.waitUntil(
						"waiting job done", micro.Minute,
						func() bool { return replyState(waiting.queryStatus(sim.randomUserNode())) == wire.JobDone },
					)
					sim.checkServing(sim.controllers)
				})
			})
		}
	}
}

// After a failover, the lease proxies of all zones got no answer until their next request: a zone that was partitioned
// within that second had no leases renewed and lost its tasks.
func TestZonePartitionedRightAfterAFailoverKeepsItsTasks(t *testing.T) {
	const partitionSpan = 43 * micro.Second // longer than a lease, within the renewal span of lease proxies
	const requestMargin = 100 * micro.Millisecond
	runSeeds(t, 4, 5, func(sim *simCluster) {
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 2, zone: "b"}).submit()
		sim.waitRunning(job, 4)
		sim.runServiceInBothZones()
		sim.failOverOutside("b", func() bool {
			return sim.now()%leasekeeper.RequestInterval > leasekeeper.RequestInterval-requestMargin
		})
		sim.sleep(2 * requestMargin) // lease proxies have sent the new leader one request
		sim.partitionZone("b", partitionSpan)
		sim.sleep(partitionSpan - micro.Second)
		if job.runningTasks() != 4 {
			sim.t.Errorf("%d of 4 tasks running: their leases were not renewed", job.runningTasks())
		}
		sim.waitUntil("partition ended", 2*micro.Minute, sim.noActiveFaults)
		sim.sleep(20 * micro.Second)
		if job.runningTasks() != 4 || job.startCount() != 4 {
			sim.t.Errorf("%d of 4 tasks running, %d starts", job.runningTasks(), job.startCount())
		}
	})
}

// failOverOutside replaces the leader until the term of one outside the zone begins at a time that wanted accepts.
func (w *simCluster) failOverOutside(zone string, wanted func() bool) {
	w.t.Helper()
	for range 200 {
		w.sleep(10*micro.Second + w.randomTime(0, micro.Second)) // lease proxies are answered by the leader
		w.replaceLeader(5 * micro.Second)
		if wanted() && w.leader().zone != zone {
			return
		}
	}
	w.t.Fatal("no failover began at an accepted time within 200 attempts")
}
