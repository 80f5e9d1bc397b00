package controller

import (
	"context"
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// How a node that does not lead asks the leader for users' polls. A call between
// nodes costs both of them some sixteen times what the leader's answer does, and in a
// storm of polls those calls used up the leader's processor. So only a few calls are
// under way at a time; what comes meanwhile goes out together with the next one.
const (
	// showsAtOnce is how many calls are under way before polls wait for one another.
	showsAtOnce = 4
	// maxShown is how many jobs one call asks for: the answer stays below
	// wire.MaxBody, whatever the jobs wait for.
	maxShown = 128
	// patientFor is for how long a leader that answered too late is asked for several
	// jobs at a time only, gathered for patientGather, by patientAtOnce calls at a time,
	// and given patientWait for each. Asked as usual, an overloaded leader answered nothing for minutes: each call that
	// came too late kept the node from asking again for badPeer.
	patientFor    = 10 * micro.Second
	patientWait   = 900 * micro.Millisecond
	patientGather = 50 * micro.Millisecond
	patientAtOnce = 2
	// showSingly is for how long a leader is asked for one job at a time after it
	// did not know the call for several.
	showSingly = micro.Minute
)

// leaderPolls gathers polls for the leader.
type leaderPolls struct {
	mu       sync.Mutex
	underWay int
	waiting  []*leaderPoll
	singly   micro.Time // until when jobs are asked for one by one
	patient  micro.Time // until when the leader is given more time for fewer calls
}

// isPatient reports whether the leader answered too late lately.
func (q *leaderPolls) isPatient(now micro.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now < q.patient
}

// late notes that the leader answered a call too late.
func (q *leaderPolls) late(now micro.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.patient = now + patientFor
}

// leaderPoll is a poll that waits for the leader's answer.
type leaderPoll struct {
	leader string // as it was known when the poll came
	id     string
	reply  chan front.Reply // what the leader said; closed without a word: nothing
}

// showByLeader asks the leader for a job.
func (n *Node) showByLeader(leader, id string) (front.Reply, bool) {
	q := &n.leaderPolls
	now := n.Now()
	q.mu.Lock()
	wait, atOnce := askWait, showsAtOnce
	if now < q.patient {
		wait, atOnce = patientWait, patientAtOnce
	}
	free := q.underWay < atOnce
	if free && now >= q.patient || now < q.singly {
		q.underWay++
		q.mu.Unlock()
		defer func() { go n.nextShows() }()
		return n.showOne(leader, id)
	}
	poll := &leaderPoll{leader: leader, id: id, reply: make(chan front.Reply, 1)}
	q.waiting = append(q.waiting, poll)
	if free {
		q.underWay++
	}
	q.mu.Unlock()
	if free {
		time.AfterFunc(patientGather.Std(), n.nextShows)
	}
	return poll.wait(wait)
}

// wait is what the leader says within a time.
func (p *leaderPoll) wait(most micro.Time) (front.Reply, bool) {
	timer := time.NewTimer(most.Std())
	defer timer.Stop()
	select {
	case r, ok := <-p.reply:
		return r, ok
	case <-timer.C:
		return front.Reply{}, false
	}
}

// showOne asks the leader for one job.
func (n *Node) showOne(leader, id string) (front.Reply, bool) {
	status, out, err := n.ask(leader, peer.Show, []byte(id), askWait)
	if err != nil {
		n.leaderPolls.late(n.Now())
	}
	if err != nil || status != 200 {
		return front.Reply{}, false
	}
	return decodeReply(status, out)
}

// nextShows ends a call, or the wait for one, and sends what was gathered meanwhile.
func (n *Node) nextShows() {
	for {
		group := n.leaderPolls.take()
		if len(group) == 0 {
			return
		}
		n.showGroup(group)
	}
}

// take gives the polls of the next call; none: the caller's call is over.
func (q *leaderPolls) take() []*leaderPoll {
	q.mu.Lock()
	defer q.mu.Unlock()
	group := q.waiting[:min(len(q.waiting), maxShown)]
	q.waiting = q.waiting[len(group):]
	if len(group) == 0 {
		q.waiting = nil
		q.underWay--
	}
	return group
}

// showGroup asks the leader, as the latest of the polls knew it, for several jobs.
func (n *Node) showGroup(group []*leaderPoll) {
	answers := n.showMany(group[len(group)-1].leader, group)
	for _, poll := range group {
		if s, ok := answers[poll.id]; ok {
			poll.reply <- front.Reply{Status: 200, Body: s}
		}
		close(poll.reply)
	}
}

func (n *Node) showMany(leader string, group []*leaderPoll) map[string]wire.JobStatus {
	answers := map[string]wire.JobStatus{}
	asked := map[string]bool{}
	var ids []string
	for _, poll := range group {
		if !asked[poll.id] {
			asked[poll.id] = true
			ids = append(ids, poll.id)
		}
	}
	// Not by ask: that a call of another kind got no answer says little of this one.
	wait := askWait
	if n.leaderPolls.isPatient(n.Now()) {
		wait = patientWait
	}
	status, out, err := n.Peers.Call(context.Background(), leader, peer.Shows, wire.MustMarshal(ids), wait)
	if err != nil {
		n.leaderPolls.late(n.Now())
	}
	if err == nil && status == 404 {
		q := &n.leaderPolls
		q.mu.Lock()
		q.singly = n.Now() + showSingly
		q.mu.Unlock()
	}
	var got []wire.JobStatus
	if err != nil || status != 200 || wire.Unmarshal(out, &got) != nil {
		return answers
	}
	for _, s := range got {
		answers[s.ID] = s
	}
	return answers
}

// answerShows answers for several jobs from the leader's memory. Those that it does
// not answer for are left out: the asker reads the store.
func (n *Node) answerShows(l *Lead, body []byte) (int, []byte) {
	var ids []string
	if wire.Unmarshal(body, &ids) != nil || len(ids) > maxShown {
		return 400, nil
	}
	out := []wire.JobStatus{}
	var rest []string
	for _, id := range ids {
		if s, ok := n.finals.get(id); ok {
			out = append(out, s)
		} else {
			rest = append(rest, id)
		}
	}
	return 200, wire.MustMarshal(append(out, l.showAll(rest)...))
}

// showAll answers polls from memory, in one turn of the loop. Of ids that are not in
// the model the loop, which has workers to answer, is not asked; that alone is no
// reason to deny a job.
func (l *Lead) showAll(ids []string) []wire.JobStatus {
	var known []string
	for _, id := range ids {
		if _, ok := l.known.Load(id); ok || !l.serving.Load() {
			known = append(known, id)
		}
	}
	if len(known) == 0 {
		return nil
	}
	r, ok := l.ask(l.asks, 400*micro.Millisecond, func(reply func(front.Reply)) {
		found := make([]wire.JobStatus, 0, len(known))
		for _, id := range known {
			if j := l.c.Jobs[id]; j != nil && !l.unsure(j) {
				s := j.Status()
				s.Needs = l.c.Lacks(j)
				found = append(found, s)
			}
		}
		reply(front.Reply{Body: found})
	})
	if !ok {
		return nil
	}
	return r.Body.([]wire.JobStatus)
}

// show answers one poll from memory.
func (l *Lead) show(id string) (wire.JobStatus, bool) {
	if found := l.showAll([]string{id}); len(found) == 1 {
		return found[0], true
	}
	return wire.JobStatus{}, false
}
