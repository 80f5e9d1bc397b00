package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/wire"
)

// quotaShortage is what a team's limits lack for a service; below 0: what they have beyond.
type quotaShortage struct {
	cpus, gpus float64
}

// missingQuota is what a service lacks of its team's limits, beside what is free and what is coming
// free. What is saved up for another job is not there for it.
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

// countStoppingQuota counts by team what comes free of the limits: of tasks that are being stopped.
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

func (q *quotaShortage) covered() bool { return q.cpus <= eps && q.gpus <= eps }

// unaffectedBy reports whether a replica would give nothing of what is missing.
func (q *quotaShortage) unaffectedBy(spec *wire.Job) bool {
	return (q.cpus <= eps || spec.CPUs <= 0) && (q.gpus <= eps || spec.GPUs <= 0)
}

func (q *quotaShortage) subtract(spec *wire.Job) {
	q.cpus -= spec.CPUs
	q.gpus -= spec.GPUs
}

// dropIfUnneeded takes out a replica without which enough is given, and reports whether it did.
func (q *quotaShortage) dropIfUnneeded(allocation *cluster.Allocation) bool {
	spec := &allocation.Job.Spec
	rest := quotaShortage{q.cpus + spec.CPUs, q.gpus + spec.GPUs}
	if !rest.covered() {
		return false
	}
	*q = rest
	return true
}
