// Package persist keeps in the state store what the controller that owns part of the
// cluster's state, the leader or the owner of a shard, has decided: the ends of jobs, the
// chunks of their tasks, the speeds of machine types, the machines' images and the version
// of the stored forms. It says which keys have a change to be written and how urgent that
// is; package statestore batches the changes into transactions.
//
// The records are owned by the goroutine of the owner's event loop. Only that goroutine may
// call this package.
package persist

import (
	"log/slog"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// ValueMargin is kept of the limit on a value, in bytes.
const ValueMargin = 32

// Host is the event loop that owns the records.
type Host interface {
	// Now is the steady clock.
	Now() micro.Time
	// Wall is the wall clock.
	Wall() micro.Time
	// HoldsLease reports whether the host may still write; any goroutine may ask.
	HoldsLease() bool
	// Post hands the loop an event; any goroutine may call it.
	Post(event eventloop.Event)
	// ObserveCommit is told how long a transaction took.
	ObserveCommit(took micro.Time)
	// JobEnded is told that a job's end is in the store.
	JobEnded(job *cluster.Job, state wire.JobState)
	// FormatRaised is told that the compact form is in use from now on.
	FormatRaised()
}

// Role is what the records of a leader and those of a shard's owner differ in.
type Role interface {
	// Preconditions are what every transaction is conditional on.
	Preconditions() []wire.Precondition
	// ChunkKey is the key of a chunk's record.
	ChunkKey(job string, index int, compact bool) string
	// KeepsChunksOfEndedJobs reports whether the records of a job's tasks stay when it has
	// ended, until its assignment to the shard has gone.
	KeepsChunksOfEndedJobs() bool
}

// Limits are those of the state store.
type Limits interface {
	// MaxValueBytes is what a value may take: now, and from the store's next limits on.
	MaxValueBytes() (current, next int)
	// MaxTxnOps is how many changes a transaction may have.
	MaxTxnOps() int
}

// Dependencies are what the records are built from.
type Dependencies struct {
	Host    Host
	Role    Role
	Limits  Limits
	Cluster *cluster.State
	Speeds  *scheduler.SpeedEstimator
	Store   store.Store
	Log     *slog.Logger
}

// Records are the keys that the owner of the state keeps in the store, by what they are for.
// The embedded writer also serves other parts, whose records have keys of their own.
type Records struct {
	*statestore.Writer
	// Images are the records of the machines' images.
	Images *ImageRecords
	// Format is the record of the stored forms' version.
	Format *Format

	host          Host
	role          Role
	limits        Limits
	cluster       *cluster.State
	speeds        *scheduler.SpeedEstimator
	log           *slog.Logger
	speedRecord   *statestore.Record
	chunks        map[*cluster.TaskChunk]*statestore.Record
	legacyRecords map[*cluster.LegacyRecord]*statestore.Record
	prunedAt      micro.Time // when jobs that ended long ago were last pruned
}

// New makes the records of a term of leadership or of a shard's ownership.
func New(deps Dependencies) *Records {
	records := &Records{
		host:          deps.Host,
		role:          deps.Role,
		limits:        deps.Limits,
		cluster:       deps.Cluster,
		speeds:        deps.Speeds,
		log:           deps.Log,
		chunks:        map[*cluster.TaskChunk]*statestore.Record{},
		legacyRecords: map[*cluster.LegacyRecord]*statestore.Record{},
	}
	records.Writer = statestore.New(writerHost{records}, deps.Store, deps.Log)
	records.speedRecord = records.Record(keys.Speeds)
	records.speedRecord.Build = func() (any, uint64) { return records.speeds.Record(), 0 }
	records.Images = newImageRecords(records)
	records.Format = newFormat(records, deps.Log)
	return records
}

// MaxValueBytes is what a value may take. Once the compact form is in use, the store's
// next limits may come at any time.
func (r *Records) MaxValueBytes() int {
	current, next := r.limits.MaxValueBytes()
	if r.cluster.CompactRecords {
		return next - ValueMargin
	}
	return current - ValueMargin
}

// WriteSpeeds writes the estimated speeds of the machine types.
func (r *Records) WriteSpeeds(now micro.Time) { r.speedRecord.MarkDirty(now, statestore.PriorityLow) }

// RestoreSpeeds takes in the speeds that were read in a failover.
func (r *Records) RestoreSpeeds(item wire.Item) error {
	var stored scheduler.SpeedRecord
	if err := wire.Unmarshal(item.Value, &stored); err != nil {
		return err
	}
	r.speeds.Restore(stored)
	r.speedRecord.SetVersion(uint64(item.Version))
	return nil
}

// writerHost is what the writer of the records needs of them and of their host.
type writerHost struct{ records *Records }

// Now is the steady clock.
func (h writerHost) Now() micro.Time { return h.records.host.Now() }

// HoldsLease reports whether the host may still write.
func (h writerHost) HoldsLease() bool { return h.records.host.HoldsLease() }

// Preconditions are those of the role.
func (h writerHost) Preconditions() []wire.Precondition { return h.records.role.Preconditions() }

// Post hands the host's loop an event.
func (h writerHost) Post(event eventloop.Event) { h.records.host.Post(event) }

// MaxValueBytes is what a value may take now.
func (h writerHost) MaxValueBytes() int { return h.records.MaxValueBytes() }

// MaxTransactionOps is how many changes a transaction may have.
func (h writerHost) MaxTransactionOps() int { return h.records.limits.MaxTxnOps() }

// ObserveCommit is told how long a transaction took.
func (h writerHost) ObserveCommit(took micro.Time) { h.records.host.ObserveCommit(took) }
