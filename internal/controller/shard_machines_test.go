package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Machines that change hands with a shard.

// Idle machines of a shard die, its owner ends, and nobody ever gives them back.
//
// What happened: the next owner knows of machines by their heartbeats and by what its records hold,
// and by neither of these. For the leader they were up, as the owner before had said. They took up
// what the cloud had, and an offer none of whose machines boot was not left out beside machines
// that are up.
func TestMachinesThatDiedBeforeTheirShardChangedItsOwnerAreReturned(t *testing.T) {
	runScenario(t, 91, 3, func(sim *simCluster) {
		withShard(sim)
		sim.config.Shards.Declared[0].Selector = spotOnly
	}, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4, spot: true}).submit()
		sim.waitRunning(service, 2)
		dead := service.machines()
		service.cancel()
		sim.waitUntil("its machines are idle", micro.Minute, func() bool { return service.runningTasks() == 0 })
		sim.sleep(2 * micro.Second)
		for _, machine := range dead {
			if !machine.agent.Spot {
				sim.t.Fatalf("%s is no spot machine", machine.agent.Name)
			}
			machine.terminate()
		}
		sim.restartController(sim.controllerNamed("n-2"), 20*micro.Second)
		for _, machine := range dead {
			sim.waitUntil(
				machine.agent.Name+" is returned", servedWithin, func() bool { return !sim.requestStored(machine) },
			)
		}
	})
}
