package cluster

import (
	"math"

	"notchmux.dev/notchmux/internal/cluster/quarantine"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// provenHealthy reports whether a task of the job has completed, or has been running for longer
// than any failure so far took to occur.
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

// failsEverywhere reports whether the job appears to fail on every machine because of a mistake in
// its submission. Such a job is retried rarely, and its failures are not attributed to machines.
func (j *Job) failsEverywhere(now micro.Time) bool { return j.FailedWidely() && !j.provenHealthy(now) }

// FailedWithoutSuccess reports whether tasks of the job failed and no other task of it is proven
// healthy.
func (j *Job) FailedWithoutSuccess(now micro.Time) bool {
	return j.Failures > 0 && !j.provenHealthy(now)
}

// InBackoff reports whether the job is waiting for its next try because it fails on every machine.
func (j *Job) InBackoff(now micro.Time) bool { return j.NotBefore > now && !j.provenHealthy(now) }

// SchedulableTasks returns how many more tasks of the job may be placed now, regardless of the
// resources that are free. A gang is either started completely or not at all.
func (j *Job) SchedulableTasks(now micro.Time) int {
	allowed := j.failureAllowance(now)
	if j.MaxAllocations > 0 {
		allowed = min(allowed, max(j.MaxAllocations-j.AllocationCount, 0))
	}
	return allowed
}

// failureAllowance returns how many more tasks of the job may be placed given its failures. It
// ignores MaxAllocations, the part of the quota that the job has in a shard.
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

// Demand returns the number of the job's pending tasks for which instances may be requested. A job
// that fails on every machine justifies only as many as are used to retry it. A job that is held
// back although resources are free needs none yet.
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

// recordTaskError records a failure caused by the job's own task or by its machine.
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

// recordFirstCompletion handles the completion of a job's first task. It shows that earlier
// failures of the job were caused by the machines on which they occurred.
func (s *State) recordFirstCompletion(job *Job, now micro.Time) {
	if len(job.FailedOn) > 0 {
		s.UpdateQuarantine((*quarantineFleet)(s), now)
	}
}

// quarantineFleet implements quarantine.Fleet on the state.
type quarantineFleet State

func (f *quarantineFleet) record(name string) *quarantine.Machine {
	// record returns the quarantine record of a machine, or nil if the machine is not known.
	if machine := f.Machines[name]; machine != nil {
		return &machine.Quarantine
	}
	return nil
}

// MachineCount returns the number of machines.
func (f *quarantineFleet) MachineCount() int { return len(f.Machines) }

// SucceedsElsewhere reports whether the job is known and proven healthy.
func (f *quarantineFleet) SucceedsElsewhere(id string, now micro.Time) bool {
	job := f.Jobs[id]
	return job != nil && job.provenHealthy(now)
}

// Quarantined logs that a machine was quarantined.
func (f *quarantineFleet) Quarantined(machine string) {
	f.Log("machine quarantined", "machine", machine, "reason", "several jobs failed on it")
}

// QuarantineLifted logs that a quarantine was lifted, and requests a scheduling pass.
func (f *quarantineFleet) QuarantineLifted(machine string) {
	f.Log("machine quarantine lifted", "machine", machine, "reason", "jobs that failed on it also fail elsewhere")
	f.ScheduleSoon()
}

// CheckOverrun checks a running attempt against its expected run time. A machine on which several
// attempts overran is considered slow: it gets no tasks for some time, and the tasks of the
// attempts that overran are moved. This is the exception to the design's assumption that all
// machines of a type are equally fast.
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
		s.Log("machine quarantined", "machine", machine.Name, "reason", "much slower than other machines of its type")
	}
	// A task for which no other machine is available would be stopped again and again.
	if len(allocation.Job.FailedOn) == 0 && allocation.Job.Spec.Kind == wire.JobArray && !allocation.LastResort {
		s.StopAllocation(allocation, "slow machine", allocation.Job.Spec.CheckpointDurationS, now)
	}
}
