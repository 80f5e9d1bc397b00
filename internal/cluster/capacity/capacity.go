// Package capacity tracks the capacity of machines and what the allocations on them use, and keeps
// the index by which the scheduler finds a machine with enough free resources. It makes no
// scheduling decisions.
//
// It does no locking: all of it belongs to the goroutine that owns the cluster state.
package capacity

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// PriorityLevels is the number of job priority levels; 0 is the highest.
const PriorityLevels = 4

// MachineType is a machine type of the cloud's catalog with its learnt speed.
type MachineType struct {
	wire.MachineType
	Index       int     // position in the catalog
	SpeedFactor float64 // actual speed relative to the catalog's
}

// Resources is an amount of a machine's resources: CPUs, GPUs, memory in GB, and scaled CPUs, which
// are CPUs weighted by the speed of the machine type.
type Resources struct{ CPU, GPU, MemoryGB, ScaledCPU float64 }

// Add adds factor times the other amount.
func (r *Resources) Add(other Resources, factor float64) {
	r.CPU += factor * other.CPU
	r.GPU += factor * other.GPU
	r.MemoryGB += factor * other.MemoryGB
	r.ScaledCPU += factor * other.ScaledCPU
}

// Capacity is what the allocations on a machine use.
type Capacity struct {
	UsedCPU        float64 // CPUs
	UsedGPU        float64
	UsedMemoryGB   float64
	UsedScaledCPU  float64                   // CPUs weighted by the speed of the machine type
	UsedByPriority [PriorityLevels]Resources // by priority level, excluding attempts that are being stopped
	UsedByStopping Resources                 // by attempts that are being stopped

	IdleSince             micro.Time // since when it has been idle; valid while it has no allocation
	LastNeededForHeadroom micro.Time // when it was last counted as headroom
}

// AddUsage adds (factor 1) or subtracts (factor -1) the usage of an allocation.
func (c *Capacity) AddUsage(amount Resources, factor float64) {
	c.UsedCPU += factor * amount.CPU
	c.UsedGPU += factor * amount.GPU
	c.UsedMemoryGB += factor * amount.MemoryGB
	c.UsedScaledCPU += factor * amount.ScaledCPU
}

// AddUsageByPriority adds (factor 1) or subtracts (factor -1) the usage of an allocation at its
// priority level or, if its task is being stopped, as resources that will become free in any case.
func (c *Capacity) AddUsageByPriority(level int, stopping bool, amount Resources, factor float64) {
	if stopping {
		c.UsedByStopping.Add(amount, factor)
	} else {
		c.UsedByPriority[min(level, PriorityLevels-1)].Add(amount, factor)
	}
}

// ResetUsage sets the usage to exactly zero when no allocation is left, to discard rounding errors.
func (c *Capacity) ResetUsage() {
	c.UsedCPU, c.UsedGPU, c.UsedMemoryGB, c.UsedScaledCPU = 0, 0, 0, 0
	c.UsedByPriority, c.UsedByStopping = [PriorityLevels]Resources{}, Resources{}
}

// Preemptible returns the resources used by tasks of lower priority than the given level or by
// tasks that are being stopped.
func (c *Capacity) Preemptible(level int) Resources {
	resources := c.UsedByStopping
	for lower := level + 1; lower < PriorityLevels; lower++ {
		resources.Add(c.UsedByPriority[lower], 1)
	}
	return resources
}
