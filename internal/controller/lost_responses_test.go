package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

// Fault: machines are deaf for longer than a lease, and the leader changes
// meanwhile: their heartbeats arrive, answers and dispatched commands don't. Their tasks,
// killed with their leases, run again elsewhere, none twice.
func TestTasksOfMachinesLosingResponsesBeyondALeaseRestartOnce(t *testing.T) {
	const (
		deafFor = 140 * micro.Second
		// A lease, and what detection and instance requests take.
		againWithin = 60 * micro.Second
		// Each agent's reports come to one node after the other, since none seems to
		// answer. Where all machines are deaf no node hears enough of them, and each
		// hands over before it finds their leases run out.
		allDeafWithin = 2 * micro.Minute
	)
	for _, deaf := range []int{1, 2, 3, 4} {
		for _, after := range []micro.Time{5 * micro.Second, 25 * micro.Second, 33 * micro.Second} {
			t.Run(fmt.Sprintf("%d of 4 deaf, leader ends after %v s", deaf, after.Seconds()), func(t *testing.T) {
				runSeeds(t, 2, 3, func(sim *simCluster) {
					job := sim.runServiceInZone("a", 4)
					machines := job.machines()[:deaf]
					within := againWithin
					if deaf == 4 {
						within = allDeafWithin
					}
					from := sim.now()
					for _, machine := range machines {
						machine.loseResponses(deafFor)
					}
					sim.sleep(after)
					sim.waitForRestoredLeader()
					sim.replaceLeader(5 * micro.Second)
					sim.waitUntil("killed with their leases", from+34*micro.Second-sim.now(), func() bool {
						for _, machine := range machines {
							machine.mu.Lock()
							n := len(machine.agent.Tasks)
							machine.mu.Unlock()
							if n > 0 {
								return false
							}
						}
						return true
					})
					sim.waitUntil("run elsewhere", from+within-sim.now(), func() bool { return job.runningTasks() == 4 })
					sim.t.Logf("run again %.1f s after the machines became deaf", (sim.now() - from).Seconds())
					if !machines[0].responsesLost() {
						sim.t.Fatal("they hear again")
					}
					sim.sleep(from + deafFor + 30*micro.Second - sim.now())
					if job.runningTasks() != 4 || job.startCount() != 4+deaf {
						sim.t.Errorf("%d of its tasks run, %d starts", job.runningTasks(), job.startCount())
					}
					sim.checkServing(sim.controllers)
				})
			})
		}
	}
}
