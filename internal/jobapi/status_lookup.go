package jobapi

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// batchBudgetTimeout is how long IDs that may be unknown wait for the budget, so that
	// one request asks for all of them; after that they get 503.
	batchBudgetTimeout = 250 * micro.Millisecond
	// budgetCheckInterval is how often the budget is looked at meanwhile.
	budgetCheckInterval = 10 * micro.Millisecond
	// lookupTimeout is how long a query waits for its look-up. With what the leader
	// may take (PeerCallTimeout) it stays within the 2 s for which users wait.
	lookupTimeout = 1200 * micro.Millisecond
	// recentAnswerWindow is for how long a job that was read for a query yields to jobs
	// that were not, while the budget is short. It is below the 75 s without an
	// answer after which users call a job forgotten.
	recentAnswerWindow = 60 * micro.Second
	// legacyPeerReads is how many IDs of a batch are read one by one where a peer of
	// the version before cannot say which were accepted.
	legacyPeerReads = 4
	// maxLastAnswered bounds the jobs of which it is known when they were last read.
	maxLastAnswered = maxAcceptedIDs
)

// errCallUnsupported says that a peer does not know the call.
var errCallUnsupported = errors.New("jobapi: call not known to the peer")

// statusLookup is one look-up for all queries that share it. Only queries that came before
// its first read share it: an answer read earlier may be older than what another
// node has told the user, and a job accepted meanwhile would be denied. That is
// why golang.org/x/sync/singleflight, which shares calls already under way, does
// not serve here.
type statusLookup struct {
	done  chan struct{}
	reply httpapi.Reply // valid once done is closed
}

func newStatusLookup() *statusLookup { return &statusLookup{done: make(chan struct{})} }

// finish gives all queries that share the look-up their answer.
func (u *statusLookup) finish(reply httpapi.Reply) {
	u.reply = reply
	close(u.done)
}

// wait is the answer for one query.
func (u *statusLookup) wait() httpapi.Reply {
	timer := time.NewTimer(lookupTimeout.Duration())
	defer timer.Stop()
	select {
	case <-u.done:
		return u.reply
	case <-timer.C:
		return tryAgain()
	}
}

// lookupSource is where look-ups find jobs.
type lookupSource interface {
	// readAnywhere reads a job's status.
	readAnywhere(id string, class store.Class) httpapi.Reply
	// acceptedAnywhere says which jobs were accepted.
	acceptedAnywhere(ids []string) (map[string]bool, error)
}

// statusLookups are the look-ups for queries that the leader's memory does not answer.
type statusLookups struct {
	source       lookupSource
	acceptedIDs  *acceptedIDs
	budget       *lookupBudget
	now          func() micro.Time
	maxBatchSize func() int // how many IDs one request asks for

	mu sync.Mutex
	// Jobs known to be accepted are read one by one. Of equal IDs one read is
	// under way, and one look-up takes in queries until that read is over.
	readsInFlight map[string]bool
	nextReads     map[string]*statusLookup
	// lastAnswered is when each job was last read for a query.
	lastAnswered map[string]micro.Time
	// All other IDs are gathered: one request asks the store which of them were
	// accepted. One batch is under way, the next one takes in queries.
	batchInFlight bool
	nextBatch     map[string]*statusLookup
}

func newStatusLookups(
	source lookupSource, accepted *acceptedIDs, budget *lookupBudget, now func() micro.Time, maxBatchSize func() int,
) *statusLookups {
	return &statusLookups{
		source:        source,
		acceptedIDs:   accepted,
		budget:        budget,
		now:           now,
		maxBatchSize:  maxBatchSize,
		readsInFlight: map[string]bool{},
		nextReads:     map[string]*statusLookup{},
		lastAnswered:  map[string]micro.Time{},
		nextBatch:     map[string]*statusLookup{},
	}
}

// lookUp answers a query that the leader's memory did not answer.
func (l *statusLookups) lookUp(id string) httpapi.Reply {
	if l.acceptedIDs.contains(id) {
		return l.joinRead(id).wait()
	}
	lookup, ok := l.joinBatch(id)
	if !ok {
		return tryAgain()
	}
	return lookup.wait()
}

// joinRead joins the next read of a job that was accepted.
func (l *statusLookups) joinRead(id string) *statusLookup {
	l.mu.Lock()
	defer l.mu.Unlock()
	lookup := l.nextReads[id]
	if lookup == nil {
		lookup = newStatusLookup()
		l.nextReads[id] = lookup
	}
	if !l.readsInFlight[id] {
		l.readsInFlight[id] = true
		go l.runReads(id)
	}
	return lookup
}

