package scale

import (
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/wire"
)

// dearRoomPlanner has a cheap type, whose offers are all refused, and one with GPUs
// that asks three times as much for the room of a task: dear, but not beyond the
// price ratio.
func dearRoomPlanner() *Planner {
	p := planner()
	p.C = model.New(quiet{})
	p.C.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.9, BootS: 30, FetchGBPerS: 1, Zones: []string{"a"}},
		{Name: "gpu", CPUs: 8, GPUs: 1, MemoryGB: 32, Price: 6, SpotPrice: 6, BootS: 30, FetchGBPerS: 1, Zones: []string{"a"}},
	}})
	p.Goals = sched.NewGoals([]config.Objective{{Kind: "finished", Class: "promised", WithinS: 1000, Share: 0.9}})
	for _, spot := range []bool{false, true} {
		p.Refused[Offer{"small", "a", spot}] = now + 60*micro.Minute
	}
	return p
}

func (p *Planner) submitRanked(class string, rank wire.Priority) *model.Job {
	return p.C.AddJob(wire.Job{ID: "j-" + class, Class: class, Kind: wire.Array, Priority: rank, Tasks: 4000, CPUs: 1, MemoryGB: 1, Spot: true, EstimateS: 300}, now-dearWait-micro.Second, now)
}

func (p *Planner) rents() bool { asks, _ := p.Plan(now); return len(asks) > 0 }

// An array of thousands of idle tasks, of a class for which nothing was promised,
// once had hundreds of ordinary GPU machines rented.
func TestIdleWorkWithoutObjectiveRentsNoDearRoom(t *testing.T) {
	p := dearRoomPlanner()
	job := p.submitRanked("guest", wire.Low)
	job.WaitsFrom = now - micro.Minute
	if p.rents() {
		t.Error("dear room is rented for idle work that nothing was promised for")
	}
	job.WaitsFrom = now - dearWait - micro.Second
	if !p.rents() {
		t.Error("idle work none of which found a place for three minutes waits for good")
	}
}

func TestWorkWithAnObjectiveOrOfHigherRankMayRentDearRoom(t *testing.T) {
	for _, row := range []struct {
		class string
		rank  wire.Priority
	}{{"promised", wire.Low}, {"guest", wire.Normal}} {
		p := dearRoomPlanner()
		p.submitRanked(row.class, row.rank).WaitsFrom = now - micro.Minute
		if !p.rents() {
			t.Errorf("class %s, rank %s: nothing is rented", row.class, row.rank)
		}
	}
}

// On a dear machine that other work had needed, such tasks kept it from being
// returned: new ones came as long as any waited.
func TestIdleWorkWithoutObjectiveKeepsNoDearMachine(t *testing.T) {
	p := dearRoomPlanner()
	guest, promised := p.submitRanked("guest", wire.Low), p.submitRanked("promised", wire.Low)
	guest.WaitsFrom, promised.WaitsFrom = now, now
	gpu, small := p.C.Types["gpu"], p.C.Types["small"]
	if p.Affordable(guest, gpu, false, now) {
		t.Error("it may sit on a dear machine")
	}
	if !p.Affordable(guest, small, false, now) || !p.Affordable(promised, gpu, false, now) {
		t.Error("cheap room, or dear room for work with an objective, is refused")
	}
}
