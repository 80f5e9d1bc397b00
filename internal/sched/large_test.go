package sched

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

type silent struct{ model.Effects }

func (silent) Changed()              {}
func (silent) Log(string, ...any)    {}
func (silent) Touch(*model.Chunk)    {}
func (silent) Press(*model.Chunk)    {}
func (silent) Kick(m *model.Machine) {}

// crowd is a cluster with a job of the most tasks and more machines than a
// sample holds.
func crowd(machines int) *Placer {
	c := model.New(silent{})
	c.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16}}})
	for i := range machines {
		m := c.Machine("i-"+strconv.Itoa(1000+i), 1)
		c.Describe(m, "small", "a", false)
		c.Become(m, model.Up, "reports")
	}
	j := c.AddJob(wire.Job{ID: "j-1", Class: "c", Kind: wire.Array, Priority: wire.Normal, Tasks: wire.MaxTasks, CPUs: 1}, 0, 0)
	j.DoneN = 1 // it is known not to fail everywhere, see model.Job.Openings
	props := config.Defaults()
	return &Placer{C: c, Goals: NewGoals(nil), Props: &props, Rand: rand.New(rand.NewPCG(1, 2))}
}

func TestOverloadLooksAtSamplesAndStillFillsTheMachines(t *testing.T) {
	for _, busy := range []bool{false, true} {
		p := crowd(400)
		p.Busy = busy
		total := 0
		for range 60 {
			total += p.Pass(micro.Second)
		}
		if total != 1600 {
			t.Fatalf("%d tasks on 1600 CPUs", total)
		}
		// A machine's room falls by rows: a task looks at no more than a sample
		// of each row.
		most := total * (p.Props.SampleSize + 1) * 4
		if got := p.Looked <= most; got != busy {
			t.Errorf("busy %v: looked at %d machines for %d tasks", busy, p.Looked, total)
		}
	}
}

// fullPick is the design's choice by a full search over all machines.
func fullPick(p *Placer, j *model.Job, now micro.Time) *model.Machine {
	var best candidate
	var bestGrade grade
	for _, m := range p.C.List() {
		pool := &model.Pool{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		w := need(&j.Spec, m.Type)
		if !m.Usable(now) || !Allowed(&j.Spec, m.Type, m.Zone, m.Spot) || !ZoneOK(j, m.Zone, nil) || !fits(w, m, nil, room{}) || !p.may(j, m, now) {
			continue
		}
		c, g := p.candidate(j, m, w, 0), p.grade(&j.Spec, pool, false)
		if best.m == nil || g.over(bestGrade) || !bestGrade.over(g) && c.over(&best) {
			best, bestGrade = c, g
		}
	}
	return best.m
}

// The rows by room must give the very machine that a full search gives, on any
// fleet and through any history of places, freed room and states.
func TestRowsGiveTheChoiceOfAFullSearch(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 7))
		c := model.New(silent{})
		c.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
			{Name: "small", CPUs: 4, MemoryGB: 16}, {Name: "large", CPUs: 32, MemoryGB: 100}, {Name: "gpu", CPUs: 24, GPUs: 4, MemoryGB: 192, FetchGBPerS: 1}}})
		c.Types["large"].K, c.Types["gpu"].K = 0.5+r.Float64(), 0.5+r.Float64()
		names := []string{"small", "large", "gpu"}
		has, index := model.ImageRecord{Names: []string{"image"}, GB: []float64{9}, Machines: map[string][]int{}}, []int{0}
		for i := range 60 {
			m := c.Machine("i-"+strconv.Itoa(100+i), 1)
			c.Describe(m, names[r.IntN(3)], []string{"a", "b"}[r.IntN(2)], r.IntN(3) == 0)
			c.Become(m, model.Up, "reports")
			if r.IntN(4) == 0 {
				has.Machines[m.Name] = index
			}
		}
		c.RestoreImages(has, 1)
		props := config.Defaults()
		p := &Placer{C: c, Goals: NewGoals(nil), Props: &props, Rand: r}
		var held []*model.Place
		found := 0
		for n := range 400 {
			now := micro.Time(n) * micro.Second
			spec := wire.Job{ID: "j-" + strconv.Itoa(n), Class: "c", Kind: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: float64(1+r.IntN(60)) / 10,
				MemoryGB: float64(r.IntN(200)) / 10, Image: "image", ImageGB: float64(r.IntN(9)), Spot: r.IntN(2) == 0, Spread: r.IntN(3) == 0}
			if r.IntN(4) == 0 {
				spec.GPUs = float64(1 + r.IntN(4))
			}
			j := c.AddJob(spec, 0, 0)
			want, got := fullPick(p, j, now), p.pick(j, nil, nil, "", true, false, now)
			if want != got {
				t.Fatalf("seed %d, task %d: the rows give %+v, a full search %+v", seed, n, got, want)
			}
			if got != nil {
				found++
				held = append(held, c.NewPlace(j, 0, got, 1, Scaled(spec.CPUs, got.Type.K, got.Type.CPUs), now))
			}
			if len(held) > 0 && r.IntN(3) == 0 {
				k := r.IntN(len(held))
				c.Stop(held[k], "over", 0, now) // still planned: free at once
				held = append(held[:k], held[k+1:]...)
			}
			if m := c.List()[r.IntN(60)]; r.IntN(5) == 0 {
				c.Become(m, map[model.MachineState]model.MachineState{model.Up: model.Silent, model.Silent: model.Up}[m.State], "test")
			}
		}
		if found < 50 {
			t.Fatalf("seed %d compared only %d choices", seed, found)
		}
	}
}

