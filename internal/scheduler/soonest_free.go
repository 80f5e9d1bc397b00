package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// reserveSoonestFree reserves the machines that are soonest free for a job that waited long
// and that nothing came free for, enough for a gang in one zone, or for one task of another
// job.
func (s *Scheduler) reserveSoonestFree(job *cluster.Job, tasks int, now micro.Time) {
	var best []soonFreeMachine
	var bestAt micro.Time
	for _, zone := range s.candidateZones(job) {
		chosen := smallestCoveringPrefix(s.soonFreeMachines(job, zone, now), tasks)
		if len(chosen) == 0 {
			continue
		}
		if last := chosen[len(chosen)-1].freeAt; best == nil || last < bestAt {
			best, bestAt = chosen, last
		}
	}
	for _, choice := range best {
		s.reserveMachine(choice.machine, job, true, now)
	}
}

// soonFreeMachine is a machine that a job may use, and when.
type soonFreeMachine struct {
	machine *cluster.Machine
	tasks   int // that it could hold
	freeAt  micro.Time
}

// soonFreeMachines lists a zone's machines for a job in the order in which they come free.
func (s *Scheduler) soonFreeMachines(job *cluster.Job, zone string, now micro.Time) []soonFreeMachine {
	var options []soonFreeMachine
	for _, pool := range s.Cluster.Pools {
		if !isCandidatePool(job, pool, zone) || !ZoneAllowed(job, pool.Zone, nil) {
			continue
		}
		request := requestOn(&job.Spec, pool.Type)
		for machine := range machinesOf(pool) {
			if !s.mayReserveBusy(job, machine, now) {
				continue
			}
			if at, tasks := freeAt(request, machine, now); tasks > 0 {
				options = append(options, soonFreeMachine{machine, tasks, at})
			}
		}
	}
	sort.Slice(options, func(a, b int) bool {
		if options[a].freeAt != options[b].freeAt {
			return options[a].freeAt < options[b].freeAt
		}
		return options[a].machine.Name < options[b].machine.Name
	})
	return options
}

// mayReserveBusy reports whether a busy machine may be reserved for a job.
func (s *Scheduler) mayReserveBusy(job *cluster.Job, machine *cluster.Machine, now micro.Time) bool {
	return machine.ReservedFor == nil && machine.QuarantinedUntil <= now && s.Cluster.MachineReachable(machine) &&
		!job.FailedOn[machine.Name]
}

// smallestCoveringPrefix is the first of the machines that hold so many tasks together; none if all
// do not.
func smallestCoveringPrefix(options []soonFreeMachine, tasks int) []soonFreeMachine {
	covered := 0
	for i, option := range options {
		if covered += option.tasks; covered >= tasks {
			return options[:i+1]
		}
	}
	return nil
}

// freeAt is when a machine is expected to be clear of all but services, and how
// many tasks fit then.
func freeAt(request resources, machine *cluster.Machine, now micro.Time) (at micro.Time, tasks int) {
	at = now
	var remaining resources
	for _, allocation := range machine.Allocations {
		switch {
		case allocation.Job == nil: // it holds nothing that is counted
		case allocation.Job.Spec.Kind == wire.Service && !allocation.Stopping:
			remaining.Add(allocatedResources(allocation), 1)
		default:
			at = max(at, expectedEnd(allocation, now))
		}
	}
	return at, tasksFitting(request, machine.Type, remaining)
}

// minRemainingDivisor is the part of its estimate that a task is expected to run for yet, at
// the least.
const minRemainingDivisor = 4

// expectedEnd is when an allocation is expected to be over.
func expectedEnd(allocation *cluster.Allocation, now micro.Time) micro.Time {
	if allocation.Stopping {
		return now
	}
	estimate := EstimatedRuntime(allocation.Job)
	if allocation.RunningSince == 0 {
		return now + estimate
	}
	return max(allocation.RunningSince+estimate, now+estimate/minRemainingDivisor)
}

// maxTasksOnMachine bounds the tasks of a job that asks for nothing.
const maxTasksOnMachine = 1 << 20

// tasksFitting is how many tasks fit on a machine of a type beside what remains there.
func tasksFitting(request resources, typ *cluster.MachineType, remaining resources) int {
	tasks := maxTasksOnMachine
	for _, dimension := range []struct{ free, each float64 }{
		{typ.CPUs - remaining.ScaledCPU, request.ScaledCPU},
		{typ.CPUs - remaining.CPU, request.CPU},
		{typ.GPUs - remaining.GPU, request.GPU},
		{typ.MemoryGB - remaining.MemoryGB, request.MemoryGB},
	} {
		if dimension.each > 0 {
			tasks = min(tasks, int(dimension.free/dimension.each+eps))
		}
	}
	return max(tasks, 0)
}
