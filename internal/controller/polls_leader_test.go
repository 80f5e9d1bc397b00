package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Polls for ids that the leader does not know take no turn of its loop, which has
// the workers' reports to answer.
func TestPollsForUnknownIDsTakeNoTurnOfTheLeader(t *testing.T) {
	play(t, 5, 3, nil, func(w *simCluster) {
		l, _ := w.led()
		lead := l.current().leading()
		release := make(chan struct{})
		lead.post(func() { <-release }) // no turn is over meanwhile
		for i := range 500 {
			go l.current().peerCall(w.ctx, peer.Show, fmt.Appendf(nil, "j-%06d", i+1))
		}
		synctest.Wait()
		if waiting := len(lead.asks); waiting > 0 {
			t.Errorf("%d questions wait for the loop", waiting)
		}
		close(release)
	})
}

// A job that was over before the leader's term is answered from its memory, to
// users and to other nodes: no poll for it reads the store.
func TestLeaderAnswersForJobsThatWereOverBeforeItsTerm(t *testing.T) {
	b := newBed(t)
	over := map[string]wire.JobState{"j-000001": wire.JobDone, "j-000002": wire.JobAborted}
	var then []wire.Change
	for id, state := range over {
		then = append(then, wire.Change{Put: specKey(id), Value: wire.Job{ID: id, Tasks: 3}}, wire.Change{Put: endKey(id), Value: map[string]any{"state": string(state)}})
	}
	if _, err := b.store.Commit(context.Background(), store.Routine, wire.Txn{Then: then}); err != nil {
		t.Fatal(err)
	}
	reads := 0
	n, stop := b.nodeWith("n-0", func(n *Node) { n.Store = counted{b.store, &reads} })
	defer stop()
	wait(t, "a leader that has taken over", func() bool { l := n.leading(); return l != nil && l.serving.Load() })
	before := reads
	for id, state := range over {
		status, out := n.peerCall(context.Background(), peer.Show, []byte(id))
		var s wire.JobStatus
		if status != 200 || wire.Unmarshal(out, &s) != nil || s.State != state {
			t.Errorf("%s to a peer: %d %+v", id, status, s)
		}
		if r := n.Show(id); stateOf(r) != state {
			t.Errorf("%s to a user: %+v", id, r)
		}
		if state == wire.JobDone && s.Done != 3 {
			t.Errorf("%s: %d tasks done", id, s.Done)
		}
	}
	if reads > before {
		t.Errorf("%d reads of the store", reads-before)
	}
}
