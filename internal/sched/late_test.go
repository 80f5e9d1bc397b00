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

// bound is how long a job may wait while a machine that fits has room.
const bound = 90 * micro.Second

// yard is a cluster that tests put machines and jobs into.
type yard struct {
	*testing.T
	c *model.Cluster
	p *Placer
}

func newYard(t *testing.T) *yard {
	c := model.New(silent{})
	c.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16}, {Name: "gpu", CPUs: 8, GPUs: 4, MemoryGB: 64}}})
	props := config.Defaults()
	return &yard{t, c, &Placer{C: c, Goals: NewGoals(nil), Props: &props, Rand: rand.New(rand.NewPCG(1, 2))}}
}

func (y *yard) machine(name, typ, zone string) *model.Machine {
	m := y.c.Machine(name, 1)
	y.c.Describe(m, typ, zone, false)
	y.c.Become(m, model.Up, "reports")
	return m
}

// array submits a job at a time.
func (y *yard) array(id string, tasks int, cpus float64, at micro.Time) *model.Job {
	return y.c.AddJob(wire.Job{ID: id, Class: "c", Kind: wire.Array, Priority: wire.Normal, Tasks: tasks, CPUs: cpus, MemoryGB: 1, EstimateS: 10}, at, at)
}

// placedAt lets passes go by, one a second, and says when the job had so many
// places, and where the first is.
func (y *yard) placedAt(j *model.Job, want int, from micro.Time, each func(now micro.Time)) (micro.Time, string) {
	y.Helper()
	for now := from; now < from+20*micro.Minute; now += micro.Second {
		if each != nil {
			each(now)
		}
		y.p.Pass(now)
		if j.HeldN >= want {
			return now, j.AllPlaces()[0].Machine.Name
		}
	}
	y.Fatalf("%s holds %d places after 20 minutes", j.Spec.ID, j.HeldN)
	return 0, ""
}

// within checks that a job waited as long as the ordinary rules ask, and no
// longer than the bound.
func (y *yard) within(what string, took micro.Time) {
	y.Helper()
	if took > bound {
		y.Errorf("%s: placed after %v s", what, took.Seconds())
	}
}

func TestLimitSavedUpInVainIsOpenToTheTeamsOtherWork(t *testing.T) {
	y := newYard(t)
	y.c.Teams["team"] = &model.Team{Name: "team", CPUsMax: 8}
	for i := range 3 {
		y.machine("i-"+strconv.Itoa(1+i), "small", "a")
	}
	add := func(id string, kind wire.Kind, tasks int, at micro.Time) *model.Job {
		return y.c.AddJob(wire.Job{ID: id, Team: "team", Class: id, Kind: kind, Priority: wire.Normal, Tasks: tasks, CPUs: 4}, at, at)
	}
	add("j-1", wire.Service, 1, 0)
	y.p.Pass(micro.Second) // half of the limit, for good
	add("j-2", wire.Gang, 2, micro.Second)
	tm, from := y.c.Teams["team"], micro.Second
	for from < 4*micro.Minute || tm.Saving == nil || tm.SavingAt < from-micro.Second {
		if from += micro.Second; from > 10*micro.Minute {
			t.Fatal("nothing is saved up")
		}
		y.p.Pass(from)
	}
	j := add("j-3", wire.Array, 1, from)
	j.NotBefore = from + 65*micro.Second // just after the limit was given up
	at, _ := y.placedAt(j, 1, from, nil)
	if at-from > bound {
		t.Fatalf("placed after %v s", (at - from).Seconds())
	}
}

func TestGangOfOneZoneDoesNotStandForThoseOfAny(t *testing.T) {
	y := newYard(t)
	y.machine("i-1", "small", "a")
	y.machine("i-2", "small", "b")
	gang := func(id string, oneZone bool) *model.Job {
		return y.c.AddJob(wire.Job{ID: id, Class: "c", Kind: wire.Gang, Priority: wire.Normal, Tasks: 2, CPUs: 4, OneZone: oneZone}, 0, 0)
	}
	gang("j-1", true)
	j := gang("j-2", false)
	y.p.Pass(micro.Second)
	if j.HeldN != 2 {
		t.Fatal("it found no room, though it fits")
	}
}

func TestRefusedRoomIsNotReserved(t *testing.T) {
	for _, dear := range []bool{false, true} {
		y := newYard(t)
		m := y.machine("gpu-1", "gpu", "a")
		if dear {
			y.p.Affordable = func(*model.Job, *model.Type, bool, micro.Time) bool { return false }
		} else {
			y.c.Class("g").Last = &wire.Job{GPUs: 4, CPUs: 8, MemoryGB: 64, Priority: wire.High}
		}
		y.array("j-1", 1, 1, 0)
		y.p.Pass(micro.Second)
		if m.Reserve != nil {
			t.Errorf("dear %v: it is reserved for a job that does not take it", dear)
		}
	}
}
