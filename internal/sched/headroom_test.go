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

const (
	gpuMachines = 30
	gpuPerTen   = 10 // GPU tasks that arrive in clearFor
	besideGPUs  = 3  // CPUs of a machine that a GPU task leaves
	testNow     = 1000 * micro.Second
)

// gpuSite is a site of GPU machines whose GPU jobs arrive one a second, with images
// that take 14 s, and an idle array that could fill all machines.
func gpuSite(t *testing.T, objectives ...config.Objective) (*Placer, *model.Job) {
	t.Helper()
	c := model.New(silent{})
	c.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "gpu", CPUs: 24, GPUs: 4, MemoryGB: 192, FetchGBPerS: 0.5, Zones: []string{"a"}}}})
	c.Teams["team"] = &model.Team{Name: "team", GPUs: 100}
	for i := range gpuMachines {
		m := c.Machine("i-"+strconv.Itoa(1000+i), 1)
		c.Describe(m, "gpu", "a", false)
		c.Become(m, model.Up, "reports")
	}
	gang := c.AddJob(wire.Job{ID: "j-gang", Class: "train", Team: "team", Kind: wire.Gang, Priority: wire.High, Tasks: 1, CPUs: 24 - besideGPUs, GPUs: 4, MemoryGB: 150, ImageGB: 7}, testNow, testNow)
	for at := testNow - 2*micro.Minute; at < testNow; at += micro.Second {
		gang.Class.Arrivals = append(gang.Class.Arrivals, at)
	}
	props := config.Defaults()
	p := &Placer{C: c, Goals: NewGoals(objectives), Props: &props, Rand: rand.New(rand.NewPCG(1, 2))}
	p.Pass(testNow) // the gang has its machine
	idle := c.AddJob(wire.Job{ID: "j-idle", Class: "crawl", Team: "team", Kind: wire.Array, Priority: wire.Low, Tasks: 24 * gpuMachines, CPUs: 1, MemoryGB: 1, CheckpointS: 30, SaveS: 3}, testNow, testNow)
	idle.DoneN = 1 // it is known not to fail everywhere
	return p, idle
}

// clearForGPUs counts the machines that can take another GPU task at once.
func clearForGPUs(p *Placer) int { return p.clearMachines(p.C.Classes["train"]) }

var startWithinTwoMinutes = config.Objective{Kind: "wait", Class: "train", WithinS: 120, Share: 0.9}

// Idle work that saved first before it yielded cost each GPU job of a busy site 2 to
// 4 s of the 30 s in which it should start.
func TestMachinesAreKeptClearForGPUJobsThatCannotWaitForASave(t *testing.T) {
	p, idle := gpuSite(t, startWithinTwoMinutes, config.Objective{Kind: "guarantee", WithinS: 30, Share: 0.9})
	p.Pass(testNow)
	if got := clearForGPUs(p); got != gpuPerTen {
		t.Errorf("%d machines are clear, want %d", got, gpuPerTen)
	}
	// All other room is used: whole machines, and what GPU tasks leave beside them.
	if want := 24*(gpuMachines-1-gpuPerTen) + besideGPUs*(1+gpuPerTen); idle.HeldN != want {
		t.Errorf("%d idle tasks were placed, want %d", idle.HeldN, want)
	}
}

func TestNoMachineIsKeptClearWhereASaveCanBeWaitedFor(t *testing.T) {
	p, idle := gpuSite(t, startWithinTwoMinutes)
	p.Pass(testNow)
	if got := clearForGPUs(p); got != 0 {
		t.Errorf("%d machines are clear, though two minutes leave time for a save", got)
	}
	if want := 24*(gpuMachines-1) + besideGPUs; idle.HeldN != want {
		t.Errorf("%d idle tasks were placed, want %d", idle.HeldN, want)
	}
}

// No job waits for good beside room that is kept clear.
func TestMachinesKeptClearAreOpenToLateWork(t *testing.T) {
	p, idle := gpuSite(t, config.Objective{Kind: "guarantee", WithinS: 30, Share: 0.9})
	p.Pass(testNow)
	late := p.C.AddJob(wire.Job{ID: "j-0", Class: "other", Team: "team", Kind: wire.Array, Priority: wire.Low, Tasks: 1, CPUs: 4, MemoryGB: 1, CheckpointS: 30, SaveS: 3}, testNow, testNow)
	if p.Pass(testNow + micro.Second); late.HeldN > 0 {
		t.Fatalf("placed at once, beside %d idle tasks", idle.HeldN)
	}
	if p.Pass(testNow + lateAfter); late.HeldN == 0 {
		t.Error("still waits after a minute")
	}
}
