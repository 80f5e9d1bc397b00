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

// maxOverdueWait is how long a job may wait while a machine that fits has capacity.
const maxOverdueWait = 90 * micro.Second

// testCluster is a cluster that tests put machines and jobs into.
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
	tc.cluster.TransitionMachine(m, cluster.Up, "reports")
	return m
}

// submitArray submits a job at a time.
func (tc *testCluster) submitArray(id string, tasks int, cpus float64, at micro.Time) *cluster.Job {
	return tc.cluster.AddJob(
		wire.Job{
			ID: id, Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: tasks, CPUs: cpus, MemoryGB: 1, EstimateS: 10,
		},
		at,
		at,
	)
}

// runUntilAllocated lets passes go by, one a second, and says when the job had so many
// places, and where the first is.
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
	tc.Fatalf("%s holds %d places after 20 minutes", job.Spec.ID, job.AllocationCount)
	return 0, ""
}

// checkOverdueWait checks that a job waited as long as the ordinary rules ask, and no
// longer than the bound.
func (tc *testCluster) checkOverdueWait(what string, took micro.Time) {
	tc.Helper()
	if took < overdueAfter || took > maxOverdueWait {
		tc.Errorf("%s: placed after %v s", what, took.Seconds())
	}
}

// Capacity beside idle GPUs was kept for GPU jobs that never came again.
func TestResourcesBesideGPUsAreOpenToOverdueJobs(t *testing.T) {
	tc := newTestCluster(t)
	tc.addMachine("gpu-1", "gpu", "a")
	tc.cluster.EnsureClass("g").LastJob = &wire.Job{GPUs: 4, CPUs: 8, MemoryGB: 64, Priority: wire.High}
	at, _ := tc.runUntilAllocated(tc.submitArray("j-1", 2, 1, micro.Second), 2, micro.Second, nil)
	tc.checkOverdueWait("beside GPUs", at-micro.Second)
}

func TestExpensiveMachinesAreOpenToOverdueJobs(t *testing.T) {
	for _, kind := range []wire.JobKind{wire.JobArray, wire.Gang} {
		tc := newTestCluster(t)
		tc.addMachine("gpu-1", "gpu", "a")
		tc.scheduler.WithinPrice = func(*cluster.Job, *cluster.MachineType, bool, micro.Time) bool { return false }
		job := tc.cluster.AddJob(
			wire.Job{ID: "j-1", Class: "c", Kind: kind, Priority: wire.Normal, Tasks: 2, CPUs: 1}, micro.Second, micro.Second,
		)
		at, _ := tc.runUntilAllocated(job, 2, micro.Second, nil)
		tc.checkOverdueWait("dear room, "+string(kind), at-micro.Second)
	}
}

// A machine where several jobs failed stood empty for ten minutes beside jobs
// that nothing else fitted.
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
		t.Fatalf("on %s, though other room was left", machineName)
	}
	tc.submitArray("j-2", 1, 4, micro.Second)
	tc.scheduler.Schedule(2 * micro.Minute)
	if len(tc.cluster.Machines["gpu-1"].Allocations) != 2 {
		t.Fatal("the machine that is not avoided has room for two")
	}
	fail(3 * micro.Minute)
	job := tc.submitArray("j-3", 1, 4, 3*micro.Minute)
	at, machineName := tc.runUntilAllocated(job, 1, 3*micro.Minute, func(now micro.Time) {
		if now == 3*micro.Minute+20*micro.Second {
			fail(now) // once more: the next try counts from here
		}
	})
	if took := at - 3*micro.Minute - 20*micro.Second; machineName != "i-1" || took < overdueAfter ||
		took > maxOverdueWait {
		t.Fatalf("on %s %v s after it last failed", machineName, took.Seconds())
	}
	if !job.Allocations()[0].LastResort {
		t.Fatal("nobody knows that it was the last resort")
	}
}

// A job that had failed once on the only machine with capacity never went there again.
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
		t.Fatalf("%d machines are free", len(job.FailedOn))
	}
	at, _ := tc.runUntilAllocated(job, 1, micro.Second, nil)
	tc.checkOverdueWait("where it failed", at-micro.Second)
}

