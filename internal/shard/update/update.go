// Package update computes what the owner of a shard reports to the leader about its jobs and machines. It holds no
// state; its functions must be called by the goroutine that owns the cluster state.
package update

import (
	"maps"
	"slices"
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
)

const (
	// maxCapacityKinds is the maximum number of kinds of free capacity in one status update.
	maxCapacityKinds = 64
	// cpuRounding is the granularity of free CPUs: machines in the same step are reported together.
	cpuRounding = 1
)

// FullyRecorded reports whether the store holds the current state of all of a job's tasks.
func FullyRecorded(job *cluster.Job) bool {
	for _, chunk := range job.Chunks {
		if chunk.MemoryVersion > chunk.StoredVersion {
			return false
		}
	}
	return true
}

// CancellationProgress returns how many allocations of a cancelled job are not released yet, and in which zones.
func CancellationProgress(job *cluster.Job) shard.StoppingJob {
	progress := shard.StoppingJob{Job: job.Spec.ID, UnreleasedAllocations: job.AllocationCount}
	zones := map[string]bool{}
	for _, allocation := range job.Allocations() {
		zones[allocation.Machine.Zone] = true
	}
	progress.Zones = slices.Sorted(maps.Keys(zones))
	return progress
}

// AllocationsNeeded returns how many allocations a job's tasks may have at once from now on, by the stored records: the
// next owner of the shard will know no more than these. It returns -1 if the records are not up to date yet.
func AllocationsNeeded(job *cluster.Job) int {
	if !FullyRecorded(job) {
		return -1
	}
	needed := len(job.Tasks) - job.DoneTasks
	for _, allocation := range job.Allocations() {
		// Added to one allocation for each task that is not done. A gang whose allocations are being released holds
		// fewer of them for a while, and later all of them again: when needs were counted by current allocations and
		// waiting tasks, two jobs once used the same part of a quota.
		if task := &job.Tasks[allocation.Index]; task.Done || task.AllocationCount > 1 {
			needed++
		}
	}
	return needed
}

// SchedulableZones returns those of the zones in which more of a job's tasks may be scheduled by its zone constraints.
// The result is empty if no constraint applies, or if none of the zones is allowed.
func SchedulableZones(job *cluster.Job, zones []string) []string {
	if !job.Spec.Spread && (!job.Spec.OneZone || job.AllocationCount == 0) {
		return nil
	}
	var open []string
	for _, zone := range zones {
		if scheduler.ZoneAllowed(job, zone, nil) {
			open = append(open, zone)
		}
	}
	return open
}

// capacityKey identifies machines of one pool with the same free capacity.
type capacityKey struct {
	pool *cluster.MachinePool
	cpu  int
	gpu  int
	mem  int
}

// FreeCapacity returns the free capacity, grouped by machines with the same free resources, the largest first. Jobs
// that wait for capacity in the shard have precedence over jobs that are yet to be assigned to it: machines that a
// waiting job could use are left out. Machines that none of them could use are included: leaving these out once kept
// all machines of a shard idle, for one job that waited for another zone, or beyond its part of a quota.
func FreeCapacity(state *cluster.State, now micro.Time) []shard.FreeCapacity {
	waiting := schedulableJobs(state, now)
	counts := map[capacityKey]int{}
	for _, pool := range state.Pools {
		if !usableByAny(waiting, pool) {
			countFreeCapacity(pool, counts, now)
		}
	}
	capacity := make([]shard.FreeCapacity, 0, len(counts))
	for key, count := range counts {
		if key.cpu > 0 {
			capacity = append(capacity, shard.FreeCapacity{
				Type: key.pool.Type.Name, Zone: key.pool.Zone, Spot: key.pool.Spot, Count: count,
				CPU: float64(key.cpu), GPU: float64(key.gpu), Mem: float64(key.mem),
			})
		}
	}
	sort.Slice(capacity, func(a, b int) bool { return hasMoreCapacity(capacity[a], capacity[b]) })
	return capacity[:min(len(capacity), maxCapacityKinds)]
}

// schedulableJobs returns the jobs that would get more allocations now if machines had free capacity.
func schedulableJobs(state *cluster.State, now micro.Time) []*cluster.Job {
	var jobs []*cluster.Job
	for job := range state.PendingJobs {
		if min(job.PendingTasks(), job.SchedulableTasks(now)) > 0 && !job.InBackoff(now) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// usableByAny reports whether any of the jobs may use the machines of a pool.
func usableByAny(jobs []*cluster.Job, pool *cluster.MachinePool) bool {
	for _, job := range jobs {
		if scheduler.Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot) && scheduler.ZoneAllowed(job, pool.Zone, nil) {
			return true
		}
	}
	return false
}

// countFreeCapacity adds the schedulable machines of a pool to counts, by their free capacity.
func countFreeCapacity(pool *cluster.MachinePool, counts map[capacityKey]int, now micro.Time) {
	for row := range pool.BucketCount() {
		for _, machine := range pool.Bucket(row) {
			if machine.Schedulable(now) && machine.ReservedFor == nil {
				counts[capacityOf(pool, machine)]++
			}
		}
	}
}

// capacityOf returns the pool and the free capacity of a machine.
func capacityOf(pool *cluster.MachinePool, machine *cluster.Machine) capacityKey {
	cpu := min(machine.Type.CPUs-machine.UsedScaledCPU, machine.Type.CPUs-machine.UsedCPU)
	return capacityKey{
		pool: pool,
		cpu:  int(cpu) / cpuRounding,
		gpu:  int(machine.Type.GPUs - machine.UsedGPU),
		mem:  int(machine.Type.MemoryGB - machine.UsedMemoryGB),
	}
}

// hasMoreCapacity orders kinds of free capacity, the largest first. The order is total, so that runs are reproducible.
func hasMoreCapacity(a, b shard.FreeCapacity) bool {
	switch {
	case a.GPU != b.GPU:
		return a.GPU > b.GPU
	case a.CPU != b.CPU:
		return a.CPU > b.CPU
	case a.Mem != b.Mem:
		return a.Mem > b.Mem
	case a.Type != b.Type:
		return a.Type < b.Type
	case a.Zone != b.Zone:
		return a.Zone < b.Zone
	}
	return !a.Spot && b.Spot
}
