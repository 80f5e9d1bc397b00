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

// newTestPlanner returns a planner with a cheap type in two zones, an expensive GPU type in one, and no
// machines.
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

// submit adds a job array of normal priority that has waited for a minute.
func (p *Planner) submit(id string, tasks int, cpus float64, spot bool) *cluster.Job {
	return p.Cluster.AddJob(
		wire.Job{
			ID: id, Class: id, Kind: wire.JobArray, Priority: wire.Normal, Tasks: tasks, CPUs: cpus, MemoryGB: 1, Spot: spot,
			EstimateS: 100,
		},
		now-micro.Minute,
	)
}

func TestScaleOutRequestsTheCheapestOfferThatFits(t *testing.T) {
	planner := newTestPlanner()
	planner.submit("j-1", 8, 1, true)
	scaleOuts, _ := planner.Plan(now)
	if len(scaleOuts) != 1 || scaleOuts[0].Count != 2 || scaleOuts[0].Type != "small" || !scaleOuts[0].Spot {
		t.Fatalf("requested %+v, want two small spot machines", scaleOuts)
	}
	planner.PendingRequests["r-1"] = scaleOuts[0]
	if repeated, _ := planner.Plan(now); len(repeated) != 0 {
		t.Fatalf("requested again while the first request is pending: %+v", repeated)
	}
}

func TestRefusedAndExpensiveOffersAreNotRequested(t *testing.T) {
	planner := newTestPlanner()
	planner.submit("j-1", 4, 1, false)
	planner.RefusedUntil[InstanceOffer{"small", "a", false}] = now + micro.Second
	scaleOuts, _ := planner.Plan(now)
	if len(scaleOuts) != 1 || scaleOuts[0].Zone != "b" {
		t.Fatalf("requested %+v, want one request in zone b", scaleOuts)
	}
	planner.RefusedUntil[InstanceOffer{"small", "b", false}] = now + micro.Second
	if scaleOuts, _ = planner.Plan(now); len(scaleOuts) != 0 {
		t.Fatalf("GPU machine requested for CPU work at 15 times the price: %+v", scaleOuts)
	}
	// Where operators have machines of their own, readiness matters more than cost.
	planner.Cluster.EnsureMachine("operator-owned", now).Permanent = true
	if scaleOuts, _ = planner.Plan(now); len(scaleOuts) != 1 || scaleOuts[0].Type != "gpu" {
		t.Fatalf("requested %+v, want one request of GPU machines", scaleOuts)
	}
}

func TestMachineThatFailsToBootIsReplacedAfterItsBootTimeout(t *testing.T) {
	planner := newTestPlanner()
	planner.submit("j-1", 4, 1, true)
	m := planner.Cluster.EnsureMachine("i-1", now)
	planner.Cluster.DescribeMachine(m, "small", "a", true)
	m.RequestedAt = now - 40*micro.Second
	if scaleOuts, _ := planner.Plan(now); len(scaleOuts) != 0 {
		t.Fatalf("replacement requested before the boot timeout: %+v", scaleOuts)
	}
	m.RequestedAt = now - 60*micro.Second
	if scaleOuts, _ := planner.Plan(now); len(scaleOuts) != 1 {
		t.Fatal("no replacement requested after the boot timeout")
	}
}

func TestIdleMachinesAreTerminatedUnlessPermanent(t *testing.T) {
	planner := newTestPlanner()
	for _, name := range []string{"provisioned", "operator-owned"} {
		m := planner.Cluster.EnsureMachine(name, now)
		planner.Cluster.DescribeMachine(m, "small", "a", false)
		planner.Cluster.TransitionMachine(m, cluster.Up, "heartbeat")
		m.IdleSince = now - 5*micro.Minute
		m.Permanent = name == "operator-owned"
	}
	_, idle := planner.Plan(now)
	if len(idle) != 1 || idle[0].Name != "provisioned" {
		t.Fatalf("idle machines %v, want the provisioned one", idle)
	}
}

