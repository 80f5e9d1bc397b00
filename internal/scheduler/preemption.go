package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// preemptionReservationTTL is how long a machine that is being cleared stays reserved, and
// starvationReservationTTL one that is waited for.
const (
	preemptionReservationTTL = 20 * micro.Second
	starvationReservationTTL = micro.Minute
)

// reservationGap is how soon after a reservation that ended unused the next counts as
// the same hold.
const reservationGap = 10 * micro.Second

// quotaReservationBackoff is for how long no team's limit is saved up after it was. Saved up
// again at once, for a job that never got enough, it kept all others of its team
// waiting for ever.
const quotaReservationBackoff = 15 * micro.Second

// Preemption looks at no more machines than this that could make capacity. Work of
// the highest priority clears so many at a time; other arrays one: the work they stop
// has objectives of its own.
const (
	victimSample    = 24
	preemptionBatch = 16
)

// reserveMachine reserves a machine for a job.
func (s *Scheduler) reserveMachine(m *cluster.Machine, job *cluster.Job, starvationReservation bool, now micro.Time) {
	if s.reservedMachines == nil {
		s.reservedMachines = map[*cluster.Machine]bool{}
	}
	if m.UnusedReservationSince == 0 || now-m.UnusedReservationEndedAt > reservationGap {
		m.UnusedReservationSince = now
	}
	m.ReservedFor, m.ReservedAt, m.StarvationReservation = job, now, starvationReservation
	s.reservedMachines[m] = true
}

// expireReservations gives up reservations that are used, over or too old.
func (s *Scheduler) expireReservations(now micro.Time) {
	for _, team := range s.Cluster.Teams {
		if job := team.QuotaReservedFor; job != nil &&
			(job.State != cluster.Active || job.PendingTasks() == 0 || job.AllocationCount > 0 || now-team.QuotaReservedAt > starvationReservationTTL) {
			team.QuotaReservedFor, team.QuotaReservableAfter = nil, now+quotaReservationBackoff
		}
	}
	for machine := range s.reservedMachines {
		holder, ttl := machine.ReservedFor, preemptionReservationTTL
		if machine.StarvationReservation {
			ttl = starvationReservationTTL
		}
		if holder != nil &&
			(holder.State != cluster.Active || holder.PendingTasks() == 0 || now-machine.ReservedAt > ttl || !machine.Schedulable(now)) {
			machine.ReservedFor, machine.UnusedReservationEndedAt = nil, now
		}
		if machine.ReservedFor == nil {
			machine.StarvationReservation = false
			delete(s.reservedMachines, machine)
		}
	}
}

// countReserved is how many machines are reserved for a job.
func (s *Scheduler) countReserved(job *cluster.Job) int {
	count := 0
	for m := range s.reservedMachines {
		if m.ReservedFor == job {
			count++
		}
	}
	return count
}

// preempt stops work of lower priority so that the given tasks fit, if that is
// possible for all of them (for an array: for some), and reports whether capacity is
// coming.
func (s *Scheduler) preempt(job *cluster.Job, idx []int, zone string, now micro.Time) bool {
	reserved := s.countReserved(job)
	gang := job.Spec.Kind == wire.Gang
	if reserved >= len(idx) || !gang && reserved > 0 {
		return true
	}
	if !gang {
		limit := 1
		if job.PriorityLevel == 0 {
			limit = preemptionBatch
		}
		idx = idx[:min(len(idx), limit)]
	}
	planned, tasksByZone := map[*cluster.Machine]*resources{}, map[string]int{}
	freed := map[*cluster.Machine]*resources{}
	chosen := map[*cluster.Allocation]bool{}
	var targets []*cluster.Machine
	for range idx {
		machine, victims := s.victims(job, planned, tasksByZone, freed, chosen, zone, now)
		if machine == nil {
			if gang {
				return false
			}
			break
		}
		s.planAllocation(planned, tasksByZone, job, machine)
		freedHere := freed[machine]
		if freedHere == nil {
			freedHere = &resources{}
			freed[machine] = freedHere
		}
		for _, allocation := range victims {
			chosen[allocation] = true
			freedHere.Add(allocatedResources(allocation), 1)
		}
		targets = append(targets, machine)
	}
	if len(targets) == 0 {
		return false
	}
	for allocation := range chosen {
		grace := 0.0
		if allocation.Job.Spec.CheckpointIntervalS > 0 {
			// Saving first, unless the start is wanted sooner than that.
			startObjective := s.Objectives.StartObjective(job.Spec.Class)
			if startObjective == 0 || startObjective > 3*micro.FromSeconds(allocation.Job.Spec.CheckpointDurationS) {
				grace = allocation.Job.Spec.CheckpointDurationS
			}
		}
		s.Cluster.StopAllocation(allocation, "preempted by "+job.Spec.ID, grace, now)
		if allocation.Job.Spec.Kind == wire.Gang {
			for _, member := range allocation.Job.Allocations() {
				s.Cluster.StopAllocation(member, "preempted with its gang", grace, now)
			}
		}
	}
	for _, machine := range targets {
		s.reserveMachine(machine, job, false, now)
	}
	return true
}

