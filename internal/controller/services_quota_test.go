package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Services of one team request more than its quota in total. If each is partially placed, they hold the quota that the
// others need, and none can be fully placed.

// Each service requests half of its team's quota.
const (
	quotaServiceReplicas = 2
	quotaServiceCPUs     = teamMaxCPUs / 4
	fullyPlacedAtLimit   = 2
)

// submitQuotaServices submits one service for each priority, in that order, 2 s apart.
func (w *simCluster) submitQuotaServices(spread bool, priorities ...wire.Priority) []*userJob {
	var services []*userJob
	for _, priority := range priorities {
		services = append(services, w.newJob(jobRequest{
			kind: wire.Service, tasks: quotaServiceReplicas, cpus: quotaServiceCPUs, spread: spread, priority: priority,
		}).submit())
		w.sleep(2 * micro.Second)
	}
	return services
}

// countFullyPlaced returns the number of services all of whose replicas run.
func countFullyPlaced(services []*userJob) int {
	fullyPlaced := 0
	for _, service := range services {
		if service.runningTasks() == quotaServiceReplicas {
			fullyPlaced++
		}
	}
	return fullyPlaced
}

// countStarts returns the number of replica starts that took effect.
func countStarts(services []*userJob) int {
	starts := 0
	for _, service := range services {
		starts += service.startCount()
	}
	return starts
}

// failBootsInZone makes machines in the zone fail to boot; "" lets all machines boot again.
func (w *simCluster) failBootsInZone(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cloud.failsBoot = func(request wire.InstanceRequest) bool { return request.Zone == zone }
}

// terminateZone terminates all machines in the zone and makes new ones fail to boot there.
func (w *simCluster) terminateZone(zone string) {
	w.failBootsInZone(zone)
	for _, machine := range w.liveMachines() {
		if machine.agent.Zone == zone {
			machine.terminate()
		}
	}
}

// submitPartiallyPlacedServices submits four spread services while no machine boots in zone b, and checks that two
// minutes later each has one of its two replicas. The service with the highest priority is the last one.
func (w *simCluster) submitPartiallyPlacedServices() []*userJob {
	w.t.Helper()
	w.failBootsInZone("b")
	services := w.submitQuotaServices(true, wire.Low, wire.Normal, wire.Normal, wire.Production)
	w.sleep(2 * micro.Minute)
	for _, service := range services {
		if running := service.runningTasks(); running != 1 {
			w.t.Fatalf("%s: %d replicas run, want 1 while no machine boots in zone b", service.id, running)
		}
	}
	return services
}

// expectFullyPlacedServices waits until as many services as the quota allows are fully placed, the urgent one among
// them, and checks for five minutes that they stay so and that no replica is started again.
func (w *simCluster) expectFullyPlacedServices(services []*userJob, urgent *userJob) {
	w.t.Helper()
	w.waitUntil("as many services as the quota allows are fully placed", servedWithin, func() bool {
		return urgent.runningTasks() == quotaServiceReplicas && countFullyPlaced(services) == fullyPlacedAtLimit
	})
	starts := countStarts(services)
	for end := w.now() + 5*micro.Minute; w.now() < end; w.sleep(micro.Second) {
		if fullyPlaced := countFullyPlaced(services); fullyPlaced != fullyPlacedAtLimit {
			w.t.Fatalf("%v: %d services are fully placed, want fullyPlacedAtLimit", w.now(), fullyPlaced)
		}
	}
	if now := countStarts(services); now != starts {
		w.t.Errorf("%d replicas were started after the services were fully placed", now-starts)
	}
}

// Spread services used up the quota with one replica each while no machine booted in one zone, and then blocked each
// other permanently, although the zone booted machines again.
func TestSpreadServicesAreFullyPlacedOnceTheirZoneBootsAgain(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		runScenario(t, seed, 3, nil, func(sim *simCluster) {
			services := sim.submitPartiallyPlacedServices()
			started := countStarts(services)
			sim.failBootsInZone("")
			sim.expectFullyPlacedServices(services, services[3])
			if starts := countStarts(services) - started; starts != fullyPlacedAtLimit {
				sim.t.Errorf("%d replicas were started, want one for each service that became fully placed", starts)
			}
		})
	}
}