func TestArrivalRateIgnoresASingleBurst(t *testing.T) {
	var arrivals []micro.Time
	for range 50 {
		arrivals = append(arrivals, now-100*micro.Second)
	}
	if rate := (&cluster.Class{Arrivals: arrivals}).ArrivalRate(now); rate != 0 {
		t.Errorf("rate %v after a single burst, want 0", rate)
	}
	for i := range 12 {
		arrivals = append(arrivals, now-micro.Time(i)*10*micro.Second)
	}
	if rate := (&cluster.Class{Arrivals: arrivals}).ArrivalRate(now); rate < 0.09 || rate > 0.11 {
		t.Errorf("rate %v, want 0.1 tasks per second", rate)
	}
}

// Short tasks kept an expensive machine from ever becoming empty, long after the burst for which it was
// requested.
func TestExpensiveMachineIsCordonedWithoutBacklogAndUncordonedWithBacklog(t *testing.T) {
	planner := newTestPlanner()
	for _, name := range []string{"i-1", "i-2", "i-3", "i-gpu"} {
		machine := planner.Cluster.EnsureMachine(name, now)
		typ := "small"
		if name == "i-gpu" {
			typ = "gpu"
		}
		planner.Cluster.DescribeMachine(machine, typ, "a", false)
		planner.Cluster.TransitionMachine(machine, cluster.Up, "heartbeat")
	}
	job := planner.submit("j-1", 2, 1, false)
	planner.Cluster.Allocate(job, 0, planner.Cluster.Machines["i-gpu"], 1, 1, now)
	planner.Cluster.Allocate(job, 1, planner.Cluster.Machines["i-1"], 1, 1, now)
	planner.Plan(now)
	if planner.Cluster.Machines["i-gpu"].Cordoned {
		t.Fatal("cordoned before cordonDelay has passed without a backlog")
	}
	planner.Plan(now + cordonDelay)
	if !planner.Cluster.Machines["i-gpu"].Cordoned || planner.Cluster.Machines["i-1"].Cordoned {
		t.Fatal("want only the most expensive machine that is not needed cordoned")
	}
	planner.submit("j-2", 40, 4, false)
	planner.Plan(now + cordonDelay + micro.Second)
	if planner.Cluster.Machines["i-gpu"].Cordoned {
		t.Fatal("machine still cordoned while a job waits")
	}
}

// A spread service had one task in a zone with free capacity, and may have no more there. The plan counted
// on that capacity for its second task, so nothing was requested in the other zone.
func TestReleasedCapacityBeyondASpreadLimitDoesNotPreventScaleOut(t *testing.T) {
	planner := newTestPlanner()
	for _, name := range []string{"i-1", "i-2"} {
		m := planner.Cluster.EnsureMachine(name, now)
		planner.Cluster.DescribeMachine(m, "small", "a", false)
		planner.Cluster.TransitionMachine(m, cluster.Up, "heartbeat")
	}
	job := planner.Cluster.AddJob(
		wire.Job{
			ID: "j-1", Class: "c", Kind: wire.Service, Priority: wire.Normal, Tasks: 2, CPUs: 1, MemoryGB: 1, Spread: true,
		},
		now-micro.Minute,
	)
	planner.Cluster.Allocate(job, 0, planner.Cluster.Machines["i-1"], 1, 1, now)
	scaleOuts, _ := planner.Plan(now)
	if len(scaleOuts) != 1 || scaleOuts[0].Zone != "b" {
		t.Fatalf("requested %+v for the second task, want one request in zone b", scaleOuts)
	}
}

// The plan must not count on free capacity in another zone for a job that must run in a single zone and
// has an allocation already.
func TestReleasedCapacityInAnotherZoneDoesNotPreventScaleOutForASingleZoneJob(t *testing.T) {
	planner := newTestPlanner()
	for _, name := range []string{"i-1", "i-2"} {
		m := planner.Cluster.EnsureMachine(name, now)
		planner.Cluster.DescribeMachine(m, "small", map[string]string{"i-1": "a", "i-2": "b"}[name], false)
		planner.Cluster.TransitionMachine(m, cluster.Up, "heartbeat")
	}
	job := planner.Cluster.AddJob(
		wire.Job{
			ID: "j-1", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 2, CPUs: 4, MemoryGB: 1, OneZone: true,
			EstimateS: 100,
		},
		now-micro.Minute,
	)
	planner.Cluster.Allocate(job, 0, planner.Cluster.Machines["i-1"], 1, 4, now)
	scaleOuts, _ := planner.Plan(now)
	if len(scaleOuts) != 1 || scaleOuts[0].Zone != "a" {
		t.Fatalf("requested %+v for the second task, want one request in zone a", scaleOuts)
	}
}

