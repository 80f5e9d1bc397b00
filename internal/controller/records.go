package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

type firstProvisionedRecord struct {
	Machine string `msgpack:"m" json:"m"`
}

// newRecords makes the records that a loop keeps in the store.
func newRecords(l *Leader, role persist.Role) *persist.Records {
	records := persist.New(persist.Dependencies{
		Host:    recordsHost{l},
		Role:    role,
		Limits:  l.node.Cfg,
		Cluster: l.cluster,
		Speeds:  l.speeds,
		Store:   l.node.Store,
		Log:     l.log,
	})
	l.firstProvisionedRecord = records.Record(keys.FirstProvisioned)
	l.firstProvisionedRecord.Build = func() (any, uint64) { return firstProvisionedRecord{l.firstProvisioned}, 0 }
	return records
}

// Now is this node's steady clock.
func (l *Leader) Now() micro.Time { return l.node.Now() }

// Wall is this node's wall clock.
func (l *Leader) Wall() micro.Time { return l.node.Wall() }

// HoldsLease reports whether the right to act holds.
func (l *Leader) HoldsLease() bool { return l.holdsLease() }

// Post hands the loop an event.
func (l *Leader) Post(event eventloop.Event) { l.loop.Post(event) }

// recordsHost is a loop as its records see it.
type recordsHost struct{ *Leader }

// ObserveCommit notes how long a transaction took.
func (h recordsHost) ObserveCommit(took micro.Time) { h.node.Metrics.Observe("commit", took) }

// JobEnded settles a job whose end is in the store.
func (h recordsHost) JobEnded(job *cluster.Job, state wire.JobState) { h.jobEnded(job, state) }

// FormatRaised opens this node's format gate.
func (h recordsHost) FormatRaised() { h.node.setGateState(GateOpen) }

// leaderRole is how the records of a leader are written.
type leaderRole struct{ leader *Leader }

// Preconditions are that the term goes on.
func (r leaderRole) Preconditions() []wire.Precondition {
	return []wire.Precondition{r.leader.term.Precondition()}
}

// ChunkKey is the key of a chunk's record in the form that is in use.
func (r leaderRole) ChunkKey(job string, index int, compact bool) string {
	if compact {
		return keys.CompactChunk(job, index)
	}
	return keys.LegacyChunk(job, index)
}

// KeepsChunksOfEndedJobs is false: the end says all there is to know.
func (r leaderRole) KeepsChunksOfEndedJobs() bool { return false }

// shardOwnerRole is how the records of a shard's owner are written.
type shardOwnerRole struct {
	owner *shard.Owner
	shard string // the shard's name
}

// Preconditions are that the shard is still owned.
func (r shardOwnerRole) Preconditions() []wire.Precondition { return r.owner.Preconditions() }

// ChunkKey is the key of a chunk's record in the shard, which is in the compact form.
func (r shardOwnerRole) ChunkKey(job string, index int, _ bool) string {
	return shard.AllocationKey(r.shard, job, index)
}

// KeepsChunksOfEndedJobs is true: the records go once the job's assignment has gone.
func (r shardOwnerRole) KeepsChunksOfEndedJobs() bool { return true }

// prune forgets jobs and machines that ended long ago. Status queries for such a job are
// answered from the node's final states, and then from the store.
func (l *Leader) prune(pruned []*cluster.Job) {
	for _, job := range pruned {
		l.node.jobs.FinalStatuses().Put(job.Status())
		l.knownJobs.Delete(job.Spec.ID)
	}
}
