package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Status queries for ids that the leader does not know take no turn of its loop, which has
// the agents' reports to answer.
func TestStatusQueriesForUnknownIDsBypassTheLeaderLoop(t *testing.T) {
	runScenario(t, 5, 3, nil, func(sim *simCluster) {
		leader, _ := sim.waitForRestoredLeader()
		currentLeader := leader.runningNode().activeLeader()
		release := make(chan struct{})
		currentLeader.post(func() { <-release }) // no turn is over meanwhile
		for i := range 500 {
			go leader.runningNode().handlePeerCall(sim.ctx, peer.Status, fmt.Appendf(nil, "j-%06d", i+1))
		}
		synctest.Wait()
		if waiting := currentLeader.loop.Len(eventloop.Queries); waiting > 0 {
			t.Errorf("%d questions wait for the loop", waiting)
		}
		close(release)
	})
}

// A job that was over before the leader's term is answered from its memory, to
// users and to other nodes: no status query for it reads the store.
func TestLeaderAnswersFromMemoryForJobsEndedBeforeItsTerm(t *testing.T) {
	env := newTestCluster(t)
	over := map[string]wire.JobState{"j-000001": wire.JobDone, "j-000002": wire.JobAborted}
	var then []wire.Change
	for id, state := range over {
		then = append(
			then, wire.Change{Put: keys.JobSpec(id), Value: wire.Job{ID: id, Tasks: 3}},
			wire.Change{Put: keys.JobEnd(id), Value: map[string]any{"state": string(state)}},
		)
	}
	if _, err := env.store.Commit(context.Background(), store.Routine, wire.Transaction{Then: then}); err != nil {
		t.Fatal(err)
	}
	reads := 0
	node, stop := env.startNodeWith("n-0", func(node *Node) { node.Store = rangeCountingStore{env.store, &reads} })
	defer stop()
	waitUntil(
		t, "a leader that has taken over",
		func() bool { leader := node.activeLeader(); return leader != nil && leader.serving.Load() },
	)
	before := reads
	for id, state := range over {
		status, out := node.handlePeerCall(context.Background(), peer.Status, []byte(id))
		var s wire.JobStatus
		if status != 200 || wire.Unmarshal(out, &s) != nil || s.State != state {
			t.Errorf("%s to a peer: %d %+v", id, status, s)
		}
		if reply := node.Status(id); replyState(reply) != state {
			t.Errorf("%s to a user: %+v", id, reply)
		}
		if state == wire.JobDone && s.Done != 3 {
			t.Errorf("%s: %d tasks done", id, s.Done)
		}
	}
	if reads > before {
		t.Errorf("%d reads of the store", reads-before)
	}
}
