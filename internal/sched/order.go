package sched

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// item is a job in the order of a pass.
type item struct {
	j    *model.Job
	guar bool
	hope bool // it can still start in time, or its class is not overloaded
	late micro.Time
}

// Pass places what it can, in order of rank, guarantee and nearness of the
// objective, and reports how many tasks it placed. For work that has waited too
// long and found no room, room is gathered.
func (p *Placer) Pass(now micro.Time) int {
	p.C.MarkGuarantees()
	p.tidy(now)
	p.countHeadroom(now)
	p.collect(now)
	queue := make([]item, 0, len(p.C.Pending))
	waiting := 0
	over := p.overloaded()
	var free map[string]bool
	for j := range p.C.Pending {
		waiting += j.Waiting()
		it := item{j: j, hope: true, guar: j.Guar, late: p.Goals.LatestStart(j, now)}
		if quick := over[j.Class]; quick > 0 {
			it.late = Estimate(j)
			if free == nil {
				free = p.freeImages()
			}
			if !free[j.Spec.Image] {
				it.late += p.fetchTime(&j.Spec) // as good as a longer run
			}
			it.late = now + it.late*micro.Time(len(j.Tasks))
			it.hope = now <= j.Since+quick
			it.guar = it.guar && (p.Goals.guarantee == 0 || now <= j.Since+p.Goals.guarantee)
		}
		queue = append(queue, it)
	}
	sort.Slice(queue, func(a, b int) bool { return before(&queue[a], &queue[b]) })
	p.sampling = p.Busy && waiting > p.Props.SampleAbove
	full := blocked{}
	placed := 0
	var old []*model.Job
	for _, it := range queue {
		j := it.j
		if j.State != model.Active || j.Paused(now) || j.GangStop {
			continue
		}
		if p.starved(j, now) {
			old = append(old, j)
		}
		late := overdue(j, now)
		if full.has(j, late) && !p.gathered(j) {
			continue
		}
		n, none := 0, false
		if j.Spec.Kind == wire.Gang {
			n, none = p.gang(j, late, now)
		} else {
			n, none = p.tasks(j, late, now)
		}
		placed += n
		if none {
			full.add(j, late)
		}
	}
	p.gatherFor(old, len(over) > 0, now)
	return placed
}

func before(x, y *item) bool {
	switch {
	case x.j.Level != y.j.Level:
		return x.j.Level < y.j.Level
	case x.hope != y.hope:
		return x.hope
	case x.guar != y.guar:
		return x.guar
	case x.late != y.late:
		return x.late < y.late
	}
	return x.j.Spec.ID < y.j.Spec.ID
}

// overloaded finds the classes that wait longer than their objective on starting
// allows, with that objective: what waits, over what runs. Taken in the order of
// their latest starts, all their jobs would start just too late; the least
// work first, most start in time. Those that can no longer come after those that can,
// whatever their guarantee: when all teams ask for theirs at once, there may be
// more guaranteed than there is.
func (p *Placer) overloaded() map[*model.Class]micro.Time {
	work := map[*model.Class]micro.Time{}
	for j := range p.C.Pending {
		if j.Spec.Kind == wire.Gang {
			work[j.Class] += Estimate(j) * micro.Time(j.Waiting())
		}
	}
	for cl, w := range work {
		quick := p.Goals.Quick(cl.Name)
		if quick == 0 || w/micro.Time(max(cl.Held, 1)) < quick/overloadPart {
			delete(work, cl)
			continue
		}
		work[cl] = quick
	}
	return work
}

// freeImages lists the images on GPU machines that have room for more than half
// a machine: where a job's image is at hand, it takes the machine for less long.
func (p *Placer) freeImages() map[string]bool {
	out := map[string]bool{}
	for _, pool := range p.C.Pools {
		if pool.Type.GPUs == 0 {
			continue
		}
		for r := int(pool.Type.CPUs / 2); r < pool.Rows(); r++ {
			for _, m := range pool.Row(r) {
				m.EachImage(func(name string) { out[name] = true })
			}
		}
	}
	return out
}

// fetchTime is how long a job's image takes on the machines with GPUs.
func (p *Placer) fetchTime(s *wire.Job) micro.Time {
	var best micro.Time
	for _, t := range p.C.Order {
		if t.GPUs >= s.GPUs && t.FetchGBPerS > 0 {
			if d := micro.Of(s.ImageGB / t.FetchGBPerS); best == 0 || d < best {
				best = d
			}
		}
	}
	return best
}

// overloadPart is the part of the objective at which a class counts as
// overloaded: in good time before it is missed.
const overloadPart = 2

// blocked remembers what found no room in this pass: whatever asks for as much
// or more, under the same rules, finds none either.
type blocked map[blockedKey][]blockedAmount

type blockedKey struct {
	types, zone, class string
	spot, saves        bool
	gpu, late          bool
	oneZone, spread    bool // a gang of one zone finds no room where another does
	level              int
}

type blockedAmount struct {
	cpu, gpu, mem float64
	n             int
}

func keyOf(j *model.Job, late bool) (blockedKey, blockedAmount) {
	s := &j.Spec
	k := blockedKey{class: s.Class, spot: s.Spot, saves: s.CheckpointS > 0, gpu: s.GPUs > 0, late: late, oneZone: s.OneZone, spread: s.Spread, level: j.Level}
	if s.Zone != nil {
		k.zone = *s.Zone
	}
	for _, t := range s.Types {
		k.types += t + " "
	}
	a := blockedAmount{s.CPUs, s.GPUs, s.MemoryGB, 1}
	if s.Kind == wire.Gang {
		a.n = len(j.Tasks)
	}
	return k, a
}

func (b blocked) has(j *model.Job, late bool) bool {
	// Each job of the first rank is tried by itself: one for which room is being
	// cleared must not keep the next from having room cleared too.
	if len(b) == 0 || j.Level == 0 || (j.Spec.OneZone || j.Spec.Spread) && j.HeldN > 0 {
		return false
	}
	k, a := keyOf(j, late)
	for _, x := range b[k] {
		if x.cpu <= a.cpu && x.gpu <= a.gpu && x.mem <= a.mem && x.n <= a.n {
			return true
		}
	}
	return false
}
