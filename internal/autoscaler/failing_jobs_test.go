package autoscaler

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
)

// countMachines returns the number of machines in all scale-outs.
func countMachines(scaleOuts []ScaleOut) int {
	total := 0
	for _, scaleOut := range scaleOuts {
		total += scaleOut.Count
	}
	return total
}

// For an array that fails on every machine, capacity was requested for all of its tasks in the last
// seconds of each backoff.
func TestScaleOutIsBoundedForAJobThatFailsEverywhere(t *testing.T) {
	planner := newTestPlanner()
	job := planner.submit("j-1", 5000, 1, false)
	scaleOuts, _ := planner.Plan(now)
	if count := countMachines(scaleOuts); count < 200 {
		t.Fatalf("%d machines requested for 5000 tasks without failures, want at least 200", count)
	}
	job.FailedOn = map[string]bool{"i-1": true, "i-2": true}
	if scaleOuts, _ = planner.Plan(now); countMachines(scaleOuts) < 200 {
		t.Fatalf("%d machines requested after failures on two machines, want at least 200", countMachines(scaleOuts))
	}
	job.FailedOn["i-3"] = true
	if scaleOuts, _ = planner.Plan(now); countMachines(scaleOuts) != 1 {
		t.Fatalf("%d machines requested for a job that fails everywhere, want 1", countMachines(scaleOuts))
	}
	job.DoneTasks = 1
	if scaleOuts, _ = planner.Plan(now); countMachines(scaleOuts) < 200 {
		t.Fatalf("%d machines requested for a job that completed a task, want at least 200", countMachines(scaleOuts))
	}
}

// No capacity is requested for an array that is throttled although capacity is free.
func TestNoScaleOutForThrottledJobsBesideFreeCapacity(t *testing.T) {
	planner := newTestPlanner()
	job := planner.submit("j-1", 5000, 1, false)
	machine := planner.Cluster.EnsureMachine("i-1", now)
	planner.Cluster.DescribeMachine(machine, "small", "a", false)
	planner.Cluster.TransitionMachine(machine, cluster.Up, "heartbeat")
	for i := 0; job.SchedulableTasks(now) > 0; i++ {
		planner.Cluster.Allocate(job, i, machine, 1, 1, now)
	}
	job.Throttled = true
	if scaleOuts, _ := planner.Plan(now); countMachines(scaleOuts) > 0 {
		t.Fatalf("requested %+v for a throttled job, want nothing", scaleOuts)
	}
	job.Throttled = false
	if scaleOuts, _ := planner.Plan(now); countMachines(scaleOuts) < 200 {
		t.Fatalf("%d machines requested without free capacity, want at least 200", countMachines(scaleOuts))
	}
}
