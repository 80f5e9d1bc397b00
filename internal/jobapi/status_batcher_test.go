package jobapi

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// replyState is the state that an answer gives; "" if it gives none.
func replyState(reply httpapi.Reply) wire.JobState {
	status, ok := reply.Body.(wire.JobStatus)
	if ok && (reply.Status == http.StatusOK || reply.Status == http.StatusCreated) {
		return status.State
	}
	return ""
}

// slowLeader is the leader as a node calls it: calls wait until they are let go.
type slowLeader struct {
	mu      sync.Mutex
	calls   []string // by name, with the number of jobs asked for
	unblock chan struct{}
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
	case <-s.unblock:
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

// CallRegardless answers as Call does.
func (s *slowLeader) CallRegardless(
	ctx context.Context, node, call string, body []byte, wait micro.Time,
) (int, []byte, error) {
	return s.Call(ctx, node, call, body, wait)
}

// Retry answers as Call does.
func (s *slowLeader) Retry(
	ctx context.Context, node, call string, body []byte, wait micro.Time,
) (int, []byte, error) {
	return s.Call(ctx, node, call, body, wait)
}

// LeaderFirst lists the leader alone.
func (s *slowLeader) LeaderFirst() []string { return []string{"n-0"} }

// callsMade lists the calls so far.
func (s *slowLeader) callsMade() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// queryWhileLeaderIsSlow sends status queries for jobs 0 to n-1, one after another, while
// no call is answered, then lets all be answered.
func queryWhileLeaderIsSlow(t *testing.T, leader *slowLeader, n int) (answers map[string]wire.JobState) {
	t.Helper()
	batcher := NewStatusBatcher(leader, func() micro.Time { return micro.Minute })
	answers = map[string]wire.JobState{}
	var mu sync.Mutex
	var polls sync.WaitGroup
	for i := range n {
		id := fmt.Sprintf("j-%d", i)
		polls.Go(func() {
			reply, ok := batcher.Query("n-0", id)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				answers[id] = replyState(reply)
			}
		})
		synctest.Wait()
	}
	close(leader.unblock)
	polls.Wait()
	synctest.Wait()
	if batcher.callsInFlight != 0 || len(batcher.pending) != 0 {
		t.Errorf("%d calls under way and %d polls waiting at the end", batcher.callsInFlight, len(batcher.pending))
	}
	return answers
}

// Status queries that came while calls were under way went out one by one, and the calls used
// up the leader's processor.
func TestConcurrentStatusQueriesShareCallsToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 300
		leader := &slowLeader{unblock: make(chan struct{}), states: map[string]wire.JobState{}}
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
func TestLeaderWithoutBatchCallIsQueriedSingly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := &slowLeader{
			unblock: make(chan struct{}), legacy: true, states: map[string]wire.JobState{"j-0": wire.JobRunning},
		}
		batcher := NewStatusBatcher(leader, func() micro.Time { return micro.Minute })
		close(leader.unblock)
		if got := batcher.queryMany("n-0", []*statusQuery{{id: "j-0"}, {id: "j-1"}}); len(got) != 0 {
			t.Fatalf("%v", got)
		}
		batcher.callsInFlight = maxStatusCalls
		if r, ok := batcher.Query("n-0", "j-0"); !ok || replyState(r) != wire.JobRunning {
			t.Errorf("%+v, %v", r, ok)
		}
	})
}
