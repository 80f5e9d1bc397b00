package scale

import (
	"math"
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/wire"
)

// demand is a number of like tasks that need room.
type demand struct {
	job   *model.Job // nil: headroom
	spec  *wire.Job
	n     int
	late  micro.Time
	level int

	within func(Offer) bool // the offers that serve it; nil: all that its job allows
}

// allows reports whether a machine of an offer could run the demand's tasks.
func (d *demand) allows(t *model.Type, zone string, spot bool) bool {
	return sched.Allowed(d.spec, t, zone, spot) && (d.within == nil || d.within(Offer{t.Name, zone, spot}))
}

// served tells the offers that help a job: those of shares only if it can still be
// assigned to one as a whole. A service with one replica in place once had machines
// rented into a share, again and again, for the other.
func (p *Planner) served(j *model.Job) func(Offer) bool {
	if j.Untouched() {
		return nil
	}
	return p.Own
}

// ShareDemand is a number of tasks that wait for room in a share of the machines, which
// another controller owns.
type ShareDemand struct {
	Job    *model.Job
	Tasks  int
	Within func(Offer) bool // the offers whose machines are in the share
}

// demands lists the tasks that found no room, and the headroom that is short.
func (p *Planner) demands(now micro.Time) []demand {
	var out []demand
	first := map[*model.Class]int{} // tasks of the first rank that wait
	quota := map[*model.Team][2]float64{}
	jobs := make([]*model.Job, 0, len(p.C.Pending))
	for j := range p.C.Pending {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Spec.ID < jobs[b].Spec.ID })
	for _, j := range jobs {
		if j.NotBefore > now+10*micro.Second && j.Paused(now) {
			continue
		}
		n := j.Demand(now)
		if n == 0 {
			continue
		}
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
		out = append(out, demand{job: j, spec: &j.Spec, n: n, late: late, level: j.Level, within: p.served(j)})
		if j.Level == 0 {
			first[j.Class] += n
		}
	}
	if p.Shares != nil {
		for _, s := range p.Shares() {
			out = append(out, demand{job: s.Job, spec: &s.Job.Spec, n: s.Tasks, late: p.Goals.LatestStart(s.Job, now), level: s.Job.Level, within: s.Within})
		}
	}
	out = append(out, p.spares(first, now)...)
	out = append(out, p.headroom(now)...)
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].level != out[b].level {
			return out[a].level < out[b].level
		}
		return out[a].late < out[b].late
	})
	return out
}

// spareShare is how much more room than it needs is rented for work of the first
// rank that is wanted sooner than machines boot: boots take 0.6 to 1.5 times as
// long as they should, and with spares the quickest of them are enough.
const spareShare = 0.5

func (p *Planner) spares(first map[*model.Class]int, now micro.Time) []demand {
	var out []demand
	for cl, n := range first {
		quick, boot := p.Goals.Quick(cl.Name), p.bootOf(cl.Last)
		if quick > 0 && quick < boot {
			spec := *cl.Last
			out = append(out, demand{spec: &spec, n: int(math.Ceil(spareShare * float64(n))), late: now + boot, within: p.Own})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].spec.Class < out[b].spec.Class })
	return out
}

// patience is how long a job with time in hand waits for room to come free
// before room is rented for it.
const patience = 8 * micro.Second

func (p *Planner) pressing(j *model.Job, late, now micro.Time) bool {
	if now-j.Since > patience {
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

// guaranteed reports whether any team is guaranteed GPUs.
func (p *Planner) guaranteed() bool {
	for _, t := range p.C.Teams {
		if t.GPUs > 0 {
			return true
		}
	}
	return false
}

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
		if g := p.Goals.Guarantee(); g > 0 && cl.Last.GPUs > 0 && p.guaranteed() {
			quick = min(quick, g)
		}
		boot := p.bootOf(cl.Last)
		prompt := boot*3/2 + bootMargin
		if quick >= prompt+p.fetchOf(cl)*4/3 {
			continue // a machine rented then is ready in time
		}
		ratio := p.ratio(nil, now)
		expected := cl.ArrivalRate(now) * boot.Seconds()
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
			out = append(out, demand{spec: &spec, n: want - have, late: now + boot, level: level, within: p.Own})
		}
	}
	return out
}
