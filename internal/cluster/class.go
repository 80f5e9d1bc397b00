package cluster

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

// UpdateEstimateBias takes a completed run into the class's bias of estimates.
func (c *Class) UpdateEstimateBias(ratio float64) {
	ratio = min(max(ratio, 0.2), 5)
	c.samples++
	weight := max(1/float64(c.samples+2), 0.05) // two samples' weight on "right"
	c.EstimateBias += weight * (ratio - c.EstimateBias)
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

// The arrivals that a class remembers: so many tasks of one job at the most, and beyond
// maxArrivals only the latest.
const (
	maxArrivalsPerJob = 50
	maxArrivals       = 400
	keptArrivals      = 200
)

// recordArrival notes that a job of the class became eligible.
func (c *Class) recordArrival(spec *wire.Job, at micro.Time) {
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
