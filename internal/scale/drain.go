package scale

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/wire"
)

// A large machine with a dozen short tasks is never empty by chance, since the
// tightest fit fills it again: where money is looked at and nothing waits, the
// dearest machines that are not needed take nothing more, and go back once they
// are empty.

const (
	calmFor    = 10 * micro.Second // how long nothing must have waited
	drainSlack = 1.35              // room kept, over what short work uses
	drainPart  = 50                // one machine in so many, at least one, with each plan
)

// drain says which machines are to take nothing more, and which again.
func (p *Planner) drain(demands []demand, now micro.Time) (stop, again []*model.Machine) {
	short := !p.thrifty()
	for i := range demands {
		short = short || demands[i].job != nil
	}
	if short {
		p.calm = 0
		for _, m := range p.C.List() {
			if m.Drained {
				again = append(again, m)
			}
		}
		return nil, again
	}
	if p.calm == 0 {
		p.calm = now
	}
	if now-p.calm < calmFor {
		return nil, nil
	}
	var used, have model.Room
	var cands []*model.Machine
	for _, m := range p.C.List() {
		if !m.Usable(now) {
			continue
		}
		free, mine, stays := model.Room{CPU: m.Type.CPUs, Mem: m.Type.MemoryGB}, model.Room{}, false
		for _, pl := range m.Places {
			if pl.Job == nil {
				continue
			}
			s := &pl.Job.Spec
			x := model.Room{CPU: s.CPUs, Mem: s.MemoryGB}
			if s.Kind == wire.Array {
				mine.Add(x, 1)
			} else {
				stays = true
				free.Add(x, -1)
			}
		}
		used.Add(mine, 1)
		have.Add(free, 1)
		if !stays && !m.Base && !p.forGPUWork(m) && m.Reserve == nil && now-m.Wanted > 5*micro.Second {
			cands = append(cands, m)
		}
	}
	sort.SliceStable(cands, func(a, b int) bool { return perCPU(cands[a]) > perCPU(cands[b]) })
	for _, m := range cands[:min(len(cands), len(p.C.Machines)/drainPart+1)] {
		have.CPU -= m.Type.CPUs
		have.Mem -= m.Type.MemoryGB
		if have.CPU < drainSlack*used.CPU || have.Mem < drainSlack*used.Mem {
			break
		}
		stop = append(stop, m)
	}
	return stop, nil
}

// forGPUWork reports whether a class that needs GPUs may use a machine: such
// machines are few, slow to get ready, and go back when idle.
func (p *Planner) forGPUWork(m *model.Machine) bool {
	if m.Type.GPUs == 0 {
		return false
	}
	for _, cl := range p.C.Classes {
		if s := cl.Last; s != nil && s.GPUs > 0 && sched.Allowed(s, m.Type, m.Zone, m.Spot) {
			return true
		}
	}
	return false
}

func perCPU(m *model.Machine) float64 { return priceOf(Offer{Spot: m.Spot}, m.Type) / m.Type.CPUs }
