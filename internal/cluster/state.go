// Package cluster holds the leader's picture of the cluster: jobs, tasks, gangs,
// machines and the places that tasks take on them. It does no I/O and reads no
// clock; one goroutine owns it.
//
// A place stays taken until it is proven free. See Cluster.free for the proofs.
package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// MachineType is a machine type with its learnt speed.
type MachineType struct {
	wire.MachineType
	Index       int
	SpeedFactor float64
}

// Effects are what a change of the model asks its owner to do.
type Effects interface {
	ChunkDirty(chunk *TaskChunk)   // the chunk must be written
	ChunkUrgent(chunk *TaskChunk)  // and soon: a start waits for it
	DispatchSoon(machine *Machine) // the machine has orders worth sending directly
	JobFinished(job *Job)          // all tasks are done: write the end
	DependencyAborted(job *Job)    // a job that it needs is aborted: write the end
	DependencyUnknown(
		id string,
	) // a job is awaited of which nothing is known: look into the store
	AttemptCompleted(allocation *Allocation, took micro.Time) // an attempt completed after running for so long
	ChunkMigrated(chunk *TaskChunk, legacy *LegacyRecord)     // what a chunk held is in chunks of the later form now
	LegacyRecordSuperseded(
		legacy *LegacyRecord,
	) // a record in the first form, to be deleted once its parts are stored
	ScheduleSoon()                 // placement may find more than before
	Log(event string, args ...any) // one line for operators
}

// State is the whole picture.
type State struct {
	Effects
	Jobs                 map[string]*Job
	Machines             map[string]*Machine
	Teams                map[string]*Team
	Types                map[string]*MachineType
	CatalogOrder         []*MachineType
	Classes              map[string]*Class
	TerminatedAt         map[string]micro.Time  // machines returned in this term, and when
	ProxyRenewedUntil    map[string]micro.Time  // until when a keeper may have renewed leases, by zone; "": any
	ZoneUnreachableSince map[string]micro.Time  // zones none of whose controllers answer, since when
	LeaseDuration        micro.Time             // the workers' lease, with room for drift
	GangWaitTimeout      micro.Time             // a gang's wait for its members
	TermStartedAt        micro.Time             // when this node took over
	MinFencingToken      uint64                 // lowest token of this term
	QuarantineThreshold  int                    // jobs failing on a machine before it is avoided
	PendingJobs          map[*Job]bool          // active jobs with tasks to place
	ActiveJobs           map[*Job]bool          // active jobs
	FinalStatuses        map[string]FinalStatus // ends that are in the store, by job
	TasksPerChunk        int                    // tasks of a chunk of jobs that are added
	CompactRecords       bool                   // chunks are written in the later form
	Pools                []*MachinePool         // machines that take new tasks, by type, zone and kind

	Verbose bool // log each place and exit

	// Partition says whether another controller owns a machine, and whether it is to;
	// nil: this one owns all.
	Ownership func(machine *Machine) (ownedElsewhere, transferPending bool)

	BlockedJobs int // jobs that await others

	dependents     map[string][]*Job // jobs by each of those that they await
	sortedMachines []*Machine
	poolIndex      map[poolKey]*MachinePool

	imageHints               map[string]map[string]cachedImage // images of machines that are not known yet
	quarantineCandidates     map[*Machine]bool                 // machines that jobs failed on
	quarantineSuspendedUntil micro.Time                        // until when so many look faulty that the jobs are the likelier cause
}

// New makes an empty picture.
func New(effects Effects) *State {
	return &State{
		Effects:              effects,
		Jobs:                 map[string]*Job{},
		Machines:             map[string]*Machine{},
		Teams:                map[string]*Team{},
		Types:                map[string]*MachineType{},
		Classes:              map[string]*Class{},
		TerminatedAt:         map[string]micro.Time{},
		ProxyRenewedUntil:    map[string]micro.Time{},
		ZoneUnreachableSince: map[string]micro.Time{},
		PendingJobs:          map[*Job]bool{},
		ActiveJobs:           map[*Job]bool{},
		QuarantineThreshold:  2,
		FinalStatuses:        map[string]FinalStatus{},
		TasksPerChunk:        LegacyTasksPerChunk,
		dependents:           map[string][]*Job{},
		imageHints:           map[string]map[string]cachedImage{},
		poolIndex:            map[poolKey]*MachinePool{},
		quarantineCandidates: map[*Machine]bool{},
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
