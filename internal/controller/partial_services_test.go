package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// Services that may use machines of both sides, some of whose replicas run on one, where no more
// machines come up.

// runPartialService plays a scenario in which a service of two replicas runs on spot machines, which
// are on the shard's side or on the leader's. Spot machines boot no more, and others only if the
// other side has any; one replica loses its machine.
func runPartialService(
	t *testing.T, selector shard.Selector, otherSide bool, scenario func(sim *simCluster, service *userJob),
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
			sim.cloud.failsBoot = func(request wire.InstanceRequest) bool { return request.Spot || !otherSide }
			sim.mu.Unlock()
			sim.sleep(30 * micro.Second) // what was requested before is up
			kept := service.machines()[0]
			if !kept.agent.Spot {
				sim.t.Fatalf("%s is no spot machine", kept.agent.Name)
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

// One replica of a service waits on a side that gets no machines, for good, though the other side would.
func TestServicePlacedInPartIsServedByTheOtherSide(t *testing.T) {
	for name, selector := range map[string]shard.Selector{"from the leader": onDemand, "from a shard": spotOnly} {
		t.Run(name, func(t *testing.T) {
			runPartialService(t, selector, true, func(sim *simCluster, service *userJob) {
				sim.waitUntil("one replica runs", micro.Minute, func() bool { return service.runningTasks() == 1 })
				sim.waitServed(service, 2)
				sim.sleep(micro.Minute)
				if running := service.runningTasks(); running != 2 {
					sim.t.Errorf("%d replicas run a minute later", running)
				}
			})
		})
	}
}

// A service placed in part loses the replicas that it has for a side that has no capacity either.
func TestPartiallyPlacedServiceKeepsItsReplicasUnlessAllFitTheOtherOwner(t *testing.T) {
	for name, selector := range map[string]shard.Selector{"at the leader": onDemand, "in a shard": spotOnly} {
		t.Run(name, func(t *testing.T) {
			runPartialService(t, selector, false, func(sim *simCluster, service *userJob) {
				sim.waitUntil("one replica runs", micro.Minute, func() bool { return service.runningTasks() == 1 })
				for end := sim.now() + 5*micro.Minute; sim.now() < end; sim.sleep(micro.Second) {
					if service.runningTasks() != 1 {
						sim.t.Fatalf("%v: %d replicas run", sim.now(), service.runningTasks())
					}
				}
			})
		})
	}
}
