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

// maxOverdueWait is the maximum time that a job may wait while a machine that fits has capacity.
const maxOverdueWait = 90 * micro.Second

// testCluster is an empty cluster with a scheduler, to which tests add machines and jobs.
type testCluster struct {
	*testing.T
	cluster   *cluster.State
	scheduler *Scheduler
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	state := cluster.New(discardEffects{})
	state.SetCatalog(
		&wire.Catalog{
			Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16}, {Name: "gpu", CPUs: 8, GPUs: 4, MemoryGB: 64}},
		},
	)
	properties := config.Defaults()
	return &testCluster{
		t,
		state,
		&Scheduler{
			Cluster: state, Objectives: NewObjectives(nil), Properties: &properties, Rand: rand.New(rand.NewPCG(1, 2)),
		},
	}
}

func (tc *testCluster) addMachine(name, typ, zone string) *cluster.Machine {
	m := tc.cluster.EnsureMachine(name, 1)
	tc.cluster.DescribeMachine(m, typ, zone, false)
	tc.cluster.TransitionMachine(m, cluster.Up, "heartbeat")
	return m
}

// submitArray submits an array at the given time.
func (tc *testCluster) submitArray(id string, tasks int, cpus float64, at micro.Time) *cluster.Job {
	return tc.cluster.AddJob(
		wire.Job{
			ID: id, Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: tasks, CPUs: cpus, MemoryGB: 1, EstimateS: 10,
		},
		at,
	)
}

// runUntilAllocated runs a scheduling pass each second until the job has the wanted number of allocations. It
// returns the time, and the name of the machine of the first allocation. It calls each, if that is not nil,
// before each pass, and fails the test after 20 minutes.
func (tc *testCluster) runUntilAllocated(
	job *cluster.Job, want int, from micro.Time, each func(now micro.Time),
) (micro.Time, string) {
	tc.Helper()
	for now := from; now < from+20*micro.Minute; now += micro.Second {
		if each != nil {
			each(now)
		}
		tc.scheduler.Schedule(now)
		if job.AllocationCount >= want {
			return now, job.Allocations()[0].Machine.Name
		}
	}
	tc.Fatalf("job %s has only %d allocations after 20 minutes", job.Spec.ID, job.AllocationCount)
	return 0, ""
}

// checkOverdueWait checks that a job waited at least until the placement rules are relaxed, and at most
// maxOverdueWait.
func (tc *testCluster) checkOverdueWait(condition string, took micro.Time) {
	tc.Helper()
	if took < overdueAfter || took > maxOverdueWait {
		tc.Errorf("%s: placed after %v s, want 60 to 90 s", condition, took.Seconds())
	}
}

// Capacity beside idle GPUs was kept free indefinitely for classes of GPU jobs that submitted no more jobs.
func TestResourcesBesideGPUsAreOpenToOverdueJobs(t *testing.T) {
	tc := newTestCluster(t)
	tc.addMachine("gpu-1", "gpu", "a")
	tc.cluster.EnsureClass("g").LastJob = &wire.Job{GPUs: 4, CPUs: 8, MemoryGB: 64, Priority: wire.High}
	at, _ := tc.runUntilAllocated(tc.submitArray("j-1", 2, 1, micro.Second), 2, micro.Second, nil)
	tc.checkOverdueWait("capacity beside idle GPUs", at-micro.Second)
}

// A price limit must not keep a job waiting indefinitely beside free machines.
func TestExpensiveMachinesAreOpenToOverdueJobs(t *testing.T) {
	for _, kind := range []wire.JobKind{wire.JobArray, wire.Gang} {
		tc := newTestCluster(t)
		tc.addMachine("gpu-1", "gpu", "a")
		tc.scheduler.WithinPrice = func(*cluster.Job, *cluster.MachineType, bool, micro.Time) bool { return false }
		job := tc.cluster.AddJob(
			wire.Job{ID: "j-1", Class: "c", Kind: kind, Priority: wire.Normal, Tasks: 2, CPUs: 1}, micro.Second,
		)
		at, _ := tc.runUntilAllocated(job, 2, micro.Second, nil)
		tc.checkOverdueWait("expensive machine, "+string(kind), at-micro.Second)
	}
}

