package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Ranks alone would let work of the lowest priority, and the largest gangs and arrays
// of any, wait for ever behind a stream of other work. So age counts: for those
// that have waited longest, capacity is reserved, whatever their rank: machines soon
// free take nothing else until they fit. Only a few are gathered for at a time:
// most of the capacity still goes by rank and objective.

// Capacity is gathered for at most maxReservingJobs jobs at a time, and for no more than
// one to so many machines.
const (
	maxReservingJobs     = 4
	reservedFleetDivisor = 16
)

// The largest jobs should begin within this. Of those for which capacity is reserved
// the ones that still can come first.
const largeJobStartTarget = 225 * micro.Second

// starved reports whether an old job will not be reached in its turn: the
// largest, which what comes free is seldom enough for, and those of a class or a
// team none of whose tasks has been placed for long.
func (s *Scheduler) starved(job *cluster.Job, now micro.Time) bool {
	if !s.waitedTooLong(job, now) {
		return false
	}
	since := now - s.Properties.StarvationAfter/2
	return s.amongLargest(job) && !job.Started || job.Class.LastPlacedAt < since ||
		job.Team != nil && job.Team.LastPlacedAt < since
}

// zoneReservation is a job that capacity is reserved for: machines of a zone as they come
// free, one by one.
type zoneReservation struct {
	zone  string // "": any
	since micro.Time
}

// reserveBusyAfter is how long capacity may be gathered from what comes free by itself.
// After that machines are cleared for the job.
const reserveBusyAfter = 15 * micro.Second

// fillReservations reserves what came free for the jobs that capacity is reserved for.
func (s *Scheduler) fillReservations(now micro.Time) {
	jobs := make([]*cluster.Job, 0, len(s.reservations))
	for job := range s.reservations {
		if job.State != cluster.Active || job.PendingTasks() == 0 || job.Spec.Kind == wire.Gang && job.AllocationCount > 0 {
			delete(s.reservations, job)
			continue
		}
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(a, b int) bool {
		return s.reservations[jobs[a]].since < s.reservations[jobs[b]].since ||
			s.reservations[jobs[a]].since == s.reservations[jobs[b]].since && jobs[a].Spec.ID < jobs[b].Spec.ID
	})
	for _, job := range jobs {
		reservation := s.reservations[job]
		missing := minAllocations(job) - s.countReserved(job)
		for _, pool := range s.Cluster.Pools {
			if missing <= 0 || pool.MachineCount == 0 || reservation.zone != "" && pool.Zone != reservation.zone ||
				!Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot) ||
				!ZoneAllowed(job, pool.Zone, nil) {
				continue
			}
			request := requestOn(&job.Spec, pool.Type)
			for row := int(request.ScaledCPU - eps); row < pool.Rows() && missing > 0; row++ {
				for _, machine := range pool.Row(row) {
					if missing > 0 && machine.ReservedFor == nil && fits(request, machine, nil, resources{}) &&
						s.mayUse(job, machine, now) {
						s.reserveMachine(machine, job, true, now)
						missing--
					}
				}
			}
		}
		if now-reservation.since > reserveBusyAfter && s.countReserved(job) == 0 {
			s.reserveSoonestFree(job, minAllocations(job), now)
		}
		if now-reservation.since > starvationReservationTTL {
			delete(s.reservations, job) // another zone, perhaps
		}
	}
}

// minAllocations is how many places a job needs at once.
func minAllocations(job *cluster.Job) int {
	if job.Spec.Kind == wire.Gang {
		return len(job.Tasks)
	}
	return 1
}

