// Package scale decides what to rent and what to return, from the queue, the
// objectives and the prices. It reads no clock and does no I/O.
package scale

import (
	"math"
	"sort"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/wire"
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
}

// Planner remembers what the cloud refused and what is under way.
type Planner struct {
	C       *model.Cluster
	Goals   *sched.Goals
	Props   *config.Properties
	Refused map[Offer]micro.Time // until when not to ask again
	Dry     map[Offer]int        // refusals in a row
	Asked   map[string]Ask       // rentals without an answer yet, by request

	own bool // operators keep machines of their own, by the last plan
}

// bin is a machine's free room in a plan.
type bin struct {
	typ           *model.Type
	zone          string
	spot          bool
	cpu, gpu, mem float64
	offer         Offer
	frees         []release // room that running tasks are expected to give back
}

// release is room that comes free at a time.
type release struct {
	at            micro.Time
	cpu, gpu, mem float64
}

// by is the bin as it will be at a time.
func (b *bin) by(at micro.Time) bin {
	v := *b
	for _, r := range b.frees {
		if r.at <= at {
			v.cpu += r.cpu
			v.gpu += r.gpu
			v.mem += r.mem
		}
	}
	return v
}

func (b *bin) fits(s *wire.Job) int {
	if !sched.Allowed(s, b.typ, b.zone, b.spot) {
		return 0
	}
	return b.room(s)
}

// room is how many tasks the bin has room for, allowed or not.
func (b *bin) room(s *wire.Job) int {
	n := math.MaxInt32
	lim := func(free, need float64) {
		if need > 0 {
			n = min(n, int(free/need+1e-9))
		}
	}
	lim(b.cpu, max(s.CPUs, sched.Scaled(s.CPUs, b.typ.K, b.typ.CPUs)))
	lim(b.gpu, s.GPUs)
	lim(b.mem, s.MemoryGB)
	return max(n, 0)
}

func (b *bin) take(s *wire.Job, n int) {
	b.cpu -= float64(n) * max(s.CPUs, sched.Scaled(s.CPUs, b.typ.K, b.typ.CPUs))
	b.gpu -= float64(n) * s.GPUs
	b.mem -= float64(n) * s.MemoryGB
}

func newBin(t *model.Type, zone string, spot bool) *bin {
	return &bin{typ: t, zone: zone, spot: spot, cpu: t.CPUs, gpu: t.GPUs, mem: t.MemoryGB}
}

// demand is a number of like tasks that need room.
type demand struct {
	job   *model.Job // nil: headroom
	spec  *wire.Job
	n     int
	late  micro.Time
	level int
}

// expectFactor is how many of a type's boot times a machine may take and still
// count as room to come; beyond it another is rented.
const expectFactor = 1.6

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

// group is the room of machines of one offer that are expected to come up.
type group struct {
	Offer
	typ   *model.Type
	all   int        // all its machines
	empty int        // whole machines that the plan has put nothing on
	parts []*bin     // those that it has put something on
	busy  micro.Time // how long what the plan has put on them takes, over all machines
}

// stock is all room that is expected to come up, by offer.
type stock struct {
	groups []*group
	by     map[Offer]*group
}

func (s *stock) group(o Offer, t *model.Type) *group {
	g := s.by[o]
	if g == nil {
		g = &group{Offer: o, typ: t}
		s.by[o] = g
		s.groups = append(s.groups, g)
	}
	return g
}

// zoneRoom is how many more of a demand's tasks a zone may take.
func zoneRoom(d *demand, zone string, zoneN map[string]int) int {
	if d.job == nil || !d.spec.Spread {
		return math.MaxInt32
	}
	j := d.job
	return (len(j.Tasks)+1)/2 - j.ZoneHeld[zone] - j.ZoneHeld[""] - zoneN[zone]
}

