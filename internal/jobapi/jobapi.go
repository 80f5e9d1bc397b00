// Package jobapi is what any node does for users: it takes submissions, answers status
// queries and passes on cancellations, whichever node leads.
//
// It owns the cache of final statuses, the IDs of jobs known to have been accepted, the
// status queries that wait for the leader or for the store, and the budget of requests that
// the look-ups of queries may cost the store. All of it is guarded by locks of its own: any
// goroutine may call any method. The leader's state is reached by the interface Leader alone,
// whose calls hand the leader's loop an event.
//
// Requests carry no context: what was begun for a user, or for a peer on a user's behalf, is
// brought to its end within bounds of its own also when the one who asked has gone.
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

// How long a node waits for a peer before it helps itself.
const (
	// PeerCallTimeout is for calls of which another node, or the store, may take the place.
	PeerCallTimeout = 500 * micro.Millisecond
	// relayTimeout is for calls that only the leader can answer.
	relayTimeout = 900 * micro.Millisecond
)

// How long the leader waits for the end of a cancelled job before it answers that it is not
// certain yet. A node that asks on behalf of its user must have that answer in time: the leader
// once held it for longer than the caller waited, and was left alone for two seconds by that
// node, submissions included.
const (
	cancelTimeout        = 1500 * micro.Millisecond
	relayedCancelTimeout = relayTimeout - 200*micro.Millisecond
)

// storeReadTimeout is how long the store may take over the reads that answer one question.
const storeReadTimeout = 900 * micro.Millisecond

// Leader is the leader's loop as this node reaches it while it leads.
type Leader interface {
	// Statuses answers status queries from memory. Jobs that it does not answer for are
	// left out, which is no reason to deny them.
	Statuses(ids []string) []wire.JobStatus
	// KnowsJob reports whether the leader has a job in its state.
	KnowsJob(id string) bool
	// PendingTasks is how many tasks waited when the leader last counted them.
	PendingTasks() int
	// AddJob takes in a job that was accepted.
	AddJob(job wire.Job)
	// CancelJob cancels a job, and waits for so long until that is certain; 404 if it is not in
	// memory, 503 if it was not certain in time.
	CancelJob(id string, within micro.Time) httpapi.Reply
}

// Leadership says who leads.
type Leadership interface {
	// ActiveLeader is this node's own leader while its lease holds, else nil.
	ActiveLeader() Leader
	// LeaderName is the node that leads, as far as this one knows; "" if it knows of none.
	LeaderName() string
}

// Peers are the other nodes.
type Peers interface {
	// Call makes a call of package peer. A node that lately gave no answer is not called:
	// peer.ErrBackingOff.
	Call(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error)
	// Retry also calls a node that lately gave no answer, unless another such call is under way:
	// peer.ErrBackingOff.
	Retry(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error)
	// CallRegardless is Call, but also calls a node that lately gave no answer.
	CallRegardless(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error)
	// LeaderFirst lists the names of the other nodes.
	LeaderFirst() []string
}

// Catalog gives the machine types.
type Catalog interface {
	// Load gives them as last read; nil if they were not read yet.
	Load() *wire.Catalog
}

// Health is what this node knows of its own connections.
type Health interface {
	// Isolated reports whether the store was out of reach at the last probe.
	Isolated() bool
}

// FormatGate says which stored forms are in use.
type FormatGate interface {
	// FormatOpen reports whether the later forms are in use.
	FormatOpen() bool
}

// StoredJob is what a job's own keys in the store hold.
type StoredJob struct {
	Spec     wire.Job
	Accepted bool // there is a description
	// DependenciesComplete reports whether the description has all of its dependencies: else the job
	// must not be taken for one that awaits less.
	DependenciesComplete bool
	FinalStatus          cluster.FinalStatusRecord
	Ended                bool // there is an end
}

// JobReader reads jobs from the store.
type JobReader interface {
	// ReadJob reads a job's own keys; none are there for one that was never accepted.
	ReadJob(class store.Class, id string) (StoredJob, error)
}

// Dependencies are the parts of a node that the service is built on.
type Dependencies struct {
	Store      store.Store
	Jobs       JobReader
	Leadership Leadership
	Peers      Peers
	Catalog    Catalog
	Health     Health
	FormatGate FormatGate
	Log        *slog.Logger
	Now        func() micro.Time // the steady clock
	Wall       func() micro.Time // the wall clock
}

// Service answers for jobs. Any goroutine may call its methods.
type Service struct {
	cfg        *config.Config
	store      store.Store
	leadership Leadership
	peers      Peers
	catalog    Catalog
	health     Health
	formatGate FormatGate
	log        *slog.Logger
	wall       func() micro.Time

	finalStatuses *FinalStatusCache
	acceptedIDs   *acceptedIDs
	budget        *lookupBudget
	reader        *statusReader
	lookups       *statusLookups
	batcher       *StatusBatcher
}

// New makes the service of a node. There is no bound on look-ups until SetBudgetFraction.
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
	}
	s.lookups = newStatusLookups(s, s.acceptedIDs, s.budget, deps.Now, s.maxIDsPerRequest)
	return s
}

// FinalStatuses is the cache of final statuses, which the leader fills as well.
func (s *Service) FinalStatuses() *FinalStatusCache { return s.finalStatuses }

// RememberAccepted notes a job that is known to have been accepted: status queries for it
// need not ask the store whether it was.
func (s *Service) RememberAccepted(id string) { s.acceptedIDs.add(id) }

// ReadStatus answers from the store, not from memory. An error says that the store gave no
// answer that could be relied on.
func (s *Service) ReadStatus(id string, class store.Class) (httpapi.Reply, error) {
	return s.reader.read(id, class)
}

// SetBudgetFraction sets which part of the store's limit on requests this node may use, 0 to 1;
// look-ups get their part of that.
func (s *Service) SetBudgetFraction(fraction float64) {
	s.budget.setRate(s.cfg.Facts.State.RPS, fraction)
}

// otherLeader is the node that leads, if it is known and not this one.
func (s *Service) otherLeader() (string, bool) {
	leader := s.leadership.LeaderName()
	return leader, leader != "" && leader != s.cfg.Node
}

// maxValueBytes is what a value in the store may take.
func (s *Service) maxValueBytes() int {
	current, safe := s.cfg.MaxValueBytes()
	if s.formatGate.FormatOpen() {
		return safe
	}
	return current
}

// maxIDsPerRequest is how many jobs one request can ask the store for.
func (s *Service) maxIDsPerRequest() int {
	return statestore.PreconditionsPerChange * s.cfg.MaxTxnOps()
}
