package scale

import "notchmux.dev/notchmux/internal/micro"

// rentalPlan collects what one plan rents, demand by demand.
type rentalPlan struct {
	planner *Planner
	now     micro.Time
	thrifty bool    // money is looked at
	bill    float64 // what the fleet costs an hour

	coming  *stock // machines that are expected to come up, rented ones included
	running []*bin // room of running machines; listed when first needed

	unanswered map[Offer]int // machines asked for without an answer yet
	rented     map[Offer]int // machines that this plan rents
	first      map[Offer]*demand
	order      []Offer // the offers of rented, in the order of the demands
	total      int
}

func (p *Planner) newRentalPlan(now micro.Time) *rentalPlan {
	plan := &rentalPlan{
		planner:    p,
		now:        now,
		thrifty:    p.thrifty(),
		bill:       p.bill(),
		coming:     p.coming(now),
		unanswered: map[Offer]int{},
		rented:     map[Offer]int{},
		first:      map[Offer]*demand{},
	}
	for _, ask := range p.Asked {
		plan.unanswered[ask.Offer] += ask.Count
	}
	return plan
}

// requests are the rentals, each at most as large as one request may be.
func (plan *rentalPlan) requests() []Ask {
	var asks []Ask
	for _, offer := range plan.order {
		first := plan.first[offer]
		for n := plan.rented[offer]; n > 0; n -= maxAsk {
			asks = append(asks, Ask{offer, min(n, maxAsk), first.spec.Class, first.level})
		}
	}
	return asks
}

// shortage is what a demand still lacks while room is rented for it.
type shortage struct {
	*demand
	zoneN map[string]int // tasks that the plan has put into each zone
	left  int            // tasks without room
	soon  int            // of these, how many fit on room that comes free in time

	dear    bool // dear room may be rented
	lasting bool // because the shortage of its class lasts
	counted bool // soon holds all room that comes free before dear room would help
}

// serve rents room for a demand, the cheapest offer first.
func (plan *rentalPlan) serve(d *demand) {
	short := &shortage{demand: d, zoneN: map[string]int{}}
	short.left = d.n - plan.takeComing(short)
	if short.left > 0 && d.level > 0 && plan.thrifty {
		// A machine would take this long to start the work: room that comes free
		// by then makes it a waste.
		by := plan.now + plan.planner.readyIn(d.spec)/2
		short.soon = comesFree(plan.runningRoom(), d, short.left, short.zoneN, by)
	}
	for short.left > 0 && plan.total < maxNew {
		if !plan.rentNext(short) {
			return
		}
	}
}

// rentNext rents of the best offer; false if nothing more is to be rented for the
// demand.
func (plan *rentalPlan) rentNext(short *shortage) bool {
	best := plan.planner.offer(short.demand, short.left, short.zoneN, plan.now)
	if best == nil {
		return false
	}
	if short.left <= short.soon && priceOf(best.offer, best.typ) > plan.planner.Props.SmallShare*plan.bill {
		return false
	}
	if !plan.allowDear(short, best) {
		return false
	}
	if short.dear {
		plan.countTurnover(short)
		if short.left <= short.soon {
			return false
		}
		short.left -= short.soon
		short.soon = 0
	}
	perMachine := best.fits(short.spec)
	want := min(short.left, zoneRoom(short.demand, best.zone, short.zoneN))
	n := plan.machines(short, best, want, perMachine)
	if n <= 0 {
		return false // its answers first: the next best may not be needed
	}
	plan.rent(short, best, n, min(want, n*perMachine), perMachine)
	return true
}

// takeComing puts a demand's tasks on machines that are expected to come up and says
// how many fit. Room beyond a cut is left to what can go nowhere else.
func (plan *rentalPlan) takeComing(short *shortage) int {
	cut := plan.planner.cut
	took := plan.coming.take(short.demand, short.n, short.zoneN, cut, false)
	left := short.n - took
	if left == 0 || len(cut) == 0 {
		return took
	}
	best := plan.planner.offer(short.demand, left, short.zoneN, plan.now)
	if best == nil || cut[best.zone] {
		took += plan.coming.take(short.demand, left, short.zoneN, cut, true)
	}
	return took
}

// allowDear reports whether an offer may be rented although it is dear: not for
// what it cannot help, nor for what can start in time on room that comes free.
func (plan *rentalPlan) allowDear(short *shortage, best *bin) bool {
	p := plan.planner
	if short.dear || !plan.thrifty || short.level == 0 || !p.dear(short.spec, best.typ, best.spot, p.Props.DearRatio) {
		return true
	}
	if n := p.lasting(short.demand, plan.now); n > 0 {
		// What was to come free does not: a few at a time.
		short.left, short.soon, short.lasting = min(short.left, n*best.fits(short.spec)), 0, true
	} else if !p.helps(short.demand, best.typ, plan.now) {
		return false
	}
	short.dear = true
	return true
}

// countTurnover counts, once, the room that comes free before dear room would
// help, on running machines and on those that come up.
func (plan *rentalPlan) countTurnover(short *shortage) {
	if short.lasting || short.counted {
		return
	}
	short.counted = true
	p, now := plan.planner, plan.now
	by := max(min(short.late, now+dearWait), now+p.readyIn(short.spec)/2)
	short.soon += comesFree(plan.runningRoom(), short.demand, short.left-short.soon, short.zoneN, by)
	short.soon += plan.coming.turnover(short.demand, short.left-short.soon, now, by, func(g *group) bool {
		return p.dear(short.spec, g.typ, g.Spot, p.Props.DearRatio)
	})
}

// machines is how many machines of an offer are rented at a time for so many tasks.
func (plan *rentalPlan) machines(short *shortage, best *bin, want, perMachine int) int {
	atOnce := plan.planner.atOnce(best.offer) - plan.unanswered[best.offer] - plan.rented[best.offer]
	n := min(divideUp(want, perMachine), maxNew-plan.total, atOnce)
	if n > 0 && (short.left <= short.soon || plan.thrifty && short.soon > 0) {
		n = min(n, max(divideUp(short.left-short.soon, perMachine), 1))
	}
	return n
}

// rent takes machines of an offer into the plan and puts tasks on them.
func (plan *rentalPlan) rent(short *shortage, best *bin, n, tasks, perMachine int) {
	if plan.rented[best.offer] == 0 {
		plan.order = append(plan.order, best.offer)
		plan.first[best.offer] = short.demand
	}
	plan.rented[best.offer] += n
	plan.total += n
	g := plan.coming.group(best.offer, best.typ)
	g.add(n)
	took := g.take(short.spec, tasks)
	g.busy += short.takes() * micro.Time(took) / micro.Time(perMachine)
	short.zoneN[best.zone] += took
	short.left -= took
}

// runningRoom lists the room of running machines, once a plan.
func (plan *rentalPlan) runningRoom() []*bin {
	if plan.running == nil {
		plan.running = plan.planner.running(plan.now)
	}
	return plan.running
}

// divideUp is n / by rounded up; by is positive.
func divideUp(n, by int) int { return (n + by - 1) / by }
