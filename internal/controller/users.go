package controller

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// How long a node waits for a peer before it helps itself.
const (
	askWait   = 500 * micro.Millisecond
	relayWait = 900 * micro.Millisecond
	badPeer   = 2 * micro.Second
)

func specKey(id string) string { return "job/" + id + "/spec" }

func endKey(id string) string { return "job/" + id + "/end" }

// compactMark begins the last part of the key of a record in the compact form.
const compactMark = "c"

func compactKey(id string, n int) string { return "run/" + id + "/" + compactMark + strconv.Itoa(n) }

func runKey(id string, n int) string { return "run/" + id + "/" + strconv.Itoa(n) }

// Submit accepts a job: 201 only after its description is in the store.
func (n *Node) Submit(body []byte) front.Reply { return n.submit(body, true) }

func (n *Node) submit(body []byte, relay bool) front.Reply {
	job, err := wire.DecodeJob(body)
	if err != nil {
		return front.Fail(400, err.Error())
	}
	if r, ok := n.refusal(job, relay); ok {
		return r
	}
	job.SubmittedAt = int64(n.Wall())
	attempt := n.storeSubmission(job, bytes.Clone(body), relay) // a peer may be asked for longer than the request lasts
	select {
	case err = <-attempt.stored:
	case r := <-attempt.relayed:
		return r
	}
	switch {
	case err == nil:
		n.accepted(job)
		return front.Reply{Status: 201, Body: wire.JobStatus{ID: job.ID, State: wire.JobPending}}
	case errors.Is(err, store.ErrConflict):
		// Known already: a repeat, or a write whose answer was lost.
		return n.showSubmitted(job.ID)
	case errors.Is(err, store.ErrBad):
		n.Log.Error("description not taken by the store", "job", job.ID, "bytes", wire.JSONSize(job))
		return front.Later(503, 2)
	}
	n.Log.Debug("submission not stored", "job", job.ID, "err", err)
	if r, ok := n.storedElsewhere(attempt, relay); ok {
		return r
	}
	if errors.Is(err, store.ErrBudget) || errors.Is(err, store.ErrBusy) {
		return front.Later(429, 1)
	}
	return front.Later(503, 1)
}

// storeAttempt is an attempt to store the description of a job.
type storeAttempt struct {
	body    []byte
	stored  chan error       // what came of this node's own write
	relayed chan front.Reply // the answer of a peer that was asked as well
	asked   bool             // a peer was asked
}

// storeSubmission begins to store a description. If that takes long, it asks a peer
// as well: the store may be out of this node's reach alone. Whichever way is first
// creates the key; the other finds it.
func (n *Node) storeSubmission(job *wire.Job, body []byte, relay bool) *storeAttempt {
	attempt := &storeAttempt{body: body, stored: make(chan error, 1), relayed: make(chan front.Reply, 1)}
	go func() { attempt.stored <- n.keep(job) }()
	if !relay {
		return attempt
	}
	after := time.Duration(0)
	if !n.Cut() {
		after = hedgeAfter.Std()
	}
	hedge := time.NewTimer(after)
	defer hedge.Stop()
	select {
	case err := <-attempt.stored:
		attempt.stored <- err
	case <-hedge.C:
		attempt.asked = true
		go func() {
			if r, ok := n.relay(peer.Submit, body); ok {
				attempt.relayed <- r
			}
		}()
	}
	return attempt
}

// storedElsewhere is a peer's answer to a submission that this node could not store:
// the store may refuse this node alone.
func (n *Node) storedElsewhere(attempt *storeAttempt, relay bool) (front.Reply, bool) {
	if !attempt.asked {
		if !relay {
			return front.Reply{}, false
		}
		return n.relay(peer.Submit, attempt.body)
	}
	select {
	case r := <-attempt.relayed:
		return r, true
	case <-time.After(askWait.Std()):
		return front.Reply{}, false
	}
}

// hedgeAfter is how long the store may take over a submission before a peer is
// asked as well.
const hedgeAfter = 100 * micro.Millisecond

// valueBytes is what a value may take.
func (n *Node) valueBytes() int {
	now, safe := n.Cfg.ValueBytes()
	if n.Opened() {
		return safe
	}
	return now
}

// accepted tells the leader of a new job; its watch would find it as well.
func (n *Node) accepted(job *wire.Job) {
	n.saw(job.ID)
	if l := n.leading(); l != nil {
		l.post(func() { l.addJob(*job) })
		return
	}
	leader := n.election.Leader()
	if leader == "" || leader == n.Cfg.Node {
		return
	}
	go func() { _, _, _ = n.ask(leader, peer.Notify, wire.MustMarshal(job), relayWait) }()
}

