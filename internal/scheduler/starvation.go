package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Priorities alone would let work of the lowest priority, and the largest gangs and arrays
// of any, wait for ever behind a stream of other work. So age counts: for those
// that have waited longest, capacity is reserved, whatever their priority: machines soon
// free take nothing else until they fit. It is reserved for a few at a time only:
// most of the capacity still goes by priority and objective.

// Capacity is reserved for at most maxReservingJobs jobs at a time, and for no more than
// one to so many machines.
const (
	maxReservingJobs     = 4
	reservedFleetDivisor = 16
)

// The largest jobs should begin within this. Of those for which capacity is reserved
// the ones that still can come first.
const largeJobStartTarget = 225 * micro.Second

// earlyStarvationDivisor is the part of the time after which work counts as starved that the
// largest jobs wait, and that a class or team may go without an allocation.
const earlyStarvationDivisor = 2

// starved reports whether an old job will not be reached in its turn: the
// largest, which what comes free is seldom enough for, and those of a class or a
// team none of whose tasks has been placed for long.
func (s *Scheduler) starved(job *cluster.Job, now micro.Time) bool {
	if !s.waitedTooLong(job, now) {
		return false
	}
	since := now - s.Properties.StarvationAfter/earlyStarvationDivisor
	return s.amongLargest(job) && !job.Started || job.Class.LastPlacedAt < since ||
		job.Team != nil && job.Team.LastPlacedAt < since
}

// zoneReservation is a job that capacity is reserved for: machines of a zone as they come
// free, one by one.
type zoneReservation struct {
	zone  string // "": any
	since micro.Time
}

// reserveBusyAfter is how long capacity may be reserved from what comes free by itself.
// After that machines are cleared for the job.
const reserveBusyAfter = 15 * micro.Second

// fillReservations reserves what came free for the jobs that capacity is reserved for.
func (s *Scheduler) fillReservations(now micro.Time) {
	for _, job := range s.reservingJobs() {
		reservation := s.reservations[job]
		s.reserveFree(job, reservation.zone, now)
		if now-reservation.since > reserveBusyAfter && s.countReserved(job) == 0 {
			s.reserveSoonestFree(job, minAllocations(job), now)
		}
		if now-reservation.since > starvationReservationTTL {
			delete(s.reservations, job) // another zone, perhaps
		}
	}
}

// reservingJobs lists the jobs that capacity is still reserved for, the oldest reservation
// first, and drops the others.
func (s *Scheduler) reservingJobs() []*cluster.Job {
	jobs := make([]*cluster.Job, 0, len(s.reservations))
	for job := range s.reservations {
		if job.State != cluster.Active || job.PendingTasks() == 0 || job.Spec.Kind == wire.Gang && job.AllocationCount > 0 {
			delete(s.reservations, job)
			continue
		}
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(a, b int) bool {
		sinceA, sinceB := s.reservations[jobs[a]].since, s.reservations[jobs[b]].since
		if sinceA != sinceB {
			return sinceA < sinceB
		}
		return jobs[a].Spec.ID < jobs[b].Spec.ID
	})
	return jobs
}

// reserveFree reserves machines that have capacity for the job as they are, as many as it
// lacks.
func (s *Scheduler) reserveFree(job *cluster.Job, zone string, now micro.Time) {
	missing := minAllocations(job) - s.countReserved(job)
	for _, pool := range s.Cluster.Pools {
		if missing <= 0 {
			return
		}
		if !isCandidatePool(job, pool, zone) || !ZoneAllowed(job, pool.Zone, nil) {
			continue
		}
		for machine := range machinesWithCapacity(pool, requestOn(&job.Spec, pool.Type)) {
			if machine.ReservedFor != nil || !s.mayUse(job, machine, now) {
				continue
			}
			s.reserveMachine(machine, job, true, now)
			if missing--; missing == 0 {
				return
			}
		}
	}
}

// minAllocations is how many allocations a job needs at once.
func minAllocations(job *cluster.Job) int {
	if job.Spec.Kind == wire.Gang {
		return len(job.Tasks)
	}
	return 1
}

