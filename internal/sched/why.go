package sched

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// Reason is why a job waits. Those that hold for machines with room are in the
// order in which they give way; of several the first is told.
type Reason uint8

// The reasons.
const (
	InTurn      Reason = iota // there is room: the next passes reach it
	PartOnly                  // room for some of a gang's tasks
	KeptForGPUs               // room beside GPUs is kept for work that needs them
	DearRoom
	GatheredRoom // what has room is reserved for other jobs
	AvoidedMachines
	UnreachableMachines
	ZoneRule
	NoRoom
	Limit      // of its team
	LimitSaved // its team's limit is saved up for another of its jobs
	Backoff    // its tasks failed, or were refused
	WindingDown
)

func (r Reason) String() string {
	return [...]string{"in turn", "room for a part", "room kept for GPUs", "dear room", "gathered room", "avoided machines", "unreachable machines",
		"zone rule", "no room", "limit", "limit saved up", "backoff", "gang winding down"}[r]
}

// Why says why a job with tasks to place has not been given room. It looks at the
// machines that have room for one of its tasks, so it costs about as much as a try
// to place that.
func (p *Placer) Why(j *model.Job, now micro.Time) Reason {
	n := wants(j)
	switch {
	case j.GangStop || j.Spec.Kind == wire.Gang && j.HeldN > 0:
		return WindingDown
	case len(j.Next(now, n)) < n:
		return Backoff
	case j.Team != nil && !j.Team.Allows(j.Spec.CPUs, j.Spec.GPUs, n):
		return Limit
	case !allows(j, n):
		return LimitSaved
	}
	best := NoRoom
	for _, pool := range p.C.Pools {
		if pool.N == 0 || !Allowed(&j.Spec, pool.Type, pool.Zone, pool.Spot) {
			continue
		}
		w := need(&j.Spec, pool.Type)
		for r := int(w.Scaled - eps); r < pool.Rows(); r++ {
			for _, m := range pool.Row(r) {
				if fits(w, m, nil, room{}) {
					best = min(best, p.whyNot(j, pool, m, now))
				}
			}
		}
	}
	if best == InTurn && n > 1 {
		return PartOnly
	}
	return best
}

// whyNot says what keeps a job from a machine that has room.
func (p *Placer) whyNot(j *model.Job, pool *model.Pool, m *model.Machine, now micro.Time) Reason {
	switch {
	case !ZoneOK(j, pool.Zone, nil):
		return ZoneRule
	case !p.C.Reachable(m):
		return UnreachableMachines
	case p.avoids(j, m, now):
		return AvoidedMachines
	case p.keeps(j, m, now):
		return GatheredRoom
	case p.Affordable != nil && !p.Affordable(j, pool.Type, pool.Spot, now):
		return DearRoom
	case !p.spares(j, m):
		return KeptForGPUs
	}
	return InTurn
}
