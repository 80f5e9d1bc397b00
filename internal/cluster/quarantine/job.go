package quarantine

import "notchmux.dev/notchmux/internal/micro"

// A job none of whose tasks completed, or ran for long, counts as failing everywhere once it
// failed on failingAfterMachines machines. Where there are fewer, failingAfterAttempts count,
// many more than one faulty machine is likely to take.
const (
	failingAfterMachines = 3
	failingAfterAttempts = 64
)

// A job holds at most unprovenAllocationLimit allocations until one of its tasks has completed, or has
// run for provenAfter: so many starts at the most are spent on an array that fails
// everywhere, however large it is. One that is known to fail everywhere holds at most
// FailingAllocationLimit.
const (
	unprovenAllocationLimit = 512
	FailingAllocationLimit  = 4
	provenAfter             = 5 * micro.Second
)

// maxBackoffShift bounds the pause of a job that fails everywhere: 32 s, so that it is tried
// each minute.
const maxBackoffShift = 5

// Job is what is known of a job's failed attempts.
type Job struct {
	FailedOn       map[string]bool // machines that an attempt failed on
	Failures       int             // attempts that ended with an error
	LongestFailure micro.Time      // the longest that a task ran before it failed
	NotBefore      micro.Time      // the next try

	failuresRetracted bool // no machine is held responsible for its failures
}

// RecordFailure notes an attempt that failed on a machine after running for so long; 0: it was
// never seen to run.
func (j *Job) RecordFailure(machine string, ran micro.Time) {
	if j.FailedOn == nil {
		j.FailedOn = map[string]bool{}
	}
	j.FailedOn[machine] = true
	j.Failures++
	j.LongestFailure = max(j.LongestFailure, ran)
}

// FailedWidely reports whether the job failed so often that it fails everywhere, unless one of
// its tasks proves otherwise.
func (j *Job) FailedWidely() bool {
	return len(j.FailedOn) >= failingAfterMachines || j.Failures >= failingAfterAttempts
}

// MinProvenRunTime is how long one of its tasks must run to prove that the job does not fail
// everywhere: longer than a failure took to show so far.
func (j *Job) MinProvenRunTime() micro.Time { return max(provenAfter, 2*j.LongestFailure) }

// BackOff puts off the next try of a job that fails everywhere.
func (j *Job) BackOff(now micro.Time) {
	shift := maxBackoffShift
	if machines := len(j.FailedOn); machines >= failingAfterMachines {
		shift = min(machines, maxBackoffShift)
	}
	j.NotBefore = max(j.NotBefore, now+micro.Second<<shift)
}

// AllocationLimit is how many allocations the job may hold while none of its tasks proves
// that it does not fail everywhere.
func AllocationLimit(failsEverywhere bool) int {
	if failsEverywhere {
		return FailingAllocationLimit
	}
	return unprovenAllocationLimit
}
