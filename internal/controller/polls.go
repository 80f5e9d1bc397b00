package controller

import (
	"context"
	"errors"
	"notchmux.dev/notchmux/internal/writer"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// What polls may cost the state service.
const (
	// pollShare is the part of a node's share of state.rps that look-ups for polls
	// may use. The nodes' shares make the whole, so all look-ups together stay
	// below this part of state.rps, however many nodes there are.
	pollShare = 0.6
	// readRequests is what reading one job's state takes: the records of its
	// tasks, then its own keys.
	readRequests = 2
	// minPollBurst lets a read and a question which ids were accepted go out
	// together, also where a node's share is small.
	minPollBurst = readRequests + 2
	// gatherWait is how long ids that may be unknown wait for the budget, so that
	// one request asks for all of them; after that they get 503.
	gatherWait = 250 * micro.Millisecond
	// gatherLook is how often the budget is looked at meanwhile.
	gatherLook = 10 * micro.Millisecond
	// lookUpWait is how long a poll waits for its look-up. With what the leader
	// may take (askWait) it stays within the 2 s for which users wait.
	lookUpWait = 1200 * micro.Millisecond
	// answeredLately is for how long a job that was read for a poll yields to jobs
	// that were not, while the budget is short. It is below the 75 s without an
	// answer after which users call a job forgotten.
	answeredLately = 60 * micro.Second
	// oldPeerReads is how many ids of a group are read one by one where a peer of
	// the version before cannot say which were accepted.
	oldPeerReads = 4
)

// errOldPeer says that a peer does not know the call.
var errOldPeer = errors.New("controller: call not known to the peer")

// pollBudget bounds the store requests made for polls.
type pollBudget struct {
	mu  sync.Mutex
	lim *rate.Limiter // nil: no limit is known
}

// set gives the part of rps that this node may use.
func (b *pollBudget) set(rps, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rps <= 0 {
		return
	}
	perSecond := rps * share * pollShare
	if b.lim == nil {
		b.lim = rate.NewLimiter(rate.Limit(perSecond), max(minPollBurst, int(perSecond)))
		return
	}
	b.lim.SetLimit(rate.Limit(perSecond))
	b.lim.SetBurst(max(minPollBurst, int(perSecond)))
}

// admit takes requests from the budget if as many as spare are left then.
func (b *pollBudget) admit(requests, spare int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lim == nil {
		return true
	}
	return b.lim.Tokens() >= float64(requests+spare) && b.lim.AllowN(time.Now(), requests)
}

// charge takes a request that belongs to a look-up under way, if need be in
// advance: later look-ups wait for it.
func (b *pollBudget) charge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lim != nil {
		b.lim.ReserveN(time.Now(), 1)
	}
}

// lookUp is one look-up for all polls that share it. Only polls that came before
// its first read share it: an answer read earlier may be older than what another
// node has told the user, and a job accepted meanwhile would be denied. That is
// why golang.org/x/sync/singleflight, which shares calls already under way, does
// not serve here.
type lookUp struct {
	done  chan struct{}
	reply front.Reply // valid once done is closed
}

func newLookUp() *lookUp { return &lookUp{done: make(chan struct{})} }

func (u *lookUp) finish(r front.Reply) {
	u.reply = r
	close(u.done)
}

// wait is the answer for one poll.
func (u *lookUp) wait() front.Reply {
	t := time.NewTimer(lookUpWait.Std())
	defer t.Stop()
	select {
	case <-u.done:
		return u.reply
	case <-t.C:
		return front.Later(503, 1)
	}
}

// lookUps are the look-ups for polls that the leader's memory does not answer.
type lookUps struct {
	mu sync.Mutex
	// Jobs known to be accepted are read one by one. Of equal ids one read is
	// under way, and one look-up takes in polls until that read is over.
	reading map[string]bool
	waiting map[string]*lookUp
	// answered is when each job was last read for a poll.
	answered map[string]micro.Time
	// All other ids are gathered: one request asks the store which of them were
	// accepted. One group is under way, the next one takes in polls.
	asking   bool
	gathered map[string]*lookUp
}

// lookUpJob answers a poll that the leader's memory did not answer.
func (n *Node) lookUpJob(id string) front.Reply {
	if _, accepted := n.seen.Load(id); accepted {
		return n.lookUpAccepted(id).wait()
	}
	u, ok := n.lookUpDoubtful(id)
	if !ok {
		return front.Later(503, 1)
	}
	return u.wait()
}

// lookUpAccepted joins the next read of a job that was accepted.
func (n *Node) lookUpAccepted(id string) *lookUp {
	q := &n.lookUps
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.waiting[id]
	if u == nil {
		u = newLookUp()
		q.waiting[id] = u
	}
	if !q.reading[id] {
		q.reading[id] = true
		go n.readInTurn(id)
	}
	return u
}

