package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/wire"
)

// Preconditions returns the precondition of the leader's transactions: the term has not ended.
func (l *Leader) Preconditions() []wire.Precondition {
	return []wire.Precondition{l.term.Precondition()}
}

// ChunkKey returns the key of a chunk's record in the compact or the legacy format.
func (l *Leader) ChunkKey(job string, index int, compact bool) string {
	if compact {
		return keys.CompactChunk(job, index)
	}
	return keys.LegacyChunk(job, index)
}

// KeepsChunksOfEndedJobs returns false: the record of the final state makes the chunk records
// unnecessary.
func (l *Leader) KeepsChunksOfEndedJobs() bool { return false }

// prune removes jobs that were pruned from the cluster state from the leader's other indexes. Status
// queries for such a job are answered from the node's cache of final statuses, or from the store.
func (l *Leader) prune(pruned []*cluster.Job) {
	for _, job := range pruned {
		l.node.jobs.FinalStatuses().Put(job.OwnStatus())
		l.intake.Forget(job.Spec.ID)
	}
}
