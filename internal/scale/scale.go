// Package scale decides what to rent and what to return, from the queue, the
// objectives and the prices. It reads no clock and does no I/O.
package scale

import (
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
)

// Offer is what the cloud rents: a type in a zone, spot or ordinary.
type Offer struct {
	Type string
	Zone string
	Spot bool
}

// Ask is a number of machines to rent.
type Ask struct {
	Offer
	Count int
	For   string // the class whose work asked for the first of them
	Level int    // and its rank
}

// Planner remembers what the cloud refused and what is under way.
type Planner struct {
	C       *model.Cluster
	Goals   *sched.Goals
	Props   *config.Properties
	Refused map[Offer]micro.Time // until when not to ask again
	Dry     map[Offer]int        // refusals in a row
	Asked   map[string]Ask       // rentals without an answer yet, by request
	Shares  func() []ShareDemand // what waits in shares of other controllers; nil: nothing
	Own     func(Offer) bool     // the offers whose machines are in no share; nil: all are

	cut  map[string]bool // zones that are out of reach, by the last plan
	own  bool            // operators keep machines of their own, by the last plan
	calm micro.Time      // since when nothing has waited for room; 0: something does

	lateUntil map[Offer]micro.Time // until when offers are left out whose machines did not come up

	queues map[*model.Class]*queue // how much waits, and waited
}

// maxNew bounds what one plan rents, maxAsk what one request does, and maxOffer
// what is asked of one offer at a time: how much there is shows only by asking.
const (
	maxNew   = 250
	maxAsk   = 50
	maxOffer = 200
)

// refusedFor is how long an offer that was refused is not asked for again;
// longer each time that it had nothing at all.
const (
	refusedFor = 15 * micro.Second
	maxDry     = 2
)

// Answered takes in what came of a rental.
func (p *Planner) Answered(o Offer, asked, got int, now micro.Time) {
	switch {
	case got == asked:
		delete(p.Dry, o)
	case got > 0:
		p.Dry[o] = 1
		p.Refused[o] = now + refusedFor
	default:
		p.Refused[o] = now + refusedFor<<min(p.Dry[o], maxDry)
		p.Dry[o]++
	}
}

// Plan says what to rent and which machines to return for being idle.
func (p *Planner) Plan(now micro.Time) (asks []Ask, idle []*model.Machine) {
	p.own = p.hasOwn()
	p.cut = p.cutOff()
	p.watch(now)
	if p.lateUntil == nil {
		p.lateUntil = map[Offer]micro.Time{}
	}
	p.watchBoots(now)
	demands := p.demands(now)
	rentals := p.newRentalPlan(now)
	for i := range demands {
		rentals.serve(&demands[i])
	}
	stop, again := p.drain(demands, now)
	for _, m := range stop {
		p.C.SetDrained(m, true)
	}
	for _, m := range again {
		p.C.SetDrained(m, false)
	}
	return rentals.requests(), p.Idle(now)
}

// offer is what to rent for a demand: work of the first rank at any price.
func (p *Planner) offer(d *demand, left int, zoneN map[string]int, now micro.Time) *bin {
	b := p.choose(d, left, zoneN, true, now)
	if b == nil && d.level == 0 {
		b = p.choose(d, left, zoneN, false, now)
	}
	return b
}

// cutOff lists the zones that are out of reach. What is rented there reports to
// nobody until the cut ends: tasks that were killed in such a zone once waited while
// machines were rented there again and again.
func (p *Planner) cutOff() map[string]bool {
	out := map[string]bool{}
	for zone := range p.C.Away {
		if !p.C.ZoneReachable(zone) {
			out[zone] = true
		}
	}
	return out
}

// atOnce is how much of an offer may be asked for at a time.
func (p *Planner) atOnce(o Offer) int {
	if p.Dry[o] > 0 {
		return maxAsk
	}
	return maxOffer
}

// readyFactor is how much longer rented machines are kept where readiness wins.
const readyFactor = 6

// Idle lists rented machines that nobody has needed for a while.
func (p *Planner) Idle(now micro.Time) []*model.Machine {
	var out []*model.Machine
	after := p.Props.IdleReturn
	if !p.thrifty() {
		after *= readyFactor
	}
	for _, m := range p.C.List() {
		if m.State != model.Up || m.Foreign || m.Base || len(m.Places) > 0 || m.Reserve != nil || m.NoticeAt != 0 {
			continue
		}
		if m.Drained {
			out = append(out, m)
			continue
		}
		keep := after
		if p.thrifty() && m.Type != nil && m.Type.GPUs > 0 {
			keep /= 2 // the dearest; those that are expected to be needed are wanted
		}
		if now-m.IdleSince > keep && now-m.Wanted > 5*micro.Second {
			out = append(out, m)
		}
	}
	return out
}