func BenchmarkPassSampled(b *testing.B) { benchmarkPass(b, 2000) }

func BenchmarkPassFull(b *testing.B) { benchmarkPass(b, 1<<30) }

func benchmarkPass(b *testing.B, sampleAbove int) {
	p := crowd(50)
	p.Props.SampleAbove, p.Busy = sampleAbove, true
	for range 100 {
		p.Pass(micro.Second)
	}
	for b.Loop() {
		p.Pass(micro.Second)
	}
}

// Tasks that cannot save, lost with a spot machine, went back to spot machines
// and were lost again: an array of a hundred tasks of 100 s was late more often
// than not.
func TestWorkThatCannotBeLostAgainTakesOrdinaryMachinesFirst(t *testing.T) {
	c := model.New(silent{})
	c.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16}}})
	for i := range 20 {
		m := c.Machine("i-"+strconv.Itoa(10+i), 1)
		c.Describe(m, "small", "a", i%2 == 0)
		c.Become(m, model.Up, "reports")
	}
	props := config.Defaults()
	p := &Placer{C: c, Goals: NewGoals([]config.Objective{{Kind: "finished", Class: "c", WithinS: 250}}), Props: &props, Rand: rand.New(rand.NewPCG(1, 2))}
	now := 1000 * micro.Second
	n := 0
	spots := func(estimate, saves float64, lost uint32, submitted micro.Time) int {
		n++
		j := c.AddJob(wire.Job{ID: "j-" + strconv.Itoa(n), Class: "c", Kind: wire.Array, Priority: wire.Normal, Tasks: 5, CPUs: 1, Spot: true, EstimateS: estimate, CheckpointS: saves}, submitted, submitted)
		for i := range j.Tasks {
			j.Tasks[i].Attempt = lost
		}
		p.Pass(now)
		on := 0
		for _, pl := range j.AllPlaces() {
			if pl.Machine.Spot {
				on++
			}
		}
		return on
	}
	for _, x := range []struct {
		name            string
		estimate, saves float64
		lost            uint32
		submitted       micro.Time
		want            int
	}{
		{"short, and new", 50, 0, 0, now, 5},
		{"lost once", 50, 0, 1, now, 0},
		{"lost once, but it saves", 50, 10, 1, now, 5},
		{"too long to be run twice in time", 130, 0, 0, now, 0},
		{"short, but it has waited", 50, 0, 0, now - 160*micro.Second, 0},
		{"too late in any case", 50, 0, 0, now - 240*micro.Second, 5},
	} {
		if got := spots(x.estimate, x.saves, x.lost, x.submitted); got != x.want {
			t.Errorf("%s: %d of 5 on spot machines, want %d", x.name, got, x.want)
		}
	}
}
