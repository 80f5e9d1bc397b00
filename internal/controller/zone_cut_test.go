package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/detector"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// ensureLeaderOutside brings about a leader outside a zone.
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

// controllersOutside lists the nodes of other zones.
func (w *simCluster) controllersOutside(zone string) []*controllerProcess {
	var out []*controllerProcess
	for _, controller := range w.controllers {
		if controller.zone != zone {
			out = append(out, controller)
		}
	}
	return out
}

// fillOneZone submits a service that may run anywhere, a machine a task, and waits
// until it runs in one zone, which it names.
func (w *simCluster) fillOneZone(tasks int) (*userJob, string) {
	w.t.Helper()
	job := w.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4}).submit()
	w.waitRunning(job, tasks)
	zone := job.machines()[0].agent.Zone
	for _, machine := range job.machines() {
		if machine.agent.Zone != zone {
			w.t.Fatal("its tasks are in two zones")
		}
	}
	return job, zone
}

// fillBothZones holds a machine in either zone, so that in a cut the leader outside
// still hears one.
func (w *simCluster) fillBothZones() {
	w.t.Helper()
	for _, z := range []string{"a", "b"} {
		w.waitRunning(w.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: z, team: "other"}).submit(), 1)
	}
}

// runningOutside is how many tasks of the job run outside a zone.
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

// renewalBound is until when after the beginning of a cut tasks inside may run on: a
// leader inside loses its right, the lease proxies' span begins with that, and the lease
// that they renewed last runs out.
func (w *simCluster) renewalBound() micro.Time {
	cfg := w.controllers[0].runningNode().Cfg
	return cfg.LeaderLease + cfg.LeaseProxyDuration() + leaseS*micro.Second
}

// rescheduleBound is how long after that the tasks run elsewhere at the latest:
// the leader adds capacity for drift, and rents machines, whose agents try all nodes,
// those out of reach included.
func (w *simCluster) rescheduleBound() micro.Time {
	const rentAndBoot = 12 * micro.Second
	return rentAndBoot + w.controllers[0].runningNode().Cfg.RegistrationWindow()
}

// Fault: a zone with controllers is cut off for longer than its lease proxies may renew
// leases. Its tasks, killed there with their leases, run again elsewhere, none
// twice, and once the cut is over the zone serves again.
func TestZonePartitionedBeyondTheRenewalSpan(t *testing.T) {
	for _, outside := range []bool{true, false} {
		t.Run(fmt.Sprint("machines outside ", outside), func(t *testing.T) {
			runSeeds(t, 4, 5, func(sim *simCluster) { runZoneCutBeyondRenewalSpan(sim, outside) })
		})
	}
}

func runZoneCutBeyondRenewalSpan(sim *simCluster, outside bool) {
	job, zone := sim.fillOneZone(4)
	most := sim.renewalBound() + sim.rescheduleBound()
	if outside {
		sim.fillBothZones()
	} else {
		// No leader outside hears an agent: each hands over in vain before one stays,
		// and counts what lease proxies may have renewed from its failover.
		most += micro.Time(len(sim.controllersOutside(zone))*detector.MaxLeadershipHandovers) * sim.handoverBound()
	}
	sim.sleep(5 * micro.Second)
	from := sim.now()
	sim.partitionZone(zone, most+90*micro.Second)
	sim.sleep(sim.controllers[0].runningNode().Cfg.LeaseProxyDuration())
	if job.runningTasks() != 4 || job.startCount() != 4 {
		sim.t.Errorf("within the keepers' span %d tasks run, %d starts", job.runningTasks(), job.startCount())
	}
	sim.waitUntil(
		"killed in the zone", from+sim.renewalBound()+2*micro.Second-sim.now(),
		func() bool { return job.runningTasks() == job.runningOutside(zone) },
	)
	sim.waitUntil("placed again elsewhere", from+most-sim.now(), func() bool { return job.runningOutside(zone) == 4 })
	sim.t.Logf("placed again %.1f s after the cut began", (sim.now() - from).Seconds())
	sim.checkServing(sim.controllersOutside(zone))
	if sim.noActiveFaults() {
		sim.t.Fatal("the cut was to last on")
	}
	sim.waitUntil("the cut is over", 5*micro.Minute, sim.noActiveFaults)
	back := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, zone: zone, team: "other"}).submit()
	sim.waitUntil("the zone serves again", 30*micro.Second, func() bool { return back.runningTasks() == 1 })
	sim.checkServing(sim.controllers)
	if job.runningTasks() != 4 || job.startCount() != 8 {
		sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
	}
}

