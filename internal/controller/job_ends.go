package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/wire"
)

// jobEnded updates the in-memory state of a job whose final state has been stored.
func (l *Leader) jobEnded(job *cluster.Job, state wire.JobState) {
	now := l.node.Now()
	l.cluster.FinalizeJob(job, state == wire.JobAborted, now)
	if state == wire.JobDone && len(l.cluster.CatalogOrder) > 0 {
		l.speeds.FinishArray(job.Spec.ID, l.cluster.CatalogOrder[0].Name)
	} else {
		l.speeds.DropSamples(job.Spec.ID)
	}
	if job.AllocationCount > 0 && state == wire.JobAborted {
		l.cancellations.MarkUnconfirmed(job)
	}
	l.log.Info(
		"job ended", "job", job.Spec.ID, "state", string(state), "after_s", (now - job.SubmittedAt).Seconds(), "since_s",
		(now - job.EligibleSince).Seconds(),
	)
	for _, chunk := range job.Chunks {
		l.ChunkDirty(chunk)
	}
	l.cancellations.JobEnded(job)
}
