package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/wire"
)

// add notes that a job found no capacity.
func (u unschedulable) add(job *cluster.Job, limit relaxation) {
	if zonesNarrowedByAllocations(job) || len(job.FailedOn) > 0 {
		return // it alone may have found no capacity
	}
	key, request := unschedulableKeyOf(job, limit)
	u[key] = append(u[key], request)
}

// unschedulable remembers what found no capacity in this pass: whatever asks for as much
// or more, under the same rules, finds none either.
type unschedulable map[unschedulableKey][]unschedulableRequest

type unschedulableKey struct {
	types, zone, class string
	spot, checkpoints  bool
	gpu                bool
	limit              relaxation
	oneZone, spread    bool // a gang of one zone finds no capacity where another does
	priorityLevel      int
}

type unschedulableRequest struct {
	cpu, gpu, mem float64
	tasks         int
}

func unschedulableKeyOf(job *cluster.Job, limit relaxation) (unschedulableKey, unschedulableRequest) {
	spec := &job.Spec
	key := unschedulableKey{
		class: spec.Class, spot: spec.Spot, checkpoints: spec.CheckpointIntervalS > 0, gpu: spec.GPUs > 0, limit: limit,
		oneZone: spec.OneZone, spread: spec.Spread, priorityLevel: job.PriorityLevel,
	}
	if spec.Zone != nil {
		key.zone = *spec.Zone
	}
	for _, name := range spec.Types {
		key.types += name + " "
	}
	request := unschedulableRequest{spec.CPUs, spec.GPUs, spec.MemoryGB, 1}
	if spec.Kind == wire.Gang {
		request.tasks = len(job.Tasks)
	}
	return key, request
}

// zonesNarrowedByAllocations reports whether the job's own allocations keep it from zones that
// others like it may use.
func zonesNarrowedByAllocations(job *cluster.Job) bool {
	return (job.Spec.OneZone || job.Spec.Spread) && job.AllocationCount > 0
}

// covers reports whether something that asks for no more found no capacity in this pass.
func (u unschedulable) covers(job *cluster.Job, limit relaxation) bool {
	// Each job of the highest priority is tried by itself: one for which capacity is being
	// cleared must not keep the next from having capacity cleared too.
	if len(u) == 0 || job.PriorityLevel == highestPriorityLevel || zonesNarrowedByAllocations(job) {
		return false
	}
	key, request := unschedulableKeyOf(job, limit)
	for _, known := range u[key] {
		if known.cpu <= request.cpu && known.gpu <= request.gpu && known.mem <= request.mem && known.tasks <= request.tasks {
			return true
		}
	}
	return false
}