// A job whose latest start is not near waits a few seconds for capacity to be released; after that,
// cordoned machines must be available to it.
func TestCordonedMachineIsUncordonedAfterTheScaleOutDelay(t *testing.T) {
	planner := newTestPlanner()
	machine := planner.Cluster.EnsureMachine("i-1", now)
	planner.Cluster.DescribeMachine(machine, "small", "a", false)
	planner.Cluster.TransitionMachine(machine, cluster.Up, "heartbeat")
	planner.Cluster.SetCordoned(machine, true)
	planner.Cluster.AddJob(
		wire.Job{ID: "j-1", Class: "c", Kind: wire.JobArray, Priority: wire.Low, Tasks: 1, CPUs: 1, EstimateS: 10}, now,
	)
	planner.Plan(now + micro.Second)
	if !machine.Cordoned {
		t.Fatal("uncordoned before the scale-out delay")
	}
	planner.Plan(now + 9*micro.Second)
	if machine.Cordoned {
		t.Fatal("still cordoned after the scale-out delay")
	}
}

// A zone was unreachable for so long that its tasks were to run elsewhere. Machines for them were requested
// in the same zone, since it was the cheapest, and could reach no controller there.
func TestScaleOutInAnUnreachableZoneOnlyForJobsBoundToIt(t *testing.T) {
	requestedZone := func(lastHeartbeat micro.Time, bound bool) string {
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
			t.Fatalf("requested %+v, want one machine", scaleOuts)
		}
		return scaleOuts[0].Zone
	}
	if got := requestedZone(now-2*micro.Minute, false); got != "b" {
		t.Errorf("requested in zone %s, want b since a is unreachable", got)
	}
	if got := requestedZone(now-2*micro.Minute, true); got != "a" {
		t.Errorf("requested in zone %s for a job bound to a", got)
	}
	if got := requestedZone(now-micro.Second, false); got != "a" {
		t.Errorf("requested in zone %s, want a, whose machines still send heartbeats", got)
	}
}

// Machines that boot in an unreachable zone are left to the jobs bound to it: capacity there was once
// reserved for other jobs first, and more machines were requested there each second.
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
		t.Errorf("requested %+v although capacity for both jobs is booting", scaleOuts)
	}
}

// For a service that will receive quota from other services of its team, machines are requested beyond
// the team's limit, but none that only a shard could use.
func TestMachinesForAServiceThatReceivesQuotaAreRequestedBeyondTheTeamLimit(t *testing.T) {
	planner := newTestPlanner()
	team := &cluster.Team{Name: "team", CPULimit: 8, UsedCPU: 8}
	planner.Cluster.Teams["team"] = team
	service := planner.Cluster.AddJob(wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.Service, Priority: wire.Normal, Tasks: 2, CPUs: 4, MemoryGB: 1,
	}, now-micro.Minute)
	planner.OwnsOffer = func(offer InstanceOffer) bool { return offer.Zone == "b" }
	planner.ShardAcceptsJob = func(*cluster.Job, InstanceOffer) bool { return true }
	if scaleOuts, _ := planner.Plan(now); len(scaleOuts) > 0 {
		t.Fatalf("requested beyond the team's limit: %+v", scaleOuts)
	}
	team.Transfer = cluster.QuotaTransfer{Recipient: service, Since: now}
	scaleOuts, _ := planner.Plan(now)
	if len(scaleOuts) != 1 || scaleOuts[0].Zone != "b" || scaleOuts[0].Count != 2 {
		t.Fatalf("requested %+v, want two machines in zone b", scaleOuts)
	}
}
