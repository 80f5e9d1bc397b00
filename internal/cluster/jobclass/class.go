// Package jobclass learns from the jobs of a class: how often they arrive, how long they run
// against their owners' estimates, and how large their images are. It locks nothing: a class
// belongs to the goroutine that owns the cluster's state.
package jobclass

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Class is what has been learnt about a class of jobs.
type Class struct {
	Name            string
	EstimateBias    float64 // run time shown, over the owner's estimate
	samples         int
	Arrivals        []micro.Time // times of recent submissions, a time per task
	LastJob         *wire.Job
	StartObjective  micro.Time // tightest objective on starting; 0: none
	LastPlacedAt    micro.Time // when one of its tasks was last placed
	MeanImageGB     float64    // mean size of its jobs' images, in GB
	AllocationCount int        // allocations of its tasks
	jobCount        float64
}

// New makes a class of which nothing is known.
func New(name string) *Class { return &Class{Name: name, EstimateBias: 1} }

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

// UpdateEstimateBias takes a completed run into the class's bias of estimates.
func (c *Class) UpdateEstimateBias(ratio float64) {
	ratio = min(max(ratio, 0.2), 5)
	c.samples++
	weight := max(1/float64(c.samples+2), 0.05) // two samples' weight on "right"
	c.EstimateBias += weight * (ratio - c.EstimateBias)
}

// The arrivals that a class remembers: so many tasks of one job at the most, and beyond
// maxArrivals only the latest.
const (
	maxArrivalsPerJob = 50
	maxArrivals       = 400
	keptArrivals      = 200
)

// RecordArrival notes that a job of the class became eligible.
func (c *Class) RecordArrival(spec *wire.Job, at micro.Time) {
	c.LastJob = spec
	c.jobCount++
	c.MeanImageGB += (spec.ImageGB - c.MeanImageGB) / c.jobCount
	for range min(spec.Tasks, maxArrivalsPerJob) {
		c.Arrivals = append(c.Arrivals, at)
	}
	if arrivals := len(c.Arrivals); arrivals > maxArrivals {
		c.Arrivals = append([]micro.Time(nil), c.Arrivals[arrivals-keptArrivals:]...)
	}
}

// startOverhead is what passes between the end of one job of a pipeline and the first run of
// the next, beside its image: a heartbeat, two writes and a start.
const startOverhead = 3 * micro.Second

// stragglerFactor is the longest run of a job's tasks over the estimate.
const stragglerFactor = 1.4

// ExpectedDuration is how long a job of the class with so many tasks is expected to take: of
// many tasks, some run longer than the owner's estimate for one.
func (c *Class) ExpectedDuration(spec *wire.Job, tasks int) micro.Time {
	runTime := float64(micro.FromSeconds(spec.EstimateS)) * c.EstimateBias
	if tasks > 1 {
		runTime *= stragglerFactor
	}
	return micro.Time(runTime) + micro.FromSeconds(spec.ImageGB) + startOverhead
}
