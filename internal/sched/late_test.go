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
	if took < lateAfter || took > bound {
		y.Errorf("%s: placed after %v s", what, took.Seconds())
	}
}

// Room beside idle GPUs was kept for GPU jobs that never came again.
func TestRoomKeptForGPUWorkIsOpenToLateWork(t *testing.T) {
	y := newYard(t)
	y.machine("gpu-1", "gpu", "a")
	y.c.Class("g").Last = &wire.Job{GPUs: 4, CPUs: 8, MemoryGB: 64, Priority: wire.High}
	at, _ := y.placedAt(y.array("j-1", 2, 1, micro.Second), 2, micro.Second, nil)
	y.within("beside GPUs", at-micro.Second)
}

func TestDearRoomIsOpenToLateWork(t *testing.T) {
	for _, kind := range []wire.Kind{wire.Array, wire.Gang} {
		y := newYard(t)
		y.machine("gpu-1", "gpu", "a")
		y.p.Affordable = func(*model.Job, *model.Type, bool, micro.Time) bool { return false }
		j := y.c.AddJob(wire.Job{ID: "j-1", Class: "c", Kind: kind, Priority: wire.Normal, Tasks: 2, CPUs: 1}, micro.Second, micro.Second)
		at, _ := y.placedAt(j, 2, micro.Second, nil)
		y.within("dear room, "+string(kind), at-micro.Second)
	}
}

// A machine where several jobs failed stood empty for ten minutes beside jobs
// that nothing else fitted.
func TestAvoidedMachineIsTheLastResortOfLateWork(t *testing.T) {
	y := newYard(t)
	m := y.machine("i-1", "small", "a")
	fail := func(now micro.Time) { m.Avoid, m.FaultAt = now+10*micro.Minute, now }
	fail(micro.Second)
	y.machine("gpu-1", "gpu", "a")
	y.p.Affordable = func(_ *model.Job, t *model.Type, _ bool, _ micro.Time) bool { return t.GPUs == 0 }
	if _, on := y.placedAt(y.array("j-1", 1, 4, micro.Second), 1, micro.Second, nil); on != "gpu-1" {
		t.Fatalf("on %s, though other room was left", on)
	}
	y.array("j-2", 1, 4, micro.Second)
	y.p.Pass(2 * micro.Minute)
	if len(y.c.Machines["gpu-1"].Places) != 2 {
		t.Fatal("the machine that is not avoided has room for two")
	}
	fail(3 * micro.Minute)
	j := y.array("j-3", 1, 4, 3*micro.Minute)
	at, on := y.placedAt(j, 1, 3*micro.Minute, func(now micro.Time) {
		if now == 3*micro.Minute+20*micro.Second {
			fail(now) // once more: the next try counts from here
		}
	})
	if took := at - 3*micro.Minute - 20*micro.Second; on != "i-1" || took < lateAfter || took > bound {
		t.Fatalf("on %s %v s after it last failed", on, took.Seconds())
	}
	if !j.AllPlaces()[0].Last {
		t.Fatal("nobody knows that it was the last resort")
	}
}

// A job that had failed once on the only machine with room never went there again.
func TestJobReturnsToAMachineItFailedOnRatherThanWait(t *testing.T) {
	y := newYard(t)
	y.machine("i-1", "small", "a")
	for i := range 3 {
		y.machine("i-"+strconv.Itoa(2+i), "small", "a")
		y.array("j-"+strconv.Itoa(10+i), 1, 4, 0)
	}
	y.p.Pass(micro.Second)
	j := y.array("j-1", 1, 4, micro.Second)
	j.FailedOn = map[string]bool{}
	for _, m := range y.c.List() {
		if len(m.Places) == 0 {
			j.FailedOn[m.Name] = true
		}
	}
	if len(j.FailedOn) != 1 {
		t.Fatalf("%d machines are free", len(j.FailedOn))
	}
	at, _ := y.placedAt(j, 1, micro.Second, nil)
	y.within("where it failed", at-micro.Second)
}

// Reservations that came to nothing followed one another, and the room stayed
// empty: a gang that its zone can never hold gathered it without end.
func TestRoomGatheredInVainIsOpenToLateWork(t *testing.T) {
	y := newYard(t)
	for i := range 3 {
		y.machine("i-"+strconv.Itoa(1+i), "small", "a")
	}
	y.array("j-1", 1, 4, 0)
	y.p.Pass(micro.Second) // one machine is busy for good
	y.c.AddJob(wire.Job{ID: "j-2", Class: "g", Kind: wire.Gang, Priority: wire.Normal, Tasks: 3, CPUs: 4, OneZone: true}, micro.Second, micro.Second)
	from := 3 * micro.Minute
	for now := micro.Second; now < from; now += micro.Second {
		y.p.Pass(now)
	}
	held := 0
	for _, m := range y.c.List() {
		if m.Reserve != nil {
			held++
		}
	}
	if held != 2 {
		t.Fatalf("%d machines are reserved", held)
	}
	at, _ := y.placedAt(y.array("j-3", 1, 4, from), 1, from, nil)
	if at-from > bound {
		t.Fatalf("placed after %v s", (at - from).Seconds())
	}
}

