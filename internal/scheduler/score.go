// Package scheduler decides which task runs on which machine. It implements the speed estimate and the
// score of docs/design.md ("the design"), placement, quota and preemption. It reads no clock and does no
// I/O.
package scheduler

import (
	"math"

	"notchmux.dev/notchmux/internal/cluster"
)

// ScaledCPUs returns the CPUs that a request occupies on a machine with the given speed factor (k in the
// design), at most the machine's CPUs. The reference factor 1 is that of the first machine type.
func ScaledCPUs(cpus, speedFactor, machineCPUs float64) float64 {
	return min(cpus/speedFactor, machineCPUs)
}

// Score returns the design's score S, between 0 and 100, of a machine with the given speed factor for a
// request whose CPU limit equals the request. The cases are tested in the order of the design. l1 and l2
// are its parameters L1 and L2.
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

// SpeedEstimator learns the speed factor of each machine type from run times. For tasks of one array, the
// factor is the mean of run time times granted CPUs on the reference type, divided by that mean on the
// type.
type SpeedEstimator struct {
	samplesByJob map[string]map[string]*mean // by job ID and type
	ratiosByType map[string]*mean            // speed factors relative to the reference type
	dirty        bool                        // ratiosByType changed since the last TakeDirty
}

// mean is a running mean. Without samples its value is 0.
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

// NewSpeedEstimator returns an estimator without samples.
func NewSpeedEstimator() *SpeedEstimator {
	return &SpeedEstimator{samplesByJob: map[string]map[string]*mean{}, ratiosByType: map[string]*mean{}}
}

// AddSample records a completed run of an array's task. The caller must not add failed runs: a job that
// fails at once would make a type look fast. Runs of at most 1 s are ignored. If there are samples of more
// than 1000 jobs, they are dropped before a new job is added.
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

// FinishArray compares the machine types that a completed array ran on, and updates their speed factors. It
// must be called only once the whole array is complete: short tasks complete first, so an earlier
// comparison would make the types of later completions look slow.
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
		if fade := maxSampleWeight / (float64(ratio.count) + weight); fade < 1 { // older samples lose weight
			ratio.sum *= fade
			ratio.count = int(float64(ratio.count) * fade)
		}
		ratio.sum += speedFactor * weight
		ratio.count += int(weight)
		e.dirty = true
	}
}

const (
	maxSampleWeight = 400  // total weight of the samples kept for a type
	minRunsPerType  = 2    // minimum runs of an array on each type for a comparison
	minTypeWeight   = 16   // minimum sample weight for a type's speed factor to change from 1
	updateThreshold = 0.08 // relative change above which a speed factor is updated
)

// DropSamples discards a job's samples without comparing them.
func (e *SpeedEstimator) DropSamples(job string) { delete(e.samplesByJob, job) }

// Apply sets the speed factor of each type but the reference type to the learnt value, if it differs by more
// than updateThreshold (formula 4 of the paper). Smaller differences are noise, and would cost capacity
// through every scaled request.
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

// SpeedRecord is the stored form of the learnt speed factors.
type SpeedRecord struct {
	Speeds map[string][2]float64 `msgpack:"k" json:"k"` // speed factor and sample weight by type
}

// TakeDirty reports whether the speed factors changed since the last call, and clears the mark.
func (e *SpeedEstimator) TakeDirty() bool { dirty := e.dirty; e.dirty = false; return dirty }

// Record returns the record to store.
func (e *SpeedEstimator) Record() SpeedRecord {
	r := SpeedRecord{Speeds: map[string][2]float64{}}
	for name, m := range e.ratiosByType {
		r.Speeds[name] = [2]float64{m.value(), float64(m.count)}
	}
	return r
}

// Restore replaces the speed factors of the types in a stored record. Invalid entries are ignored.
func (e *SpeedEstimator) Restore(r SpeedRecord) {
	for name, v := range r.Speeds {
		if v[0] > 0 && v[1] >= 1 && !math.IsNaN(v[0]) && !math.IsInf(v[0], 0) {
			e.ratiosByType[name] = &mean{sum: v[0] * min(v[1], maxSampleWeight), count: int(min(v[1], maxSampleWeight))}
		}
	}
}