// take puts up to n of a demand's tasks into the stock and says how many fit.
func (s *stock) take(d *demand, n int, zoneN map[string]int) int {
	takes := d.takes()
	took := 0
	for _, g := range s.groups {
		if took == n {
			break
		}
		if g.empty == 0 && len(g.parts) == 0 || !sched.Allowed(d.spec, g.typ, g.Zone, g.Spot) {
			continue
		}
		k := g.take(d.spec, min(n-took, zoneRoom(d, g.Zone, zoneN)))
		if per := newBin(g.typ, g.Zone, g.Spot).fits(d.spec); per > 0 {
			g.busy += takes * micro.Time(k) / micro.Time(per)
		}
		zoneN[g.Zone] += k
		took += k
	}
	return took
}

// takes is how long a machine is taken by one of a demand's tasks.
func (d *demand) takes() micro.Time {
	if d.job == nil || d.spec.Kind == wire.Service {
		return forGood
	}
	return sched.Estimate(d.job) + micro.Of(d.spec.ImageGB)
}

// forGood stands for the time that a service takes.
const forGood = 10 * micro.Minute

// turnover is how many of n tasks the machines of the stock could start by a
// time, after what the plan has put on them, on room that is not dear. It takes
// what it counts.
func (s *stock) turnover(d *demand, n int, now, by micro.Time, dear func(*group) bool) int {
	takes := d.takes()
	took := 0
	for _, g := range s.groups {
		per := newBin(g.typ, g.Zone, g.Spot).fits(d.spec)
		if took == n || per == 0 || dear(g) {
			continue
		}
		free := micro.Time(g.all)*(by-now-micro.Of(g.typ.BootS)) - g.busy
		if free <= 0 || takes <= 0 {
			continue
		}
		k := min(n-took, int(free*micro.Time(per)/takes))
		g.busy += takes * micro.Time(k) / micro.Time(per)
		took += k
	}
	return took
}

func (g *group) add(n int) {
	g.all += n
	g.empty += n
}

func (g *group) take(s *wire.Job, n int) int {
	took := 0
	for _, b := range g.parts {
		if k := min(n-took, b.fits(s)); k > 0 {
			b.take(s, k)
			took += k
		}
	}
	per := newBin(g.typ, g.Zone, g.Spot).fits(s)
	for per > 0 && took < n && g.empty > 0 {
		if whole := min(g.empty, (n-took)/per); whole > 0 {
			g.empty -= whole // what is left beside them is not counted on
			took += whole * per
			continue
		}
		b := newBin(g.typ, g.Zone, g.Spot)
		b.take(s, n-took)
		g.empty--
		g.parts = append(g.parts, b)
		took = n
	}
	return took
}

