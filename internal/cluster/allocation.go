package cluster

import (
	"slices"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Allocation is one attempt of a task on a machine, and what it uses there. Its fields belong to
// the goroutine that owns the state; times are on the steady clock of this process.
type Allocation struct {
	Job             *Job // nil: an agent has a task of a job that nobody knows
	Index           int
	TaskName        string // the task's name on the wire
	Attempt         uint64
	Machine         *Machine
	AgentEpoch      uint64
	State           AllocationState
	Stopping        bool
	GraceS          float64 // seconds that the task has to stop
	StopRequestedAt micro.Time
	StopReason      string
	DispatchToken   uint64  // highest fencing token of a dispatched start that may be under way
	ChunkVersion    uint64  // chunk version that must be stored before the start goes out
	ScaledCPU       float64 // cores as the scheduler counts them, by the machine type's speed
	PlannedAt       micro.Time
	RunningSince    micro.Time // first heartbeat that showed it running; 0: none
	Observed        bool       // a heartbeat showed it
	Restored        bool       // read from the records of an earlier term: it is never started again
	LastResort      bool       // on a quarantined machine, since there was no other
	overran         bool       // counted as an overrun
	taskKnown       bool       // Job has a task of that index
}

// key names the attempt on its machine.
func (a *Allocation) key() AllocationKey { return AllocationKey{a.TaskName, a.Attempt} }

// PriorityLevel is the priority level of the allocation's job; 0 is the highest.
func (a *Allocation) PriorityLevel() int {
	if a.Job == nil {
		return 99
	}
	return a.Job.PriorityLevel
}

// Allocate allocates a machine to a task. The caller, on the goroutine that owns the state, has
// checked that quota and machine allow it. The start goes out once the chunk's record is stored,
// see ChunkPersisted.
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

// reserve counts an allocation's resources, quota and zone.
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

// unreserve undoes reserve.
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
