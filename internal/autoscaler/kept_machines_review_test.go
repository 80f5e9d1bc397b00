package autoscaler

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// No machine is requested for a job of the highest priority, as it is taken to fit one that is kept for a service, and
// closed to it for minutes.
func TestMachineKeptForAServiceIsNoCapacityForOthers(t *testing.T) {
	for name, kept := range map[string]bool{"kept": true, "not kept": false} {
		t.Run(name, func(t *testing.T) {
			planner := newTestPlanner()
			machine := planner.Cluster.EnsureMachine("i-1", now)
			planner.Cluster.DescribeMachine(machine, "small", "a", false)
			planner.Cluster.TransitionMachine(machine, cluster.Up, "reports")
			if kept {
				machine.ReservedFor = planner.Cluster.AddJob(
					wire.Job{ID: "j-1", Class: "s", Kind: wire.Service, Priority: wire.Low, Tasks: 2, CPUs: 2, MemoryGB: 1}, 0, 0,
				)
				planner.Cluster.Assign(machine.ReservedFor, "east")
				machine.KeptForMove, machine.ReservedAt = true, now
			}
			planner.Cluster.AddJob(
				wire.Job{
					ID: "j-2", Class: "c", Kind: wire.JobArray, Priority: wire.High, Tasks: 1, CPUs: 4, MemoryGB: 1, EstimateS: 100,
				},
				now-micro.Minute, now,
			)
			scaleOuts, _ := planner.Plan(now)
			if requested := len(scaleOuts) > 0; requested != kept {
				t.Errorf("requested: %v", requested)
			}
		})
	}
}
