package scheduler

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// bestEffortScenario is a fleet that the jobs of team "host", which has a guarantee, keep full. Team
// "guest", which has none, submits jobs of the lowest priority: a huge array, small arrays, a steady supply
// of single-task jobs, and ten jobs of each of a number of other classes.
type bestEffortScenario struct {
	*simulation
	hugeArray   *cluster.Job
	smallArrays []*cluster.Job
	singleTasks []*cluster.Job

	submitted     int
	otherTeamDone int // completed tasks of team "host"
	maxReserved   int // maximum number of machines with a starvation reservation at a time
}

const (
	bestEffortMachines = 32
	bestEffortDuration = 10 * micro.Minute
)

// runBestEffortScenario runs the scenario for span. The guest team submits jobs of otherClasses further
// classes. configure, if not nil, changes the scheduler before the start.
func runBestEffortScenario(
	t *testing.T, span micro.Time, otherClasses int, configure func(*Scheduler),
) *bestEffortScenario {
	t.Helper()
	scenario := &bestEffortScenario{simulation: newSimulation(t, bestEffortMachines, 0)}
	if configure != nil {
		configure(scenario.scheduler)
	}
	totalCPUs := float64(8 * bestEffortMachines)
	scenario.cluster.Teams["host"] = &cluster.Team{Name: "host", GuaranteedCPUs: totalCPUs}
	scenario.cluster.Teams["guest"] = &cluster.Team{Name: "guest", CPULimit: totalCPUs / 2}
	scenario.keepBusy()
	scenario.runFor(10 * micro.Second)
	scenario.afterStep = func() {
		scenario.keepBusy()
		scenario.maxReserved = max(scenario.maxReserved, scenario.countReserved())
	}
	scenario.submitGuestJobs(otherClasses)
	for end := scenario.now + span; scenario.now < end; {
		if len(scenario.singleTasks) < 60 {
			scenario.singleTasks = append(scenario.singleTasks, scenario.submit("guest", "spellcheck", wire.Low, 1))
		}
		scenario.runFor(4 * micro.Second)
	}
	for _, job := range scenario.cluster.Jobs {
		if job.Team.Name == "host" {
			scenario.otherTeamDone += job.DoneTasks
		}
	}
	return scenario
}

// submit adds an array of one-CPU tasks, whose ID marks it as healthy in the simulation.
func (b *bestEffortScenario) submit(team, class string, priority wire.Priority, tasks int) *cluster.Job {
	b.submitted++
	return b.cluster.AddJob(wire.Job{
		ID: fmt.Sprint(healthyJobs, 10000+b.submitted), Team: team, Class: class, Kind: wire.JobArray, Priority: priority,
		Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimateS: simulatedRun.Seconds(),
	}, b.now)
}

// submitGuestJobs submits all jobs of the guest team except the single-task jobs.
func (b *bestEffortScenario) submitGuestJobs(otherClasses int) {
	b.hugeArray = b.submit("guest", "tagging", wire.Low, 2000)
	for range 6 {
		b.smallArrays = append(b.smallArrays, b.submit("guest", "crawl", wire.Low, 8))
	}
	for i := range otherClasses {
		for range 10 {
			b.submit("guest", fmt.Sprint("other", i), wire.Low, 1)
		}
	}
}

// keepBusy submits arrays of the host team until its pending tasks exceed the capacity of the fleet.
func (b *bestEffortScenario) keepBusy() {
	waiting := 0
	for job := range b.cluster.PendingJobs {
		if job.Team.Name == "host" {
			waiting += job.PendingTasks()
		}
	}
	for ; waiting < 8*bestEffortMachines; waiting += 16 {
		b.submit("host", "report", wire.Normal, 16)
	}
}

// countReserved returns the number of machines with a starvation reservation.
func (b *bestEffortScenario) countReserved() int {
	reserved := 0
	for _, machine := range b.cluster.SortedMachines() {
		if machine.StarvationReservation && machine.ReservedFor != nil {
			reserved++
		}
	}
	return reserved
}

// countStartedWithin returns the number of jobs of which a task started within limit of the submission.
func (b *bestEffortScenario) countStartedWithin(jobs []*cluster.Job, limit micro.Time) int {
	count := 0
	for _, job := range jobs {
		for i := range job.Tasks {
			if at, ok := b.lastStartedAt[wire.TaskName(job.Spec.ID, i)]; ok && at-job.SubmittedAt <= limit {
				count++
				break
			}
		}
	}
	return count
}

// A team without a guarantee submits jobs of the lowest priority while another team has more jobs of a
// higher priority than there is capacity for. It gets capacity only through starvation reservations. At
// least half of the jobs of each class, the largest ones included, must start within four minutes, and the
// other team may lose at most a tenth of its throughput.
func TestTeamWithoutGuaranteeIsServedByStarvationReservations(t *testing.T) {
	const limit = 4 * micro.Minute
	scenario := runBestEffortScenario(t, bestEffortDuration, 0, nil)
	for class, jobs := range map[string][]*cluster.Job{
		"tagging": {scenario.hugeArray}, "crawl": scenario.smallArrays, "spellcheck": scenario.singleTasks,
	} {
		started := scenario.countStartedWithin(jobs, limit)
		t.Logf("class %s: %d of %d jobs started within four minutes", class, started, len(jobs))
		if 2*started < len(jobs) {
			t.Errorf("class %s: %d of %d jobs started within four minutes, want at least half", class, started, len(jobs))
		}
	}
	t.Logf(
		"tasks done: %d of the huge array, %d of the host team", scenario.hugeArray.DoneTasks, scenario.otherTeamDone,
	)
	if scenario.hugeArray.DoneTasks < 8 {
		t.Errorf("%d tasks of the huge array are done, want at least 8", scenario.hugeArray.DoneTasks)
	}
	// all is the number of tasks that all machines can complete in the whole time, with a fetch before each.
	// The host team must get nine tenths of it.
	if all := 8 * bestEffortMachines * int(
		bestEffortDuration/(simulatedRun+simulatedFetch+2*micro.Second),
	); scenario.otherTeamDone < all*9/10 {
		t.Errorf("the host team completed %d of at most %d tasks, want at least nine tenths", scenario.otherTeamDone, all)
	}
}

// However many classes starve, reservations that are passed on within a class hold at most one machine in
// reservedFleetDivisor, and zone reservations as many again.
func TestReservedMachinesAreBoundedWhenManyClassesStarve(t *testing.T) {
	if scenario := runBestEffortScenario(t, 5*micro.Minute, 4, nil); scenario.maxReserved == 0 ||
		scenario.maxReserved > 2*bestEffortMachines/reservedFleetDivisor {
		t.Errorf("%d machines were reserved at a time, want at least 1 and at most 1 in 8", scenario.maxReserved)
	}
}

// Without starvation reservations the guest team must get nothing. Otherwise the scenario has spare capacity, and
// TestTeamWithoutGuaranteeIsServedByStarvationReservations proves nothing.
func TestTeamWithoutGuaranteeIsNotServedWithoutStarvationReservations(t *testing.T) {
	scenario := runBestEffortScenario(
		t, 5*micro.Minute, 0, func(scheduler *Scheduler) { scheduler.Properties.StarvationAfter = PlanningHorizon },
	)
	if n := scenario.hugeArray.AllocationCount + scenario.countStartedWithin(
		append(append(scenario.smallArrays, scenario.singleTasks...), scenario.hugeArray), PlanningHorizon,
	); n > 0 {
		t.Errorf(
			"%d allocations and started jobs of the guest team without starvation reservations, want 0", n,
		)
	}
}
