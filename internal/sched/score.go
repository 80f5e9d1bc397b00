// Package sched decides what runs where: the design's speed estimate and score,
// placement, quota and preemption. It reads no clock and does no I/O.
package sched

import (
	"math"

	"notchmux.dev/notchmux/internal/model"
)

// Scaled is a request's CPUs on a machine of speed k, capped at its CPUs. The
// reference speed is 1, the first type's.
func Scaled(cpus, k, machineCPUs float64) float64 {
	return min(cpus/k, machineCPUs)
}

// Score is the design's score S of a machine of speed k for a request, whose
// limit equals it. The cases are tried in the design's order.
func Score(cpus, k, l1, l2 float64) float64 {
	const eps = 1e-9
	scaled, ceil := cpus/k, math.Ceil(cpus-eps)
	switch {
	case scaled > ceil+eps:
		return 0
	case k >= 1 || scaled <= 1:
		return 100
	case scaled >= ceil-eps && scaled > 1 && scaled <= ceil+eps:
		return l1 + (100-l1)*k
	}
	return l2 + (l1-l2)*k
}

// Speeds learns each type's k from run times: for tasks of one array, k is the
// run time times CPUs granted on the reference type over those on the type.
type Speeds struct {
	jobs  map[string]map[string]*mean // job, type
	types map[string]*mean            // averaged ratios to the reference
	dirty bool
}

type mean struct {
	sum float64
	n   int
}

func (m *mean) add(v float64) { m.sum += v; m.n++ }
func (m *mean) value() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / float64(m.n)
}

// NewSpeeds starts with nothing known.
func NewSpeeds() *Speeds {
	return &Speeds{jobs: map[string]map[string]*mean{}, types: map[string]*mean{}}
}

// Sample takes in a completed run of an array's task. Failed runs are no
// samples: a job that fails at once would make a type look fast.
func (s *Speeds) Sample(job, typ string, tookS, granted float64) {
	if tookS <= 1 || granted <= 0 {
		return
	}
	byType := s.jobs[job]
	if byType == nil {
		if len(s.jobs) > 1000 {
			clear(s.jobs)
		}
		byType = map[string]*mean{}
		s.jobs[job] = byType
	}
	if byType[typ] == nil {
		byType[typ] = &mean{}
	}
	byType[typ].add(tookS * granted)
}

// Finish compares the types that a completed array ran on. It must wait for the
// whole array: short tasks complete first, so a comparison made earlier takes
// whatever completes later for slow.
func (s *Speeds) Finish(job, reference string) {
	byType := s.jobs[job]
	delete(s.jobs, job)
	ref := byType[reference]
	if ref == nil || ref.n < minRuns {
		return
	}
	for typ, m := range byType {
		if typ == reference || m.n < minRuns {
			continue
		}
		k := min(max(ref.value()/m.value(), 0.2), 5)
		weight := float64(min(ref.n, m.n))
		t := s.types[typ]
		if t == nil {
			t = &mean{}
			s.types[typ] = t
		}
		if f := sampleCap / (float64(t.n) + weight); f < 1 { // old samples fade
			t.sum *= f
			t.n = int(float64(t.n) * f)
		}
		t.sum += k * weight
		t.n += int(weight)
		s.dirty = true
	}
}

const (
	sampleCap  = 400  // weight of all samples kept
	minRuns    = 2    // runs of an array on each type before they are compared
	minSamples = 16   // weight a type needs before its k leaves 1
	threshold  = 0.08 // least relative change that updates a k
)

// Forget drops a job's samples.
func (s *Speeds) Forget(job string) { delete(s.jobs, job) }

// Apply sets each type's k from what was learnt, where it differs by more than
// the threshold (the paper's formula 4): smaller differences are noise, and
// every scaled request pays for them in room.
func (s *Speeds) Apply(c *model.Cluster) {
	for name, m := range s.types {
		t := c.Types[name]
		if t == nil || m.n < minSamples || t.Index == 0 {
			continue
		}
		if k := m.value(); math.Abs(1-k/t.K) > threshold {
			t.K = k
		}
	}
}

// Record is the learnt speeds as one state value.
type Record struct {
	K map[string][2]float64 `msgpack:"k" json:"k"` // mean and samples
}

// Dirty reports whether there is something new to write, and clears the mark.
func (s *Speeds) Dirty() bool { d := s.dirty; s.dirty = false; return d }

// Record builds the state value.
func (s *Speeds) Record() Record {
	r := Record{K: map[string][2]float64{}}
	for name, m := range s.types {
		r.K[name] = [2]float64{m.value(), float64(m.n)}
	}
	return r
}

// Restore reads the state value.
func (s *Speeds) Restore(r Record) {
	for name, v := range r.K {
		if v[0] > 0 && v[1] >= 1 && !math.IsNaN(v[0]) && !math.IsInf(v[0], 0) {
			s.types[name] = &mean{sum: v[0] * min(v[1], sampleCap), n: int(min(v[1], sampleCap))}
		}
	}
}
