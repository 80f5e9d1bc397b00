package autoscaler

import (
	"slices"
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// A large machine that runs a dozen short tasks hardly ever becomes empty, because best-fit placement
// fills it again. Where cost matters and no job waits for capacity, the most expensive machines that
// are not needed are therefore cordoned, and terminated once they are empty.

const (
	cordonDelay        = 10 * micro.Second // time without a backlog before machines are cordoned
	cordonSlack        = 1.35              // capacity to keep for job arrays, as a multiple of what they use
	cordonFleetDivisor = 50                // a plan cordons at most one machine per so many in the fleet, plus one
)

// planCordons returns the machines to cordon and the machines to uncordon.
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

// needsAllMachines reports whether no machine may be cordoned: a job waits for capacity, or cost does
// not matter.
func (p *Planner) needsAllMachines(demands []taskDemand) bool {
	return !p.limitsCost() || slices.ContainsFunc(demands, func(demand taskDemand) bool { return demand.job != nil })
}

// cordonedMachines returns the cordoned machines, sorted by name.
func (p *Planner) cordonedMachines() []*cluster.Machine {
	var cordoned []*cluster.Machine
	for _, machine := range p.Cluster.SortedMachines() {
		if machine.Cordoned {
			cordoned = append(cordoned, machine)
		}
	}
	return cordoned
}

// fleetArrayCapacity returns what job arrays use on schedulable machines, what is available to them
// there, and the machines that may be cordoned.
func (p *Planner) fleetArrayCapacity(
	now micro.Time,
) (used, available cluster.Resources, candidates []*cluster.Machine) {
	for _, machine := range p.Cluster.SortedMachines() {
		if !machine.Schedulable(now) {
			continue
		}
		usedByArrays, usableByArrays, hasOtherWork := machineArrayCapacity(machine)
		used.Add(usedByArrays, 1)
		available.Add(usableByArrays, 1)
		if !hasOtherWork && !machine.Permanent && !p.usableForGPUWork(machine) && machine.ReservedFor == nil &&
			now-machine.LastNeededForHeadroom > 5*micro.Second {
			candidates = append(candidates, machine)
		}
	}
	return used, available, candidates
}

// machineArrayCapacity returns what job arrays use on a machine, what other work leaves to them, and
// whether there is other work.
func machineArrayCapacity(
	machine *cluster.Machine,
) (usedByArrays, usableByArrays cluster.Resources, hasOtherWork bool) {
	usableByArrays = cluster.Resources{CPU: machine.Type.CPUs, MemoryGB: machine.Type.MemoryGB}
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
			usableByArrays.Add(request, -1)
		}
	}
	return usedByArrays, usableByArrays, hasOtherWork
}

// usableForGPUWork reports whether a class that requests GPUs may use a machine. Such machines are not
// cordoned: they are scarce, slow to become ready, and terminated when idle anyway.
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

// pricePerCPU returns a machine's hourly price per CPU.
func pricePerCPU(m *cluster.Machine) float64 {
	return priceOf(InstanceOffer{Spot: m.Spot}, m.Type) / m.Type.CPUs
}
