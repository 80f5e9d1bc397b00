package sched

import (
	"math/rand/v2"
	"sort"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// Placer places tasks on machines.
type Placer struct {
	C     *model.Cluster
	Goals *Goals
	Props *config.Properties
	Rand  *rand.Rand
	// Affordable says whether a job may sit on machines of a type and kind;
	// nil: always.
	Affordable func(j *model.Job, t *model.Type, spot bool, now micro.Time) bool
	// Busy is set while passes take too long. With many tasks waiting, each row
	// of like machines is then looked at in samples.
	Busy bool

	Looked     int // machines looked at, for tests and metrics
	sampling   bool
	leeway     leeway
	reserved   map[*model.Machine]bool
	gatherings map[*model.Job]gathering
	sizes      map[string]int // the most tasks that a class's jobs have
	headroom   []gpuHeadroom  // machines kept clear for GPU jobs, as this pass finds them
}

// room is what a plan has taken of a machine beyond what places hold.
type room = model.Room

func need(s *wire.Job, t *model.Type) room {
	return room{CPU: s.CPUs, GPU: s.GPUs, Mem: s.MemoryGB, Scaled: Scaled(s.CPUs, t.K, t.CPUs)}
}

func (b blocked) add(j *model.Job, late bool) {
	if (j.Spec.OneZone || j.Spec.Spread) && j.HeldN > 0 || len(j.FailedOn) > 0 {
		return // it alone may have found no room
	}
	k, a := keyOf(j, late)
	b[k] = append(b[k], a)
}

// tasks places a job's independent tasks one by one. Late ones take what room
// there is.
func (p *Placer) tasks(j *model.Job, late bool, now micro.Time) (placed int, none bool) {
	for {
		open := j.Openings(now)
		j.HeldBack = open == 0 && p.findsRoom(j, now)
		next := j.Next(now, min(placeBatch, open)) // not all of a huge job at once
		if len(next) == 0 {
			return placed, false
		}
		for k, i := range next {
			if !allows(j, 1) {
				return placed, false
			}
			m := p.pick(j, nil, nil, "", true, p.steady(j, i, now), now)
			if m == nil && late {
				m = p.pickLate(j, nil, nil, "", now)
			}
			if m == nil {
				coming := j.Level < 3 && p.preempt(j, next[k:], "", now)
				if !coming && j.Level == 0 {
					// Dear room is better than none for the first rank.
					m = p.pick(j, nil, nil, "", false, false, now)
				}
				if m == nil {
					return placed, true
				}
			}
			p.put(j, i, m, j.Tasks[i].Attempt+1, now)
			placed++
		}
	}
}

// findsRoom reports whether there is room for one more of the job's tasks.
func (p *Placer) findsRoom(j *model.Job, now micro.Time) bool {
	return allows(j, 1) && p.pick(j, nil, nil, "", true, false, now) != nil
}

// allows reports whether the team's limits leave room for n more of a job's
// tasks, and are not being saved up for another of its jobs.
func allows(j *model.Job, n int) bool {
	t := j.Team
	if t == nil {
		return true
	}
	if o := t.Saving; o != nil && o != j && j.Level > 0 && (o.Spec.GPUs > 0 && j.Spec.GPUs > 0 || t.CPUsMax > 0) {
		return false
	}
	return t.Allows(j.Spec.CPUs, j.Spec.GPUs, n)
}

// placeBatch is how many tasks of a job are looked at together.
const placeBatch = 32

func (p *Placer) put(j *model.Job, i int, m *model.Machine, attempt uint32, now micro.Time) {
	scaled := Scaled(j.Spec.CPUs, m.Type.K, m.Type.CPUs)
	gathered, since := m.Reserve == j && m.Gathered, m.ReserveAt
	p.noteTaken(j, m)
	pl := p.C.NewPlace(j, i, m, attempt, scaled, now)
	if gathered {
		p.handOn(m, j, since, now)
	}
	pl.Last = m.Avoid > now
	j.Class.Placed = now
	if j.Team != nil {
		j.Team.Placed = now
	}
	if p.C.Verbose {
		p.C.Log("place", "task", wire.TaskName(j.Spec.ID, i), "try", attempt, "machine", m.Name,
			"score", Score(j.Spec.CPUs, m.Type.K, p.Props.ScoreL1, p.Props.ScoreL2), "room_left", m.Type.CPUs-m.UsedScaled)
	}
}

// gang places all of a gang's tasks or none.
func (p *Placer) gang(j *model.Job, late bool, now micro.Time) (placed int, none bool) {
	n := len(j.Tasks)
	if j.HeldN > 0 || j.Waiting() < n {
		return 0, false
	}
	if !allows(j, n) {
		return 0, false
	}
	idx := j.Next(now, n)
	if len(idx) < n {
		return 0, false
	}
	zones := p.zonesFor(j)
	chosen := p.together(j, n, zones, false, now)
	if chosen == nil && late {
		chosen = p.together(j, n, zones, true, now)
	}
	if chosen != nil {
		try := j.GangTry + 1
		for i := range j.Tasks {
			try = max(try, j.Tasks[i].Attempt+1)
		}
		j.GangTry = try
		for k, i := range idx {
			p.put(j, i, chosen[k], try, now)
		}
		return n, false
	}
	for _, z := range zones {
		if p.preempt(j, idx, z, now) {
			break
		}
	}
	return 0, true
}

// together chooses machines for n tasks at once, in one of the zones.
func (p *Placer) together(j *model.Job, n int, zones []string, late bool, now micro.Time) []*model.Machine {
	for _, z := range zones {
		extra, zoneN := map[*model.Machine]*room{}, map[string]int{}
		chosen := make([]*model.Machine, 0, n)
		for len(chosen) < n {
			m := p.pick(j, extra, zoneN, z, true, false, now)
			if m == nil && late {
				m = p.pickLate(j, extra, zoneN, z, now)
			}
			if m == nil {
				break
			}
			p.reserve(extra, zoneN, j, m)
			chosen = append(chosen, m)
		}
		if len(chosen) == n {
			return chosen
		}
	}
	return nil
}

// zonesFor lists the zones to try one by one, "" for all at once.
func (p *Placer) zonesFor(j *model.Job) []string {
	if !j.Spec.OneZone {
		return []string{""}
	}
	var out []string
	seen := map[string]bool{}
	for _, pool := range p.C.Pools {
		if pool.N > 0 && pool.Zone != "" && !seen[pool.Zone] && Allowed(&j.Spec, pool.Type, pool.Zone, pool.Spot) {
			seen[pool.Zone] = true
			out = append(out, pool.Zone)
		}
	}
	sort.Strings(out)
	return out
}

func (p *Placer) reserve(extra map[*model.Machine]*room, zoneN map[string]int, j *model.Job, m *model.Machine) {
	r := extra[m]
	if r == nil {
		r = &room{}
		extra[m] = r
	}
	r.Add(need(&j.Spec, m.Type), 1)
	zoneN[m.Zone]++
}
