package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/wire"
)

// add records that a job found no capacity.
func (u unschedulable) add(job *cluster.Job, limit relaxation) {
	if zonesNarrowedByAllocations(job) || len(job.FailedOn) > 0 {
		return // restrictions of its own may be why it found no capacity
	}
	key, request := unschedulableKeyOf(job, limit)
	u[key] = append(u[key], request)
}

// unschedulable holds the requests that found no capacity in a scheduling pass. Under the same constraints,
// a request for at least as much finds none either and need not be tried.
type unschedulable map[unschedulableKey][]unschedulableRequest

// unschedulableKey holds the constraints under which a request found no capacity.
type unschedulableKey struct {
	types, zone, class string
	spot, checkpoints  bool
	gpu                bool
	limit              relaxation
	oneZone, spread    bool // a one-zone gang may find no capacity although another gang does
	priorityLevel      int
}

// unschedulableRequest is the size of a request: the resources of a task, and the number of tasks to place
// at once.
type unschedulableRequest struct {
	cpu, gpu, mem float64
	tasks         int
}

// unschedulableKeyOf returns the constraints and the size of a job's request.
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

// zonesNarrowedByAllocations reports whether a job's own allocations may keep it from zones that similar jobs
// may use.
func zonesNarrowedByAllocations(job *cluster.Job) bool {
	return (job.Spec.OneZone || job.Spec.Spread) && job.AllocationCount > 0
}

// covers reports whether a request under the same constraints, for no more than the job's, found no capacity
// in this pass.
func (u unschedulable) covers(job *cluster.Job, limit relaxation) bool {
	// Each job of the highest priority is tried on its own: one for which preemption is freeing capacity
	// must not keep the next from preempting as well.
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