// A team's limit was saved up, over and over, for a job that never got enough of
// it: the rest of the limit lay idle.
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

// What a gang of one zone found no room for was taken for impossible to others
// that may use both, in each pass anew.
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

// What stops a job within its minute says nothing of those that are late.
func TestNewJobDoesNotStandForALateOne(t *testing.T) {
	y := newYard(t)
	y.machine("gpu-1", "gpu", "a")
	y.p.Affordable = func(*model.Job, *model.Type, bool, micro.Time) bool { return false }
	due := 500.0
	y.c.AddJob(wire.Job{ID: "j-1", Class: "c", Kind: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1, DeadlineS: &due}, 60*micro.Second, 60*micro.Second) // before the other in each pass
	j := y.array("j-2", 1, 1, 10*micro.Second)
	y.p.Pass(70 * micro.Second)
	if j.HeldN != 1 {
		t.Fatal("it was passed over for one that may wait")
	}
}

// Samples of like machines may miss the only one with room, for long.
func TestLateWorkIsNotLookedForInSamples(t *testing.T) {
	y := newYard(t)
	for i := range 400 {
		y.machine("i-"+strconv.Itoa(1000+i), "small", "a").Mute = i != 200
	}
	y.p.Busy, y.p.Props.SampleAbove, y.p.Props.SampleSize = true, 0, 2
	j := y.array("j-1", 1, 1, 0)
	y.p.Pass(lateAfter - micro.Second)
	if j.HeldN != 0 {
		t.Fatal("the sample held the only one: the story needs another seed")
	}
	y.p.Pass(lateAfter)
	if j.HeldN != 1 {
		t.Fatal("not found")
	}
}

// The ordinary choice comes first for late work too.
func TestLateWorkTakesTheOrdinaryChoiceFirst(t *testing.T) {
	y := newYard(t)
	y.machine("gpu-1", "gpu", "a")
	y.machine("i-1", "small", "a").Avoid = 10 * micro.Minute
	y.machine("i-2", "small", "a")
	j := y.array("j-1", 1, 1, 0)
	y.p.Pass(2 * lateAfter)
	if on := j.AllPlaces()[0].Machine.Name; on != "i-2" {
		t.Fatalf("on %s", on)
	}
}

// A new leader does not take what waited under the last one for late: its
// machines are heard one by one.
func TestWaitsCountFromTheTakeover(t *testing.T) {
	y := newYard(t)
	y.c.Began = 10 * micro.Minute
	y.machine("i-1", "small", "a").Avoid = 60 * micro.Minute
	j := y.array("j-1", 1, 1, 0)
	y.p.Pass(y.c.Began + micro.Second)
	if j.HeldN != 0 {
		t.Fatal("the last resort came first")
	}
	at, _ := y.placedAt(j, 1, y.c.Began, nil)
	y.within("after a takeover", at-y.c.Began)
}

// Machines with room that a job refuses, as dear or kept for GPU work, were
// reserved for it as if they had been cleared, and closed to all others.
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

// One job tries a machine that had failed several; the others follow once it has
// been there for a while, and not if it fails too.
func TestOneJobTriesAnAvoidedMachineBeforeOthers(t *testing.T) {
	for _, fails := range []bool{false, true} {
		y := newYard(t)
		m := y.machine("i-1", "small", "a")
		m.Avoid, m.FaultAt = 10*micro.Minute, micro.Second
		for i := range 4 {
			y.array("j-"+strconv.Itoa(1+i), 1, 1, micro.Second)
		}
		first, all := micro.Time(0), micro.Time(0)
		for now := micro.Second; now < 4*micro.Minute && all == 0; now += micro.Second {
			y.p.Pass(now)
			switch n := len(m.Places); {
			case n == 1 && first == 0:
				first = now
				if fails {
					y.c.Stop(m.Sorted()[0], "failed", 0, now) // still planned: free at once
					m.FaultAt = now
				}
			case n > 1:
				all = now
				if n < 4 && !fails {
					t.Fatalf("%d follow", n-1)
				}
			case fails && n == 1:
				all = now // the next try
			}
		}
		wait := all - first
		if first-micro.Second != lateAfter || !fails && (wait < trialFor || all > bound) || fails && wait != lateAfter {
			t.Errorf("fails %v: tried at %v s, again %v s after", fails, first.Seconds(), wait.Seconds())
		}
	}
}
