package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// The placement rules deliberately leave some capacity unused: quarantined machines, capacity beside idle
// GPUs, expensive machines, and machines reserved for other jobs. None of these rules considers how long a
// job has waited. For a job that got no allocation within overdueAfter they are therefore relaxed step by
// step: the regular choice still comes first, and quarantined machines come last.

// overdueAfter is how long a job waits, without an allocation for any of its tasks, until the placement
// rules are relaxed for it.
const overdueAfter = micro.Minute

// relaxation is the degree to which the placement rules are relaxed. Each level includes the previous ones.
type relaxation uint8

const (
	relaxNone         relaxation = iota
	relaxReservations            // admits capacity kept for GPU jobs, unused reservations and expensive machines
	relaxQuarantine              // admits quarantined machines
)

// relaxationLimit returns how far the placement rules may be relaxed for a job. The wait for quarantined
// machines counts from the failover at the earliest: healthy machines send their first heartbeats to a
// new leader one by one.
func (s *Scheduler) relaxationLimit(job *cluster.Job, now micro.Time) relaxation {
	switch {
	case now-job.WaitingSince >= overdueAfter:
		return relaxQuarantine
	case s.Cluster.WaitingTime(job, now) >= overdueAfter:
		return relaxReservations
	}
	return relaxNone
}

// fallbackMachine returns a machine for an overdue job's task when the regular rules yield none. It relaxes
// the rules level by level up to limit. It examines all machines, since a sample may miss the only one
// with capacity.
func (s *Scheduler) fallbackMachine(placement *placementRequest, limit relaxation) *cluster.Machine {
	sampling := s.sampling
	defer func() { s.relaxation, s.sampling = relaxNone, sampling }()
	s.sampling = false
	for level := relaxReservations; level <= limit; level++ {
		s.relaxation = level
		if m := s.bestMachine(placement); m != nil {
			return m
		}
	}
	return nil
}
