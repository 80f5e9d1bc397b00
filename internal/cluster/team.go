package cluster

import (
	"math"
	"slices"

	"notchmux.dev/notchmux/internal/micro"
)

// Team is a team's quota and what its allocations use of it: cores and GPUs. A limit of 0 is
// none.
type Team struct {
	Name                     string
	GuaranteedCPUs, CPULimit float64
	GuaranteedGPUs, GPULimit float64
	UsedCPU, UsedGPU         float64
	QuotaReservedFor         *Job // the quota that comes free is kept for this job, which waited long
	QuotaReservedAt          micro.Time
	QuotaReservableAfter     micro.Time // nothing is saved up before, so that its other jobs get their turn
	LastPlacedAt             micro.Time // when one of its tasks was last placed
	Transfer                 QuotaTransfer
	unfinished               []*Job
}

// QuotaTransfer is quota that services placed in part give to another service of their team, so
// that it becomes whole. Of a team there is one at a time.
type QuotaTransfer struct {
	Recipient      *Job // nil: there is none
	Since          micro.Time
	StopsRequested bool // replicas were stopped for it; before that, it waits for machines
}

// QuotaWithheldFrom reports whether the quota that comes free is kept from a job: replicas were stopped
// for a service that comes before it, or is of the same priority.
func (t *Team) QuotaWithheldFrom(job *Job) bool {
	recipient := t.Transfer.Recipient
	return t.Transfer.StopsRequested && recipient != job && recipient.PriorityLevel <= job.PriorityLevel &&
		(t.CPULimit > 0 || recipient.Spec.GPUs > 0 && job.Spec.GPUs > 0)
}

// WithinLimit reports whether the team's limits allow so many more such tasks.
func (t *Team) WithinLimit(cpus, gpus float64, tasks int) bool {
	const eps = 1e-9
	count := float64(tasks)
	return (t.CPULimit <= 0 || t.UsedCPU+count*cpus <= t.CPULimit+eps) &&
		(t.GPULimit <= 0 || t.UsedGPU+count*gpus <= t.GPULimit+eps)
}

// TaskHeadroom is how many more such tasks the team's limits allow.
func (t *Team) TaskHeadroom(cpus, gpus float64) int {
	return t.TaskHeadroomAfter(Resources{}, cpus, gpus)
}

// TaskHeadroomAfter is how many more such tasks the team's limits allow beside what is planned for
// others.
func (t *Team) TaskHeadroomAfter(planned Resources, cpus, gpus float64) int {
	const eps = 1e-9
	tasks := math.MaxInt32
	for _, quota := range []struct{ most, used, each float64 }{
		{t.CPULimit, t.UsedCPU + planned.CPU, cpus},
		{t.GPULimit, t.UsedGPU + planned.GPU, gpus},
	} {
		if quota.most > 0 && quota.each > 0 {
			tasks = min(tasks, int((quota.most-quota.used)/quota.each+eps))
		}
	}
	return max(tasks, 0)
}

// MarkGuarantees marks the active jobs that fit their team's guarantee together
// with the team's earlier unfinished jobs. An amount of 0 guarantees nothing of
// that kind, and a team without any guarantee has none.
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

// addUnfinished takes an unfinished job in, in the order in which the team's jobs could start, which
// is the order of their guarantees.
func (t *Team) addUnfinished(job *Job) {
	t.unfinished = append(t.unfinished, job)
	jobs := t.unfinished
	for i := len(jobs) - 1; i > 0 && jobs[i-1].EligibleSince > jobs[i].EligibleSince; i-- {
		jobs[i-1], jobs[i] = jobs[i], jobs[i-1]
	}
}

// removeUnfinished takes a job that is over, or handed back, from its team's unfinished ones.
func (s *State) removeUnfinished(job *Job) {
	if job.Team == nil {
		return
	}
	unfinished := job.Team.unfinished
	if i := slices.Index(unfinished, job); i >= 0 {
		job.Team.unfinished = slices.Delete(unfinished, i, i+1)
	}
}