// Fault: the leader outside a zone that is cut off ends during the cut. The next
// one, outside too, does not know when the lease proxies inside were last answered, and
// counts what they may have renewed from its failover: for short cuts the tasks run
// on, for long ones they run again elsewhere, none twice.
func TestLeaderEndsWhileProxiesRenewInAPartitionedZone(t *testing.T) {
	for _, test := range []struct {
		name  string
		lasts micro.Time
		again int // how many tasks start once more
	}{{"cut within the keepers' span", 43 * micro.Second, 0}, {"cut beyond it", 160 * micro.Second, 4}} {
		for _, after := range []micro.Time{6 * micro.Second, 20 * micro.Second} {
			t.Run(fmt.Sprintf("%s, leader ends after %v s", test.name, after.Seconds()), func(t *testing.T) {
				runSeeds(t, 3, 5, func(sim *simCluster) {
					job, zone := sim.fillOneZone(4) // all that the team may have
					sim.fillBothZones()
					was := sim.ensureLeaderOutside(zone)
					sim.sleep(10 * micro.Second) // lease proxies are in touch with it
					from := sim.now()
					sim.partitionZone(zone, test.lasts)
					sim.sleep(after)
					sim.replaceLeader(5 * micro.Second)
					next := sim.leader()
					if next.zone == zone || next == was {
						sim.t.Fatal("another node outside should lead")
					}
					took := sim.now()
					// It competes for the team's capacity, which is not free.
					waiting := sim.submitThrough(
						sim.otherControllers(), micro.Minute,
						jobRequest{kind: wire.JobArray, tasks: 1, cpus: 4, runTime: 2 * micro.Second},
					)
					if test.again == 0 {
						sim.waitUntil("the cut is over", 2*micro.Minute, sim.noActiveFaults)
						sim.sleep(20 * micro.Second)
					} else {
						most := sim.controllers[0].runningNode().Cfg.LeaseProxyDuration() + leaseS*micro.Second + sim.rescheduleBound()
						sim.waitUntil(
							"placed again elsewhere", took+most-sim.now(),
							func() bool { return job.runningOutside(zone)+waiting.runningTasks() == 4 },
						)
						sim.t.Logf("placed again %.1f s after the cut began", (sim.now() - from).Seconds())
						sim.waitUntil("the cut is over", 2*micro.Minute, sim.noActiveFaults)
						sim.sleep(20 * micro.Second)
					}
					if job.runningTasks() != 4 || job.startCount() != 4+test.again {
						sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
					}
					go job.cancel()
					sim.waitUntil(
						"the job that waited is done", micro.Minute,
						func() bool { return replyState(waiting.queryStatus(sim.randomUserNode())) == wire.JobDone },
					)
					sim.checkServing(sim.controllers)
				})
			})
		}
	}
}

// Each failover fenced the lease proxies of all zones until their next request: a zone that was
// cut off within that second had no leases renewed, and lost its tasks.
func TestZonePartitionedRightAfterAFailoverKeepsItsTasks(t *testing.T) {
	const cut = 43 * micro.Second // longer than a lease, and within what lease proxies renew
	const firstMoments = 100 * micro.Millisecond
	runSeeds(t, 4, 5, func(sim *simCluster) {
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 2, zone: "b"}).submit()
		sim.waitRunning(job, 4)
		sim.fillBothZones()
		sim.failOverOutside("b", func() bool { return sim.now()%leasekeeper.RequestInterval > leasekeeper.RequestInterval-firstMoments })
		sim.sleep(2 * firstMoments) // lease proxies have asked the new leader once
		sim.partitionZone("b", cut)
		sim.sleep(cut - micro.Second)
		if job.runningTasks() != 4 {
			sim.t.Errorf("%d of 4 tasks run: their leases were not renewed", job.runningTasks())
		}
		sim.waitUntil("the cut is over", 2*micro.Minute, sim.noActiveFaults)
		sim.sleep(20 * micro.Second)
		if job.runningTasks() != 4 || job.startCount() != 4 {
			sim.t.Errorf("%d of 4 tasks run, %d starts", job.runningTasks(), job.startCount())
		}
	})
}

// failOverOutside replaces the leader until one outside a zone begins its term at a wanted time.
func (w *simCluster) failOverOutside(zone string, wanted func() bool) {
	w.t.Helper()
	for range 200 {
		w.sleep(10*micro.Second + w.randomTime(0, micro.Second)) // lease proxies are in touch with the leader
		w.replaceLeader(5 * micro.Second)
		if wanted() && w.leader().zone != zone {
			return
		}
	}
	w.t.Fatal("no failover at the wanted time")
}
