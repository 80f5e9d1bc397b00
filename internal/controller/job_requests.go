package controller

import (
	"bytes"
	"errors"
	"time"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// How long a node waits for a peer before it helps itself.
const (
	peerCallTimeout = 500 * micro.Millisecond
	relayTimeout    = 900 * micro.Millisecond
	peerBackoff     = 2 * micro.Second
)

// Submit accepts a job: 201 only after its description is in the store.
func (n *Node) Submit(body []byte) httpapi.Reply { return n.submit(body, true) }

func (n *Node) submit(body []byte, relay bool) httpapi.Reply {
	job, err := wire.DecodeJob(body)
	if err != nil {
		return httpapi.ErrorReply(400, err.Error())
	}
	if reply, ok := n.rejection(job, relay); ok {
		return reply
	}
	job.SubmittedAt = int64(n.Wall())
	attempt := n.storeSubmission(job, bytes.Clone(body), relay) // a peer may be asked for longer than the request lasts
	select {
	case err = <-attempt.stored:
	case reply := <-attempt.relayed:
		return reply
	}
	switch {
	case err == nil:
		n.notifyAccepted(job)
		return httpapi.Reply{Status: 201, Body: wire.JobStatus{ID: job.ID, State: wire.JobPending}}
	case errors.Is(err, store.ErrConflict):
		// Known already: a repeat, or a write whose answer was lost.
		return n.repeatedSubmissionStatus(job.ID)
	case errors.Is(err, store.ErrMalformed):
		n.Log.Error("description not taken by the store", "job", job.ID, "bytes", wire.JSONSize(job))
		return httpapi.RetryReply(503, 2)
	}
	n.Log.Debug("submission not stored", "job", job.ID, "err", err)
	if reply, ok := n.relayedReply(attempt, relay); ok {
		return reply
	}
	if errors.Is(err, store.ErrBudgetExhausted) || errors.Is(err, store.ErrRateLimited) {
		return httpapi.RetryReply(429, 1)
	}
	return httpapi.RetryReply(503, 1)
}

// storeAttempt is an attempt to store the description of a job.
type storeAttempt struct {
	body         []byte
	stored       chan error         // what came of this node's own write
	relayed      chan httpapi.Reply // the answer of a peer that was asked as well
	relayStarted bool               // a peer was asked
}

// storeSubmission begins to store a description. If that takes long, it asks a peer
// as well: the store may be out of this node's reach alone. Whichever way is first
// creates the key; the other finds it.
func (n *Node) storeSubmission(job *wire.Job, body []byte, relay bool) *storeAttempt {
	attempt := &storeAttempt{body: body, stored: make(chan error, 1), relayed: make(chan httpapi.Reply, 1)}
	go func() { attempt.stored <- n.storeSpec(job) }()
	if !relay {
		return attempt
	}
	delay := time.Duration(0)
	if !n.Isolated() {
		delay = hedgeAfter.Duration()
	}
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	select {
	case err := <-attempt.stored:
		attempt.stored <- err
	case <-hedge.C:
		attempt.relayStarted = true
		go func() {
			if r, ok := n.relay(peer.Submit, body); ok {
				attempt.relayed <- r
			}
		}()
	}
	return attempt
}

// relayedReply is a peer's answer to a submission that this node could not store:
// the store may refuse this node alone.
func (n *Node) relayedReply(attempt *storeAttempt, relay bool) (httpapi.Reply, bool) {
	if !attempt.relayStarted {
		if !relay {
			return httpapi.Reply{}, false
		}
		return n.relay(peer.Submit, attempt.body)
	}
	select {
	case r := <-attempt.relayed:
		return r, true
	case <-time.After(peerCallTimeout.Duration()):
		return httpapi.Reply{}, false
	}
}

// hedgeAfter is how long the store may take over a submission before a peer is
// asked as well.
const hedgeAfter = 100 * micro.Millisecond

// maxValueBytes is what a value may take.
func (n *Node) maxValueBytes() int {
	current, safe := n.Cfg.MaxValueBytes()
	if n.FormatOpen() {
		return safe
	}
	return current
}

// notifyAccepted tells the leader of a new job; its watch would find it as well.
func (n *Node) notifyAccepted(job *wire.Job) {
	n.rememberAccepted(job.ID)
	if l := n.activeLeader(); l != nil {
		l.post(func() { l.addJob(*job) })
		return
	}
	leader := n.election.Leader()
	if leader == "" || leader == n.Cfg.Node {
		return
	}
	go func() { _, _, _ = n.callPeer(leader, peer.JobAccepted, wire.MustMarshal(job), relayTimeout) }()
}

// Status answers a poll: the leader from its memory, else the store's truth, within
// the budget that polls have.
func (n *Node) Status(id string) httpapi.Reply {
	if !wire.ValidJobID(id) {
		return httpapi.ErrorReply(404, "no such job")
	}
	reply, ok := n.statusWithoutLeader(id)
	if !ok {
		reply, ok = n.statusFromMemory(id)
	}
	if !ok {
		reply = n.lookUpStatus(id)
	}
	if reply.Status == 200 {
		n.rememberAccepted(id)
	}
	return reply
}

// statusWithoutLeader answers a poll without the leader, while that answers too late: as far
// as the polls' part of the store's budget goes. The others wait for the leader.
func (n *Node) statusWithoutLeader(id string) (httpapi.Reply, bool) {
	if n.activeLeader() != nil || !n.statusBatcher.backingOff(n.Now()) {
		return httpapi.Reply{}, false
	}
	if s, ok := n.finalStatuses.get(id); ok {
		return httpapi.Reply{Status: 200, Body: s}, true
	}
	if _, accepted := n.acceptedIDs.Load(id); !accepted {
		return httpapi.Reply{}, false // it is asked for together with others
	}
	r := n.lookUpStatus(id)
	return r, r.Status == 200 || r.Status == 404
}

// repeatedSubmissionStatus answers a repeated submission, which goes before polls.
func (n *Node) repeatedSubmissionStatus(id string) httpapi.Reply {
	if r, ok := n.statusFromMemory(id); ok {
		return r
	}
	return n.readAnywhere(id, store.Routine)
}

// statusFromMemory answers for a job from this node's or the leader's memory.
func (n *Node) statusFromMemory(id string) (httpapi.Reply, bool) {
	if status, ok := n.finalStatuses.get(id); ok {
		return httpapi.Reply{Status: 200, Body: status}, true
	}
	if l := n.activeLeader(); l != nil {
		if status, ok := l.status(id); ok {
			n.finalStatuses.put(status)
			return httpapi.Reply{Status: 200, Body: status}, true
		}
	} else if leader := n.election.Leader(); leader != "" && leader != n.Cfg.Node {
		if reply, ok := n.queryLeader(leader, id); ok {
			n.finalStatuses.put(reply.Body.(wire.JobStatus))
			return reply, true
		}
	}
	return httpapi.Reply{}, false
}

// Cancel cancels a job; only the leader can.
func (n *Node) Cancel(id string) httpapi.Reply {
	if final, ok := n.finalStatuses.get(id); ok {
		return httpapi.Reply{Status: 200, Body: final}
	}
	if l := n.activeLeader(); l != nil {
		return n.cancelAsLeader(l, id)
	}
	leader := n.election.Leader()
	if leader != "" && leader != n.Cfg.Node {
		if status, out, err := n.callPeer(leader, peer.Cancel, []byte(id), relayTimeout); err == nil {
			if reply, ok := decodeReply(status, out); ok {
				if final, ok := reply.Body.(wire.JobStatus); ok {
					n.finalStatuses.put(final)
				}
				return reply
			}
		}
	}
	return httpapi.RetryReply(503, 1)
}

func (n *Node) cancelAsLeader(leader *Leader, id string) httpapi.Reply {
	reply := leader.cancelJob(id)
	if reply.Status == 404 {
		// Not in memory yet, perhaps: the store decides.
		stored, err := n.readStatus(id, store.Routine)
		if err != nil {
			return httpapi.RetryReply(503, 1)
		}
		if status, ok := stored.Body.(wire.JobStatus); ok && stored.Status == 200 && status.State.Final() ||
			stored.Status == 404 {
			return stored
		}
		return httpapi.RetryReply(503, 1)
	}
	if status, ok := reply.Body.(wire.JobStatus); ok {
		n.finalStatuses.put(status)
	}
	return reply
}

// Heartbeat answers a worker's report. Only the leader may, and with shares their owners; the
// others say whom to ask.
func (n *Node) Heartbeat(body []byte) httpapi.Reply {
	if n.shards != nil {
		return n.heartbeatWithShards(body)
	}
	l := n.activeLeader()
	if l == nil {
		return n.heartbeatAsFollower(body)
	}
	if len(body) > wire.MaxBody {
		return httpapi.ErrorReply(400, "too large")
	}
	heartbeat, err := wire.DecodeHeartbeat(body)
	if err != nil {
		return httpapi.ErrorReply(400, err.Error())
	}
	return l.handleHeartbeat(heartbeat)
}

// heartbeatAsFollower answers a report that is the leader's to answer, at another node.
func (n *Node) heartbeatAsFollower(body []byte) httpapi.Reply {
	if r, ok := n.proxyHeartbeat(body); ok {
		return r
	}
	leader := n.election.Leader()
	if leader == "" || leader == n.Cfg.Node || n.leaderUnreachable(leader) {
		return httpapi.RetryReply(503, 1)
	}
	return httpapi.Reply{Status: 421, Body: wire.NotLeader{LeaderHint: leader}}
}
