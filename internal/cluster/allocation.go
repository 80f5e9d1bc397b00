package cluster

import (
	"slices"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Allocation is a task's place on a machine, for one attempt.
type Allocation struct {
	Job             *Job // nil for a task of a job that nobody knows
	Index           int
	TaskName        string // the task's name on the wire
	Attempt         uint64
	Machine         *Machine
	AgentEpoch      uint64
	State           AllocationState
	Stopping        bool
	GraceS          float64
	StopRequestedAt micro.Time
	StopReason      string
	DispatchToken   uint64 // highest token of a direct start that may be under way
	ChunkVersion    uint64 // chunk version that must be saved before the start goes out
	ScaledCPU       float64
	PlannedAt       micro.Time
	RunningSince    micro.Time // first running report; 0: none
	Observed        bool       // a report showed it
	Restored        bool       // read from the records of an earlier term: it is never started again
	LastResort      bool       // on a machine that is avoided, for want of any other
	overran         bool       // counted as an overrun
	taskKnown       bool       // Job has a task of that index
}

// key names the attempt on its machine.
func (a *Allocation) key() AllocationKey { return AllocationKey{a.TaskName, a.Attempt} }

// PriorityLevel is the rank of the place's job.
func (a *Allocation) PriorityLevel() int {
	if a.Job == nil {
		return 99
	}
	return a.Job.PriorityLevel
}

// Allocate takes a place for a task. The caller has checked that it may.
func (s *State) Allocate(
	job *Job, index int, machine *Machine, attempt uint32, scaledCPU float64, now micro.Time,
) *Allocation {
	s.dequeue(job, index)
	task := &job.Tasks[index]
	task.Attempt = attempt
	allocation := &Allocation{
		Job: job, Index: index, TaskName: wire.TaskName(job.Spec.ID, index), Attempt: uint64(attempt),
		Machine: machine, AgentEpoch: machine.AgentEpoch, ScaledCPU: scaledCPU, PlannedAt: now, taskKnown: true,
	}
	s.reserve(allocation)
	allocation.ChunkVersion = s.markChunkDirty(job, index).MemoryVersion
	s.ChunkUrgent(job.Chunk(index))
	job.WaitingSince = now
	if machine.ReservedFor == job {
		machine.ReservedFor, machine.UnusedReservationSince = nil, 0
	}
	return allocation
}

// reserve takes a place's room, quota and zone.
func (s *State) reserve(allocation *Allocation) {
	machine := allocation.Machine
	machine.Allocations[allocation.key()] = allocation
	if !allocation.taskKnown {
		return
	}
	job := allocation.Job
	machine.CountUse(allocation.resources(), 1)
	machine.account(allocation, 1)
	s.updatePool(machine)
	s.chargeQuota(job, 1)
	job.Tasks[allocation.Index].AllocationCount++
	job.AllocationCount++
	job.Class.AllocationCount++
	job.AllocationsByZone[machine.Zone]++
	chunk := job.Chunk(allocation.Index)
	chunk.Allocations = append(chunk.Allocations, allocation)
}

// returnResources undoes reserve.
func (s *State) returnResources(allocation *Allocation) {
	machine, job := allocation.Machine, allocation.Job
	machine.CountUse(allocation.resources(), -1)
	machine.account(allocation, -1)
	if len(machine.Allocations) == 0 {
		machine.ClearUse()
	}
	s.updatePool(machine)
	s.chargeQuota(job, -1)
	job.Tasks[allocation.Index].AllocationCount--
	job.AllocationCount--
	job.Class.AllocationCount--
	job.AllocationsByZone[machine.Zone]--
	chunk := job.Chunk(allocation.Index)
	if i := slices.Index(chunk.Allocations, allocation); i >= 0 {
		chunk.Allocations = append(chunk.Allocations[:i], chunk.Allocations[i+1:]...)
	}
}
