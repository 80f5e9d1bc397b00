package coordinator

import (
	"math"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

const (
	// maxCapacityAge is how long an owner's report of free capacity is used.
	maxCapacityAge = 3 * micro.Second
	// capacityTolerance compensates for rounding when a whole number of tasks fills a machine exactly.
	capacityTolerance = 1e-9
)

// shardsWithCapacity lists the owned shards whose owner has reported free capacity within
// maxCapacityAge.
func (c *Coordinator) shardsWithCapacity(now micro.Time) []shard.Entry {
	var entries []shard.Entry
	c.table().Each(func(entry shard.Entry) bool {
		view := c.viewOf(entry.Name)
		recent := now-view.capacityAt < maxCapacityAge
		if entry.Record.State == shard.Owned && recent && len(view.freeCapacity) > 0 {
			entries = append(entries, entry)
		}
		return true
	})
	return entries
}

// tasksThatFit returns how many of a job's tasks fit into the free capacity, subject to the job's
// zone rules.
func (c *Coordinator) tasksThatFit(capacity []shard.FreeCapacity, spec *wire.Job) int {
	zones := map[string]int{}
	for i := range capacity {
		zones[capacity[i].Zone] += capacity[i].Count * c.tasksPerMachine(&capacity[i], spec)
	}
	sum, largest := 0, 0
	for _, count := range zones {
		if spec.Spread {
			count = min(count, (spec.Tasks+1)/2)
		}
		sum, largest = sum+count, max(largest, count)
	}
	if spec.OneZone {
		return largest
	}
	return sum
}

// tasksPerMachine returns how many of a job's tasks fit on one machine with this free capacity.
func (c *Coordinator) tasksPerMachine(capacity *shard.FreeCapacity, spec *wire.Job) int {
	machineType := c.Cluster.Types[capacity.Type]
	if machineType == nil || !scheduler.Allowed(spec, machineType, capacity.Zone, capacity.Spot) {
		return 0
	}
	scaledCPUs := scheduler.ScaledCPUs(spec.CPUs, machineType.SpeedFactor, machineType.CPUs)
	resources := []struct{ free, needed float64 }{
		{capacity.CPU, max(spec.CPUs, scaledCPUs)},
		{capacity.GPU, spec.GPUs},
		{capacity.Mem, spec.MemoryGB},
	}
	count := math.MaxInt32
	for _, resource := range resources {
		if resource.needed > 0 {
			count = min(count, int(resource.free/resource.needed+capacityTolerance))
		}
	}
	return count
}

// deductCapacity removes whole machines for this number of a job's tasks from a shard's free capacity.
func (c *Coordinator) deductCapacity(view *shardView, spec *wire.Job, tasks int) {
	for i := range view.freeCapacity {
		capacity := &view.freeCapacity[i]
		perMachine := c.tasksPerMachine(capacity, spec)
		if perMachine == 0 {
			continue
		}
		machines := min((tasks+perMachine-1)/perMachine, capacity.Count)
		capacity.Count -= machines
		if tasks -= machines * perMachine; tasks <= 0 {
			return
		}
	}
}
