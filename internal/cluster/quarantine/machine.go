// Package quarantine decides whether a failed attempt is held against its machine or against
// its job. A failure says that the machine is faulty or that the job was submitted with a
// mistake; which of them shows only with time. A job that fails everywhere is tried seldom
// and a few tasks at a time, and no machine is quarantined for it.
//
// It holds what is known of each machine (Machine), of each job (Job), and of the fleet
// (Policy). It reads no clock and locks nothing: all of it belongs to the goroutine that owns
// the cluster's state. Times are on that process's steady clock.
package quarantine

import "notchmux.dev/notchmux/internal/micro"

// failureRetention is for how long a machine is quarantined after several jobs failed on it,
// and for how long a failure counts against it.
const failureRetention = 10 * micro.Minute

// refusalQuarantine is for how long a machine is quarantined that refused a start for lack of
// resources.
const refusalQuarantine = 2 * micro.Second

// An attempt counts against its machine once it is overrunFactor over its expected run time
// and overrunMargin beyond; overrunLimit of them in a row make a machine slow. One that took
// less than promptFactor of its expected time shows that the machine is not.
const (
	overrunFactor         = 2.2
	overrunMargin         = 5 * micro.Second
	overrunLimit          = 2
	promptFactor          = 1.5
	slowMachineQuarantine = 90 * micro.Second
)

// Machine is what speaks against a machine.
type Machine struct {
	Overruns               int                   // attempts in a row that ran far over what was expected
	JobFailures            map[string]micro.Time // jobs that failed here, and when they last did
	QuarantinedUntil       micro.Time            // takes no tasks until then, except as a last resort
	QuarantinedForFailures bool                  // since several jobs failed on it
	LastFaultAt            micro.Time            // when a failure, or a refusal for lack of resources, last quarantined it
}

// RecordRefusal notes that the machine refused a start for lack of resources.
func (m *Machine) RecordRefusal(now micro.Time) {
	m.QuarantinedUntil, m.LastFaultAt = max(m.QuarantinedUntil, now+refusalQuarantine), now
}

// RecordRunTime notes an attempt that completed after running for so long.
func (m *Machine) RecordRunTime(took, expected micro.Time) {
	if float64(took) < promptFactor*float64(expected) {
		m.Overruns = 0
	}
}

// Overran reports whether an attempt that has run for so long is far over what was expected.
func Overran(ran, expected micro.Time) bool {
	return ran >= micro.Time(overrunFactor*float64(expected))+overrunMargin
}

// IsSlow reports whether several attempts in a row overran on the machine.
func (m *Machine) IsSlow() bool { return m.Overruns >= overrunLimit }

// QuarantineSlow quarantines a slow machine, and reports whether it was not yet.
func (m *Machine) QuarantineSlow(now micro.Time) bool {
	if m.QuarantinedUntil > now {
		return false
	}
	m.QuarantinedUntil = now + slowMachineQuarantine
	return true
}

// quarantineForFailures quarantines the machine for the failures on it, and reports whether that is new.
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

// pruneFailures forgets the failures that count no more.
func (m *Machine) pruneFailures(now micro.Time) {
	for id, failedAt := range m.JobFailures {
		if now-failedAt > failureRetention {
			delete(m.JobFailures, id)
		}
	}
}
