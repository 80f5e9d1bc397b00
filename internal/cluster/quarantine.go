package cluster

import (
	"math"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A task's failure says that its machine is faulty or that its job was submitted
// with a mistake; which of them shows only with time. A job that fails everywhere
// is tried seldom and a few tasks at a time, and no machine is avoided for it.

// A job none of whose tasks completed, or ran for long, counts as failing
// everywhere once it failed on failingAfterMachines machines. Where there are fewer,
// failingAfterAttempts count, many more than one faulty machine is likely to take.
const (
	failingAfterMachines = 3
	failingAfterAttempts = 64
)

// A job holds at most unprovenJobLimit places until one of its tasks has completed, or
// has run for provenAfter: so many starts at the most are spent on an array that
// fails everywhere, however large it is. One that is known to fail everywhere
// holds at most probes.
const (
	unprovenJobLimit = 512
	failingJobLimit  = 4
	provenAfter      = 5 * micro.Second
)

// proven reports whether a task of the job completed, or runs for longer than a
// failure took to show so far.
func (j *Job) proven(now micro.Time) bool {
	if j.DoneTasks > 0 {
		return true
	}
	minRunTime := max(provenAfter, 2*j.LongestFailure)
	for _, chunk := range j.Chunks {
		for _, allocation := range chunk.Allocations {
			if allocation.State == Running && allocation.RunningSince > 0 && now-allocation.RunningSince >= minRunTime {
				return true
			}
		}
	}
	return false
}

// failsEverywhere reports whether a job seems to fail wherever it goes, for a mistake in
// its submission: it is tried seldom, and no machine is blamed for it.
func (j *Job) failsEverywhere(now micro.Time) bool {
	return (len(j.FailedOn) >= failingAfterMachines || j.Failures >= failingAfterAttempts) && !j.proven(now)
}

// InBackoff reports whether the job waits for its next try, as one that fails
// everywhere does.
func (j *Job) InBackoff(now micro.Time) bool { return j.NotBefore > now && !j.proven(now) }

// SchedulableTasks is how many more tasks of the job may be placed now, whatever room
// there is. A gang starts whole or not at all.
func (j *Job) SchedulableTasks(now micro.Time) int {
	allowed := j.failureAllowance(now)
	if j.MaxAllocations > 0 {
		allowed = min(allowed, max(j.MaxAllocations-j.AllocationCount, 0))
	}
	return allowed
}

// failureAllowance leaves out the part of the limit that the job has in a share.
func (j *Job) failureAllowance(now micro.Time) int {
	if j.Spec.Kind == wire.Gang || j.DoneTasks > 0 || len(j.Tasks) <= failingJobLimit {
		return math.MaxInt
	}
	limit := unprovenJobLimit
	if j.failsEverywhere(now) {
		limit = failingJobLimit
	}
	if j.AllocationCount < limit {
		return limit - j.AllocationCount
	}
	if j.proven(now) {
		return math.MaxInt
	}
	return 0
}

// Demand is for how many of the job's waiting tasks room may be rented. A job
// that fails everywhere is worth no more than what it is tried with, and one that
// is held back beside free room needs none yet.
func (j *Job) Demand(now micro.Time) int {
	pending := j.PendingTasks()
	if pending == 0 {
		return 0
	}
	allowed := j.SchedulableTasks(now)
	if j.failsEverywhere(now) || allowed == 0 && j.Throttled {
		return min(pending, allowed)
	}
	return pending
}

// recordTaskError reads a failure that the job's own task or its machine caused.
func (s *State) recordTaskError(machine *Machine, allocation *Allocation, now micro.Time) {
	job := allocation.Job
	if job.FailedOn == nil {
		job.FailedOn = map[string]bool{}
	}
	job.FailedOn[machine.Name] = true
	job.Failures++
	if allocation.RunningSince > 0 {
		job.LongestFailure = max(job.LongestFailure, now-allocation.RunningSince)
	}
	if job.failsEverywhere(now) {
		shift := maxBackoffShift
		if machines := len(job.FailedOn); machines >= failingAfterMachines {
			shift = min(machines, maxBackoffShift)
		}
		job.NotBefore = max(job.NotBefore, now+micro.Second<<shift)
		s.dismissFailures(job, now)
		return
	}
	machine.JobFailures[job.Spec.ID] = now
	s.quarantineCandidates[machine] = true
	job.failuresDismissed = false
	s.updateQuarantine(now)
}

// maxBackoffShift bounds the pause of a job that fails everywhere: 32 s, so that it
// is tried each minute.
const maxBackoffShift = 5

// failureQuarantine is how long a machine is avoided after several jobs failed on it, and
// for how long a failure counts against it.
const failureQuarantine = 10 * micro.Minute

// defaultQuarantineThreshold is how many jobs fail on a machine before it is quarantined,
// where the settings say nothing else.
const defaultQuarantineThreshold = 2

// One machine in quarantineDivisor may be avoided at a time on the word of jobs of
// which nothing is known. Where more look faulty the jobs are the likelier cause,
// and for quarantineSuspension machines are blamed only by jobs that do well elsewhere:
// of hundreds of mistaken jobs that came at once, two had failed on each machine
// before any of them had failed on three.
const (
	quarantineDivisor    = 16
	quarantineSuspension = micro.Minute
)

// updateQuarantine decides which machines are avoided for the failures on them.
func (s *State) updateQuarantine(now micro.Time) {
	var faulty, suspected []*Machine
	for machine := range s.quarantineCandidates {
		for id, failedAt := range machine.JobFailures {
			if now-failedAt > failureQuarantine {
				delete(machine.JobFailures, id)
			}
		}
		switch {
		case len(machine.JobFailures) == 0:
			delete(s.quarantineCandidates, machine)
		case s.provenJobFailures(machine, now) >= s.QuarantineThreshold:
			faulty = append(faulty, machine)
		case len(machine.JobFailures) >= s.QuarantineThreshold:
			suspected = append(suspected, machine)
		}
	}
	for _, machine := range faulty {
		s.quarantine(machine)
	}
	if len(suspected) > max(1, len(s.Machines)/quarantineDivisor) {
		s.quarantineSuspendedUntil = now + quarantineSuspension
	}
	for _, machine := range suspected {
		if now < s.quarantineSuspendedUntil {
			s.liftQuarantine(machine, now)
		} else {
			s.quarantine(machine)
		}
	}
}

// provenJobFailures counts the jobs that failed on a machine and do well elsewhere.
func (s *State) provenJobFailures(machine *Machine, now micro.Time) int {
	count := 0
	for id := range machine.JobFailures {
		if job := s.Jobs[id]; job != nil && job.proven(now) {
			count++
		}
	}
	return count
}

func (s *State) quarantine(machine *Machine) {
	var lastFailure micro.Time
	for _, failedAt := range machine.JobFailures {
		lastFailure = max(lastFailure, failedAt)
	}
	if machine.QuarantinedForFailures && machine.QuarantinedUntil >= lastFailure+failureQuarantine {
		return
	}
	machine.QuarantinedUntil, machine.LastFaultAt, machine.QuarantinedForFailures = max(
		machine.QuarantinedUntil, lastFailure+failureQuarantine,
	), max(machine.LastFaultAt, lastFailure), true
	s.Log("machine avoided", "machine", machine.Name, "why", "several jobs failed on it")
}

func (s *State) liftQuarantine(machine *Machine, now micro.Time) {
	if !machine.QuarantinedForFailures {
		return
	}
	machine.QuarantinedForFailures, machine.QuarantinedUntil = false, min(machine.QuarantinedUntil, now)
	s.Log("machine trusted", "machine", machine.Name, "why", "what failed on it fails elsewhere too")
	s.ScheduleSoon()
}

// dismissFailures takes back what a job that fails everywhere was held against machines.
// On a recorded night with such jobs, machines were avoided 59 times since several
// jobs had failed there.
func (s *State) dismissFailures(job *Job, now micro.Time) {
	if job.failuresDismissed {
		return
	}
	job.failuresDismissed = true
	for name := range job.FailedOn {
		machine := s.Machines[name]
		if machine == nil {
			continue
		}
		delete(machine.JobFailures, job.Spec.ID)
		if len(machine.JobFailures) < s.QuarantineThreshold {
			s.liftQuarantine(machine, now)
		}
	}
	s.updateQuarantine(now)
}

// recordFirstCompletion notes that a job's first task completed: where it failed before, the
// machine was the cause.
func (s *State) recordFirstCompletion(job *Job, now micro.Time) {
	if len(job.FailedOn) > 0 {
		s.updateQuarantine(now)
	}
}
