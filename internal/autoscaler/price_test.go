package autoscaler

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// newExpensiveOfferPlanner has a cheap type, whose offers are all refused, and one with GPUs
// that asks three times as much for the capacity of a task: dear, but not beyond the
// price ratio.
func newExpensiveOfferPlanner() *Planner {
	planner := newTestPlanner()
	planner.Cluster = cluster.New(discardEffects{})
	planner.Cluster.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.9, BootS: 30, FetchGBPerS: 1, Zones: []string{"a"}},
		{
			Name: "gpu", CPUs: 8, GPUs: 1, MemoryGB: 32, Price: 6, SpotPrice: 6, BootS: 30, FetchGBPerS: 1, Zones: []string{"a"},
		},
	}})
	planner.Objectives = scheduler.NewObjectives(
		[]config.Objective{{Kind: "finished", Class: "promised", WithinS: 1000, Share: 0.9}},
	)
	for _, spot := range []bool{false, true} {
		planner.RefusedUntil[InstanceOffer{"small", "a", spot}] = now + 60*micro.Minute
	}
	return planner
}

func (p *Planner) submitWithPriority(class string, priority wire.Priority) *cluster.Job {
	return p.Cluster.AddJob(
		wire.Job{
			ID: "j-" + class, Class: class, Kind: wire.JobArray, Priority: priority, Tasks: 4000, CPUs: 1, MemoryGB: 1,
			Spot: true, EstimateS: 300,
		},
		now-maxExpensiveDelay-micro.Second,
		now,
	)
}

func (p *Planner) requestsMachines() bool { scaleOuts, _ := p.Plan(now); return len(scaleOuts) > 0 }

// An array of thousands of idle tasks, of a class for which nothing was promised,
// once had hundreds of ordinary GPU machines rented.
func TestLowPriorityJobWithoutObjectiveRequestsExpensiveMachinesOnlyAfterALongWait(t *testing.T) {
	planner := newExpensiveOfferPlanner()
	job := planner.submitWithPriority("guest", wire.Low)
	job.WaitingSince = now - micro.Minute
	if planner.requestsMachines() {
		t.Error("dear room is rented for idle work that nothing was promised for")
	}
	job.WaitingSince = now - maxExpensiveDelay - micro.Second
	if !planner.requestsMachines() {
		t.Error("idle work none of which found a place for three minutes waits for good")
	}
}

// In terms of less than three minutes such work waited for good: each began the count anew.
func TestLowPriorityJobThatWaitedInEarlierTermsRequestsExpensiveMachines(t *testing.T) {
	for _, test := range []struct {
		termAge micro.Time
		want    bool
	}{{cluster.TermSettleTime - micro.Second, false}, {cluster.TermSettleTime + micro.Second, true}} {
		planner := newExpensiveOfferPlanner()
		planner.Cluster.TermStartedAt = now - test.termAge
		job := planner.submitWithPriority("guest", wire.Low)
		if job.WaitingSince != planner.Cluster.TermStartedAt {
			t.Fatal("its wait does not count from the failover")
		}
		if got := planner.requestsMachines(); got != test.want {
			t.Errorf("%v s after the failover it requests machines: %v", test.termAge.Seconds(), got)
		}
	}
}

func TestJobWithAnObjectiveOrHigherPriorityRequestsExpensiveMachines(t *testing.T) {
	for _, test := range []struct {
		class string
		rank  wire.Priority
	}{{"promised", wire.Low}, {"guest", wire.Normal}} {
		planner := newExpensiveOfferPlanner()
		planner.submitWithPriority(test.class, test.rank).WaitingSince = now - micro.Minute
		if !planner.requestsMachines() {
			t.Errorf("class %s, rank %s: nothing is rented", test.class, test.rank)
		}
	}
}

// On a expensive machine that other work had needed, such tasks kept it from being
// returned: new ones came as long as any waited.
func TestLowPriorityJobWithoutObjectiveMayNotUseAnExpensiveMachine(t *testing.T) {
	planner := newExpensiveOfferPlanner()
	guest, promised := planner.submitWithPriority("guest", wire.Low), planner.submitWithPriority("promised", wire.Low)
	guest.WaitingSince, promised.WaitingSince = now, now
	gpu, small := planner.Cluster.Types["gpu"], planner.Cluster.Types["small"]
	if planner.WithinPrice(guest, gpu, false, now) {
		t.Error("it may sit on a dear machine")
	}
	if !planner.WithinPrice(guest, small, false, now) || !planner.WithinPrice(promised, gpu, false, now) {
		t.Error("cheap room, or dear room for work with an objective, is refused")
	}
}
