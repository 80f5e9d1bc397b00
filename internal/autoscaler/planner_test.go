package autoscaler

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

type discardEffects struct{ cluster.Effects }

func (discardEffects) ScheduleSoon()                  {}
func (discardEffects) ChunkDirty(*cluster.TaskChunk)  {}
func (discardEffects) ChunkUrgent(*cluster.TaskChunk) {}
func (discardEffects) Log(string, ...any)             {}

const now = 1000 * micro.Second

func newTestPlanner() *Planner {
	state := cluster.New(discardEffects{})
	state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{
			Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 30, FetchGBPerS: 1, Zones: []string{"a", "b"},
		},
		{
			Name: "gpu", CPUs: 24, GPUs: 4, MemoryGB: 96, Price: 60, SpotPrice: 50, BootS: 30, FetchGBPerS: 1,
			Zones: []string{"a"},
		},
	}})
	properties := config.Defaults()
	return New(Config{Cluster: state, Objectives: scheduler.NewObjectives(nil), Properties: &properties})
}

func (p *Planner) submit(id string, tasks int, cpus float64, spot bool) *cluster.Job {
	return p.Cluster.AddJob(
		wire.Job{
			ID: id, Class: id, Kind: wire.JobArray, Priority: wire.Normal, Tasks: tasks, CPUs: cpus, MemoryGB: 1, Spot: spot,
			EstimateS: 100,
		},
		now-micro.Minute,
		now,
	)
}

func TestScaleOutRequestsTheCheapestOfferThatFits(t *testing.T) {
	planner := newTestPlanner()
	planner.submit("j-1", 8, 1, true)
	scaleOuts, _ := planner.Plan(now)
	if len(scaleOuts) != 1 || scaleOuts[0].Count != 2 || scaleOuts[0].Type != "small" || !scaleOuts[0].Spot {
		t.Fatalf("%+v", scaleOuts)
	}
	planner.PendingRequests["r-1"] = scaleOuts[0]
	if repeated, _ := planner.Plan(now); len(repeated) != 0 {
		t.Fatalf("rented twice: %+v", repeated)
	}
}

func TestRefusedAndExpensiveOffersAreNotRequested(t *testing.T) {
	planner := newTestPlanner()
	planner.submit("j-1", 4, 1, false)
	planner.RefusedUntil[InstanceOffer{"small", "a", false}] = now + micro.Second
	scaleOuts, _ := planner.Plan(now)
	if len(scaleOuts) != 1 || scaleOuts[0].Zone != "b" {
		t.Fatalf("%+v", scaleOuts)
	}
	planner.RefusedUntil[InstanceOffer{"small", "b", false}] = now + micro.Second
	if scaleOuts, _ = planner.Plan(now); len(scaleOuts) != 0 {
		t.Fatalf("CPU work rents a GPU machine at 15 times the price: %+v", scaleOuts)
	}
	// Where operators keep machines of their own, readiness wins.
	planner.Cluster.EnsureMachine("own", now).Permanent = true
	if scaleOuts, _ = planner.Plan(now); len(scaleOuts) != 1 || scaleOuts[0].Type != "gpu" {
		t.Fatalf("%+v", scaleOuts)
	}
}

func TestMachineThatFailsToBootIsReplacedAfterItsBootTimeout(t *testing.T) {
	planner := newTestPlanner()
	planner.submit("j-1", 4, 1, true)
	m := planner.Cluster.EnsureMachine("i-1", now)
	planner.Cluster.DescribeMachine(m, "small", "a", true)
	m.RequestedAt = now - 40*micro.Second
	if scaleOuts, _ := planner.Plan(now); len(scaleOuts) != 0 {
		t.Fatalf("still expected: %+v", scaleOuts)
	}
	m.RequestedAt = now - 60*micro.Second
	if scaleOuts, _ := planner.Plan(now); len(scaleOuts) != 1 {
		t.Fatal("nothing is rented in place of a machine that does not come up")
	}
}

func TestIdleMachinesAreTerminatedUnlessPermanent(t *testing.T) {
	planner := newTestPlanner()
	for _, name := range []string{"rented", "own"} {
		m := planner.Cluster.EnsureMachine(name, now)
		planner.Cluster.DescribeMachine(m, "small", "a", false)
		planner.Cluster.TransitionMachine(m, cluster.Up, "reports")
		m.IdleSince = now - 5*micro.Minute
		m.Permanent = name == "own"
	}
	_, idle := planner.Plan(now)
	if len(idle) != 1 || idle[0].Name != "rented" {
		t.Fatalf("%v", idle)
	}
}

