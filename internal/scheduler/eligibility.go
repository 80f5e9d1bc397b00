package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Allowed reports whether the job may use machines of a type, zone and kind.
func Allowed(spec *wire.Job, typ *cluster.MachineType, zone string, spot bool) bool {
	if spot && !spec.Spot || spec.Zone != nil && *spec.Zone != zone {
		return false
	}
	if typ == nil || spec.CPUs > typ.CPUs+eps || spec.GPUs > typ.GPUs+eps || spec.MemoryGB > typ.MemoryGB+eps {
		return false
	}
	if spec.Types == nil {
		return true
	}
	for _, t := range spec.Types {
		if t == typ.Name {
			return true
		}
	}
	return false
}

// ZoneAllowed checks the one-zone and spread constraints against every allocation not proven
// free, and against those that are planned by zone.
func ZoneAllowed(job *cluster.Job, zone string, tasksByZone map[string]int) bool {
	if job.Spec.OneZone {
		for z, n := range job.AllocationsByZone {
			if n > 0 && z != zone { // also where the zone is not known
				return false
			}
		}
	}
	// An allocation in a zone that is not known may be in this one.
	if job.Spec.Spread &&
		job.AllocationsByZone[zone]+job.AllocationsByZone[""]+tasksByZone[zone]+1 > (len(job.Tasks)+1)/2 {
		return false
	}
	return true
}

const eps = 1e-9

// fits checks the scaled request, which guides, and the raw one, which the
// agent enforces.
func fits(request resources, m *cluster.Machine, taken *resources, freed resources) bool {
	var planned resources
	if taken != nil {
		planned = *taken
	}
	t := m.Type
	return m.UsedScaledCPU+planned.ScaledCPU-freed.ScaledCPU+request.ScaledCPU <= t.CPUs+eps &&
		m.UsedCPU+planned.CPU-freed.CPU+request.CPU <= t.CPUs+eps &&
		m.UsedGPU+planned.GPU-freed.GPU+request.GPU <= t.GPUs+eps &&
		m.UsedMemoryGB+planned.MemoryGB-freed.MemoryGB+request.MemoryGB <= t.MemoryGB+eps
}

// isCandidatePool reports whether a pool has machines, in the zone if one is given, that the
// job may use.
func isCandidatePool(job *cluster.Job, pool *cluster.MachinePool, zone string) bool {
	return pool.MachineCount > 0 && (zone == "" || pool.Zone == zone) &&
		Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot)
}

// tooExpensive reports whether a pool's price keeps the job from it. An expensive machine pinned
// by small work costs a large part of the bill; work that is overdue, or of the highest
// priority and without other capacity, takes it nevertheless.
func (s *Scheduler) tooExpensive(placement *placementRequest, pool *cluster.MachinePool) bool {
	return !placement.anyPrice && !placement.job.MachinesKept && s.relaxation == relaxNone && s.WithinPrice != nil &&
		!s.WithinPrice(placement.job, pool.Type, pool.Spot, placement.now)
}

// mayUse reports whether a machine of a suitable pool may take the job's tasks.
func (s *Scheduler) mayUse(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	return s.Cluster.MachineReachable(m) && !s.excludes(job, m, now) && !s.reservedForOther(job, m, now) &&
		(s.relaxation >= relaxReservations || s.keepsGPUHeadroom(job, m))
}

// excludes reports whether a machine is avoided, or the job failed on it and there
// are others. As a last resort it is tried again, but not soon after it last
// failed, and by one job first: one that is really faulty would fail the tasks of
// all that wait.
func (s *Scheduler) excludes(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	if s.relaxation >= relaxQuarantine {
		return m.LastFaultAt > 0 && (now-m.LastFaultAt < overdueAfter || onProbation(job, m, now))
	}
	return m.QuarantinedUntil > now || job.FailedOn[m.Name] && len(job.FailedOn) < len(s.Cluster.Machines)/2
}

// probationPeriod is how long a job's tasks must have been on an avoided machine before
// others follow.
const probationPeriod = 15 * micro.Second

// onProbation reports whether another job tries an avoided machine, and has not done so
// for long enough to tell.
func onProbation(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	tried := false
	for _, allocation := range m.Allocations {
		if !allocation.LastResort || allocation.Job == job {
			continue
		}
		if now-allocation.PlannedAt >= probationPeriod {
			return false
		}
		tried = true
	}
	return tried
}

// reservedForOther reports whether a machine is kept for another job. Reservations follow
// one another; capacity that none of them used for long is open to overdue work. A machine
// that is kept for a service which comes back from a shard, and was stopped for it, is open to none.
func (s *Scheduler) reservedForOther(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	if m.KeptForMove {
		return m.ReservedFor != job
	}
	return m.ReservedFor != nil && m.ReservedFor != job && reservationBlocks(m, job) &&
		(s.relaxation < relaxReservations || now-m.UnusedReservationSince < overdueAfter)
}

// reservationBlocks reports whether a machine reserved for another job is closed to this
// one: one that is being cleared by preemption to its priority and those below, one
// that is reserved for work that waited long to all but the highest priority.
func reservationBlocks(m *cluster.Machine, job *cluster.Job) bool {
	holder := m.ReservedFor
	if holder.State != cluster.Active {
		return false
	}
	return holder.PriorityLevel <= job.PriorityLevel ||
		m.StarvationReservation && job.PriorityLevel > highestPriorityLevel
}
