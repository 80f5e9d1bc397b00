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

// contendedCluster is a full cluster that other work keeps coming to.
type contendedCluster struct {
	t         *testing.T
	cluster   *cluster.State
	scheduler *Scheduler
	submitted int
	startedAt map[*cluster.Job]micro.Time
}

func newContendedCluster(t *testing.T, machines int) *contendedCluster {
	t.Helper()
	state := cluster.New(discardEffects{})
	state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "gpu", CPUs: 8, GPUs: 4, MemoryGB: 16}}})
	for i := range machines {
		m := state.EnsureMachine("i-"+strconv.Itoa(10+i), 1)
		state.DescribeMachine(m, "gpu", []string{"a", "b"}[i%2], false)
		state.TransitionMachine(m, cluster.Up, "reports")
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

func (cc *contendedCluster) submit(kind wire.JobKind, priority wire.Priority, tasks int, now micro.Time) *cluster.Job {
	cc.submitted++
	spec := wire.Job{
		ID: "j-" + strconv.Itoa(cc.submitted), Team: "team", Class: "c" + string(priority), Kind: kind, Priority: priority,
		Tasks: tasks, CPUs: 8, EstimateS: 4, OneZone: kind == wire.Gang,
	}
	if kind == wire.Gang {
		spec.GPUs = 4
	}
	return cc.cluster.AddJob(spec, now, now)
}

// finishOldJobs ends the other jobs that have run for their 3 to 6 seconds.
func (cc *contendedCluster) finishOldJobs(now micro.Time) {
	for other, started := range cc.startedAt {
		id := other.Spec.ID
		if now-started >= micro.Time(3+len(id)%2+int(id[len(id)-1])%3)*micro.Second {
			cc.cluster.FinalizeJob(other, true, now)
			delete(cc.startedAt, other)
		}
	}
}

// runUntilAllocated lets more work come than there is capacity for, until the job holds its
// places, and says how long that took; 0 if it never did. The other work takes
// some seconds each, so that machines come free one by one.
func (cc *contendedCluster) runUntilAllocated(job *cluster.Job, want int, submitMore func(now micro.Time)) micro.Time {
	for now := micro.Second; now < 10*micro.Minute; now += micro.Second {
		submitMore(now)
		cc.finishOldJobs(now)
		cc.scheduler.Schedule(now)
		if team := cc.cluster.Teams["team"]; team.UsedGPU > team.GPULimit {
			cc.t.Fatalf("%v GPUs used of %v", team.UsedGPU, team.GPULimit)
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

// Small gangs took each machine as it came free, and the largest never found
// four in one zone.
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
		t.Fatalf("begun after %v s", took.Seconds())
	}
	for zone, tasks := range large.AllocationsByZone {
		if tasks != 0 && tasks != 4 {
			t.Fatalf("%d tasks in zone %s", tasks, zone)
		}
	}
}

// Work of the lowest priority waited for as long as higher priorities kept coming.
func TestLowestPriorityJobIsNotStarvedByHigherPriorities(t *testing.T) {
	contended := newContendedCluster(t, 4)
	for range 8 {
		contended.submit(wire.JobArray, wire.Normal, 1, 0)
	}
	contended.scheduler.Schedule(micro.Second)
	idle := contended.submit(wire.JobArray, wire.Low, 2, 0)
	took := contended.runUntilAllocated(idle, 1, func(now micro.Time) {
		contended.submit(wire.JobArray, wire.Normal, 1, now)
		contended.submit(wire.JobArray, wire.Normal, 1, now)
	})
	if took == 0 || took > 4*micro.Minute {
		t.Fatalf("begun after %v s", took.Seconds())
	}
}

// In a burst, all gangs were started in the order of their latest starts, each
// just too late: most start in time if the shortest come first.
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
			t.Errorf("the job of %v s holds %d places", job.Spec.EstimateS, job.AllocationCount)
		}
	}
}

// Capacity was cleared for one service at a time: the others were passed over, as if
// there were none to be had.
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
		t.Fatalf("%d tasks make room for 3 services", stopping)
	}
}