// startReservations begins to reserve capacity for the oldest jobs that still wait.
func (s *Scheduler) startReservations(starved []*cluster.Job, overloaded bool, now micro.Time) {
	limit := min(maxReservingJobs, max(len(s.Cluster.Machines)/reservedFleetDivisor, 1))
	if overloaded {
		// What comes free soon is enough for one at a time, and all else waits
		// for it meanwhile.
		limit = 1
	}
	if len(s.reservations) >= limit || len(starved) == 0 {
		return
	}
	if s.reservations == nil {
		s.reservations = map[*cluster.Job]zoneReservation{}
	}
	sort.Slice(starved, func(a, b int) bool {
		sinceA, sinceB := starved[a].EligibleSince, starved[b].EligibleSince
		if overdueBefore := now - largeJobStartTarget; (sinceA < overdueBefore) != (sinceB < overdueBefore) {
			return sinceB < overdueBefore
		}
		if sinceA != sinceB {
			return sinceA < sinceB
		}
		return starved[a].Spec.ID < starved[b].Spec.ID
	})
	for _, job := range starved {
		if len(s.reservations) >= limit {
			return
		}
		if _, ok := s.reservations[job]; ok || job.State != cluster.Active || job.PendingTasks() == 0 {
			continue
		}
		if team := job.Team; team != nil && !team.WithinLimit(job.Spec.CPUs, job.Spec.GPUs, minAllocations(job)) {
			if team.QuotaReservedFor == nil && job.AllocationCount == 0 && now >= team.QuotaReservableAfter {
				// Its smaller jobs would use up each bit of its limit that comes
				// free.
				team.QuotaReservedFor, team.QuotaReservedAt = job, now
			}
			continue
		}
		if zone, ok := s.reservationZone(job); ok {
			s.reservations[job] = zoneReservation{zone, now}
			s.Cluster.Log("gather", "job", job.Spec.ID, "places", minAllocations(job), "zone", zone)
		}
	}
}

// reservationZone is the zone with most machines for the job, over what is being
// gathered there already.
func (s *Scheduler) reservationZone(job *cluster.Job) (zone string, ok bool) {
	best := 0.0
	for _, option := range s.candidateZones(job) {
		machines := 0
		for _, pool := range s.Cluster.Pools {
			if (option == "" || pool.Zone == option) && Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot) {
				machines += pool.MachineCount
			}
		}
		competing := 1
		for _, reservation := range s.reservations {
			if reservation.zone == option {
				competing++
			}
		}
		if perReservation := float64(machines) / float64(competing); machines >= 1 && perReservation > best {
			zone, best, ok = option, perReservation, true
		}
	}
	return zone, ok
}

// hasReservation reports whether machines are reserved for the job.
func (s *Scheduler) hasReservation(job *cluster.Job) bool { return s.countReserved(job) > 0 }

