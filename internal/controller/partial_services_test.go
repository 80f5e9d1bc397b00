package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// runPartialService runs a scenario with a service of two replicas that may use the machines of the leader and of a
// shard. The replicas run on spot machines, which one of these owners has; then spot machines stop booting, machines of
// the other owner boot only if otherOwnerHasMachines, and one replica loses its machine.
func runPartialService(
	t *testing.T, selector shard.Selector, otherOwnerHasMachines bool, scenario func(sim *simCluster, service *userJob),
) {
	t.Helper()
	for seed := uint64(95); seed < 98; seed++ {
		runScenario(t, seed, 3, func(sim *simCluster) {
			withLongerBoots(sim)
			sim.config.Shards = eastShard(selector)
		}, func(sim *simCluster) {
			sim.waitShardOwned("n-2", 2*micro.Minute)
			service := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4, spot: true}).submit()
			sim.waitRunning(service, 2)
			sim.mu.Lock()
			sim.cloud.failsBoot = func(request wire.InstanceRequest) bool { return request.Spot || !otherOwnerHasMachines }
			sim.mu.Unlock()
			sim.sleep(30 * micro.Second) // machines requested before have booted
			kept := service.machines()[0]
			if !kept.agent.Spot {
				sim.t.Fatalf("the first replica runs on %s, which is no spot machine", kept.agent.Name)
			}
			for _, machine := range sim.liveMachines() {
				if machine.agent.Spot && machine != kept {
					machine.terminate()
				}
			}
			scenario(sim, service)
		})
	}
}

// A partially placed service is served by the other owner if its own owner gets no more machines: otherwise one replica
// waits permanently although the other owner could provision a machine for it.
func TestServicePlacedInPartIsServedByTheOtherSide(t *testing.T) {
	for name, selector := range map[string]shard.Selector{"from the leader": onDemand, "from a shard": spotOnly} {
		t.Run(name, func(t *testing.T) {
			runPartialService(t, selector, true, func(sim *simCluster, service *userJob) {
				sim.waitUntil("only one replica runs", micro.Minute, func() bool { return service.runningTasks() == 1 })
				sim.waitServed(service, 2)
				sim.sleep(micro.Minute)
				if running := service.runningTasks(); running != 2 {
					sim.t.Errorf("%d replicas run after another minute, want 2", running)
				}
			})
		})
	}
}

// A partially placed service keeps its running replica if the other owner has no capacity for the service either: it is
// not released for a move to that owner.
func TestPartiallyPlacedServiceKeepsItsReplicasUnlessAllFitTheOtherOwner(t *testing.T) {
	for name, selector := range map[string]shard.Selector{"at the leader": onDemand, "in a shard": spotOnly} {
		t.Run(name, func(t *testing.T) {
			runPartialService(t, selector, false, func(sim *simCluster, service *userJob) {
				sim.waitUntil("only one replica runs", micro.Minute, func() bool { return service.runningTasks() == 1 })
				for end := sim.now() + 5*micro.Minute; sim.now() < end; sim.sleep(micro.Second) {
					if service.runningTasks() != 1 {
						sim.t.Fatalf("%v: %d replicas run, want 1", sim.now(), service.runningTasks())
					}
				}
			})
		})
	}
}
