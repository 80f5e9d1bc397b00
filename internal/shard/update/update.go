// Package update says what the owner of a shard reports to the leader of its jobs and
// machines. It holds no state; the goroutine that owns the cluster state calls it.
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
	// maxCapacityKinds is how many kinds of free capacity one heartbeat has at the most.
	maxCapacityKinds = 64
	// cpuRounding: machines with so many free CPUs more or less are reported together.
	cpuRounding = 1
)

// FullyRecorded reports whether all that is known of a job's tasks is in the store.
func FullyRecorded(job *cluster.Job) bool {
	for _, chunk := range job.Chunks {
		if chunk.MemoryVersion > chunk.StoredVersion {
			return false
		}
	}
	return true
}

// CancellationProgress says how many allocations of a cancelled job are not released yet, and
// in which zones.
func CancellationProgress(job *cluster.Job) shard.StoppingJob {
	progress := shard.StoppingJob{Job: job.Spec.ID, UnreleasedAllocations: job.AllocationCount}
	zones := map[string]bool{}
	for _, allocation := range job.Allocations() {
		zones[allocation.Machine.Zone] = true
	}
	progress.Zones = slices.Sorted(maps.Keys(zones))
	return progress
}

// AllocationsNeeded is how many allocations a job's tasks may have at once from now on, by what
// the records say: whoever owns the shard next knows no more. It is -1
// where the records do not say so yet.
func AllocationsNeeded(job *cluster.Job) int {
	if !FullyRecorded(job) {
		return -1
	}
	needed := len(job.Tasks) - job.DoneTasks
	for _, allocation := range job.Allocations() {
		// Beside one for each task that is not done. A gang that is wound up holds less
		// for a while, and then all of its places again: counted by what was held and
		// waited, two jobs once had the same part of a limit.
		if task := &job.Tasks[allocation.Index]; task.Done || task.AllocationCount > 1 {
			needed++
		}
	}
	return needed
}

// SchedulableZones lists those of a site's zones where more of a job's tasks may go, by its rules on zones.
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

// capacityKey is what makes the free capacity of machines alike.
type capacityKey struct {
	pool *cluster.MachinePool
	cpu  int
	gpu  int
	mem  int
}

// FreeCapacity lists what is free, by like machines, the largest first. What waits for capacity
// in the shard comes before jobs that are yet to be assigned: machines that it could use are left
// out. Those that it could not are not kept from others: for one job that waited for another
// zone, or beyond its part of a quota, all machines of a shard once stood idle.
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

// schedulableJobs lists the jobs that would be given more allocations now if machines had room.
func schedulableJobs(state *cluster.State, now micro.Time) []*cluster.Job {
	var jobs []*cluster.Job
	for job := range state.PendingJobs {
		if min(job.PendingTasks(), job.SchedulableTasks(now)) > 0 && !job.InBackoff(now) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// usableByAny reports whether one of some jobs may use the machines of a pool.
func usableByAny(jobs []*cluster.Job, pool *cluster.MachinePool) bool {
	for _, job := range jobs {
		if scheduler.Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot) && scheduler.ZoneAllowed(job, pool.Zone, nil) {
			return true
		}
	}
	return false
}

// countFreeCapacity adds the machines of a pool that take tasks, by what is free on them.
func countFreeCapacity(pool *cluster.MachinePool, counts map[capacityKey]int, now micro.Time) {
	for row := range pool.BucketCount() {
		for _, machine := range pool.Bucket(row) {
			if machine.Schedulable(now) && machine.ReservedFor == nil {
				counts[capacityOf(pool, machine)]++
			}
		}
	}
}

func capacityOf(pool *cluster.MachinePool, machine *cluster.Machine) capacityKey {
	cpu := min(machine.Type.CPUs-machine.UsedScaledCPU, machine.Type.CPUs-machine.UsedCPU)
	return capacityKey{
		pool: pool,
		cpu:  int(cpu) / cpuRounding,
		gpu:  int(machine.Type.GPUs - machine.UsedGPU),
		mem:  int(machine.Type.MemoryGB - machine.UsedMemoryGB),
	}
}

// hasMoreCapacity orders kinds of free capacity; the order of equal ones is fixed, so that runs repeat.
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
