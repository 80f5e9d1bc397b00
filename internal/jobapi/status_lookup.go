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
	// batchBudgetTimeout is how long a batch of IDs that may be unknown waits for the budget. The IDs that arrive
	// meanwhile are looked up by the same request. After the timeout, the queries get 503.
	batchBudgetTimeout = 250 * micro.Millisecond
	// budgetCheckInterval is the interval of the budget checks during that wait.
	budgetCheckInterval = 10 * micro.Millisecond
	// lookupTimeout is how long a query waits for its lookup. Together with the preceding call to the leader
	// (PeerCallTimeout), it stays within the 2 s for which users wait.
	lookupTimeout = 1200 * micro.Millisecond
	// recentAnswerWindow is for how long after a read for a query a job has lower priority than jobs that were not
	// read, while the budget is short. It is below the 75 s without an answer after which users consider a job lost.
	recentAnswerWindow = 60 * micro.Second
	// legacyPeerReads is how many IDs of a batch are read one by one if a peer of the previous release cannot tell
	// which were accepted.
	legacyPeerReads = 4
	// maxLastAnswered is the maximum number of jobs of which the time of the last read is kept.
	maxLastAnswered = maxAcceptedIDs
)

// errCallUnsupported means that a peer does not support the call.
var errCallUnsupported = errors.New("jobapi: peer does not support the call")

// statusLookup is a lookup that is shared by all queries that arrived before its first read. A query that arrives
// later must not share it: what was read may be older than the status that another node has told the user, and a job
// that was accepted meanwhile would be reported as not existing. For this reason golang.org/x/sync/singleflight, which
// shares calls in progress, cannot be used here.
type statusLookup struct {
	done  chan struct{}
	reply httpapi.Reply // valid once done is closed
}

// newStatusLookup returns a lookup that is not finished.
func newStatusLookup() *statusLookup { return &statusLookup{done: make(chan struct{})} }

// finish sets the reply to all queries that share the lookup. It must be called once.
func (s *statusLookup) finish(reply httpapi.Reply) {
	s.reply = reply
	close(s.done)
}

// wait returns the reply to one query: that of the lookup, or 503 if it takes longer than lookupTimeout.
func (s *statusLookup) wait() httpapi.Reply {
	timer := time.NewTimer(lookupTimeout.Duration())
	defer timer.Stop()
	select {
	case <-s.done:
		return s.reply
	case <-timer.C:
		return tryAgain()
	}
}

// lookupSource gives lookups access to stored jobs, through the store or through peers.
type lookupSource interface {
	// readAnywhere returns the status of a job, 404, or a reply that asks the client to retry.
	readAnywhere(id string, class store.Class) httpapi.Reply
	// acceptedAnywhere returns which of the jobs were accepted.
	acceptedAnywhere(ids []string) (map[string]bool, error)
}

// statusLookups manages the lookups for queries that are not answered from the leader's memory. Any goroutine may call
// lookUp.
type statusLookups struct {
	source       lookupSource
	acceptedIDs  *acceptedIDs
	budget       *lookupBudget
	now          func() micro.Time
	maxBatchSize func() int // returns the maximum number of IDs per store request

	mu sync.Mutex
	// Jobs known to be accepted are read one by one. For each ID at most one read is in progress; queries that arrive
	// during it share the next lookup.
	readsInFlight map[string]bool
	nextReads     map[string]*statusLookup
	// lastAnswered holds the time at which each job was last read for a query.
	lastAnswered map[string]micro.Time
	// All other IDs are batched: one request asks the store which of them were accepted. At most one batch is in
	// progress; queries that arrive during it join the next one.
	batchInFlight bool
	nextBatch     map[string]*statusLookup
}

// newStatusLookups returns a statusLookups without lookups.
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

// lookUp answers a query that the leader's memory did not answer. The reply is 503 if the lookup takes longer than
// lookupTimeout, the budget does not allow it, or the next batch is full.
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

// joinRead returns the lookup of the next read of an accepted job, and starts reading if no read is in progress.
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

// runReads reads a job repeatedly until no query waits for it.
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

// readWithinBudget reads a job if the budget allows it, and else returns 503. While the budget is short, jobs that were
// answered recently leave it to the others: if chance decided, some jobs would get no answer for too long.
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

// answeredRecently reports whether the job was read for a query within recentAnswerWindow.
func (l *statusLookups) answeredRecently(id string, now micro.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	answeredAt, answered := l.lastAnswered[id]
	return answered && now-answeredAt < recentAnswerWindow
}

// recordAnswered records that the job was read for a query. If too many jobs are recorded, all others are dropped.
func (l *statusLookups) recordAnswered(id string, now micro.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lastAnswered) >= maxLastAnswered {
		clear(l.lastAnswered)
	}
	l.lastAnswered[id] = now
}

// joinBatch adds an ID that may be unknown to the next batch and returns its lookup, or false if the batch is full. It
// starts the processing of batches if none is in progress.
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

// runBatches processes batches until no query waits for one.
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

// takeBatch returns the IDs of the next batch. If there are none, it returns nil and no batch is in progress any more.
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

// awaitBudget waits until the budget allows the request of a batch, at most for batchBudgetTimeout, and reports whether
// it does. It leaves enough of the budget for reading one job: many queries for unknown IDs must not prevent an answer
// for an accepted job.
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

// failBatch answers all queries of a batch with 503.
func failBatch(batch map[string]*statusLookup) {
	for _, lookup := range batch {
		lookup.finish(tryAgain())
	}
}

// resolveBatch answers the queries of a batch: with 404 for IDs that were never accepted, and with a read for the
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

// acceptedAnywhere asks the store, or a peer that reaches it, which of the jobs were accepted. A job's spec is written
// before the job is accepted and is never deleted, so a job without a spec was not accepted when the store was asked.
func (s *Service) acceptedAnywhere(ids []string) (map[string]bool, error) {
	storeUnreachable := s.health.Isolated()
	if storeUnreachable { // ask the peers first rather than wait for the store to time out
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

// acceptedByPeers asks the other nodes which of the jobs were accepted. They answer within their own budgets.
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