// Plan says what to rent and which machines to return for being idle.
func (p *Planner) Plan(now micro.Time) (asks []Ask, idle []*model.Machine) {
	p.own = p.hasOwn()
	coming := p.coming(now)
	var running []*bin
	demands := p.demands(now)
	thrifty, bill := p.thrifty(), p.bill()
	rented, class := map[Offer]int{}, map[Offer]string{}
	open := map[Offer]int{} // asked for and not answered
	for _, a := range p.Asked {
		open[a.Offer] += a.Count
	}
	var order []Offer
	total := 0
	for i := range demands {
		d := &demands[i]
		zoneN := map[string]int{}
		left := d.n - coming.take(d, d.n, zoneN)
		soon := 0
		if left > 0 && d.level > 0 && thrifty {
			// A dear machine would take this long to start the work: room that
			// comes free by then makes it a waste.
			if running == nil {
				running = p.running(now)
			}
			soon = comesFree(running, d.spec, left, now+p.readyIn(d.spec)/2)
		}
		waited := false
		for left > 0 && total < maxNew {
			b := p.choose(d, left, zoneN, true, now)
			if b == nil && d.level == 0 {
				b = p.choose(d, left, zoneN, false, now) // at any price
			}
			if b == nil {
				break
			}
			if left <= soon && priceOf(b.offer, b.typ) > p.Props.SmallShare*bill {
				break
			}
			if thrifty && d.level > 0 && !waited && p.dear(d.spec, b.typ, b.spot, p.Props.DearRatio) {
				// Not for what it cannot help, nor for what can start in time on room
				// that comes free.
				if !p.helps(d, b.typ, now) {
					break
				}
				waited = true
				if running == nil {
					running = p.running(now)
				}
				by := max(min(d.late, now+dearWait), now+p.readyIn(d.spec)/2)
				soon += comesFree(running, d.spec, left-soon, by)
				soon += coming.turnover(d, left-soon, now, by, func(g *group) bool { return p.dear(d.spec, g.typ, g.Spot, p.Props.DearRatio) })
			}
			per := b.fits(d.spec)
			if waited {
				if left <= soon {
					break
				}
				left -= soon
				soon = 0
			}
			want := min(left, zoneRoom(d, b.zone, zoneN))
			n := min((want+per-1)/per, maxNew-total, p.atOnce(b.offer)-open[b.offer]-rented[b.offer])
			if n <= 0 {
				break // its answers first: the next best may not be needed
			}
			if left <= soon || thrifty && soon > 0 {
				n = min(n, max((left-soon+per-1)/per, 1))
			}
			if rented[b.offer] == 0 {
				order = append(order, b.offer)
				class[b.offer] = d.spec.Class
			}
			rented[b.offer] += n
			total += n
			g := coming.group(b.offer, b.typ)
			g.add(n)
			k := g.take(d.spec, min(want, n*per))
			g.busy += d.takes() * micro.Time(k) / micro.Time(per)
			zoneN[b.zone] += k
			left -= k
		}
	}
	for _, o := range order {
		for n := rented[o]; n > 0; n -= maxAsk {
			asks = append(asks, Ask{o, min(n, maxAsk), class[o]})
		}
	}
	return asks, p.idle(now)
}

// atOnce is how much of an offer may be asked for at a time.
func (p *Planner) atOnce(o Offer) int {
	if p.Dry[o] > 0 {
		return maxAsk
	}
	return maxOffer
}

// dearWait is the longest that work waits for room to come free where only dear
// room can be rented.
const dearWait = 3 * micro.Minute

// slowBoot is how many times its type's boot time a machine may well take.
const slowBoot = 1.5

// helps reports whether a machine rented now would let a demand meet an
// objective. Work that has waited very long gets one in any case.
func (p *Planner) helps(d *demand, t *model.Type, now micro.Time) bool {
	if d.job != nil && now-d.job.Submitted > dearWait {
		return true
	}
	ready := now + micro.Of(slowBoot*t.BootS+d.spec.ImageGB/t.FetchGBPerS)
	return d.late >= ready && d.late < now+sched.Distant/2
}

// comesFree is how many of n tasks fit on running machines by a time; it takes
// what it counts.
func comesFree(running []*bin, s *wire.Job, n int, at micro.Time) int {
	soon := 0
	for _, b := range running {
		if soon == n {
			break
		}
		if !sched.Allowed(s, b.typ, b.zone, b.spot) {
			continue
		}
		v := b.by(at)
		if k := min(n-soon, v.fits(s)); k > 0 {
			b.take(s, k)
			soon += k
		}
	}
	return soon
}

