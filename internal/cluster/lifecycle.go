package cluster

import "notchmux.dev/notchmux/internal/cluster/lifecycle"

// The states of jobs, allocations and machines, whose transitions package lifecycle lists.
type (
	// JobState is a job's state in the leader's picture.
	JobState = lifecycle.JobState
	// AllocationState is the state of one attempt's allocation on a machine.
	AllocationState = lifecycle.AllocationState
	// MachineState is the state of a machine.
	MachineState = lifecycle.MachineState
)

// See lifecycle.JobState, lifecycle.AllocationState and lifecycle.MachineState.
const (
	Active    = lifecycle.Active
	Finishing = lifecycle.Finishing
	Aborting  = lifecycle.Aborting
	Done      = lifecycle.Done
	Aborted   = lifecycle.Aborted
	Blocked   = lifecycle.Blocked
	Assigned  = lifecycle.Assigned

	Planned       = lifecycle.Planned
	Starting      = lifecycle.Starting
	Fetching      = lifecycle.Fetching
	Waiting       = lifecycle.Waiting
	Running       = lifecycle.Running
	Checkpointing = lifecycle.Checkpointing
	Released      = lifecycle.Released

	Registering = lifecycle.Registering
	Up          = lifecycle.Up
	Suspect     = lifecycle.Suspect
	Expired     = lifecycle.Expired
	Terminating = lifecycle.Terminating
	Terminated  = lifecycle.Terminated
)
