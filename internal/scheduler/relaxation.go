package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// The ordinary rules leave capacity unused for good reasons: machines that are
// avoided, capacity beside idle GPUs, expensive capacity, capacity reserved for others. None of
// them knows how long a job has waited. So work that nothing was found for in
// overdueAfter takes what fits, the ordinary choice first and the avoided machines
// last.

// overdueAfter is how long a job's tasks wait, without an allocation for any of them,
// until the ordinary rules give way.
const overdueAfter = micro.Minute

// relaxation says which of the ordinary rules give way.
type relaxation uint8

// The levels; each includes those before it.
const (
	relaxNone         relaxation = iota
	relaxReservations            // capacity kept for GPU work or held in vain, and expensive capacity
	relaxQuarantine              // machines that are avoided
)

// relaxationLimit says how far the ordinary rules may give way for a job. The wait for avoided machines
// counts from the failover: those that serve better are heard one by one.
func (s *Scheduler) relaxationLimit(job *cluster.Job, now micro.Time) relaxation {
	switch {
	case now-job.WaitingSince >= overdueAfter:
		return relaxQuarantine
	case s.Cluster.WaitingTime(job, now) >= overdueAfter:
		return relaxReservations
	}
	return relaxNone
}

// fallbackMachine chooses a machine for an overdue job's task once nothing was found by the
// ordinary rules, which give way as far as they may. It looks at all machines: samples may miss
// the only one with capacity.
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
