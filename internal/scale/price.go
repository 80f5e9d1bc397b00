package scale

import (
	"math"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/wire"
)

// dearWait is the longest that work waits for room to come free where only dear
// room can be rented.
const dearWait = 3 * micro.Minute

// slowBoot is how many times its type's boot time a machine may well take.
const slowBoot = 1.5

// helps reports whether a machine rented now would let a demand meet an
// objective. Work that has waited very long gets one in any case.
func (p *Planner) helps(d *demand, t *model.Type, now micro.Time) bool {
	if d.job != nil && now-d.job.Since > dearWait {
		return true
	}
	ready := now + micro.Of(slowBoot*t.BootS+d.spec.ImageGB/t.FetchGBPerS)
	return d.late >= ready && d.late < now+sched.Distant/2
}

// queue is how many of a class's tasks wait, now and a while ago.
type queue struct {
	n, was int
	at     micro.Time // when was was taken
	dear   micro.Time // when dear room was last rented because it lasts
}

// A shortage lasts if, with machines up for lastingFor, no fewer tasks wait than
// a good while ago. Then dear room is rented for one part in dearPart of the
// fleet at a time.
const (
	queueEvery = 20 * micro.Second
	lastingFor = 20 * micro.Second
	dearEvery  = 5 * micro.Second
	dearPart   = 100
)

// watch keeps count of what waits.
func (p *Planner) watch(now micro.Time) {
	if p.queues == nil {
		p.queues = map[*model.Class]*queue{}
	}
	for _, q := range p.queues {
		q.n = 0
	}
	for j := range p.C.Pending {
		q := p.queues[j.Class]
		if q == nil {
			q = &queue{at: now}
			p.queues[j.Class] = q
		}
		q.n += j.Waiting()
	}
	up := 0
	for _, pool := range p.C.Pools {
		up += pool.N
	}
	for _, q := range p.queues {
		if up == 0 {
			q.was, q.at = 0, now // nothing could run yet
		} else if q.n == 0 {
			q.was, q.at = 0, now
		} else if q.was == 0 && now-q.at >= lastingFor || q.was > 0 && now-q.at >= queueEvery {
			q.was, q.at = q.n, now
		}
	}
}

// lasting is how many dear machines may be rented now because a class's shortage
// lasts, whatever is expected to come free: other work takes it.
func (p *Planner) lasting(d *demand, now micro.Time) int {
	if d.job == nil {
		return 0
	}
	q := p.queues[d.job.Class]
	if q == nil || q.was == 0 || now-q.at < queueEvery/2 || 10*q.n < 9*q.was || now-q.dear < dearEvery {
		return 0
	}
	q.dear = now
	return max(len(p.C.Machines)/dearPart, 1)
}

func priceOf(o Offer, t *model.Type) float64 {
	if o.Spot {
		return t.SpotPrice
	}
	return t.Price
}

// bill is what the fleet costs an hour.
func (p *Planner) bill() float64 {
	sum := 0.0
	for _, m := range p.C.Machines {
		if m.Type != nil {
			sum += priceOf(Offer{Spot: m.Spot}, m.Type)
		}
	}
	return sum
}

// readyIn is how soon a rented machine could run the job's task.
func (p *Planner) readyIn(s *wire.Job) micro.Time {
	best := micro.Time(math.MaxInt64 / 4)
	for _, t := range p.C.Order {
		for _, z := range t.Zones {
			if sched.Allowed(s, t, z, false) {
				best = min(best, micro.Of(t.BootS+s.ImageGB/t.FetchGBPerS))
			}
		}
	}
	return best
}

// cheapest is what the cheapest ordinary type asks for a task's room, where n
// like it are waiting.
func (p *Planner) cheapest(s *wire.Job, n int) float64 {
	best := math.Inf(1)
	for _, t := range p.C.Order {
		for _, z := range t.Zones {
			b := newBin(t, z, false)
			if k := b.fits(s); k > 0 {
				best = min(best, t.Price/float64(min(k, n)))
			}
		}
	}
	return best
}

// pressingRatio is how much more room may cost for work that would be late.
const pressingRatio = 2.2

// longWait is how long work waits before it counts as pressing.
const longWait = micro.Minute

// thrifty reports whether money is looked at: where operators keep a fleet of
// their own, readiness wins.
func (p *Planner) thrifty() bool { return !p.own }