// Fully placed services lost the machines of a zone, and the released quota went to other services, one replica each,
// so that none of them was fully placed again.
func TestServicesThatLoseTheirZoneAreFullyPlacedAgain(t *testing.T) {
	for seed := uint64(11); seed <= 14; seed++ {
		runScenario(t, seed, 3, nil, func(sim *simCluster) {
			services := sim.submitQuotaServices(true, wire.Low, wire.Normal)
			sim.waitUntil("the first two services are fully placed", 2*micro.Minute, func() bool {
				return countFullyPlaced(services) == 2
			})
			services = append(services, sim.submitQuotaServices(true, wire.Normal, wire.Production)...)
			sim.terminateZone("b")
			sim.sleep(2 * micro.Minute)
			if fullyPlaced := countFullyPlaced(services); fullyPlaced > 0 {
				sim.t.Fatalf("%d services are fully placed while no machine boots in zone b", fullyPlaced)
			}
			sim.failBootsInZone("")
			sim.expectFullyPlacedServices(services, services[3])
		})
	}
}

// A leader that takes over while partially placed services block each other knows only their replicas. Whatever
// the previous leader had started in favour of one of them, such as a quota transfer, was kept in its memory only.
func TestPartiallyPlacedServicesAreFullyPlacedAfterFailover(t *testing.T) {
	for _, after := range []micro.Time{0, 31, 36, 38, 40, 45} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			runScenario(t, 21, 3, nil, func(sim *simCluster) {
				services := sim.submitPartiallyPlacedServices()
				if after == 0 { // all controllers restart while the services block each other
					sim.restartAll(nil)
					sim.failBootsInZone("")
				} else {
					sim.failBootsInZone("")
					sim.sleep(after * micro.Second)
					sim.replaceLeader(5 * micro.Second)
				}
				sim.expectFullyPlacedServices(services, services[3])
			})
		})
	}
}

// Partially placed services at the leader are fully placed while some machines belong to a shard that the services
// cannot use.
func TestPartiallyPlacedServicesAreFullyPlacedBesideAShard(t *testing.T) {
	for seed := uint64(31); seed <= 32; seed++ {
		runScenario(t, seed, 3, func(sim *simCluster) {
			withLongerBoots(sim)
			sim.config.Shards = eastShard(spotOnly)
		}, func(sim *simCluster) {
			sim.waitShardOwned("n-2", 2*micro.Minute)
			services := sim.submitPartiallyPlacedServices()
			sim.failBootsInZone("")
			sim.expectFullyPlacedServices(services, services[3])
		})
	}
}

// A shard reserves the quota for all replicas of its services. When the leader reclaimed the services, the quota of
// their unplaced replicas went to other services.
func TestServicesReclaimedFromAShardAreFullyPlaced(t *testing.T) {
	for seed := uint64(41); seed <= 42; seed++ {
		runScenario(t, seed, 3, func(sim *simCluster) {
			withLongerBoots(sim)
			sim.config.Shards = eastShard(onDemand)
		}, func(sim *simCluster) {
			sim.waitShardOwned("n-2", 2*micro.Minute)
			services := sim.submitQuotaServices(true, wire.Low, wire.Normal, wire.Normal, wire.Production)
			sim.waitUntil("two services are fully placed in the shard", servedWithin, func() bool {
				return countFullyPlaced(services) == 2
			})
			sim.terminateZone("b")
			sim.dissolveShard()
			sim.sleep(2 * micro.Minute)
			if fullyPlaced := countFullyPlaced(services); fullyPlaced > 0 {
				sim.t.Fatalf("%d services are fully placed while no machine boots in zone b", fullyPlaced)
			}
			sim.failBootsInZone("")
			sim.expectFullyPlacedServices(services, services[3])
		})
	}
}
