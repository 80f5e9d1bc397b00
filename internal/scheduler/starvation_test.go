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

// contendedCluster is a cluster to which more jobs are submitted than it has capacity for.
type contendedCluster struct {
	t         *testing.T
	cluster   *cluster.State
	scheduler *Scheduler
	submitted int
	startedAt map[*cluster.Job]micro.Time // when the other jobs got their allocations
}

func newContendedCluster(t *testing.T, machines int) *contendedCluster {
	t.Helper()
	state := cluster.New(discardEffects{})
	state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "gpu", CPUs: 8, GPUs: 4, MemoryGB: 16}}})
	for i := range machines {
		m := state.EnsureMachine("i-"+strconv.Itoa(10+i), 1)
		state.DescribeMachine(m, "gpu", []string{"a", "b"}[i%2], false)
		state.TransitionMachine(m, cluster.Up, "heartbeat")
	}
	state.Teams["team"] = &cluster.Team{Name: "team", GPULimit: float64(4 * machines)}
	properties := config.Defaults()
	return &contendedCluster{
		t:       t,
		cluster: state,
		scheduler: &Scheduler{
			Cluster: state, Objectives: NewObjectives(nil), Properties: &properties, Rand: rand.New(rand.NewPCG(1, 2)),
		},
		startedAt: map[*cluster.Job]micro.Time{},
	}
}

// submit adds a job whose tasks take a whole machine each. Gangs use all its GPUs and must be in one zone.
func (cc *contendedCluster) submit(kind wire.JobKind, priority wire.Priority, tasks int, now micro.Time) *cluster.Job {
	cc.submitted++
	spec := wire.Job{
		ID: "j-" + strconv.Itoa(cc.submitted), Team: "team", Class: "c" + string(priority), Kind: kind, Priority: priority,
		Tasks: tasks, CPUs: 8, EstimateS: 4, OneZone: kind == wire.Gang,
	}
	if kind == wire.Gang {
		spec.GPUs = 4
	}
	return cc.cluster.AddJob(spec, now)
}

// finishOldJobs ends the other jobs once their run time is over, which is 3 to 6 seconds depending on the ID.
func (cc *contendedCluster) finishOldJobs(now micro.Time) {
	for other, started := range cc.startedAt {
		id := other.Spec.ID
		if now-started >= micro.Time(3+len(id)%2+int(id[len(id)-1])%3)*micro.Second {
			cc.cluster.FinalizeJob(other, true, now)
			delete(cc.startedAt, other)
		}
	}
}

// runUntilAllocated runs a scheduling pass each second until the job has the wanted number of allocations, and returns
// the time; 0 if that did not happen within ten minutes. It calls submitMore before each pass to submit other
// jobs. These run for a few seconds each, so that machines become free one by one.
func (cc *contendedCluster) runUntilAllocated(job *cluster.Job, want int, submitMore func(now micro.Time)) micro.Time {
	for now := micro.Second; now < 10*micro.Minute; now += micro.Second {
		submitMore(now)
		cc.finishOldJobs(now)
		cc.scheduler.Schedule(now)
		if team := cc.cluster.Teams["team"]; team.UsedGPU > team.GPULimit {
			cc.t.Fatalf("the team uses %v GPUs, over its limit of %v", team.UsedGPU, team.GPULimit)
		}
		if job.AllocationCount >= want {
			return now
		}
		for other := range cc.cluster.ActiveJobs {
			if other != job && other.AllocationCount > 0 && cc.startedAt[other] == 0 {
				cc.startedAt[other] = now
			}
		}
	}
	return 0
}

// Small gangs took each machine as it became free, so the largest gang never found four free machines in one zone. It
// must start within four minutes.
func TestLargestGangIsNotStarvedBySmallGangs(t *testing.T) {
	contended := newContendedCluster(t, 8)
	contended.scheduler.Schedule(micro.Second)
	for range 16 {
		contended.submit(wire.Gang, wire.High, 1, 0)
	}
	contended.scheduler.Schedule(micro.Second)
	large := contended.submit(wire.Gang, wire.High, 4, 0)
	took := contended.runUntilAllocated(large, 4, func(micro.Time) {
		for range 4 {
			contended.submit(wire.Gang, wire.High, 1, 0)
		}
	})
	if took == 0 || took > 4*micro.Minute {
		t.Fatalf("the large gang was placed after %v s (0: never), want at most four minutes", took.Seconds())
	}
	for zone, tasks := range large.AllocationsByZone {
		if tasks != 0 && tasks != 4 {
			t.Fatalf("%d tasks of the one-zone gang are in zone %s, want 0 or 4", tasks, zone)
		}
	}
}

// Jobs of the lowest priority waited for as long as jobs of higher priorities were submitted. They must start within
// four minutes.
func TestLowestPriorityJobIsNotStarvedByHigherPriorities(t *testing.T) {
	contended := newContendedCluster(t, 4)
	for range 8 {
		contended.submit(wire.JobArray, wire.Normal, 1, 0)
	}
	contended.scheduler.Schedule(micro.Second)
	lowPriority := contended.submit(wire.JobArray, wire.Low, 2, 0)
	took := contended.runUntilAllocated(lowPriority, 1, func(now micro.Time) {
		contended.submit(wire.JobArray, wire.Normal, 1, now)
		contended.submit(wire.JobArray, wire.Normal, 1, now)
	})
	if took == 0 || took > 4*micro.Minute {
		t.Fatalf("the low-priority job was placed after %v s (0: never), want at most four minutes", took.Seconds())
	}
}

// In a burst, gangs started in order of their latest starts, each just too late. If the shortest ones start first,
// most start in time.
func TestOverloadedClassStartsShortestJobsFirst(t *testing.T) {
	contended := newContendedCluster(t, 4)
	contended.scheduler.Objectives = NewObjectives(
		[]config.Objective{{Kind: "wait", Class: "c" + string(wire.High), WithinS: 60}},
	)
	var jobs []*cluster.Job
	for i := range 12 {
		job := contended.submit(wire.Gang, wire.High, 1, micro.Time(i)*micro.Second)
		job.Spec.EstimateS = float64(200 - 10*i)
		jobs = append(jobs, job)
	}
	contended.scheduler.Schedule(20 * micro.Second)
	for i, job := range jobs {
		if want := i >= 8; (job.AllocationCount > 0) != want {
			t.Errorf(
				"the gang of %v s has %d allocations, want only the four shortest placed", job.Spec.EstimateS, job.AllocationCount,
			)
		}
	}
}

// Capacity was freed by preemption for only one of several services: the others were skipped in the same pass, as if
// there were no capacity to free.
func TestPreemptionFreesCapacityForEachProductionService(t *testing.T) {
	contended := newContendedCluster(t, 4)
	contended.submit(wire.JobArray, wire.Low, 4, 0)
	contended.scheduler.Schedule(micro.Second)
	for job := range contended.cluster.ActiveJobs {
		for _, chunk := range job.Chunks {
			contended.cluster.ChunkPersisted(chunk, chunk.MemoryVersion)
		}
	}
	for range 3 {
		contended.submit(wire.Service, wire.Production, 1, 0)
	}
	contended.scheduler.Schedule(2 * micro.Second)
	stopping := 0
	for _, machine := range contended.cluster.SortedMachines() {
		for _, allocation := range machine.SortedAllocations() {
			if allocation.Stopping {
				stopping++
			}
		}
	}
	if stopping != 3 {
		t.Fatalf("%d tasks are being preempted for 3 services, want 3", stopping)
	}
}
