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

// Status queries for IDs that the leader does not know are answered without its control loop, which must be free to
// answer the agents' heartbeats.
func TestStatusQueriesForUnknownIDsBypassTheLeaderLoop(t *testing.T) {
	runScenario(t, 5, 3, nil, func(sim *simCluster) {
		leader, _ := sim.waitForRestoredLeader()
		currentLeader := leader.runningNode().activeLeader()
		release := make(chan struct{})
		currentLeader.post(func() { <-release }) // blocks the loop
		for i := range 500 {
			go leader.runningNode().handlePeerCall(sim.ctx, peer.Status, fmt.Appendf(nil, "j-%06d", i+1))
		}
		synctest.Wait()
		if waiting := currentLeader.loop.Len(eventloop.Queries); waiting > 0 {
			t.Errorf("%d status queries are queued for the control loop, want none", waiting)
		}
		close(release)
	})
}

// The leader answers status queries of users and peers for a job that ended before its term from memory, without
// reading the store.
func TestLeaderAnswersFromMemoryForJobsEndedBeforeItsTerm(t *testing.T) {
	env := newTestCluster(t)
	ended := map[string]wire.JobState{"j-000001": wire.JobDone, "j-000002": wire.JobAborted}
	var then []wire.Change
	for id, state := range ended {
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
		t, "the node leads and serves",
		func() bool { leader := node.activeLeader(); return leader != nil && leader.serving.Load() },
	)
	before := reads
	for id, state := range ended {
		status, out := node.handlePeerCall(context.Background(), peer.Status, []byte(id))
		var s wire.JobStatus
		if status != 200 || wire.Unmarshal(out, &s) != nil || s.State != state {
			t.Errorf("%s asked by a peer: wrong status %d, %+v", id, status, s)
		}
		if reply := node.Status(id); replyState(reply) != state {
			t.Errorf("%s asked by a user: wrong reply %+v", id, reply)
		}
		if state == wire.JobDone && s.Done != 3 {
			t.Errorf("%s: %d tasks done, want 3", id, s.Done)
		}
	}
	if reads > before {
		t.Errorf("%d range reads of the store, want none", reads-before)
	}
}
