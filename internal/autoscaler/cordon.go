package autoscaler

import (
	"slices"
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// A large machine with a dozen short tasks is never empty by chance, since the
// tightest fit fills it again: where cost matters and nothing waits, the
// most expensive machines that are not needed are cordoned, and terminated once they
// are empty.

const (
	cordonDelay        = 10 * micro.Second // how long nothing must have waited
	cordonSlack        = 1.35              // capacity kept, over what short work uses
	cordonFleetDivisor = 50                // one machine in so many, at least one, with each plan
)

// planCordons says which machines are to take no new tasks, and which are to take them again.
func (p *Planner) planCordons(demands []taskDemand, now micro.Time) (cordon, uncordon []*cluster.Machine) {
	if p.needsAllMachines(demands) {
		p.noBacklogSince = 0
		return nil, p.cordonedMachines()
	}
	if p.noBacklogSince == 0 {
		p.noBacklogSince = now
	}
	if now-p.noBacklogSince < cordonDelay {
		return nil, nil
	}
	used, available, candidates := p.fleetArrayCapacity(now)
	sort.SliceStable(candidates, func(a, b int) bool { return pricePerCPU(candidates[a]) > pricePerCPU(candidates[b]) })
	for _, machine := range candidates[:min(len(candidates), len(p.Cluster.Machines)/cordonFleetDivisor+1)] {
		available.CPU -= machine.Type.CPUs
		available.MemoryGB -= machine.Type.MemoryGB
		if available.CPU < cordonSlack*used.CPU || available.MemoryGB < cordonSlack*used.MemoryGB {
			break
		}
		cordon = append(cordon, machine)
	}
	return cordon, nil
}

// needsAllMachines reports whether a job waits for capacity, or cost does not matter.
func (p *Planner) needsAllMachines(demands []taskDemand) bool {
	return !p.limitsCost() || slices.ContainsFunc(demands, func(demand taskDemand) bool { return demand.job != nil })
}

func (p *Planner) cordonedMachines() []*cluster.Machine {
	var cordoned []*cluster.Machine
	for _, machine := range p.Cluster.SortedMachines() {
		if machine.Cordoned {
			cordoned = append(cordoned, machine)
		}
	}
	return cordoned
}

// fleetArrayCapacity is what arrays use and what there is for them, and the machines that could do
// without.
func (p *Planner) fleetArrayCapacity(now micro.Time) (used, available cluster.Resources, candidates []*cluster.Machine) {
	for _, machine := range p.Cluster.SortedMachines() {
		if !machine.Schedulable(now) {
			continue
		}
		usedByArrays, free, hasOtherWork := machineArrayCapacity(machine)
		used.Add(usedByArrays, 1)
		available.Add(free, 1)
		if !hasOtherWork && !machine.Permanent && !p.usableForGPUWork(machine) && machine.ReservedFor == nil &&
			now-machine.LastNeededForHeadroom > 5*micro.Second {
			candidates = append(candidates, machine)
		}
	}
	return used, available, candidates
}

// machineArrayCapacity is what arrays use on a machine, what other work leaves to them, and whether
// there is any.
func machineArrayCapacity(machine *cluster.Machine) (usedByArrays, free cluster.Resources, hasOtherWork bool) {
	free = cluster.Resources{CPU: machine.Type.CPUs, MemoryGB: machine.Type.MemoryGB}
	for _, allocation := range machine.Allocations {
		if allocation.Job == nil {
			continue
		}
		spec := &allocation.Job.Spec
		request := cluster.Resources{CPU: spec.CPUs, MemoryGB: spec.MemoryGB}
		if spec.Kind == wire.JobArray {
			usedByArrays.Add(request, 1)
		} else {
			hasOtherWork = true
			free.Add(request, -1)
		}
	}
	return usedByArrays, free, hasOtherWork
}

// usableForGPUWork reports whether a class that needs GPUs may use a machine: such
// machines are few, slow to get ready, and terminated when idle.
func (p *Planner) usableForGPUWork(m *cluster.Machine) bool {
	if m.Type.GPUs == 0 {
		return false
	}
	for _, class := range p.Cluster.Classes {
		if spec := class.LastJob; spec != nil && spec.GPUs > 0 && scheduler.Allowed(spec, m.Type, m.Zone, m.Spot) {
			return true
		}
	}
	return false
}

func pricePerCPU(m *cluster.Machine) float64 {
	return priceOf(InstanceOffer{Spot: m.Spot}, m.Type) / m.Type.CPUs
}
