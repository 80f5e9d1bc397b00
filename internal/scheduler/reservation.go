package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// hasReservation reports whether machines are reserved for the job.
func (s *Scheduler) hasReservation(job *cluster.Job) bool { return s.countReserved(job) > 0 }

// transferReservation passes the starvation reservation of a machine on to the oldest array or service of the
// same class and team of which no task has been placed. The reservation still expires when it would have for the
// previous job. Without this, many single-task jobs were served only one at a time, once in a minute and
// a half. Nothing is passed on if one machine in reservedFleetDivisor is already reserved for starved
// jobs.
func (s *Scheduler) transferReservation(machine *cluster.Machine, previous *cluster.Job, since, now micro.Time) {
	reservedCount := 0
	for other := range s.reservedMachines {
		if other.StarvationReservation && other.ReservedFor != nil {
			reservedCount++
		}
	}
	if reservedCount >= s.maxReservedMachines() {
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

const (
	// preemptionReservationTTL is how long a machine stays reserved while preemption frees its capacity.
	preemptionReservationTTL = 20 * micro.Second
	// starvationReservationTTL is how long a machine, or a team's quota, stays reserved for a starved job.
	starvationReservationTTL = micro.Minute
)

// reservationGap is the maximum gap between an unused reservation of a machine and the next one for both
// to count as one unused period.
const reservationGap = 10 * micro.Second

// quotaReservationBackoff is how long a team's quota is not reserved again after a reservation of it ended.
// Without this delay, reserving it again and again for a job that never got enough kept all other jobs of
// the team waiting forever.
const quotaReservationBackoff = 15 * micro.Second

// reserveMachine reserves a machine for a job, either for starvation or for preemption.
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

// expireReservations ends the reservations that were used, are no longer needed, or have expired.
func (s *Scheduler) expireReservations(now micro.Time) {
	for _, team := range s.Cluster.Teams {
		if team.QuotaReservedFor != nil && quotaReservationOver(team, now) {
			team.QuotaReservedFor, team.QuotaReservableAfter = nil, now+quotaReservationBackoff
		}
	}
	for machine := range s.reservedMachines {
		if machine.ReservedFor != nil && reservationOver(machine, now) {
			machine.ReservedFor, machine.UnusedReservationEndedAt = nil, now
		}
		if machine.ReservedFor == nil {
			machine.StarvationReservation = false
			delete(s.reservedMachines, machine)
		}
	}
}

// quotaReservationOver reports whether the holder of a team's quota reservation no longer needs it, or the
// reservation has expired.
func quotaReservationOver(team *cluster.Team, now micro.Time) bool {
	holder := team.QuotaReservedFor
	return holder.State != cluster.Active || holder.PendingTasks() == 0 || holder.AllocationCount > 0 ||
		now-team.QuotaReservedAt > starvationReservationTTL
}

// reservationOver reports whether the holder of a machine's reservation no longer needs it, the reservation
// has expired, or the machine takes no new tasks.
func reservationOver(machine *cluster.Machine, now micro.Time) bool {
	holder, ttl := machine.ReservedFor, preemptionReservationTTL
	if machine.StarvationReservation {
		ttl = starvationReservationTTL
	}
	return holder.State != cluster.Active || holder.PendingTasks() == 0 || now-machine.ReservedAt > ttl ||
		!machine.Schedulable(now)
}

// countReserved returns the number of machines reserved for a job.
func (s *Scheduler) countReserved(job *cluster.Job) int {
	count := 0
	for m := range s.reservedMachines {
		if m.ReservedFor == job {
			count++
		}
	}
	return count
}
