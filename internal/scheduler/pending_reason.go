package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// PendingReason is why a job waits. Those that hold for machines with capacity are in the
// order in which they give way; of several the first is told.
type PendingReason uint8

// The reasons. Their names in the log are in docs/operations.md.
const (
	ReasonNextPass    PendingReason = iota // there is capacity: the next passes reach it
	ReasonPartialFit                       // capacity for some of a gang's tasks
	ReasonGPUHeadroom                      // capacity beside GPUs is kept for work that needs them
	ReasonPrice
	ReasonReserved // what has capacity is reserved for other jobs
	ReasonQuarantined
	ReasonUnreachable
	ReasonZoneConstraint
	ReasonInsufficientResources
	ReasonQuota         // of its team
	ReasonQuotaReserved // its team's limit is saved up for another of its jobs
	ReasonBackoff       // its tasks failed, or were refused
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

// String is the reason as operators read it in the log.
func (r PendingReason) String() string { return pendingReasonNames[r] }

// ExplainPending says why a job with tasks to place has not been given capacity. It looks at the
// machines that have capacity for one of its tasks, so it costs about as much as a try
// to place that.
func (s *Scheduler) ExplainPending(job *cluster.Job, now micro.Time) PendingReason {
	needed := minAllocations(job)
	switch {
	case job.GangStopping || job.Spec.Kind == wire.Gang && job.AllocationCount > 0:
		return ReasonGangStopping
	case len(job.NextTasks(now, needed)) < needed:
		return ReasonBackoff
	case !job.WithinQuota(needed):
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

// explainMachines says what keeps a job from the machines that have capacity for one of its
// tasks: of several reasons the first.
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

// explainMachine says what keeps a job from a machine that has capacity.
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
