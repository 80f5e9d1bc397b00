package lifecycle

import "notchmux.dev/notchmux/wire"

// AllocationState is the state of an allocation, that is, of one attempt on a machine.
type AllocationState uint8

// States of an allocation.
const (
	Planned  AllocationState = iota // decided; its record is being written
	Starting                        // its record is stored; the start command may have been sent
	Fetching
	Waiting
	Running
	Checkpointing
	Released // proven to no longer run
)

// String returns the name of the state in logs and for operators.
func (s AllocationState) String() string {
	return [...]string{"planned", "starting", "fetching", "waiting", "running", "checkpointing", "released"}[s]
}

// allocationTransitions lists the states that may follow each state. Released is final. A heartbeat
// may skip states, because agents report the current state and not every change.
var allocationTransitions = transitions[AllocationState]{
	Planned:       {Starting, Released, Fetching, Waiting, Running, Checkpointing},
	Starting:      {Fetching, Waiting, Running, Checkpointing, Released},
	Fetching:      {Waiting, Running, Checkpointing, Released},
	Waiting:       {Running, Checkpointing, Released, Fetching},
	Running:       {Checkpointing, Released},
	Checkpointing: {Released},
}

// CanTransitionTo reports whether the transition to the given state is allowed.
func (s AllocationState) CanTransitionTo(to AllocationState) bool {
	return allocationTransitions.allow(s, to)
}

// reportedStates maps the task states that agents report to allocation states.
var reportedStates = map[wire.TaskState]AllocationState{
	wire.TaskFetching:       Fetching,
	wire.TaskWaitingForGang: Waiting,
	wire.TaskRunning:        Running,
	wire.TaskCheckpointing:  Checkpointing,
}

// ReportedState returns the allocation state for a task state that an agent reports. For an unknown
// task state it returns Planned, to which no other state can transition.
func ReportedState(state wire.TaskState) AllocationState { return reportedStates[state] }
