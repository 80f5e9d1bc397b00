package scheduler

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// bestEffortScenario is a fleet that the work of other teams keeps full, and a guest team
// without a guarantee beside it: a huge array, some arrays and a swarm of single
// tasks, and ten of each of some other classes, all of the lowest priority.
type bestEffortScenario struct {
	*simulation
	hugeArray   *cluster.Job
	smallArrays []*cluster.Job
	singleTasks []*cluster.Job

	submitted     int
	otherTeamDone int // tasks of the other teams
	maxReserved   int // machines that were gathered at a time
}

const (
	bestEffortMachines = 32
	bestEffortDuration = 10 * micro.Minute
)

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

func (b *bestEffortScenario) submit(team, class string, priority wire.Priority, tasks int) *cluster.Job {
	b.submitted++
	return b.cluster.AddJob(wire.Job{
		ID: fmt.Sprint(healthyJobs, 10000+b.submitted), Team: team, Class: class, Kind: wire.JobArray, Priority: priority,
		Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimateS: simulatedRun.Seconds(),
	}, b.now, b.now)
}

// submitGuestJobs submits all of the guest team's jobs but the swarm of single tasks.
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

// keepBusy submits more of the others' work than there is capacity for.
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

// countReserved counts the machines that are held for work that waited long.
func (b *bestEffortScenario) countReserved() int {
	reserved := 0
	for _, machine := range b.cluster.SortedMachines() {
		if machine.StarvationReservation && machine.ReservedFor != nil {
			reserved++
		}
	}
	return reserved
}

// countStartedWithin counts the jobs whose first task began to run within a time of their
// submission.
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

// A guest team without a guarantee asks for capacity while the others, of a higher priority,
// have more work than there is capacity for. Ageing alone gives it any: capacity is reserved
// for its starved classes. Half of each class begins within four minutes, the
// largest jobs among them, and the others lose little. Without ageing nothing does.
func TestTeamWithoutGuaranteeIsServedByStarvationReservations(t *testing.T) {
	const limit = 4 * micro.Minute
	scenario := runBestEffortScenario(t, bestEffortDuration, 0, nil)
	for class, jobs := range map[string][]*cluster.Job{
		"tagging": {scenario.hugeArray}, "crawl": scenario.smallArrays, "spellcheck": scenario.singleTasks,
	} {
		started := scenario.countStartedWithin(jobs, limit)
		t.Logf("%s: %d of %d began within four minutes", class, started, len(jobs))
		if 2*started < len(jobs) {
			t.Errorf("%s: %d of %d began within four minutes", class, started, len(jobs))
		}
	}
	t.Logf("%d tasks of the huge array are done, %d of the others", scenario.hugeArray.DoneTasks, scenario.otherTeamDone)
	if scenario.hugeArray.DoneTasks < 8 {
		t.Errorf("%d tasks of the huge array are done", scenario.hugeArray.DoneTasks)
	}
	// The capacity of all machines for all the time, less a tenth and the fetches.
	if all := 8 * bestEffortMachines * int(
		bestEffortDuration/(simulatedRun+simulatedFetch+2*micro.Second),
	); scenario.otherTeamDone < all*9/10 {
		t.Errorf("the others got %d tasks done, of %d at the most", scenario.otherTeamDone, all)
	}
}

// However many classes starve, one machine in sixteen is held for them at most beside
// those, as many again, that are being gathered.
func TestReservedMachinesAreBoundedWhenManyClassesStarve(t *testing.T) {
	if scenario := runBestEffortScenario(t, 5*micro.Minute, 4, nil); scenario.maxReserved == 0 ||
		scenario.maxReserved > 2*bestEffortMachines/reservedFleetDivisor {
		t.Errorf("%d machines were held at a time", scenario.maxReserved)
	}
}

func TestTeamWithoutGuaranteeIsNotServedWithoutStarvationReservations(t *testing.T) {
	scenario := runBestEffortScenario(
		t, 5*micro.Minute, 0, func(scheduler *Scheduler) { scheduler.Properties.StarvationAfter = PlanningHorizon },
	)
	if n := scenario.hugeArray.AllocationCount + scenario.countStartedWithin(
		append(append(scenario.smallArrays, scenario.singleTasks...), scenario.hugeArray), PlanningHorizon,
	); n > 0 {
		t.Errorf(
			"%d of the guest's jobs began: other room than what is gathered is left, and the test before shows nothing", n,
		)
	}
}