func TestArrivalRateIgnoresASingleBurst(t *testing.T) {
	var arrivals []micro.Time
	for range 50 {
		arrivals = append(arrivals, now-100*micro.Second)
	}
	if rate := (&cluster.Class{Arrivals: arrivals}).ArrivalRate(now); rate != 0 {
		t.Errorf("rate %v after one burst", rate)
	}
	for i := range 12 {
		arrivals = append(arrivals, now-micro.Time(i)*10*micro.Second)
	}
	if rate := (&cluster.Class{Arrivals: arrivals}).ArrivalRate(now); rate < 0.09 || rate > 0.11 {
		t.Errorf("rate %v, want 0.1", rate)
	}
}

// Short tasks kept a expensive machine from ever being empty, long after the burst
// that it was rented for.
func TestExpensiveMachineIsCordonedWithoutBacklogAndUncordonedWithBacklog(t *testing.T) {
	planner := newTestPlanner()
	for _, name := range []string{"i-1", "i-2", "i-3", "i-gpu"} {
		machine := planner.Cluster.EnsureMachine(name, now)
		typ := "small"
		if name == "i-gpu" {
			typ = "gpu"
		}
		planner.Cluster.DescribeMachine(machine, typ, "a", false)
		planner.Cluster.TransitionMachine(machine, cluster.Up, "reports")
	}
	job := planner.submit("j-1", 2, 1, false)
	planner.Cluster.Allocate(job, 0, planner.Cluster.Machines["i-gpu"], 1, 1, now)
	planner.Cluster.Allocate(job, 1, planner.Cluster.Machines["i-1"], 1, 1, now)
	planner.Plan(now)
	if planner.Cluster.Machines["i-gpu"].Cordoned {
		t.Fatal("drained before it is known that nothing waits")
	}
	planner.Plan(now + cordonDelay)
	if !planner.Cluster.Machines["i-gpu"].Cordoned || planner.Cluster.Machines["i-1"].Cordoned {
		t.Fatal("the dearest machine that is not needed should take nothing more, and it alone")
	}
	planner.submit("j-2", 40, 4, false)
	planner.Plan(now + cordonDelay + micro.Second)
	if planner.Cluster.Machines["i-gpu"].Cordoned {
		t.Fatal("work waits, and the machine still takes none")
	}
}

// A spread service had one task beside free capacity in one zone and may have no more
// there. That capacity came free, by the plan, so nothing was rented in the other zone.
func TestReleasedCapacityBeyondASpreadLimitDoesNotPreventScaleOut(t *testing.T) {
	planner := newTestPlanner()
	for _, name := range []string{"i-1", "i-2"} {
		m := planner.Cluster.EnsureMachine(name, now)
		planner.Cluster.DescribeMachine(m, "small", "a", false)
		planner.Cluster.TransitionMachine(m, cluster.Up, "reports")
	}
	job := planner.Cluster.AddJob(
		wire.Job{
			ID: "j-1", Class: "c", Kind: wire.Service, Priority: wire.Normal, Tasks: 2, CPUs: 1, MemoryGB: 1, Spread: true,
		},
		now-micro.Minute,
		now,
	)
	planner.Cluster.Allocate(job, 0, planner.Cluster.Machines["i-1"], 1, 1, now)
	scaleOuts, _ := planner.Plan(now)
	if len(scaleOuts) != 1 || scaleOuts[0].Zone != "b" {
		t.Fatalf("its second task waits for good: %+v", scaleOuts)
	}
}

// The same for a job that must stay in the zone where it has begun.
func TestReleasedCapacityInAnotherZoneDoesNotPreventScaleOutForASingleZoneJob(t *testing.T) {
	planner := newTestPlanner()
	for _, name := range []string{"i-1", "i-2"} {
		m := planner.Cluster.EnsureMachine(name, now)
		planner.Cluster.DescribeMachine(m, "small", map[string]string{"i-1": "a", "i-2": "b"}[name], false)
		planner.Cluster.TransitionMachine(m, cluster.Up, "reports")
	}
	job := planner.Cluster.AddJob(
		wire.Job{
			ID: "j-1", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 2, CPUs: 4, MemoryGB: 1, OneZone: true,
			EstimateS: 100,
		},
		now-micro.Minute,
		now,
	)
	planner.Cluster.Allocate(job, 0, planner.Cluster.Machines["i-1"], 1, 4, now)
	scaleOuts, _ := planner.Plan(now)
	if len(scaleOuts) != 1 || scaleOuts[0].Zone != "a" {
		t.Fatalf("its second task waits for room that it may not use: %+v", scaleOuts)
	}
}

