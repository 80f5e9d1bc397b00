// Package cluster holds a controller's picture of the cluster: jobs, tasks, gangs, machines and
// the allocations of tasks on them, with their changes of state and the reconciliation with
// what agents report. It does no I/O and reads no clock. One goroutine, the event loop of the
// leader or of a shard's owner, owns a State and all that it holds: nothing is locked.
//
// An allocation counts until it is proven released. See State.release for the proofs.
package cluster

import (
	"notchmux.dev/notchmux/internal/cluster/imagecache"
	"notchmux.dev/notchmux/internal/cluster/quarantine"
	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Effects are what a change of the state asks its owner to do. They are called on the
// goroutine that owns the state, in the middle of a change.
type Effects interface {
	// ChunkDirty says that the chunk must be written.
	ChunkDirty(chunk *TaskChunk)
	// ChunkUrgent says that a start waits for the chunk's record.
	ChunkUrgent(chunk *TaskChunk)
	// DispatchSoon says that there are commands worth sending to the machine by themselves.
	DispatchSoon(machine *Machine)
	// JobFinished says that all tasks are done: the final status is to be written.
	JobFinished(job *Job)
	// DependencyAborted says that a dependency is aborted: so is the job, to be written.
	DependencyAborted(job *Job)
	// DependencyUnknown says that nothing is known of a job that another depends on: the
	// store has to be asked.
	DependencyUnknown(id string)
	// AttemptCompleted says that an attempt completed, and how long it ran.
	AttemptCompleted(allocation *Allocation, took micro.Time)
	// ChunkMigrated says that what a chunk held is in chunks of the compact form now.
	ChunkMigrated(chunk *TaskChunk, legacy *LegacyRecord)
	// LegacyRecordSuperseded names a record in the first form, to be deleted once each chunk
	// that stands for a part of it is stored.
	LegacyRecordSuperseded(legacy *LegacyRecord)
	// ScheduleSoon says that a scheduling pass may find more than before.
	ScheduleSoon()
	// Log writes one line for operators.
	Log(event string, args ...any)
}

// State is the whole picture of the cluster. One goroutine owns it: nothing in it is locked.
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

	// Verbose logs each allocation and exit.
	Verbose bool

	// HandoverSupported is set while every controller can go on with a job that had allocations
	// under another one.
	HandoverSupported bool

	// Ownership says whether another controller owns a machine, and whether it is to;
	// nil: this one owns all.
	Ownership func(machine *Machine) (ownedElsewhere, transferPending bool)
}

// Catalog is the cloud's machine types.
type Catalog struct {
	Types        map[string]*MachineType
	CatalogOrder []*MachineType
}

// Term is what holds for one controller's time as leader, or as owner of a shard.
type Term struct {
	TermStartedAt        micro.Time
	MinFencingToken      uint64                // the lowest token of this term
	LeaseDuration        micro.Time            // the agents' lease, with room for clock drift
	GangWaitTimeout      micro.Time            // how long a gang's members wait for each other
	ProxyRenewedUntil    map[string]micro.Time // until when a lease proxy may have renewed leases, by zone; "": any
	ZoneUnreachableSince map[string]micro.Time // zones none of whose controllers answer, since when
}

// RecordFormat is the form in which chunks are stored.
type RecordFormat struct {
	TasksPerChunk  int  // of jobs that are added from now on
	CompactRecords bool // chunks are written in the compact form
}

// JobSets are the jobs by what they wait for.
type JobSets struct {
	ActiveJobs    map[*Job]bool          // jobs in the state Active
	PendingJobs   map[*Job]bool          // active jobs with tasks to place
	BlockedJobs   int                    // how many jobs wait for dependencies
	FinalStatuses map[string]FinalStatus // final statuses that are in the store, by job

	dependents map[string][]*Job // jobs by each of those that they wait for
}

// MachineSets are the machines in the commands in which they are looked for.
type MachineSets struct {
	poolIndex // Pools: the machines that take new tasks

	TerminatedAt map[string]micro.Time // machines terminated in this term, and when

	sortedMachines []*Machine                  // by name; nil: to be sorted anew
	imageHints     map[string]imagecache.Cache // images of machines that are not known yet
}

// FailureAttribution is what decides whether failures are held against machines.
type FailureAttribution = quarantine.Policy

// New makes an empty picture. Its settings (term, quarantine threshold, teams, catalog) are
// filled in by the goroutine that owns it, before the first job or machine is added.
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

// SetCatalog takes over the cloud's machine types, keeping learnt speeds.
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
