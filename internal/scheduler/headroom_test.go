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
	gpuTasksPerWindow = 10 // GPU tasks that arrive in headroomWindow
	cpusBesideGPUTask = 3  // CPUs of a machine that a GPU task leaves
	testNow           = 1000 * micro.Second
)

// newGPUCluster is a site of GPU machines whose GPU jobs arrive one a second, with images
// that take 14 s, and an idle array that could fill all machines.
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
		state.TransitionMachine(machine, cluster.Up, "reports")
	}
	gang := state.AddJob(
		wire.Job{
			ID: "j-gang", Class: "train", Team: "team", Kind: wire.Gang, Priority: wire.High, Tasks: 1,
			CPUs: 24 - cpusBesideGPUTask, GPUs: 4, MemoryGB: 150, ImageGB: 7,
		},
		testNow,
		testNow,
	)
	for at := testNow - 2*micro.Minute; at < testNow; at += micro.Second {
		gang.Class.Arrivals = append(gang.Class.Arrivals, at)
	}
	properties := config.Defaults()
	scheduler := &Scheduler{
		Cluster: state, Objectives: NewObjectives(objectives), Properties: &properties, Rand: rand.New(rand.NewPCG(1, 2)),
	}
	scheduler.Schedule(testNow) // the gang has its machine
	idle := state.AddJob(
		wire.Job{
			ID: "j-idle", Class: "crawl", Team: "team", Kind: wire.JobArray, Priority: wire.Low, Tasks: 24 * gpuMachines,
			CPUs: 1, MemoryGB: 1, CheckpointIntervalS: 30, CheckpointDurationS: 3,
		},
		testNow,
		testNow,
	)
	idle.DoneTasks = 1 // it is known not to fail everywhere
	return scheduler, idle
}

// freeGPUMachines counts the machines that can take another GPU task at once.
func freeGPUMachines(scheduler *Scheduler) int {
	return scheduler.countFittingMachines(scheduler.Cluster.Classes["train"])
}

var startWithinTwoMinutes = config.Objective{Kind: "wait", Class: "train", WithinS: 120, Share: 0.9}

// Idle work that saved first before it yielded cost each GPU job of a busy site 2 to
// 4 s of the 30 s in which it should start.
func TestGPUHeadroomIsKeptForJobsThatCannotWaitForACheckpoint(t *testing.T) {
	scheduler, idle := newGPUCluster(
		t, startWithinTwoMinutes, config.Objective{Kind: "guarantee", WithinS: 30, Share: 0.9},
	)
	scheduler.Schedule(testNow)
	if got := freeGPUMachines(scheduler); got != gpuTasksPerWindow {
		t.Errorf("%d machines are clear, want %d", got, gpuTasksPerWindow)
	}
	// All other capacity is used: whole machines, and what GPU tasks leave beside them.
	want := 24*(gpuMachines-1-gpuTasksPerWindow) + cpusBesideGPUTask*(1+gpuTasksPerWindow)
	if idle.AllocationCount != want {
		t.Errorf("%d idle tasks were placed, want %d", idle.AllocationCount, want)
	}
}

func TestNoGPUHeadroomIsKeptForJobsThatCanWaitForACheckpoint(t *testing.T) {
	scheduler, idle := newGPUCluster(t, startWithinTwoMinutes)
	scheduler.Schedule(testNow)
	if got := freeGPUMachines(scheduler); got != 0 {
		t.Errorf("%d machines are clear, though two minutes leave time for a save", got)
	}
	if want := 24*(gpuMachines-1) + cpusBesideGPUTask; idle.AllocationCount != want {
		t.Errorf("%d idle tasks were placed, want %d", idle.AllocationCount, want)
	}
}

// No job waits for good beside capacity that is kept clear.
func TestGPUHeadroomIsOpenToOverdueJobs(t *testing.T) {
	scheduler, idle := newGPUCluster(t, config.Objective{Kind: "guarantee", WithinS: 30, Share: 0.9})
	scheduler.Schedule(testNow)
	overdueJob := scheduler.Cluster.AddJob(
		wire.Job{
			ID: "j-0", Class: "other", Team: "team", Kind: wire.JobArray, Priority: wire.Low, Tasks: 1, CPUs: 4, MemoryGB: 1,
			CheckpointIntervalS: 30, CheckpointDurationS: 3,
		},
		testNow,
		testNow,
	)
	if scheduler.Schedule(testNow + micro.Second); overdueJob.AllocationCount > 0 {
		t.Fatalf("placed at once, beside %d idle tasks", idle.AllocationCount)
	}
	if scheduler.Schedule(testNow + overdueAfter); overdueJob.AllocationCount == 0 {
		t.Error("still waits after a minute")
	}
}
