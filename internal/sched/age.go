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

// starved reports whether an old job will not be reached in its turn: the
// largest, which what comes free is never enough for, and those of a class or a
// team none of whose tasks has been placed for long.
func (p *Placer) starved(j *model.Job, now micro.Time) bool {
	if !p.aged(j, now) {
		return false
	}
	since := now - p.Props.AgeAfter/2
	return p.large(j) && !j.Started || j.Class.Placed < since || j.Team != nil && j.Team.Placed < since
}

// gatherFor gathers room for the oldest jobs that still wait.
func (p *Placer) gatherFor(old []*model.Job, now micro.Time) {
	others := map[*model.Job]bool{}
	for m := range p.reserved {
		if m.Gathered && m.Reserve != nil {
			others[m.Reserve] = true
		}
	}
	most := min(maxGather, max(len(p.C.Machines)/gatherShare, 1))
	if len(others) >= most || len(old) == 0 {
		return
	}
	sort.Slice(old, func(a, b int) bool {
		if old[a].Submitted != old[b].Submitted {
			return old[a].Submitted < old[b].Submitted
		}
		return old[a].Spec.ID < old[b].Spec.ID
	})
	for _, j := range old {
		if len(others) >= most {
			return
		}
		if others[j] || j.State != model.Active || j.Waiting() == 0 {
			continue
		}
		n := 1
		if j.Spec.Kind == wire.Gang {
			n = len(j.Tasks)
		}
		if t := j.Team; t != nil && !t.Allows(j.Spec.CPUs, j.Spec.GPUs, n) {
			if t.Saving == nil && j.HeldN == 0 {
				// Its smaller jobs would use up each bit of its limit that comes
				// free.
				t.Saving, t.SavingAt = j, now
			}
			continue
		}
		if p.gather(j, n, now) {
			others[j] = true
		}
	}
}

// gathered reports whether machines are reserved for the job.
func (p *Placer) gathered(j *model.Job) bool { return p.reservedFor(j) > 0 }

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
	return now-j.Submitted > after
}

// gather reserves the machines that are soonest free for a job that waited long,
// enough for a gang in one zone, or for one task of another job.
func (p *Placer) gather(j *model.Job, n int, now micro.Time) bool {
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
					if m.Reserve != nil || m.Avoid > now || j.FailedOn[m.Name] {
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
	if len(best) > 0 {
		p.C.Log("gather", "job", j.Spec.ID, "machines", len(best), "in_s", (bestAt - now).Seconds())
	}
	return len(best) > 0
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
