package autoscaler

import (
	"math"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// maxExpensiveDelay is how long work waits for capacity to be released where only expensive capacity can
// be requested.
const maxExpensiveDelay = 3 * micro.Minute

// slowBootFactor is the multiple of its type's boot time that a slowly booting machine is expected to take.
const slowBootFactor = 1.5

// meetsObjective reports whether a machine requested now would let a demand meet an objective. It is true
// in any case for work that has waited longer than maxExpensiveDelay.
func (p *Planner) meetsObjective(demand *taskDemand, typ *cluster.MachineType, now micro.Time) bool {
	if demand.job != nil && now-demand.job.EligibleSince > maxExpensiveDelay {
		return true
	}
	ready := now + micro.FromSeconds(slowBootFactor*typ.BootS+demand.spec.ImageGB/typ.FetchGBPerS)
	return demand.latestStart >= ready && demand.latestStart < now+scheduler.PlanningHorizon/2
}

// classBacklog is the number of a class's pending tasks, now and at the last measurement.
type classBacklog struct {
	pendingTasks, pendingAtMeasurement int
	measuredAt                         micro.Time // when pendingAtMeasurement was recorded or last reset
	lastExpensiveAt                    micro.Time // when a persistent shortage last led to a request of expensive capacity
}

// A class's shortage is persistent if its tasks have waited for persistentAfter while machines were up,
// and their number, measured every backlogInterval, has fallen by no more than a tenth since the last
// measurement. Expensive machines may then be requested every expensiveInterval, up to one per
// expensiveFleetDivisor machines of the fleet, and at least one.
const (
	backlogInterval       = 20 * micro.Second
	persistentAfter       = 20 * micro.Second
	expensiveInterval     = 5 * micro.Second
	expensiveFleetDivisor = 100
)

// trackBacklog updates the number of pending tasks of each class and the measurements to compare it with.
func (p *Planner) trackBacklog(now micro.Time) {
	if p.backlogs == nil {
		p.backlogs = map[*cluster.Class]*classBacklog{}
	}
	for _, backlog := range p.backlogs {
		backlog.pendingTasks = 0
	}
	for job := range p.Cluster.PendingJobs {
		backlog := p.backlogs[job.Class]
		if backlog == nil {
			backlog = &classBacklog{measuredAt: now}
			p.backlogs[job.Class] = backlog
		}
		backlog.pendingTasks += job.PendingTasks()
	}
	upMachines := 0
	for _, pool := range p.Cluster.Pools {
		upMachines += pool.MachineCount
	}
	for _, backlog := range p.backlogs {
		switch {
		case upMachines == 0: // nothing could run yet
			backlog.pendingAtMeasurement, backlog.measuredAt = 0, now
		case backlog.pendingTasks == 0:
			backlog.pendingAtMeasurement, backlog.measuredAt = 0, now
		case backlog.measurementDue(now):
			backlog.pendingAtMeasurement, backlog.measuredAt = backlog.pendingTasks, now
		}
	}
}

// measurementDue reports whether the number of pending tasks is to be recorded as a measurement.
func (b *classBacklog) measurementDue(now micro.Time) bool {
	if b.pendingAtMeasurement == 0 {
		return now-b.measuredAt >= persistentAfter
	}
	return now-b.measuredAt >= backlogInterval
}

// persistentShortageAllowance returns how many expensive machines may be requested now because the
// shortage of a demand's class is persistent; 0: none. Capacity that is expected to be released does not
// matter, since other work takes it. A result above 0 uses up the allowance for expensiveInterval.
func (p *Planner) persistentShortageAllowance(demand *taskDemand, now micro.Time) int {
	if demand.job == nil {
		return 0
	}
	backlog := p.backlogs[demand.job.Class]
	if backlog == nil || backlog.pendingAtMeasurement == 0 || now-backlog.measuredAt < backlogInterval/2 ||
		10*backlog.pendingTasks < 9*backlog.pendingAtMeasurement ||
		now-backlog.lastExpensiveAt < expensiveInterval {
		return 0
	}
	backlog.lastExpensiveAt = now
	return max(len(p.Cluster.Machines)/expensiveFleetDivisor, 1)
}

// priceOf returns the hourly price of a machine of an offer.
func priceOf(offer InstanceOffer, typ *cluster.MachineType) float64 {
	if offer.Spot {
		return typ.SpotPrice
	}
	return typ.Price
}

// hourlyCost returns the cost of the fleet per hour.
func (p *Planner) hourlyCost() float64 {
	sum := 0.0
	for _, m := range p.Cluster.Machines {
		if m.Type != nil {
			sum += priceOf(InstanceOffer{Spot: m.Spot}, m.Type)
		}
	}
	return sum
}

// minReadyTime returns how soon a machine requested now could run a task of the job, including its boot
// and the fetch of the image.
func (p *Planner) minReadyTime(spec *wire.Job) micro.Time {
	best := micro.Time(math.MaxInt64 / 4)
	for _, typ := range p.Cluster.CatalogOrder {
		for _, z := range typ.Zones {
			if scheduler.Allowed(spec, typ, z, false) {
				best = min(best, micro.FromSeconds(typ.BootS+spec.ImageGB/typ.FetchGBPerS))
			}
		}
	}
	return best
}

// cheapestPrice returns the lowest hourly on-demand price of the capacity for a task, where n such tasks
// are waiting and may share a machine.
func (p *Planner) cheapestPrice(spec *wire.Job, n int) float64 {
	best := math.Inf(1)
	for _, typ := range p.Cluster.CatalogOrder {
		for _, z := range typ.Zones {
			b := newBin(typ, z, false)
			if k := b.countFitting(spec); k > 0 {
				best = min(best, typ.Price/float64(min(k, n)))
			}
		}
	}
	return best
}

// urgentPriceFactor is how many times more capacity may cost for work that would miss its objective.
const urgentPriceFactor = 2.2

// urgentAfter is how long work waits before it counts as urgent.
const urgentAfter = micro.Minute

// limitsCost reports whether cost matters. Where there are operator-owned machines, readiness matters more
// than cost.
func (p *Planner) limitsCost() bool { return !p.permanentFleet }

// hasPermanentMachines reports whether any machine is operator-owned.
func (p *Planner) hasPermanentMachines() bool {
	for _, m := range p.Cluster.Machines {
		if m.Permanent {
			return true
		}
	}
	return false
}

// WithinPrice reports whether the price of a machine type allows a job to be placed on it. It excludes
// only jobs that request no GPU, and only from expensive machines with GPUs: work on such a machine prevents
// its termination, a service for as long as it runs.
func (p *Planner) WithinPrice(job *cluster.Job, typ *cluster.MachineType, spot bool, now micro.Time) bool {
	spec := &job.Spec
	if spec.GPUs > 0 || typ.GPUs == 0 || !p.limitsCost() {
		return true
	}
	return !p.isExpensive(spec, typ, spot, p.occupancyPriceRatio(job, now))
}

// occupancyPriceRatio returns how many times the cheapest on-demand price the capacity of a machine with
// GPUs may cost for a job that does not need them to be placed there.
func (p *Planner) occupancyPriceRatio(job *cluster.Job, now micro.Time) float64 {
	if p.avoidsExpensiveCapacity(job, now) {
		return p.Properties.HighPriceRatio
	}
	return p.maxPriceRatio(nil, now)
}

// avoidsExpensiveCapacity reports whether a job gets no expensive capacity: it has the lowest priority
// level and no objective for its start or end, so only its cost matters. Arrays of thousands of such
// tasks once had hundreds of on-demand GPU machines requested, and prevented the termination of those
// that other work had needed. A job none of whose tasks has had an allocation for maxExpensiveDelay may
// use any capacity.
func (p *Planner) avoidsExpensiveCapacity(job *cluster.Job, now micro.Time) bool {
	return job != nil && job.PriorityLevel >= lowestPriorityLevel && !p.Objectives.AppliesTo(job) &&
		p.Cluster.WaitingTime(job, now) <= maxExpensiveDelay
}

// lowestPriorityLevel is the priority level of best-effort work.
var lowestPriorityLevel = wire.Low.Level()

// isExpensive reports whether the capacity for a task costs more on a machine type than ratio times the
// cheapest on-demand capacity, or the task does not fit on the type at all.
func (p *Planner) isExpensive(spec *wire.Job, typ *cluster.MachineType, spot bool, ratio float64) bool {
	k := newBin(typ, "", false).countByResources(spec)
	return k == 0 || priceOf(InstanceOffer{Spot: spot}, typ)/float64(k) > ratio*p.cheapestPrice(spec, math.MaxInt32)
}

// maxPriceRatio returns how many times the cheapest on-demand price the capacity for a job's tasks may
// cost. It is higher for work that has waited longer than urgentAfter and would soon miss its objective,
// since the cheap capacity has then run out.
func (p *Planner) maxPriceRatio(job *cluster.Job, now micro.Time) float64 {
	if p.avoidsExpensiveCapacity(job, now) {
		return p.Properties.HighPriceRatio
	}
	limit := p.Properties.MaxPriceRatio * 1.4
	if job != nil && now-job.EligibleSince > urgentAfter {
		if latestStart := p.Objectives.LatestStart(job, now); latestStart-now < p.minReadyTime(&job.Spec)+urgentAfter {
			limit *= urgentPriceFactor
		}
	}
	return limit
}

// chooseOffer returns the offer with the lowest cost per task, nil if there is none. An offer whose
// machines failed to boot is chosen only if there is no other, as is one in an unreachable zone.
func (p *Planner) chooseOffer(
	demand *taskDemand, unplaced int, tasksByZone map[string]int, limitPrice bool, now micro.Time,
) *bin {
	search := &offerSearch{
		planner: p, demand: demand, unplaced: unplaced, tasksByZone: tasksByZone, now: now, priceLimit: math.Inf(1),
	}
	if limitPrice && p.limitsCost() {
		search.priceLimit = p.maxPriceRatio(demand.job, now) * p.cheapestPrice(demand.spec, unplaced)
	}
	best := search.cheapest(p.excludedUntil)
	if best == nil && len(p.excludedUntil) > 0 {
		best = search.cheapest(nil)
	}
	return best
}

// offerSearch searches for the offer that serves a demand at the lowest cost per task.
type offerSearch struct {
	planner     *Planner
	demand      *taskDemand
	unplaced    int            // tasks without capacity
	tasksByZone map[string]int // tasks that the plan has placed in each zone
	now         micro.Time
	priceLimit  float64 // highest hourly price of the capacity for a task

	bestBin  *bin // capacity of a machine of the best offer so far; nil: none
	bestCost float64
}

// cheapest returns the offer with the lowest cost per task among those that are not excluded now, nil if
// there is none.
func (s *offerSearch) cheapest(excludedUntil map[InstanceOffer]micro.Time) *bin {
	s.bestBin, s.bestCost = nil, 0
	for _, typ := range s.planner.Cluster.CatalogOrder {
		for _, zone := range typ.Zones {
			for _, spot := range []bool{false, true} {
				if offer := (InstanceOffer{typ.Name, zone, spot}); excludedUntil[offer] <= s.now {
					s.consider(offer, typ)
				}
			}
		}
	}
	return s.bestBin
}

// spotRiskFactor is the factor on the price of a spot instance that accounts for the risk of preemption.
const spotRiskFactor = 1.2

// bootCostSeconds is the boot time, in seconds, that adds as much to the cost of an offer as its price.
const bootCostSeconds = 300

// consider makes an offer the best one if it serves the demand better than the best so far.
func (s *offerSearch) consider(offer InstanceOffer, typ *cluster.MachineType) {
	if !s.isRequestable(offer, typ) {
		return
	}
	candidate := newBin(typ, offer.Zone, offer.Spot)
	fitting := candidate.countFitting(s.demand.spec)
	if fitting == 0 {
		return
	}
	price := typ.Price
	if offer.Spot {
		price = typ.SpotPrice * spotRiskFactor
	}
	perTask := price / float64(min(fitting, s.unplaced))
	if perTask > s.priceLimit {
		return
	}
	cost := perTask * (1 + typ.BootS/bootCostSeconds)
	if s.isBetter(offer.Zone, cost) {
		candidate.offer = offer
		s.bestBin, s.bestCost = candidate, cost
	}
}

// isRequestable reports whether an offer may be requested for the demand now: the offer has no refusal
// backoff, and the constraints of the job allow it.
func (s *offerSearch) isRequestable(offer InstanceOffer, typ *cluster.MachineType) bool {
	if s.planner.RefusedUntil[offer] > s.now || !s.demand.allows(typ, offer.Zone, offer.Spot) {
		return false
	}
	return s.demand.job == nil || scheduler.ZoneAllowed(s.demand.job, offer.Zone, s.tasksByZone)
}

// isBetter reports whether an offer in a zone at a cost is better than the best so far. An offer in a
// reachable zone is better than one in an unreachable zone at any cost.
func (s *offerSearch) isBetter(zone string, cost float64) bool {
	if s.bestBin == nil {
		return true
	}
	unreachable := s.planner.unreachableZones
	if unreachable[zone] != unreachable[s.bestBin.zone] {
		return unreachable[s.bestBin.zone]
	}
	return cost < s.bestCost
}
