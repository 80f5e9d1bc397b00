package quarantine

import "notchmux.dev/notchmux/internal/micro"

// A job counts as failing everywhere once it has failed on failingAfterMachines machines, unless
// one of its tasks has completed or has run for long. Where there are fewer machines, it takes
// failingAfterAttempts failed attempts, many more than one faulty machine is likely to cause.
const (
	failingAfterMachines = 3
	failingAfterAttempts = 64
)

// A job holds at most unprovenAllocationLimit allocations until one of its tasks has completed or
// has run for provenAfter. This bounds the number of starts wasted on an array that fails on every
// machine, however large the array is. A job that is known to fail on every machine holds at most
// FailingAllocationLimit.
const (
	unprovenAllocationLimit = 512
	FailingAllocationLimit  = 4
	provenAfter             = 5 * micro.Second
)

// maxBackoffShift limits the backoff of a job that fails on every machine to 32 s, so that it is
// retried every minute.
const maxBackoffShift = 5

// Job records a job's failed attempts.
type Job struct {
	FailedOn       map[string]bool // machines on which an attempt failed
	Failures       int             // attempts that ended with an error
	LongestFailure micro.Time      // longest run time of a task before it failed
	NotBefore      micro.Time      // time of the next try

	failuresRetracted bool // its failures are not attributed to machines
}

// RecordFailure records an attempt that failed on a machine after the given run time, which is 0 if
// it was never observed running.
func (j *Job) RecordFailure(machine string, ran micro.Time) {
	if j.FailedOn == nil {
		j.FailedOn = map[string]bool{}
	}
	j.FailedOn[machine] = true
	j.Failures++
	j.LongestFailure = max(j.LongestFailure, ran)
}

// FailedWidely reports whether the job has failed so often that it is considered to fail on every
// machine, unless one of its tasks proves otherwise.
func (j *Job) FailedWidely() bool {
	return len(j.FailedOn) >= failingAfterMachines || j.Failures >= failingAfterAttempts
}

// MinProvenRunTime returns how long one of the job's tasks must run to prove that the job does not
// fail on every machine. It is longer than any failure so far took to occur.
func (j *Job) MinProvenRunTime() micro.Time { return max(provenAfter, 2*j.LongestFailure) }

// BackOff postpones the next try of a job that fails on every machine.
func (j *Job) BackOff(now micro.Time) {
	shift := maxBackoffShift
	if machines := len(j.FailedOn); machines >= failingAfterMachines {
		shift = min(machines, maxBackoffShift)
	}
	j.NotBefore = max(j.NotBefore, now+micro.Second<<shift)
}

// AllocationLimit returns how many allocations the job may hold as long as none of its tasks proves
// that it does not fail on every machine.
func AllocationLimit(failsEverywhere bool) int {
	if failsEverywhere {
		return FailingAllocationLimit
	}
	return unprovenAllocationLimit
}
