package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Allowed reports whether the job's spec admits machines of the type and zone, spot or on-demand, and
// whether one of its tasks fits on an empty machine of the type.
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

// ZoneAllowed reports whether one more task in the zone meets the job's one-zone and spread constraints.
// It counts every allocation that is not proven released, and the tasks planned so far by zone. A spread
// job may have at most half of its tasks, rounded up, in one zone.
func ZoneAllowed(job *cluster.Job, zone string, tasksByZone map[string]int) bool {
	if job.Spec.OneZone {
		for z, n := range job.AllocationsByZone {
			if n > 0 && z != zone { // also if z is "", an unknown zone
				return false
			}
		}
	}
	// An allocation in an unknown zone may be in this one.
	if job.Spec.Spread &&
		job.AllocationsByZone[zone]+job.AllocationsByZone[""]+tasksByZone[zone]+1 > (len(job.Tasks)+1)/2 {
		return false
	}
	return true
}

// eps is the tolerance of floating-point comparisons of resources.
const eps = 1e-9

// fits reports whether a request fits on a machine when the resources in taken are planned in addition
// to its allocations, and those in freed become free. It checks both the scaled CPUs, which the
// scheduler accounts in, and the unscaled CPUs, which the agent enforces.
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

// isCandidatePool reports whether a pool has machines that the job may use. If zone is not "", the pool
// must also be in that zone.
func isCandidatePool(job *cluster.Job, pool *cluster.MachinePool, zone string) bool {
	return pool.MachineCount > 0 && (zone == "" || pool.Zone == zone) &&
		Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot)
}

// tooExpensive reports whether a pool's price rules it out for the placement. Expensive machines that
// small tasks keep from being terminated make up a large part of the bill. Overdue jobs, and jobs of the
// highest priority that find no other capacity, use them regardless.
func (s *Scheduler) tooExpensive(placement *placementRequest, pool *cluster.MachinePool) bool {
	return !placement.anyPrice && s.relaxation == relaxNone && s.WithinPrice != nil &&
		!s.WithinPrice(placement.job, pool.Type, pool.Spot, placement.now)
}

// mayUse reports whether a machine of a candidate pool may run the job's tasks, free resources and price
// aside, under the current relaxation.
func (s *Scheduler) mayUse(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	return s.Cluster.MachineReachable(m) && !s.excludes(job, m, now) && !s.reservedForOther(job, m, now) &&
		(s.relaxation >= relaxReservations || s.keepsGPUHeadroom(job, m))
}

// excludes reports whether a machine is ruled out for a job: because it is quarantined, or because the
// job failed on it and on fewer than half of all machines. As a last resort such a machine is used
// again, but only overdueAfter after its last fault, and by one job at first: a machine that really is
// faulty would fail the tasks of all waiting jobs.
func (s *Scheduler) excludes(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	if s.relaxation >= relaxQuarantine {
		return m.LastFaultAt > 0 && (now-m.LastFaultAt < overdueAfter || onProbation(job, m, now))
	}
	return m.QuarantinedUntil > now || job.FailedOn[m.Name] && len(job.FailedOn) < len(s.Cluster.Machines)/2
}

// probationPeriod is how long the first job's tasks must have been allocated on a quarantined machine
// before other jobs may use it.
const probationPeriod = 15 * micro.Second

// onProbation reports whether another job probes a quarantined machine and none has done so for
// probationPeriod yet.
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

// reservedForOther reports whether a machine is reserved for another job and closed to this one. Since
// one reservation may follow another, a machine that has been reserved but unused for overdueAfter is
// open to overdue jobs.
func (s *Scheduler) reservedForOther(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	return m.ReservedFor != nil && m.ReservedFor != job && reservationBlocks(m, job) &&
		(s.relaxation < relaxReservations || now-m.UnusedReservationSince < overdueAfter)
}

// reservationBlocks reports whether the reservation of a machine for another job closes it to this job.
// Any reservation blocks jobs of the holder's priority and below. A starvation reservation also blocks
// higher priorities, except for the highest.
func reservationBlocks(m *cluster.Machine, job *cluster.Job) bool {
	holder := m.ReservedFor
	if holder.State != cluster.Active {
		return false
	}
	return holder.PriorityLevel <= job.PriorityLevel ||
		m.StarvationReservation && job.PriorityLevel > highestPriorityLevel
}
