// Package quarantine decides whether a failed attempt is attributed to its machine or to its job. A
// failure shows either that the machine is faulty or that the job was submitted with a mistake, and
// only further attempts show which. A job that fails on every machine is retried rarely and with a
// few tasks at a time, and no machine is quarantined because of it.
//
// The package holds the failure state of each machine (Machine), of each job (Job), and of the
// fleet (Policy). It reads no clock and does no locking: all of it belongs to the goroutine that
// owns the cluster state. Times are on that process's monotonic clock.
package quarantine

import "notchmux.dev/notchmux/internal/micro"

// failureRetention is the time for which a machine is quarantined after several jobs failed on it,
// and for which a failure counts against a machine.
const failureRetention = 10 * micro.Minute

// refusalQuarantine is the time for which a machine is quarantined after it refused a start command
// for lack of resources.
const refusalQuarantine = 2 * micro.Second

// An attempt has overrun once it has run for overrunFactor times its expected run time plus
// overrunMargin. A machine with overrunLimit consecutive overruns is slow. An attempt that took
// less than promptFactor times its expected run time shows that its machine is not slow.
const (
	overrunFactor         = 2.2
	overrunMargin         = 5 * micro.Second
	overrunLimit          = 2
	promptFactor          = 1.5
	slowMachineQuarantine = 90 * micro.Second
)

// Machine holds the failures attributed to a machine and its quarantine state.
type Machine struct {
	Overruns               int                   // consecutive attempts that ran far longer than expected
	JobFailures            map[string]micro.Time // jobs that failed on the machine, with the time of their last failure
	QuarantinedUntil       micro.Time            // no tasks are placed on it until then, except as a last resort
	QuarantinedForFailures bool                  // quarantined because several jobs failed on it
	LastFaultAt            micro.Time            // last failure or refusal for lack of resources that quarantined it
}

// RecordRefusal records that the machine refused a start command for lack of resources.
func (m *Machine) RecordRefusal(now micro.Time) {
	m.QuarantinedUntil, m.LastFaultAt = max(m.QuarantinedUntil, now+refusalQuarantine), now
}

// RecordRunTime records the run time of a completed attempt.
func (m *Machine) RecordRunTime(took, expected micro.Time) {
	if float64(took) < promptFactor*float64(expected) {
		m.Overruns = 0
	}
}

// Overran reports whether an attempt with the given run time has far exceeded its expected run
// time.
func Overran(ran, expected micro.Time) bool {
	return ran >= micro.Time(overrunFactor*float64(expected))+overrunMargin
}

// IsSlow reports whether several consecutive attempts overran on the machine.
func (m *Machine) IsSlow() bool { return m.Overruns >= overrunLimit }

// QuarantineSlow quarantines a slow machine. It returns false if the machine was quarantined
// already.
func (m *Machine) QuarantineSlow(now micro.Time) bool {
	if m.QuarantinedUntil > now {
		return false
	}
	m.QuarantinedUntil = now + slowMachineQuarantine
	return true
}

// quarantineForFailures quarantines the machine for the failures on it, and reports whether this
// started or extended the quarantine.
func (m *Machine) quarantineForFailures() bool {
	var lastFailure micro.Time
	for _, failedAt := range m.JobFailures {
		lastFailure = max(lastFailure, failedAt)
	}
	until := lastFailure + failureRetention
	if m.QuarantinedForFailures && m.QuarantinedUntil >= until {
		return false
	}
	m.QuarantinedUntil = max(m.QuarantinedUntil, until)
	m.LastFaultAt = max(m.LastFaultAt, lastFailure)
	m.QuarantinedForFailures = true
	return true
}

// liftQuarantine ends a quarantine for failures, and reports whether there was one.
func (m *Machine) liftQuarantine(now micro.Time) bool {
	if !m.QuarantinedForFailures {
		return false
	}
	m.QuarantinedForFailures, m.QuarantinedUntil = false, min(m.QuarantinedUntil, now)
	return true
}

// pruneFailures removes failures older than failureRetention.
func (m *Machine) pruneFailures(now micro.Time) {
	for id, failedAt := range m.JobFailures {
		if now-failedAt > failureRetention {
			delete(m.JobFailures, id)
		}
	}
}
