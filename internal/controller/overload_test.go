package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/jobapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Checking on every tick for machines that wait for a newer fencing token took a quarter of the leader's CPU time at
// 4,000 machines.
func TestTokenChecksUseABoundedShareOfTheTime(t *testing.T) {
	fleet := newFleet(t, 4)
	checks, checkCost := 0, 4*micro.Millisecond
	// Each clock reading takes as long as a check.
	fleet.leader.node.Now = func() micro.Time { fleet.now += checkCost; return fleet.now }
	for end := fleet.now + 60*micro.Second; fleet.now < end; fleet.now += 100 * micro.Millisecond {
		was := fleet.leader.dispatcher.NextTokenCheck()
		fleet.leader.tick(fleet.now)
		if fleet.leader.dispatcher.NextTokenCheck() != was {
			checks++
		}
	}
	if most := 60 * 1000 / (50 * 4); checks > most || checks < 60 {
		t.Errorf("%d checks of %v in a minute, want at most %d and at least one a second", checks, checkCost, most)
	}
}

// An overloaded leader answered each call too late, and after each its peers sent it no calls for a while: for 90 s,
// users got no status of hundreds of jobs.
func TestSlowLeaderGetsFewerCallsWithLongerTimeouts(t *testing.T) {
	runScenario(t, 6, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 1}).submit()
		sim.waitRunning(job, 1)
		delay := 700 * micro.Millisecond // longer than the usual call timeout, shorter than backoffCallTimeout
		sim.delayPeerAnswers(leader, delay)
		node := others[0].runningNode()
		batcher := jobapi.NewStatusBatcher(peerClient{node}, node.Now)
		batcher.BackOff()
		answered, queries := 0, 0
		for range 20 {
			for range 10 {
				queries++
				go func() {
					if reply, ok := batcher.Query(leader.name, job.id); ok && reply.Status == 200 {
						sim.mu.Lock()
						answered++
						sim.mu.Unlock()
					}
				}()
			}
			sim.sleep(micro.Second)
		}
		sim.sleep(micro.Second)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if answered < queries/2 {
			t.Errorf(
				"%d of %d status queries were answered by a leader that takes %v, want at least half", answered, queries, delay,
			)
		}
	})
}
