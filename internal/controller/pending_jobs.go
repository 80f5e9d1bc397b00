package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// The reason why a job is pending is logged once the job has waited for explainAfter, and for at most
// maxExplanations jobs per review: finding the reason costs about as much as an attempt to place a
// task.
const (
	explainAfter    = 30 * micro.Second
	maxExplanations = 4
)

// reviewPendingJobs counts the pending tasks and logs why some long-waiting jobs are pending.
func (l *controlLoop) reviewPendingJobs(now micro.Time) {
	pending, explanationsLeft := 0, maxExplanations
	for job := range l.cluster.PendingJobs {
		pending += job.PendingTasks()
		if explanationsLeft > 0 && needsExplanation(job, now) {
			explanationsLeft--
			l.logWaitReason(job, now)
		}
	}
	l.pendingTasks.Store(int64(pending))
}

// needsExplanation reports whether a job has waited for explainAfter and the reason of this wait has
// not been logged.
func needsExplanation(job *cluster.Job, now micro.Time) bool {
	return now-job.WaitingSince >= explainAfter && job.WaitReasonLoggedAt <= job.WaitingSince
}

// logWaitReason logs why a job is pending and, in a sharded fleet, which owners can run it.
func (l *controlLoop) logWaitReason(job *cluster.Job, now micro.Time) {
	job.WaitReasonLoggedAt = now
	attributes := []any{
		"job", job.Spec.ID, "since_s", int64((now - job.WaitingSince) / micro.Second), "reason",
		l.scheduler.ExplainPending(job, now).String(),
	}
	if owners := l.eligibleOwners(job); owners != "" {
		attributes = append(attributes, "side", owners)
	}
	l.log.Info("job waits", attributes...)
}
