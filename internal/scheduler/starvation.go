package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// With priorities alone, jobs of the lowest priority, and the largest gangs and arrays of any priority,
// could wait forever behind a stream of other jobs. Capacity is therefore reserved for the jobs that have
// waited longest, regardless of priority: machines that are free soon take no other tasks until the job
// fits. Only a few jobs at a time have such a reservation, so that most capacity is still assigned by
// priority and objective.

const (
	// maxReservingJobs is the maximum number of jobs for which capacity is reserved at a time.
	maxReservingJobs = 4
	// reservedFleetDivisor bounds the machines reserved for starved jobs to one in reservedFleetDivisor, or
	// to a single one in a smaller fleet.
	reservedFleetDivisor = 16
)

// largeJobStartTarget is the time within which the largest jobs should start. Starved jobs that can still
// meet it get reservations first.
const largeJobStartTarget = 225 * micro.Second

// earlyStarvationDivisor divides StarvationAfter. The quotient is how long the largest jobs wait until they
// count as starved, and how long a class or team may go without an allocation until its waiting jobs do.
const earlyStarvationDivisor = 2

// starved reports whether a job has waited too long and is unlikely to be placed in regular order: it is one
// of the largest jobs, for which the capacity that becomes free is seldom enough, or no task of its class
// or team has been placed for a long time.
func (s *Scheduler) starved(job *cluster.Job, now micro.Time) bool {
	if !s.waitedTooLong(job, now) {
		return false
	}
	since := now - s.Properties.StarvationAfter/earlyStarvationDivisor
	return s.amongLargest(job) && !job.Started || job.Class.LastPlacedAt < since ||
		job.Team != nil && job.Team.LastPlacedAt < since
}

// zoneReservation reserves machines of a zone for a job, one by one as they become free.
type zoneReservation struct {
	zone  string // "": all zones
	since micro.Time
}

// reserveBusyAfter is how long only free machines are reserved for a job. If it has none after that time,
// the busy machines that are expected to be free soonest are reserved.
const reserveBusyAfter = 15 * micro.Second

// fillReservations reserves machines for the jobs that have a zone reservation, and ends the reservations
// that have expired.
func (s *Scheduler) fillReservations(now micro.Time) {
	for _, job := range s.reservingJobs() {
		reservation := s.reservations[job]
		s.reserveFree(job, reservation.zone, now)
		if now-reservation.since > reserveBusyAfter && s.countReserved(job) == 0 {
			s.reserveSoonestFree(job, minAllocations(job), now)
		}
		if now-reservation.since > starvationReservationTTL {
			delete(s.reservations, job) // the next reservation may use another zone
		}
	}
}

// reservingJobs returns the jobs that still need their zone reservation, the oldest reservation first, and
// deletes the reservations of the other jobs.
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

// reserveFree reserves machines of the zone on which a task of the job fits now, until the job has as many
// reserved machines as it needs allocations.
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

// minAllocations returns how many allocations a job needs at once: one per task for a gang, else 1.
func minAllocations(job *cluster.Job) int {
	if job.Spec.Kind == wire.Gang {
		return len(job.Tasks)
	}
	return 1
}

// startReservations starts reservations for starved jobs that are still waiting, in the order of
// reservesBefore and up to maxReservations.
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

// maxReservations returns the maximum number of jobs with a zone reservation: maxReservingJobs, or less in a
// small fleet. While a class is overloaded it is 1: the capacity that becomes free soon is enough for one
// job, and all other jobs wait for it.
func (s *Scheduler) maxReservations(overloaded bool) int {
	if overloaded {
		return 1
	}
	return min(maxReservingJobs, s.maxReservedMachines())
}

// maxReservedMachines returns the maximum number of machines that may be reserved for starved jobs.
func (s *Scheduler) maxReservedMachines() int {
	return max(len(s.Cluster.Machines)/reservedFleetDivisor, 1)
}

// reservesBefore reports whether starved job x gets a reservation before y: jobs that can still start within
// largeJobStartTarget come first, then the oldest. Job IDs break ties.
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

// startReservation starts to reserve machines for a job, or its team's quota if the job exceeds that.
func (s *Scheduler) startReservation(job *cluster.Job, now micro.Time) {
	if team := job.Team; team != nil && !team.WithinLimit(job.Spec.CPUs, job.Spec.GPUs, minAllocations(job)) {
		reserveQuota(job, now)
		return
	}
	if zone, ok := s.reservationZone(job); ok {
		s.reservations[job] = zoneReservation{zone, now}
		s.Cluster.Log("reservation started", "job", job.Spec.ID, "allocations", minAllocations(job), "zone", zone)
	}
}

// reserveQuota reserves a team's quota for a job. Otherwise the team's smaller jobs would use each part of
// it as soon as it becomes free.
func reserveQuota(job *cluster.Job, now micro.Time) {
	team := job.Team
	if team.QuotaReservedFor == nil && job.AllocationCount == 0 && now >= team.QuotaReservableAfter {
		team.QuotaReservedFor, team.QuotaReservedAt = job, now
	}
}

// reservationZone returns the zone with the most machines that the job may use, relative to the number of
// zone reservations there including the new one. ok is false if no zone has such a machine.
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

// countMachines returns the number of machines that a job may use in a zone, or in all zones if it is "".
func countMachines(pools []*cluster.MachinePool, job *cluster.Job, zone string) int {
	count := 0
	for _, pool := range pools {
		if isCandidatePool(job, pool, zone) {
			count += pool.MachineCount
		}
	}
	return count
}

// countReservations returns the number of jobs with a zone reservation in a zone.
func (s *Scheduler) countReservations(zone string) int {
	count := 0
	for _, reservation := range s.reservations {
		if reservation.zone == zone {
			count++
		}
	}
	return count
}

// amongLargest reports whether a job has several tasks, and at least three quarters as many as the largest
// job of its class seen so far.
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

// waitedTooLong reports whether a job has waited longer than StarvationAfter since it became eligible. For
// the largest jobs that have not started, 1/earlyStarvationDivisor of that time is enough.
func (s *Scheduler) waitedTooLong(job *cluster.Job, now micro.Time) bool {
	waitLimit := s.Properties.StarvationAfter
	if s.amongLargest(job) && !job.Started {
		waitLimit /= earlyStarvationDivisor
	}
	return now-job.EligibleSince > waitLimit
}
