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
	// Affordable says whether a job may sit on a machine; nil: always.
	Affordable func(*model.Job, *model.Machine, micro.Time) bool
}

// shape is what two tasks share if whatever refuses one refuses the other.
type shape struct {
	cpus, gpus, mem float64
	spot            bool
	zone, types     string
	level           int
	team            string
}

func shapeOf(s *wire.Job) shape {
	sh := shape{cpus: s.CPUs, gpus: s.GPUs, mem: s.MemoryGB, spot: s.Spot, level: s.Priority.Level(), team: s.Team}
	if s.Zone != nil {
		sh.zone = *s.Zone
	}
	for _, t := range s.Types {
		sh.types += t + " "
	}
	return sh
}

// Pass places what it can, in order of rank, guarantee and nearness of the
// objective, and reports how many tasks it placed.
func (p *Placer) Pass(now micro.Time) int {
	type item struct {
		j    *model.Job
		guar bool
		late micro.Time
	}
	queue := make([]item, 0, len(p.C.Pending))
	waiting := 0
	for j := range p.C.Pending {
		waiting += j.Waiting()
		queue = append(queue, item{j, j.Guaranteed(), p.Goals.LatestStart(j, now)})
	}
	sort.Slice(queue, func(a, b int) bool {
		x, y := queue[a], queue[b]
		switch {
		case x.j.Level != y.j.Level:
			return x.j.Level < y.j.Level
		case x.guar != y.guar:
			return x.guar
		case x.late != y.late:
			return x.late < y.late
		}
		return x.j.Spec.ID < y.j.Spec.ID
	})
	machines := p.C.List()
	if waiting > p.Props.SampleAbove {
		machines = p.sample(machines)
	}
	full := map[shape]bool{}
	placed := 0
	for _, it := range queue {
		j := it.j
		if j.State != model.Active || j.NotBefore > now || j.GangStop {
			continue
		}
		sh := shapeOf(&j.Spec)
		if full[sh] && !j.Spec.OneZone && !j.Spec.Spread {
			continue
		}
		n, blocked := 0, false
		if j.Spec.Kind == wire.Gang {
			n, blocked = p.gang(j, machines, now)
		} else {
			n, blocked = p.tasks(j, machines, now)
		}
		placed += n
		if blocked {
			full[sh] = true
		}
	}
	return placed
}

// sample draws machines at random: under overload a full search for each task
// costs more than the better fit is worth.
func (p *Placer) sample(all []*model.Machine) []*model.Machine {
	if len(all) <= p.Props.SampleSize {
		return all
	}
	out := make([]*model.Machine, 0, p.Props.SampleSize)
	for _, i := range p.Rand.Perm(len(all))[:p.Props.SampleSize] {
		out = append(out, all[i])
	}
	return out
}

// room is what a plan has taken of a machine beyond what places hold.
type room struct{ cpu, gpu, mem, scaled float64 }

