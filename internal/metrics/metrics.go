// Package metrics keeps latency histograms for operators.
package metrics

import (
	"fmt"
	"io"
	"sort"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"notchmux.dev/notchmux/internal/micro"
)

// Set is a set of named histograms and counters.
type Set struct {
	mu     sync.Mutex
	hists  map[string]*hdrhistogram.Histogram
	counts map[string]int64
}

// New makes an empty set.
func New() *Set {
	return &Set{hists: map[string]*hdrhistogram.Histogram{}, counts: map[string]int64{}}
}

// Observe takes in a latency.
func (s *Set) Observe(name string, d micro.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hists[name]
	if h == nil {
		h = hdrhistogram.New(1, int64(2*micro.Minute), 2)
		s.hists[name] = h
	}
	_ = h.RecordValue(min(max(int64(d), 1), int64(2*micro.Minute)))
}

// Count adds to a counter.
func (s *Set) Count(name string) {
	s.mu.Lock()
	s.counts[name]++
	s.mu.Unlock()
}

// Write prints all, a line each.
func (s *Set) Write(w io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.hists))
	for n := range s.hists {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		h := s.hists[n]
		fmt.Fprintf(w, "%s count=%d p50_us=%d p99_us=%d max_us=%d\n", n, h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max())
	}
	names = names[:0]
	for n := range s.counts {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(w, "%s %d\n", n, s.counts[n])
	}
}
