package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/wire"
)

// Preconditions are that the term goes on.
func (l *Leader) Preconditions() []wire.Precondition {
	return []wire.Precondition{l.term.Precondition()}
}

// ChunkKey is the key of a chunk's record in the form that is in use.
func (l *Leader) ChunkKey(job string, index int, compact bool) string {
	if compact {
		return keys.CompactChunk(job, index)
	}
	return keys.LegacyChunk(job, index)
}

// KeepsChunksOfEndedJobs is false: the end says all there is to know.
func (l *Leader) KeepsChunksOfEndedJobs() bool { return false }

// prune forgets jobs and machines that ended long ago. Status queries for such a job are
// answered from the node's final states, and then from the store.
func (l *Leader) prune(pruned []*cluster.Job) {
	for _, job := range pruned {
		l.node.jobs.FinalStatuses().Put(job.Status())
		l.intake.Forget(job.Spec.ID)
	}
}
