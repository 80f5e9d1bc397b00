package controller

import "notchmux.dev/notchmux/internal/micro"

// unservedJobs is the gauge of the waiting jobs that neither the leader nor a shard may serve.
// Only a leader with shards has it.
const unservedJobs = "unserved_jobs"

// reviewServingSides counts the waiting jobs that no side may serve.
func (l *Leader) reviewServingSides(now micro.Time) {
	if unserved, complete := l.servingReview.Advance(now); complete {
		l.node.Metrics.SetGauge(unservedJobs, int64(unserved))
	}
}
