package controller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Polls for ids that the leader does not know take no turn of its loop, which has
// the workers' reports to answer.
func TestStatusQueriesForUnknownIDsTakeNoTurnOfTheLeader(t *testing.T) {
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
// users and to other nodes: no poll for it reads the store.
func TestLeaderAnswersForJobsThatWereOverBeforeItsTerm(t *testing.T) {
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

// slowLeader is the leader as a node calls it: calls wait until they are let go.
type slowLeader struct {
	mu      sync.Mutex
	calls   []string // by name, with the number of jobs asked for
	release chan struct{}
	legacy  bool // it does not know the call for several jobs
	states  map[string]wire.JobState
}

// Call answers as a leader does.
func (s *slowLeader) Call(ctx context.Context, _, call string, body []byte, wait micro.Time) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	ids := []string{string(body)}
	if call == peer.StatusBatch {
		ids = nil
		if err := wire.Unmarshal(body, &ids); err != nil {
			return 400, nil, nil
		}
	}
	s.mu.Lock()
	s.calls = append(s.calls, fmt.Sprint(call, " ", len(ids)))
	s.mu.Unlock()
	select {
	case <-s.release:
	case <-ctx.Done():
		return 0, nil, peer.ErrUnreachable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []wire.JobStatus
	for _, id := range ids {
		if state, ok := s.states[id]; ok {
			found = append(found, wire.JobStatus{ID: id, State: state})
		}
	}
	switch {
	case call == peer.StatusBatch && s.legacy:
		return 404, nil, nil
	case call == peer.StatusBatch:
		return 200, wire.MustMarshal(found), nil
	case len(found) == 1:
		return 200, wire.MustMarshal(found[0]), nil
	}
	return 503, nil, nil
}

// callsMade lists the calls so far.
func (s *slowLeader) callsMade() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// queryWhileLeaderIsSlow sends polls for jobs 0 to n-1, one after another, while
// no call is answered, then lets all be answered.
func queryWhileLeaderIsSlow(t *testing.T, leader *slowLeader, n int) (answers map[string]wire.JobState) {
	t.Helper()
	node := &Node{Cfg: &config.Config{}, Peers: leader, Now: func() micro.Time { return micro.Minute }}
	node.Cfg.Node = "n-1"
	node.election = &election.Election{}
	answers = map[string]wire.JobState{}
	var mu sync.Mutex
	var polls sync.WaitGroup
	for i := range n {
		id := fmt.Sprintf("j-%d", i)
		polls.Go(func() {
			reply, ok := node.queryLeader("n-0", id)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				answers[id] = replyState(reply)
			}
		})
		synctest.Wait()
	}
	close(leader.release)
	polls.Wait()
	synctest.Wait()
	if node.statusBatcher.callsInFlight != 0 || len(node.statusBatcher.pending) != 0 {
		t.Errorf(
			"%d calls under way and %d polls waiting at the end", node.statusBatcher.callsInFlight,
			len(node.statusBatcher.pending),
		)
	}
	return answers
}

// Polls that came while calls were under way went out one by one, and the calls used
// up the leader's processor.
func TestStatusQueriesInAStormShareCallsToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 300
		leader := &slowLeader{release: make(chan struct{}), states: map[string]wire.JobState{}}
		for i := range jobs {
			if i%3 != 0 {
				leader.states[fmt.Sprintf("j-%d", i)] = []wire.JobState{wire.JobRunning, wire.JobDone}[i%2]
			}
		}
		answers := queryWhileLeaderIsSlow(t, leader, jobs)
		if !maps.Equal(answers, leader.states) {
			t.Errorf(
				"%d polls answered of the %d jobs that the leader knows, or with another's state", len(answers), len(leader.states),
			)
		}
		want := 4 + (jobs-4+maxStatusesPerCall-1)/maxStatusesPerCall
		if got := leader.callsMade(); len(got) != want {
			t.Errorf("%d calls for %d polls, want %d: %v", len(got), jobs, want, got)
		}
	})
}

// A leader of the version before does not know the call for several jobs: its users
// get their answers from the store until the next poll, then singly.
func TestLeaderWithoutTheBatchCallIsQueriedSingly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := &slowLeader{
			release: make(chan struct{}), legacy: true, states: map[string]wire.JobState{"j-0": wire.JobRunning},
		}
		node := &Node{Cfg: &config.Config{}, Peers: leader, Now: func() micro.Time { return micro.Minute }}
		node.election = &election.Election{}
		close(leader.release)
		if got := node.queryLeaderForMany("n-0", []*statusQuery{{id: "j-0"}, {id: "j-1"}}); len(got) != 0 {
			t.Fatalf("%v", got)
		}
		node.statusBatcher.callsInFlight = maxStatusCalls
		if r, ok := node.queryLeader("n-0", "j-0"); !ok || replyState(r) != wire.JobRunning {
			t.Errorf("%+v, %v", r, ok)
		}
	})
}
