// Package autoscaler decides which instances to request and which machines to terminate, based on the
// pending jobs, their objectives and the prices. It reads no clock and does no I/O. A Planner may be
// used only by the goroutine that owns its cluster state.
package autoscaler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
)

// InstanceOffer identifies an offer of the cloud: a machine type in a zone, spot or on-demand.
type InstanceOffer struct {
	Type string
	Zone string
	Spot bool
}

// ScaleOut is a number of machines of one offer to request.
type ScaleOut struct {
	InstanceOffer
	Count         int
	Class         string // class of the first demand that the machines are for
	PriorityLevel int    // priority level of that demand
}

// Planner decides on scale-outs and scale-ins. Between plans it keeps the refusals of the cloud, the
// pending requests and the history of the backlog.
type Planner struct {
	Cluster             *cluster.State
	Objectives          *scheduler.Objectives
	Properties          *config.Properties
	RefusedUntil        map[InstanceOffer]micro.Time // when a refused offer may be requested again
	ConsecutiveRefusals map[InstanceOffer]int        // consecutive refusals of each offer
	PendingRequests     map[string]ScaleOut          // instance requests without a response yet, by request ID

	// The callbacks of the Config.
	ShardDemands    func() []ShardDemand
	ShardCapacity   func() []ShardCapacity
	OwnsOffer       func(InstanceOffer) bool
	ShardAcceptsJob func(*cluster.Job, InstanceOffer) bool

	unreachableZones map[string]bool // zones that were unreachable at the last plan
	permanentFleet   bool            // whether there were operator-owned machines at the last plan
	noBacklogSince   micro.Time      // since when no job has waited for capacity; 0: one does

	excludedUntil map[InstanceOffer]micro.Time // end of the exclusion of offers with boot failures

	backlogs map[*cluster.Class]*classBacklog // pending tasks, now and earlier
}

// Config holds the inputs of a Planner.
type Config struct {
	Cluster    *cluster.State
	Objectives *scheduler.Objectives
	Properties *config.Properties
	// ShardDemands returns the tasks that wait for capacity in shards of other controllers; nil: there are
	// none.
	ShardDemands func() []ShardDemand
	// ShardCapacity returns the free capacity in shards of other controllers; nil: there is none.
	ShardCapacity func() []ShardCapacity
	// OwnsOffer reports whether an offer's machines belong to no shard; nil: there are no shards.
	OwnsOffer func(InstanceOffer) bool
	// ShardAcceptsJob reports whether an offer's machines are in a shard that accepts jobs of the job's
	// team; nil: there are no shards.
	ShardAcceptsJob func(*cluster.Job, InstanceOffer) bool
}

// New returns a Planner without refusals or pending requests.
func New(cfg Config) *Planner {
	return &Planner{
		Cluster:             cfg.Cluster,
		Objectives:          cfg.Objectives,
		Properties:          cfg.Properties,
		RefusedUntil:        map[InstanceOffer]micro.Time{},
		ConsecutiveRefusals: map[InstanceOffer]int{},
		PendingRequests:     map[string]ScaleOut{},
		ShardDemands:        cfg.ShardDemands,
		ShardCapacity:       cfg.ShardCapacity,
		OwnsOffer:           cfg.OwnsOffer,
		ShardAcceptsJob:     cfg.ShardAcceptsJob,
	}
}

// Limits on the machines requested by one plan, by one instance request, and of one offer at a time.
// The last exists because only requesting machines shows how many of an offer the cloud has.
const (
	maxMachinesPerPlan    = 250
	maxMachinesPerRequest = 50
	maxMachinesPerOffer   = 200
)

// refusalBackoff is how long a refused offer is not requested again. It doubles with each consecutive
// request for which the cloud granted no machine, up to maxBackoffShift times.
const (
	refusalBackoff  = 15 * micro.Second
	maxBackoffShift = 2
)

