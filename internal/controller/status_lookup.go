package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// What polls may cost the state service.
const (
	// lookupRateShare is the part of a node's share of state.rps that look-ups for polls
	// may use. The nodes' shares make the whole, so all look-ups together stay
	// below this part of state.rps, however many nodes there are.
	lookupRateShare = 0.6
	// requestsPerRead is what reading one job's state takes: the records of its
	// tasks, then its own keys.
	requestsPerRead = 2
	// minLookupBurst lets a read and a question which ids were accepted go out
	// together, also where a node's share is small.
	minLookupBurst = requestsPerRead + 2
	// batchBudgetTimeout is how long ids that may be unknown wait for the budget, so that
	// one request asks for all of them; after that they get 503.
	batchBudgetTimeout = 250 * micro.Millisecond
	// budgetCheckInterval is how often the budget is looked at meanwhile.
	budgetCheckInterval = 10 * micro.Millisecond
	// lookupTimeout is how long a poll waits for its look-up. With what the leader
	// may take (peerCallTimeout) it stays within the 2 s for which users wait.
	lookupTimeout = 1200 * micro.Millisecond
	// recentAnswerSpan is for how long a job that was read for a poll yields to jobs
	// that were not, while the budget is short. It is below the 75 s without an
	// answer after which users call a job forgotten.
	recentAnswerSpan = 60 * micro.Second
	// legacyPeerReads is how many ids of a group are read one by one where a peer of
	// the version before cannot say which were accepted.
	legacyPeerReads = 4
)

// errCallUnsupported says that a peer does not know the call.
var errCallUnsupported = errors.New("controller: call not known to the peer")

// lookupBudget bounds the store requests made for polls.
type lookupBudget struct {
	mu      sync.Mutex
	limiter *rate.Limiter // nil: no limit is known
}

// setRate gives the part of rps that this node may use.
func (b *lookupBudget) setRate(rps, rateShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rps <= 0 {
		return
	}
	perSecond := rps * rateShare * lookupRateShare
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), max(minLookupBurst, int(perSecond)))
		return
	}
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(max(minLookupBurst, int(perSecond)))
}

// admit takes requests from the budget if as many as spare are left then.
func (b *lookupBudget) admit(requests, spare int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter == nil {
		return true
	}
	return b.limiter.Tokens() >= float64(requests+spare) && b.limiter.AllowN(time.Now(), requests)
}

// charge takes a request that belongs to a look-up under way, if need be in
// advance: later look-ups wait for it.
func (b *lookupBudget) charge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter != nil {
		b.limiter.ReserveN(time.Now(), 1)
	}
}

// statusLookup is one look-up for all polls that share it. Only polls that came before
// its first read share it: an answer read earlier may be older than what another
// node has told the user, and a job accepted meanwhile would be denied. That is
// why golang.org/x/sync/singleflight, which shares calls already under way, does
// not serve here.
type statusLookup struct {
	done  chan struct{}
	reply httpapi.Reply // valid once done is closed
}

func newStatusLookup() *statusLookup { return &statusLookup{done: make(chan struct{})} }

func (u *statusLookup) finish(r httpapi.Reply) {
	u.reply = r
	close(u.done)
}

// wait is the answer for one poll.
func (u *statusLookup) wait() httpapi.Reply {
	t := time.NewTimer(lookupTimeout.Duration())
	defer t.Stop()
	select {
	case <-u.done:
		return u.reply
	case <-t.C:
		return httpapi.RetryReply(503, 1)
	}
}

// statusLookups are the look-ups for polls that the leader's memory does not answer.
type statusLookups struct {
	mu sync.Mutex
	// Jobs known to be accepted are read one by one. Of equal ids one read is
	// under way, and one look-up takes in polls until that read is over.
	readsInFlight map[string]bool
	nextReads     map[string]*statusLookup
	// answered is when each job was last read for a poll.
	lastAnswered map[string]micro.Time
	// All other ids are gathered: one request asks the store which of them were
	// accepted. One group is under way, the next one takes in polls.
	batchInFlight bool
	nextBatch     map[string]*statusLookup
}

// lookUpStatus answers a poll that the leader's memory did not answer.
func (n *Node) lookUpStatus(id string) httpapi.Reply {
	if _, accepted := n.acceptedIDs.Load(id); accepted {
		return n.joinRead(id).wait()
	}
	lookup, ok := n.joinBatch(id)
	if !ok {
		return httpapi.RetryReply(503, 1)
	}
	return lookup.wait()
}

