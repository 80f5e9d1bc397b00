package controller

import (
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
	q.mu.Lock()
	if q.underWay < showsAtOnce || n.Now() < q.singly {
		q.underWay++
		q.mu.Unlock()
		defer n.nextShows()
		return n.showOne(leader, id)
	}
	poll := &leaderPoll{leader: leader, id: id, reply: make(chan front.Reply, 1)}
	q.waiting = append(q.waiting, poll)
	q.mu.Unlock()
	timer := time.NewTimer(askWait.Std())
	defer timer.Stop()
	select {
	case r, ok := <-poll.reply:
		return r, ok
	case <-timer.C:
		return front.Reply{}, false
	}
}

// showOne asks the leader for one job.
func (n *Node) showOne(leader, id string) (front.Reply, bool) {
	status, out, err := n.ask(leader, peer.Show, []byte(id), askWait)
	if err != nil || status != 200 {
		return front.Reply{}, false
	}
	return decodeReply(status, out)
}

// nextShows ends a call, and sends what was gathered meanwhile.
func (n *Node) nextShows() {
	q := &n.leaderPolls
	q.mu.Lock()
	group := q.waiting[:min(len(q.waiting), maxShown)]
	q.waiting = q.waiting[len(group):]
	if len(group) == 0 {
		q.waiting = nil
		q.underWay--
	}
	q.mu.Unlock()
	if len(group) > 0 {
		go func() {
			defer n.nextShows()
			n.showGroup(group)
		}()
	}
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
	status, out, err := n.ask(leader, peer.Shows, wire.MustMarshal(ids), askWait)
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
