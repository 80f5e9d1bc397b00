package autoscaler

import "notchmux.dev/notchmux/internal/cluster"

// ShardCapacity is a number of identical machines in a shard of another controller that all have the
// same free capacity.
type ShardCapacity struct {
	InstanceOffer
	Count         int
	CPU, GPU, Mem float64                     // free on each machine; Mem in GB
	Accepts       func(job *cluster.Job) bool // reports whether the shard accepts a job
}

// shardBin is the free capacity of one machine in a shard.
type shardBin struct {
	*bin
	accepts func(job *cluster.Job) bool
}

// reserveInShards reserves free capacity in shards for the tasks of a spread service that may be handed
// over to a shard as a whole, and returns how many fit, so that only the rest is requested. Without it,
// while a shard had empty machines in one zone, more were requested in that zone each time the cloud had
// one, and none was left for the zone in which the service lacked capacity.
func (plan *scaleOutPlan) reserveInShards(short *shortage) int {
	if short.job == nil || !short.spec.Spread || !plan.planner.Cluster.CanTransfer(short.job) ||
		plan.planner.ShardCapacity == nil {
		return 0
	}
	reserved := 0
	for _, free := range plan.shardCapacity() {
		if !free.accepts(short.job) || !short.allows(free.typ, free.zone, free.spot) {
			continue
		}
		allowance := zoneAllowance(short.taskDemand, free.zone, short.tasksByZone)
		if fitting := min(short.unplaced-reserved, free.countFitting(short.spec), allowance); fitting > 0 {
			free.reserve(short.spec, fitting)
			short.tasksByZone[free.zone] += fitting
			reserved += fitting
		}
	}
	return reserved
}

// shardCapacity returns the free capacity of each machine in shards, computed once per plan.
func (plan *scaleOutPlan) shardCapacity() []shardBin {
	if plan.shardBins != nil {
		return plan.shardBins
	}
	plan.shardBins = []shardBin{}
	for _, capacity := range plan.planner.ShardCapacity() {
		typ := plan.planner.Cluster.Types[capacity.Type]
		for range capacity.Count {
			if typ == nil {
				break
			}
			free := newBin(typ, capacity.Zone, capacity.Spot)
			free.cpu, free.gpu, free.mem = capacity.CPU, capacity.GPU, capacity.Mem
			plan.shardBins = append(plan.shardBins, shardBin{free, capacity.Accepts})
		}
	}
	return plan.shardBins
}
