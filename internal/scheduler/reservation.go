package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// hasReservation reports whether machines are reserved for the job, or kept for it.
func (s *Scheduler) hasReservation(job *cluster.Job) bool {
	return job.MachinesKept || s.countReserved(job) > 0
}

// transferReservation keeps a machine that was reserved for a job for the next of its class and
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
		if team.QuotaReservedFor != nil && quotaReservationOver(team, now) {
			team.QuotaReservedFor, team.QuotaReservableAfter = nil, now+quotaReservationBackoff
		}
	}
	for machine := range s.reservedMachines {
		if machine.KeptForMove {
			delete(s.reservedMachines, machine) // it was reserved before, and is another's to give up
			continue
		}
		if machine.ReservedFor != nil && reservationOver(machine, now) {
			machine.ReservedFor, machine.UnusedReservationEndedAt = nil, now
		}
		if machine.ReservedFor == nil {
			machine.StarvationReservation = false
			delete(s.reservedMachines, machine)
		}
	}
}

func quotaReservationOver(team *cluster.Team, now micro.Time) bool {
	holder := team.QuotaReservedFor
	return holder.State != cluster.Active || holder.PendingTasks() == 0 || holder.AllocationCount > 0 ||
		now-team.QuotaReservedAt > starvationReservationTTL
}

func reservationOver(machine *cluster.Machine, now micro.Time) bool {
	holder, ttl := machine.ReservedFor, preemptionReservationTTL
	if machine.StarvationReservation {
		ttl = starvationReservationTTL
	}
	return holder.State != cluster.Active || holder.PendingTasks() == 0 || now-machine.ReservedAt > ttl ||
		!machine.Schedulable(now)
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
