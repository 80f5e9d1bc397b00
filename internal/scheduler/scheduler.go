package scheduler

import (
	"math/rand/v2"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Scheduler chooses machines for tasks. Its fields and those of the cluster are read and changed
// only on the goroutine that owns the cluster's state; only that calls its methods.
type Scheduler struct {
	Cluster    *cluster.State
	Objectives *Objectives
	Properties *config.Properties
	Rand       *rand.Rand
	// WithinPrice says whether a job may use machines of a type and kind, by their price;
	// nil: always.
	WithinPrice func(job *cluster.Job, t *cluster.MachineType, spot bool, now micro.Time) bool
	// Overloaded is set while passes take too long. With many tasks pending, each row
	// of like machines is then looked at in samples.
	Overloaded bool

	MachinesExamined int // machines looked at, for tests and metrics
	sampling         bool
	relaxation       relaxation
	reservedMachines map[*cluster.Machine]bool
	reservations     map[*cluster.Job]zoneReservation
	maxTasksByClass  map[string]int // the most tasks that a class's jobs have
	headroom         []gpuHeadroom  // machines kept free for GPU jobs, as this pass finds them
	nextQuotaReview  micro.Time
	transferRecords  map[*cluster.Job]transferRecord
	stoppingQuota    map[*cluster.Team]resources // quota that is coming free, by the last review
}

// resources is what a task asks for, or what a plan has taken of a machine beyond what
// allocations hold.
type resources = cluster.Resources

func requestOn(spec *wire.Job, t *cluster.MachineType) resources {
	return resources{
		CPU: spec.CPUs, GPU: spec.GPUs, MemoryGB: spec.MemoryGB, ScaledCPU: ScaledCPUs(spec.CPUs, t.SpeedFactor, t.CPUs),
	}
}

// The ends of the jobs' priority levels.
const (
	highestPriorityLevel = 0
	lowestPriorityLevel  = 3
)

func allocatedResources(allocation *cluster.Allocation) resources {
	spec := &allocation.Job.Spec
	return resources{CPU: spec.CPUs, GPU: spec.GPUs, MemoryGB: spec.MemoryGB, ScaledCPU: allocation.ScaledCPU}
}