// startReservations begins to reserve capacity for the oldest jobs that still wait.
func (s *Scheduler) startReservations(starved []*cluster.Job, overloaded bool, now micro.Time) {
	limit := s.maxReservations(overloaded)
	if len(s.reservations) >= limit || len(starved) == 0 {
		return
	}
	if s.reservations == nil {
		s.reservations = map[*cluster.Job]zoneReservation{}
	}
	sort.Slice(starved, func(a, b int) bool { return reservesBefore(starved[a], starved[b], now) })
	for _, job := range starved {
		if len(s.reservations) >= limit {
			return
		}
		if _, ok := s.reservations[job]; ok || job.State != cluster.Active || job.PendingTasks() == 0 {
			continue
		}
		s.startReservation(job, now)
	}
}

// maxReservations is for how many jobs capacity is reserved at a time. While a class is
// overloaded, what comes free soon is enough for one, and all else waits for it meanwhile.
func (s *Scheduler) maxReservations(overloaded bool) int {
	if overloaded {
		return 1
	}
	return min(maxReservingJobs, s.maxReservedMachines())
}

// maxReservedMachines is the part of the fleet that may be reserved for work that waited long.
func (s *Scheduler) maxReservedMachines() int {
	return max(len(s.Cluster.Machines)/reservedFleetDivisor, 1)
}

// reservesBefore orders starved jobs: those that can still begin within largeJobStartTarget
// first, then the oldest.
func reservesBefore(x, y *cluster.Job, now micro.Time) bool {
	lateBefore := now - largeJobStartTarget
	xLate, yLate := x.EligibleSince < lateBefore, y.EligibleSince < lateBefore
	if xLate != yLate {
		return yLate
	}
	if x.EligibleSince != y.EligibleSince {
		return x.EligibleSince < y.EligibleSince
	}
	return x.Spec.ID < y.Spec.ID
}

// startReservation begins to reserve capacity for a job, or what it lacks of its team's quota.
func (s *Scheduler) startReservation(job *cluster.Job, now micro.Time) {
	if !job.WithinQuota(minAllocations(job)) {
		reserveQuota(job, now)
		return
	}
	if zone, ok := s.reservationZone(job); ok {
		s.reservations[job] = zoneReservation{zone, now}
		s.Cluster.Log("reservation", "job", job.Spec.ID, "allocations", minAllocations(job), "zone", zone)
	}
}

// reserveQuota saves a team's quota up for a job: its smaller jobs would use up each bit of it
// that comes free.
func reserveQuota(job *cluster.Job, now micro.Time) {
	team := job.Team
	if team.QuotaReservedFor == nil && job.AllocationCount == 0 && now >= team.QuotaReservableAfter {
		team.QuotaReservedFor, team.QuotaReservedAt = job, now
	}
}

// reservationZone is the zone with most machines for the job, over the jobs that machines
// are being reserved for there already.
func (s *Scheduler) reservationZone(job *cluster.Job) (zone string, ok bool) {
	best := 0.0
	for _, option := range s.candidateZones(job) {
		machines := countMachines(s.Cluster.Pools, job, option)
		perReservation := float64(machines) / float64(1+s.countReservations(option))
		if machines >= 1 && perReservation > best {
			zone, best, ok = option, perReservation, true
		}
	}
	return zone, ok
}

// countMachines counts the machines that a job may use in a zone, or in all if it is "".
func countMachines(pools []*cluster.MachinePool, job *cluster.Job, zone string) int {
	count := 0
	for _, pool := range pools {
		if isCandidatePool(job, pool, zone) {
			count += pool.MachineCount
		}
	}
	return count
}

// countReservations counts the jobs that capacity is reserved for in a zone.
func (s *Scheduler) countReservations(zone string) int {
	count := 0
	for _, reservation := range s.reservations {
		if reservation.zone == zone {
			count++
		}
	}
	return count
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
	return tasks > 1 && 4*tasks >= 3*s.maxTasksByClass[job.Spec.Class] // within a quarter
}

// waitedTooLong reports whether a job has waited too long; the largest wait half as long.
func (s *Scheduler) waitedTooLong(job *cluster.Job, now micro.Time) bool {
	waitLimit := s.Properties.StarvationAfter
	if s.amongLargest(job) && !job.Started {
		waitLimit /= earlyStarvationDivisor
	}
	return now-job.EligibleSince > waitLimit
}
