package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// overrunFactor is how far over its expected run time an attempt is when it counts
// against its machine, and overruns how many in a row make a machine slow.
const (
	overrunFactor         = 2.2
	overrunLimit          = 2
	slowMachineQuarantine = 90 * micro.Second
)

// CheckOverrun looks at a running attempt that was expected to take so long. A
// machine with several that overran is slow: it takes no tasks for a while, and
// those that overran move. This is the exception to the design's assumption
// that a type's speed is its machines' speed.
func (s *State) CheckOverrun(allocation *Allocation, expected, now micro.Time) {
	if allocation.State != Running || allocation.RunningSince == 0 || allocation.Stopping || expected < 5*micro.Second ||
		allocation.Job.Spec.Kind == wire.Service {
		return
	}
	if now-allocation.RunningSince < micro.Time(overrunFactor*float64(expected))+5*micro.Second {
		return
	}
	machine := allocation.Machine
	if !allocation.overran {
		allocation.overran = true
		machine.Overruns++
	}
	if machine.Overruns < overrunLimit {
		return
	}
	if machine.QuarantinedUntil <= now {
		machine.QuarantinedUntil = now + slowMachineQuarantine
		s.Log("machine avoided", "machine", machine.Name, "why", "much slower than its type")
	}
	// A task that found no other machine would be stopped over and over.
	if len(allocation.Job.FailedOn) == 0 && allocation.Job.Spec.Kind == wire.JobArray && !allocation.LastResort {
		s.StopAllocation(allocation, "slow machine", allocation.Job.Spec.CheckpointDurationS, now)
	}
}

// RecordRunTime notes a completed attempt that took about what was expected.
func (m *Machine) RecordRunTime(took, expected micro.Time) {
	if float64(took) < 1.5*float64(expected) {
		m.Overruns = 0
	}
}
