package autoscaler

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
)

func countMachines(scaleOuts []ScaleOut) int {
	total := 0
	for _, scaleOut := range scaleOuts {
		total += scaleOut.Count
	}
	return total
}

// For an array that fails everywhere capacity was rented for all of its tasks, for the
// last seconds of each pause between its tries.
func TestScaleOutIsBoundedForAJobThatFailsEverywhere(t *testing.T) {
	planner := newTestPlanner()
	job := planner.submit("j-1", 5000, 1, false)
	scaleOuts, _ := planner.Plan(now)
	if count := countMachines(scaleOuts); count < 200 {
		t.Fatalf("%d machines for 5000 tasks of which nothing is known", count)
	}
	job.FailedOn = map[string]bool{"i-1": true, "i-2": true}
	if scaleOuts, _ = planner.Plan(now); countMachines(scaleOuts) < 200 {
		t.Fatalf("%d machines for 5000 tasks, for failures on two machines", countMachines(scaleOuts))
	}
	job.FailedOn["i-3"] = true
	if scaleOuts, _ = planner.Plan(now); countMachines(scaleOuts) != 1 {
		t.Fatalf("%d machines for a job that fails everywhere", countMachines(scaleOuts))
	}
	job.DoneTasks = 1
	if scaleOuts, _ = planner.Plan(now); countMachines(scaleOuts) < 200 {
		t.Fatalf("%d machines for a job that completed a task", countMachines(scaleOuts))
	}
}

// An array that is held back beside free capacity needs no other capacity yet.
func TestNoScaleOutForThrottledJobsBesideFreeCapacity(t *testing.T) {
	planner := newTestPlanner()
	job := planner.submit("j-1", 5000, 1, false)
	machine := planner.Cluster.EnsureMachine("i-1", now)
	planner.Cluster.DescribeMachine(machine, "small", "a", false)
	planner.Cluster.TransitionMachine(machine, cluster.Up, "reports")
	for i := 0; job.SchedulableTasks(now) > 0; i++ {
		planner.Cluster.Allocate(job, i, machine, 1, 1, now)
	}
	job.Throttled = true
	if scaleOuts, _ := planner.Plan(now); countMachines(scaleOuts) > 0 {
		t.Fatalf("%+v", scaleOuts)
	}
	job.Throttled = false
	if scaleOuts, _ := planner.Plan(now); countMachines(scaleOuts) < 200 {
		t.Fatalf("%d machines, though there is no room", countMachines(scaleOuts))
	}
}
