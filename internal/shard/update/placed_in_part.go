package update

import (
	"slices"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// partialBootFactor is how many boots the rest of a service that is placed in part waits for on its side.
const partialBootFactor = 2

// PlacedInPart reports whether a service has waited for long for the rest of its replicas, which may be
// placed now, while those that it has run on machines that are up: stopped, they are soon known to be.
func PlacedInPart(state *cluster.State, job *cluster.Job, now micro.Time) bool {
	if job.Spec.Kind != wire.Service || job.State != cluster.Active || job.AllocationCount == 0 ||
		min(job.PendingTasks(), job.SchedulableTasks(now)) <= 0 || job.InBackoff(now) {
		return false
	}
	if now-job.WaitingSince <= partialServiceDelay(state, &job.Spec) {
		return false
	}
	return !slices.ContainsFunc(job.Allocations(), func(allocation *cluster.Allocation) bool {
		return allocation.Stopping || allocation.State != cluster.Running || allocation.Machine.State != cluster.Up ||
			!state.MachineReachable(allocation.Machine)
	})
}

// partialServiceDelay is for how long the rest of a service waits on its side before the other one is
// tried: machines that were requested for it there are up by then.
func partialServiceDelay(state *cluster.State, spec *wire.Job) micro.Time {
	delay := shard.PartialServiceDelay
	for _, machineType := range state.CatalogOrder {
		for _, zone := range machineType.Zones {
			if scheduler.Allowed(spec, machineType, zone, false) || scheduler.Allowed(spec, machineType, zone, true) {
				delay = max(delay, partialBootFactor*micro.FromSeconds(machineType.BootS))
			}
		}
	}
	return delay
}
