package cluster

import "notchmux.dev/notchmux/internal/cluster/capacity"

// Capacity and usage of machines, and the index by which the scheduler finds them.
type (
	// MachineType is a machine type with its learnt speed.
	MachineType = capacity.MachineType
	// Resources is an amount of a machine's resources.
	Resources = capacity.Resources
	// Capacity is what the allocations on a machine use.
	Capacity = capacity.Capacity
	// MachinePool holds the schedulable machines of one type, zone and kind (spot or not).
	MachinePool = capacity.Pool[Machine]

	poolPosition = capacity.Position[Machine]
	poolIndex    = capacity.Index[Machine, *Machine]
)

// BucketFor returns the pool bucket of a machine with the given number of scaled CPUs free.
func BucketFor(freeCPU float64) int { return capacity.BucketFor(freeCPU) }

// updatePool puts a machine into the bucket in which the scheduler looks for it, or removes it if
// no new tasks may be placed on it. It must be called after each change of a machine's free
// resources or of whether it accepts tasks.
func (s *State) updatePool(machine *Machine) {
	if machine.acceptsTasks() {
		s.PutInPool(machine, machine.Type, machine.Zone, machine.Spot, machine.Type.CPUs-machine.UsedScaledCPU)
	} else {
		s.RemoveFromPool(machine)
	}
}

// resources returns the resources that an allocation uses on its machine.
func (a *Allocation) resources() Resources {
	spec := &a.Job.Spec
	return Resources{CPU: spec.CPUs, GPU: spec.GPUs, MemoryGB: spec.MemoryGB, ScaledCPU: a.ScaledCPU}
}

// addAllocationUsage adds (factor 1) or subtracts (factor -1) the usage of an allocation at its
// job's priority level.
func (m *Machine) addAllocationUsage(allocation *Allocation, factor float64) {
	m.AddUsageByPriority(allocation.Job.PriorityLevel, allocation.Stopping, allocation.resources(), factor)
}
