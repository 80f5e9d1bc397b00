package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// unservedJobs is the gauge of the waiting jobs that neither the leader nor a shard may serve.
// Only a leader with shards has it.
const unservedJobs = "unserved_jobs"

// reviewServingSides counts the waiting jobs that no side may serve.
func (l *Leader) reviewServingSides(now micro.Time) {
	if unserved, complete := l.servingReview.Advance(now); complete {
		l.node.Metrics.SetGauge(unservedJobs, int64(unserved))
	}
}

// servingSide says which sides of a divided fleet may serve a job, or why none may; "": there
// is nothing to say.
func (l *controlLoop) servingSide(job *cluster.Job) string {
	if l.describeServingSide == nil {
		return ""
	}
	return l.describeServingSide(job)
}
