package sched

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// reserveLife is how long a machine that is being cleared stays reserved.
const reserveLife = 20 * micro.Second

// preempt stops work of lower rank so that the given tasks fit, if that is
// possible for all of them, and reports whether room is coming.
func (p *Placer) preempt(j *model.Job, idx []int, zone string, now micro.Time) bool {
	coming := 0
	for _, m := range p.C.List() {
		if m.Reserve == nil {
			continue
		}
		if m.Reserve.State != model.Active || now-m.ReserveAt > reserveLife {
			m.Reserve = nil
		} else if m.Reserve == j {
			coming++
		}
	}
	if coming >= len(idx) || j.Spec.Kind != wire.Gang && coming > 0 {
		return true
	}
	extra, zoneN := map[*model.Machine]*room{}, map[string]int{}
	freed := map[*model.Machine]*room{}
	chosen := map[*model.Place]bool{}
	var targets []*model.Machine
	for range idx {
		m, victims := p.victims(j, extra, zoneN, freed, chosen, zone, now)
		if m == nil {
			return false
		}
		p.reserve(extra, zoneN, j, m)
		f := freed[m]
		if f == nil {
			f = &room{}
			freed[m] = f
		}
		for _, v := range victims {
			chosen[v] = true
			addRoom(f, v)
		}
		targets = append(targets, m)
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
		m.Reserve, m.ReserveAt = j, now
	}
	return true
}

func addRoom(f *room, v *model.Place) {
	f.cpu += v.Job.Spec.CPUs
	f.gpu += v.Job.Spec.GPUs
	f.mem += v.Job.Spec.MemoryGB
	f.scaled += v.Scaled
}

// victims finds the machine where making room for one task loses least.
func (p *Placer) victims(j *model.Job, extra map[*model.Machine]*room, zoneN map[string]int, freed map[*model.Machine]*room, chosen map[*model.Place]bool, zone string, now micro.Time) (*model.Machine, []*model.Place) {
	var best *model.Machine
	var bestVictims []*model.Place
	bestCost := 0.0
	for _, m := range p.C.List() {
		if !m.Usable(now) || zone != "" && m.Zone != zone || !Allowed(&j.Spec, m.Type, m.Zone, m.Spot) || !ZoneOK(j, m.Zone, zoneN) {
			continue
		}
		if m.Reserve != nil && m.Reserve != j {
			continue
		}
		if j.FailedOn[m.Name] {
			continue
		}
		var f room
		if freed[m] != nil {
			f = *freed[m]
		}
		var cands []*model.Place
		for _, v := range m.Sorted() {
			if v.Job == nil || chosen[v] {
				continue
			}
			if v.Stopping {
				addRoom(&f, v) // goes anyway
			} else if v.Job.Level > j.Level {
				cands = append(cands, v)
			}
		}
		sort.SliceStable(cands, func(a, b int) bool { return p.loss(cands[a], now) < p.loss(cands[b], now) })
		var victims []*model.Place
		cost := 0.0
		for _, v := range cands {
			if fits(j, m, extra[m], f) {
				break
			}
			victims = append(victims, v)
			addRoom(&f, v)
			cost += p.loss(v, now)
		}
		if !fits(j, m, extra[m], f) {
			continue
		}
		if best == nil || cost < bestCost {
			best, bestVictims, bestCost = m, victims, cost
		}
	}
	return best, bestVictims
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
