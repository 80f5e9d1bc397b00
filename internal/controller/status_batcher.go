package controller

import (
	"context"
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// How a node that does not lead asks the leader for users' polls. A call between
// nodes costs both of them some sixteen times what the leader's answer does, and in a
// storm of polls those calls used up the leader's processor. So only a few calls are
// under way at a time; what comes meanwhile goes out together with the next one.
const (
	// maxStatusCalls is how many calls are under way before polls wait for one another.
	maxStatusCalls = 4
	// maxStatusesPerCall is how many jobs one call asks for: the answer stays below
	// wire.MaxBody, whatever the jobs wait for.
	maxStatusesPerCall = 128
	// leaderBackoff is for how long a leader that answered too late is asked for several
	// jobs at a time only, gathered for backoffBatchDelay, by backoffMaxCalls calls at a time,
	// and given backoffCallTimeout for each. Asked as usual, an overloaded leader answered nothing for minutes: each call that
	// came too late kept the node from asking again for badPeer.
	leaderBackoff      = 10 * micro.Second
	backoffCallTimeout = 900 * micro.Millisecond
	backoffBatchDelay  = 50 * micro.Millisecond
	backoffMaxCalls    = 2
	// singleQueriesFor is for how long a leader is asked for one job at a time after it
	// did not know the call for several.
	singleQueriesFor = micro.Minute
)

// statusBatcher gathers polls for the leader.
type statusBatcher struct {
	mu            sync.Mutex
	callsInFlight int
	pending       []*statusQuery
	singleUntil   micro.Time // until when jobs are asked for one by one
	backoffUntil  micro.Time // until when the leader is given more time for fewer calls
}

// backingOff reports whether the leader answered too late lately.
func (q *statusBatcher) backingOff(now micro.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now < q.backoffUntil
}

// backOff notes that the leader answered a call too late.
func (q *statusBatcher) backOff(now micro.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backoffUntil = now + leaderBackoff
}

// statusQuery is a poll that waits for the leader's answer.
type statusQuery struct {
	leader string // as it was known when the poll came
	id     string
	reply  chan httpapi.Reply // what the leader said; closed without a word: nothing
}

// queryLeader asks the leader for a job.
func (n *Node) queryLeader(leader, id string) (httpapi.Reply, bool) {
	batcher := &n.statusBatcher
	now := n.Now()
	batcher.mu.Lock()
	timeout, maxCalls := peerCallTimeout, maxStatusCalls
	if now < batcher.backoffUntil {
		timeout, maxCalls = backoffCallTimeout, backoffMaxCalls
	}
	free := batcher.callsInFlight < maxCalls
	if free && now >= batcher.backoffUntil || now < batcher.singleUntil {
		batcher.callsInFlight++
		batcher.mu.Unlock()
		defer func() { go n.sendBatches() }()
		return n.queryLeaderForOne(leader, id)
	}
	query := &statusQuery{leader: leader, id: id, reply: make(chan httpapi.Reply, 1)}
	batcher.pending = append(batcher.pending, query)
	if free {
		batcher.callsInFlight++
	}
	batcher.mu.Unlock()
	if free {
		time.AfterFunc(backoffBatchDelay.Duration(), n.sendBatches)
	}
	return query.wait(timeout)
}

// wait is what the leader says within a time.
func (p *statusQuery) wait(timeout micro.Time) (httpapi.Reply, bool) {
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case r, ok := <-p.reply:
		return r, ok
	case <-timer.C:
		return httpapi.Reply{}, false
	}
}

// queryLeaderForOne asks the leader for one job.
func (n *Node) queryLeaderForOne(leader, id string) (httpapi.Reply, bool) {
	status, out, err := n.callPeer(leader, peer.Status, []byte(id), peerCallTimeout)
	if err != nil {
		n.statusBatcher.backOff(n.Now())
	}
	if err != nil || status != 200 {
		return httpapi.Reply{}, false
	}
	return decodeReply(status, out)
}

// sendBatches ends a call, or the wait for one, and sends what was gathered meanwhile.
func (n *Node) sendBatches() {
	for {
		batch := n.statusBatcher.takeBatch()
		if len(batch) == 0 {
			return
		}
		n.queryLeaderForBatch(batch)
	}
}

