package sched

import (
	"math/rand/v2"
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
		m := c.Machine("i-"+string(rune('A'+i/26))+string(rune('a'+i%26)), 1)
		c.Describe(m, "small", "a", false)
		c.Become(m, model.Up, "reports")
	}
	c.AddJob(wire.Job{ID: "j-1", Class: "c", Kind: wire.Array, Priority: wire.Normal, Tasks: wire.MaxTasks, CPUs: 1}, 0)
	props := config.Defaults()
	return &Placer{C: c, Goals: NewGoals(nil), Props: &props, Rand: rand.New(rand.NewPCG(1, 2))}
}

func TestOverloadLooksAtSamplesAndStillFillsTheMachines(t *testing.T) {
	p := crowd(40)
	first := p.Pass(micro.Second)
	if first != 4*p.Props.SampleSize {
		t.Fatalf("the first pass placed %d tasks, want a sample of %d machines full", first, p.Props.SampleSize)
	}
	total := first
	for range 60 {
		total += p.Pass(micro.Second)
	}
	if total != 160 {
		t.Fatalf("%d tasks on 160 CPUs", total)
	}
}

func BenchmarkPassSampled(b *testing.B) { benchmarkPass(b, 2000) }

func BenchmarkPassFull(b *testing.B) { benchmarkPass(b, 1<<30) }

func benchmarkPass(b *testing.B, sampleAbove int) {
	p := crowd(50)
	p.Props.SampleAbove = sampleAbove
	for range 100 {
		p.Pass(micro.Second)
	}
	for b.Loop() {
		p.Pass(micro.Second)
	}
}
