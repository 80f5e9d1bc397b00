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

// replyState returns the job state in a reply, or "" if there is none.
func replyState(reply httpapi.Reply) wire.JobState {
	status, ok := reply.Body.(wire.JobStatus)
	if ok && (reply.Status == http.StatusOK || reply.Status == http.StatusCreated) {
		return status.State
	}
	return ""
}

// slowLeader implements Peers for a node whose leader responds to no call until unblock is closed.
type slowLeader struct {
	mu      sync.Mutex
	calls   []string // name and number of jobs of each call
	unblock chan struct{}
	legacy  bool // the leader does not support the batch call
	states  map[string]wire.JobState
}

// Call responds as a leader does, once unblock is closed.
func (s *slowLeader) Call(ctx context.Context, _, call string, body []byte, timeout micro.Time) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
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

// CallRegardless is the same as Call.
func (s *slowLeader) CallRegardless(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	return s.Call(ctx, node, call, body, timeout)
}

// Retry is the same as Call.
func (s *slowLeader) Retry(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	return s.Call(ctx, node, call, body, timeout)
}

// LeaderFirst returns the leader as the only node.
func (s *slowLeader) LeaderFirst() []string { return []string{"n-0"} }

// callsMade returns the calls so far.
func (s *slowLeader) callsMade() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// queryWhileLeaderIsSlow sends status queries for jobs 0 to n-1 one after another while the leader responds to no
// call, then lets it respond to all. It returns the state of each job that was answered.
func queryWhileLeaderIsSlow(t *testing.T, leader *slowLeader, n int) (answers map[string]wire.JobState) {
	t.Helper()
	batcher := NewStatusBatcher(leader, func() micro.Time { return micro.Minute })
	answers = map[string]wire.JobState{}
	var mu sync.Mutex
	var queries sync.WaitGroup
	for i := range n {
		id := fmt.Sprintf("j-%d", i)
		queries.Go(func() {
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
	queries.Wait()
	synctest.Wait()
	if batcher.callsInFlight != 0 || len(batcher.pending) != 0 {
		t.Errorf("%d calls in flight and %d queries pending at the end", batcher.callsInFlight, len(batcher.pending))
	}
	return answers
}

// Guards against sending one call per query while other calls are in flight: under many status queries, such calls
// used up the leader's processor.
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
				"%d queries answered of the %d jobs known to the leader, or with a wrong state", len(answers), len(leader.states),
			)
		}
		want := 4 + (jobs-4+maxStatusesPerCall-1)/maxStatusesPerCall
		if got := leader.callsMade(); len(got) != want {
			t.Errorf("%d calls for %d queries, want %d: %v", len(got), jobs, want, got)
		}
	})
}

// A leader of the previous release does not support the batch call. The queries of the failed batch are answered from
// the store; later queries must be sent to the leader singly.
func TestLeaderWithoutBatchCallIsQueriedSingly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := &slowLeader{
			unblock: make(chan struct{}), legacy: true, states: map[string]wire.JobState{"j-0": wire.JobRunning},
		}
		batcher := NewStatusBatcher(leader, func() micro.Time { return micro.Minute })
		close(leader.unblock)
		if got := batcher.queryMany("n-0", []*statusQuery{{id: "j-0"}, {id: "j-1"}}); len(got) != 0 {
			t.Fatalf("batch call to a leader without support for it returned %v, want nothing", got)
		}
		batcher.callsInFlight = maxStatusCalls
		if r, ok := batcher.Query("n-0", "j-0"); !ok || replyState(r) != wire.JobRunning {
			t.Errorf("single query returned %+v, %v, want state %s", r, ok, wire.JobRunning)
		}
	})
}
