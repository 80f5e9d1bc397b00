// Package cluster holds the leader's picture of the cluster: jobs, tasks, gangs,
// machines and the places that tasks take on them. It does no I/O and reads no
// clock; one goroutine owns it.
//
// A place stays taken until it is proven free. See Cluster.free for the proofs.
package cluster

import (
	"math"
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// MachineType is a machine type with its learnt speed.
type MachineType struct {
	wire.MachineType
	Index       int
	SpeedFactor float64
}

// Team counts what a team's places take.
type Team struct {
	Name                     string
	GuaranteedCPUs, CPULimit float64
	GuaranteedGPUs, GPULimit float64
	UsedCPU, UsedGPU         float64
	QuotaReservedFor         *Job // its limit's room is kept for this job, which waited long
	QuotaReservedAt          micro.Time
	QuotaReservableAfter     micro.Time // nothing is saved up before, so that its other jobs get their turn
	LastPlacedAt             micro.Time // when one of its tasks was last placed
	unfinished               []*Job
}

// WithinLimit reports whether the team's limits leave room for n more such tasks.
func (t *Team) WithinLimit(cpus, gpus float64, tasks int) bool {
	const eps = 1e-9
	count := float64(tasks)
	return (t.CPULimit <= 0 || t.UsedCPU+count*cpus <= t.CPULimit+eps) &&
		(t.GPULimit <= 0 || t.UsedGPU+count*gpus <= t.GPULimit+eps)
}

// TaskHeadroom is how many tasks the team's limits leave room for.
func (t *Team) TaskHeadroom(cpus, gpus float64) int {
	const eps = 1e-9
	tasks := math.MaxInt32
	for _, quota := range []struct{ most, used, each float64 }{{t.CPULimit, t.UsedCPU, cpus}, {t.GPULimit, t.UsedGPU, gpus}} {
		if quota.most > 0 && quota.each > 0 {
			tasks = min(tasks, int((quota.most-quota.used)/quota.each+eps))
		}
	}
	return max(tasks, 0)
}

// Class is what has been learnt about a class of jobs.
type Class struct {
	Name            string
	EstimateBias    float64 // run time shown, over the owner's estimate
	samples         int
	Arrivals        []micro.Time // times of recent submissions, a time per task
	LastJob         *wire.Job
	StartObjective  micro.Time // tightest objective on starting; 0: none
	LastPlacedAt    micro.Time // when one of its tasks was last placed
	MeanImageGB     float64    // mean size of its jobs' images
	AllocationCount int        // places that its tasks hold
	jobCount        float64
}

// ArrivalRate is the tasks that arrive a second, robust against a single burst: the
// mean of the middle two of the last four half-minutes.
func (c *Class) ArrivalRate(now micro.Time) float64 {
	const window = 30 * micro.Second
	var counts [4]int
	for _, arrival := range c.Arrivals {
		if bucket := (now - arrival) / window; arrival <= now && bucket >= 0 && bucket < 4 {
			counts[bucket]++
		}
	}
	sort.Ints(counts[:])
	return float64(counts[1]+counts[2]) / 2 / window.Seconds()
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

// EnsureClass finds or makes a class.
func (s *State) EnsureClass(name string) *Class {
	class := s.Classes[name]
	if class == nil {
		class = &Class{Name: name, EstimateBias: 1}
		s.Classes[name] = class
	}
	return class
}

// UpdateEstimateBias takes a completed run into the class's bias of estimates.
func (c *Class) UpdateEstimateBias(ratio float64) {
	ratio = min(max(ratio, 0.2), 5)
	c.samples++
	weight := max(1/float64(c.samples+2), 0.05) // two samples' weight on "right"
	c.EstimateBias += weight * (ratio - c.EstimateBias)
}
