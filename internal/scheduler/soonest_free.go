package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// reserveSoonestFree reserves the machines expected to be free soonest for a starved job for which no machine
// has become free. They must hold the given number of tasks, for a one-zone job in one zone.
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

// soonFreeMachine is a machine that a job may use once it is free.
type soonFreeMachine struct {
	machine *cluster.Machine
	tasks   int        // number of the job's tasks that fit then
	freeAt  micro.Time // expected time
}

// soonFreeMachines returns a zone's machines for a job in the order in which they are expected to be free.
// The zone "" stands for all zones.
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

// mayReserveBusy reports whether a machine may be reserved for a job before it has capacity.
func (s *Scheduler) mayReserveBusy(job *cluster.Job, machine *cluster.Machine, now micro.Time) bool {
	return machine.ReservedFor == nil && machine.QuarantinedUntil <= now && s.Cluster.MachineReachable(machine) &&
		!job.FailedOn[machine.Name]
}

// smallestCoveringPrefix returns the shortest prefix of the options whose machines together hold the given
// number of tasks, or nil if all of them do not.
func smallestCoveringPrefix(options []soonFreeMachine, tasks int) []soonFreeMachine {
	covered := 0
	for i, option := range options {
		if covered += option.tasks; covered >= tasks {
			return options[:i+1]
		}
	}
	return nil
}

// freeAt returns the time at which all tasks on a machine except running services are expected to have ended,
// and how many tasks of the request fit then.
func freeAt(request resources, machine *cluster.Machine, now micro.Time) (at micro.Time, tasks int) {
	at = now
	var remaining resources
	for _, allocation := range machine.Allocations {
		switch {
		case allocation.Job == nil: // its resources are not accounted for
		case allocation.Job.Spec.Kind == wire.Service && !allocation.Stopping:
			remaining.Add(allocatedResources(allocation), 1)
		default:
			at = max(at, expectedEnd(allocation, now))
		}
	}
	return at, tasksFitting(request, machine.Type, remaining)
}

// minRemainingDivisor sets the minimum remaining run time of a running task to 1/minRemainingDivisor of its
// estimated run time.
const minRemainingDivisor = 4

// expectedEnd returns the time at which an allocation's task is expected to end.
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

// maxTasksOnMachine bounds the result of tasksFitting for a request without resources.
const maxTasksOnMachine = 1 << 20

// tasksFitting returns how many tasks of the request fit on a machine of the type beside the remaining
// allocations.
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
