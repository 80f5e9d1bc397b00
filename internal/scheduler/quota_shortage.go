package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/wire"
)

// quotaShortage is the quota missing from a team's limits for a service to be fully placed. A negative
// amount is a surplus.
type quotaShortage struct {
	cpus, gpus float64
}

// missingQuota returns the quota that the pending replicas of a service need beyond the team's free quota
// and the quota of tasks that are stopping. If the quota is reserved for another job, neither counts,
// except for a service of the highest priority. A limit of 0 means no limit, so nothing of it is missing.
func (s *Scheduler) missingQuota(job *cluster.Job) quotaShortage {
	team, pending := job.Team, float64(job.PendingTasks())
	missing := quotaShortage{pending * job.Spec.CPUs, pending * job.Spec.GPUs}
	holder := team.QuotaReservedFor
	if holder == nil || holder == job || job.PriorityLevel == highestPriorityLevel {
		stopping := s.stoppingQuota[team]
		missing.cpus -= max(team.CPULimit-team.UsedCPU, 0) + stopping.CPU
		missing.gpus -= max(team.GPULimit-team.UsedGPU, 0) + stopping.GPU
	}
	if team.CPULimit <= 0 {
		missing.cpus = 0
	}
	if team.GPULimit <= 0 {
		missing.gpus = 0
	}
	return missing
}

// countStoppingQuota returns by team the quota held by allocations that are stopping, which is free once
// they are released.
func (s *Scheduler) countStoppingQuota() map[*cluster.Team]resources {
	stopping := map[*cluster.Team]resources{}
	for _, machine := range s.Cluster.Machines {
		for _, allocation := range machine.Allocations {
			if !allocation.Stopping || allocation.Job == nil || allocation.Job.Team == nil {
				continue
			}
			sum := stopping[allocation.Job.Team]
			sum.Add(allocatedResources(allocation), 1)
			stopping[allocation.Job.Team] = sum
		}
	}
	return stopping
}

// covered reports whether no quota is missing.
func (q *quotaShortage) covered() bool { return q.cpus <= eps && q.gpus <= eps }

// unaffectedBy reports whether stopping a replica of the spec would free none of the missing quota.
func (q *quotaShortage) unaffectedBy(spec *wire.Job) bool {
	return (q.cpus <= eps || spec.CPUs <= 0) && (q.gpus <= eps || spec.GPUs <= 0)
}

// subtract reduces the shortage by the quota of one replica of the spec.
func (q *quotaShortage) subtract(spec *wire.Job) {
	q.cpus -= spec.CPUs
	q.gpus -= spec.GPUs
}

// dropIfUnneeded reports whether the shortage stays covered if a replica is not stopped. If so, it adds the
// replica's quota back to the shortage.
func (q *quotaShortage) dropIfUnneeded(allocation *cluster.Allocation) bool {
	spec := &allocation.Job.Spec
	rest := quotaShortage{q.cpus + spec.CPUs, q.gpus + spec.GPUs}
	if !rest.covered() {
		return false
	}
	*q = rest
	return true
}
