package scheduler

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

const (
	gpuMachines       = 30
	gpuTasksPerWindow = 10 // GPU tasks that arrive within headroomWindow
	cpusBesideGPUTask = 3  // CPUs of a machine that a GPU task leaves free
	testNow           = 1000 * micro.Second
)

// newGPUCluster returns the scheduler of a cluster of GPU machines, and a low-priority array that could fill all
// of them. GPU jobs arrive once a second, and their images take 14 s to fetch.
func newGPUCluster(t *testing.T, objectives ...config.Objective) (*Scheduler, *cluster.Job) {
	t.Helper()
	state := cluster.New(discardEffects{})
	state.SetCatalog(
		&wire.Catalog{
			Types: []wire.MachineType{{Name: "gpu", CPUs: 24, GPUs: 4, MemoryGB: 192, FetchGBPerS: 0.5, Zones: []string{"a"}}},
		},
	)
	state.Teams["team"] = &cluster.Team{Name: "team", GuaranteedGPUs: 100}
	for i := range gpuMachines {
		machine := state.EnsureMachine("i-"+strconv.Itoa(1000+i), 1)
		state.DescribeMachine(machine, "gpu", "a", false)
		state.TransitionMachine(machine, cluster.Up, "heartbeat")
	}
	gang := state.AddJob(
		wire.Job{
			ID: "j-gang", Class: "train", Team: "team", Kind: wire.Gang, Priority: wire.High, Tasks: 1,
			CPUs: 24 - cpusBesideGPUTask, GPUs: 4, MemoryGB: 150, ImageGB: 7,
		},
		testNow,
	)
	for at := testNow - 2*micro.Minute; at < testNow; at += micro.Second {
		gang.Class.Arrivals = append(gang.Class.Arrivals, at)
	}
	properties := config.Defaults()
	scheduler := &Scheduler{
		Cluster: state, Objectives: NewObjectives(objectives), Properties: &properties, Rand: rand.New(rand.NewPCG(1, 2)),
	}
	scheduler.Schedule(testNow) // places the gang
	lowPriority := state.AddJob(
		wire.Job{
			ID: "j-idle", Class: "crawl", Team: "team", Kind: wire.JobArray, Priority: wire.Low, Tasks: 24 * gpuMachines,
			CPUs: 1, MemoryGB: 1, CheckpointIntervalS: 30, CheckpointDurationS: 3,
		},
		testNow,
	)
	lowPriority.DoneTasks = 1 // proves that the array does not fail on every machine, so that it is not throttled
	return scheduler, lowPriority
}

// freeGPUMachines returns the number of machines on which another GPU task fits now.
func freeGPUMachines(scheduler *Scheduler) int {
	return scheduler.countFittingMachines(scheduler.Cluster.Classes["train"])
}

var startWithinTwoMinutes = config.Objective{Kind: "wait", Class: "train", WithinS: 120, Share: 0.9}

// Low-priority tasks that wrote a checkpoint before they were preempted delayed each GPU job of a busy cluster by
// 2 to 4 s of the 30 s within which it should start.
func TestGPUHeadroomIsKeptForJobsThatCannotWaitForACheckpoint(t *testing.T) {
	scheduler, lowPriority := newGPUCluster(
		t, startWithinTwoMinutes, config.Objective{Kind: "guarantee", WithinS: 30, Share: 0.9},
	)
	scheduler.Schedule(testNow)
	if got := freeGPUMachines(scheduler); got != gpuTasksPerWindow {
		t.Errorf("%d machines are free for GPU jobs, want %d", got, gpuTasksPerWindow)
	}
	// All other capacity is used: the remaining machines, and the CPUs beside running and expected GPU tasks.
	want := 24*(gpuMachines-1-gpuTasksPerWindow) + cpusBesideGPUTask*(1+gpuTasksPerWindow)
	if lowPriority.AllocationCount != want {
		t.Errorf("%d low-priority tasks were placed, want %d", lowPriority.AllocationCount, want)
	}
}

// A start objective of two minutes leaves time for a checkpoint, so no capacity may stay unused for GPU jobs.
func TestNoGPUHeadroomIsKeptForJobsThatCanWaitForACheckpoint(t *testing.T) {
	scheduler, lowPriority := newGPUCluster(t, startWithinTwoMinutes)
	scheduler.Schedule(testNow)
	if got := freeGPUMachines(scheduler); got != 0 {
		t.Errorf("%d machines are free for GPU jobs, want 0: two minutes leave time for a checkpoint", got)
	}
	if want := 24*(gpuMachines-1) + cpusBesideGPUTask; lowPriority.AllocationCount != want {
		t.Errorf("%d low-priority tasks were placed, want %d", lowPriority.AllocationCount, want)
	}
}

// Headroom must not keep a job waiting indefinitely.
func TestGPUHeadroomIsOpenToOverdueJobs(t *testing.T) {
	scheduler, lowPriority := newGPUCluster(t, config.Objective{Kind: "guarantee", WithinS: 30, Share: 0.9})
	scheduler.Schedule(testNow)
	overdueJob := scheduler.Cluster.AddJob(
		wire.Job{
			ID: "j-0", Class: "other", Team: "team", Kind: wire.JobArray, Priority: wire.Low, Tasks: 1, CPUs: 4, MemoryGB: 1,
			CheckpointIntervalS: 30, CheckpointDurationS: 3,
		},
		testNow,
	)
	if scheduler.Schedule(testNow + micro.Second); overdueJob.AllocationCount > 0 {
		t.Fatalf(
			"the job was placed at once beside %d low-priority tasks, want headroom kept free", lowPriority.AllocationCount,
		)
	}
	if scheduler.Schedule(testNow + overdueAfter); overdueJob.AllocationCount == 0 {
		t.Error("the overdue job is not placed after a minute")
	}
}