func allocatedResources(allocation *cluster.Allocation) resources {
	spec := &allocation.Job.Spec
	return resources{CPU: spec.CPUs, GPU: spec.GPUs, MemoryGB: spec.MemoryGB, ScaledCPU: allocation.ScaledCPU}
}

// victims finds the machine where making capacity for one task loses least, among a
// sample of those that could make it.
func (s *Scheduler) victims(
	job *cluster.Job, planned map[*cluster.Machine]*resources, tasksByZone map[string]int,
	freed map[*cluster.Machine]*resources, chosen map[*cluster.Allocation]bool, zone string, now micro.Time,
) (*cluster.Machine, []*cluster.Allocation) {
	var best *cluster.Machine
	var bestVictims []*cluster.Allocation
	bestCost, examined := 0.0, 0
	for _, pool := range s.Cluster.Pools {
		if pool.MachineCount == 0 || zone != "" && pool.Zone != zone ||
			!Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot) ||
			!ZoneAllowed(job, pool.Zone, tasksByZone) ||
			s.rejectsPrice(job, pool, now) {
			continue
		}
		request := requestOn(&job.Spec, pool.Type)
		start := s.Rand.IntN(pool.Rows())
		for k := range pool.Rows() {
			for _, machine := range pool.Row((start + k) % pool.Rows()) {
				if examined >= victimSample {
					return best, bestVictims
				}
				if !fits(request, machine, planned[machine], machine.Preemptible(job.PriorityLevel)) ||
					machine.ReservedFor != nil && machine.ReservedFor != job ||
					machine.QuarantinedUntil > now ||
					!s.Cluster.MachineReachable(machine) ||
					job.FailedOn[machine.Name] {
					continue
				}
				if fits(request, machine, planned[machine], resources{}) && !s.mayUse(job, machine, now) {
					continue // its capacity is refused, not taken
				}
				examined++
				victims, cost, ok := s.victimsOn(job, machine, request, planned[machine], freed[machine], chosen, now)
				if ok && (best == nil || cost < bestCost) {
					best, bestVictims, bestCost = machine, victims, cost
				}
			}
		}
	}
	return best, bestVictims
}

// rejectsPrice reports whether capacity is dear for a job that would not take it once it
// is cleared. Machines that stood empty were reserved for such jobs, again and
// again, and closed to all others.
func (s *Scheduler) rejectsPrice(job *cluster.Job, pool *cluster.MachinePool, now micro.Time) bool {
	return (job.PriorityLevel > 0 || job.Spec.Kind == wire.Gang) && s.WithinPrice != nil &&
		!s.WithinPrice(job, pool.Type, pool.Spot, now)
}

// victimsOn lists what must go from a machine for a task to fit.
func (s *Scheduler) victimsOn(
	job *cluster.Job, machine *cluster.Machine, request resources, planned, freed *resources,
	chosen map[*cluster.Allocation]bool, now micro.Time,
) (victims []*cluster.Allocation, cost float64, ok bool) {
	var freedTotal resources
	if freed != nil {
		freedTotal = *freed
	}
	type cand struct {
		v    *cluster.Allocation
		loss float64
	}
	var options []cand
	for _, allocation := range machine.Allocations {
		if allocation.Job == nil || chosen[allocation] {
			continue
		}
		if allocation.Stopping {
			freedTotal.Add(allocatedResources(allocation), 1) // goes anyway
		} else if allocation.Job.PriorityLevel > job.PriorityLevel {
			options = append(options, cand{allocation, s.preemptionCost(allocation, now)})
		}
	}
	sort.Slice(options, func(a, b int) bool {
		if options[a].loss != options[b].loss {
			return options[a].loss < options[b].loss
		}
		return options[a].v.TaskName < options[b].v.TaskName
	})
	for _, option := range options {
		if fits(request, machine, planned, freedTotal) {
			break
		}
		victims = append(victims, option.v)
		freedTotal.Add(allocatedResources(option.v), 1)
		cost += option.loss
	}
	return victims, cost, fits(request, machine, planned, freedTotal)
}

// preemptionCost is what stopping an allocation costs: work that is not saved, weighted by rank.
func (s *Scheduler) preemptionCost(allocation *cluster.Allocation, now micro.Time) float64 {
	cost := 1.0
	if allocation.RunningSince > 0 {
		unsaved := (now - allocation.RunningSince).Seconds()
		if interval := allocation.Job.Spec.CheckpointIntervalS; interval > 0 {
			unsaved = min(unsaved, interval)
		}
		cost += unsaved
		if unsaved < 30 && s.Objectives.StartObjective(allocation.Job.Spec.Class) > 0 {
			cost += 60 // its start would not count
		}
	}
	return cost * allocation.Job.Spec.CPUs * float64(4-min(allocation.PriorityLevel(), 3))
}
