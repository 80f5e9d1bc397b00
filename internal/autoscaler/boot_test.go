package autoscaler

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// bootSimulation plans once a second, and rents what is asked for. Each machine is up
// after the time that boots says, in the order in which they are rented; none: never.
type bootSimulation struct {
	*Planner
	bootTime  func(n int) (after micro.Time, comes bool)
	requested int
	upAt      map[*cluster.Machine]micro.Time
}

func (r *bootSimulation) step(now micro.Time) {
	scaleOuts, _ := r.Plan(now)
	for _, scaleOut := range scaleOuts {
		for range scaleOut.Count {
			machine := r.Cluster.EnsureMachine(fmt.Sprintf("i-%03d", r.requested), now)
			r.Cluster.DescribeMachine(machine, scaleOut.Type, scaleOut.Zone, scaleOut.Spot)
			if after, comes := r.bootTime(r.requested); comes {
				r.upAt[machine] = now + after
			}
			r.requested++
		}
	}
	for machine, at := range r.upAt {
		if now >= at {
			r.Cluster.TransitionMachine(machine, cluster.Up, "reports")
		}
	}
}

// The machine that was rented for waiting work never comes. Another is rented while
// it can still start the work within its objective, though it boots slowly itself,
// and not before the first had its time.
func TestReplacementForAMachineThatFailsToBootIsRequestedWithinTheObjective(t *testing.T) {
	const boot, objective = 30 * micro.Second, 110 * micro.Second
	sim := &bootSimulation{Planner: newTestPlanner(), upAt: map[*cluster.Machine]micro.Time{}}
	sim.Objectives = scheduler.NewObjectives([]config.Objective{{Kind: "wait", Class: "c", WithinS: objective.Seconds()}})
	sim.bootTime = func(n int) (micro.Time, bool) { return boot * 3 / 2, n > 0 }
	job := sim.Cluster.AddJob(
		wire.Job{
			ID: "j-1", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 4, CPUs: 1, MemoryGB: 1, EstimateS: 100,
		},
		now,
		now,
	)
	properties := config.Defaults()
	sched := &scheduler.Scheduler{Cluster: sim.Cluster, Objectives: sim.Objectives, Properties: &properties}
	var secondRequestedAt micro.Time
	for at := now; job.AllocationCount == 0; at += micro.Second {
		if at > now+objective {
			t.Fatalf("the work waits after %v s", (at - now).Seconds())
		}
		sim.step(at)
		sched.Schedule(at)
		if sim.requested > 1 && secondRequestedAt == 0 {
			secondRequestedAt = at
		}
	}
	if took := secondRequestedAt - now; took < boot*3/2 || took > objective-boot*3/2 {
		t.Errorf("the second machine was rented after %v s", took.Seconds())
	}
	if sim.requested != 2 {
		t.Errorf("%d machines were rented", sim.requested)
	}
}

// An offer none of whose machines come up is left out for a while, not for one slow
// machine, and not where most do come up; it is asked for again if there is no other.
func TestOfferWithBootFailuresIsExcluded(t *testing.T) {
	cheap := InstanceOffer{"small", "a", false}
	for _, test := range []struct {
		name     string
		late, up int
		only     bool
		want     bool
	}{
		{"none came up", 2, 0, false, false},
		{"one is slow", 1, 0, false, true},
		{"most came up", 2, 3, false, true},
		{"none came up, and there is no other", 2, 0, true, true},
	} {
		planner := newTestPlanner()
		if test.only {
			planner.Cluster.Types["small"].Zones = []string{"a"}
		}
		busy := planner.submit("j-0", 3, 4, false) // takes what is up for good
		busy.Spec.EstimateS = 1e6
		for i := range test.late + test.up {
			machine := planner.addRequestedMachine(i, cheap)
			if i >= test.late {
				planner.Cluster.TransitionMachine(machine, cluster.Up, "reports")
				planner.Cluster.Allocate(busy, i-test.late, machine, 1, 4, now)
			}
		}
		if test.up == 0 {
			planner.Cluster.FinalizeJob(busy, true, now)
		}
		planner.submit("j-1", 4, 1, false)
		requestsCheap := func(at micro.Time) bool { return planner.singleRequestedOffer(t, test.name, at) == cheap }
		if got := requestsCheap(now); got != test.want {
			t.Errorf("%s: asked for %v, want %v", test.name, got, test.want)
		}
		planner.removeLateMachines()
		if got := requestsCheap(now + micro.Minute); got != test.want {
			t.Errorf("%s: a minute later asked for %v, want %v", test.name, got, test.want)
		}
		if !requestsCheap(now + bootFailureExclusion) {
			t.Errorf("%s: left out for good", test.name)
		}
	}
}

// singleRequestedOffer is the offer of the one request that is made.
func (p *Planner) singleRequestedOffer(t *testing.T, name string, at micro.Time) InstanceOffer {
	t.Helper()
	scaleOuts, _ := p.Plan(at)
	if len(scaleOuts) != 1 {
		t.Fatalf("%s: %+v", name, scaleOuts)
	}
	return scaleOuts[0].InstanceOffer
}

// addRequestedMachine adds a machine of the offer that was requested a minute ago.
func (p *Planner) addRequestedMachine(i int, offer InstanceOffer) *cluster.Machine {
	machine := p.Cluster.EnsureMachine(fmt.Sprint("i-", i), now)
	p.Cluster.DescribeMachine(machine, offer.Type, offer.Zone, offer.Spot)
	machine.RequestedAt = now - micro.Minute
	return machine
}

// removeLateMachines removes all machines that never came up.
func (p *Planner) removeLateMachines() {
	for _, machine := range p.Cluster.SortedMachines() {
		if machine.State == cluster.Registering {
			p.Cluster.RemoveMachine(machine, now)
		}
	}
}
