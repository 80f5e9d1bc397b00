package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// Operators are told why a job waits once it has for explainAfter, of at most
// maxExplanations jobs at a time: finding out costs about as much as a try to
// place a task.
const (
	explainAfter    = 30 * micro.Second
	maxExplanations = 4
)

// reviewPendingJobs counts what waits, and tells why of some that have waited long.
func (l *controlLoop) reviewPendingJobs(now micro.Time) {
	waiting, explanationsLeft := 0, maxExplanations
	for job := range l.cluster.PendingJobs {
		waiting += job.PendingTasks()
		if explanationsLeft > 0 && needsExplanation(job, now) {
			explanationsLeft--
			l.logWaitReason(job, now)
		}
	}
	l.pendingTasks.Store(int64(waiting))
}

// needsExplanation reports whether a job waits long and nobody was told of this wait.
func needsExplanation(j *cluster.Job, now micro.Time) bool {
	return now-j.WaitingSince >= explainAfter && j.WaitReasonLoggedAt <= j.WaitingSince
}

func (l *controlLoop) logWaitReason(j *cluster.Job, now micro.Time) {
	j.WaitReasonLoggedAt = now
	attributes := []any{
		"job", j.Spec.ID, "since_s", int64((now - j.WaitingSince) / micro.Second), "reason",
		l.scheduler.ExplainPending(j, now).String(),
	}
	if side := l.eligibleOwners(j); side != "" {
		attributes = append(attributes, "side", side)
	}
	l.log.Info("job waits", attributes...)
}
