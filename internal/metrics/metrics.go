// Package metrics keeps latency histograms, counters and gauges for operators.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"notchmux.dev/notchmux/internal/micro"
)

// Set is a set of named histograms, counters and gauges. Its methods may be called from any goroutine.
type Set struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	counters   map[string]int64
	gauges     map[string]int64
}

// New returns an empty set.
func New() *Set {
	return &Set{
		histograms: map[string]*hdrhistogram.Histogram{}, counters: map[string]int64{}, gauges: map[string]int64{},
	}
}

// Observe records a latency in a histogram. Latencies are clamped to the range from 1 µs to 2 minutes.
func (s *Set) Observe(name string, latency micro.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	histogram := s.histograms[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, int64(2*micro.Minute), 2)
		s.histograms[name] = histogram
	}
	_ = histogram.RecordValue(min(max(int64(latency), 1), int64(2*micro.Minute)))
}

// Count increments a counter by 1.
func (s *Set) Count(name string) {
	s.mu.Lock()
	s.counters[name]++
	s.mu.Unlock()
}

// SetGauge sets the current value of a gauge.
func (s *Set) SetGauge(name string, value int64) {
	s.mu.Lock()
	s.gauges[name] = value
	s.mu.Unlock()
}

// RemoveGauge removes a gauge whose value this node no longer knows.
func (s *Set) RemoveGauge(name string) {
	s.mu.Lock()
	delete(s.gauges, name)
	s.mu.Unlock()
}

// Write writes one line for each histogram, then for each counter and each gauge, sorted by name.
func (s *Set) Write(w io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.histograms))
	for name := range s.histograms {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		histogram := s.histograms[name]
		_, _ = fmt.Fprintf(
			w, "%s count=%d p50_us=%d p99_us=%d max_us=%d\n", name, histogram.TotalCount(), histogram.ValueAtQuantile(50),
			histogram.ValueAtQuantile(99), histogram.Max(),
		)
	}
	writeValues(w, s.counters)
	writeValues(w, s.gauges)
}

// writeValues writes one line for each counter or gauge, sorted by name.
func writeValues(w io.Writer, values map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		_, _ = fmt.Fprintf(w, "%s %d\n", name, values[name])
	}
}
