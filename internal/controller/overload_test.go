package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/jobapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// With each tick, the look for what waits for a newer token took a quarter of the
// leader's processor at 4,000 machines.
func TestTokenChecksUseABoundedShareOfTheTime(t *testing.T) {
	fleet := newFleet(t, 4)
	looks, look := 0, 4*micro.Millisecond
	fleet.leader.node.Now = func() micro.Time { fleet.now += look; return fleet.now } // each reading of the clock: a look's worth
	for end := fleet.now + 60*micro.Second; fleet.now < end; fleet.now += 100 * micro.Millisecond {
		was := fleet.leader.dispatcher.NextTokenCheck()
		fleet.leader.tick(fleet.now)
		if fleet.leader.dispatcher.NextTokenCheck() != was {
			looks++
		}
	}
	if most := 60 * 1000 / (50 * 4); looks > most || looks < 60 {
		t.Errorf("%d looks of %v in a minute, %d at the most and one a second at the least", looks, look, most)
	}
}

// An overloaded leader answered each call too late, and was left alone after each: for
// 90 s users learnt nothing of hundreds of jobs.
func TestSlowLeaderGetsFewerCallsWithLongerTimeouts(t *testing.T) {
	runScenario(t, 6, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 1}).submit()
		sim.waitRunning(job, 1)
		slow := 700 * micro.Millisecond // more than a node waits for an answer, less than backoffCallTimeout
		sim.delayPeerAnswers(leader, slow)
		node := others[0].runningNode()
		batcher := jobapi.NewStatusBatcher(peerClient{node}, node.Now)
		batcher.BackOff()
		answered, polls := 0, 0
		for range 20 {
			for range 10 {
				polls++
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
		if answered < polls/2 {
			t.Errorf("%d of %d polls were answered by a leader that takes %v", answered, polls, slow)
		}
	})
}