// Reservations that came to nothing followed one another, and the capacity stayed
// empty: a gang that its zone can never hold gathered it without end.
func TestUnusedReservationsAreOpenToOverdueJobs(t *testing.T) {
	tc := newTestCluster(t)
	for i := range 3 {
		tc.addMachine("i-"+strconv.Itoa(1+i), "small", "a")
	}
	tc.submitArray("j-1", 1, 4, 0)
	tc.scheduler.Schedule(micro.Second) // one machine is busy for good
	tc.cluster.AddJob(
		wire.Job{ID: "j-2", Class: "g", Kind: wire.Gang, Priority: wire.Normal, Tasks: 3, CPUs: 4, OneZone: true},
		micro.Second, micro.Second,
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
		t.Fatalf("%d machines are reserved", reserved)
	}
	at, _ := tc.runUntilAllocated(tc.submitArray("j-3", 1, 4, from), 1, from, nil)
	if at-from > maxOverdueWait {
		t.Fatalf("placed after %v s", (at - from).Seconds())
	}
}

// A team's limit was saved up, over and over, for a job that never got enough of
// it: the rest of the limit lay idle.
func TestUnusedQuotaReservationIsOpenToTheTeamsOtherJobs(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.Teams["team"] = &cluster.Team{Name: "team", CPULimit: 8}
	for i := range 3 {
		tc.addMachine("i-"+strconv.Itoa(1+i), "small", "a")
	}
	submit := func(id string, kind wire.JobKind, tasks int, at micro.Time) *cluster.Job {
		return tc.cluster.AddJob(
			wire.Job{ID: id, Team: "team", Class: id, Kind: kind, Priority: wire.Normal, Tasks: tasks, CPUs: 4}, at, at,
		)
	}
	submit("j-1", wire.Service, 1, 0)
	tc.scheduler.Schedule(micro.Second) // half of the limit, for good
	submit("j-2", wire.Gang, 2, micro.Second)
	team, from := tc.cluster.Teams["team"], micro.Second
	for from < 4*micro.Minute || team.QuotaReservedFor == nil || team.QuotaReservedAt < from-micro.Second {
		if from += micro.Second; from > 10*micro.Minute {
			t.Fatal("nothing is saved up")
		}
		tc.scheduler.Schedule(from)
	}
	job := submit("j-3", wire.JobArray, 1, from)
	job.NotBefore = from + 65*micro.Second // just after the limit was given up
	at, _ := tc.runUntilAllocated(job, 1, from, nil)
	if at-from > maxOverdueWait {
		t.Fatalf("placed after %v s", (at - from).Seconds())
	}
}

// What a gang of one zone found no capacity for was taken for impossible to others
// that may use both, in each pass anew.
func TestSingleZoneGangDoesNotBlockMultiZoneGangs(t *testing.T) {
	tc := newTestCluster(t)
	tc.addMachine("i-1", "small", "a")
	tc.addMachine("i-2", "small", "b")
	gang := func(id string, oneZone bool) *cluster.Job {
		return tc.cluster.AddJob(
			wire.Job{ID: id, Class: "c", Kind: wire.Gang, Priority: wire.Normal, Tasks: 2, CPUs: 4, OneZone: oneZone}, 0, 0,
		)
	}
	gang("j-1", true)
	job := gang("j-2", false)
	tc.scheduler.Schedule(micro.Second)
	if job.AllocationCount != 2 {
		t.Fatal("it found no room, though it fits")
	}
}

// What stops a job within its minute says nothing of those that are late.
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
		60*micro.Second,
	) // before the other in each pass
	job := tc.submitArray("j-2", 1, 1, 10*micro.Second)
	tc.scheduler.Schedule(70 * micro.Second)
	if job.AllocationCount != 1 {
		t.Fatal("it was passed over for one that may wait")
	}
}

// Samples of like machines may miss the only one with capacity, for long.
func TestOverdueJobsSearchAllMachines(t *testing.T) {
	tc := newTestCluster(t)
	for i := range 400 {
		tc.addMachine("i-"+strconv.Itoa(1000+i), "small", "a").DispatchUnanswered = i != 200
	}
	tc.scheduler.Overloaded, tc.scheduler.Properties.SampleAbovePending, tc.scheduler.Properties.SampleSize = true, 0, 2
	job := tc.submitArray("j-1", 1, 1, 0)
	tc.scheduler.Schedule(overdueAfter - micro.Second)
	if job.AllocationCount != 0 {
		t.Fatal("the sample held the only one: the story needs another seed")
	}
	tc.scheduler.Schedule(overdueAfter)
	if job.AllocationCount != 1 {
		t.Fatal("not found")
	}
}