// readInTurn reads a job until no poll waits for it.
func (n *Node) readInTurn(id string) {
	q := &n.lookUps
	for {
		q.mu.Lock()
		u := q.waiting[id]
		delete(q.waiting, id)
		if u == nil {
			delete(q.reading, id)
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		u.finish(n.readForPoll(id))
	}
}

// readForPoll reads a job if the budget allows. While the budget is short, jobs
// that were answered lately leave it to the others: drawn by chance, some would
// get no answer for too long.
func (n *Node) readForPoll(id string) front.Reply {
	q, now := &n.lookUps, n.Now()
	q.mu.Lock()
	at, answered := q.answered[id]
	q.mu.Unlock()
	spare := 0
	if answered && now-at < answeredLately {
		spare = readRequests
	}
	if !n.pollBudget.admit(readRequests, spare) {
		return front.Later(503, 1)
	}
	r := n.readAnywhere(id, store.Poll)
	if r.Status == 200 {
		q.mu.Lock()
		if len(q.answered) >= maxSeen {
			clear(q.answered)
		}
		q.answered[id] = now
		q.mu.Unlock()
	}
	return r
}

// lookUpDoubtful joins the next group of ids that may be unknown; false if it is
// full.
func (n *Node) lookUpDoubtful(id string) (*lookUp, bool) {
	q := &n.lookUps
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.gathered[id]
	if u == nil {
		if len(q.gathered) >= writer.GuardsPerChange*n.Cfg.TxnOps() {
			return nil, false
		}
		u = newLookUp()
		q.gathered[id] = u
	}
	if !q.asking {
		q.asking = true
		go n.askInGroups()
	}
	return u, true
}

// askInGroups asks for what was gathered until nothing is left.
func (n *Node) askInGroups() {
	q := &n.lookUps
	for {
		admitted := n.awaitBudget()
		q.mu.Lock()
		group := q.gathered
		q.gathered = map[string]*lookUp{}
		if len(group) == 0 {
			q.asking = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		if !admitted {
			failGroup(group)
			continue
		}
		n.askGroup(group)
	}
}

// awaitBudget waits a little until the budget has room for a group. It leaves
// room for reading a job: that many unknown ids are asked for must not keep an
// accepted job from its answer.
func (n *Node) awaitBudget() bool {
	for waited := micro.Time(0); ; waited += gatherLook {
		if n.pollBudget.admit(1, readRequests) {
			return true
		}
		if waited >= gatherWait {
			return false
		}
		time.Sleep(gatherLook.Std())
	}
}

func failGroup(group map[string]*lookUp) {
	for _, u := range group {
		u.finish(front.Later(503, 1))
	}
}

// askGroup answers a group: 404 for ids that were never accepted, a read for the
// others.
func (n *Node) askGroup(group map[string]*lookUp) {
	ids := make([]string, 0, len(group))
	for id := range group {
		ids = append(ids, id)
	}
	there, err := n.acceptedAnywhere(ids)
	if errors.Is(err, errOldPeer) {
		there = map[string]bool{}
		for _, id := range ids[:min(len(ids), oldPeerReads)] {
			there[id] = true
		}
	}
	for id, u := range group {
		switch {
		case there[id]:
			if err == nil {
				n.saw(id)
			}
			read := n.lookUpAccepted(id)
			go func() { u.finish(read.wait()) }()
		case err != nil:
			u.finish(front.Later(503, 1))
		default:
			u.finish(front.Fail(404, "no such job"))
		}
	}
}

// acceptedAnywhere asks the store, or a peer that reaches it, which jobs were
// accepted. A description is written before the job is accepted and never
// deleted, so what has none was not accepted when this was asked.
func (n *Node) acceptedAnywhere(ids []string) (map[string]bool, error) {
	cut := n.Cut()
	if cut { // the store is not worth waiting for before others were asked
		if there, err := n.acceptedElsewhere(ids); err == nil {
			return there, nil
		}
	}
	there, err := n.existing(ids, store.Poll)
	if err == nil || cut || overBudget(err) {
		return there, err
	}
	return n.acceptedElsewhere(ids)
}

// acceptedElsewhere asks the other nodes, which answer within their own budgets.
func (n *Node) acceptedElsewhere(ids []string) (map[string]bool, error) {
	err := error(peer.ErrUnreachable)
	body := wire.MustMarshal(ids)
	for _, node := range n.leaderFirst() {
		status, out, perr := n.ask(node, peer.Accepted, body, askWait)
		var got []string
		switch {
		case perr != nil:
		case status == 404:
			err = errOldPeer
		case status == 200 && wire.Unmarshal(out, &got) == nil:
			there := map[string]bool{}
			for _, id := range got {
				there[id] = true
			}
			return there, nil
		}
	}
	return nil, err
}

// answerAccepted tells another node which of the jobs that it is polled for were
// accepted.
func (n *Node) answerAccepted(body []byte) (int, []byte) {
	var ids []string
	if wire.Unmarshal(body, &ids) != nil || len(ids) > writer.GuardsPerChange*n.Cfg.TxnOps() {
		return 400, nil
	}
	if !n.pollBudget.admit(1, readRequests) {
		return 503, nil
	}
	there, err := n.existing(ids, store.Poll)
	if err != nil {
		return 503, nil
	}
	got := []string{}
	for _, id := range ids {
		if there[id] {
			got = append(got, id)
		}
	}
	return 200, wire.MustMarshal(got)
}

// existing asks the store which jobs were accepted: one request.
func (n *Node) existing(ids []string, class store.Class) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = specKey(id)
	}
	there, err := n.Store.Existing(ctx, class, keys)
	if err != nil {
		return nil, err
	}
	out := map[string]bool{}
	for i, id := range ids {
		out[id] = there[keys[i]]
	}
	return out, nil
}

// readAnywhere reads a job's state from the store, or has a peer read it that
// reaches the store. What is over the budget is not handed on: the other nodes'
// budgets are for their own polls.
func (n *Node) readAnywhere(id string, class store.Class) front.Reply {
	cut := n.Cut()
	if cut { // the store is not worth waiting for before others were asked
		if r, ok := n.readElsewhere(id); ok {
			return r
		}
	}
	r, err := n.read(id, class)
	if err == nil {
		return r
	}
	if !cut && !(class == store.Poll && overBudget(err)) {
		if r, ok := n.readElsewhere(id); ok {
			return r
		}
	}
	return front.Later(503, 1)
}

// overBudget reports whether a request was refused for its rate, by this node or
// by the store.
func overBudget(err error) bool {
	return errors.Is(err, store.ErrBudget) || errors.Is(err, store.ErrBusy)
}
