// Package cluster holds a controller's view of the cluster: jobs, tasks, gangs, machines and the
// allocations of tasks on them, with their state transitions and the reconciliation with what
// agents report. It does no I/O and reads no clock. A single goroutine, the event loop of the
// leader or of a shard owner, owns a State and everything in it, so there is no locking.
//
// An allocation counts as using its resources until it is proven released. See State.release for
// the proofs.
package cluster

import (
	"notchmux.dev/notchmux/internal/cluster/imagecache"
	"notchmux.dev/notchmux/internal/cluster/quarantine"
	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Effects are the actions that a state change requests from the owner of the state. They are called
// on the goroutine that owns the state, while the change is in progress.
type Effects interface {
	// ChunkDirty requests that the chunk record be written.
	ChunkDirty(chunk *TaskChunk)
	// ChunkUrgent reports that a start command waits for the chunk record to be stored.
	ChunkUrgent(chunk *TaskChunk)
	// DispatchSoon reports that there are commands worth sending to the machine without waiting for
	// its next heartbeat.
	DispatchSoon(machine *Machine)
	// JobFinished reports that all tasks are done, so the final status must be written.
	JobFinished(job *Job)
	// DependencyAborted reports that a dependency of the job was aborted, so the abort of the job
	// must be written.
	DependencyAborted(job *Job)
	// DependencyUnknown reports that a job on which another depends is unknown, so it must be
	// looked up in the store.
	DependencyUnknown(id string)
	// AttemptCompleted reports that an attempt completed, and how long it ran.
	AttemptCompleted(allocation *Allocation, took micro.Time)
	// ChunkMigrated reports that the state of a chunk was moved to chunks in the compact format.
	ChunkMigrated(chunk *TaskChunk, legacy *LegacyRecord)
	// LegacyRecordSuperseded reports a record in the legacy format that is to be deleted once all
	// chunks that cover a part of it are stored.
	LegacyRecordSuperseded(legacy *LegacyRecord)
	// ScheduleSoon reports that a scheduling pass may now place more tasks than before.
	ScheduleSoon()
	// Log writes one log line for operators.
	Log(event string, args ...any)
}

// State is the complete view of the cluster. It is owned by a single goroutine and not locked.
type State struct {
	Effects
	Jobs     map[string]*Job
	Machines map[string]*Machine
	Teams    map[string]*Team
	Classes  map[string]*Class

	Catalog
	Term
	RecordFormat
	JobSets
	MachineSets
	FailureAttribution
	PreviousTerm MachineInactivity

	// Verbose enables log lines for each stopped allocation and each exit.
	Verbose bool

	// HandoverSupported is set as long as every controller is able to continue a job that had
	// allocations under another controller.
	HandoverSupported bool

	// Ownership reports whether another controller owns a machine, and whether the machine is about
	// to be transferred to another controller. It is nil if this controller owns all machines.
	Ownership func(machine *Machine) (ownedElsewhere, transferPending bool)
}

// Catalog holds the machine types that the cloud offers.
type Catalog struct {
	Types        map[string]*MachineType
	CatalogOrder []*MachineType
}

// Term holds the parameters of a controller's term as leader or shard owner.
type Term struct {
	TermStartedAt        micro.Time
	MinFencingToken      uint64                // lowest fencing token of this term
	LeaseDuration        micro.Time            // duration of the agents' leases, including a margin for clock drift
	GangWaitTimeout      micro.Time            // how long the members of a gang wait for each other
	ProxyRenewedUntil    map[string]micro.Time // when a lease proxy may last have renewed leases, by zone; "": any
	ZoneUnreachableSince map[string]micro.Time // time since which no controller of a zone has responded, by zone
}

// RecordFormat is the format in which chunks are stored.
type RecordFormat struct {
	TasksPerChunk  int  // of jobs added from now on
	CompactRecords bool // chunk records are written in the compact format
}

// JobSets holds sets of jobs by what they wait for.
type JobSets struct {
	ActiveJobs    map[*Job]bool          // jobs in state Active
	PendingJobs   map[*Job]bool          // active jobs with pending tasks
	BlockedJobs   int                    // number of jobs that wait for dependencies
	FinalStatuses map[string]FinalStatus // stored final statuses, by job

	dependents map[string][]*Job // jobs by each dependency that has not ended
}

// MachineSets holds sets of machines by what they are needed for.
type MachineSets struct {
	poolIndex // Pools: the machines on which new tasks may be placed

	TerminatedAt map[string]micro.Time // machines terminated in this term, with the time

	sortedMachines []*Machine                  // sorted by name; nil if it must be sorted again
	imageHints     map[string]imagecache.Cache // images of machines that are not known yet
}

// FailureAttribution decides whether failures are attributed to machines.
type FailureAttribution = quarantine.Policy

// New returns an empty state. Its settings (term, quarantine threshold, teams, catalog) are to be
// set by the goroutine that owns it before the first job or machine is added.
func New(effects Effects) *State {
	return &State{
		Effects:  effects,
		Jobs:     map[string]*Job{},
		Machines: map[string]*Machine{},
		Teams:    map[string]*Team{},
		Classes:  map[string]*Class{},
		Catalog:  Catalog{Types: map[string]*MachineType{}},
		Term: Term{
			ProxyRenewedUntil:    map[string]micro.Time{},
			ZoneUnreachableSince: map[string]micro.Time{},
		},
		RecordFormat: RecordFormat{TasksPerChunk: records.LegacyTasksPerChunk},
		JobSets: JobSets{
			ActiveJobs:    map[*Job]bool{},
			PendingJobs:   map[*Job]bool{},
			FinalStatuses: map[string]FinalStatus{},
			dependents:    map[string][]*Job{},
		},
		MachineSets: MachineSets{
			TerminatedAt: map[string]micro.Time{},
			imageHints:   map[string]imagecache.Cache{},
		},
		FailureAttribution: quarantine.NewPolicy(),
	}
}

// SetCatalog replaces the cloud's machine types, keeping their learnt speeds.
func (s *State) SetCatalog(catalog *wire.Catalog) {
	s.CatalogOrder = s.CatalogOrder[:0]
	for i, spec := range catalog.Types {
		machineType := s.Types[spec.Name]
		if machineType == nil {
			machineType = &MachineType{SpeedFactor: 1}
			s.Types[spec.Name] = machineType
		}
		machineType.MachineType, machineType.Index = spec, i
		s.CatalogOrder = append(s.CatalogOrder, machineType)
	}
}
