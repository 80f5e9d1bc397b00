package shard

import "notchmux.dev/notchmux/internal/micro"

// Limits of a status update.
const (
	// StatusUpdateTimeout is how long the leader may take to answer a status update.
	StatusUpdateTimeout = 900 * micro.Millisecond
	// MaxStatusItems limits the machines, and the jobs of each kind, that an update lists for a shard: a call
	// between nodes carries at most wire.MaxBody bytes. Items left out are sent with the next update.
	MaxStatusItems = 300
)

// StatusUpdate is what an owner reports to the leader, every second, and earlier if something is urgent.
type StatusUpdate struct {
	Node           string        `msgpack:"node"`
	SessionVersion uint64        `msgpack:"session"`
	Term           uint64        `msgpack:"term"` // of the leader that last answered this owner
	Shards         []ShardUpdate `msgpack:"shares"`
}

// ShardUpdate is an owner's report on one shard. It was built while the lease of the owner's session held.
type ShardUpdate struct {
	Name                string         `msgpack:"name"`
	AssignmentRevision  uint64         `msgpack:"seen"`     // revision up to which the owner has read assignments
	FreeCapacity        []FreeCapacity `msgpack:"room"`     // capacity for jobs that the owner does not know yet
	FinishedJobs        []string       `msgpack:"finished"` // jobs whose tasks are all done, according to its records
	StoppingJobs        []StoppingJob  `msgpack:"stopped"`  // jobs that it no longer starts, and is stopping
	Demand              []Demand       `msgpack:"demand"`   // tasks that wait for capacity in the shard
	Progress            []Progress     `msgpack:"progress"`
	ReadyMachines       []string       `msgpack:"up"`         // machines that heartbeat, reported once to each leader
	MachinesToTerminate []string       `msgpack:"return"`     // machines that the leader is to terminate
	MachineCount        int            `msgpack:"machines"`   // number of machines that are up
	IdleMachines        int            `msgpack:"empty"`      // number of those without any task
	Unreachable         bool           `msgpack:"unreached"`  // no agent reaches the owner
	PendingTasks        int            `msgpack:"unassigned"` // number of tasks that wait

	// LoopStartedAt is the wall clock at which the owner's loop started, in microseconds. A loop that started later
	// in the same ownership does not know what the loop before it reported about machines.
	LoopStartedAt int64 `msgpack:"since,omitempty"`
	// WaitingJobs are jobs with task records that have had no allocation for a long time: there may be capacity
	// outside the shard by now.
	WaitingJobs []string `msgpack:"idle,omitempty"`
	// ReleasedJobs are recalled jobs of which only stored records are left in the shard.
	ReleasedJobs []ReleasedJob `msgpack:"released,omitempty"`
	// CopiedJobs are jobs that were handed over with records of the leader's, all of which the owner has copied to
	// its own.
	CopiedJobs []CopiedJob `msgpack:"copied,omitempty"`
}

// ReleasedJob is a recalled job of which only stored records are left in the shard.
type ReleasedJob struct {
	Job     string `msgpack:"job"`
	Version uint64 `msgpack:"version"` // of the assignment that the owner read
}

// CopiedJob is a job for which the owner's records hold the contents of all of the leader's.
type CopiedJob struct {
	Job     string `msgpack:"job"`
	Version uint64 `msgpack:"version"` // of the assignment that the owner read
}

// FreeCapacity is a number of machines of the same type, zone and kind, each with the same free resources.
type FreeCapacity struct {
	Type  string  `msgpack:"type"`
	Zone  string  `msgpack:"zone"`
	Spot  bool    `msgpack:"spot"`
	Count int     `msgpack:"count"` // number of machines
	CPU   float64 `msgpack:"cpu"`   // free CPUs of each
	GPU   float64 `msgpack:"gpu"`   // free GPUs of each
	Mem   float64 `msgpack:"mem"`   // free memory of each, in GB
}

// Demand is a number of a job's tasks that wait for capacity.
type Demand struct {
	Job   string   `msgpack:"job"`
	Tasks int      `msgpack:"tasks"`
	Zones []string `msgpack:"zones"` // where they may run, given the job's other tasks; empty: anywhere
}

// StoppingJob is the progress of cancelling a job.
type StoppingJob struct {
	Job                   string   `msgpack:"job"`
	UnreleasedAllocations int      `msgpack:"held"`  // number of allocations not yet proven released
	Zones                 []string `msgpack:"zones"` // zones of those allocations
}

// Progress is the progress of a job as shown to users.
type Progress struct {
	Job     string `msgpack:"job"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
	// AllocationsNeeded is how many allocations the job's tasks may have at once from now on: one for each task that
	// is not done, plus all others that are not proven released. It is -1 if the stored records do not show this yet.
	AllocationsNeeded int `msgpack:"need"`
}

// UpdateReply is the leader's reply to a StatusUpdate.
type UpdateReply struct {
	// Term is the leader's term. 0 makes the owner report its machines again.
	Term uint64 `msgpack:"term"`
	// ProxyRenewalAge is, by zone, how long ago a lease proxy may last have renewed the lease of an agent, in
	// microseconds. No proxy can have renewed a lease in a zone without an entry.
	ProxyRenewalAge map[string]int64 `msgpack:"kept"`
	// DisconnectedZones lists the zones whose nodes are disconnected from the leader.
	DisconnectedZones []string `msgpack:"away"`
	// FinalStates maps jobs that the owner named, and whose final state is stored, to that state: done or aborted.
	FinalStates map[string]string `msgpack:"ends"`
	// TerminatedMachines lists the machines of MachinesToTerminate that have been terminated.
	TerminatedMachines []string `msgpack:"gone"`
}

// Operation is the kind of a Command.
type Operation string

// Operations that an operator can request.
const (
	OperationList   Operation = "list"
	OperationShow   Operation = "show"
	OperationMove   Operation = "move"
	OperationCancel Operation = "cancel"
)

// Command is an operator's command. Any command may be sent repeatedly.
type Command struct {
	Operation Operation `msgpack:"operation"`
	Shard     string    `msgpack:"share"`
	Target    string    `msgpack:"target"` // node to which to move the shard
}

// CommandReply is the answer to a Command.
type CommandReply struct {
	RefusalReason string   `msgpack:"refused"` // why the command was refused; "": it was carried out
	Shards        []Status `msgpack:"shares"`
}

// Status describes a shard to an operator.
type Status struct {
	Name             string `msgpack:"name" json:"name"`
	Record           Record `msgpack:"record" json:"record"`
	Version          uint64 `msgpack:"version" json:"version"`
	MachineCount     int    `msgpack:"machines" json:"machines"`   // machines that heartbeat to its owner
	IdleMachines     int    `msgpack:"empty" json:"empty"`         // those of them without any task
	PendingTasks     int    `msgpack:"waiting" json:"waiting"`     // tasks that wait for capacity in it
	AssignedJobs     int    `msgpack:"jobs" json:"jobs"`           // jobs assigned to it
	OwnerSessionLost bool   `msgpack:"ownerGone" json:"ownerGone"` // the owner has lost its session
	// LastUpdateAgeS is the number of seconds since the last status update of its owner; -1: none in this term.
	LastUpdateAgeS int    `msgpack:"heardAgoS" json:"heardAgoS"`
	BlockedReason  string `msgpack:"note" json:"note"` // why a change of the shard makes no progress
}
