package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

// Machines lose all responses for longer than a lease, and the leader changes meanwhile: their heartbeats arrive, but
// neither responses nor dispatched commands reach them. Their tasks, killed when the leases expire, must restart
// elsewhere, none twice.
func TestTasksOfMachinesLosingResponsesBeyondALeaseRestartOnce(t *testing.T) {
	const (
		lossSpan = 140 * micro.Second
		// A lease, and the time for detection and for instance requests.
		restartWithin = 60 * micro.Second
		// Each agent sends its heartbeats to one node after the other, since none seems to answer. If all
		// machines lose responses, no node receives enough heartbeats, and each hands over before it can
		// prove the leases expired.
		allAffectedWithin = 2 * micro.Minute
	)
	for _, affected := range []int{1, 2, 3, 4} {
		for _, after := range []micro.Time{5 * micro.Second, 25 * micro.Second, 33 * micro.Second} {
			t.Run(fmt.Sprintf("%d of 4 machines, leader stops after %v s", affected, after.Seconds()), func(t *testing.T) {
				runSeeds(t, 2, 3, func(sim *simCluster) {
					job := sim.runServiceInZone("a", 4)
					machines := job.machines()[:affected]
					within := restartWithin
					if affected == 4 {
						within = allAffectedWithin
					}
					lossStart := sim.now()
					for _, machine := range machines {
						machine.loseResponses(lossSpan)
					}
					sim.sleep(after)
					sim.waitForRestoredLeader()
					sim.replaceLeader(5 * micro.Second)
					sim.waitUntil("tasks killed as their leases expired", lossStart+34*micro.Second-sim.now(), func() bool {
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
					sim.waitUntil(
						"tasks running elsewhere", lossStart+within-sim.now(), func() bool { return job.runningTasks() == 4 },
					)
					sim.t.Logf("tasks restarted %.1f s after the machines began to lose responses", (sim.now() - lossStart).Seconds())
					if !machines[0].responsesLost() {
						sim.t.Fatal("the machines receive responses again")
					}
					sim.sleep(lossStart + lossSpan + 30*micro.Second - sim.now())
					if job.runningTasks() != 4 || job.startCount() != 4+affected {
						sim.t.Errorf("%d tasks running, %d starts", job.runningTasks(), job.startCount())
					}
					sim.checkServing(sim.controllers)
				})
			})
		}
	}
}
