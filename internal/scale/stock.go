package scale

import (
	"maps"
	"math"
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/wire"
)

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

// expectFactor is how many of a type's boot times a machine may take and still
// count as room to come; beyond it another is rented.
const expectFactor = 1.6

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

// take puts up to n of a demand's tasks into the stock of the zones that are cut off,
// or of the others, and says how many fit.
func (s *stock) take(d *demand, n int, zoneN map[string]int, cut map[string]bool, beyond bool) int {
	takes := d.takes()
	took := 0
	for _, g := range s.groups {
		if took == n {
			break
		}
		if cut[g.Zone] != beyond || g.empty == 0 && len(g.parts) == 0 || !d.allows(g.typ, g.Zone, g.Spot) {
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

// comesFree is how many of n tasks fit on running machines by a time; it takes
// what it counts. Room in a zone where the job may have no more is none: a spread
// service once waited for good for room beside its own tasks, since as much of it
// was about to come free, and nothing was rented in the other zone.
func comesFree(running []*bin, d *demand, n int, zoneN map[string]int, at micro.Time) int {
	soon := 0
	taken := map[string]int{}
	for _, b := range running {
		if soon == n {
			break
		}
		if !d.allows(b.typ, b.zone, b.spot) || d.bound(b.zone) {
			continue
		}
		v := b.by(at)
		if k := min(n-soon, v.fits(d.spec), zoneRoom(d, b.zone, zoneN)-taken[b.zone]); k > 0 {
			b.take(d.spec, k)
			taken[b.zone] += k
			soon += k
		}
	}
	return soon
}

// bound reports whether the demand's job must be in one zone and holds places in
// another than the given one.
func (d *demand) bound(zone string) bool {
	if d.job == nil || !d.spec.OneZone {
		return false
	}
	for z, n := range d.job.ZoneHeld {
		if n > 0 && z != zone {
			return true
		}
	}
	return false
}

// late reports whether a machine takes longer to come up than it may to count as
// room to come.
func late(m *model.Machine, now micro.Time) bool {
	return now-m.Rented > micro.Time(float64(micro.Of(m.Type.BootS))*expectFactor)+2*micro.Second
}

// lateFor is for how long an offer is left out whose machines did not come up: once
// they are returned nothing else tells.
const lateFor = 2 * micro.Minute

// lateMachines is how many machines of an offer must be late for that: one alone
// may take several times as long as its type.
const lateMachines = 2

// watchBoots notes the offers most of whose machines did not come up in time. While
// there are other offers these are not asked for: replaced by their like, a class's
// machines failed to boot one wave after the other, and its work waited for as long
// as its cheapest offer did not work.
func (p *Planner) watchBoots(now micro.Time) {
	missing, up := map[Offer]int{}, map[Offer]int{}
	for _, m := range p.C.List() {
		o := Offer{m.TypeName, m.Zone, m.Spot}
		switch {
		case m.Type == nil:
		case m.State == model.Up:
			up[o]++
		case m.State == model.Unheard && len(m.Places) == 0 && late(m, now):
			missing[o]++
		}
	}
	for o, n := range missing {
		if n >= lateMachines && n > up[o] {
			p.lateUntil[o] = now + lateFor
		}
	}
	maps.DeleteFunc(p.lateUntil, func(_ Offer, until micro.Time) bool { return until <= now })
}

// coming lists the room of machines that are expected to come up.
func (p *Planner) coming(now micro.Time) *stock {
	out := &stock{by: map[Offer]*group{}}
	for _, m := range p.C.List() {
		if m.State != model.Unheard || m.Type == nil || m.ListState == wire.MachineFailed || len(m.Places) > 0 {
			continue
		}
		if late(m, now) {
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
