package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/wire"
)

// endUncertain reports whether the final state of a job, or of a job that it depends on, may be
// stored without this leader knowing: the write was sent and has no response yet. Another node may
// already have read the final state from the store and reported it to the user.
func (l *Leader) endUncertain(job *cluster.Job) bool {
	if l.records.EndUncertain(job.Spec.ID) {
		return true
	}
	if job.State != cluster.Blocked {
		return false
	}
	visited := map[*cluster.Job]bool{job: true}
	for queue := []*cluster.Job{job}; len(queue) > 0; {
		current := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, id := range current.Spec.Dependencies {
			dependency := l.cluster.Jobs[id]
			if dependency == nil || dependency.IsTerminal() || visited[dependency] {
				continue
			}
			if l.records.EndUncertain(id) {
				return true
			}
			visited[dependency] = true
			queue = append(queue, dependency)
		}
	}
	return false
}

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
