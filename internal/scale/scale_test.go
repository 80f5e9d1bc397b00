package scale

import (
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/wire"
)

type quiet struct{ model.Effects }

func (quiet) Changed()           {}
func (quiet) Touch(*model.Chunk) {}
func (quiet) Press(*model.Chunk) {}
func (quiet) Log(string, ...any) {}

const now = 1000 * micro.Second

func planner() *Planner {
	c := model.New(quiet{})
	c.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 30, FetchGBPerS: 1, Zones: []string{"a", "b"}},
		{Name: "gpu", CPUs: 24, GPUs: 4, MemoryGB: 96, Price: 60, SpotPrice: 50, BootS: 30, FetchGBPerS: 1, Zones: []string{"a"}},
	}})
	props := config.Defaults()
	return &Planner{C: c, Goals: sched.NewGoals(nil), Props: &props, Refused: map[Offer]micro.Time{}, Dry: map[Offer]int{}, Asked: map[string]Ask{}}
}

func (p *Planner) submit(id string, tasks int, cpus float64, spot bool) *model.Job {
	return p.C.AddJob(wire.Job{ID: id, Class: id, Kind: wire.Array, Priority: wire.Normal, Tasks: tasks, CPUs: cpus, MemoryGB: 1, Spot: spot, EstimateS: 100}, now-micro.Minute, now)
}

func TestRentsTheCheapestRoomThatFits(t *testing.T) {
	p := planner()
	p.submit("j-1", 8, 1, true)
	asks, _ := p.Plan(now)
	if len(asks) != 1 || asks[0].Count != 2 || asks[0].Type != "small" || !asks[0].Spot {
		t.Fatalf("%+v", asks)
	}
	p.Asked["r-1"] = asks[0]
	if again, _ := p.Plan(now); len(again) != 0 {
		t.Fatalf("rented twice: %+v", again)
	}
}

func TestRefusedOffersAreLeftAloneAndDearOnesToo(t *testing.T) {
	p := planner()
	p.submit("j-1", 4, 1, false)
	p.Refused[Offer{"small", "a", false}] = now + micro.Second
	asks, _ := p.Plan(now)
	if len(asks) != 1 || asks[0].Zone != "b" {
		t.Fatalf("%+v", asks)
	}
	p.Refused[Offer{"small", "b", false}] = now + micro.Second
	if asks, _ = p.Plan(now); len(asks) != 0 {
		t.Fatalf("CPU work rents a GPU machine at 15 times the price: %+v", asks)
	}
	// Where operators keep machines of their own, readiness wins.
	p.C.Machine("own", now).Base = true
	if asks, _ = p.Plan(now); len(asks) != 1 || asks[0].Type != "gpu" {
		t.Fatalf("%+v", asks)
	}
}

func TestMachineThatDoesNotComeUpIsReplacedInTime(t *testing.T) {
	p := planner()
	p.submit("j-1", 4, 1, true)
	m := p.C.Machine("i-1", now)
	p.C.Describe(m, "small", "a", true)
	m.Rented = now - 40*micro.Second
	if asks, _ := p.Plan(now); len(asks) != 0 {
		t.Fatalf("still expected: %+v", asks)
	}
	m.Rented = now - 60*micro.Second
	if asks, _ := p.Plan(now); len(asks) != 1 {
		t.Fatal("nothing is rented in place of a machine that does not come up")
	}
}

func TestIdleRentedMachinesGoBackAndTheOperatorsOwnStay(t *testing.T) {
	p := planner()
	for _, name := range []string{"rented", "own"} {
		m := p.C.Machine(name, now)
		p.C.Describe(m, "small", "a", false)
		p.C.Become(m, model.Up, "reports")
		m.IdleSince = now - 5*micro.Minute
		m.Base = name == "own"
	}
	_, idle := p.Plan(now)
	if len(idle) != 1 || idle[0].Name != "rented" {
		t.Fatalf("%v", idle)
	}
}

func TestRateIgnoresASingleBurst(t *testing.T) {
	var at []micro.Time
	for range 50 {
		at = append(at, now-100*micro.Second)
	}
	if r := (&model.Class{Arrivals: at}).ArrivalRate(now); r != 0 {
		t.Errorf("rate %v after one burst", r)
	}
	for i := range 12 {
		at = append(at, now-micro.Time(i)*10*micro.Second)
	}
	if r := (&model.Class{Arrivals: at}).ArrivalRate(now); r < 0.09 || r > 0.11 {
		t.Errorf("rate %v, want 0.1", r)
	}
}

// Short tasks kept a dear machine from ever being empty, long after the burst
// that it was rented for.
func TestDearMachinesAreDrainedOnceNothingWaitsAndTakenBackIfSomethingDoes(t *testing.T) {
	p := planner()
	for _, name := range []string{"i-1", "i-2", "i-3", "i-gpu"} {
		m := p.C.Machine(name, now)
		typ := "small"
		if name == "i-gpu" {
			typ = "gpu"
		}
		p.C.Describe(m, typ, "a", false)
		p.C.Become(m, model.Up, "reports")
	}
	j := p.submit("j-1", 2, 1, false)
	p.C.NewPlace(j, 0, p.C.Machines["i-gpu"], 1, 1, now)
	p.C.NewPlace(j, 1, p.C.Machines["i-1"], 1, 1, now)
	p.Plan(now)
	if p.C.Machines["i-gpu"].Drained {
		t.Fatal("drained before it is known that nothing waits")
	}
	p.Plan(now + calmFor)
	if !p.C.Machines["i-gpu"].Drained || p.C.Machines["i-1"].Drained {
		t.Fatal("the dearest machine that is not needed should take nothing more, and it alone")
	}
	p.submit("j-2", 40, 4, false)
	p.Plan(now + calmFor + micro.Second)
	if p.C.Machines["i-gpu"].Drained {
		t.Fatal("work waits, and the machine still takes none")
	}
}

