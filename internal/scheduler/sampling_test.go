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

// discardEffects ignores the effects that the tests need. Any other effect panics.
type discardEffects struct{ cluster.Effects }

func (discardEffects) ScheduleSoon()                  {}
func (discardEffects) Log(string, ...any)             {}
func (discardEffects) ChunkDirty(*cluster.TaskChunk)  {}
func (discardEffects) ChunkUrgent(*cluster.TaskChunk) {}
func (discardEffects) DispatchSoon(*cluster.Machine)  {}

// newLargeCluster returns the scheduler of a cluster of identical machines, with one array of the maximum number of
// tasks.
func newLargeCluster(machines int) *Scheduler {
	state := cluster.New(discardEffects{})
	state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16}}})
	for i := range machines {
		m := state.EnsureMachine("i-"+strconv.Itoa(1000+i), 1)
		state.DescribeMachine(m, "small", "a", false)
		state.TransitionMachine(m, cluster.Up, "heartbeat")
	}
	job := state.AddJob(
		wire.Job{ID: "j-1", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: wire.MaxTasks, CPUs: 1}, 0,
	)
	job.DoneTasks = 1 // proves that the job does not fail on every machine, see cluster.Job.SchedulableTasks
	properties := config.Defaults()
	return &Scheduler{
		Cluster: state, Objectives: NewObjectives(nil), Properties: &properties, Rand: rand.New(rand.NewPCG(1, 2)),
	}
}

// While overloaded, the scheduler examines fewer machines per task, but still fills all machines.
func TestSamplingUnderOverloadFillsAllMachines(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		scheduler := newLargeCluster(400)
		scheduler.Overloaded = overloaded
		total := 0
		for range 60 {
			total += scheduler.Schedule(micro.Second)
		}
		if total != 1600 {
			t.Fatalf("%d tasks were placed on 1600 CPUs, want 1600", total)
		}
		// Each placed task moves its machine to the next lower bucket. There are four buckets with capacity, and with
		// sampling at most a sample of each is examined for a task.
		maxExamined := total * (scheduler.Properties.SampleSize + 1) * 4
		if got := scheduler.MachinesExamined <= maxExamined; got != overloaded {
			t.Errorf(
				"overloaded %v: examined %d machines for %d tasks, want no more than the samples only under overload", overloaded,
				scheduler.MachinesExamined, total,
			)
		}
	}
}

// fullSearch returns the best machine for a task of the job by comparing all machines.
func fullSearch(scheduler *Scheduler, job *cluster.Job, now micro.Time) *cluster.Machine {
	var best candidate
	var bestRank poolRank
	for _, machine := range scheduler.Cluster.SortedMachines() {
		pool := &cluster.MachinePool{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
		request := requestOn(&job.Spec, machine.Type)
		if !machine.Schedulable(now) || !Allowed(&job.Spec, machine.Type, machine.Zone, machine.Spot) ||
			!ZoneAllowed(job, machine.Zone, nil) ||
			!fits(request, machine, nil, resources{}) ||
			!scheduler.mayUse(job, machine, now) {
			continue
		}
		contender, rank := scheduler.evaluate(job, machine, request, 0), scheduler.rankPool(&job.Spec, pool, false)
		if best.machine == nil || rank.betterThan(bestRank) || !bestRank.betterThan(rank) && contender.betterThan(&best) {
			best, bestRank = contender, rank
		}
	}
	return best.machine
}

// maybeHoldImage records that a machine holds the image, with probability 1/4.
func maybeHoldImage(rng *rand.Rand, images cluster.ImageRecord, machine *cluster.Machine) {
	if rng.IntN(4) == 0 {
		images.Machines[machine.Name] = []int{0}
	}
}

// randomGPUs returns 1 to 4 GPUs with probability 1/4, else 0.
func randomGPUs(rng *rand.Rand) float64 {
	if rng.IntN(4) > 0 {
		return 0
	}
	return float64(1 + rng.IntN(4))
}

// maybeReleaseAllocation releases a random allocation with probability 1/3, and returns the remaining ones.
func maybeReleaseAllocation(
	rng *rand.Rand, state *cluster.State, allocations []*cluster.Allocation, now micro.Time,
) []*cluster.Allocation {
	if len(allocations) == 0 || rng.IntN(3) > 0 {
		return allocations
	}
	released := rng.IntN(len(allocations))
	state.StopAllocation(allocations[released], "test", 0, now) // not started yet: released at once
	return append(allocations[:released], allocations[released+1:]...)
}

// changeRandomMachine moves a random machine from Up to Suspect or back, with probability 1/5.
func changeRandomMachine(state *cluster.State, rng *rand.Rand) {
	machines := state.SortedMachines()
	if machine := machines[rng.IntN(len(machines))]; rng.IntN(5) == 0 {
		next := map[cluster.MachineState]cluster.MachineState{cluster.Up: cluster.Suspect, cluster.Suspect: cluster.Up}
		state.TransitionMachine(machine, next[machine.State], "test")
	}
}

// The search by buckets of free capacity must choose the same machine as a full search, on any fleet and after any
// history of allocations, releases and machine states.
func TestPoolBucketSearchMatchesFullSearch(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 7))
		state := cluster.New(discardEffects{})
		state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
			{Name: "small", CPUs: 4, MemoryGB: 16},
			{Name: "large", CPUs: 32, MemoryGB: 100},
			{Name: "gpu", CPUs: 24, GPUs: 4, MemoryGB: 192, FetchGBPerS: 1},
		}})
		state.Types["large"].SpeedFactor, state.Types["gpu"].SpeedFactor = 0.5+rng.Float64(), 0.5+rng.Float64()
		names := []string{"small", "large", "gpu"}
		images := cluster.ImageRecord{Names: []string{"image"}, GB: []float64{9}, Machines: map[string][]int{}}
		for i := range 60 {
			machine := state.EnsureMachine("i-"+strconv.Itoa(100+i), 1)
			state.DescribeMachine(machine, names[rng.IntN(3)], []string{"a", "b"}[rng.IntN(2)], rng.IntN(3) == 0)
			state.TransitionMachine(machine, cluster.Up, "heartbeat")
			maybeHoldImage(rng, images, machine)
		}
		state.RestoreImages(images, 1)
		properties := config.Defaults()
		scheduler := &Scheduler{Cluster: state, Objectives: NewObjectives(nil), Properties: &properties, Rand: rng}
		var allocations []*cluster.Allocation
		found := 0
		for step := range 400 {
			now := micro.Time(step) * micro.Second
			spec := wire.Job{
				ID: "j-" + strconv.Itoa(step), Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1,
				CPUs: float64(1+rng.IntN(60)) / 10, MemoryGB: float64(rng.IntN(200)) / 10, Image: "image",
				ImageGB: float64(rng.IntN(9)), Spot: rng.IntN(2) == 0, Spread: rng.IntN(3) == 0,
			}
			spec.GPUs = randomGPUs(rng)
			job := state.AddJob(spec, 0)
			want, got := fullSearch(scheduler, job, now), scheduler.bestMachine(&placementRequest{job: job, now: now})
			if want != got {
				t.Fatalf("seed %d, step %d: the bucket search chose %+v, the full search %+v", seed, step, got, want)
			}
			if got != nil {
				found++
				scaled := ScaledCPUs(spec.CPUs, got.Type.SpeedFactor, got.Type.CPUs)
				allocations = append(allocations, state.Allocate(job, 0, got, 1, scaled, now))
			}
			allocations = maybeReleaseAllocation(rng, state, allocations, now)
			changeRandomMachine(state, rng)
		}
		if found < 50 {
			t.Fatalf("seed %d: only %d comparisons found a machine, want at least 50", seed, found)
		}
	}
}