// coming lists the room of machines that are expected to come up.
func (p *Planner) coming(now micro.Time) *stock {
	out := &stock{by: map[Offer]*group{}}
	for _, m := range p.C.List() {
		if m.State != model.Unheard || m.Type == nil || m.ListState == wire.MachineFailed || len(m.Places) > 0 {
			continue
		}
		if now-m.Rented > micro.Time(float64(micro.Of(m.Type.BootS))*expectFactor)+2*micro.Second {
			continue
		}
		out.group(Offer{m.TypeName, m.Zone, m.Spot}, m.Type).add(1)
	}
	names := make([]string, 0, len(p.Asked))
	for r := range p.Asked {
		names = append(names, r)
	}
	sort.Strings(names)
	for _, r := range names {
		a := p.Asked[r]
		if t := p.C.Types[a.Type]; t != nil {
			out.group(a.Offer, t).add(a.Count)
		}
	}
	return out
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

// running lists the room of machines that are up, with what is expected to come
// free.
func (p *Planner) running(now micro.Time) []*bin {
	var out []*bin
	for _, m := range p.C.List() {
		if !m.Usable(now) {
			continue
		}
		b := newBin(m.Type, m.Zone, m.Spot)
		b.cpu = m.Type.CPUs - max(m.UsedScaled, m.UsedCPU)
		b.gpu, b.mem = m.Type.GPUs-m.UsedGPU, m.Type.MemoryGB-m.UsedMem
		for _, pl := range m.Places {
			j := pl.Job
			if j == nil || j.Spec.Kind == wire.Service && !pl.Stopping {
				continue
			}
			end := now
			if !pl.Stopping {
				est := sched.Estimate(j)
				end = now + est + micro.Of(j.Spec.ImageGB/m.Type.FetchGBPerS)
				if pl.RunFrom > 0 {
					end = max(pl.RunFrom+est, now+est/4)
				}
			}
			b.frees = append(b.frees, release{end, max(j.Spec.CPUs, pl.Scaled), j.Spec.GPUs, j.Spec.MemoryGB})
		}
		out = append(out, b)
	}
	return out
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

// demands lists the tasks that found no room, and the headroom that is short.
func (p *Planner) demands(now micro.Time) []demand {
	var out []demand
	quota := map[*model.Team][2]float64{}
	jobs := make([]*model.Job, 0, len(p.C.Pending))
	for j := range p.C.Pending {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Spec.ID < jobs[b].Spec.ID })
	for _, j := range jobs {
		if j.NotBefore > now+10*micro.Second {
			continue
		}
		n := j.Waiting()
		if t := j.Team; t != nil {
			q := quota[t]
			if t.CPUsMax > 0 && j.Spec.CPUs > 0 {
				n = min(n, int((t.CPUsMax-t.UsedCPU-q[0])/j.Spec.CPUs+1e-9))
			}
			if t.GPUsMax > 0 && j.Spec.GPUs > 0 {
				n = min(n, int((t.GPUsMax-t.UsedGPU-q[1])/j.Spec.GPUs+1e-9))
			}
			if n <= 0 || j.Spec.Kind == wire.Gang && n < len(j.Tasks) {
				continue
			}
			q[0] += float64(n) * j.Spec.CPUs
			q[1] += float64(n) * j.Spec.GPUs
			quota[t] = q
		}
		late := p.Goals.LatestStart(j, now)
		if !p.pressing(j, late, now) {
			continue
		}
		out = append(out, demand{j, &j.Spec, n, late, j.Level})
	}
	out = append(out, p.headroom(now)...)
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].level != out[b].level {
			return out[a].level < out[b].level
		}
		return out[a].late < out[b].late
	})
	return out
}

// patience is how long a job with time in hand waits for room to come free
// before room is rented for it.
const patience = 8 * micro.Second

func (p *Planner) pressing(j *model.Job, late, now micro.Time) bool {
	if now-j.Submitted > patience {
		return true
	}
	boot := p.bootOf(&j.Spec)
	return late-now < 2*boot+30*micro.Second
}

// bootOf is the shortest boot time among the types that the job may use.
func (p *Planner) bootOf(s *wire.Job) micro.Time {
	best := micro.Time(math.MaxInt64 / 4)
	for _, t := range p.C.Order {
		for _, z := range t.Zones {
			if sched.Allowed(s, t, z, false) {
				best = min(best, micro.Of(t.BootS))
			}
		}
	}
	return best
}

// bootMargin is what may pass beside a machine's boot until a task starts.
const bootMargin = 10 * micro.Second

