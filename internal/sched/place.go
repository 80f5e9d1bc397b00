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

	Looked   int // machines looked at, for tests and metrics
	sampling bool
	reserved map[*model.Machine]bool
	sizes    map[string]int // the most tasks that a class's jobs have
}

// room is what a plan has taken of a machine beyond what places hold.
type room = model.Room

func need(s *wire.Job, t *model.Type) room {
	return room{CPU: s.CPUs, GPU: s.GPUs, Mem: s.MemoryGB, Scaled: Scaled(s.CPUs, t.K, t.CPUs)}
}

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
	queue := make([]item, 0, len(p.C.Pending))
	waiting := 0
	over := p.overloaded()
	for j := range p.C.Pending {
		waiting += j.Waiting()
		it := item{j: j, hope: true, guar: j.Guar, late: p.Goals.LatestStart(j, now)}
		if quick := over[j.Class]; quick > 0 {
			it.late = now + Estimate(j)
			it.hope = now <= j.Submitted+quick
			it.guar = it.guar && (p.Goals.guarantee == 0 || now <= j.Submitted+p.Goals.guarantee)
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
		if j.State != model.Active || j.NotBefore > now || j.GangStop {
			continue
		}
		if p.starved(j, now) {
			old = append(old, j)
		}
		if full.has(j) && !p.gathered(j) {
			continue
		}
		n, none := 0, false
		if j.Spec.Kind == wire.Gang {
			n, none = p.gang(j, now)
		} else {
			n, none = p.tasks(j, now)
		}
		placed += n
		if none {
			full.add(j)
		}
	}
	p.gatherFor(old, now)
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
// their latest starts, all their jobs would start just too late; the shortest
// first, most start in time. Those that can no longer come after those that can,
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

// overloadPart is the part of the objective at which a class counts as
// overloaded: in good time before it is missed.
const overloadPart = 2

// blocked remembers what found no room in this pass: whatever asks for as much
// or more finds none either.
type blocked map[blockedKey][]blockedAmount

type blockedKey struct {
	types, zone, class string
	spot, saves        bool
	gpu                bool
	level              int
}

type blockedAmount struct {
	cpu, gpu, mem float64
	n             int
}

func keyOf(j *model.Job) (blockedKey, blockedAmount) {
	s := &j.Spec
	k := blockedKey{class: s.Class, spot: s.Spot, saves: s.CheckpointS > 0, gpu: s.GPUs > 0, level: j.Level}
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

func (b blocked) has(j *model.Job) bool {
	if len(b) == 0 || (j.Spec.OneZone || j.Spec.Spread) && j.HeldN > 0 {
		return false
	}
	k, a := keyOf(j)
	for _, x := range b[k] {
		if x.cpu <= a.cpu && x.gpu <= a.gpu && x.mem <= a.mem && x.n <= a.n {
			return true
		}
	}
	return false
}

func (b blocked) add(j *model.Job) {
	if (j.Spec.OneZone || j.Spec.Spread) && j.HeldN > 0 || len(j.FailedOn) > 0 {
		return // it alone may have found no room
	}
	k, a := keyOf(j)
	b[k] = append(b[k], a)
}

// tasks places a job's independent tasks one by one.
func (p *Placer) tasks(j *model.Job, now micro.Time) (placed int, none bool) {
	for {
		next := j.Next(now, placeBatch) // not all of a huge job at once
		if len(next) == 0 {
			return placed, false
		}
		for k, i := range next {
			if !allows(j, 1) {
				return placed, false
			}
			m := p.pick(j, nil, nil, "", true, now)
			if m == nil {
				coming := j.Level < 3 && p.preempt(j, next[k:], "", now)
				if !coming && j.Level == 0 {
					// Dear room is better than none for the first rank.
					m = p.pick(j, nil, nil, "", false, now)
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
	p.C.NewPlace(j, i, m, attempt, scaled, now)
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
func (p *Placer) gang(j *model.Job, now micro.Time) (placed int, none bool) {
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
	for _, z := range zones {
		extra, zoneN := map[*model.Machine]*room{}, map[string]int{}
		chosen := make([]*model.Machine, 0, n)
		for range idx {
			m := p.pick(j, extra, zoneN, z, true, now)
			if m == nil {
				break
			}
			p.reserve(extra, zoneN, j, m)
			chosen = append(chosen, m)
		}
		if len(chosen) < n {
			continue
		}
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
		if quick := p.Goals.Quick(cl.Name); j.Level > s.Priority.Level() && j.Spec.CheckpointS > 0 &&
			(quick == 0 || quick > yieldFactor*micro.Of(j.Spec.SaveS)) {
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

func (p *Placer) grade(s *wire.Job, pool *model.Pool) grade {
	g := grade{score: Score(s.CPUs, pool.Type.K, p.Props.ScoreL1, p.Props.ScoreL2)}
	if g.score == 0 {
		g.tier += 8
	}
	if s.GPUs == 0 && pool.Type.GPUs > 0 {
		g.tier += 4
	}
	if s.Spot && !pool.Spot {
		g.tier++
	}
	return g
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
func (p *Placer) pick(j *model.Job, extra map[*model.Machine]*room, zoneN map[string]int, zone string, thrift bool, now micro.Time) *model.Machine {
	var best candidate
	var bestGrade grade
	for _, pool := range p.C.Pools {
		w := need(&j.Spec, pool.Type)
		from := int(w.Scaled - eps)
		if pool.N == 0 || from >= pool.Rows() || zone != "" && pool.Zone != zone || !Allowed(&j.Spec, pool.Type, pool.Zone, pool.Spot) {
			continue
		}
		g := p.grade(&j.Spec, pool)
		if best.m != nil && bestGrade.over(g) {
			continue
		}
		if !ZoneOK(j, pool.Zone, zoneN) || thrift && p.Affordable != nil && !p.Affordable(j, pool.Type, pool.Spot, now) {
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
	if m.Avoid > now || m.Reserve != nil && m.Reserve != j && closed(m, j) {
		return false
	}
	if len(j.FailedOn) > 0 && j.FailedOn[m.Name] && len(j.FailedOn) < len(p.C.Machines)/2 {
		return false
	}
	return p.spares(j, m)
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