// A machine that was quarantined because several jobs failed on it stayed empty for ten minutes while jobs waited
// that fit on no other machine. Overdue jobs must use expensive machines first, and the quarantined one only
// overdueAfter after its last fault.
func TestQuarantinedMachineIsTheLastResortOfOverdueJobs(t *testing.T) {
	tc := newTestCluster(t)
	machine := tc.addMachine("i-1", "small", "a")
	fail := func(now micro.Time) { machine.QuarantinedUntil, machine.LastFaultAt = now+10*micro.Minute, now }
	fail(micro.Second)
	tc.addMachine("gpu-1", "gpu", "a")
	tc.scheduler.WithinPrice = func(_ *cluster.Job, typ *cluster.MachineType, _ bool, _ micro.Time) bool {
		return typ.GPUs == 0
	}
	if _, machineName := tc.runUntilAllocated(
		tc.submitArray("j-1", 1, 4, micro.Second), 1, micro.Second, nil,
	); machineName != "gpu-1" {
		t.Fatalf("placed on %s, want the expensive machine gpu-1", machineName)
	}
	tc.submitArray("j-2", 1, 4, micro.Second)
	tc.scheduler.Schedule(2 * micro.Minute)
	if len(tc.cluster.Machines["gpu-1"].Allocations) != 2 {
		t.Fatal("want two allocations on gpu-1, the machine that is not quarantined")
	}
	fail(3 * micro.Minute)
	job := tc.submitArray("j-3", 1, 4, 3*micro.Minute)
	at, machineName := tc.runUntilAllocated(job, 1, 3*micro.Minute, func(now micro.Time) {
		if now == 3*micro.Minute+20*micro.Second {
			fail(now) // the delay until the machine may be used starts again
		}
	})
	if took := at - 3*micro.Minute - 20*micro.Second; machineName != "i-1" || took < overdueAfter ||
		took > maxOverdueWait {
		t.Fatalf("placed on %s, %v s after the last fault of i-1; want i-1, after 60 to 90 s", machineName, took.Seconds())
	}
	if !job.Allocations()[0].LastResort {
		t.Fatal("the allocation on the quarantined machine is not marked as last resort")
	}
}

// A job that had failed once on the only machine with capacity was never placed there again.
func TestOverdueJobIsRetriedOnMachineItFailedOn(t *testing.T) {
	tc := newTestCluster(t)
	tc.addMachine("i-1", "small", "a")
	for i := range 3 {
		tc.addMachine("i-"+strconv.Itoa(2+i), "small", "a")
		tc.submitArray("j-"+strconv.Itoa(10+i), 1, 4, 0)
	}
	tc.scheduler.Schedule(micro.Second)
	job := tc.submitArray("j-1", 1, 4, micro.Second)
	job.FailedOn = map[string]bool{}
	for _, machine := range tc.cluster.SortedMachines() {
		if len(machine.Allocations) == 0 {
			job.FailedOn[machine.Name] = true
		}
	}
	if len(job.FailedOn) != 1 {
		t.Fatalf("%d machines are free, want 1", len(job.FailedOn))
	}
	at, _ := tc.runUntilAllocated(job, 1, micro.Second, nil)
	tc.checkOverdueWait("machine that the job failed on", at-micro.Second)
}

// Unused reservations followed one another, and the capacity stayed free: machines were reserved again and again for
// a gang that can never fit in its zone.
func TestUnusedReservationsAreOpenToOverdueJobs(t *testing.T) {
	tc := newTestCluster(t)
	for i := range 3 {
		tc.addMachine("i-"+strconv.Itoa(1+i), "small", "a")
	}
	tc.submitArray("j-1", 1, 4, 0)
	tc.scheduler.Schedule(micro.Second) // one machine stays busy
	tc.cluster.AddJob(
		wire.Job{ID: "j-2", Class: "g", Kind: wire.Gang, Priority: wire.Normal, Tasks: 3, CPUs: 4, OneZone: true},
		micro.Second,
	)
	from := 3 * micro.Minute
	for now := micro.Second; now < from; now += micro.Second {
		tc.scheduler.Schedule(now)
	}
	reserved := 0
	for _, machine := range tc.cluster.SortedMachines() {
		if machine.ReservedFor != nil {
			reserved++
		}
	}
	if reserved != 2 {
		t.Fatalf("%d machines are reserved for the gang, want 2", reserved)
	}
	at, _ := tc.runUntilAllocated(tc.submitArray("j-3", 1, 4, from), 1, from, nil)
	if at-from > maxOverdueWait {
		t.Fatalf("placed after %v s, want at most 90 s", (at - from).Seconds())
	}
}