// takeBatch gives the polls of the next call; none: the caller's call is over.
func (q *statusBatcher) takeBatch() []*statusQuery {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.pending[:min(len(q.pending), maxStatusesPerCall)]
	q.pending = q.pending[len(batch):]
	if len(batch) == 0 {
		q.pending = nil
		q.callsInFlight--
	}
	return batch
}

// queryLeaderForBatch asks the leader, as the latest of the polls knew it, for several jobs.
func (n *Node) queryLeaderForBatch(batch []*statusQuery) {
	answers := n.queryLeaderForMany(batch[len(batch)-1].leader, batch)
	for _, query := range batch {
		if s, ok := answers[query.id]; ok {
			query.reply <- httpapi.Reply{Status: 200, Body: s}
		}
		close(query.reply)
	}
}

func (n *Node) queryLeaderForMany(leader string, batch []*statusQuery) map[string]wire.JobStatus {
	answers := map[string]wire.JobStatus{}
	seen := map[string]bool{}
	var ids []string
	for _, query := range batch {
		if !seen[query.id] {
			seen[query.id] = true
			ids = append(ids, query.id)
		}
	}
	// Not by ask: that a call of another kind got no answer says little of this one.
	timeout := peerCallTimeout
	if n.statusBatcher.backingOff(n.Now()) {
		timeout = backoffCallTimeout
	}
	status, out, err := n.Peers.Call(context.Background(), leader, peer.StatusBatch, wire.MustMarshal(ids), timeout)
	if err != nil {
		n.statusBatcher.backOff(n.Now())
	}
	if err == nil && status == 404 {
		batcher := &n.statusBatcher
		batcher.mu.Lock()
		batcher.singleUntil = n.Now() + singleQueriesFor
		batcher.mu.Unlock()
	}
	var statuses []wire.JobStatus
	if err != nil || status != 200 || wire.Unmarshal(out, &statuses) != nil {
		return answers
	}
	for _, jobStatus := range statuses {
		answers[jobStatus.ID] = jobStatus
	}
	return answers
}

// handleStatuses answers for several jobs from the leader's memory. Those that it does
// not answer for are left out: the asker reads the store.
func (n *Node) handleStatuses(leader *Leader, body []byte) (int, []byte) {
	var ids []string
	if wire.Unmarshal(body, &ids) != nil || len(ids) > maxStatusesPerCall {
		return 400, nil
	}
	statuses := []wire.JobStatus{}
	var uncached []string
	for _, id := range ids {
		if status, ok := n.finalStatuses.get(id); ok {
			statuses = append(statuses, status)
		} else {
			uncached = append(uncached, id)
		}
	}
	return 200, wire.MustMarshal(append(statuses, leader.statuses(uncached)...))
}

// statuses answers polls from memory, in one turn of the loop. Of ids that are not in
// the model the loop, which has workers to answer, is not asked; that alone is no
// reason to deny a job.
func (l *Leader) statuses(ids []string) []wire.JobStatus {
	var known []string
	for _, id := range ids {
		if _, ok := l.knownJobs.Load(id); ok || !l.serving.Load() {
			known = append(known, id)
		}
	}
	if len(known) == 0 {
		return nil
	}
	result, ok := l.callLoop(eventloop.Queries, 400*micro.Millisecond, func(reply func(httpapi.Reply)) {
		found := make([]wire.JobStatus, 0, len(known))
		for _, id := range known {
			if job := l.cluster.Jobs[id]; job != nil && !l.endUncertain(job) {
				status := job.Status()
				status.Dependencies = l.cluster.PendingDependencies(job)
				found = append(found, status)
			}
		}
		reply(httpapi.Reply{Body: found})
	})
	if !ok {
		return nil
	}
	return result.Body.([]wire.JobStatus)
}

// status answers one poll from memory.
func (l *Leader) status(id string) (wire.JobStatus, bool) {
	if found := l.statuses([]string{id}); len(found) == 1 {
		return found[0], true
	}
	return wire.JobStatus{}, false
}
