package shard

import "notchmux.dev/notchmux/internal/micro"

// What an owner tells the leader in one status update.
const (
	// StatusUpdateTimeout is how long the leader may take over one.
	StatusUpdateTimeout = 900 * micro.Millisecond
	// MaxStatusItems bounds the machines, and the jobs of each kind, that one names: a call
	// between nodes holds wire.MaxBody. What is left out comes with the next.
	MaxStatusItems = 300
)

// StatusUpdate is what an owner tells the leader, every second and when something is urgent.
type StatusUpdate struct {
	Node           string        `msgpack:"node"`
	SessionVersion uint64        `msgpack:"session"`
	Term           uint64        `msgpack:"term"` // of the leader whose answer it had last
	Shards         []ShardUpdate `msgpack:"shares"`
}

// ShardUpdate is what an owner tells of one shard. It was put together while the owner
// had the leadership lease.
type ShardUpdate struct {
	Name                string         `msgpack:"name"`
	AssignmentRevision  uint64         `msgpack:"seen"`     // revision up to which it has read assignments
	FreeCapacity        []FreeCapacity `msgpack:"room"`     // what is free for jobs that it does not know yet
	FinishedJobs        []string       `msgpack:"finished"` // jobs all of whose tasks are done, as its records say
	StoppingJobs        []StoppingJob  `msgpack:"stopped"`  // jobs that it starts no more, and tells to stop
	Demand              []Demand       `msgpack:"demand"`   // tasks that wait for capacity in the shard
	Progress            []Progress     `msgpack:"progress"`
	ReadyMachines       []string       `msgpack:"up"`         // machines that heartbeat, told to each leader once
	MachinesToTerminate []string       `msgpack:"return"`     // to be terminated
	MachineCount        int            `msgpack:"machines"`   // that are up
	IdleMachines        int            `msgpack:"empty"`      // of those, without any task
	Unreachable         bool           `msgpack:"unreached"`  // no agent reaches the owner
	PendingTasks        int            `msgpack:"unassigned"` // tasks that wait

	// LoopStartedAt is when the owner's loop began, wall clock, microseconds: one that began later in
	// the same ownership does not know what the one before said of machines.
	LoopStartedAt int64 `msgpack:"since,omitempty"`
	// WaitingJobs are jobs with records of their tasks, and without any allocation for long:
	// there may be capacity elsewhere by now.
	WaitingJobs []string `msgpack:"idle,omitempty"`
	// ReleasedJobs are recalled jobs of which nothing is left in the shard but stored records.
	ReleasedJobs []ReleasedJob `msgpack:"released,omitempty"`
	// CopiedJobs are jobs that came with records of the leader's, all of which the owner's own hold.
	CopiedJobs []CopiedJob `msgpack:"copied,omitempty"`
}

// ReleasedJob is a recalled job of which nothing is left in the shard but stored records.
type ReleasedJob struct {
	Job     string `msgpack:"job"`
	Version uint64 `msgpack:"version"` // of the assignment that the owner read
}

// CopiedJob is a job of which the owner's records hold all that the leader's do.
type CopiedJob struct {
	Job     string `msgpack:"job"`
	Version uint64 `msgpack:"version"` // of the assignment that the owner read
}

// FreeCapacity is a number of like machines with so much free each.
type FreeCapacity struct {
	Type  string  `msgpack:"type"`
	Zone  string  `msgpack:"zone"`
	Spot  bool    `msgpack:"spot"`
	Count int     `msgpack:"count"`
	CPU   float64 `msgpack:"cpu"`
	GPU   float64 `msgpack:"gpu"`
	Mem   float64 `msgpack:"mem"`
}

// Demand is a number of a job's tasks that wait for capacity.
type Demand struct {
	Job   string   `msgpack:"job"`
	Tasks int      `msgpack:"tasks"`
	Zones []string `msgpack:"zones"` // where they may go, by the job's other tasks; empty: anywhere
}

// StoppingJob says how far a job that is being cancelled is gone.
type StoppingJob struct {
	Job                   string   `msgpack:"job"`
	UnreleasedAllocations int      `msgpack:"held"`  // allocations not proven released
	Zones                 []string `msgpack:"zones"` // of those
}

// Progress is what users are told of a job.
type Progress struct {
	Job     string `msgpack:"job"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
	// AllocationsNeeded is how many allocations its tasks may have at once from now on: one for each task
	// that is not done, and those that others have and that are not proven released. It is -1
	// where the records do not say so yet.
	AllocationsNeeded int `msgpack:"need"`
}

// UpdateReply is the leader's answer.
type UpdateReply struct {
	Term uint64 `msgpack:"term"`
	// ProxyRenewalAge is how long ago, in microseconds, a lease proxy may last have renewed the lease of
	// an agent, by zone; a zone without an entry has none.
	ProxyRenewalAge map[string]int64 `msgpack:"kept"`
	// DisconnectedZones lists the zones whose nodes are disconnected from the leader.
	DisconnectedZones []string `msgpack:"away"`
	// FinalStates are the jobs that the owner named and whose end is stored: done or aborted.
	FinalStates map[string]string `msgpack:"ends"`
	// TerminatedMachines are those of the machines to be terminated that are gone.
	TerminatedMachines []string `msgpack:"gone"`
}

// Operation is what an operator asks.
type Operation string

// The operations.
const (
	OperationList   Operation = "list"
	OperationShow   Operation = "show"
	OperationMove   Operation = "move"
	OperationCancel Operation = "cancel"
)

// Command is an operator's command. Each may be repeated.
type Command struct {
	Operation Operation `msgpack:"operation"`
	Shard     string    `msgpack:"share"`
	Target    string    `msgpack:"target"` // of a move
}

// CommandReply answers it.
type CommandReply struct {
	RefusalReason string   `msgpack:"refused"` // why it was not carried out; "": it was
	Shards        []Status `msgpack:"shares"`
}

// Status is what an operator is told of a shard.
type Status struct {
	Name             string `msgpack:"name" json:"name"`
	Record           Record `msgpack:"record" json:"record"`
	Version          uint64 `msgpack:"version" json:"version"`
	MachineCount     int    `msgpack:"machines" json:"machines"`   // that heartbeat to its owner
	IdleMachines     int    `msgpack:"empty" json:"empty"`         // of those, without any task
	PendingTasks     int    `msgpack:"waiting" json:"waiting"`     // tasks that wait for capacity in it
	AssignedJobs     int    `msgpack:"jobs" json:"jobs"`           // that are assigned to it
	OwnerSessionLost bool   `msgpack:"ownerGone" json:"ownerGone"` // the owner has lost its session
	LastUpdateAgeS   int    `msgpack:"heardAgoS" json:"heardAgoS"` // since its owner last reported; -1: not in this term
	BlockedReason    string `msgpack:"note" json:"note"`           // what holds a change up
}
