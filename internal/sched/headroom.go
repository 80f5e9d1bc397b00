package sched

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
)

// Work that can save may use machines with GPUs while these are idle. Stopping it
// again takes a save and two messages: seconds that a GPU job has not got whose
// image takes half of the time in which it should start. So some machines are kept
// clear of such work, as many as GPU tasks arrive in clearFor. What ends meanwhile
// clears others.

// clearFor is for how long arriving GPU tasks find machines clear.
const clearFor = 10 * micro.Second

// gpuHeadroom counts the machines that can take a task of a class of GPU jobs as they
// are.
type gpuHeadroom struct {
	class    *model.Class
	machines int
	wanted   int
}

// countHeadroom counts, for a pass, the machines that are clear for the classes of GPU
// jobs that cannot wait for others' work to be saved.
func (p *Placer) countHeadroom(now micro.Time) {
	p.headroom = p.headroom[:0]
	for _, class := range p.C.Classes {
		if class.Last == nil || class.Last.GPUs <= 0 || p.timeToStart(class) == 0 {
			continue
		}
		wanted := int(class.ArrivalRate(now) * clearFor.Seconds())
		if wanted > 0 {
			p.headroom = append(p.headroom, gpuHeadroom{class, p.clearMachines(class), wanted})
		}
	}
}

// timeToStart is within how long jobs of a class should start, by its own objective
// or by the teams' guarantees; 0 if nothing is said.
func (p *Placer) timeToStart(class *model.Class) micro.Time {
	quick := p.Goals.Quick(class.Name)
	if g := p.Goals.Guarantee(); g > 0 && p.guaranteesGPUs() && (quick == 0 || g < quick) {
		quick = g
	}
	return quick
}

func (p *Placer) guaranteesGPUs() bool {
	for _, team := range p.C.Teams {
		if team.GPUs > 0 {
			return true
		}
	}
	return false
}

func (p *Placer) clearMachines(class *model.Class) int {
	n := 0
	for _, pool := range p.C.Pools {
		if pool.N == 0 || !Allowed(class.Last, pool.Type, pool.Zone, pool.Spot) {
			continue
		}
		wants := need(class.Last, pool.Type)
		for row := int(wants.Scaled - eps); row < pool.Rows(); row++ {
			for _, m := range pool.Row(row) {
				if fits(wants, m, nil, room{}) {
					n++
				}
			}
		}
	}
	return n
}

// isHeadroom reports whether a machine is kept clear for a class of GPU jobs: it is
// clear, no more are than tasks are about to arrive, and their start cannot wait
// until a task of the given job has saved.
func (p *Placer) isHeadroom(j *model.Job, m *model.Machine, class *model.Class) bool {
	for i := range p.headroom {
		c := &p.headroom[i]
		if c.class != class || c.machines > c.wanted || m.Type.FetchGBPerS <= 0 {
			continue
		}
		fetch := micro.Of(class.ImageGB / m.Type.FetchGBPerS)
		hurried := p.timeToStart(class)-fetch <= yieldFactor*micro.Of(j.Spec.SaveS)
		return hurried && fits(need(class.Last, m.Type), m, nil, room{})
	}
	return false
}

// noteTaken keeps the count of clear machines while a pass places tasks; it is told
// before a task takes its place on a machine.
func (p *Placer) noteTaken(j *model.Job, m *model.Machine) {
	for i := range p.headroom {
		c := &p.headroom[i]
		s := c.class.Last
		if !Allowed(s, m.Type, m.Zone, m.Spot) {
			continue
		}
		wants, taken := need(s, m.Type), need(&j.Spec, m.Type)
		if fits(wants, m, nil, room{}) && !fits(wants, m, &taken, room{}) {
			c.machines--
		}
	}
}
