package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// unservedJobsGauge is the gauge of the number of pending jobs that have no eligible owner: neither the
// leader nor a shard owner can run all of the job. Only a leader with the shards feature sets it.
const unservedJobsGauge = "unserved_jobs"

// updateUnservedJobs advances the scan for unserved jobs and sets the gauge once the scan is complete.
func (l *Leader) updateUnservedJobs(now micro.Time) {
	if unserved, complete := l.unservedJobScan.Advance(now); complete {
		l.node.Metrics.SetGauge(unservedJobsGauge, int64(unserved))
	}
}

// eligibleOwners describes the owners of a sharded fleet that can run all of a job, or why there is
// none. It returns "" if the fleet is not sharded.
func (l *controlLoop) eligibleOwners(job *cluster.Job) string {
	if l.describeEligibleOwners == nil {
		return ""
	}
	return l.describeEligibleOwners(job)
}
