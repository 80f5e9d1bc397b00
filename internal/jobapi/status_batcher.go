package jobapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// Limits of the calls by which a node that does not lead forwards status queries to the leader. A call between nodes
// costs each of them about sixteen times as much processor time as the leader's lookup does, and under many queries
// such calls used up the leader's processor. So only a few calls are in flight at a time, and queries that arrive
// meanwhile are sent together in the next call.
const (
	// maxStatusCalls is the maximum number of calls in flight. Further queries wait and are batched.
	maxStatusCalls = 4
	// maxStatusesPerCall is the maximum number of jobs per call. It keeps the response below wire.MaxBody, whatever
	// dependencies the jobs wait for.
	maxStatusesPerCall = 128
	// leaderBackoffPeriod is the duration of the backoff from a leader that responded too late. During it, queries
	// are gathered for backoffBatchDelay and sent in batches only, with at most backoffMaxCalls calls in flight and
	// backoffCallTimeout for each. Without the backoff, an overloaded leader answered no query for minutes: each late
	// response kept the node from calling it for the whole backoff of package peer.
	leaderBackoffPeriod = 10 * micro.Second
	backoffCallTimeout  = 900 * micro.Millisecond
	backoffBatchDelay   = 50 * micro.Millisecond
	backoffMaxCalls     = 2
	// singleQueryPeriod is for how long queries are sent singly to a leader that does not support the batch call.
	singleQueryPeriod = micro.Minute
)

// StatusBatcher sends status queries to the leader, in batches while calls are in flight. Any goroutine may call its
// methods.
type StatusBatcher struct {
	peers Peers
	now   func() micro.Time

	mu            sync.Mutex
	callsInFlight int            // includes a delayed call for which queries are gathered
	pending       []*statusQuery // wait for the next call
	singleUntil   micro.Time     // end of the period in which queries are sent singly
	backoffUntil  micro.Time     // end of the backoff from the leader
}

// NewStatusBatcher returns a batcher without pending queries. The function now reads the monotonic clock.
func NewStatusBatcher(peers Peers, now func() micro.Time) *StatusBatcher {
	return &StatusBatcher{peers: peers, now: now}
}

// backingOff reports whether the backoff from the leader lasts.
func (b *StatusBatcher) backingOff() bool {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return now < b.backoffUntil
}

// BackOff starts the backoff from the leader, or extends it. It is called when the leader responds too late.
func (b *StatusBatcher) BackOff() {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffUntil = now + leaderBackoffPeriod
}

// querySingly starts the period in which queries are sent singly, since the leader does not support the batch call.
func (b *StatusBatcher) querySingly() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.singleUntil = b.now() + singleQueryPeriod
}

// statusQuery is a status query that waits for the leader's response.
type statusQuery struct {
	leader string // name of the leader as known when the query arrived
	id     string
	reply  chan httpapi.Reply // receives the reply; closed without one if the leader gave no status
}

// Query asks the leader for the status of a job. It returns false if the leader gave none in time.
func (b *StatusBatcher) Query(leader, id string) (httpapi.Reply, bool) {
	now := b.now()
	b.mu.Lock()
	timeout, maxCalls := PeerCallTimeout, maxStatusCalls
	if now < b.backoffUntil {
		timeout, maxCalls = backoffCallTimeout, backoffMaxCalls
	}
	free := b.callsInFlight < maxCalls
	if free && now >= b.backoffUntil || now < b.singleUntil {
		b.callsInFlight++
		b.mu.Unlock()
		defer func() { go b.sendBatches() }()
		return b.queryOne(leader, id)
	}
	query := &statusQuery{leader: leader, id: id, reply: make(chan httpapi.Reply, 1)}
	b.pending = append(b.pending, query)
	if free {
		b.callsInFlight++
	}
	b.mu.Unlock()
	if free {
		time.AfterFunc(backoffBatchDelay.Duration(), b.sendBatches)
	}
	return query.wait(timeout)
}

// wait returns the reply, or false if there is none within the timeout.
func (q *statusQuery) wait(timeout micro.Time) (httpapi.Reply, bool) {
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case reply, ok := <-q.reply:
		return reply, ok
	case <-timer.C:
		return httpapi.Reply{}, false
	}
}

// queryOne asks the leader for the status of one job.
func (b *StatusBatcher) queryOne(leader, id string) (httpapi.Reply, bool) {
	status, out, err := b.peers.Call(context.Background(), leader, peer.Status, []byte(id), PeerCallTimeout)
	if err != nil {
		b.BackOff()
	}
	if err != nil || status != http.StatusOK {
		return httpapi.Reply{}, false
	}
	return decodeReply(status, out)
}

// sendBatches sends the pending queries in batches until none are left, then ends the call in flight that its caller
// counted. It runs after a single call or at the end of backoffBatchDelay.
func (b *StatusBatcher) sendBatches() {
	for {
		batch := b.takeBatch()
		if len(batch) == 0 {
			return
		}
		b.queryBatch(batch)
	}
}

// takeBatch removes the queries of the next call from the pending ones. If there are none, it ends the call in flight
// of the caller.
func (b *StatusBatcher) takeBatch() []*statusQuery {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.pending[:min(len(b.pending), maxStatusesPerCall)]
	b.pending = b.pending[len(batch):]
	if len(batch) == 0 {
		b.pending = nil
		b.callsInFlight--
	}
	return batch
}

// queryBatch answers a batch of queries by one call to the leader that the latest of them knew.
func (b *StatusBatcher) queryBatch(batch []*statusQuery) {
	answers := b.queryMany(batch[len(batch)-1].leader, batch)
	for _, query := range batch {
		if status, ok := answers[query.id]; ok {
			query.reply <- statusReply(status)
		}
		close(query.reply)
	}
}

// queryMany asks the leader for the statuses of the jobs of a batch in one call. Jobs without an answer are missing in
// the result.
func (b *StatusBatcher) queryMany(leader string, batch []*statusQuery) map[string]wire.JobStatus {
	answers := map[string]wire.JobStatus{}
	// The backoff of package peer is ignored below: that another call got no response says little about this one.
	timeout := PeerCallTimeout
	if b.backingOff() {
		timeout = backoffCallTimeout
	}
	body := wire.MustMarshal(distinctIDs(batch))
	status, out, err := b.peers.CallRegardless(context.Background(), leader, peer.StatusBatch, body, timeout)
	if err != nil {
		b.BackOff()
		return answers
	}
	if status == http.StatusNotFound {
		b.querySingly()
	}
	var statuses []wire.JobStatus
	if status != http.StatusOK || wire.Unmarshal(out, &statuses) != nil {
		return answers
	}
	for _, jobStatus := range statuses {
		answers[jobStatus.ID] = jobStatus
	}
	return answers
}

// distinctIDs returns the job IDs of the queries without duplicates.
func distinctIDs(batch []*statusQuery) []string {
	seen := map[string]bool{}
	var ids []string
	for _, query := range batch {
		if !seen[query.id] {
			seen[query.id] = true
			ids = append(ids, query.id)
		}
	}
	return ids
}