func BenchmarkScheduleSampled(b *testing.B) { benchmarkSchedule(b, 2000) }

func BenchmarkScheduleFull(b *testing.B) { benchmarkSchedule(b, 1<<30) }

func benchmarkSchedule(b *testing.B, sampleAbove int) {
	b.Helper()
	scheduler := newLargeCluster(50)
	scheduler.Properties.SampleAbovePending, scheduler.Overloaded = sampleAbove, true
	for range 100 {
		scheduler.Schedule(micro.Second)
	}
	for b.Loop() {
		scheduler.Schedule(micro.Second)
	}
}

// Tasks without checkpoints that were lost with a spot machine were placed on spot machines again and lost again: an
// array of a hundred tasks of 100 s was late more often than not.
func TestTasksThatCannotBeRerunInTimePreferOnDemandMachines(t *testing.T) {
	state := cluster.New(discardEffects{})
	state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16}}})
	for i := range 20 {
		machine := state.EnsureMachine("i-"+strconv.Itoa(10+i), 1)
		state.DescribeMachine(machine, "small", "a", i%2 == 0)
		state.TransitionMachine(machine, cluster.Up, "heartbeat")
	}
	properties := config.Defaults()
	scheduler := &Scheduler{
		Cluster: state, Objectives: NewObjectives([]config.Objective{{Kind: "finished", Class: "c", WithinS: 250}}),
		Properties: &properties, Rand: rand.New(rand.NewPCG(1, 2)),
	}
	now := 1000 * micro.Second
	jobCount := 0
	countOnSpot := func(estimate, checkpoint float64, attempts uint32, submitted micro.Time) int {
		jobCount++
		job := state.AddJob(
			wire.Job{
				ID: "j-" + strconv.Itoa(jobCount), Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 5, CPUs: 1,
				Spot: true, EstimateS: estimate, CheckpointIntervalS: checkpoint,
			},
			submitted,
		)
		for i := range job.Tasks {
			job.Tasks[i].Attempt = attempts
		}
		scheduler.Schedule(now)
		count := 0
		for _, allocation := range job.Allocations() {
			if allocation.Machine.Spot {
				count++
			}
		}
		return count
	}
	for _, test := range []struct {
		name                 string
		estimate, checkpoint float64
		attempts             uint32
		submitted            micro.Time
		want                 int
	}{
		{"short, first attempt", 50, 0, 0, now, 5},
		{"lost once", 50, 0, 1, now, 0},
		{"lost once, writes checkpoints", 50, 10, 1, now, 5},
		{"too long to run twice in time", 130, 0, 0, now, 0},
		{"short, waited too long to run twice in time", 50, 0, 0, now - 160*micro.Second, 0},
		{"too late to run even once in time", 50, 0, 0, now - 240*micro.Second, 5},
	} {
		if got := countOnSpot(test.estimate, test.checkpoint, test.attempts, test.submitted); got != test.want {
			t.Errorf("%s: %d of 5 tasks on spot machines, want %d", test.name, got, test.want)
		}
	}
}
