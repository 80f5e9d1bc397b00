// Package persist writes the state of an owner (the leader or a shard owner) to the state store:
// the final states of jobs, the chunks of their tasks, the speeds of machine types, the images
// cached on machines and the version of the stored format. It determines which keys must be written
// and with which priority; package statestore batches the changes into transactions.
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

// ValueMargin is the number of bytes by which values stay below the store's limit on a value.
const ValueMargin = 32

// Host is the event loop that owns the records.
type Host interface {
	// Now returns the time of the monotonic clock.
	Now() micro.Time
	// Wall returns the time of the wall clock.
	Wall() micro.Time
	// HoldsLease reports whether the host may still write. It may be called from any goroutine.
	HoldsLease() bool
	// Post queues an event for the loop. It may be called from any goroutine.
	Post(event eventloop.Event)
	// ObserveCommit records the duration of a transaction.
	ObserveCommit(took micro.Time)
	// JobEnded is called when a job's final state is in the store.
	JobEnded(job *cluster.Job, state wire.JobState)
	// FormatRaised is called when the compact format comes into use.
	FormatRaised()
}

// Role defines the differences between the records of a leader and those of a shard owner.
type Role interface {
	// Preconditions returns the preconditions of every transaction.
	Preconditions() []wire.Precondition
	// ChunkKey returns the key of a chunk's record.
	ChunkKey(job string, index int, compact bool) string
	// KeepsChunksOfEndedJobs reports whether the chunk records of an ended job are kept until its
	// assignment to the shard is deleted.
	KeepsChunksOfEndedJobs() bool
}

// Limits are the limits of the state store.
type Limits interface {
	// MaxValueBytes returns the maximum size of a value in bytes under the store's current limits
	// and under its next limits.
	MaxValueBytes() (current, next int)
	// MaxTxnOps returns the maximum number of changes in a transaction.
	MaxTxnOps() int
}

// Dependencies are the components and state that the records of New depend on.
type Dependencies struct {
	Host    Host
	Role    Role
	Limits  Limits
	Cluster *cluster.State
	Speeds  *scheduler.SpeedEstimator
	Store   store.Store
	Log     *slog.Logger
}

// Records are the records that the owner of the state keeps in the store. Other components create
// records with their own keys through the embedded writer.
type Records struct {
	*statestore.Writer
	// Images are the records of the images cached on machines.
	Images *ImageRecords
	// Format is the record of the stored format's version.
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
	prunedAt      micro.Time // when PruneIfDue last pruned
}

// New returns the records of a term of leadership or of the ownership of a shard.
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

// MaxValueBytes returns the maximum size of a value in bytes, less ValueMargin. While the compact format is
// in use, it is that of the store's next limits, which may take effect at any time.
func (r *Records) MaxValueBytes() int {
	current, next := r.limits.MaxValueBytes()
	if r.cluster.CompactRecords {
		return next - ValueMargin
	}
	return current - ValueMargin
}

// WriteSpeeds schedules a write of the estimated speeds of the machine types.
func (r *Records) WriteSpeeds(now micro.Time) { r.speedRecord.MarkDirty(now, statestore.PriorityLow) }

// RestoreSpeeds restores the estimated speeds that were read in a failover. It returns an error if
// the value cannot be decoded.
func (r *Records) RestoreSpeeds(item wire.Item) error {
	var stored scheduler.SpeedRecord
	if err := wire.Unmarshal(item.Value, &stored); err != nil {
		return err
	}
	r.speeds.Restore(stored)
	r.speedRecord.SetVersion(uint64(item.Version))
	return nil
}

// writerHost implements statestore.Host for the writer of the records.
type writerHost struct{ records *Records }

// Now returns the time of the host's monotonic clock.
func (h writerHost) Now() micro.Time { return h.records.host.Now() }

// HoldsLease reports whether the host may still write.
func (h writerHost) HoldsLease() bool { return h.records.host.HoldsLease() }

// Preconditions returns the preconditions of the role.
func (h writerHost) Preconditions() []wire.Precondition { return h.records.role.Preconditions() }

// Post queues an event for the host's loop.
func (h writerHost) Post(event eventloop.Event) { h.records.host.Post(event) }

// MaxValueBytes returns the maximum size of a value in bytes.
func (h writerHost) MaxValueBytes() int { return h.records.MaxValueBytes() }

// MaxTransactionOps returns the maximum number of changes in a transaction.
func (h writerHost) MaxTransactionOps() int { return h.records.limits.MaxTxnOps() }

// ObserveCommit reports the duration of a transaction to the host.
func (h writerHost) ObserveCommit(took micro.Time) { h.records.host.ObserveCommit(took) }
