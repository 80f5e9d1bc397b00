// Package jobapi implements the job operations that every node offers to users, whether it leads or not: it accepts
// submissions, answers status queries and forwards cancellations to the leader.
//
// The package owns the cache of final statuses, the cache of the IDs of accepted jobs, the status queries that wait
// for the leader or the store, and the budget of store requests for status queries. Each has its own lock, so any
// goroutine may call any method. The leader's state is accessed through the interface Leader only, whose methods send
// events to the leader's loop.
//
// Requests carry no context: an operation that was started for a user, or for a peer on a user's behalf, runs to its
// end within its own timeouts, even if the client disconnects.
package jobapi

import (
	"context"
	"log/slog"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Timeouts of calls to peers.
const (
	// PeerCallTimeout is the timeout of calls that can be replaced by a call to another node or by a store request.
	PeerCallTimeout = 500 * micro.Millisecond
	// relayTimeout is the timeout of calls that only the leader can answer.
	relayTimeout = 900 * micro.Millisecond
)

// How long the leader waits until the final state of a cancelled job is stored, before it answers 503. The answer to a
// node that forwards a user's request must arrive before that node's call times out: when the leader answered later
// than that, the node backed off from it for 2 s and did not send it submissions either.
const (
	// cancelTimeout applies to requests of the leader's own users.
	cancelTimeout = 1500 * micro.Millisecond
	// relayedCancelTimeout applies to requests that another node forwards.
	relayedCancelTimeout = relayTimeout - 200*micro.Millisecond
)

// storeReadTimeout is the timeout of the store reads of one lookup.
const storeReadTimeout = 900 * micro.Millisecond

// Leader gives access to the leader's loop while this node leads.
type Leader interface {
	// Statuses returns the statuses of jobs from memory. Jobs whose status it cannot give are left out; they may
	// exist nevertheless.
	Statuses(ids []string) []wire.JobStatus
	// KnowsJob reports whether the job is in the leader's state.
	KnowsJob(id string) bool
	// PendingTasks returns the number of pending tasks as of the leader's last count.
	PendingTasks() int
	// AddJob adds an accepted job to the leader's state.
	AddJob(job wire.Job)
	// CancelJob cancels a job and waits until its final state is stored, at most for the duration within. The
	// reply is 404 if the job is not in memory, and 503 if its final state was not stored in time.
	CancelJob(id string, within micro.Time) httpapi.Reply
}

// Leadership tells which node leads.
type Leadership interface {
	// ActiveLeader returns the leader that runs on this node while its lease is valid, else nil.
	ActiveLeader() Leader
	// LeaderName returns the name of the node that leads, as known to this node, or "" if none is known.
	LeaderName() string
}

// Peers calls the other nodes.
type Peers interface {
	// Call makes a call of package peer and returns the status and body of the response. If an earlier call to the
	// node got no response and the backoff from it lasts, Call returns peer.ErrBackingOff without calling it.
	Call(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error)
	// Retry is like Call, but also calls a node during the backoff from it. Only one such call is made at a time:
	// while another one is in progress, Retry returns peer.ErrBackingOff.
	Retry(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error)
	// CallRegardless is like Call, but also calls a node during the backoff from it. A call without a response
	// starts no backoff.
	CallRegardless(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error)
	// LeaderFirst returns the names of the other nodes, the leader first if it is known and not this node.
	LeaderFirst() []string
}

// Catalog holds the machine types that the cloud offers.
type Catalog interface {
	// Load returns the catalog as last read, or nil if it has not been read yet.
	Load() *wire.Catalog
}

// Health tells whether this node can reach the services that it depends on.
type Health interface {
	// Isolated reports whether the store was unreachable at the last probe.
	Isolated() bool
}

// FormatGate tells which formats of stored records are in use.
type FormatGate interface {
	// FormatOpen reports whether the newer record formats are in use.
	FormatOpen() bool
}

// StoredJob holds the content of a job's own keys in the store.
type StoredJob struct {
	Spec     wire.Job
	Accepted bool // the job has a stored spec
	// DependenciesComplete is set if Spec holds all dependencies of the job. If some are missing, the job must not be
	// treated as if it waited only for the others.
	DependenciesComplete bool
	FinalStatus          cluster.FinalStatusRecord
	Ended                bool // the job has a stored final status
}

// JobReader reads jobs from the store.
type JobReader interface {
	// ReadJob reads a job's own keys. For a job that was never accepted, it returns a StoredJob with Accepted and
	// Ended unset and no error.
	ReadJob(class store.Class, id string) (StoredJob, error)
}

// Dependencies holds the parts of a node that the service uses.
type Dependencies struct {
	Store      store.Store
	Jobs       JobReader
	Leadership Leadership
	Peers      Peers
	Catalog    Catalog
	Health     Health
	FormatGate FormatGate
	Log        *slog.Logger
	Now        func() micro.Time // the monotonic clock
	Wall       func() micro.Time // the wall clock
}

// Service serves users' requests about jobs, and peers' requests on behalf of their users. Any goroutine may call its
// methods.
type Service struct {
	cfg        *config.Config
	store      store.Store
	leadership Leadership
	peers      Peers
	catalog    Catalog
	health     Health
	formatGate FormatGate
	log        *slog.Logger
	wall       func() micro.Time // the wall clock

	finalStatuses *FinalStatusCache
	acceptedIDs   *acceptedIDs
	budget        *lookupBudget
	reader        *statusReader
	lookups       *statusLookups
	batcher       *StatusBatcher
}

// New returns the service of a node. Lookups for status queries are not limited until SetBudgetFraction is called.
func New(cfg *config.Config, deps Dependencies) *Service {
	s := &Service{
		cfg:           cfg,
		store:         deps.Store,
		leadership:    deps.Leadership,
		peers:         deps.Peers,
		catalog:       deps.Catalog,
		health:        deps.Health,
		formatGate:    deps.FormatGate,
		log:           deps.Log,
		wall:          deps.Wall,
		finalStatuses: newFinalStatusCache(),
		acceptedIDs:   &acceptedIDs{},
		budget:        &lookupBudget{},
		batcher:       NewStatusBatcher(deps.Peers, deps.Now),
	}
	s.reader = &statusReader{
		store: deps.Store, jobs: deps.Jobs, finalStatuses: s.finalStatuses, budget: s.budget, now: deps.Now,
		log: deps.Log,
	}
	s.lookups = newStatusLookups(s, s.acceptedIDs, s.budget, deps.Now, s.maxIDsPerRequest)
	return s
}

// FinalStatuses returns the cache of final statuses, which the leader fills as well.
func (s *Service) FinalStatuses() *FinalStatusCache { return s.finalStatuses }

// RememberAccepted records that a job was accepted, so that status queries for it need not ask the store whether it
// was.
func (s *Service) RememberAccepted(id string) { s.acceptedIDs.add(id) }

// ReadStatus returns the status of a job as read from the store, not from memory. It returns an error if the store
// gave no answer or none that is authoritative.
func (s *Service) ReadStatus(id string, class store.Class) (httpapi.Reply, error) {
	return s.reader.read(id, class)
}

// SetBudgetFraction sets the fraction of the store's request rate limit that this node may use, 0 to 1. Lookups for
// status queries get LookupRateShare of that.
func (s *Service) SetBudgetFraction(fraction float64) {
	s.budget.setRate(s.cfg.Facts.State.RPS, fraction)
}

// otherLeader returns the name of the node that leads, or false if it is not known or is this node.
func (s *Service) otherLeader() (string, bool) {
	leader := s.leadership.LeaderName()
	return leader, leader != "" && leader != s.cfg.Node
}

// maxValueBytes returns the maximum size of a value in the store, in bytes.
func (s *Service) maxValueBytes() int {
	current, safe := s.cfg.MaxValueBytes()
	if s.formatGate.FormatOpen() {
		return safe
	}
	return current
}

// maxIDsPerRequest returns the maximum number of jobs that one store request can look up.
func (s *Service) maxIDsPerRequest() int {
	return statestore.PreconditionsPerChange * s.cfg.MaxTxnOps()
}