func (p *Planner) hasOwn() bool {
	for _, m := range p.C.Machines {
		if m.Base {
			return true
		}
	}
	return false
}

// Affordable reports whether work that needs no GPU may sit on a machine with
// GPUs. Most are dear, and work that sits on one keeps it from being returned: a
// service for as long as it lives.
func (p *Planner) Affordable(j *model.Job, t *model.Type, spot bool, now micro.Time) bool {
	s := &j.Spec
	if s.GPUs > 0 || t.GPUs == 0 || !p.thrifty() {
		return true
	}
	return !p.dear(s, t, spot, p.sittingRatio(j, now))
}

// sittingRatio is the most that the room of a machine may cost, over the cheapest
// ordinary room, for a job to sit there without need.
func (p *Planner) sittingRatio(j *model.Job, now micro.Time) float64 {
	if p.cheapOnly(j, now) {
		return p.Props.DearRatio
	}
	return p.ratio(nil, now)
}

// cheapOnly reports whether a job takes no dear room: it is of the last rank and
// nothing says when it should start or end, so only its cost counts. Arrays of
// thousands of such tasks had hundreds of ordinary GPU machines rented, and kept
// those that other work had needed from being returned. A job none of whose tasks
// found a place for dearWait takes what there is.
func (p *Planner) cheapOnly(j *model.Job, now micro.Time) bool {
	return j != nil && j.Level >= lastRank && !p.Goals.Any(j) && now-j.WaitsFrom <= dearWait
}

// lastRank is the rank of idle work.
var lastRank = wire.Low.Level()

// dear reports whether a machine's room costs more than so many times the
// cheapest ordinary room, for tasks like this.
func (p *Planner) dear(s *wire.Job, t *model.Type, spot bool, ratio float64) bool {
	k := newBin(t, "", false).room(s)
	return k == 0 || priceOf(Offer{Spot: spot}, t)/float64(k) > ratio*p.cheapest(s, math.MaxInt32)
}

// ratio is the most that room for a job's tasks may cost, over the cheapest
// ordinary room. Work that has waited long and would soon be late may cost more:
// then the cheap room has run out.
func (p *Planner) ratio(j *model.Job, now micro.Time) float64 {
	if p.cheapOnly(j, now) {
		return p.Props.DearRatio
	}
	r := p.Props.PriceRatio * 1.4
	if j != nil && now-j.Since > longWait {
		if late := p.Goals.LatestStart(j, now); late-now < p.readyIn(&j.Spec)+longWait {
			r *= pressingRatio
		}
	}
	return r
}

// choose finds the offer that costs least per task, first among those whose
// machines come up; in a zone that is cut off only if there is no other.
func (p *Planner) choose(d *demand, left int, zoneN map[string]int, thrift bool, now micro.Time) *bin {
	if b := p.cheapestOffer(d, left, zoneN, thrift, p.lateUntil, now); b != nil || len(p.lateUntil) == 0 {
		return b
	}
	return p.cheapestOffer(d, left, zoneN, thrift, nil, now)
}

// cheapestOffer finds the offer that costs least per task, but for those left out.
func (p *Planner) cheapestOffer(d *demand, left int, zoneN map[string]int, thrift bool, leftOut map[Offer]micro.Time, now micro.Time) *bin {
	var best *bin
	bestCost := 0.0
	limit := math.Inf(1)
	if thrift && p.thrifty() {
		limit = p.ratio(d.job, now) * p.cheapest(d.spec, left)
	}
	for _, t := range p.C.Order {
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				o := Offer{t.Name, z, spot}
				if p.Refused[o] > now || leftOut[o] > now || !d.allows(t, z, spot) {
					continue
				}
				if d.job != nil && !sched.ZoneOK(d.job, z, zoneN) {
					continue
				}
				b := newBin(t, z, spot)
				k := b.fits(d.spec)
				if k == 0 {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice * 1.2 // it may be taken back
				}
				if price/float64(min(k, left)) > limit {
					continue
				}
				cost := price / float64(min(k, left)) * (1 + t.BootS/300)
				sooner := best != nil && p.cut[best.zone] && !p.cut[z]
				later := best != nil && !p.cut[best.zone] && p.cut[z]
				if best == nil || sooner || cost < bestCost && !later {
					b.offer = o
					best, bestCost = b, cost
				}
			}
		}
	}
	return best
}
