package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard/coordinator"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// newCoordinator makes the leader's part in shards; nil if the feature is off.
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

// coordinatorHost is what the leader's part in shards needs of the leader's other parts.
type coordinatorHost struct{ leader *Leader }

// HoldsLease reports whether the leader may answer and send commands.
func (h coordinatorHost) HoldsLease() bool { return h.leader.holdsLease() }

// Resign ends the term.
func (h coordinatorHost) Resign(reason string) { h.leader.resign(reason) }

// MaxValueBytes is what a value in the store may take.
func (h coordinatorHost) MaxValueBytes() int { return h.leader.records.MaxValueBytes() }

// RaiseFencingToken raises the fencing token to at least this one.
func (h coordinatorHost) RaiseFencingToken(atLeast uint64) {
	h.leader.dispatcher.RaiseFencingToken(atLeast)
}

// Terminate marks a machine to be terminated.
func (h coordinatorHost) Terminate(machine *cluster.Machine, reason string) {
	h.leader.provisioner.Terminate(machine, reason)
}

// WriteJobEnd writes the final state of a job.
func (h coordinatorHost) WriteJobEnd(job *cluster.Job, state wire.JobState) {
	h.leader.records.WriteJobEnd(job, state)
}

// MarkChunkDirty has the record of a chunk of tasks written.
func (h coordinatorHost) MarkChunkDirty(chunk *cluster.TaskChunk, now micro.Time, priority statestore.Priority) {
	h.leader.records.ChunkRecord(chunk).MarkDirty(now, priority)
}

// ChunkRevision is the version of the key of a chunk's record, and whether all of it is stored.
func (h coordinatorHost) ChunkRevision(chunk *cluster.TaskChunk) (revision uint64, persisted bool) {
	return h.leader.records.ChunkRevision(chunk)
}

// JobRevision is the latest version of the keys of a job's chunks, and whether all of it is stored.
func (h coordinatorHost) JobRevision(job *cluster.Job) (revision uint64, persisted bool) {
	return h.leader.records.JobRevision(job)
}

// PersistJob has what is still to be written of a job's chunks written soon.
func (h coordinatorHost) PersistJob(job *cluster.Job) { h.leader.records.PersistJob(job) }

// DeleteHandedOver has the records of a job's chunks deleted, and reports whether none is left.
func (h coordinatorHost) DeleteHandedOver(job *cluster.Job) (gone bool) {
	return h.leader.records.DeleteHandedOver(job)
}

// CancellationPending notes that the end of a cancelled job is to be written once its user
// may be told.
func (h coordinatorHost) CancellationPending(job *cluster.Job) {
	h.leader.cancellations.MarkPending(job)
}

// CancellationUnconfirmed notes that the user of a cancelled job was told, and that
// allocations of it are not proven released.
func (h coordinatorHost) CancellationUnconfirmed(job *cluster.Job) {
	h.leader.cancellations.MarkUnconfirmed(job)
}

// UpdateFencedZones notes anew in which zones leases must not be renewed by proxy.
func (h coordinatorHost) UpdateFencedZones() { h.leader.cancellations.UpdateFencedZones() }

// shardTableChanged says that the table of shards has changed.
type shardTableChanged struct{ leader *Leader }

// Apply has the leader's part in shards take that in.
func (e shardTableChanged) Apply() { e.leader.coordinator.TableChanged() }

// observeShardMarker takes in that there are shards. A leader without the feature would take
// all machines for its own: it leaves the lead to another.
func (l *Leader) observeShardMarker(item wire.Item) {
	if l.coordinator != nil {
		l.coordinator.ObserveMarker(uint64(item.Version))
		return
	}
	l.log.Error("shards of the machines exist, and this controller runs without the feature: it does not lead")
	l.resign("it runs without shards")
}

// handleStatusUpdate answers another node's owner of a shard.
func handleStatusUpdate(l *Leader, body []byte) (int, []byte) {
	reply, ok := l.coordinator.ReceiveStatusUpdate(body)
	if !ok {
		return 503, nil
	}
	return 200, wire.MustMarshal(reply)
}
