// Package model holds the leader's picture of the cluster: jobs, tasks, gangs,
// machines and the places that tasks take on them. It does no I/O and reads no
// clock; one goroutine owns it.
//
// A place stays taken until it is proven free. See Cluster.free for the proofs.
package model

import (
	"math"
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Type is a machine type with its learnt speed.
type Type struct {
	wire.MachineType
	Index int
	K     float64
}

// Team counts what a team's places take.
type Team struct {
	Name             string
	CPUs, CPUsMax    float64
	GPUs, GPUsMax    float64
	UsedCPU, UsedGPU float64
	Saving           *Job // its limit's room is kept for this job, which waited long
	SavingAt         micro.Time
	SaveAfter        micro.Time // nothing is saved up before, so that its other jobs get their turn
	Placed           micro.Time // when one of its tasks was last placed
	unfinished       []*Job
}

// Allows reports whether the team's limits leave room for n more such tasks.
func (t *Team) Allows(cpus, gpus float64, n int) bool {
	const eps = 1e-9
	k := float64(n)
	return (t.CPUsMax <= 0 || t.UsedCPU+k*cpus <= t.CPUsMax+eps) &&
		(t.GPUsMax <= 0 || t.UsedGPU+k*gpus <= t.GPUsMax+eps)
}

// Room is how many tasks the team's limits leave room for.
func (t *Team) Room(cpus, gpus float64) int {
	const eps = 1e-9
	n := math.MaxInt32
	for _, limit := range []struct{ most, used, each float64 }{{t.CPUsMax, t.UsedCPU, cpus}, {t.GPUsMax, t.UsedGPU, gpus}} {
		if limit.most > 0 && limit.each > 0 {
			n = min(n, int((limit.most-limit.used)/limit.each+eps))
		}
	}
	return max(n, 0)
}

// Class is what has been learnt about a class of jobs.
type Class struct {
	Name     string
	Bias     float64 // run time shown, over the owner's estimate
	samples  int
	Arrivals []micro.Time // times of recent submissions, a time per task
	Last     *wire.Job
	Quick    micro.Time // tightest objective on starting; 0: none
	Placed   micro.Time // when one of its tasks was last placed
	ImageGB  float64    // mean size of its jobs' images
	Held     int        // places that its tasks hold
	jobs     float64
}

// ArrivalRate is the tasks that arrive a second, robust against a single burst: the
// mean of the middle two of the last four half-minutes.
func (cl *Class) ArrivalRate(now micro.Time) float64 {
	const window = 30 * micro.Second
	var n [4]int
	for _, t := range cl.Arrivals {
		if k := (now - t) / window; t <= now && k >= 0 && k < 4 {
			n[k]++
		}
	}
	sort.Ints(n[:])
	return float64(n[1]+n[2]) / 2 / window.Seconds()
}

// Effects are what a change of the model asks its owner to do.
type Effects interface {
	Touch(c *Chunk)                // the chunk must be written
	Press(c *Chunk)                // and soon: a start waits for it
	Kick(m *Machine)               // the machine has orders worth sending directly
	Finished(j *Job)               // all tasks are done: write the end
	Doomed(j *Job)                 // a job that it needs is aborted: write the end
	Unknown(id string)             // a job is awaited of which nothing is known: look into the store
	Ran(p *Place, took micro.Time) // an attempt completed after running for so long
	Moved(ch *Chunk, o *Old)       // what a chunk held is in chunks of the later form now
	Outdated(o *Old)               // a record in the first form, to be deleted once its parts are stored
	Changed()                      // placement may find more than before
	Log(event string, args ...any) // one line for operators
}

// Cluster is the whole picture.
type Cluster struct {
	Effects
	Jobs     map[string]*Job
	Machines map[string]*Machine
	Teams    map[string]*Team
	Types    map[string]*Type
	Order    []*Type
	Classes  map[string]*Class
	Gone     map[string]micro.Time // machines returned in this term, and when
	Kept     map[string]micro.Time // until when a keeper may have renewed leases, by zone; "": any
	Away     map[string]micro.Time // zones none of whose controllers answer, since when
	Lease    micro.Time            // the workers' lease, with room for drift
	Wait     micro.Time            // a gang's wait for its members
	Began    micro.Time            // when this node took over
	BaseTok  uint64                // lowest token of this term
	ErrJobs  int                   // jobs failing on a machine before it is avoided
	Pending  map[*Job]bool         // active jobs with tasks to place
	Live     map[*Job]bool         // active jobs
	Ends     map[string]End        // ends that are in the store, by job
	PerChunk int                   // tasks of a chunk of jobs that are added
	Compact  bool                  // chunks are written in the later form
	Pools    []*Pool               // machines that take new tasks, by type, zone and kind

	Verbose bool // log each place and exit

	// Partition says whether another controller owns a machine, and whether it is to;
	// nil: this one owns all.
	Partition func(m *Machine) (foreign, clearing bool)

	AwaitingN int // jobs that await others

	after map[string][]*Job // jobs by each of those that they await
	list  []*Machine
	pools map[poolKey]*Pool

	imageHints map[string]map[string]image // images of machines that are not known yet
	accused    map[*Machine]bool           // machines that jobs failed on
	doubtUntil micro.Time                  // until when so many look faulty that the jobs are the likelier cause
}

// New makes an empty picture.
func New(fx Effects) *Cluster {
	return &Cluster{
		Effects: fx, Jobs: map[string]*Job{}, Machines: map[string]*Machine{}, Teams: map[string]*Team{},
		Types: map[string]*Type{}, Classes: map[string]*Class{}, Gone: map[string]micro.Time{}, Kept: map[string]micro.Time{}, Away: map[string]micro.Time{},
		Pending: map[*Job]bool{}, Live: map[*Job]bool{}, ErrJobs: 2,
		Ends: map[string]End{}, PerChunk: ChunkTasks, after: map[string][]*Job{},
		imageHints: map[string]map[string]image{}, pools: map[poolKey]*Pool{}, accused: map[*Machine]bool{},
	}
}

// SetCatalog takes over the cloud's machine types, keeping learnt speeds.
func (c *Cluster) SetCatalog(cat *wire.Catalog) {
	c.Order = c.Order[:0]
	for i, mt := range cat.Types {
		t := c.Types[mt.Name]
		if t == nil {
			t = &Type{K: 1}
			c.Types[mt.Name] = t
		}
		t.MachineType, t.Index = mt, i
		c.Order = append(c.Order, t)
	}
}

// Class finds or makes a class.
func (c *Cluster) Class(name string) *Class {
	cl := c.Classes[name]
	if cl == nil {
		cl = &Class{Name: name, Bias: 1}
		c.Classes[name] = cl
	}
	return cl
}

// Learn takes a completed run into the class's bias of estimates.
func (cl *Class) Learn(ratio float64) {
	ratio = min(max(ratio, 0.2), 5)
	cl.samples++
	w := max(1/float64(cl.samples+2), 0.05) // two samples' weight on "right"
	cl.Bias += w * (ratio - cl.Bias)
}
