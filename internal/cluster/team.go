package cluster

import (
	"math"
	"slices"

	"notchmux.dev/notchmux/internal/micro"
)

// Team is a team's quota and what its allocations use of it, in CPUs and GPUs. A limit of 0 means
// unlimited.
type Team struct {
	Name                     string
	GuaranteedCPUs, CPULimit float64
	GuaranteedGPUs, GPULimit float64
	UsedCPU, UsedGPU         float64
	QuotaReservedFor         *Job // released quota is reserved for this job, which has waited for long
	QuotaReservedAt          micro.Time
	QuotaReservableAfter     micro.Time // earliest reservation, so that the team's other jobs are served before
	LastPlacedAt             micro.Time // when one of its tasks was last placed
	Transfer                 QuotaTransfer
	unfinished               []*Job
}

// QuotaTransfer is quota that partially placed services release for another service of their team
// so that it becomes fully placed. A team has at most one transfer at a time.
type QuotaTransfer struct {
	Recipient      *Job // nil if there is no transfer
	Since          micro.Time
	StopsRequested bool // replicas were stopped for it; until then it waits for machines
}

// QuotaWithheldFrom reports whether released quota is withheld from a job because replicas were
// stopped for a service of the same or a higher priority.
func (t *Team) QuotaWithheldFrom(job *Job) bool {
	recipient := t.Transfer.Recipient
	return t.Transfer.StopsRequested && recipient != job && recipient.PriorityLevel <= job.PriorityLevel &&
		(t.CPULimit > 0 || recipient.Spec.GPUs > 0 && job.Spec.GPUs > 0)
}

// WithinLimit reports whether the team's limits allow the given number of additional tasks.
func (t *Team) WithinLimit(cpus, gpus float64, tasks int) bool {
	const eps = 1e-9
	count := float64(tasks)
	return (t.CPULimit <= 0 || t.UsedCPU+count*cpus <= t.CPULimit+eps) &&
		(t.GPULimit <= 0 || t.UsedGPU+count*gpus <= t.GPULimit+eps)
}

// TaskHeadroom returns how many more tasks of the given size the team's limits allow.
func (t *Team) TaskHeadroom(cpus, gpus float64) int {
	return t.TaskHeadroomAfter(Resources{}, cpus, gpus)
}

// TaskHeadroomAfter returns how many more tasks of the given size the team's limits allow in
// addition to resources that are planned for others.
func (t *Team) TaskHeadroomAfter(planned Resources, cpus, gpus float64) int {
	const eps = 1e-9
	tasks := math.MaxInt32
	for _, quota := range []struct{ limit, used, perTask float64 }{
		{t.CPULimit, t.UsedCPU + planned.CPU, cpus},
		{t.GPULimit, t.UsedGPU + planned.GPU, gpus},
	} {
		if quota.limit > 0 && quota.perTask > 0 {
			tasks = min(tasks, int((quota.limit-quota.used)/quota.perTask+eps))
		}
	}
	return max(tasks, 0)
}

// MarkGuarantees marks the active jobs that fit in their team's guarantee together with the team's
// earlier unfinished jobs. If only one resource is guaranteed, the other one is not limited. Jobs of a
// team without any guarantee are never marked.
func (s *State) MarkGuarantees() {
	for _, team := range s.Teams {
		if team.GuaranteedCPUs <= 0 && team.GuaranteedGPUs <= 0 {
			continue
		}
		var cpus, gpus float64
		for _, job := range team.unfinished {
			remaining := float64(len(job.Tasks) - job.DoneTasks)
			cpus += remaining * job.Spec.CPUs
			gpus += remaining * job.Spec.GPUs
			job.WithinGuarantee = (team.GuaranteedCPUs <= 0 || cpus <= team.GuaranteedCPUs) &&
				(team.GuaranteedGPUs <= 0 || gpus <= team.GuaranteedGPUs)
		}
	}
}

// addUnfinished adds an unfinished job, keeping the order in which the team's jobs became eligible,
// which is the order in which the guarantee is given to them.
func (t *Team) addUnfinished(job *Job) {
	t.unfinished = append(t.unfinished, job)
	jobs := t.unfinished
	for i := len(jobs) - 1; i > 0 && jobs[i-1].EligibleSince > jobs[i].EligibleSince; i-- {
		jobs[i-1], jobs[i] = jobs[i], jobs[i-1]
	}
}

// removeUnfinished removes a job that has ended or was handed back from its team's unfinished jobs.
func (s *State) removeUnfinished(job *Job) {
	if job.Team == nil {
		return
	}
	unfinished := job.Team.unfinished
	if i := slices.Index(unfinished, job); i >= 0 {
		job.Team.unfinished = slices.Delete(unfinished, i, i+1)
	}
}
