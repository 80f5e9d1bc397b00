package coordinator

import (
	"math"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// What is free in shards, as their owners told of late.

const (
	// maxCapacityAge is how old what an owner told of its free capacity may be.
	maxCapacityAge = 3 * micro.Second
	// capacityTolerance makes up for rounding where a machine takes a whole number of tasks.
	capacityTolerance = 1e-9
)

// shardsWithCapacity lists the shards whose owners told of free capacity of late.
func (c *Coordinator) shardsWithCapacity(now micro.Time) []shard.Entry {
	var open []shard.Entry
	c.table().Each(func(entry shard.Entry) bool {
		view := c.viewOf(entry.Name)
		recent := now-view.capacityAt < maxCapacityAge
		if entry.Record.State == shard.Owned && recent && len(view.freeCapacity) > 0 {
			open = append(open, entry)
		}
		return true
	})
	return open
}

// tasksThatFit is how many of a job's tasks fit the free capacity, by its rules on zones.
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

// tasksPerMachine is how many of a job's tasks one machine with so much free capacity takes.
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

// deductCapacity takes the capacity for so many tasks out of what is free, in the zones where they may go.
func (c *Coordinator) deductCapacity(view *shardView, spec *wire.Job, tasks int) {
	zones := c.newZoneAllowance(view.freeCapacity, spec)
	for i := range view.freeCapacity {
		capacity := &view.freeCapacity[i]
		perMachine := c.tasksPerMachine(capacity, spec)
		if perMachine == 0 {
			continue
		}
		taken := zones.take(capacity.Zone, min(tasks, capacity.Count*perMachine))
		capacity.Count -= min((taken+perMachine-1)/perMachine, capacity.Count)
		if tasks -= taken; tasks <= 0 {
			return
		}
	}
}

// zoneAllowance is how many of a job's tasks may still go to each zone.
type zoneAllowance struct {
	oneZone string // where all of them go; "": to several
	perZone int    // 0: any number
	taken   map[string]int
}

// newZoneAllowance begins to put tasks of a job on free capacity, by its rules on zones.
func (c *Coordinator) newZoneAllowance(capacity []shard.FreeCapacity, spec *wire.Job) *zoneAllowance {
	allowance := &zoneAllowance{taken: map[string]int{}}
	if spec.Spread {
		allowance.perZone = (spec.Tasks + 1) / 2
	}
	if spec.OneZone {
		fitting := map[string]int{}
		for i := range capacity {
			zone := capacity[i].Zone
			fitting[zone] += capacity[i].Count * c.tasksPerMachine(&capacity[i], spec)
			if fitting[zone] > fitting[allowance.oneZone] {
				allowance.oneZone = zone
			}
		}
	}
	return allowance
}

// take takes up to so many tasks in a zone, and says how many go there.
func (a *zoneAllowance) take(zone string, tasks int) int {
	if a.oneZone != "" && zone != a.oneZone {
		return 0
	}
	if a.perZone > 0 {
		tasks = min(tasks, a.perZone-a.taken[zone])
	}
	a.taken[zone] += tasks
	return tasks
}
