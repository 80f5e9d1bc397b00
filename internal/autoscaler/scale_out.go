package autoscaler

import "notchmux.dev/notchmux/internal/micro"

// scaleOutPlan collects the machines that one plan requests, demand by demand.
type scaleOutPlan struct {
	planner    *Planner
	now        micro.Time
	limitsCost bool    // whether cost matters
	hourlyCost float64 // cost of the fleet per hour

	expected    *capacity  // machines that are expected to boot, including those of this plan
	runningBins []*bin     // capacity of running machines; computed when first needed
	shardBins   []shardBin // free capacity in shards; computed when first needed

	pendingMachines map[InstanceOffer]int         // machines requested without a response yet
	plannedMachines map[InstanceOffer]int         // machines that this plan requests
	firstDemand     map[InstanceOffer]*taskDemand // the first demand that this plan requests an offer for
	offerOrder      []InstanceOffer               // the offers of plannedMachines, in the order of their first demands
	totalMachines   int                           // sum of plannedMachines
}

// newScaleOutPlan returns a plan without requests that takes all pending requests into account.
func (p *Planner) newScaleOutPlan(now micro.Time) *scaleOutPlan {
	plan := &scaleOutPlan{
		planner:         p,
		now:             now,
		limitsCost:      p.limitsCost(),
		hourlyCost:      p.hourlyCost(),
		expected:        p.expectedCapacity(now),
		pendingMachines: map[InstanceOffer]int{},
		plannedMachines: map[InstanceOffer]int{},
		firstDemand:     map[InstanceOffer]*taskDemand{},
	}
	for _, scaleOut := range p.PendingRequests {
		plan.pendingMachines[scaleOut.InstanceOffer] += scaleOut.Count
	}
	return plan
}

// requests returns the scale-outs of the plan, each for at most maxMachinesPerRequest machines.
func (plan *scaleOutPlan) requests() []ScaleOut {
	var scaleOuts []ScaleOut
	for _, offer := range plan.offerOrder {
		first := plan.firstDemand[offer]
		for n := plan.plannedMachines[offer]; n > 0; n -= maxMachinesPerRequest {
			scaleOuts = append(scaleOuts, ScaleOut{offer, min(n, maxMachinesPerRequest), first.spec.Class, first.priorityLevel})
		}
	}
	return scaleOuts
}

// shortage is the part of a demand that has no capacity yet while the demand is planned.
type shortage struct {
	*taskDemand
	tasksByZone map[string]int // tasks that the plan has placed in each zone
	unplaced    int            // tasks without capacity
	freedInTime int            // of these, how many fit on capacity that is released in time

	expensiveAllowed bool // expensive capacity may be requested
	persistent       bool // it may because the shortage of the class is persistent
	turnoverCounted  bool // freedInTime includes all capacity released before expensive capacity would help
}

// planDemand plans requests for the part of a demand that expected machines and shards cannot serve, the
// cheapest offer first.
func (plan *scaleOutPlan) planDemand(demand *taskDemand) {
	short := &shortage{taskDemand: demand, tasksByZone: map[string]int{}}
	short.unplaced = demand.tasks - plan.reserveExpected(short)
	short.unplaced -= plan.reserveInShards(short)
	if short.unplaced > 0 && demand.priorityLevel > 0 && plan.limitsCost {
		// A requested machine takes longer than this to start the work, and would be wasted if
		// enough capacity is released by then.
		deadline := plan.now + plan.planner.minReadyTime(demand.spec)/2
		short.freedInTime = reserveReleased(plan.runningCapacity(), demand, short.unplaced, short.tasksByZone, deadline)
	}
	for short.unplaced > 0 && plan.totalMachines < maxMachinesPerPlan {
		if !plan.addNextOffer(short) {
			return
		}
	}
}

// addNextOffer plans machines of the best offer for a demand. It returns false if nothing more is to be
// requested for the demand.
func (plan *scaleOutPlan) addNextOffer(short *shortage) bool {
	best := plan.planner.bestOffer(short.taskDemand, short.unplaced, short.tasksByZone, plan.now)
	if best == nil {
		return false
	}
	if short.unplaced <= short.freedInTime &&
		priceOf(best.offer, best.typ) > plan.planner.Properties.NegligibleCostShare*plan.hourlyCost {
		return false
	}
	if !plan.allowExpensive(short, best) {
		return false
	}
	if short.expensiveAllowed {
		plan.countTurnover(short)
		if short.unplaced <= short.freedInTime {
			return false
		}
		short.unplaced -= short.freedInTime
		short.freedInTime = 0
	}
	perMachine := best.countFitting(short.spec)
	tasks := min(short.unplaced, zoneAllowance(short.taskDemand, best.zone, short.tasksByZone))
	count := plan.machineCount(short, best, tasks, perMachine)
	if count <= 0 {
		return false // wait for the offer's pending requests: the next best offer may not be needed
	}
	plan.addMachines(short, best, count, min(tasks, count*perMachine), perMachine)
	return true
}

