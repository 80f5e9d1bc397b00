package lifecycle

import "notchmux.dev/notchmux/wire"

// AllocationState is the state of one attempt on a machine.
type AllocationState uint8

// The states of an allocation.
const (
	Planned  AllocationState = iota // decided; its record is being written
	Starting                        // its record is stored; the start may have been sent
	Fetching
	Waiting
	Running
	Checkpointing
	Released // proven released
)

// String is the state as operators and logs name it.
func (s AllocationState) String() string {
	return [...]string{"planned", "starting", "fetching", "waiting", "running", "checkpointing", "released"}[s]
}

// allocationTransitions lists the states that may follow each state. Released is final. A
// heartbeat may skip states, since agents report what is, not each change.
var allocationTransitions = transitions[AllocationState]{
	Planned:       {Starting, Released, Fetching, Waiting, Running, Checkpointing},
	Starting:      {Fetching, Waiting, Running, Checkpointing, Released},
	Fetching:      {Waiting, Running, Checkpointing, Released},
	Waiting:       {Running, Checkpointing, Released, Fetching},
	Running:       {Checkpointing, Released},
	Checkpointing: {Released},
}

// CanTransitionTo reports whether a transition is allowed.
func (s AllocationState) CanTransitionTo(to AllocationState) bool {
	return allocationTransitions.allow(s, to)
}

// reportedStates maps what agents report to the states of allocations.
var reportedStates = map[wire.TaskState]AllocationState{
	wire.TaskFetching:       Fetching,
	wire.TaskWaitingForGang: Waiting,
	wire.TaskRunning:        Running,
	wire.TaskCheckpointing:  Checkpointing,
}

// ReportedState is the state of an allocation whose task an agent reports; Planned, which no
// other state may become, if the agent's word for it is not known.
func ReportedState(state wire.TaskState) AllocationState { return reportedStates[state] }