// Work with time in hand waits a few seconds for capacity to come free; drained
// machines must not be kept from it for longer.
func TestCordonedMachineIsUncordonedAfterTheScaleOutDelay(t *testing.T) {
	planner := newTestPlanner()
	machine := planner.Cluster.EnsureMachine("i-1", now)
	planner.Cluster.DescribeMachine(machine, "small", "a", false)
	planner.Cluster.TransitionMachine(machine, cluster.Up, "reports")
	planner.Cluster.SetCordoned(machine, true)
	planner.Cluster.AddJob(
		wire.Job{ID: "j-1", Class: "c", Kind: wire.JobArray, Priority: wire.Low, Tasks: 1, CPUs: 1, EstimateS: 10}, now, now,
	)
	planner.Plan(now + micro.Second)
	if !machine.Cordoned {
		t.Fatal("taken back at once")
	}
	planner.Plan(now + 9*micro.Second)
	if machine.Cordoned {
		t.Fatal("the work still waits")
	}
}

// A zone was cut off for so long that its tasks were to run elsewhere. The machines
// for them were rented in the same zone, the cheapest, where they reached nobody.
func TestScaleOutInAnUnreachableZoneOnlyForJobsBoundToIt(t *testing.T) {
	zoneOf := func(lastHeartbeat micro.Time, bound bool) string {
		planner := newTestPlanner()
		planner.Cluster.ZoneUnreachableSince["a"] = now - micro.Minute
		machine := planner.Cluster.EnsureMachine("i-1", now)
		planner.Cluster.DescribeMachine(machine, "small", "a", false)
		machine.State, machine.LastHeartbeat = cluster.Suspect, lastHeartbeat
		job := planner.submit("j-1", 4, 1, false)
		if zone := "a"; bound {
			job.Spec.Zone = &zone
		}
		scaleOuts, _ := planner.Plan(now)
		if len(scaleOuts) != 1 || scaleOuts[0].Count != 1 {
			t.Fatalf("%+v", scaleOuts)
		}
		return scaleOuts[0].Zone
	}
	if got := zoneOf(now-2*micro.Minute, false); got != "b" {
		t.Errorf("rented in zone %s, which is cut off", got)
	}
	if got := zoneOf(now-2*micro.Minute, true); got != "a" {
		t.Errorf("bound to zone a, rented in %s", got)
	}
	if got := zoneOf(now-micro.Second, false); got != "a" {
		t.Errorf("its machines are heard, only its controllers are not: rented in %s", got)
	}
}

// Machines that come up in a zone that is cut off are left to the work bound to it:
// others once took them into account first, and more were rented there each second.
func TestExpectedCapacityInAnUnreachableZoneIsLeftToJobsBoundToIt(t *testing.T) {
	planner := newTestPlanner()
	planner.Cluster.ZoneUnreachableSince["a"] = now - micro.Minute
	planner.submit("j-1", 4, 1, false)
	zone := "a"
	planner.submit("j-2", 4, 1, false).Spec.Zone = &zone
	for i, z := range []string{"a", "b"} {
		m := planner.Cluster.EnsureMachine([]string{"i-1", "i-2"}[i], now)
		planner.Cluster.DescribeMachine(m, "small", z, false)
	}
	if scaleOuts, _ := planner.Plan(now); len(scaleOuts) != 0 {
		t.Errorf("rented though room for both is coming up: %+v", scaleOuts)
	}
}

// A service that other services of its team will give quota to has machines requested beyond the
// limit, and none where only a shard could use them.
func TestMachinesForAServiceThatReceivesQuotaAreRequestedBeyondTheTeamLimit(t *testing.T) {
	planner := newTestPlanner()
	team := &cluster.Team{Name: "team", CPULimit: 8, UsedCPU: 8}
	planner.Cluster.Teams["team"] = team
	service := planner.Cluster.AddJob(wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.Service, Priority: wire.Normal, Tasks: 2, CPUs: 4, MemoryGB: 1,
	}, now-micro.Minute, now)
	planner.OwnsOffer = func(offer InstanceOffer) bool { return offer.Zone == "b" }
	planner.ShardAcceptsJob = func(*cluster.Job, InstanceOffer) bool { return true }
	if scaleOuts, _ := planner.Plan(now); len(scaleOuts) > 0 {
		t.Fatalf("requested beyond the limit: %+v", scaleOuts)
	}
	team.Transfer = cluster.QuotaTransfer{Recipient: service, Since: now}
	scaleOuts, _ := planner.Plan(now)
	if len(scaleOuts) != 1 || scaleOuts[0].Zone != "b" || scaleOuts[0].Count != 2 {
		t.Fatalf("%+v, want two machines in zone b", scaleOuts)
	}
}
