// Package jobclass learns statistics about classes of jobs: how often their jobs arrive, how long
// they run compared with their owners' estimates, and how large their images are. It does no
// locking: a class belongs to the goroutine that owns the cluster state.
package jobclass

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Class holds the statistics learnt about a class of jobs.
type Class struct {
	Name            string
	EstimateBias    float64 // observed run time divided by the owner's estimate
	samples         int
	Arrivals        []micro.Time // times of recent submissions, one entry per task
	LastJob         *wire.Job
	StartObjective  micro.Time // tightest objective for starting; 0 if none
	LastPlacedAt    micro.Time // when one of its tasks was last placed
	MeanImageGB     float64    // mean size of its jobs' images, in GB
	AllocationCount int        // current allocations of its tasks
	jobCount        float64
}

// New returns a class without any statistics.
func New(name string) *Class { return &Class{Name: name, EstimateBias: 1} }

// ArrivalRate returns the number of tasks that arrive per second. To be robust against a single
// burst, it is the mean of the middle two of the last four half-minutes.
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

// UpdateEstimateBias updates the bias of the class's estimates with the run time ratio of a
// completed attempt.
func (c *Class) UpdateEstimateBias(ratio float64) {
	ratio = min(max(ratio, 0.2), 5)
	c.samples++
	weight := max(1/float64(c.samples+2), 0.05) // the initial bias of 1 has the weight of two samples
	c.EstimateBias += weight * (ratio - c.EstimateBias)
}

// Limits on the arrivals that a class remembers. At most maxArrivalsPerJob tasks of one job are
// counted. Beyond maxArrivals entries, only the latest keptArrivals are kept.
const (
	maxArrivalsPerJob = 50
	maxArrivals       = 400
	keptArrivals      = 200
)

// RecordArrival records that a job of the class became eligible.
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

// startOverhead is the time between the end of one job of a pipeline and the first run of the next,
// in addition to fetching its image: a heartbeat, two writes and a start command.
const startOverhead = 3 * micro.Second

// stragglerFactor is the ratio of the longest run time of a job's tasks to the estimate.
const stragglerFactor = 1.4

// ExpectedDuration returns how long a job of the class with the given number of tasks is expected
// to take. In a job of several tasks, some run longer than the owner's estimate for one.
func (c *Class) ExpectedDuration(spec *wire.Job, tasks int) micro.Time {
	runTime := float64(micro.FromSeconds(spec.EstimateS)) * c.EstimateBias
	if tasks > 1 {
		runTime *= stragglerFactor
	}
	return micro.Time(runTime) + micro.FromSeconds(spec.ImageGB) + startOverhead
}
