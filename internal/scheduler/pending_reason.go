package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// PendingReason is the reason why a job is pending. The reasons that concern single machines are in order
// of precedence: if different ones hold for different machines, the first is reported.
type PendingReason uint8

// Pending reasons. docs/operations.md describes them under their names in the log.
const (
	ReasonNextPass    PendingReason = iota // there is capacity; one of the next passes places the job
	ReasonPartialFit                       // there is capacity for some of a gang's tasks, not for all
	ReasonGPUHeadroom                      // the free capacity beside GPUs is kept for GPU jobs
	ReasonPrice
	ReasonReserved // the machines with capacity are reserved for other jobs
	ReasonQuarantined
	ReasonUnreachable
	ReasonZoneConstraint
	ReasonInsufficientResources
	ReasonQuota         // the team's limit is reached
	ReasonQuotaReserved // the team's quota is reserved for another of its jobs
	ReasonBackoff       // tasks failed or were refused, and the next attempt is not due yet
	ReasonGangStopping
)

var pendingReasonNames = [...]string{
	ReasonNextPass:              "next pass",
	ReasonPartialFit:            "partial fit",
	ReasonGPUHeadroom:           "GPU headroom",
	ReasonPrice:                 "price limit",
	ReasonReserved:              "reserved",
	ReasonQuarantined:           "quarantined machines",
	ReasonUnreachable:           "unreachable machines",
	ReasonZoneConstraint:        "zone constraint",
	ReasonInsufficientResources: "insufficient resources",
	ReasonQuota:                 "quota",
	ReasonQuotaReserved:         "quota reserved",
	ReasonBackoff:               "backoff",
	ReasonGangStopping:          "gang stopping",
}

// String returns the name of the reason as it appears in the log.
func (r PendingReason) String() string { return pendingReasonNames[r] }

// ExplainPending returns the reason why a job with tasks to place has no allocation for them. It examines
// the machines that have capacity for one of its tasks, so it costs about as much as an attempt to place
// that task.
func (s *Scheduler) ExplainPending(job *cluster.Job, now micro.Time) PendingReason {
	needed := minAllocations(job)
	switch {
	case job.GangStopping || job.Spec.Kind == wire.Gang && job.AllocationCount > 0:
		return ReasonGangStopping
	case len(job.NextTasks(now, needed)) < needed:
		return ReasonBackoff
	case job.Team != nil && !job.Team.WithinLimit(job.Spec.CPUs, job.Spec.GPUs, needed):
		return ReasonQuota
	case !withinQuota(job, needed):
		return ReasonQuotaReserved
	}
	reason := s.explainMachines(job, now)
	if reason == ReasonNextPass && needed > 1 {
		return ReasonPartialFit
	}
	return reason
}

// explainMachines returns the reason of highest precedence that keeps a job from the machines with
// capacity for one of its tasks.
func (s *Scheduler) explainMachines(job *cluster.Job, now micro.Time) PendingReason {
	reason := ReasonInsufficientResources
	for _, pool := range s.Cluster.Pools {
		if !isCandidatePool(job, pool, "") {
			continue
		}
		for machine := range machinesWithCapacity(pool, requestOn(&job.Spec, pool.Type)) {
			reason = min(reason, s.explainMachine(job, pool, machine, now))
		}
	}
	return reason
}

// explainMachine returns the reason that keeps a job from a machine with capacity, or ReasonNextPass if
// none does.
func (s *Scheduler) explainMachine(
	job *cluster.Job, pool *cluster.MachinePool, machine *cluster.Machine, now micro.Time,
) PendingReason {
	switch {
	case !ZoneAllowed(job, pool.Zone, nil):
		return ReasonZoneConstraint
	case !s.Cluster.MachineReachable(machine):
		return ReasonUnreachable
	case s.excludes(job, machine, now):
		return ReasonQuarantined
	case s.reservedForOther(job, machine, now):
		return ReasonReserved
	case s.WithinPrice != nil && !s.WithinPrice(job, pool.Type, pool.Spot, now):
		return ReasonPrice
	case !s.keepsGPUHeadroom(job, machine):
		return ReasonGPUHeadroom
	}
	return ReasonNextPass
}
