package sched

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// reserveLife is how long a machine that is being cleared stays reserved, and
// gatherLife one that is waited for.
const (
	reserveLife = 20 * micro.Second
	gatherLife  = micro.Minute
)

// heldGap is how soon after a reservation that ended unused the next counts as
// the same hold.
const heldGap = 10 * micro.Second

// saveRest is for how long no team's limit is saved up after it was. Saved up
// again at once, for a job that never got enough, it kept all others of its team
// waiting for ever.
const saveRest = 15 * micro.Second

// Preemption looks at no more machines than this that could make room. Work of
// the first rank clears so many at a time; other arrays one: the work they stop
// has objectives of its own.
const (
	victimSample = 24
	clearAtOnce  = 16
)

// hold reserves a machine for a job.
func (p *Placer) hold(m *model.Machine, j *model.Job, gathered bool, now micro.Time) {
	if p.reserved == nil {
		p.reserved = map[*model.Machine]bool{}
	}
	if m.HeldFrom == 0 || now-m.HeldTo > heldGap {
		m.HeldFrom = now
	}
	m.Reserve, m.ReserveAt, m.Gathered = j, now, gathered
	p.reserved[m] = true
}

// tidy gives up reservations that are used, over or too old.
func (p *Placer) tidy(now micro.Time) {
	for _, t := range p.C.Teams {
		if j := t.Saving; j != nil && (j.State != model.Active || j.Waiting() == 0 || j.HeldN > 0 || now-t.SavingAt > gatherLife) {
			t.Saving, t.SaveAfter = nil, now+saveRest
		}
	}
	for m := range p.reserved {
		r, life := m.Reserve, reserveLife
		if m.Gathered {
			life = gatherLife
		}
		if r != nil && (r.State != model.Active || r.Waiting() == 0 || now-m.ReserveAt > life || !m.Usable(now)) {
			m.Reserve, m.HeldTo = nil, now
		}
		if m.Reserve == nil {
			m.Gathered = false
			delete(p.reserved, m)
		}
	}
}

// reservedFor is how many machines are reserved for a job.
func (p *Placer) reservedFor(j *model.Job) int {
	n := 0
	for m := range p.reserved {
		if m.Reserve == j {
			n++
		}
	}
	return n
}

// preempt stops work of lower rank so that the given tasks fit, if that is
// possible for all of them (for an array: for some), and reports whether room is
// coming.
func (p *Placer) preempt(j *model.Job, idx []int, zone string, now micro.Time) bool {
	coming := p.reservedFor(j)
	gang := j.Spec.Kind == wire.Gang
	if coming >= len(idx) || !gang && coming > 0 {
		return true
	}
	if !gang {
		most := 1
		if j.Level == 0 {
			most = clearAtOnce
		}
		idx = idx[:min(len(idx), most)]
	}
	extra, zoneN := map[*model.Machine]*room{}, map[string]int{}
	freed := map[*model.Machine]*room{}
	chosen := map[*model.Place]bool{}
	var targets []*model.Machine
	for range idx {
		m, victims := p.victims(j, extra, zoneN, freed, chosen, zone, now)
		if m == nil {
			if gang {
				return false
			}
			break
		}
		p.reserve(extra, zoneN, j, m)
		f := freed[m]
		if f == nil {
			f = &room{}
			freed[m] = f
		}
		for _, v := range victims {
			chosen[v] = true
			f.Add(roomOf(v), 1)
		}
		targets = append(targets, m)
	}
	if len(targets) == 0 {
		return false
	}
	for v := range chosen {
		grace := 0.0
		if v.Job.Spec.CheckpointS > 0 {
			// Saving first, unless the start is wanted sooner than that.
			quick := p.Goals.Quick(j.Spec.Class)
			if quick == 0 || quick > 3*micro.Of(v.Job.Spec.SaveS) {
				grace = v.Job.Spec.SaveS
			}
		}
		p.C.Stop(v, "preempted by "+j.Spec.ID, grace, now)
		if v.Job.Spec.Kind == wire.Gang {
			for _, o := range v.Job.AllPlaces() {
				p.C.Stop(o, "preempted with its gang", grace, now)
			}
		}
	}
	for _, m := range targets {
		p.hold(m, j, false, now)
	}
	return true
}