// joinRead joins the next read of a job that was accepted.
func (n *Node) joinRead(id string) *statusLookup {
	lookups := &n.statusLookups
	lookups.mu.Lock()
	defer lookups.mu.Unlock()
	lookup := lookups.nextReads[id]
	if lookup == nil {
		lookup = newStatusLookup()
		lookups.nextReads[id] = lookup
	}
	if !lookups.readsInFlight[id] {
		lookups.readsInFlight[id] = true
		go n.runReads(id)
	}
	return lookup
}

// runReads reads a job until no poll waits for it.
func (n *Node) runReads(id string) {
	lookups := &n.statusLookups
	for {
		lookups.mu.Lock()
		lookup := lookups.nextReads[id]
		delete(lookups.nextReads, id)
		if lookup == nil {
			delete(lookups.readsInFlight, id)
			lookups.mu.Unlock()
			return
		}
		lookups.mu.Unlock()
		lookup.finish(n.readWithinBudget(id))
	}
}

// readWithinBudget reads a job if the budget allows. While the budget is short, jobs
// that were answered lately leave it to the others: drawn by chance, some would
// get no answer for too long.
func (n *Node) readWithinBudget(id string) httpapi.Reply {
	lookups, now := &n.statusLookups, n.Now()
	lookups.mu.Lock()
	answeredAt, answered := lookups.lastAnswered[id]
	lookups.mu.Unlock()
	spare := 0
	if answered && now-answeredAt < recentAnswerSpan {
		spare = requestsPerRead
	}
	if !n.lookupBudget.admit(requestsPerRead, spare) {
		return httpapi.RetryReply(503, 1)
	}
	reply := n.readAnywhere(id, store.StatusQuery)
	if reply.Status == 200 {
		lookups.mu.Lock()
		if len(lookups.lastAnswered) >= maxAcceptedIDs {
			clear(lookups.lastAnswered)
		}
		lookups.lastAnswered[id] = now
		lookups.mu.Unlock()
	}
	return reply
}

// joinBatch joins the next group of ids that may be unknown; false if it is
// full.
func (n *Node) joinBatch(id string) (*statusLookup, bool) {
	lookups := &n.statusLookups
	lookups.mu.Lock()
	defer lookups.mu.Unlock()
	lookup := lookups.nextBatch[id]
	if lookup == nil {
		if len(lookups.nextBatch) >= statestore.PreconditionsPerChange*n.Cfg.MaxTxnOps() {
			return nil, false
		}
		lookup = newStatusLookup()
		lookups.nextBatch[id] = lookup
	}
	if !lookups.batchInFlight {
		lookups.batchInFlight = true
		go n.runBatches()
	}
	return lookup, true
}

// runBatches asks for what was gathered until nothing is left.
func (n *Node) runBatches() {
	lookups := &n.statusLookups
	for {
		admitted := n.awaitBudget()
		lookups.mu.Lock()
		batch := lookups.nextBatch
		lookups.nextBatch = map[string]*statusLookup{}
		if len(batch) == 0 {
			lookups.batchInFlight = false
			lookups.mu.Unlock()
			return
		}
		lookups.mu.Unlock()
		if !admitted {
			failBatch(batch)
			continue
		}
		n.resolveBatch(batch)
	}
}

// awaitBudget waits a little until the budget has room for a group. It leaves
// room for reading a job: that many unknown ids are asked for must not keep an
// accepted job from its answer.
func (n *Node) awaitBudget() bool {
	for waited := micro.Time(0); ; waited += budgetCheckInterval {
		if n.lookupBudget.admit(1, requestsPerRead) {
			return true
		}
		if waited >= batchBudgetTimeout {
			return false
		}
		time.Sleep(budgetCheckInterval.Duration())
	}
}

func failBatch(batch map[string]*statusLookup) {
	for _, lookup := range batch {
		lookup.finish(httpapi.RetryReply(503, 1))
	}
}

