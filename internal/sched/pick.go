package sched

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// Allowed reports whether the job may use machines of a type, zone and kind.
func Allowed(s *wire.Job, typ *model.Type, zone string, spot bool) bool {
	if spot && !s.Spot || s.Zone != nil && *s.Zone != zone {
		return false
	}
	if typ == nil || s.CPUs > typ.CPUs+eps || s.GPUs > typ.GPUs+eps || s.MemoryGB > typ.MemoryGB+eps {
		return false
	}
	if s.Types == nil {
		return true
	}
	for _, t := range s.Types {
		if t == typ.Name {
			return true
		}
	}
	return false
}

// ZoneOK checks one-zone and spread rules against every place still taken.
func ZoneOK(j *model.Job, zone string, zoneN map[string]int) bool {
	if j.Spec.OneZone {
		for z, n := range j.ZoneHeld {
			if n > 0 && z != zone { // also where the zone is not known
				return false
			}
		}
	}
	// A place in a zone that is not known may be in this one.
	if j.Spec.Spread && j.ZoneHeld[zone]+j.ZoneHeld[""]+zoneN[zone]+1 > (len(j.Tasks)+1)/2 {
		return false
	}
	return true
}

const eps = 1e-9

// fits checks the scaled request, which guides, and the raw one, which the
// worker enforces.
func fits(w room, m *model.Machine, taken *room, freed room) bool {
	var x room
	if taken != nil {
		x = *taken
	}
	t := m.Type
	return m.UsedScaled+x.Scaled-freed.Scaled+w.Scaled <= t.CPUs+eps &&
		m.UsedCPU+x.CPU-freed.CPU+w.CPU <= t.CPUs+eps &&
		m.UsedGPU+x.GPU-freed.GPU+w.GPU <= t.GPUs+eps &&
		m.UsedMem+x.Mem-freed.Mem+w.Mem <= t.MemoryGB+eps
}

// yieldFactor is how many save times an objective on starting must leave.
const yieldFactor = 8

// spares reports whether a job without GPUs leaves a GPU machine room for the
// GPU jobs seen so far: a GPU that lacks CPUs beside it serves nobody. Work that
// can save, and yields to the GPU jobs' rank well within the time they have to
// start, may use the room meanwhile.
func (p *Placer) spares(j *model.Job, m *model.Machine) bool {
	if j.Spec.GPUs > 0 || m.Type.GPUs == 0 {
		return true
	}
	for _, cl := range p.C.Classes {
		s := cl.Last
		if s == nil || s.GPUs <= 0 || !Allowed(s, m.Type, m.Zone, m.Spot) {
			continue
		}
		quick := p.Goals.Quick(cl.Name)
		yields := j.Level > s.Priority.Level() && j.Spec.CheckpointS > 0 && (quick == 0 || quick > yieldFactor*micro.Of(j.Spec.SaveS))
		if yields && !p.isHeadroom(j, m, cl) {
			continue
		}
		n := float64(int((m.Type.GPUs - m.UsedGPU) / s.GPUs))
		if n > 0 && (m.Type.CPUs-m.UsedCPU-j.Spec.CPUs < n*s.CPUs-eps || m.Type.MemoryGB-m.UsedMem-j.Spec.MemoryGB < n*s.MemoryGB-eps) {
			return false
		}
	}
	return true
}

// grade ranks what all machines of a pool share: the exceptions' tier, then the
// design's score.
type grade struct {
	tier  int
	score float64
}

func (g grade) over(o grade) bool {
	if g.tier != o.tier {
		return g.tier < o.tier
	}
	return g.score > o.score
}

func (p *Placer) grade(s *wire.Job, pool *model.Pool, steady bool) grade {
	g := grade{score: Score(s.CPUs, pool.Type.K, p.Props.ScoreL1, p.Props.ScoreL2)}
	if g.score == 0 {
		g.tier += 8
	}
	if s.GPUs == 0 && pool.Type.GPUs > 0 {
		g.tier += 4
	}
	if s.Spot && pool.Spot == steady {
		g.tier++
	}
	return g
}

// steady reports whether a task should rather run on an ordinary machine, though
// its job may use spot ones: what it does is lost with the machine, and it was
// lost before, or could not be done twice in time. Tasks that were lost went back
// to spot machines and were lost again, and with them arrays of a hundred tasks
// were late.
func (p *Placer) steady(j *model.Job, i int, now micro.Time) bool {
	return j.Spec.Spot && j.Spec.CheckpointS == 0 && (j.Tasks[i].Attempt > 0 || !p.Goals.Twice(j, now))
}

// candidate is the best machine so far.
type candidate struct {
	m     *model.Machine
	left  float64
	image bool
	whole bool // the task takes a whole machine, and its image takes long
}

// longFetch is how long an image takes that is worth looking for.
const longFetch = 4 * micro.Second

// takesWhole reports whether a task takes all GPUs of a machine, so that how
// tightly it fits is of no use to anyone, while its image would take long.
func takesWhole(s *wire.Job, t *model.Type) bool {
	return s.GPUs > 0 && s.GPUs >= t.GPUs-eps && s.ImageGB > longFetch.Seconds()*t.FetchGBPerS
}