// fetchOf is how long a class's images take where they are fetched fastest.
func (p *Planner) fetchOf(cl *model.Class) micro.Time {
	best := math.Inf(1)
	for _, t := range p.C.Order {
		for _, z := range t.Zones {
			if sched.Allowed(cl.Last, t, z, true) && t.FetchGBPerS > 0 {
				best = min(best, cl.ImageGB/t.FetchGBPerS)
			}
		}
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return micro.Of(best)
}

// headroom asks for room for the starts expected of classes whose starts are
// wanted sooner than a slowly booting machine is ready. Room that lower ranks hold counts: they
// can be preempted.
func (p *Planner) headroom(now micro.Time) []demand {
	var out []demand
	names := make([]string, 0, len(p.C.Classes))
	for name := range p.C.Classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		cl := p.C.Classes[name]
		quick := p.Goals.Quick(name)
		if cl.Last == nil || quick == 0 {
			continue
		}
		boot := p.bootOf(cl.Last)
		prompt := boot*3/2 + bootMargin
		if quick >= prompt+p.fetchOf(cl)*4/3 {
			continue // a machine rented then is ready in time
		}
		ratio := p.ratio(nil, now)
		expected := Rate(cl.Arrivals, now) * boot.Seconds()
		want := 1 + int(math.Ceil(expected*p.Props.Headroom))
		if quick >= prompt {
			want = int(math.Ceil(expected)) // in time unless the image is to be fetched
		}
		have := 0
		level := cl.Last.Priority.Level()
		for _, m := range p.C.List() {
			if have >= want {
				break
			}
			if !m.Usable(now) || p.thrifty() && cl.Last.GPUs == 0 && m.Type.GPUs > 0 && p.dear(cl.Last, m.Type, m.Spot, ratio) {
				continue // counted on, it would never be returned
			}
			y := m.Yields(level)
			b := bin{typ: m.Type, zone: m.Zone, spot: m.Spot,
				cpu: min(m.Type.CPUs-m.UsedScaled+y.Scaled, m.Type.CPUs-m.UsedCPU+y.CPU),
				gpu: m.Type.GPUs - m.UsedGPU + y.GPU, mem: m.Type.MemoryGB - m.UsedMem + y.Mem}
			if k := b.fits(cl.Last); k > 0 {
				have += k
				m.Wanted = now
			}
		}
		if have < want {
			spec := *cl.Last
			out = append(out, demand{nil, &spec, want - have, now + boot, level})
		}
	}
	return out
}

// Rate is the arrivals a second, robust against a single burst: the mean of the
// middle two of the last four half-minutes.
func Rate(arrivals []micro.Time, now micro.Time) float64 {
	const window = 30 * micro.Second
	var n [4]int
	for _, t := range arrivals {
		if k := (now - t) / window; t <= now && k >= 0 && k < 4 {
			n[k]++
		}
	}
	sort.Ints(n[:])
	return float64(n[1]+n[2]) / 2 / window.Seconds()
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
	return !p.dear(s, t, spot, p.ratio(nil, now))
}

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
	r := p.Props.PriceRatio * 1.4
	if j != nil && now-j.Submitted > longWait {
		if late := p.Goals.LatestStart(j, now); late-now < p.readyIn(&j.Spec)+longWait {
			r *= pressingRatio
		}
	}
	return r
}

// choose finds the offer that costs least per task.
func (p *Planner) choose(d *demand, left int, zoneN map[string]int, thrift bool, now micro.Time) *bin {
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
				if p.Refused[o] > now || !sched.Allowed(d.spec, t, z, spot) {
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
				if best == nil || cost < bestCost {
					b.offer = o
					best, bestCost = b, cost
				}
			}
		}
	}
	return best
}

// readyFactor is how much longer rented machines are kept where readiness wins.
const readyFactor = 6

// idle lists rented machines that nobody has needed for a while.
func (p *Planner) idle(now micro.Time) []*model.Machine {
	var out []*model.Machine
	after := p.Props.IdleReturn
	if !p.thrifty() {
		after *= readyFactor
	}
	for _, m := range p.C.List() {
		if m.State != model.Up || m.Base || len(m.Places) > 0 || m.Reserve != nil || m.NoticeAt != 0 {
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