// RecordRequestResult records how many of the requested machines of an offer the cloud granted. After a
// full or partial refusal, the offer is not requested again until its backoff ends.
func (p *Planner) RecordRequestResult(offer InstanceOffer, requested, granted int, now micro.Time) {
	switch {
	case granted == requested:
		delete(p.ConsecutiveRefusals, offer)
	case granted > 0:
		p.ConsecutiveRefusals[offer] = 1
		p.RefusedUntil[offer] = now + refusalBackoff
	default:
		p.RefusedUntil[offer] = now + refusalBackoff<<min(p.ConsecutiveRefusals[offer], maxBackoffShift)
		p.ConsecutiveRefusals[offer]++
	}
}

// Plan returns the instances to request and the idle machines to terminate. It also cordons and uncordons
// machines.
func (p *Planner) Plan(now micro.Time) (scaleOuts []ScaleOut, idle []*cluster.Machine) {
	p.permanentFleet = p.hasPermanentMachines()
	p.unreachableZones = p.listUnreachableZones()
	p.trackBacklog(now)
	if p.excludedUntil == nil {
		p.excludedUntil = map[InstanceOffer]micro.Time{}
	}
	p.trackBootFailures(now)
	demands := p.demands(now)
	plan := p.newScaleOutPlan(now)
	for i := range demands {
		plan.planDemand(&demands[i])
	}
	cordon, uncordon := p.planCordons(demands, now)
	for _, machine := range cordon {
		p.Cluster.SetCordoned(machine, true)
	}
	for _, machine := range uncordon {
		p.Cluster.SetCordoned(machine, false)
	}
	return plan.requests(), p.IdleMachines(now)
}

// bestOffer returns the best offer for a demand, nil if there is none. If no offer is within the price
// limit, work of the highest priority level gets one at any price.
func (p *Planner) bestOffer(demand *taskDemand, unplaced int, tasksByZone map[string]int, now micro.Time) *bin {
	best := p.chooseOffer(demand, unplaced, tasksByZone, true, now)
	if best == nil && demand.priorityLevel == 0 {
		best = p.chooseOffer(demand, unplaced, tasksByZone, false, now)
	}
	return best
}

// listUnreachableZones returns the zones that a network partition cuts off. The heartbeats of machines
// created there reach no controller until it ends: tasks that were killed in such a zone once waited
// while machines were requested there again and again.
func (p *Planner) listUnreachableZones() map[string]bool {
	unreachable := map[string]bool{}
	for zone := range p.Cluster.ZoneUnreachableSince {
		if !p.Cluster.ZoneReachable(zone) {
			unreachable[zone] = true
		}
	}
	return unreachable
}

// maxPendingMachines returns how many machines of an offer may be requested at a time: fewer after a
// refusal.
func (p *Planner) maxPendingMachines(offer InstanceOffer) int {
	if p.ConsecutiveRefusals[offer] > 0 {
		return maxMachinesPerRequest
	}
	return maxMachinesPerOffer
}

// permanentFleetIdleFactor is the multiple of the idle timeout for which idle machines are kept where
// there are operator-owned machines, since readiness matters more than cost there.
const permanentFleetIdleFactor = 6

// IdleMachines returns the machines to terminate: those without allocations that are cordoned or have not
// been needed for the idle timeout. Operator-owned and reserved machines are not included, nor are those
// of other controllers or with a preemption notice.
func (p *Planner) IdleMachines(now micro.Time) []*cluster.Machine {
	var idle []*cluster.Machine
	idleTimeout := p.Properties.IdleTerminateAfter
	if !p.limitsCost() {
		idleTimeout *= permanentFleetIdleFactor
	}
	for _, machine := range p.Cluster.SortedMachines() {
		if machine.State != cluster.Up || machine.OwnedElsewhere || machine.Permanent || len(machine.Allocations) > 0 ||
			machine.ReservedFor != nil ||
			machine.PreemptionAt != 0 {
			continue
		}
		if machine.Cordoned {
			idle = append(idle, machine)
			continue
		}
		timeout := idleTimeout
		if p.limitsCost() && machine.Type != nil && machine.Type.GPUs > 0 {
			timeout /= 2 // GPU machines cost the most; those expected to be needed are kept as headroom
		}
		if now-machine.IdleSince > timeout && now-machine.LastNeededForHeadroom > 5*micro.Second {
			idle = append(idle, machine)
		}
	}
	return idle
}
