package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard/coordinator"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// newCoordinator returns the leader's shard coordinator, or nil if the feature is off.
func newCoordinator(l *Leader) *coordinator.Coordinator {
	if l.node.shards == nil {
		return nil
	}
	c := coordinator.New(coordinator.Dependencies{
		Host:         coordinatorHost{l},
		Config:       l.node.Cfg,
		Cluster:      l.cluster,
		Records:      l.records.Writer,
		Table:        l.node.shards.Table(),
		Store:        l.node.Store,
		Term:         l.term,
		RenewalBound: l.renewalBound,
		Loop:         l.loop,
		Now:          l.node.Now,
		Wall:         l.node.Wall,
		Log:          l.log,
	})
	l.cluster.Ownership = c.ClassifyMachine
	return c
}

// coordinatorHost implements coordinator.Host for a leader.
type coordinatorHost struct{ leader *Leader }

// HoldsLease reports whether the leader may send responses and commands.
func (h coordinatorHost) HoldsLease() bool { return h.leader.holdsLease() }

// Resign ends the term.
func (h coordinatorHost) Resign(reason string) { h.leader.resign(reason) }

// MaxValueBytes returns the maximum size of a stored value.
func (h coordinatorHost) MaxValueBytes() int { return h.leader.records.MaxValueBytes() }

// RaiseFencingToken raises the fencing token to at least the given one.
func (h coordinatorHost) RaiseFencingToken(atLeast uint64) {
	h.leader.dispatcher.RaiseFencingToken(atLeast)
}

// Terminate marks a machine for termination.
func (h coordinatorHost) Terminate(machine *cluster.Machine, reason string) {
	h.leader.provisioner.Terminate(machine, reason)
}

// WriteJobEnd writes the final state of a job.
func (h coordinatorHost) WriteJobEnd(job *cluster.Job, state wire.JobState) {
	h.leader.records.WriteJobEnd(job, state)
}

// MarkChunkDirty schedules a write of a chunk's record with the given priority.
func (h coordinatorHost) MarkChunkDirty(chunk *cluster.TaskChunk, now micro.Time, priority statestore.Priority) {
	h.leader.records.ChunkRecord(chunk).MarkDirty(now, priority)
}

// ChunkRevision returns the version of the key of a chunk's record, and whether the chunk is fully
// persisted.
func (h coordinatorHost) ChunkRevision(chunk *cluster.TaskChunk) (revision uint64, persisted bool) {
	return h.leader.records.ChunkRevision(chunk)
}

// JobRevision returns the latest version of the keys of a job's chunk records, and whether the job is
// fully persisted.
func (h coordinatorHost) JobRevision(job *cluster.Job) (revision uint64, persisted bool) {
	return h.leader.records.JobRevision(job)
}

// PersistJob schedules prompt writes of those chunks of a job that are not fully persisted.
func (h coordinatorHost) PersistJob(job *cluster.Job) { h.leader.records.PersistJob(job) }

// DeleteHandedOver schedules the deletion of a job's chunk records, and reports whether none is left.
func (h coordinatorHost) DeleteHandedOver(job *cluster.Job) (gone bool) {
	return h.leader.records.DeleteHandedOver(job)
}

// CancellationPending marks a cancelled job whose final state is to be written once it may be
// reported as aborted.
func (h coordinatorHost) CancellationPending(job *cluster.Job) {
	h.leader.cancellations.MarkPending(job)
}

// CancellationUnconfirmed marks a cancelled job that was reported as aborted while it still has
// allocations that are not proven released.
func (h coordinatorHost) CancellationUnconfirmed(job *cluster.Job) {
	h.leader.cancellations.MarkUnconfirmed(job)
}

// UpdateFencedZones recomputes the zones whose lease proxies must not renew leases.
func (h coordinatorHost) UpdateFencedZones() { h.leader.cancellations.UpdateFencedZones() }

// shardTableChanged is the event that the shard table has changed.
type shardTableChanged struct{ leader *Leader }

// Apply notifies the leader's shard coordinator.
func (e shardTableChanged) Apply() { e.leader.coordinator.TableChanged() }

// observeShardMarker handles the stored marker that shards exist. A leader without the shards feature
// would treat all machines as its own, so it resigns.
func (l *Leader) observeShardMarker(item wire.Item) {
	if l.coordinator != nil {
		l.coordinator.ObserveMarker(uint64(item.Version))
		return
	}
	l.log.Error("shards exist, but the feature is off on this controller: resigning")
	l.resign("the shards feature is off on this controller")
}

// handleStatusUpdate answers a status update of a shard owner on another node.
func handleStatusUpdate(l *Leader, body []byte) (int, []byte) {
	reply, ok := l.coordinator.ReceiveStatusUpdate(body)
	if !ok {
		return 503, nil
	}
	return 200, wire.MustMarshal(reply)
}