// A team's quota was reserved again and again for a job that never got enough of it, and the rest of the quota
// stayed unused.
func TestUnusedQuotaReservationIsOpenToTheTeamsOtherJobs(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.Teams["team"] = &cluster.Team{Name: "team", CPULimit: 8}
	for i := range 3 {
		tc.addMachine("i-"+strconv.Itoa(1+i), "small", "a")
	}
	submit := func(id string, kind wire.JobKind, tasks int, at micro.Time) *cluster.Job {
		return tc.cluster.AddJob(
			wire.Job{ID: id, Team: "team", Class: id, Kind: kind, Priority: wire.Normal, Tasks: tasks, CPUs: 4}, at,
		)
	}
	submit("j-1", wire.Service, 1, 0)
	tc.scheduler.Schedule(micro.Second) // the service holds half of the limit from here on
	submit("j-2", wire.Gang, 2, micro.Second)
	team, from := tc.cluster.Teams["team"], micro.Second
	for from < 4*micro.Minute || team.QuotaReservedFor == nil || team.QuotaReservedAt < from-micro.Second {
		if from += micro.Second; from > 10*micro.Minute {
			t.Fatal("no quota was reserved within ten minutes")
		}
		tc.scheduler.Schedule(from)
	}
	job := submit("j-3", wire.JobArray, 1, from)
	job.NotBefore = from + 65*micro.Second // just after the quota reservation ends
	at, _ := tc.runUntilAllocated(job, 1, from, nil)
	if at-from > maxOverdueWait {
		t.Fatalf("placed after %v s, want at most 90 s", (at - from).Seconds())
	}
}

// When a one-zone gang found no capacity, gangs that may use both zones were skipped as unschedulable too, in each
// pass.
func TestSingleZoneGangDoesNotBlockMultiZoneGangs(t *testing.T) {
	tc := newTestCluster(t)
	tc.addMachine("i-1", "small", "a")
	tc.addMachine("i-2", "small", "b")
	gang := func(id string, oneZone bool) *cluster.Job {
		return tc.cluster.AddJob(
			wire.Job{ID: id, Class: "c", Kind: wire.Gang, Priority: wire.Normal, Tasks: 2, CPUs: 4, OneZone: oneZone}, 0,
		)
	}
	gang("j-1", true)
	job := gang("j-2", false)
	tc.scheduler.Schedule(micro.Second)
	if job.AllocationCount != 2 {
		t.Fatal("the gang that may use both zones was not placed, although it fits")
	}
}

// Overdue jobs are tried under relaxed rules. They must not be skipped because a job that is not overdue found no
// capacity under the regular rules.
func TestUnschedulableNewJobDoesNotBlockAnOverdueOne(t *testing.T) {
	tc := newTestCluster(t)
	tc.addMachine("gpu-1", "gpu", "a")
	tc.scheduler.WithinPrice = func(*cluster.Job, *cluster.MachineType, bool, micro.Time) bool { return false }
	due := 500.0
	tc.cluster.AddJob(
		wire.Job{
			ID: "j-1", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1, DeadlineS: &due,
		},
		60*micro.Second,
	) // its deadline puts it before the overdue job in each pass
	job := tc.submitArray("j-2", 1, 1, 10*micro.Second)
	tc.scheduler.Schedule(70 * micro.Second)
	if job.AllocationCount != 1 {
		t.Fatal("the overdue job was not placed after a job that is not overdue found no capacity")
	}
}

// Samples of equivalent machines may miss the only one with capacity for a long time.
func TestOverdueJobsSearchAllMachines(t *testing.T) {
	tc := newTestCluster(t)
	for i := range 400 {
		tc.addMachine("i-"+strconv.Itoa(1000+i), "small", "a").DispatchUnanswered = i != 200
	}
	tc.scheduler.Overloaded, tc.scheduler.Properties.SampleAbovePending, tc.scheduler.Properties.SampleSize = true, 0, 2
	job := tc.submitArray("j-1", 1, 1, 0)
	tc.scheduler.Schedule(overdueAfter - micro.Second)
	if job.AllocationCount != 0 {
		t.Fatal("the sample included the only reachable machine: choose another seed")
	}
	tc.scheduler.Schedule(overdueAfter)
	if job.AllocationCount != 1 {
		t.Fatal("the overdue job was not placed on the only reachable machine")
	}
}

// An overdue job must use quarantined and GPU machines only if the regular rules yield no machine.
func TestOverdueJobsPreferTheUnrelaxedChoice(t *testing.T) {
	tc := newTestCluster(t)
	tc.addMachine("gpu-1", "gpu", "a")
	tc.addMachine("i-1", "small", "a").QuarantinedUntil = 10 * micro.Minute
	tc.addMachine("i-2", "small", "a")
	job := tc.submitArray("j-1", 1, 1, 0)
	tc.scheduler.Schedule(2 * overdueAfter)
	if on := job.Allocations()[0].Machine.Name; on != "i-2" {
		t.Fatalf("placed on %s, want i-2", on)
	}
}

