package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// unservedJobsGauge is the gauge of the waiting jobs that neither the leader nor a shard may serve.
// Only a leader with shards has it.
const unservedJobsGauge = "unserved_jobs"

// updateUnservedJobs counts the waiting jobs that no side may serve.
func (l *Leader) updateUnservedJobs(now micro.Time) {
	if unserved, complete := l.unservedJobScan.Advance(now); complete {
		l.node.Metrics.SetGauge(unservedJobsGauge, int64(unserved))
	}
}

// eligibleOwners says which sides of a divided fleet may serve a job, or why none may; "": there
// is nothing to say.
func (l *controlLoop) eligibleOwners(job *cluster.Job) string {
	if l.describeEligibleOwners == nil {
		return ""
	}
	return l.describeEligibleOwners(job)
}