// tasks places a job's independent tasks one by one.
func (p *Placer) tasks(j *model.Job, machines []*model.Machine, now micro.Time) (placed int, blocked bool) {
	for {
		next := j.Next(now, placeBatch) // not all of a huge job at once
		if len(next) == 0 {
			return placed, false
		}
		for _, i := range next {
			if j.Team != nil && !j.Team.Allows(j.Spec.CPUs, j.Spec.GPUs, 1) {
				return placed, false
			}
			m := p.pick(j, machines, nil, nil, "", now)
			if m == nil {
				coming := j.Level < 3 && p.preempt(j, []int{i}, "", now)
				if !coming && j.Level == 0 {
					// Dear room is better than none for the first rank.
					m = p.pickAny(j, machines, now)
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

// placeBatch is how many tasks of a job are looked at together.
const placeBatch = 32

func (p *Placer) put(j *model.Job, i int, m *model.Machine, attempt uint32, now micro.Time) {
	scaled := Scaled(j.Spec.CPUs, m.Type.K, m.Type.CPUs)
	p.C.NewPlace(j, i, m, attempt, scaled, now)
	p.C.Log("place", "task", wire.TaskName(j.Spec.ID, i), "try", attempt, "machine", m.Name,
		"score", Score(j.Spec.CPUs, m.Type.K, p.Props.ScoreL1, p.Props.ScoreL2), "room_left", m.Type.CPUs-m.UsedScaled)
}

// gang places all of a gang's tasks or none.
func (p *Placer) gang(j *model.Job, machines []*model.Machine, now micro.Time) (placed int, blocked bool) {
	n := len(j.Tasks)
	if j.HeldN > 0 || j.Waiting() < n {
		return 0, false
	}
	if j.Team != nil && !j.Team.Allows(j.Spec.CPUs, j.Spec.GPUs, n) {
		return 0, false
	}
	idx := j.Next(now, n)
	if len(idx) < n {
		return 0, false
	}
	zones := []string{""}
	if j.Spec.OneZone {
		zones = p.zones(machines)
	}
	for _, z := range zones {
		extra, zoneN := map[*model.Machine]*room{}, map[string]int{}
		var chosen []*model.Machine
		for range idx {
			m := p.pick(j, machines, extra, zoneN, z, now)
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

func (p *Placer) zones(machines []*model.Machine) []string {
	var out []string
	seen := map[string]bool{}
	for _, m := range machines {
		if m.Zone != "" && !seen[m.Zone] {
			seen[m.Zone] = true
			out = append(out, m.Zone)
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
	r.cpu += j.Spec.CPUs
	r.gpu += j.Spec.GPUs
	r.mem += j.Spec.MemoryGB
	r.scaled += Scaled(j.Spec.CPUs, m.Type.K, m.Type.CPUs)
	zoneN[m.Zone]++
}

// Allowed reports whether the job may use machines of a type, zone and kind.
func Allowed(s *wire.Job, typ *model.Type, zone string, spot bool) bool {
	const eps = 1e-9
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
func fits(j *model.Job, m *model.Machine, r *room, freed room) bool {
	var x room
	if r != nil {
		x = *r
	}
	t := m.Type
	return m.UsedCPU+x.cpu-freed.cpu+j.Spec.CPUs <= t.CPUs+eps &&
		m.UsedGPU+x.gpu-freed.gpu+j.Spec.GPUs <= t.GPUs+eps &&
		m.UsedMem+x.mem-freed.mem+j.Spec.MemoryGB <= t.MemoryGB+eps &&
		m.UsedScaled+x.scaled-freed.scaled+Scaled(j.Spec.CPUs, t.K, t.CPUs) <= t.CPUs+eps
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

// pickAny is pick without regard to what a machine costs.
func (p *Placer) pickAny(j *model.Job, machines []*model.Machine, now micro.Time) *model.Machine {
	keep := p.Affordable
	p.Affordable = nil
	defer func() { p.Affordable = keep }()
	return p.pick(j, machines, nil, nil, "", now)
}

// pick chooses the machine for one task: the design's score decides, ties go to
// the least scaled room left. Exceptions come first: machines whose GPUs or
// ordinary kind others need are looked at after the rest, and a machine of
// score 0 last.
func (p *Placer) pick(j *model.Job, machines []*model.Machine, extra map[*model.Machine]*room, zoneN map[string]int, zone string, now micro.Time) *model.Machine {
	var best *model.Machine
	var bestTier int
	var bestScore, bestLeft float64
	var bestImage bool
	for _, m := range machines {
		if !m.Usable(now) || zone != "" && m.Zone != zone || !Allowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			continue
		}
		if m.Reserve != nil && m.Reserve != j && m.Reserve.Level <= j.Level && m.Reserve.State == model.Active {
			continue
		}
		if j.FailedOn[m.Name] && len(j.FailedOn) < len(machines)/2 {
			continue
		}
		if !fits(j, m, extra[m], room{}) || !ZoneOK(j, m.Zone, zoneN) || !p.spares(j, m) ||
			p.Affordable != nil && !p.Affordable(j, m, now) {
			continue
		}
		score := Score(j.Spec.CPUs, m.Type.K, p.Props.ScoreL1, p.Props.ScoreL2)
		left := m.Type.CPUs - m.UsedScaled - Scaled(j.Spec.CPUs, m.Type.K, m.Type.CPUs)
		if r := extra[m]; r != nil {
			left -= r.scaled
		}
		tier := 0
		if score == 0 {
			tier += 8
		}
		if j.Spec.GPUs == 0 && m.Type.GPUs > 0 {
			tier += 4
		}
		if j.Spec.Spot && !m.Spot {
			tier++
		}
		_, image := m.Images[j.Spec.Image]
		better := best == nil
		if !better {
			switch {
			case tier != bestTier:
				better = tier < bestTier
			case score != bestScore:
				better = score > bestScore
			case left < bestLeft-eps || left > bestLeft+eps:
				better = left < bestLeft
			default:
				better = image && !bestImage
			}
		}
		if better {
			best, bestTier, bestScore, bestLeft, bestImage = m, tier, score, left, image
		}
	}
	return best
}
