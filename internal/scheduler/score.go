// Package scheduler decides what runs where: the design's speed estimate and score,
// placement, quota and preemption. It reads no clock and does no I/O.
package scheduler

import (
	"math"

	"notchmux.dev/notchmux/internal/cluster"
)

// ScaledCPUs is a request's CPUs on a machine of speed k, capped at its CPUs. The
// reference speed is 1, the first type's.
func ScaledCPUs(cpus, speedFactor, machineCPUs float64) float64 {
	return min(cpus/speedFactor, machineCPUs)
}

// Score is the design's score S of a machine of speed k for a request, whose
// limit equals it. The cases are tried in the design's order.
func Score(cpus, speedFactor, l1, l2 float64) float64 {
	const eps = 1e-9
	scaled, ceil := cpus/speedFactor, math.Ceil(cpus-eps)
	switch {
	case scaled > ceil+eps:
		return 0
	case speedFactor >= 1 || scaled <= 1:
		return 100
	case scaled >= ceil-eps && scaled > 1 && scaled <= ceil+eps:
		return l1 + (100-l1)*speedFactor
	}
	return l2 + (l1-l2)*speedFactor
}

// SpeedEstimator learns each type's k from run times: for tasks of one array, k is the
// run time times CPUs granted on the reference type over those on the type.
type SpeedEstimator struct {
	samplesByJob map[string]map[string]*mean // job, type
	ratiosByType map[string]*mean            // averaged ratios to the reference
	dirty        bool
}

type mean struct {
	sum   float64
	count int
}

func (m *mean) add(v float64) { m.sum += v; m.count++ }
func (m *mean) value() float64 {
	if m.count == 0 {
		return 0
	}
	return m.sum / float64(m.count)
}

// NewSpeedEstimator starts with nothing known.
func NewSpeedEstimator() *SpeedEstimator {
	return &SpeedEstimator{samplesByJob: map[string]map[string]*mean{}, ratiosByType: map[string]*mean{}}
}

// AddSample takes in a completed run of an array's task. Failed runs are no
// samples: a job that fails at once would make a type look fast.
func (e *SpeedEstimator) AddSample(job, typ string, durationS, grantedCPUs float64) {
	if durationS <= 1 || grantedCPUs <= 0 {
		return
	}
	byType := e.samplesByJob[job]
	if byType == nil {
		if len(e.samplesByJob) > 1000 {
			clear(e.samplesByJob)
		}
		byType = map[string]*mean{}
		e.samplesByJob[job] = byType
	}
	if byType[typ] == nil {
		byType[typ] = &mean{}
	}
	byType[typ].add(durationS * grantedCPUs)
}

// FinishArray compares the types that a completed array ran on. It must wait for the
// whole array: short tasks complete first, so a comparison made earlier takes
// whatever completes later for slow.
func (e *SpeedEstimator) FinishArray(job, reference string) {
	byType := e.samplesByJob[job]
	delete(e.samplesByJob, job)
	referenceMean := byType[reference]
	if referenceMean == nil || referenceMean.count < minRunsPerType {
		return
	}
	for typ, typeMean := range byType {
		if typ == reference || typeMean.count < minRunsPerType {
			continue
		}
		speedFactor := min(max(referenceMean.value()/typeMean.value(), 0.2), 5)
		weight := float64(min(referenceMean.count, typeMean.count))
		ratio := e.ratiosByType[typ]
		if ratio == nil {
			ratio = &mean{}
			e.ratiosByType[typ] = ratio
		}
		if fade := maxSampleWeight / (float64(ratio.count) + weight); fade < 1 { // old samples fade
			ratio.sum *= fade
			ratio.count = int(float64(ratio.count) * fade)
		}
		ratio.sum += speedFactor * weight
		ratio.count += int(weight)
		e.dirty = true
	}
}

const (
	maxSampleWeight = 400  // weight of all samples kept
	minRunsPerType  = 2    // runs of an array on each type before they are compared
	minTypeWeight   = 16   // weight a type needs before its k leaves 1
	updateThreshold = 0.08 // least relative change that updates a k
)

// DropSamples drops a job's samples.
func (e *SpeedEstimator) DropSamples(job string) { delete(e.samplesByJob, job) }

// Apply sets each type's k from what was learnt, where it differs by more than
// the threshold (the paper's formula 4): smaller differences are noise, and
// every scaled request pays for them in capacity.
func (e *SpeedEstimator) Apply(state *cluster.State) {
	for name, m := range e.ratiosByType {
		t := state.Types[name]
		if t == nil || m.count < minTypeWeight || t.Index == 0 {
			continue
		}
		if speedFactor := m.value(); math.Abs(1-speedFactor/t.SpeedFactor) > updateThreshold {
			t.SpeedFactor = speedFactor
		}
	}
}

// SpeedRecord is the learnt speeds as one state value.
type SpeedRecord struct {
	Speeds map[string][2]float64 `msgpack:"k" json:"k"` // mean and samples
}

// TakeDirty reports whether there is something new to write, and clears the mark.
func (e *SpeedEstimator) TakeDirty() bool { dirty := e.dirty; e.dirty = false; return dirty }

// Record builds the state value.
func (e *SpeedEstimator) Record() SpeedRecord {
	r := SpeedRecord{Speeds: map[string][2]float64{}}
	for name, m := range e.ratiosByType {
		r.Speeds[name] = [2]float64{m.value(), float64(m.count)}
	}
	return r
}

// Restore reads the state value.
func (e *SpeedEstimator) Restore(r SpeedRecord) {
	for name, v := range r.Speeds {
		if v[0] > 0 && v[1] >= 1 && !math.IsNaN(v[0]) && !math.IsInf(v[0], 0) {
			e.ratiosByType[name] = &mean{sum: v[0] * min(v[1], maxSampleWeight), count: int(min(v[1], maxSampleWeight))}
		}
	}
}
