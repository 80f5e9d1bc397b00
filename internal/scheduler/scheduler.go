package scheduler

import (
	"math/rand/v2"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Scheduler chooses machines for tasks. It is not safe for concurrent use: only the goroutine that
// owns the cluster state may call its methods or access its fields.
type Scheduler struct {
	Cluster    *cluster.State
	Objectives *Objectives
	Properties *config.Properties
	Rand       *rand.Rand
	// WithinPrice reports whether the price of a machine type, spot or on-demand, is acceptable for a
	// job. If it is nil, every price is.
	WithinPrice func(job *cluster.Job, t *cluster.MachineType, spot bool, now micro.Time) bool
	// Overloaded is set while scheduling passes take too long. If many tasks are pending as well, only
	// a sample of each bucket of equivalent machines is examined.
	Overloaded bool

	MachinesExamined int // number of machines examined so far, for tests and metrics
	sampling         bool
	relaxation       relaxation
	reservedMachines map[*cluster.Machine]bool
	reservations     map[*cluster.Job]zoneReservation
	maxTasksByClass  map[string]int // largest task count of any job seen, by class
	headroom         []gpuHeadroom  // machines kept free for GPU jobs, recounted in each pass
	nextQuotaReview  micro.Time
	transferRecords  map[*cluster.Job]transferRecord
	stoppingQuota    map[*cluster.Team]resources // quota held by stopping tasks, as of the last quota review
}

// resources is the request of a task, or the amount of a machine's resources that a plan uses in
// addition to existing allocations.
type resources = cluster.Resources

// requestOn returns the resources that a task of the job uses on a machine of type t. ScaledCPU depends
// on the type's speed.
func requestOn(spec *wire.Job, t *cluster.MachineType) resources {
	return resources{
		CPU: spec.CPUs, GPU: spec.GPUs, MemoryGB: spec.MemoryGB, ScaledCPU: ScaledCPUs(spec.CPUs, t.SpeedFactor, t.CPUs),
	}
}

// Range of the jobs' priority levels. A smaller number is a higher priority.
const (
	highestPriorityLevel = 0
	lowestPriorityLevel  = 3
)

// allocatedResources returns the resources that an allocation uses. The allocation must have a job.
func allocatedResources(allocation *cluster.Allocation) resources {
	spec := &allocation.Job.Spec
	return resources{CPU: spec.CPUs, GPU: spec.GPUs, MemoryGB: spec.MemoryGB, ScaledCPU: allocation.ScaledCPU}
}
