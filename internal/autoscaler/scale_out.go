package autoscaler

import "notchmux.dev/notchmux/internal/micro"

// scaleOutPlan collects what one plan requests, demand by demand.
type scaleOutPlan struct {
	planner    *Planner
	now        micro.Time
	limitsCost bool    // cost matters
	hourlyCost float64 // what the fleet costs an hour

	expected    *capacity  // machines that are expected to come up, requested ones included
	runningBins []*bin     // capacity of running machines; listed when first needed
	shardBins   []shardBin // free capacity in shards; listed when first needed

	pendingMachines map[InstanceOffer]int // machines requested without an answer yet
	plannedMachines map[InstanceOffer]int // machines that this plan requests
	firstDemand     map[InstanceOffer]*taskDemand
	offerOrder      []InstanceOffer // the offers of plannedMachines, in the order of the demands
	totalMachines   int
}

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

// requests are the scale-outs, each at most as large as one request may be.
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

// shortage is what a demand still lacks while capacity is requested for it.
type shortage struct {
	*taskDemand
	tasksByZone map[string]int // tasks that the plan has put into each zone
	unplaced    int            // tasks without capacity
	freedInTime int            // of these, how many fit on capacity that comes free in time

	expensiveAllowed bool // expensive capacity may be requested
	persistent       bool // because the shortage of its class lasts
	turnoverCounted  bool // freedInTime holds all capacity that comes free before expensive capacity would help
}

// planDemand requests capacity for a demand, the cheapest offer first.
func (plan *scaleOutPlan) planDemand(demand *taskDemand) {
	short := &shortage{taskDemand: demand, tasksByZone: map[string]int{}}
	short.unplaced = demand.tasks - plan.reserveExpected(short)
	short.unplaced -= plan.reserveInShards(short)
	if short.unplaced > 0 && demand.priorityLevel > 0 && plan.limitsCost {
		// A machine would take this long to start the work: capacity that comes free
		// by then makes it a waste.
		deadline := plan.now + plan.planner.minReadyTime(demand.spec)/2
		short.freedInTime = reserveReleased(plan.runningCapacity(), demand, short.unplaced, short.tasksByZone, deadline)
	}
	for short.unplaced > 0 && plan.totalMachines < maxMachinesPerPlan {
		if !plan.addNextOffer(short) {
			return
		}
	}
}

// addNextOffer takes of the best offer; false if nothing more is to be requested for the
// demand.
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
		return false // its answers first: the next best may not be needed
	}
	plan.addMachines(short, best, count, min(tasks, count*perMachine), perMachine)
	return true
}

// reserveExpected puts a demand's tasks on machines that are expected to come up and says
// how many fit. Capacity in an unreachable zone is left to what can go nowhere else.
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

// allowExpensive reports whether an offer may be requested although it is expensive: not for
// what it cannot help, nor for what can start in time on capacity that comes free.
func (plan *scaleOutPlan) allowExpensive(short *shortage, best *bin) bool {
	planner := plan.planner
	if short.expensiveAllowed || !plan.limitsCost || short.priorityLevel == 0 ||
		!planner.isExpensive(short.spec, best.typ, best.spot, planner.Properties.HighPriceRatio) {
		return true
	}
	if n := planner.persistentShortageAllowance(short.taskDemand, plan.now); n > 0 {
		// What was to come free does not: a few at a time.
		short.unplaced, short.freedInTime, short.persistent = min(short.unplaced, n*best.countFitting(short.spec)), 0, true
	} else if !planner.meetsObjective(short.taskDemand, best.typ, plan.now) {
		return false
	}
	short.expensiveAllowed = true
	return true
}

// countTurnover counts, once, the capacity that comes free before expensive capacity would
// help, on running machines and on those that come up.
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

// machineCount is how many machines of an offer are requested at a time for so many tasks.
func (plan *scaleOutPlan) machineCount(short *shortage, best *bin, tasks, perMachine int) int {
	limit := plan.planner.maxPendingMachines(best.offer) - plan.pendingMachines[best.offer] - plan.plannedMachines[best.offer]
	count := min(ceilDiv(tasks, perMachine), maxMachinesPerPlan-plan.totalMachines, limit)
	if count > 0 && (short.unplaced <= short.freedInTime || plan.limitsCost && short.freedInTime > 0) {
		count = min(count, max(ceilDiv(short.unplaced-short.freedInTime, perMachine), 1))
	}
	return count
}

// addMachines takes machines of an offer into the plan and puts tasks on them.
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

// runningCapacity lists the capacity of running machines, once a plan.
func (plan *scaleOutPlan) runningCapacity() []*bin {
	if plan.runningBins == nil {
		plan.runningBins = plan.planner.runningBins(plan.now)
	}
	return plan.runningBins
}

// ceilDiv is n / by rounded up; by is positive.
func ceilDiv(n, by int) int { return (n + by - 1) / by }