// reserveExpected reserves capacity of machines that are expected to boot for a demand's tasks and
// returns how many fit. Capacity in an unreachable zone is left to demands that can be served nowhere
// else.
func (plan *scaleOutPlan) reserveExpected(short *shortage) int {
	unreachable := plan.planner.unreachableZones
	reserved := plan.expected.reserve(short.taskDemand, short.tasks, short.tasksByZone, unreachable, false)
	unplaced := short.tasks - reserved
	if unplaced == 0 || len(unreachable) == 0 {
		return reserved
	}
	best := plan.planner.bestOffer(short.taskDemand, unplaced, short.tasksByZone, plan.now)
	if best == nil || unreachable[best.zone] {
		reserved += plan.expected.reserve(short.taskDemand, unplaced, short.tasksByZone, unreachable, true)
	}
	return reserved
}

// allowExpensive reports whether an offer may be requested for a demand, given its price. An expensive
// offer may not if it cannot help the demand to meet its objective, unless the shortage is persistent.
// addNextOffer leaves out the tasks that can start in time on released capacity.
func (plan *scaleOutPlan) allowExpensive(short *shortage, best *bin) bool {
	planner := plan.planner
	if short.expensiveAllowed || !plan.limitsCost || short.priorityLevel == 0 ||
		!planner.isExpensive(short.spec, best.typ, best.spot, planner.Properties.HighPriceRatio) {
		return true
	}
	if n := planner.persistentShortageAllowance(short.taskDemand, plan.now); n > 0 {
		// The capacity that was to be released did not help: request a few machines at a time.
		short.unplaced, short.freedInTime, short.persistent = min(short.unplaced, n*best.countFitting(short.spec)), 0, true
	} else if !planner.meetsObjective(short.taskDemand, best.typ, plan.now) {
		return false
	}
	short.expensiveAllowed = true
	return true
}

// countTurnover adds to freedInTime, once for each demand, the tasks that fit on the capacity released
// before expensive capacity would help, on running machines and on those that are expected to boot.
func (plan *scaleOutPlan) countTurnover(short *shortage) {
	if short.persistent || short.turnoverCounted {
		return
	}
	short.turnoverCounted = true
	planner, now := plan.planner, plan.now
	deadline := max(min(short.latestStart, now+maxExpensiveDelay), now+planner.minReadyTime(short.spec)/2)
	short.freedInTime += reserveReleased(
		plan.runningCapacity(), short.taskDemand, short.unplaced-short.freedInTime, short.tasksByZone, deadline,
	)
	short.freedInTime += plan.expected.reserveTurnover(
		short.taskDemand,
		short.unplaced-short.freedInTime,
		now,
		deadline,
		func(group *offerCapacity) bool {
			return planner.isExpensive(short.spec, group.typ, group.Spot, planner.Properties.HighPriceRatio)
		},
	)
}

// machineCount returns how many machines of an offer to request now for the given number of tasks; 0 or
// less: none.
func (plan *scaleOutPlan) machineCount(short *shortage, best *bin, tasks, perMachine int) int {
	limit := plan.planner.maxPendingMachines(best.offer) - plan.pendingMachines[best.offer] -
		plan.plannedMachines[best.offer]
	count := min(ceilDiv(tasks, perMachine), maxMachinesPerPlan-plan.totalMachines, limit)
	if count > 0 && (short.unplaced <= short.freedInTime || plan.limitsCost && short.freedInTime > 0) {
		count = min(count, max(ceilDiv(short.unplaced-short.freedInTime, perMachine), 1))
	}
	return count
}

// addMachines adds machines of an offer to the plan and reserves their capacity for tasks.
func (plan *scaleOutPlan) addMachines(short *shortage, best *bin, count, tasks, perMachine int) {
	if plan.plannedMachines[best.offer] == 0 {
		plan.offerOrder = append(plan.offerOrder, best.offer)
		plan.firstDemand[best.offer] = short.taskDemand
	}
	plan.plannedMachines[best.offer] += count
	plan.totalMachines += count
	group := plan.expected.groupFor(best.offer, best.typ)
	group.add(count)
	reserved := group.reserve(short.spec, tasks)
	group.committedTime += short.occupancy() * micro.Time(reserved) / micro.Time(perMachine)
	short.tasksByZone[best.zone] += reserved
	short.unplaced -= reserved
}

// runningCapacity returns the capacity of running machines, computed once per plan.
func (plan *scaleOutPlan) runningCapacity() []*bin {
	if plan.runningBins == nil {
		plan.runningBins = plan.planner.runningBins(plan.now)
	}
	return plan.runningBins
}

// ceilDiv returns n / by, rounded up; by must be positive.
func ceilDiv(n, by int) int { return (n + by - 1) / by }
