package cluster

import "notchmux.dev/notchmux/internal/cluster/capacity"

// What machines have and hold, and the index by which the scheduler finds them.
type (
	// MachineType is a machine type with its learnt speed.
	MachineType = capacity.MachineType
	// Resources is an amount of a machine.
	Resources = capacity.Resources
	// Capacity is what the allocations on a machine use.
	Capacity = capacity.Capacity
	// MachinePool holds the machines of one type, zone and kind that take new tasks.
	MachinePool = capacity.Pool[Machine]

	poolPosition = capacity.Position[Machine]
	poolIndex    = capacity.Index[Machine, *Machine]
)

// BucketFor is the row of a pool for a machine with so many scaled CPUs free.
func BucketFor(freeCPU float64) int { return capacity.BucketFor(freeCPU) }

// updatePool puts a machine into the row where the scheduler looks for it, or takes it out if
// it takes no new tasks. Whatever changes a machine's free resources, or whether it may be
// used, calls it.
func (s *State) updatePool(machine *Machine) {
	if machine.acceptsTasks() {
		s.PutInPool(machine, machine.Type, machine.Zone, machine.Spot, machine.Type.CPUs-machine.UsedScaledCPU)
	} else {
		s.RemoveFromPool(machine)
	}
}

// resources is what an allocation uses of its machine.
func (a *Allocation) resources() Resources {
	spec := &a.Job.Spec
	return Resources{CPU: spec.CPUs, GPU: spec.GPUs, MemoryGB: spec.MemoryGB, ScaledCPU: a.ScaledCPU}
}

// addAllocationUsage counts an allocation in (factor 1) or out (factor -1) by its priority level.
func (m *Machine) addAllocationUsage(allocation *Allocation, factor float64) {
	m.AddUsageByPriority(allocation.Job.PriorityLevel, allocation.Stopping, allocation.resources(), factor)
}
