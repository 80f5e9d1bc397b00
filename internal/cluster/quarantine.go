package cluster

import (
	"math"

	"notchmux.dev/notchmux/internal/cluster/quarantine"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// provenHealthy reports whether a task of the job completed, or runs for longer than a failure took
// to show so far.
func (j *Job) provenHealthy(now micro.Time) bool {
	if j.DoneTasks > 0 {
		return true
	}
	minRunTime := j.MinProvenRunTime()
	for _, chunk := range j.Chunks {
		for _, allocation := range chunk.Allocations {
			if allocation.State == Running && allocation.RunningSince > 0 && now-allocation.RunningSince >= minRunTime {
				return true
			}
		}
	}
	return false
}

// failsEverywhere reports whether a job seems to fail wherever it goes, for a mistake in its
// submission: it is tried seldom, and no machine is held responsible for it.
func (j *Job) failsEverywhere(now micro.Time) bool { return j.FailedWidely() && !j.provenHealthy(now) }

// FailedWithoutSuccess reports whether tasks of the job failed, and none shows that it does well elsewhere.
func (j *Job) FailedWithoutSuccess(now micro.Time) bool {
	return j.Failures > 0 && !j.provenHealthy(now)
}

// InBackoff reports whether the job waits for its next try, as one that fails everywhere does.
func (j *Job) InBackoff(now micro.Time) bool { return j.NotBefore > now && !j.provenHealthy(now) }

// SchedulableTasks is how many more tasks of the job may be placed now, whatever resources
// are free. A gang starts whole or not at all.
func (j *Job) SchedulableTasks(now micro.Time) int {
	allowed := j.failureAllowance(now)
	if j.MaxAllocations > 0 {
		allowed = min(allowed, max(j.MaxAllocations-j.AllocationCount, 0))
	}
	return allowed
}

// failureAllowance leaves out the part of the quota that the job has in a shard.
func (j *Job) failureAllowance(now micro.Time) int {
	if j.Spec.Kind == wire.Gang || j.DoneTasks > 0 || len(j.Tasks) <= quarantine.FailingAllocationLimit {
		return math.MaxInt
	}
	limit := quarantine.AllocationLimit(j.failsEverywhere(now))
	if j.AllocationCount < limit {
		return limit - j.AllocationCount
	}
	if j.provenHealthy(now) {
		return math.MaxInt
	}
	return 0
}

// Demand is for how many of the job's waiting tasks instances may be requested. A job that
// fails everywhere is worth no more than what it is tried with, and one that is held back
// beside free resources needs none yet.
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

// recordTaskError notes a failure that the job's own task or its machine caused.
func (s *State) recordTaskError(machine *Machine, allocation *Allocation, now micro.Time) {
	job := allocation.Job
	ran := micro.Time(0)
	if allocation.RunningSince > 0 {
		ran = now - allocation.RunningSince
	}
	job.RecordFailure(machine.Name, ran)
	fleet := (*quarantineFleet)(s)
	if !job.failsEverywhere(now) {
		s.AttributeFailure(machine.Name, &machine.Quarantine, job.Spec.ID, &job.FailureHistory, now)
		s.UpdateQuarantine(fleet, now)
		return
	}
	job.BackOff(now)
	if s.RetractFailures(fleet, job.Spec.ID, &job.FailureHistory, fleet.record, now) {
		s.UpdateQuarantine(fleet, now)
	}
}

// recordFirstCompletion notes that a job's first task completed: where it failed before, the
// machine was the cause.
func (s *State) recordFirstCompletion(job *Job, now micro.Time) {
	if len(job.FailedOn) > 0 {
		s.UpdateQuarantine((*quarantineFleet)(s), now)
	}
}

// quarantineFleet is the state as the quarantine policy sees it.
type quarantineFleet State

func (f *quarantineFleet) record(name string) *quarantine.Machine {
	if machine := f.Machines[name]; machine != nil {
		return &machine.Quarantine
	}
	return nil
}

// MachineCount is the number of machines.
func (f *quarantineFleet) MachineCount() int { return len(f.Machines) }

// SucceedsElsewhere reports whether a job is known whose tasks do well elsewhere.
func (f *quarantineFleet) SucceedsElsewhere(id string, now micro.Time) bool {
	job := f.Jobs[id]
	return job != nil && job.provenHealthy(now)
}

// Quarantined tells operators that a machine is quarantined.
func (f *quarantineFleet) Quarantined(machine string) {
	f.Log("machine quarantined", "machine", machine, "reason", "several jobs failed on it")
}

// QuarantineLifted tells operators that a quarantine is over, and has tasks scheduled there.
func (f *quarantineFleet) QuarantineLifted(machine string) {
	f.Log("machine quarantine lifted", "machine", machine, "reason", "what failed on it fails elsewhere too")
	f.ScheduleSoon()
}

// CheckOverrun looks at a running attempt that was expected to take so long. A machine with
// several that overran is slow: it takes no tasks for a while, and those that overran move.
// This is the exception to the design's assumption that a type's speed is its machines'
// speed.
func (s *State) CheckOverrun(allocation *Allocation, expected, now micro.Time) {
	if allocation.State != Running || allocation.RunningSince == 0 || allocation.Stopping || expected < 5*micro.Second ||
		allocation.Job.Spec.Kind == wire.Service || !quarantine.Overran(now-allocation.RunningSince, expected) {
		return
	}
	machine := allocation.Machine
	if !allocation.overran {
		allocation.overran = true
		machine.Overruns++
	}
	if !machine.IsSlow() {
		return
	}
	if machine.QuarantineSlow(now) {
		s.Log("machine quarantined", "machine", machine.Name, "reason", "much slower than its type")
	}
	// A task that found no other machine would be stopped over and over.
	if len(allocation.Job.FailedOn) == 0 && allocation.Job.Spec.Kind == wire.JobArray && !allocation.LastResort {
		s.StopAllocation(allocation, "slow machine", allocation.Job.Spec.CheckpointDurationS, now)
	}
}
