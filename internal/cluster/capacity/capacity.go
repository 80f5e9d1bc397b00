// Package capacity counts what machines have, and what the allocations on them use, and keeps
// the index by which the scheduler finds a machine with enough left. It decides nothing.
//
// It locks nothing: all of it belongs to the goroutine that owns the cluster's state.
package capacity

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// PriorityLevels is the number of priority levels of jobs; 0 is the highest.
const PriorityLevels = 4

// MachineType is a machine type of the cloud's catalog, with its learnt speed.
type MachineType struct {
	wire.MachineType
	Index       int     // in the catalog
	SpeedFactor float64 // how much faster than the catalog says
}

// Resources is an amount of a machine: cores, GPUs, GB, and cores as the scheduler counts them.
type Resources struct{ CPU, GPU, MemoryGB, ScaledCPU float64 }

// Add adds another amount, times factor.
func (r *Resources) Add(other Resources, factor float64) {
	r.CPU += factor * other.CPU
	r.GPU += factor * other.GPU
	r.MemoryGB += factor * other.MemoryGB
	r.ScaledCPU += factor * other.ScaledCPU
}

// Capacity is what the allocations on a machine use.
type Capacity struct {
	UsedCPU        float64 // cores
	UsedGPU        float64
	UsedMemoryGB   float64
	UsedScaledCPU  float64                   // cores as the scheduler counts them, by the type's speed
	UsedByPriority [PriorityLevels]Resources // by priority level, without what is stopping
	UsedByStopping Resources                 // by attempts that were told to stop

	IdleSince             micro.Time // since when it is idle, while it holds no allocation
	LastNeededForHeadroom micro.Time // when headroom last counted on it
}

// AddUsage counts an allocation in (factor 1) or out (factor -1) of the totals.
func (c *Capacity) AddUsage(amount Resources, factor float64) {
	c.UsedCPU += factor * amount.CPU
	c.UsedGPU += factor * amount.GPU
	c.UsedMemoryGB += factor * amount.MemoryGB
	c.UsedScaledCPU += factor * amount.ScaledCPU
}

// AddUsageByPriority counts an allocation in (factor 1) or out (factor -1) by its priority level or, once
// its task is told to stop, as resources that come free anyway.
func (c *Capacity) AddUsageByPriority(level int, stopping bool, amount Resources, factor float64) {
	if stopping {
		c.UsedByStopping.Add(amount, factor)
	} else {
		c.UsedByPriority[min(level, PriorityLevels-1)].Add(amount, factor)
	}
}

// ResetUsage says that there is no allocation left: exactly nothing is used, whatever rounding left.
func (c *Capacity) ResetUsage() {
	c.UsedCPU, c.UsedGPU, c.UsedMemoryGB, c.UsedScaledCPU = 0, 0, 0, 0
	c.UsedByPriority, c.UsedByStopping = [PriorityLevels]Resources{}, Resources{}
}

// Preemptible is what tasks of a lower priority than the level's use, or what comes free anyway.
func (c *Capacity) Preemptible(level int) Resources {
	resources := c.UsedByStopping
	for lower := level + 1; lower < PriorityLevels; lower++ {
		resources.Add(c.UsedByPriority[lower], 1)
	}
	return resources
}
