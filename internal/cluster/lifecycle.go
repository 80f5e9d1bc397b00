package cluster

import "notchmux.dev/notchmux/internal/cluster/lifecycle"

// States of jobs, allocations and machines. Package lifecycle defines their transitions.
type (
	// JobState is the state of a job as a controller sees it.
	JobState = lifecycle.JobState
	// AllocationState is the state of an allocation, that is, of one attempt on a machine.
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