// runReads reads a job until no query waits for it.
func (l *statusLookups) runReads(id string) {
	for {
		l.mu.Lock()
		lookup := l.nextReads[id]
		delete(l.nextReads, id)
		if lookup == nil {
			delete(l.readsInFlight, id)
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		lookup.finish(l.readWithinBudget(id))
	}
}

// readWithinBudget reads a job if the budget allows. While the budget is short, jobs
// that were answered lately leave it to the others: drawn by chance, some would
// get no answer for too long.
func (l *statusLookups) readWithinBudget(id string) httpapi.Reply {
	now := l.now()
	spare := 0
	if l.answeredRecently(id, now) {
		spare = RequestsPerRead
	}
	if !l.budget.admit(RequestsPerRead, spare) {
		return tryAgain()
	}
	reply := l.source.readAnywhere(id, store.StatusQuery)
	if reply.Status == http.StatusOK {
		l.recordAnswered(id, now)
	}
	return reply
}

func (l *statusLookups) answeredRecently(id string, now micro.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	answeredAt, answered := l.lastAnswered[id]
	return answered && now-answeredAt < recentAnswerWindow
}

func (l *statusLookups) recordAnswered(id string, now micro.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lastAnswered) >= maxLastAnswered {
		clear(l.lastAnswered)
	}
	l.lastAnswered[id] = now
}

// joinBatch joins the next batch of IDs that may be unknown; false if it is
// full.
func (l *statusLookups) joinBatch(id string) (*statusLookup, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lookup := l.nextBatch[id]
	if lookup == nil {
		if len(l.nextBatch) >= l.maxBatchSize() {
			return nil, false
		}
		lookup = newStatusLookup()
		l.nextBatch[id] = lookup
	}
	if !l.batchInFlight {
		l.batchInFlight = true
		go l.runBatches()
	}
	return lookup, true
}

// runBatches asks for what was gathered until nothing is left.
func (l *statusLookups) runBatches() {
	for {
		admitted := l.awaitBudget()
		batch := l.takeBatch()
		switch {
		case batch == nil:
			return
		case admitted:
			l.resolveBatch(batch)
		default:
			failBatch(batch)
		}
	}
}

// takeBatch gives what was gathered; nil: nothing was, and no batch is under way any more.
func (l *statusLookups) takeBatch() map[string]*statusLookup {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.nextBatch
	l.nextBatch = map[string]*statusLookup{}
	if len(batch) == 0 {
		l.batchInFlight = false
		return nil
	}
	return batch
}

// awaitBudget waits a little until the budget has capacity for a batch. It leaves
// capacity for reading a job: that many unknown IDs are asked for must not keep an
// accepted job from its answer.
func (l *statusLookups) awaitBudget() bool {
	for waited := micro.Time(0); ; waited += budgetCheckInterval {
		if l.budget.admit(1, RequestsPerRead) {
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
		lookup.finish(tryAgain())
	}
}

// resolveBatch answers a batch: 404 for IDs that were never accepted, a read for the
// others.
func (l *statusLookups) resolveBatch(batch map[string]*statusLookup) {
	ids := make([]string, 0, len(batch))
	for id := range batch {
		ids = append(ids, id)
	}
	accepted, err := l.source.acceptedAnywhere(ids)
	if errors.Is(err, errCallUnsupported) {
		accepted = setOf(ids[:min(len(ids), legacyPeerReads)])
	}
	for id, lookup := range batch {
		switch {
		case accepted[id]:
			if err == nil {
				l.acceptedIDs.add(id)
			}
			read := l.joinRead(id)
			go func() { lookup.finish(read.wait()) }()
		case err != nil:
			lookup.finish(tryAgain())
		default:
			lookup.finish(noSuchJob())
		}
	}
}

// acceptedAnywhere asks the store, or a peer that reaches it, which jobs were
// accepted. A description is written before the job is accepted and never
// deleted, so what has none was not accepted when this was asked.
func (s *Service) acceptedAnywhere(ids []string) (map[string]bool, error) {
	storeUnreachable := s.health.Isolated()
	if storeUnreachable { // the store is not worth waiting for before others were asked
		if accepted, err := s.acceptedByPeers(ids); err == nil {
			return accepted, nil
		}
	}
	accepted, err := s.acceptedInStore(ids, store.StatusQuery)
	if err == nil || storeUnreachable || isRateLimited(err) {
		return accepted, err
	}
	return s.acceptedByPeers(ids)
}

// acceptedByPeers asks the other nodes, which answer within their own budgets.
func (s *Service) acceptedByPeers(ids []string) (map[string]bool, error) {
	err := peer.ErrUnreachable
	var found []string
	answered := s.askPeers(peer.AcceptedJobsBudgeted, wire.MustMarshal(ids), func(status int, reply []byte) bool {
		if status == http.StatusNotFound {
			err = errCallUnsupported
		}
		return status == http.StatusOK && wire.Unmarshal(reply, &found) == nil
	})
	if !answered {
		return nil, err
	}
	return setOf(found), nil
}
