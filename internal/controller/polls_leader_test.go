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
	"notchmux.dev/notchmux/internal/micro"
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

// slowLeader is the leader as a node calls it: calls wait until they are let go.
type slowLeader struct {
	mu     sync.Mutex
	calls  []string // by name, with the number of jobs asked for
	let    chan struct{}
	old    bool // it does not know the call for several jobs
	states map[string]wire.JobState
}

// Call answers as a leader does.
func (s *slowLeader) Call(ctx context.Context, _, call string, body []byte, wait micro.Time) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Std())
	defer cancel()
	ids := []string{string(body)}
	if call == peer.Shows {
		ids = nil
		if err := wire.Unmarshal(body, &ids); err != nil {
			return 400, nil, nil
		}
	}
	s.mu.Lock()
	s.calls = append(s.calls, fmt.Sprint(call, " ", len(ids)))
	s.mu.Unlock()
	select {
	case <-s.let:
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
	case call == peer.Shows && s.old:
		return 404, nil, nil
	case call == peer.Shows:
		return 200, wire.MustMarshal(found), nil
	case len(found) == 1:
		return 200, wire.MustMarshal(found[0]), nil
	}
	return 503, nil, nil
}

// made lists the calls so far.
func (s *slowLeader) made() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// pollsWhileTheLeaderIsSlow sends polls for jobs 0 to n-1, one after another, while
// no call is answered, then lets all be answered.
func pollsWhileTheLeaderIsSlow(t *testing.T, lead *slowLeader, n int) (answers map[string]wire.JobState) {
	t.Helper()
	node := &Node{Cfg: &config.Config{}, Peers: lead, Now: func() micro.Time { return micro.Minute }}
	node.Cfg.Node = "n-1"
	node.election = &election.Election{}
	answers = map[string]wire.JobState{}
	var mu sync.Mutex
	var polls sync.WaitGroup
	for i := range n {
		id := fmt.Sprintf("j-%d", i)
		polls.Go(func() {
			r, ok := node.showByLeader("n-0", id)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				answers[id] = stateOf(r)
			}
		})
		synctest.Wait()
	}
	close(lead.let)
	polls.Wait()
	synctest.Wait()
	if node.leaderPolls.underWay != 0 || len(node.leaderPolls.waiting) != 0 {
		t.Errorf("%d calls under way and %d polls waiting at the end", node.leaderPolls.underWay, len(node.leaderPolls.waiting))
	}
	return answers
}

// Polls that came while calls were under way went out one by one, and the calls used
// up the leader's processor.
func TestPollsInAStormShareCallsToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 300
		lead := &slowLeader{let: make(chan struct{}), states: map[string]wire.JobState{}}
		for i := range jobs {
			if i%3 != 0 {
				lead.states[fmt.Sprintf("j-%d", i)] = []wire.JobState{wire.JobRunning, wire.JobDone}[i%2]
			}
		}
		answers := pollsWhileTheLeaderIsSlow(t, lead, jobs)
		if !maps.Equal(answers, lead.states) {
			t.Errorf("%d polls answered of the %d jobs that the leader knows, or with another's state", len(answers), len(lead.states))
		}
		want := 4 + (jobs-4+maxShown-1)/maxShown
		if got := lead.made(); len(got) != want {
			t.Errorf("%d calls for %d polls, want %d: %v", len(got), jobs, want, got)
		}
	})
}

// A leader of the version before does not know the call for several jobs: its users
// get their answers from the store until the next poll, then singly.
func TestLeaderWithoutTheCallForSeveralJobsIsAskedSingly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lead := &slowLeader{let: make(chan struct{}), old: true, states: map[string]wire.JobState{"j-0": wire.JobRunning}}
		node := &Node{Cfg: &config.Config{}, Peers: lead, Now: func() micro.Time { return micro.Minute }}
		node.election = &election.Election{}
		close(lead.let)
		if got := node.showMany("n-0", []*leaderPoll{{id: "j-0"}, {id: "j-1"}}); len(got) != 0 {
			t.Fatalf("%v", got)
		}
		node.leaderPolls.underWay = showsAtOnce
		if r, ok := node.showByLeader("n-0", "j-0"); !ok || stateOf(r) != wire.JobRunning {
			t.Errorf("%+v, %v", r, ok)
		}
	})
}