// transferReservation keeps a machine that was gathered for a job for the next of its class and
// team that none was placed of, as long as it would have been kept for the first: a
// swarm of single tasks got no more than one of them through at a time, once in a
// minute and a half. None is handed on while one machine to reservedFleetDivisor is held
// already.
func (s *Scheduler) transferReservation(machine *cluster.Machine, previous *cluster.Job, since, now micro.Time) {
	reservedCount := 0
	for other := range s.reservedMachines {
		if other.StarvationReservation && other.ReservedFor != nil {
			reservedCount++
		}
	}
	if reservedCount >= max(len(s.Cluster.Machines)/reservedFleetDivisor, 1) {
		return
	}
	var next *cluster.Job
	for job := range s.Cluster.PendingJobs {
		if job.Class != previous.Class || job.Team != previous.Team || job.Spec.Kind == wire.Gang || job.Started ||
			job.AllocationCount > 0 ||
			job.InBackoff(now) ||
			s.countReserved(job) > 0 ||
			!Allowed(&job.Spec, machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		if next == nil || job.EligibleSince < next.EligibleSince ||
			job.EligibleSince == next.EligibleSince && job.Spec.ID < next.Spec.ID {
			next = job
		}
	}
	if next != nil {
		s.reserveMachine(machine, next, true, now)
		machine.ReservedAt = since
	}
}

// amongLargest reports whether a job is among the largest of its class.
func (s *Scheduler) amongLargest(job *cluster.Job) bool {
	if s.maxTasksByClass == nil {
		s.maxTasksByClass = map[string]int{}
	}
	tasks := len(job.Tasks)
	if tasks > s.maxTasksByClass[job.Spec.Class] {
		s.maxTasksByClass[job.Spec.Class] = tasks
	}
	return tasks > 1 && 4*tasks >= 3*s.maxTasksByClass[job.Spec.Class]
}

// waitedTooLong reports whether a job has waited too long; the largest wait half as long.
func (s *Scheduler) waitedTooLong(job *cluster.Job, now micro.Time) bool {
	waitLimit := s.Properties.StarvationAfter
	if s.amongLargest(job) && !job.Started {
		waitLimit /= 2
	}
	return now-job.EligibleSince > waitLimit
}

// reserveSoonestFree reserves the machines that are soonest free for a job that waited long
// and that nothing came free for,
// enough for a gang in one zone, or for one task of another job.
func (s *Scheduler) reserveSoonestFree(job *cluster.Job, tasks int, now micro.Time) {
	type spot struct {
		m    *cluster.Machine
		n    int // tasks it could hold
		free micro.Time
	}
	var best []spot
	var bestAt micro.Time
	for _, zone := range s.candidateZones(job) {
		var options []spot
		for _, pool := range s.Cluster.Pools {
			if pool.MachineCount == 0 || zone != "" && pool.Zone != zone ||
				!Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot) ||
				!ZoneAllowed(job, pool.Zone, nil) {
				continue
			}
			request := requestOn(&job.Spec, pool.Type)
			for row := range pool.Rows() {
				for _, machine := range pool.Row(row) {
					if machine.ReservedFor != nil || machine.QuarantinedUntil > now || !s.Cluster.MachineReachable(machine) ||
						job.FailedOn[machine.Name] {
						continue
					}
					if at, count := s.freeAt(request, machine, now); count > 0 {
						options = append(options, spot{machine, count, at})
					}
				}
			}
		}
		sort.Slice(options, func(a, b int) bool {
			if options[a].free != options[b].free {
				return options[a].free < options[b].free
			}
			return options[a].m.Name < options[b].m.Name
		})
		covered, count := 0, 0
		for ; count < len(options) && covered < tasks; count++ {
			covered += options[count].n
		}
		if covered >= tasks && (best == nil || options[count-1].free < bestAt) {
			best, bestAt = options[:count], options[count-1].free
		}
	}
	for _, choice := range best {
		s.reserveMachine(choice.m, job, true, now)
	}
}

// freeAt is when a machine is expected to be clear of all but services, and how
// many tasks fit then.
func (s *Scheduler) freeAt(request resources, machine *cluster.Machine, now micro.Time) (micro.Time, int) {
	at := now
	var remaining resources
	for _, allocation := range machine.Allocations {
		if allocation.Job == nil || allocation.Job.Spec.Kind == wire.Service && !allocation.Stopping {
			if allocation.Job != nil {
				remaining.Add(allocatedResources(allocation), 1)
			}
			continue
		}
		end := now
		if !allocation.Stopping {
			estimate := EstimatedRuntime(allocation.Job)
			end = now + estimate
			if allocation.RunningSince > 0 {
				end = max(allocation.RunningSince+estimate, now+estimate/4)
			}
		}
		at = max(at, end)
	}
	typ := machine.Type
	fitting := 1 << 20
	for _, dimension := range [][2]float64{{typ.CPUs - remaining.ScaledCPU, request.ScaledCPU}, {typ.CPUs - remaining.CPU, request.CPU}, {typ.GPUs - remaining.GPU, request.GPU}, {typ.MemoryGB - remaining.MemoryGB, request.MemoryGB}} {
		if dimension[1] > 0 {
			fitting = min(fitting, int(dimension[0]/dimension[1]+eps))
		}
	}
	return at, max(fitting, 0)
}
