package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Services of one team that want more than its limit, and that hold it for each other: each is
// placed in part, and none can become whole.

// Each service wants half of its team's limit.
const (
	quotaServiceReplicas = 2
	quotaServiceCPUs     = teamMaxCPUs / 4
	fullyPlacedAtLimit = 2
)

// submitQuotaServices submits a service for each priority, in that order.
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

// countFullyPlaced counts the services all of whose replicas run.
func countFullyPlaced(services []*userJob) int {
	whole := 0
	for _, service := range services {
		if service.runningTasks() == quotaServiceReplicas {
			whole++
		}
	}
	return whole
}

// countStarts counts the starts of replicas that took effect.
func countStarts(services []*userJob) int {
	starts := 0
	for _, service := range services {
		starts += service.startCount()
	}
	return starts
}

// failBootsInZone keeps machines of a zone from coming up; "": all do.
func (w *simCluster) failBootsInZone(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cloud.failsBoot = func(request wire.InstanceRequest) bool { return request.Zone == zone }
}

// terminateZone ends all machines of a zone, and keeps others from coming up there.
func (w *simCluster) terminateZone(zone string) {
	w.failBootsInZone(zone)
	for _, machine := range w.liveMachines() {
		if machine.agent.Zone == zone {
			machine.terminate()
		}
	}
}

// submitPartiallyPlacedServices submits four spread services while one of the zones boots nothing, until each
// has one of its two replicas. The most urgent comes last.
func (w *simCluster) submitPartiallyPlacedServices() []*userJob {
	w.t.Helper()
	w.failBootsInZone("b")
	services := w.submitQuotaServices(true, wire.Low, wire.Normal, wire.Normal, wire.Production)
	w.sleep(2 * micro.Minute)
	for _, service := range services {
		if running := service.runningTasks(); running != 1 {
			w.t.Fatalf("%s: %d replicas run, want 1 while zone b boots nothing", service.id, running)
		}
	}
	return services
}

// expectFullyPlacedServices expects as many whole services as the limit has capacity for, the urgent one
// among them, and that no replica moves any more after that.
func (w *simCluster) expectFullyPlacedServices(services []*userJob, urgent *userJob) {
	w.t.Helper()
	w.waitUntil("as many services as the quota allows are whole", servedWithin, func() bool {
		return urgent.runningTasks() == quotaServiceReplicas && countFullyPlaced(services) == fullyPlacedAtLimit
	})
	starts := countStarts(services)
	for end := w.now() + 5*micro.Minute; w.now() < end; w.sleep(micro.Second) {
		if whole := countFullyPlaced(services); whole != fullyPlacedAtLimit {
			w.t.Fatalf("%v: %d services are whole", w.now(), whole)
		}
	}
	if now := countStarts(services); now != starts {
		w.t.Errorf("%d replicas started after the services were whole", now-starts)
	}
}

// Spread services took the whole limit with one replica each while a zone booted nothing, and kept
// it from each other for good after that.
func TestSpreadServicesAreFullyPlacedOnceTheirZoneBootsAgain(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		runScenario(t, seed, 3, nil, func(sim *simCluster) {
			services := sim.submitPartiallyPlacedServices()
			started := countStarts(services)
			sim.failBootsInZone("")
			sim.expectFullyPlacedServices(services, services[3])
			if starts := countStarts(services) - started; starts != fullyPlacedAtLimit {
				sim.t.Errorf("%d replicas started, want one for each service that became whole", starts)
			}
		})
	}
}

// Services that were whole lost a zone's machines, and what came free went to others, one replica each.
func TestServicesThatLoseTheirZoneAreFullyPlacedAgain(t *testing.T) {
	for seed := uint64(11); seed <= 14; seed++ {
		runScenario(t, seed, 3, nil, func(sim *simCluster) {
			services := sim.submitQuotaServices(true, wire.Low, wire.Normal)
			sim.waitUntil("the first two are whole", 2*micro.Minute, func() bool { return countFullyPlaced(services) == 2 })
			services = append(services, sim.submitQuotaServices(true, wire.Normal, wire.Production)...)
			sim.terminateZone("b")
			sim.sleep(2 * micro.Minute)
			if whole := countFullyPlaced(services); whole > 0 {
				sim.t.Fatalf("%d services are whole while zone b boots nothing", whole)
			}
			sim.failBootsInZone("")
			sim.expectFullyPlacedServices(services, services[3])
		})
	}
}

// A leader that comes while services hold the limit for each other knows of their replicas alone. All
// that was begun for one of them was in the memory of the leader before.
func TestPartiallyPlacedServicesAreFullyPlacedAfterFailover(t *testing.T) {
	for _, after := range []micro.Time{0, 31, 36, 38, 40, 45} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			runScenario(t, 21, 3, nil, func(sim *simCluster) {
				services := sim.submitPartiallyPlacedServices()
				if after == 0 { // all processes start anew on a team that is stuck
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

// The same at a leader some of whose machines are in a shard that the services may not use.
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

// A shard keeps the quota for all replicas of its services. Back at the leader, what they had not
// placed went to others.
func TestServicesReclaimedFromAShardAreFullyPlaced(t *testing.T) {
	for seed := uint64(41); seed <= 42; seed++ {
		runScenario(t, seed, 3, func(sim *simCluster) {
			withLongerBoots(sim)
			sim.config.Shards = eastShard(onDemand)
		}, func(sim *simCluster) {
			sim.waitShardOwned("n-2", 2*micro.Minute)
			services := sim.submitQuotaServices(true, wire.Low, wire.Normal, wire.Normal, wire.Production)
			sim.waitUntil("two are whole in the shard", servedWithin, func() bool { return countFullyPlaced(services) == 2 })
			sim.terminateZone("b")
			sim.dissolveShard()
			sim.sleep(2 * micro.Minute)
			if whole := countFullyPlaced(services); whole > 0 {
				sim.t.Fatalf("%d services are whole while zone b boots nothing", whole)
			}
			sim.failBootsInZone("")
			sim.expectFullyPlacedServices(services, services[3])
		})
	}
}
