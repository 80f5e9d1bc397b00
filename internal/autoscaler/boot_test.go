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

// bootSimulation makes a plan at each step and provisions the requested machines. The nth machine, counted
// from 0, is up after the time that bootTime returns for n, or never if boots is false.
type bootSimulation struct {
	*Planner
	bootTime  func(n int) (after micro.Time, boots bool)
	requested int
	upAt      map[*cluster.Machine]micro.Time
}

func (s *bootSimulation) step(now micro.Time) {
	scaleOuts, _ := s.Plan(now)
	for _, scaleOut := range scaleOuts {
		for range scaleOut.Count {
			machine := s.Cluster.EnsureMachine(fmt.Sprintf("i-%03d", s.requested), now)
			s.Cluster.DescribeMachine(machine, scaleOut.Type, scaleOut.Zone, scaleOut.Spot)
			if after, boots := s.bootTime(s.requested); boots {
				s.upAt[machine] = now + after
			}
			s.requested++
		}
	}
	for machine, at := range s.upAt {
		if now >= at {
			s.Cluster.TransitionMachine(machine, cluster.Up, "heartbeat")
		}
	}
}

// The machine that was requested for a pending job never boots. A second one must be requested: not before
// a slow boot of the first would have ended, and early enough to start the job within its objective
// although the second boots slowly, too.
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
	)
	properties := config.Defaults()
	sched := &scheduler.Scheduler{Cluster: sim.Cluster, Objectives: sim.Objectives, Properties: &properties}
	var secondRequestedAt micro.Time
	for at := now; job.AllocationCount == 0; at += micro.Second {
		if at > now+objective {
			t.Fatalf("job still pending after %v s", (at - now).Seconds())
		}
		sim.step(at)
		sched.Schedule(at)
		if sim.requested > 1 && secondRequestedAt == 0 {
			secondRequestedAt = at
		}
	}
	if took := secondRequestedAt - now; took < boot*3/2 || took > objective-boot*3/2 {
		t.Errorf("second machine requested after %v s, want 45 to 65 s", took.Seconds())
	}
	if sim.requested != 2 {
		t.Errorf("%d machines requested, want 2", sim.requested)
	}
}

// An offer whose machines fail to boot is excluded for bootFailureExclusion, but not because of a single
// slow machine, nor if most of its machines boot. It is still requested if there is no other offer.
func TestOfferWithBootFailuresIsExcluded(t *testing.T) {
	cheap := InstanceOffer{"small", "a", false}
	for _, test := range []struct {
		name      string
		late, up  int
		onlyOffer bool
		want      bool
	}{
		{"no machine booted", 2, 0, false, false},
		{"one machine boots slowly", 1, 0, false, true},
		{"most machines booted", 2, 3, false, true},
		{"no machine booted and there is no other offer", 2, 0, true, true},
	} {
		planner := newTestPlanner()
		if test.onlyOffer {
			planner.Cluster.Types["small"].Zones = []string{"a"}
		}
		busy := planner.submit("j-0", 3, 4, false) // occupies the machines that are up for the whole test
		busy.Spec.EstimateS = 1e6
		for i := range test.late + test.up {
			machine := planner.addRequestedMachine(i, cheap)
			if i >= test.late {
				planner.Cluster.TransitionMachine(machine, cluster.Up, "heartbeat")
				planner.Cluster.Allocate(busy, i-test.late, machine, 1, 4, now)
			}
		}
		if test.up == 0 {
			planner.Cluster.FinalizeJob(busy, true, now)
		}
		planner.submit("j-1", 4, 1, false)
		requestsCheap := func(at micro.Time) bool { return planner.singleRequestedOffer(t, test.name, at) == cheap }
		if got := requestsCheap(now); got != test.want {
			t.Errorf("%s: cheap offer requested: %v, want %v", test.name, got, test.want)
		}
		planner.removeLateMachines()
		if got := requestsCheap(now + micro.Minute); got != test.want {
			t.Errorf("%s: cheap offer requested a minute later: %v, want %v", test.name, got, test.want)
		}
		if !requestsCheap(now + bootFailureExclusion) {
			t.Errorf("%s: cheap offer not requested after bootFailureExclusion", test.name)
		}
	}
}

// singleRequestedOffer makes a plan and returns the offer of its request, of which there must be one.
func (p *Planner) singleRequestedOffer(t *testing.T, name string, at micro.Time) InstanceOffer {
	t.Helper()
	scaleOuts, _ := p.Plan(at)
	if len(scaleOuts) != 1 {
		t.Fatalf("%s: requests %+v, want one", name, scaleOuts)
	}
	return scaleOuts[0].InstanceOffer
}

// addRequestedMachine adds a machine of an offer that was requested a minute ago and is still booting.
func (p *Planner) addRequestedMachine(i int, offer InstanceOffer) *cluster.Machine {
	machine := p.Cluster.EnsureMachine(fmt.Sprint("i-", i), now)
	p.Cluster.DescribeMachine(machine, offer.Type, offer.Zone, offer.Spot)
	machine.RequestedAt = now - micro.Minute
	return machine
}

// removeLateMachines removes all machines that did not boot.
func (p *Planner) removeLateMachines() {
	for _, machine := range p.Cluster.SortedMachines() {
		if machine.State == cluster.Registering {
			p.Cluster.RemoveMachine(machine, now)
		}
	}
}