// Show answers a poll: the leader from its memory, else the store's truth, within
// the budget that polls have.
func (n *Node) Show(id string) front.Reply {
	if !wire.ValidJobID(id) {
		return front.Fail(404, "no such job")
	}
	r, ok := n.finalOrStored(id)
	if !ok {
		r, ok = n.remembered(id)
	}
	if !ok {
		r = n.lookUpJob(id)
	}
	if r.Status == 200 {
		n.saw(id)
	}
	return r
}

// finalOrStored answers a poll without the leader, while that answers too late: as far
// as the polls' part of the store's budget goes. The others wait for the leader.
func (n *Node) finalOrStored(id string) (front.Reply, bool) {
	if n.leading() != nil || !n.leaderPolls.isPatient(n.Now()) {
		return front.Reply{}, false
	}
	if s, ok := n.finals.get(id); ok {
		return front.Reply{Status: 200, Body: s}, true
	}
	if _, accepted := n.seen.Load(id); !accepted {
		return front.Reply{}, false // it is asked for together with others
	}
	r := n.lookUpJob(id)
	return r, r.Status == 200 || r.Status == 404
}

// showSubmitted answers a repeated submission, which goes before polls.
func (n *Node) showSubmitted(id string) front.Reply {
	if r, ok := n.remembered(id); ok {
		return r
	}
	return n.readAnywhere(id, store.Routine)
}

// remembered answers for a job from this node's or the leader's memory.
func (n *Node) remembered(id string) (front.Reply, bool) {
	if s, ok := n.finals.get(id); ok {
		return front.Reply{Status: 200, Body: s}, true
	}
	if l := n.leading(); l != nil {
		if s, ok := l.show(id); ok {
			n.finals.put(s)
			return front.Reply{Status: 200, Body: s}, true
		}
	} else if leader := n.election.Leader(); leader != "" && leader != n.Cfg.Node {
		if r, ok := n.showByLeader(leader, id); ok {
			n.finals.put(r.Body.(wire.JobStatus))
			return r, true
		}
	}
	return front.Reply{}, false
}

// Withdraw cancels a job; only the leader can.
func (n *Node) Withdraw(id string) front.Reply {
	if s, ok := n.finals.get(id); ok {
		return front.Reply{Status: 200, Body: s}
	}
	if l := n.leading(); l != nil {
		return n.withdrawHere(l, id)
	}
	leader := n.election.Leader()
	if leader != "" && leader != n.Cfg.Node {
		if status, out, err := n.ask(leader, peer.Withdraw, []byte(id), relayWait); err == nil {
			if r, ok := decodeReply(status, out); ok {
				if s, ok := r.Body.(wire.JobStatus); ok {
					n.finals.put(s)
				}
				return r
			}
		}
	}
	return front.Later(503, 1)
}

func (n *Node) withdrawHere(l *Lead, id string) front.Reply {
	r := l.withdraw(id)
	if r.Status == 404 {
		// Not in memory yet, perhaps: the store decides.
		got, err := n.read(id, store.Routine)
		if err != nil {
			return front.Later(503, 1)
		}
		if s, ok := got.Body.(wire.JobStatus); ok && got.Status == 200 && s.State.Final() || got.Status == 404 {
			return got
		}
		return front.Later(503, 1)
	}
	if s, ok := r.Body.(wire.JobStatus); ok {
		n.finals.put(s)
	}
	return r
}

// Beat answers a worker's report. Only the leader may, and with shares their owners; the
// others say whom to ask.
func (n *Node) Beat(body []byte) front.Reply {
	if n.shares != nil {
		return n.beatWithShares(body)
	}
	l := n.leading()
	if l == nil {
		return n.beatElsewhere(body)
	}
	if len(body) > wire.MaxBody {
		return front.Fail(400, "too large")
	}
	r, err := wire.DecodeReport(body)
	if err != nil {
		return front.Fail(400, err.Error())
	}
	return l.beat(r)
}

// beatElsewhere answers a report that is the leader's to answer, at another node.
func (n *Node) beatElsewhere(body []byte) front.Reply {
	if r, ok := n.keepLease(body); ok {
		return r
	}
	leader := n.election.Leader()
	if leader == "" || leader == n.Cfg.Node || n.lost(leader) {
		return front.Later(503, 1)
	}
	return front.Reply{Status: 421, Body: wire.Redirect{Leader: leader}}
}