// A spread service had one task beside free room in one zone and may have no more
// there. That room came free, by the plan, so nothing was rented in the other zone.
func TestRoomWhereASpreadJobMayHaveNoMoreIsNotWaitedFor(t *testing.T) {
	p := planner()
	for _, name := range []string{"i-1", "i-2"} {
		m := p.C.Machine(name, now)
		p.C.Describe(m, "small", "a", false)
		p.C.Become(m, model.Up, "reports")
	}
	j := p.C.AddJob(wire.Job{ID: "j-1", Class: "c", Kind: wire.Service, Priority: wire.Normal, Tasks: 2, CPUs: 1, MemoryGB: 1, Spread: true}, now-micro.Minute, now)
	p.C.NewPlace(j, 0, p.C.Machines["i-1"], 1, 1, now)
	asks, _ := p.Plan(now)
	if len(asks) != 1 || asks[0].Zone != "b" {
		t.Fatalf("its second task waits for good: %+v", asks)
	}
}

// The same for a job that must stay in the zone where it has begun.
func TestRoomInAnotherZoneIsNotWaitedForByAJobOfOneZone(t *testing.T) {
	p := planner()
	for _, name := range []string{"i-1", "i-2"} {
		m := p.C.Machine(name, now)
		p.C.Describe(m, "small", map[string]string{"i-1": "a", "i-2": "b"}[name], false)
		p.C.Become(m, model.Up, "reports")
	}
	j := p.C.AddJob(wire.Job{ID: "j-1", Class: "c", Kind: wire.Array, Priority: wire.Normal, Tasks: 2, CPUs: 4, MemoryGB: 1, OneZone: true, EstimateS: 100}, now-micro.Minute, now)
	p.C.NewPlace(j, 0, p.C.Machines["i-1"], 1, 4, now)
	asks, _ := p.Plan(now)
	if len(asks) != 1 || asks[0].Zone != "a" {
		t.Fatalf("its second task waits for room that it may not use: %+v", asks)
	}
}

// Work with time in hand waits a few seconds for room to come free; drained
// machines must not be kept from it for longer.
func TestDrainedMachineIsTakenBackForWorkWithTimeInHand(t *testing.T) {
	p := planner()
	m := p.C.Machine("i-1", now)
	p.C.Describe(m, "small", "a", false)
	p.C.Become(m, model.Up, "reports")
	p.C.SetDrained(m, true)
	p.C.AddJob(wire.Job{ID: "j-1", Class: "c", Kind: wire.Array, Priority: wire.Low, Tasks: 1, CPUs: 1, EstimateS: 10}, now, now)
	p.Plan(now + micro.Second)
	if !m.Drained {
		t.Fatal("taken back at once")
	}
	p.Plan(now + 9*micro.Second)
	if m.Drained {
		t.Fatal("the work still waits")
	}
}

// A zone was cut off for so long that its tasks were to run elsewhere. The machines
// for them were rented in the same zone, the cheapest, where they reached nobody.
func TestRentsInAZoneThatIsCutOffOnlyWhatCanGoNowhereElse(t *testing.T) {
	zoneOf := func(heard micro.Time, bound bool) string {
		p := planner()
		p.C.Away["a"] = now - micro.Minute
		m := p.C.Machine("i-1", now)
		p.C.Describe(m, "small", "a", false)
		m.State, m.Heard = model.Silent, heard
		j := p.submit("j-1", 4, 1, false)
		if zone := "a"; bound {
			j.Spec.Zone = &zone
		}
		asks, _ := p.Plan(now)
		if len(asks) != 1 || asks[0].Count != 1 {
			t.Fatalf("%+v", asks)
		}
		return asks[0].Zone
	}
	if z := zoneOf(now-2*micro.Minute, false); z != "b" {
		t.Errorf("rented in zone %s, which is cut off", z)
	}
	if z := zoneOf(now-2*micro.Minute, true); z != "a" {
		t.Errorf("bound to zone a, rented in %s", z)
	}
	if z := zoneOf(now-micro.Second, false); z != "a" {
		t.Errorf("its machines are heard, only its controllers are not: rented in %s", z)
	}
}

// Machines that come up in a zone that is cut off are left to the work bound to it:
// others once took them into account first, and more were rented there each second.
func TestRoomComingUpInAZoneThatIsCutOffIsLeftToWhatIsBoundToIt(t *testing.T) {
	p := planner()
	p.C.Away["a"] = now - micro.Minute
	p.submit("j-1", 4, 1, false)
	zone := "a"
	p.submit("j-2", 4, 1, false).Spec.Zone = &zone
	for i, z := range []string{"a", "b"} {
		m := p.C.Machine([]string{"i-1", "i-2"}[i], now)
		p.C.Describe(m, "small", z, false)
	}
	if asks, _ := p.Plan(now); len(asks) != 0 {
		t.Errorf("rented though room for both is coming up: %+v", asks)
	}
}