// A new leader must not treat jobs that waited under the previous one as overdue at once: it receives the first
// heartbeats of its machines one by one.
func TestWaitingTimeCountsFromFailover(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.TermStartedAt = 10 * micro.Minute
	tc.addMachine("i-1", "small", "a").QuarantinedUntil = 60 * micro.Minute
	job := tc.submitArray("j-1", 1, 1, 0)
	tc.scheduler.Schedule(tc.cluster.TermStartedAt + micro.Second)
	if job.AllocationCount != 0 {
		t.Fatal("the job was placed on a quarantined machine one second after the failover")
	}
	at, _ := tc.runUntilAllocated(job, 1, tc.cluster.TermStartedAt, nil)
	tc.checkOverdueWait("after a failover", at-tc.cluster.TermStartedAt)
}

// While terms of 46 s followed one another for four minutes, no job ever became overdue, since each term restarted
// the waiting time, and low-priority arrays waited beside empty GPU machines.
func TestJobsThatWaitedInEarlierTermsAreOverdueAfterTermSettles(t *testing.T) {
	const termStart, shortTerm = 10 * micro.Minute, 46 * micro.Second
	tc := newTestCluster(t)
	tc.cluster.TermStartedAt = termStart
	tc.addMachine("gpu-1", "gpu", "a")
	tc.cluster.EnsureClass("g").LastJob = &wire.Job{GPUs: 4, CPUs: 8, MemoryGB: 64, Priority: wire.High}
	waiting := tc.submitArray("j-1", 2, 1, termStart-overdueAfter)
	at, _ := tc.runUntilAllocated(waiting, 2, termStart, nil)
	if took := at - termStart; took < cluster.TermSettleTime || took > shortTerm {
		t.Errorf("placed %v s after the start of the term, want between TermSettleTime and 46 s", took.Seconds())
	}
}

// Machines with capacity that a job may not use, because they are expensive or kept for GPU jobs, were reserved for
// it as if preemption had freed them, and were closed to all other jobs.
func TestMachinesTheJobMayNotUseAreNotReserved(t *testing.T) {
	for _, expensive := range []bool{false, true} {
		tc := newTestCluster(t)
		machine := tc.addMachine("gpu-1", "gpu", "a")
		if expensive {
			tc.scheduler.WithinPrice = func(*cluster.Job, *cluster.MachineType, bool, micro.Time) bool { return false }
		} else {
			tc.cluster.EnsureClass("g").LastJob = &wire.Job{GPUs: 4, CPUs: 8, MemoryGB: 64, Priority: wire.High}
		}
		tc.submitArray("j-1", 1, 1, 0)
		tc.scheduler.Schedule(micro.Second)
		if machine.ReservedFor != nil {
			t.Errorf("expensive %v: the machine is reserved for a job that may not use it", expensive)
		}
	}
}

// A quarantined machine is probed by one overdue job. Other jobs follow after probationPeriod, unless the first one
// fails too.
func TestOneJobProbesAQuarantinedMachineBeforeOthers(t *testing.T) {
	for _, fails := range []bool{false, true} {
		first, next := probeQuarantinedMachine(t, fails)
		wait := next - first
		if first-micro.Second != overdueAfter || !fails && (wait < probationPeriod || next > maxOverdueWait) ||
			fails && wait != overdueAfter {
			t.Errorf("fails %v: first probed at %v s, next allocation %v s later", fails, first.Seconds(), wait.Seconds())
		}
	}
}

// probeQuarantinedMachine has four jobs wait for a quarantined machine. It returns when the first job was placed on
// it, and when the others followed or, if the first fails, when the next job was placed.
func probeQuarantinedMachine(t *testing.T, fails bool) (first, next micro.Time) {
	t.Helper()
	tc := newTestCluster(t)
	machine := tc.addMachine("i-1", "small", "a")
	machine.QuarantinedUntil, machine.LastFaultAt = 10*micro.Minute, micro.Second
	for i := range 4 {
		tc.submitArray("j-"+strconv.Itoa(1+i), 1, 1, micro.Second)
	}
	for now := micro.Second; now < 4*micro.Minute && next == 0; now += micro.Second {
		tc.scheduler.Schedule(now)
		switch count := len(machine.Allocations); {
		case count == 1 && first == 0:
			first = now
			if fails {
				tc.cluster.StopAllocation(machine.SortedAllocations()[0], "failed", 0, now) // not started yet: released at once
				machine.LastFaultAt = now
			}
		case count > 1:
			next = now
			if count < 4 && !fails {
				t.Fatalf("%d jobs follow the first, want 3", count-1)
			}
		case fails && count == 1:
			next = now
		}
	}
	return first, next
}