// over decides ties of the score: the least scaled room left, then a machine
// that has the image, then the one created first. For tasks that take a whole
// machine the image comes before the room.
func (c *candidate) over(o *candidate) bool {
	switch {
	case o.m == nil:
		return true
	case c.whole && o.whole && c.image != o.image:
		return c.image
	case c.left < o.left-eps || c.left > o.left+eps:
		return c.left < o.left
	case c.image != o.image:
		return c.image
	}
	return c.m.Name < o.m.Name
}

// pick chooses the machine for one task: the design's score decides, ties go to
// the least scaled room left. Exceptions come first: machines whose GPUs or
// ordinary kind others need are looked at after the rest, and a machine of
// score 0 last. The score is the same for all machines of a pool, whose rows
// are in order of room: the first row that has a machine with room holds the
// pool's tightest fit.
func (p *Placer) pick(j *model.Job, extra map[*model.Machine]*room, zoneN map[string]int, zone string, thrift, steady bool, now micro.Time) *model.Machine {
	var best candidate
	var bestGrade grade
	for _, pool := range p.C.Pools {
		w := need(&j.Spec, pool.Type)
		from := int(w.Scaled - eps)
		if pool.N == 0 || from >= pool.Rows() || zone != "" && pool.Zone != zone || !Allowed(&j.Spec, pool.Type, pool.Zone, pool.Spot) {
			continue
		}
		g := p.grade(&j.Spec, pool, steady)
		if best.m != nil && bestGrade.over(g) {
			continue
		}
		if !ZoneOK(j, pool.Zone, zoneN) || thrift && p.leeway == ordinary && p.Affordable != nil && !p.Affordable(j, pool.Type, pool.Spot, now) {
			continue
		}
		c := p.tightest(j, pool, w, from, extra, now)
		for m, r := range extra { // their rows do not know what the plan took
			if m.Type == pool.Type && m.Zone == pool.Zone && m.Spot == pool.Spot && p.may(j, m, now) && fits(w, m, r, room{}) {
				if x := p.candidate(j, m, w, r.Scaled); x.over(&c) {
					c = x
				}
			}
		}
		if c.m != nil && (best.m == nil || g.over(bestGrade) || c.over(&best)) {
			best, bestGrade = c, g
		}
	}
	return best.m
}

func (p *Placer) candidate(j *model.Job, m *model.Machine, w room, taken float64) candidate {
	return candidate{m, m.Type.CPUs - m.UsedScaled - taken - w.Scaled, m.HasImage(j.Spec.Image), takesWhole(&j.Spec, m.Type)}
}

// tightest finds the machine of a pool with the least room left.
func (p *Placer) tightest(j *model.Job, pool *model.Pool, w room, from int, extra map[*model.Machine]*room, now micro.Time) candidate {
	var best candidate
	for r := from; r < pool.Rows(); r++ {
		list := pool.Row(r)
		n, at := len(list), 0
		if p.sampling && n > p.Props.SampleSize {
			// A full search for each task would cost more than the better fit
			// among like machines is worth.
			n, at = p.Props.SampleSize, p.Rand.IntN(len(list))
		}
		for k := range n {
			m := list[(at+k)%len(list)]
			p.Looked++
			if !fits(w, m, nil, room{}) || len(extra) > 0 && extra[m] != nil || !p.may(j, m, now) {
				continue
			}
			if c := p.candidate(j, m, w, 0); c.over(&best) {
				best = c
			}
		}
		if best.m != nil && (best.image || !best.whole) {
			break
		}
	}
	return best
}

// may reports whether a machine of a suitable pool may take the job's tasks.
func (p *Placer) may(j *model.Job, m *model.Machine, now micro.Time) bool {
	return p.C.Reachable(m) && !p.avoids(j, m, now) && !p.keeps(j, m, now) && (p.leeway >= keptRoom || p.spares(j, m))
}

// avoids reports whether a machine is avoided, or the job failed on it and there
// are others. As a last resort it is tried again, but not soon after it last
// failed, and by one job first: one that is really faulty would fail the tasks of
// all that wait.
func (p *Placer) avoids(j *model.Job, m *model.Machine, now micro.Time) bool {
	if p.leeway >= avoided {
		return m.FaultAt > 0 && (now-m.FaultAt < lateAfter || onTrial(j, m, now))
	}
	return m.Avoid > now || j.FailedOn[m.Name] && len(j.FailedOn) < len(p.C.Machines)/2
}

// trialFor is how long a job's tasks must have been on an avoided machine before
// others follow.
const trialFor = 15 * micro.Second

// onTrial reports whether another job tries an avoided machine, and has not done so
// for long enough to tell.
func onTrial(j *model.Job, m *model.Machine, now micro.Time) bool {
	tried := false
	for _, v := range m.Places {
		if !v.Last || v.Job == j {
			continue
		}
		if now-v.Planned >= trialFor {
			return false
		}
		tried = true
	}
	return tried
}

// keeps reports whether a machine is kept for another job. Reservations follow
// one another; room that none of them used for long is open to late work.
func (p *Placer) keeps(j *model.Job, m *model.Machine, now micro.Time) bool {
	return m.Reserve != nil && m.Reserve != j && closed(m, j) && (p.leeway < keptRoom || now-m.HeldFrom < lateAfter)
}

// closed reports whether a machine reserved for another job is closed to this
// one: one that is being cleared by preemption to its rank and those below, one
// that is gathered for work that waited long to all but the first rank.
func closed(m *model.Machine, j *model.Job) bool {
	r := m.Reserve
	if r.State != model.Active {
		return false
	}
	return r.Level <= j.Level || m.Gathered && j.Level > 0
}
