package autoscaler

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// newExpensiveOfferPlanner returns a planner with a cheap machine type, all of whose offers are refused,
// and a GPU type whose capacity for a task costs three times as much: expensive, but within the maximum
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
		[]config.Objective{{Kind: "finished", Class: "with-objective", WithinS: 1000, Share: 0.9}},
	)
	for _, spot := range []bool{false, true} {
		planner.RefusedUntil[InstanceOffer{"small", "a", spot}] = now + 60*micro.Minute
	}
	return planner
}

// submitWithPriority adds an array of 4000 tasks that has waited longer than maxExpensiveDelay.
func (p *Planner) submitWithPriority(class string, priority wire.Priority) *cluster.Job {
	return p.Cluster.AddJob(
		wire.Job{
			ID: "j-" + class, Class: class, Kind: wire.JobArray, Priority: priority, Tasks: 4000, CPUs: 1, MemoryGB: 1,
			Spot: true, EstimateS: 300,
		},
		now-maxExpensiveDelay-micro.Second,
	)
}

// requestsMachines reports whether a plan made now requests any machine.
func (p *Planner) requestsMachines() bool { scaleOuts, _ := p.Plan(now); return len(scaleOuts) > 0 }

// For an array of thousands of low-priority tasks, of a class without an objective, hundreds of on-demand
// GPU machines were requested. Only after maxExpensiveDelay without any allocation may it get them.
func TestLowPriorityJobWithoutObjectiveRequestsExpensiveMachinesOnlyAfterALongWait(t *testing.T) {
	planner := newExpensiveOfferPlanner()
	job := planner.submitWithPriority("no-objective", wire.Low)
	job.WaitingSince = now - micro.Minute
	if planner.requestsMachines() {
		t.Error("expensive capacity requested for a low-priority job without an objective")
	}
	job.WaitingSince = now - maxExpensiveDelay - micro.Second
	if !planner.requestsMachines() {
		t.Error("no capacity requested for a low-priority job without an allocation for three minutes")
	}
}

// In terms shorter than three minutes, such a job waited permanently, because its waiting time was reset
// in each term. Once the term has settled, its wait in earlier terms counts.
func TestLowPriorityJobThatWaitedInEarlierTermsRequestsExpensiveMachines(t *testing.T) {
	for _, test := range []struct {
		termAge micro.Time
		want    bool
	}{{cluster.TermSettleTime - micro.Second, false}, {cluster.TermSettleTime + micro.Second, true}} {
		planner := newExpensiveOfferPlanner()
		planner.Cluster.TermStartedAt = now - test.termAge
		job := planner.submitWithPriority("no-objective", wire.Low)
		if job.WaitingSince != planner.Cluster.TermStartedAt {
			t.Fatal("WaitingSince is not the start of the term")
		}
		if got := planner.requestsMachines(); got != test.want {
			t.Errorf("%v s after the failover: machines requested: %v", test.termAge.Seconds(), got)
		}
	}
}

func TestJobWithAnObjectiveOrHigherPriorityRequestsExpensiveMachines(t *testing.T) {
	for _, test := range []struct {
		class    string
		priority wire.Priority
	}{{"with-objective", wire.Low}, {"no-objective", wire.Normal}} {
		planner := newExpensiveOfferPlanner()
		planner.submitWithPriority(test.class, test.priority).WaitingSince = now - micro.Minute
		if !planner.requestsMachines() {
			t.Errorf("class %s, priority %s: no machines requested", test.class, test.priority)
		}
	}
}

// Such tasks prevented the termination of an expensive machine that other work had needed: new ones were
// placed on it as long as any were pending.
func TestLowPriorityJobWithoutObjectiveMayNotUseAnExpensiveMachine(t *testing.T) {
	planner := newExpensiveOfferPlanner()
	withoutObjective, withObjective := planner.submitWithPriority("no-objective", wire.Low),
		planner.submitWithPriority("with-objective", wire.Low)
	withoutObjective.WaitingSince, withObjective.WaitingSince = now, now
	gpu, small := planner.Cluster.Types["gpu"], planner.Cluster.Types["small"]
	if planner.WithinPrice(withoutObjective, gpu, false, now) {
		t.Error("low-priority job without an objective may use an expensive machine")
	}
	if !planner.WithinPrice(withoutObjective, small, false, now) || !planner.WithinPrice(withObjective, gpu, false, now) {
		t.Error("cheap capacity, or expensive capacity for a job with an objective, is refused")
	}
}
