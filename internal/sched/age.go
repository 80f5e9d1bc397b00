package sched

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// Ranks alone would let work of the last rank, and the largest gangs and arrays
// of any, wait for ever behind a stream of other work. So age counts: for those
// that have waited longest, room is gathered, whatever their rank: machines soon
// free take nothing else until they fit. Only a few are gathered for at a time:
// most of the room still goes by rank and objective.

// Room is gathered for at most maxGather jobs at a time, and for no more than
// one to so many machines.
const (
	maxGather   = 4
	gatherShare = 16
)

// The largest jobs should begin within this. Of those for which room is gathered
// the ones that still can come first.
const beginWithin = 225 * micro.Second

// starved reports whether an old job will not be reached in its turn: the
// largest, which what comes free is seldom enough for, and those of a class or a
// team none of whose tasks has been placed for long.
func (p *Placer) starved(j *model.Job, now micro.Time) bool {
	if !p.aged(j, now) {
		return false
	}
	since := now - p.Props.AgeAfter/2
	return p.large(j) && !j.Started || j.Class.Placed < since || j.Team != nil && j.Team.Placed < since
}

// gathering is a job that room is gathered for: machines of a zone as they come
// free, one by one.
type gathering struct {
	zone  string // "": any
	since micro.Time
}

// clearAfter is how long room may be gathered from what comes free by itself.
// After that machines are cleared for the job.
const clearAfter = 15 * micro.Second

// collect reserves what came free for the jobs that room is gathered for.
func (p *Placer) collect(now micro.Time) {
	jobs := make([]*model.Job, 0, len(p.gatherings))
	for j := range p.gatherings {
		if j.State != model.Active || j.Waiting() == 0 || j.Spec.Kind == wire.Gang && j.HeldN > 0 {
			delete(p.gatherings, j)
			continue
		}
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool {
		return p.gatherings[jobs[a]].since < p.gatherings[jobs[b]].since || p.gatherings[jobs[a]].since == p.gatherings[jobs[b]].since && jobs[a].Spec.ID < jobs[b].Spec.ID
	})
	for _, j := range jobs {
		g := p.gatherings[j]
		missing := wants(j) - p.reservedFor(j)
		for _, pool := range p.C.Pools {
			if missing <= 0 || pool.N == 0 || g.zone != "" && pool.Zone != g.zone || !Allowed(&j.Spec, pool.Type, pool.Zone, pool.Spot) || !ZoneOK(j, pool.Zone, nil) {
				continue
			}
			w := need(&j.Spec, pool.Type)
			for r := int(w.Scaled - eps); r < pool.Rows() && missing > 0; r++ {
				for _, m := range pool.Row(r) {
					if missing > 0 && m.Reserve == nil && fits(w, m, nil, room{}) && p.may(j, m, now) {
						p.hold(m, j, true, now)
						missing--
					}
				}
			}
		}
		if now-g.since > clearAfter && p.reservedFor(j) == 0 {
			p.gather(j, wants(j), now)
		}
		if now-g.since > gatherLife {
			delete(p.gatherings, j) // another zone, perhaps
		}
	}
}

// wants is how many places a job needs at once.
func wants(j *model.Job) int {
	if j.Spec.Kind == wire.Gang {
		return len(j.Tasks)
	}
	return 1
}

// gatherFor begins to gather room for the oldest jobs that still wait.
func (p *Placer) gatherFor(old []*model.Job, overloaded bool, now micro.Time) {
	most := min(maxGather, max(len(p.C.Machines)/gatherShare, 1))
	if overloaded {
		// What comes free soon is enough for one at a time, and all else waits
		// for it meanwhile.
		most = 1
	}
	if len(p.gatherings) >= most || len(old) == 0 {
		return
	}
	if p.gatherings == nil {
		p.gatherings = map[*model.Job]gathering{}
	}
	sort.Slice(old, func(a, b int) bool {
		x, y := old[a].Since, old[b].Since
		if late := now - beginWithin; (x < late) != (y < late) {
			return y < late
		}
		if x != y {
			return x < y
		}
		return old[a].Spec.ID < old[b].Spec.ID
	})
	for _, j := range old {
		if len(p.gatherings) >= most {
			return
		}
		if _, ok := p.gatherings[j]; ok || j.State != model.Active || j.Waiting() == 0 {
			continue
		}
		if t := j.Team; t != nil && !t.Allows(j.Spec.CPUs, j.Spec.GPUs, wants(j)) {
			if t.Saving == nil && j.HeldN == 0 && now >= t.SaveAfter {
				// Its smaller jobs would use up each bit of its limit that comes
				// free.
				t.Saving, t.SavingAt = j, now
			}
			continue
		}
		if z, ok := p.zoneToGather(j); ok {
			p.gatherings[j] = gathering{z, now}
			p.C.Log("gather", "job", j.Spec.ID, "places", wants(j), "zone", z)
		}
	}
}