func roomOf(v *model.Place) room {
	s := &v.Job.Spec
	return room{CPU: s.CPUs, GPU: s.GPUs, Mem: s.MemoryGB, Scaled: v.Scaled}
}

// victims finds the machine where making room for one task loses least, among a
// sample of those that could make it.
func (p *Placer) victims(j *model.Job, extra map[*model.Machine]*room, zoneN map[string]int, freed map[*model.Machine]*room, chosen map[*model.Place]bool, zone string, now micro.Time) (*model.Machine, []*model.Place) {
	var best *model.Machine
	var bestVictims []*model.Place
	bestCost, seen := 0.0, 0
	for _, pool := range p.C.Pools {
		if pool.N == 0 || zone != "" && pool.Zone != zone || !Allowed(&j.Spec, pool.Type, pool.Zone, pool.Spot) || !ZoneOK(j, pool.Zone, zoneN) || p.refuses(j, pool, now) {
			continue
		}
		w := need(&j.Spec, pool.Type)
		start := p.Rand.IntN(pool.Rows())
		for k := range pool.Rows() {
			for _, m := range pool.Row((start + k) % pool.Rows()) {
				if seen >= victimSample {
					return best, bestVictims
				}
				if !fits(w, m, extra[m], m.Yields(j.Level)) || m.Reserve != nil && m.Reserve != j || m.Avoid > now || !p.C.Reachable(m) || j.FailedOn[m.Name] {
					continue
				}
				if fits(w, m, extra[m], room{}) && !p.may(j, m, now) {
					continue // its room is refused, not taken
				}
				seen++
				victims, cost, ok := p.clear(j, m, w, extra[m], freed[m], chosen, now)
				if ok && (best == nil || cost < bestCost) {
					best, bestVictims, bestCost = m, victims, cost
				}
			}
		}
	}
	return best, bestVictims
}

// refuses reports whether room is dear for a job that would not take it once it
// is cleared. Machines that stood empty were reserved for such jobs, again and
// again, and closed to all others.
func (p *Placer) refuses(j *model.Job, pool *model.Pool, now micro.Time) bool {
	return (j.Level > 0 || j.Spec.Kind == wire.Gang) && p.Affordable != nil && !p.Affordable(j, pool.Type, pool.Spot, now)
}

// clear lists what must go from a machine for a task to fit.
func (p *Placer) clear(j *model.Job, m *model.Machine, w room, extra, freed *room, chosen map[*model.Place]bool, now micro.Time) (victims []*model.Place, cost float64, ok bool) {
	var f room
	if freed != nil {
		f = *freed
	}
	type cand struct {
		v    *model.Place
		loss float64
	}
	var cands []cand
	for _, v := range m.Places {
		if v.Job == nil || chosen[v] {
			continue
		}
		if v.Stopping {
			f.Add(roomOf(v), 1) // goes anyway
		} else if v.Job.Level > j.Level {
			cands = append(cands, cand{v, p.loss(v, now)})
		}
	}
	sort.Slice(cands, func(a, b int) bool {
		if cands[a].loss != cands[b].loss {
			return cands[a].loss < cands[b].loss
		}
		return cands[a].v.Name < cands[b].v.Name
	})
	for _, c := range cands {
		if fits(w, m, extra, f) {
			break
		}
		victims = append(victims, c.v)
		f.Add(roomOf(c.v), 1)
		cost += c.loss
	}
	return victims, cost, fits(w, m, extra, f)
}

// loss is what stopping a place costs: work that is not saved, weighted by rank.
func (p *Placer) loss(v *model.Place, now micro.Time) float64 {
	lost := 1.0
	if v.RunFrom > 0 {
		ran := (now - v.RunFrom).Seconds()
		if c := v.Job.Spec.CheckpointS; c > 0 {
			ran = min(ran, c)
		}
		lost += ran
		if ran < 30 && p.Goals.Quick(v.Job.Spec.Class) > 0 {
			lost += 60 // its start would not count
		}
	}
	return lost * v.Job.Spec.CPUs * float64(4-min(v.Level(), 3))
}
