package autoscaler

import (
	"math"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// maxExpensiveDelay is the longest that work waits for capacity to come free where only expensive
// capacity can be requested.
const maxExpensiveDelay = 3 * micro.Minute

// slowBootFactor is how many times its type's boot time a machine may well take.
const slowBootFactor = 1.5

// meetsObjective reports whether a machine requested now would let a demand meet an
// objective. Work that has waited very long gets one in any case.
func (p *Planner) meetsObjective(demand *taskDemand, typ *cluster.MachineType, now micro.Time) bool {
	if demand.job != nil && now-demand.job.EligibleSince > maxExpensiveDelay {
		return true
	}
	ready := now + micro.FromSeconds(slowBootFactor*typ.BootS+demand.spec.ImageGB/typ.FetchGBPerS)
	return demand.latestStart >= ready && demand.latestStart < now+scheduler.PlanningHorizon/2
}

// classBacklog is how many of a class's tasks wait, now and a while ago.
type classBacklog struct {
	pendingTasks, pendingAtMeasurement int
	measuredAt                         micro.Time // when pendingBefore was noted
	lastExpensiveAt                    micro.Time // when expensive capacity was last requested because it lasts
}

// A shortage lasts if, with machines up for persistentAfter, no fewer tasks wait than
// a good while ago. Then expensive capacity is requested for one part in expensiveFleetDivisor of the
// fleet at a time.
const (
	backlogInterval       = 20 * micro.Second
	persistentAfter       = 20 * micro.Second
	expensiveInterval     = 5 * micro.Second
	expensiveFleetDivisor = 100
)

// trackBacklog keeps count of what waits.
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

// measurementDue reports whether it is time to note how many tasks wait.
func (b *classBacklog) measurementDue(now micro.Time) bool {
	if b.pendingAtMeasurement == 0 {
		return now-b.measuredAt >= persistentAfter
	}
	return now-b.measuredAt >= backlogInterval
}

// persistentShortageAllowance is how many expensive machines may be requested now because a class's shortage
// lasts, whatever is expected to come free: other work takes it.
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

func priceOf(offer InstanceOffer, typ *cluster.MachineType) float64 {
	if offer.Spot {
		return typ.SpotPrice
	}
	return typ.Price
}

// hourlyCost is what the fleet costs an hour.
func (p *Planner) hourlyCost() float64 {
	sum := 0.0
	for _, m := range p.Cluster.Machines {
		if m.Type != nil {
			sum += priceOf(InstanceOffer{Spot: m.Spot}, m.Type)
		}
	}
	return sum
}

// minReadyTime is how soon a requested machine could run the job's task.
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

// cheapestPrice is what the cheapest on-demand type asks for a task's capacity, where n
// like it are waiting.
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

// urgentPriceFactor is how much more capacity may cost for work that would be late.
const urgentPriceFactor = 2.2

// urgentAfter is how long work waits before it counts as urgent.
const urgentAfter = micro.Minute

// limitsCost reports whether cost matters: where operators keep a fleet of
// their own, readiness wins.
func (p *Planner) limitsCost() bool { return !p.permanentFleet }

func (p *Planner) hasPermanentMachines() bool {
	for _, m := range p.Cluster.Machines {
		if m.Permanent {
			return true
		}
	}
	return false
}

// WithinPrice reports whether work that needs no GPU may sit on a machine with
// GPUs. Most are expensive, and work on one keeps it from being terminated: a
// service for as long as it lives.
func (p *Planner) WithinPrice(job *cluster.Job, typ *cluster.MachineType, spot bool, now micro.Time) bool {
	spec := &job.Spec
	if spec.GPUs > 0 || typ.GPUs == 0 || !p.limitsCost() {
		return true
	}
	return !p.isExpensive(spec, typ, spot, p.occupancyPriceRatio(job, now))
}

// occupancyPriceRatio is the most that the capacity of a machine may cost, over the cheapest
// on-demand capacity, for a job to take it without need.
func (p *Planner) occupancyPriceRatio(job *cluster.Job, now micro.Time) float64 {
	if p.avoidsExpensiveCapacity(job, now) {
		return p.Properties.HighPriceRatio
	}
	return p.maxPriceRatio(nil, now)
}

// avoidsExpensiveCapacity reports whether a job takes no expensive capacity: it is of the last priority level and
// nothing says when it should start or end, so only its cost counts. Arrays of
// thousands of such tasks had hundreds of on-demand GPU machines requested, and kept
// those that other work had needed from being terminated. A job none of whose tasks
// had an allocation for maxExpensiveDelay takes what there is.
func (p *Planner) avoidsExpensiveCapacity(job *cluster.Job, now micro.Time) bool {
	return job != nil && job.PriorityLevel >= lowestPriorityLevel && !p.Objectives.AppliesTo(job) &&
		p.Cluster.WaitingTime(job, now) <= maxExpensiveDelay
}

// lowestPriorityLevel is that of best-effort work.
var lowestPriorityLevel = wire.Low.Level()

// isExpensive reports whether a machine's capacity costs more than so many times the
// cheapest on-demand capacity, for tasks like this.
func (p *Planner) isExpensive(spec *wire.Job, typ *cluster.MachineType, spot bool, ratio float64) bool {
	k := newBin(typ, "", false).countByResources(spec)
	return k == 0 || priceOf(InstanceOffer{Spot: spot}, typ)/float64(k) > ratio*p.cheapestPrice(spec, math.MaxInt32)
}

// maxPriceRatio is the most that capacity for a job's tasks may cost, over the cheapest
// on-demand capacity. Work that has waited long and would soon be late may cost more:
// then the cheap capacity has run out.
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

// chooseOffer finds the offer that costs least per task, first among those whose
// machines come up; in an unreachable zone only if there is no other.
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

// offerSearch looks for the offer that serves a demand at the least cost per task.
type offerSearch struct {
	planner     *Planner
	demand      *taskDemand
	unplaced    int            // tasks without capacity
	tasksByZone map[string]int // tasks that the plan has put into each zone
	now         micro.Time
	priceLimit  float64 // the most that capacity for a task may cost an hour

	bestBin  *bin // the best offer so far; nil: none
	bestCost float64
}

// cheapest finds the offer that costs least per task, but for those that are excluded now.
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

// spotRiskFactor is what is added to a spot instance's price: it may be preempted.
const spotRiskFactor = 1.2

// bootCostSeconds is the boot time, in seconds, that counts as much as the price.
const bootCostSeconds = 300

// consider takes an offer if it serves the demand better than the best so far.
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

// isRequestable reports whether an offer may be requested for the demand now.
func (s *offerSearch) isRequestable(offer InstanceOffer, typ *cluster.MachineType) bool {
	if s.planner.RefusedUntil[offer] > s.now || !s.demand.allows(typ, offer.Zone, offer.Spot) {
		return false
	}
	return s.demand.job == nil || scheduler.ZoneAllowed(s.demand.job, offer.Zone, s.tasksByZone)
}

// isBetter reports whether capacity in a zone at a cost is better than the best so far: a
// reachable zone goes before cost.
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
