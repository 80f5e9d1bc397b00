package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

// A service stays without replicas after the machines for which it was stopped are gone before it came.
func TestServiceIsServedThoughTheMachinesKeptForItDie(t *testing.T) {
	runMovedService(t, func(sim *simCluster, service *userJob) {
		for _, machine := range sim.liveMachines() {
			if !machine.agent.Spot {
				machine.terminate()
			}
		}
		sim.waitServed(service, 2)
	})
}

// The leader and the owner end one after the other while a service is moved, and it is served by neither.
func TestServiceIsServedThoughLeaderAndOwnerEndWhileItIsMoved(t *testing.T) {
	runMovedService(t, func(sim *simCluster, service *userJob) {
		for range 3 {
			sim.waitUntil("one leads", micro.Minute, func() bool { return sim.leader() != nil })
			sim.restartController(sim.leader(), 40*micro.Second)
			sim.sleep(3 * micro.Second)
			sim.restartController(sim.controllers[2], 40*micro.Second)
		}
		sim.waitServed(service, 2)
	})
}