// zoneToGather is the zone with most machines for the job, over what is being
// gathered there already.
func (p *Placer) zoneToGather(j *model.Job) (zone string, ok bool) {
	best := 0.0
	for _, z := range p.zonesFor(j) {
		n := 0
		for _, pool := range p.C.Pools {
			if (z == "" || pool.Zone == z) && Allowed(&j.Spec, pool.Type, pool.Zone, pool.Spot) {
				n += pool.N
			}
		}
		busy := 1
		for _, g := range p.gatherings {
			if g.zone == z {
				busy++
			}
		}
		if x := float64(n) / float64(busy); n >= 1 && x > best {
			zone, best, ok = z, x, true
		}
	}
	return zone, ok
}

// gathered reports whether machines are reserved for the job.
func (p *Placer) gathered(j *model.Job) bool { return p.reservedFor(j) > 0 }

// handOn keeps a machine that was gathered for a job for the next of its class and
// team that none was placed of, as long as it would have been kept for the first: a
// swarm of single tasks got no more than one of them through at a time, once in a
// minute and a half. None is handed on while one machine to gatherShare is held
// already.
func (p *Placer) handOn(m *model.Machine, from *model.Job, since, now micro.Time) {
	held := 0
	for x := range p.reserved {
		if x.Gathered && x.Reserve != nil {
			held++
		}
	}
	if held >= max(len(p.C.Machines)/gatherShare, 1) {
		return
	}
	var next *model.Job
	for j := range p.C.Pending {
		if j.Class != from.Class || j.Team != from.Team || j.Spec.Kind == wire.Gang || j.Started || j.HeldN > 0 || j.Paused(now) || p.reservedFor(j) > 0 ||
			!Allowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			continue
		}
		if next == nil || j.Since < next.Since || j.Since == next.Since && j.Spec.ID < next.Spec.ID {
			next = j
		}
	}
	if next != nil {
		p.hold(m, next, true, now)
		m.ReserveAt = since
	}
}

// large reports whether a job is among the largest of its class.
func (p *Placer) large(j *model.Job) bool {
	if p.sizes == nil {
		p.sizes = map[string]int{}
	}
	n := len(j.Tasks)
	if n > p.sizes[j.Spec.Class] {
		p.sizes[j.Spec.Class] = n
	}
	return n > 1 && 4*n >= 3*p.sizes[j.Spec.Class]
}

// aged reports whether a job has waited too long; the largest wait half as long.
func (p *Placer) aged(j *model.Job, now micro.Time) bool {
	after := p.Props.AgeAfter
	if p.large(j) && !j.Started {
		after /= 2
	}
	return now-j.Since > after
}

// gather reserves the machines that are soonest free for a job that waited long
// and that nothing came free for,
// enough for a gang in one zone, or for one task of another job.
func (p *Placer) gather(j *model.Job, n int, now micro.Time) {
	type spot struct {
		m    *model.Machine
		n    int // tasks it could hold
		free micro.Time
	}
	var best []spot
	var bestAt micro.Time
	for _, z := range p.zonesFor(j) {
		var list []spot
		for _, pool := range p.C.Pools {
			if pool.N == 0 || z != "" && pool.Zone != z || !Allowed(&j.Spec, pool.Type, pool.Zone, pool.Spot) || !ZoneOK(j, pool.Zone, nil) {
				continue
			}
			w := need(&j.Spec, pool.Type)
			for r := range pool.Rows() {
				for _, m := range pool.Row(r) {
					if m.Reserve != nil || m.Avoid > now || !p.C.Reachable(m) || j.FailedOn[m.Name] {
						continue
					}
					if at, k := p.freeAt(w, m, now); k > 0 {
						list = append(list, spot{m, k, at})
					}
				}
			}
		}
		sort.Slice(list, func(a, b int) bool {
			if list[a].free != list[b].free {
				return list[a].free < list[b].free
			}
			return list[a].m.Name < list[b].m.Name
		})
		got, k := 0, 0
		for ; k < len(list) && got < n; k++ {
			got += list[k].n
		}
		if got >= n && (best == nil || list[k-1].free < bestAt) {
			best, bestAt = list[:k], list[k-1].free
		}
	}
	for _, s := range best {
		p.hold(s.m, j, true, now)
	}
}

// freeAt is when a machine is expected to be clear of all but services, and how
// many tasks fit then.
func (p *Placer) freeAt(w room, m *model.Machine, now micro.Time) (micro.Time, int) {
	at := now
	var stays room
	for _, v := range m.Places {
		if v.Job == nil || v.Job.Spec.Kind == wire.Service && !v.Stopping {
			if v.Job != nil {
				stays.Add(roomOf(v), 1)
			}
			continue
		}
		end := now
		if !v.Stopping {
			est := Estimate(v.Job)
			end = now + est
			if v.RunFrom > 0 {
				end = max(v.RunFrom+est, now+est/4)
			}
		}
		at = max(at, end)
	}
	t := m.Type
	n := 1 << 20
	for _, x := range [][2]float64{{t.CPUs - stays.Scaled, w.Scaled}, {t.CPUs - stays.CPU, w.CPU}, {t.GPUs - stays.GPU, w.GPU}, {t.MemoryGB - stays.Mem, w.Mem}} {
		if x[1] > 0 {
			n = min(n, int(x[0]/x[1]+eps))
		}
	}
	return at, max(n, 0)
}
