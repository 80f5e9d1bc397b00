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

// How a node that does not lead asks the leader for users' status queries. A call between
// nodes costs both of them some sixteen times what the leader's answer does, and in a
// storm of queries those calls used up the leader's processor. So only a few calls are
// under way at a time; what comes meanwhile goes out together with the next one.
const (
	// maxStatusCalls is how many calls are under way before queries wait for one another.
	maxStatusCalls = 4
	// maxStatusesPerCall is how many jobs one call asks for: the answer stays below
	// wire.MaxBody, whatever the jobs wait for.
	maxStatusesPerCall = 128
	// leaderBackoffPeriod is for how long a leader that answered too late is asked for several
	// jobs at a time only, gathered for backoffBatchDelay, by backoffMaxCalls calls at a time,
	// and given backoffCallTimeout for each. Asked as usual, an overloaded leader answered
	// nothing for minutes: each call that came too late kept the node from asking again for
	// as long as a peer is left alone that gave no answer.
	leaderBackoffPeriod = 10 * micro.Second
	backoffCallTimeout  = 900 * micro.Millisecond
	backoffBatchDelay   = 50 * micro.Millisecond
	backoffMaxCalls     = 2
	// singleQueryPeriod is for how long a leader is asked for one job at a time after it
	// did not know the call for several.
	singleQueryPeriod = micro.Minute
)

// StatusBatcher gathers status queries for the leader. Any goroutine may call its methods.
type StatusBatcher struct {
	peers Peers
	now   func() micro.Time

	mu            sync.Mutex
	callsInFlight int
	pending       []*statusQuery
	singleUntil   micro.Time // until when jobs are asked for one by one
	backoffUntil  micro.Time // until when the leader is given more time for fewer calls
}

// NewStatusBatcher makes a batcher that has asked nothing yet.
func NewStatusBatcher(peers Peers, now func() micro.Time) *StatusBatcher {
	return &StatusBatcher{peers: peers, now: now}
}

// backingOff reports whether the leader answered too late lately.
func (b *StatusBatcher) backingOff() bool {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return now < b.backoffUntil
}

// BackOff notes that the leader answered a call too late.
func (b *StatusBatcher) BackOff() {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffUntil = now + leaderBackoffPeriod
}

// querySingly notes that the leader does not know the call for several jobs.
func (b *StatusBatcher) querySingly() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.singleUntil = b.now() + singleQueryPeriod
}

// statusQuery is a query that waits for the leader's answer.
type statusQuery struct {
	leader string // as it was known when the query came
	id     string
	reply  chan httpapi.Reply // what the leader said; closed without a word: nothing
}

// Query asks the leader for a job; false if it said nothing of it in time.
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

// wait is what the leader says within a time.
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

// queryOne asks the leader for one job.
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

// sendBatches ends a call, or the wait for one, and sends what was gathered meanwhile.
func (b *StatusBatcher) sendBatches() {
	for {
		batch := b.takeBatch()
		if len(batch) == 0 {
			return
		}
		b.queryBatch(batch)
	}
}

// takeBatch gives the queries of the next call; none: the caller's call is over.
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

// queryBatch asks the leader, as the latest of the queries knew it, for several jobs.
func (b *StatusBatcher) queryBatch(batch []*statusQuery) {
	answers := b.queryMany(batch[len(batch)-1].leader, batch)
	for _, query := range batch {
		if status, ok := answers[query.id]; ok {
			query.reply <- statusReply(status)
		}
		close(query.reply)
	}
}

// queryMany asks the leader for several jobs in one call.
func (b *StatusBatcher) queryMany(leader string, batch []*statusQuery) map[string]wire.JobStatus {
	answers := map[string]wire.JobStatus{}
	// Regardless: that a call of another kind got no answer says little of this one.
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

// distinctIDs are the jobs that some queries are for, each once.
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