// The ordinary choice comes first for late work too.
func TestOverdueJobsPreferTheUnrelaxedChoice(t *testing.T) {
	tc := newTestCluster(t)
	tc.addMachine("gpu-1", "gpu", "a")
	tc.addMachine("i-1", "small", "a").QuarantinedUntil = 10 * micro.Minute
	tc.addMachine("i-2", "small", "a")
	job := tc.submitArray("j-1", 1, 1, 0)
	tc.scheduler.Schedule(2 * overdueAfter)
	if on := job.Allocations()[0].Machine.Name; on != "i-2" {
		t.Fatalf("on %s", on)
	}
}

// A new leader does not take what waited under the last one for late: its
// machines are heard one by one.
func TestWaitingTimeCountsFromFailover(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.TermStartedAt = 10 * micro.Minute
	tc.addMachine("i-1", "small", "a").QuarantinedUntil = 60 * micro.Minute
	job := tc.submitArray("j-1", 1, 1, 0)
	tc.scheduler.Schedule(tc.cluster.TermStartedAt + micro.Second)
	if job.AllocationCount != 0 {
		t.Fatal("the last resort came first")
	}
	at, _ := tc.runUntilAllocated(job, 1, tc.cluster.TermStartedAt, nil)
	tc.checkOverdueWait("after a takeover", at-tc.cluster.TermStartedAt)
}

// Terms of 46 s followed one another for four minutes: no work was ever late, since each began
// the count anew, and idle arrays waited beside empty GPU machines.
func TestJobsThatWaitedInEarlierTermsAreOverdueAfterTermSettles(t *testing.T) {
	const termStart, shortTerm = 10 * micro.Minute, 46 * micro.Second
	tc := newTestCluster(t)
	tc.cluster.TermStartedAt = termStart
	tc.addMachine("gpu-1", "gpu", "a")
	tc.cluster.EnsureClass("g").LastJob = &wire.Job{GPUs: 4, CPUs: 8, MemoryGB: 64, Priority: wire.High}
	waiting := tc.submitArray("j-1", 2, 1, termStart-overdueAfter)
	at, _ := tc.runUntilAllocated(waiting, 2, termStart, nil)
	if took := at - termStart; took < cluster.TermSettleTime || took > shortTerm {
		t.Errorf("placed %v s after the term began", took.Seconds())
	}
}

// Machines with capacity that a job refuses, as dear or kept for GPU work, were
// reserved for it as if they had been cleared, and closed to all others.
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
			t.Errorf("dear %v: it is reserved for a job that does not take it", expensive)
		}
	}
}

// One job tries a machine that had failed several; the others follow once it has
// been there for a while, and not if it fails too.
func TestOneJobProbesAQuarantinedMachineBeforeOthers(t *testing.T) {
	for _, fails := range []bool{false, true} {
		first, all := probeQuarantinedMachine(t, fails)
		wait := all - first
		if first-micro.Second != overdueAfter || !fails && (wait < probationPeriod || all > maxOverdueWait) ||
			fails && wait != overdueAfter {
			t.Errorf("fails %v: tried at %v s, again %v s after", fails, first.Seconds(), wait.Seconds())
		}
	}
}

// probeQuarantinedMachine lets four jobs wait for a machine that is avoided, and says when the
// first tried it, and when the others followed or, if that failed, it was tried again.
func probeQuarantinedMachine(t *testing.T, fails bool) (first, all micro.Time) {
	t.Helper()
	tc := newTestCluster(t)
	machine := tc.addMachine("i-1", "small", "a")
	machine.QuarantinedUntil, machine.LastFaultAt = 10*micro.Minute, micro.Second
	for i := range 4 {
		tc.submitArray("j-"+strconv.Itoa(1+i), 1, 1, micro.Second)
	}
	for now := micro.Second; now < 4*micro.Minute && all == 0; now += micro.Second {
		tc.scheduler.Schedule(now)
		switch count := len(machine.Allocations); {
		case count == 1 && first == 0:
			first = now
			if fails {
				tc.cluster.StopAllocation(machine.SortedAllocations()[0], "failed", 0, now) // still planned: free at once
				machine.LastFaultAt = now
			}
		case count > 1:
			all = now
			if count < 4 && !fails {
				t.Fatalf("%d follow", count-1)
			}
		case fails && count == 1:
			all = now // the next try
		}
	}
	return first, all
}
