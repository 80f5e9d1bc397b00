// Package autoscaler decides which instances to request and which machines to terminate, from
// the queue, the objectives and the prices. It reads no clock and does no I/O. The goroutine
// that owns the cluster state owns a Planner too.
package autoscaler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
)

// InstanceOffer is what the cloud offers: a type in a zone, spot or on-demand.
type InstanceOffer struct {
	Type string
	Zone string
	Spot bool
}

// ScaleOut is a number of machines to be requested.
type ScaleOut struct {
	InstanceOffer
	Count         int
	Class         string // the class whose work asked for the first of them
	PriorityLevel int    // and its priority level
}

// Planner remembers what the cloud refused and what is under way.
type Planner struct {
	Cluster             *cluster.State
	Objectives          *scheduler.Objectives
	Properties          *config.Properties
	RefusedUntil        map[InstanceOffer]micro.Time // until when not to ask again
	ConsecutiveRefusals map[InstanceOffer]int        // refusals in a row
	PendingRequests     map[string]ScaleOut          // instance requests without an answer yet, by name
	ShardDemands        func() []ShardDemand         // what waits in shards of other controllers; nil: nothing
	ShardCapacity       func() []ShardCapacity       // what is free in shards of other controllers; nil: nothing
	OwnsOffer           func(InstanceOffer) bool     // the offers whose machines are in no shard; nil: all are

	// ShardAcceptsJob reports whether an offer's machines are in a shard that takes a job's team.
	ShardAcceptsJob func(*cluster.Job, InstanceOffer) bool

	unreachableZones map[string]bool // unreachable zones, by the last plan
	permanentFleet   bool            // operators keep machines of their own, by the last plan
	noBacklogSince   micro.Time      // since when nothing has waited for capacity; 0: something does

	excludedUntil map[InstanceOffer]micro.Time // until when offers are left out whose machines did not come up

	backlogs map[*cluster.Class]*classBacklog // how much waits, and waited
}

// Config is what a planner decides by.
type Config struct {
	Cluster    *cluster.State
	Objectives *scheduler.Objectives
	Properties *config.Properties
	// ShardDemands lists what waits in shards of other controllers; nil: nothing.
	ShardDemands func() []ShardDemand
	// ShardCapacity lists what is free in shards of other controllers; nil: nothing.
	ShardCapacity func() []ShardCapacity
	// OwnsOffer reports whether an offer's machines are in no shard; nil: all are in none.
	OwnsOffer func(InstanceOffer) bool
	// ShardAcceptsJob reports whether an offer's machines are in a shard that takes jobs of a job's
	// team; nil: there are no shards.
	ShardAcceptsJob func(*cluster.Job, InstanceOffer) bool
}

// New makes a planner that knows of no refusal and no request.
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

// maxMachinesPerPlan bounds what one plan requests, maxMachinesPerRequest what one request asks
// for, and maxMachinesPerOffer what is asked of one offer at a time: how much there is shows
// only by asking.
const (
	maxMachinesPerPlan    = 250
	maxMachinesPerRequest = 50
	maxMachinesPerOffer   = 200
)

// refusalBackoff is how long an offer that was refused is not asked for again;
// longer each time that it had nothing at all.
const (
	refusalBackoff  = 15 * micro.Second
	maxBackoffShift = 2
)

// RecordRequestResult takes in the answer to an instance request.
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

// Plan says which instances to request and which machines to terminate for being idle.
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

// bestOffer is what to request for a demand: for work of the first priority level at any price.
func (p *Planner) bestOffer(demand *taskDemand, unplaced int, tasksByZone map[string]int, now micro.Time) *bin {
	best := p.chooseOffer(demand, unplaced, tasksByZone, true, now)
	if best == nil && demand.priorityLevel == 0 {
		best = p.chooseOffer(demand, unplaced, tasksByZone, false, now)
	}
	return best
}

// listUnreachableZones lists the zones that a partition cuts off. The heartbeats of what is
// created there reach nobody until it ends: tasks that were killed in such a zone once waited
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

// maxPendingMachines is how much of an offer may be asked for at a time.
func (p *Planner) maxPendingMachines(offer InstanceOffer) int {
	if p.ConsecutiveRefusals[offer] > 0 {
		return maxMachinesPerRequest
	}
	return maxMachinesPerOffer
}

// permanentFleetIdleFactor is how much longer idle machines are kept where readiness wins.
const permanentFleetIdleFactor = 6

// IdleMachines lists the machines, but for the operators' own, that nobody has needed for a
// while.
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
			timeout /= 2 // the most expensive; those that are expected to be needed are wanted
		}
		if now-machine.IdleSince > timeout && now-machine.LastNeededForHeadroom > 5*micro.Second {
			idle = append(idle, machine)
		}
	}
	return idle
}
