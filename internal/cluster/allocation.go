package cluster

import (
	"slices"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Allocation is one attempt of a task on a machine together with the resources it uses there. Its
// fields may be accessed only on the goroutine that owns the state. Times are on this process's
// monotonic clock.
type Allocation struct {
	Job             *Job // nil if an agent reported a task of an unknown job
	Index           int
	TaskName        string // task name as used in messages to and from agents
	Attempt         uint64
	Machine         *Machine
	AgentEpoch      uint64
	State           AllocationState
	Stopping        bool
	GraceS          float64 // grace period for stopping the task, in seconds
	StopRequestedAt micro.Time
	StopReason      string
	DispatchToken   uint64  // highest fencing token of a dispatched start command that may still be in flight
	ChunkVersion    uint64  // chunk version that must be stored before the start command is sent
	ScaledCPU       float64 // CPUs weighted by the speed of the machine type
	PlannedAt       micro.Time
	RunningSince    micro.Time // time of the first heartbeat that reported it running; 0 if there was none
	Observed        bool       // a heartbeat has reported the attempt
	Restored        bool       // loaded from the records of an earlier term; never started again
	LastResort      bool       // allocated on a quarantined machine because no other machine was available
	overran         bool       // already counted as an overrun
	taskKnown       bool       // Job is set and has a task with this index
}

// key returns the key of the attempt in Machine.Allocations.
func (a *Allocation) key() AllocationKey { return AllocationKey{a.TaskName, a.Attempt} }

// PriorityLevel returns the priority level of the allocation's job, where 0 is the highest. An
// allocation of an unknown job has level 99.
func (a *Allocation) PriorityLevel() int {
	if a.Job == nil {
		return 99
	}
	return a.Job.PriorityLevel
}

// Allocate allocates a machine to a task. The caller, on the goroutine that owns the state, must
// have checked that the team's quota and the machine's free resources allow it. The start command
// is sent after the chunk record has been stored, see ChunkPersisted.
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

// reserve adds an allocation to its machine and chunk, and counts its resources, quota and zone.
func (s *State) reserve(allocation *Allocation) {
	machine := allocation.Machine
	machine.Allocations[allocation.key()] = allocation
	if !allocation.taskKnown {
		return
	}
	job := allocation.Job
	machine.AddUsage(allocation.resources(), 1)
	machine.addAllocationUsage(allocation, 1)
	s.updatePool(machine)
	s.chargeQuota(job, 1)
	job.Tasks[allocation.Index].AllocationCount++
	job.AllocationCount++
	job.Class.AllocationCount++
	job.AllocationsByZone[machine.Zone]++
	chunk := job.Chunk(allocation.Index)
	chunk.Allocations = append(chunk.Allocations, allocation)
}

// unreserve reverses the accounting of reserve and removes the allocation from its chunk.
func (s *State) unreserve(allocation *Allocation) {
	machine, job := allocation.Machine, allocation.Job
	machine.AddUsage(allocation.resources(), -1)
	machine.addAllocationUsage(allocation, -1)
	if len(machine.Allocations) == 0 {
		machine.ResetUsage()
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