// resolveBatch answers a group: 404 for ids that were never accepted, a read for the
// others.
func (n *Node) resolveBatch(batch map[string]*statusLookup) {
	ids := make([]string, 0, len(batch))
	for id := range batch {
		ids = append(ids, id)
	}
	accepted, err := n.acceptedAnywhere(ids)
	if errors.Is(err, errCallUnsupported) {
		accepted = map[string]bool{}
		for _, id := range ids[:min(len(ids), legacyPeerReads)] {
			accepted[id] = true
		}
	}
	for id, lookup := range batch {
		switch {
		case accepted[id]:
			if err == nil {
				n.rememberAccepted(id)
			}
			read := n.joinRead(id)
			go func() { lookup.finish(read.wait()) }()
		case err != nil:
			lookup.finish(httpapi.RetryReply(503, 1))
		default:
			lookup.finish(httpapi.ErrorReply(404, "no such job"))
		}
	}
}

// acceptedAnywhere asks the store, or a peer that reaches it, which jobs were
// accepted. A description is written before the job is accepted and never
// deleted, so what has none was not accepted when this was asked.
func (n *Node) acceptedAnywhere(ids []string) (map[string]bool, error) {
	storeUnreachable := n.Isolated()
	if storeUnreachable { // the store is not worth waiting for before others were asked
		if accepted, err := n.acceptedByPeers(ids); err == nil {
			return accepted, nil
		}
	}
	accepted, err := n.acceptedInStore(ids, store.StatusQuery)
	if err == nil || storeUnreachable || isRateLimited(err) {
		return accepted, err
	}
	return n.acceptedByPeers(ids)
}

// acceptedByPeers asks the other nodes, which answer within their own budgets.
func (n *Node) acceptedByPeers(ids []string) (map[string]bool, error) {
	err := error(peer.ErrUnreachable)
	body := wire.MustMarshal(ids)
	for _, node := range n.peersLeaderFirst() {
		status, reply, peerErr := n.callPeer(node, peer.AcceptedJobsBudgeted, body, peerCallTimeout)
		var found []string
		switch {
		case peerErr != nil:
		case status == 404:
			err = errCallUnsupported
		case status == 200 && wire.Unmarshal(reply, &found) == nil:
			accepted := map[string]bool{}
			for _, id := range found {
				accepted[id] = true
			}
			return accepted, nil
		}
	}
	return nil, err
}

// handleAccepted tells another node which of the jobs that it is polled for were
// accepted.
func (n *Node) handleAccepted(body []byte) (int, []byte) {
	var ids []string
	if wire.Unmarshal(body, &ids) != nil || len(ids) > statestore.PreconditionsPerChange*n.Cfg.MaxTxnOps() {
		return 400, nil
	}
	if !n.lookupBudget.admit(1, requestsPerRead) {
		return 503, nil
	}
	accepted, err := n.acceptedInStore(ids, store.StatusQuery)
	if err != nil {
		return 503, nil
	}
	found := []string{}
	for _, id := range ids {
		if accepted[id] {
			found = append(found, id)
		}
	}
	return 200, wire.MustMarshal(found)
}

// acceptedInStore asks the store which jobs were accepted: one request.
func (n *Node) acceptedInStore(ids []string, class store.Class) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	specKeys := make([]string, len(ids))
	for i, id := range ids {
		specKeys[i] = keys.JobSpec(id)
	}
	stored, err := n.Store.ExistingKeys(ctx, class, specKeys)
	if err != nil {
		return nil, err
	}
	accepted := map[string]bool{}
	for i, id := range ids {
		accepted[id] = stored[specKeys[i]]
	}
	return accepted, nil
}

// readAnywhere reads a job's state from the store, or has a peer read it that
// reaches the store. What is over the budget is not handed on: the other nodes'
// budgets are for their own polls.
func (n *Node) readAnywhere(id string, class store.Class) httpapi.Reply {
	storeUnreachable := n.Isolated()
	if storeUnreachable { // the store is not worth waiting for before others were asked
		if reply, ok := n.readByPeers(id); ok {
			return reply
		}
	}
	reply, err := n.readStatus(id, class)
	if err == nil {
		return reply
	}
	if !storeUnreachable && !(class == store.StatusQuery && isRateLimited(err)) {
		if reply, ok := n.readByPeers(id); ok {
			return reply
		}
	}
	return httpapi.RetryReply(503, 1)
}

// isRateLimited reports whether a request was refused for its rate, by this node or
// by the store.
func isRateLimited(err error) bool {
	return errors.Is(err, store.ErrBudgetExhausted) || errors.Is(err, store.ErrRateLimited)
}
