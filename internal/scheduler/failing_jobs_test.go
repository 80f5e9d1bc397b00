package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Prefixes of job IDs, classes and machine names. They determine the behaviour in a simulation: the tasks of failing
// jobs, and all tasks on faulty machines, exit with an error.
const (
	healthyJobs     = "j-1"
	failingJobs     = "j-9"
	healthyMachines = "i-"
	faultyMachines  = "faulty-"
)

// simulation is a cluster with fake agents whose tasks run in simulated time.
type simulation struct {
	cluster.Effects // nil: an effect that is not implemented below panics
	t               *testing.T
	cluster         *cluster.State
	scheduler       *Scheduler
	agents          []*fake.Agent
	now             micro.Time
	fencingToken    uint64
	schedulePending bool
	dirtyChunks     map[*cluster.TaskChunk]bool
	stateSince      map[string]micro.Time // when a task on an agent entered its current state
	failsAfter      micro.Time            // run time of failing tasks
	afterStep       func()                // called after each step

	schedulingPasses int
	starts           map[string]int        // by job
	writes           map[string]int        // chunk records written, by job
	lastStartedAt    map[string]micro.Time // latest start of a task that does not fail, by task name
	completedRuns    int                   // completed attempts, from which speeds are learnt
	quarantineTime   map[string]micro.Time // total time in quarantine, by machine
}

const (
	simulatedStep  = 500 * micro.Millisecond
	simulatedFetch = 2 * micro.Second
	simulatedRun   = 20 * micro.Second
)

// newSimulation returns a simulation in which each agent has sent a heartbeat. The first machines, up to the number
// faulty, fail all their tasks.
func newSimulation(t *testing.T, machines, faulty int) *simulation {
	t.Helper()
	sim := &simulation{
		t: t, now: 1000 * micro.Second, fencingToken: 1, dirtyChunks: map[*cluster.TaskChunk]bool{},
		stateSince: map[string]micro.Time{}, failsAfter: micro.Second, starts: map[string]int{}, writes: map[string]int{},
		lastStartedAt: map[string]micro.Time{}, quarantineTime: map[string]micro.Time{},
	}
	sim.cluster = cluster.New(sim)
	sim.cluster.LeaseDuration = 30 * micro.Second
	sim.cluster.SetCatalog(
		&wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 64, FetchGBPerS: 1}}},
	)
	properties := config.Defaults()
	sim.scheduler = &Scheduler{
		Cluster: sim.cluster, Objectives: NewObjectives(nil), Properties: &properties, Rand: rand.New(rand.NewPCG(1, 2)),
	}
	for i := range machines {
		name := fmt.Sprint(healthyMachines, 100+i)
		if i < faulty {
			name = fmt.Sprint(faultyMachines, 100+i)
		}
		agent := fake.NewAgent(name, "small", []string{"a", "b"}[i%2], sim.cluster.LeaseDuration)
		agent.InitialState = wire.TaskFetching
		sim.agents = append(sim.agents, agent)
	}
	sim.step()
	sim.step() // each agent has sent a heartbeat
	return sim
}

func (s *simulation) ChunkDirty(chunk *cluster.TaskChunk) { s.dirtyChunks[chunk] = true }

func (s *simulation) ChunkUrgent(chunk *cluster.TaskChunk)             { s.dirtyChunks[chunk] = true }
func (s *simulation) DispatchSoon(*cluster.Machine)                    {}
func (s *simulation) ScheduleSoon()                                    { s.schedulePending = true }
func (s *simulation) Log(string, ...any)                               {}
func (s *simulation) JobFinished(job *cluster.Job)                     { s.cluster.FinalizeJob(job, false, s.now) }
func (s *simulation) AttemptCompleted(*cluster.Allocation, micro.Time) { s.completedRuns++ }

// submitArray submits an array whose class is the prefix of its ID.
func (s *simulation) submitArray(id string, tasks int) *cluster.Job {
	return s.cluster.AddJob(
		wire.Job{
			ID: id, Class: id[:len(failingJobs)], Kind: wire.JobArray, Priority: wire.Normal, Tasks: tasks, CPUs: 1, MemoryGB: 1,
			EstimateS: simulatedRun.Seconds(),
		},
		s.now,
	)
}

// step advances the simulation by half a second: half of the agents advance their tasks and send a heartbeat,
// the scheduler runs a pass if anything changed, and dirty chunks are written. Once a second a pass runs in
// any case.
func (s *simulation) step() {
	s.now += simulatedStep
	if s.now%micro.Second == 0 {
		s.fencingToken++
		s.schedulePending = true
	}
	for i, agent := range s.agents {
		if micro.Time(i%2) == s.now/simulatedStep%2 { // each once a second
			s.advanceTasks(agent)
			s.heartbeat(agent)
		}
	}
	if s.schedulePending {
		s.schedulePending = false
		s.schedulingPasses++
		s.scheduler.Schedule(s.now)
	}
	for chunk := range s.dirtyChunks {
		s.writes[chunk.Job.Spec.ID]++
		s.cluster.ChunkPersisted(chunk, chunk.MemoryVersion)
	}
	clear(s.dirtyChunks)
	for _, machine := range s.cluster.SortedMachines() {
		if machine.QuarantinedUntil > s.now {
			s.quarantineTime[machine.Name] += simulatedStep
		}
	}
	if s.afterStep != nil {
		s.afterStep()
	}
}

// advanceTasks moves the tasks of an agent to their next state if they are due.
func (s *simulation) advanceTasks(agent *fake.Agent) {
	for taskKey, task := range agent.Tasks {
		id, index, _ := wire.ParseTaskName(taskKey.Task)
		stateKey := agent.Name + taskKey.Task + strconv.Itoa(int(taskKey.Attempt)) + string(task.State)
		from, known := s.stateSince[stateKey]
		if !known {
			s.stateSince[stateKey] = s.now
			from = s.now
			if task.State == wire.TaskFetching {
				s.starts[id]++
			}
		}
		failing := strings.HasPrefix(id, failingJobs) || strings.HasPrefix(agent.Name, faultyMachines)
		switch {
		case task.State == wire.TaskFetching && s.now-from >= simulatedFetch:
			task.State = wire.TaskRunning
			if !failing {
				s.lastStartedAt[wire.TaskName(id, index)] = s.now
			}
		case task.State == wire.TaskRunning && failing && s.now-from >= s.failsAfter:
			agent.ExitTask(taskKey.Task, taskKey.Attempt, wire.CauseError)
		case task.State == wire.TaskRunning && !failing && s.now-from >= simulatedRun:
			agent.ExitTask(taskKey.Task, taskKey.Attempt, wire.CauseDone)
		}
	}
}

// heartbeat delivers a heartbeat of the agent and the response to it.
func (s *simulation) heartbeat(agent *fake.Agent) {
	m, outcome := s.cluster.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, s.now)
	if outcome != cluster.Applied {
		s.t.Fatalf("heartbeat of %s was not applied", agent.Name)
	}
	commands := wire.Commands{
		FencingToken: wire.Count(s.fencingToken), Items: s.cluster.Commands(m, s.fencingToken, false, s.now),
	}
	s.cluster.ResponseSent(m, s.fencingToken)
	agent.HandleResponse(commands, s.now)
}

func (s *simulation) runFor(span micro.Time) {
	for end := s.now + span; s.now < end; {
		s.step()
	}
}

// sumByPrefix returns the sum of the counts of the jobs whose IDs have the prefix.
func sumByPrefix(counts map[string]int, prefix string) int {
	sum := 0
	for id, count := range counts {
		if strings.HasPrefix(id, prefix) {
			sum += count
		}
	}
	return sum
}

// quarantinedFor returns the total time in quarantine of the machines whose names have the prefix.
func (s *simulation) quarantinedFor(prefix string) micro.Time {
	var sum micro.Time
	for name, duration := range s.quarantineTime {
		if strings.HasPrefix(name, prefix) {
			sum += duration
		}
	}
	return sum
}

// runHealthyJobs submits an array of eight tasks every five seconds for span and then waits for a minute. In four
// minutes the arrays are half a minute's work for 40 machines. After the fourth submission it calls
// afterFourth, if that is not nil. It returns for each array the time from its submission to the start of its
// last task.
func (s *simulation) runHealthyJobs(span micro.Time, afterFourth func()) map[string]micro.Time {
	var ids []string
	submittedAt := map[string]micro.Time{}
	end, submitted := s.now+span, 0
	for s.now < end {
		id := fmt.Sprint(healthyJobs, 1000+submitted)
		submitted++
		ids = append(ids, id)
		submittedAt[id] = s.now
		s.submitArray(id, 8)
		if submitted == 4 && afterFourth != nil {
			afterFourth()
		}
		s.runFor(5 * micro.Second)
	}
	s.runFor(micro.Minute)
	delays := map[string]micro.Time{}
	for _, id := range ids {
		for i := range 8 {
			startedAt, ok := s.lastStartedAt[wire.TaskName(id, i)]
			if !ok || s.cluster.Jobs[id].State != cluster.Done {
				s.t.Errorf("job %s did not complete: %d of 8 tasks done", id, s.cluster.Jobs[id].DoneTasks)
				break
			}
			delays[id] = max(delays[id], startedAt-submittedAt[id])
		}
	}
	return delays
}

// 300 jobs that fail on every machine are submitted at once, beside healthy jobs and one faulty machine. Until a job
// has failed on three machines, it cannot be distinguished from one on a faulty machine. Two such jobs had failed on
// each machine by then, so all machines were quarantined at once and healthy jobs could not be placed.
func TestJobsFailingEverywhereDoNotDelayHealthyJobs(t *testing.T) {
	const (
		machines     = 40
		failingCount = 300
		span         = 4 * micro.Minute
	)
	baseline := newSimulation(t, machines, 1)
	baselineDelays := baseline.runHealthyJobs(span, nil)
	sim := newSimulation(t, machines, 1)
	delays := sim.runHealthyJobs(span, func() {
		for i := range failingCount {
			sim.submitArray(fmt.Sprint(failingJobs, 1000+i), 1)
		}
	})
	starts, writes := sumByPrefix(sim.starts, failingJobs), sumByPrefix(sim.writes, failingJobs)
	t.Logf(
		"%d starts, %d writes, %d passes (%d without failing jobs); quarantined: healthy machines %v s, the faulty one %v s",
		starts, writes, sim.schedulingPasses, baseline.schedulingPasses, sim.quarantinedFor(healthyMachines).Seconds(),
		sim.quarantinedFor(faultyMachines).Seconds(),
	)
	// Within five minutes: three attempts at once, then with delays of 8, 16 and 32 s.
	for id, count := range sim.startsOutside(failingJobs, 4, 14) {
		t.Errorf("failing job %s was started %d times, want 4 to 14", id, count)
	}
	if starts > 12*failingCount || writes > 4*starts {
		t.Errorf("%d starts and %d writes for %d failing jobs, want at most 12 starts per job and 4 writes per start",
			starts, writes, failingCount)
	}
	if sim.schedulingPasses > baseline.schedulingPasses+starts/10 {
		t.Errorf("%d scheduling passes, %d without the failing jobs", sim.schedulingPasses, baseline.schedulingPasses)
	}
	// The first few failures may look like those of a faulty machine for a moment.
	if got := sim.quarantinedFor(healthyMachines); got > 20*micro.Second {
		t.Errorf("healthy machines were quarantined for %v s in total, want at most 20 s", got.Seconds())
	}
	if got := sim.quarantinedFor(faultyMachines); got < 3*micro.Minute {
		t.Errorf("the faulty machine was quarantined for %v s, want at least 3 minutes", got.Seconds())
	}
	if sim.completedRuns != baseline.completedRuns {
		t.Errorf(
			"speeds are learnt from %d attempts, from %d without the failing jobs", sim.completedRuns, baseline.completedRuns,
		)
	}
	for id, baselineDelay := range baselineDelays {
		if delays[id] > baselineDelay+8*micro.Second {
			t.Errorf("job %s started after %v s, without the failing jobs after %v s", id, delays[id].Seconds(),
				baselineDelay.Seconds())
		}
	}
}

// startsOutside returns the jobs with the prefix that were started fewer than minStarts or more than maxStarts
// times, with their number of starts.
func (s *simulation) startsOutside(prefix string, minStarts, maxStarts int) map[string]int {
	found := map[string]int{}
	for id, count := range s.starts {
		if strings.HasPrefix(id, prefix) && (count > maxStarts || count < minStarts) {
			found[id] = count
		}
	}
	return found
}

// An array that fails on every machine repeatedly took all free capacity: each retry started as many tasks as fit.
func TestArrayThatFailsEverywhereIsRetriedWithFewTasks(t *testing.T) {
	const (
		machines = 150 // capacity for 1200 tasks
		// Maximum starts until the job counts as failing on every machine: the tasks placed at first, and those
		// that replace the first reported failures.
		maxStartsAtFirst = 600
		// Maximum starts in the five minutes after that: four at a time, 32 s apart.
		maxStartsAfter = 60
	)
	for _, test := range []struct {
		tasks      int
		failsAfter micro.Time
	}{
		{2000, micro.Second},
		{2000, 4 * micro.Second},
		{20000, micro.Second},
		{20000, 4 * micro.Second},
	} {
		tasks, failsAfter := test.tasks, test.failsAfter
		sim := newSimulation(t, machines, 0)
		sim.failsAfter = failsAfter
		job := sim.submitArray(failingJobs+"001", tasks)
		sim.runUntilBackoff(job)
		atFirst := sim.starts[job.Spec.ID]
		sim.runFor(5 * micro.Minute)
		after := sim.starts[job.Spec.ID] - atFirst
		t.Logf(
			"%d tasks that fail after %v s: %d starts until the job counts as failing on every machine, "+
				"%d in the five minutes after that, %d writes",
			tasks, failsAfter.Seconds(), atFirst, after, sim.writes[job.Spec.ID],
		)
		if atFirst > maxStartsAtFirst || after > maxStartsAfter {
			t.Errorf(
				"%d tasks: %d starts until backoff (limit 600), %d in the five minutes after that (limit 60)",
				tasks, atFirst, after,
			)
		}
		if after < 2 {
			t.Errorf("%d tasks: %d starts in five minutes of backoff, want at least 2", tasks, after)
		}
		if maxWrites := 4 * (atFirst + after); sim.writes[job.Spec.ID] > maxWrites {
			t.Errorf("%d tasks: %d writes, want at most four per start", tasks, sim.writes[job.Spec.ID])
		}
		if got := sim.quarantinedFor(healthyMachines); got > 5*micro.Second || sim.completedRuns > 0 {
			t.Errorf("%d tasks: machines quarantined for %v s, speeds learnt from %d attempts, want at most 5 s and 0",
				tasks, got.Seconds(), sim.completedRuns)
		}
		sim.cluster.FinalizeJob(job, true, sim.now)
		sim.runFor(2 * micro.Second)
		starts := sim.starts[job.Spec.ID]
		sim.runFor(micro.Minute)
		if job.AllocationCount > 0 || sim.starts[job.Spec.ID] > starts {
			t.Errorf(
				"%d tasks: the cancelled job holds %d allocations and had %d more starts, want 0", tasks, job.AllocationCount,
				sim.starts[job.Spec.ID]-starts,
			)
		}
	}
}

// runUntilBackoff advances the simulation until a job counts as failing on every machine.
func (s *simulation) runUntilBackoff(job *cluster.Job) {
	for job.NotBefore <= s.now {
		s.step()
	}
}

// With only two machines, a job never fails on three of them. An array that failed on both was restarted without
// a limit, as fast as its tasks failed.
func TestArrayThatFailsOnTheOnlyTwoMachinesIsThrottled(t *testing.T) {
	sim := newSimulation(t, 2, 0)
	job := sim.submitArray(failingJobs+"001", 5000)
	sim.runFor(5 * micro.Minute)
	if n := sim.starts[job.Spec.ID]; n > 200 || n < 70 {
		t.Errorf("%d starts in five minutes, want 70 to 200", n)
	}
}

// timeToFill returns how long a large healthy array takes to get all capacity of the machines that are not faulty.
func timeToFill(t *testing.T, machines, faulty int) (*simulation, micro.Time) {
	t.Helper()
	sim := newSimulation(t, machines, faulty)
	job := sim.submitArray(healthyJobs+"001", 20000)
	from := sim.now
	for job.AllocationCount < 8*(machines-faulty) {
		sim.step()
		if sim.now-from > micro.Minute {
			t.Fatalf("%d allocations after a minute, want all capacity of the healthy machines", job.AllocationCount)
		}
	}
	return sim, sim.now - from
}

// A healthy array is throttled only until the first of its tasks have run for a few seconds, also if some of its
// tasks fail on faulty machines.
func TestHealthyArrayIsNotThrottledForLong(t *testing.T) {
	if _, took := timeToFill(t, 60, 0); took > simulatedStep {
		t.Errorf("60 machines hold no more tasks than an unproven job may have: filled after %v s, want at most one step",
			took.Seconds())
	}
	const maxDelay = 10 * micro.Second
	for _, faulty := range []int{0, 1, 2, 5} {
		sim, took := timeToFill(t, 150, faulty)
		t.Logf("%d faulty machines: all capacity allocated after %v s", faulty, took.Seconds())
		if took > maxDelay {
			t.Errorf("%d faulty machines: all capacity allocated after %v s, want at most 10 s", faulty, took.Seconds())
		}
		sim.runFor(simulatedRun + 10*micro.Second)
		job := sim.cluster.Jobs[healthyJobs+"001"]
		if job.DoneTasks == 0 || job.AllocationCount < 8*(150-faulty)-40 || job.InBackoff(sim.now) {
			t.Errorf(
				"%d faulty machines: %d tasks done, %d allocations; want tasks done, all but 40 CPUs allocated and no backoff",
				faulty, job.DoneTasks, job.AllocationCount,
			)
		}
	}
}

// While so many jobs fail that their failures are not held against machines, a faulty machine is still identified
// by the jobs that failed on it and completed tasks elsewhere.
func TestFaultyMachineIsQuarantinedWhileManyJobsFailEverywhere(t *testing.T) {
	sim := newSimulation(t, 40, 1)
	for i := range 300 {
		sim.submitArray(fmt.Sprint(failingJobs, 1000+i), 1)
	}
	sim.runFor(4 * micro.Second) // nearly all have failed once
	from, found := sim.now, micro.Time(0)
	sim.afterStep = func() {
		if found == 0 && sim.quarantinedFor(faultyMachines) > 0 {
			found = sim.now - from
		}
	}
	for i := range 60 { // some of these run on the faulty machine
		sim.submitArray(fmt.Sprint(healthyJobs, 100+i), 5)
	}
	sim.runFor(micro.Minute)
	t.Logf("the faulty machine was quarantined after %v s", found.Seconds())
	if found == 0 || found > 45*micro.Second {
		t.Errorf("the faulty machine was quarantined after %v s (0: never), want at most 45 s", found.Seconds())
	}
	if got := sim.quarantinedFor(healthyMachines); got > 20*micro.Second {
		t.Errorf("healthy machines were quarantined for %v s in total, want at most 20 s", got.Seconds())
	}
}

// A machine is quarantined once the jobs that failed on it have completed elsewhere, even if no task fails any
// more by then.
func TestFaultyMachineIsQuarantinedOnceItsFailedJobsCompleteElsewhere(t *testing.T) {
	sim := newSimulation(t, 40, 1)
	for i := range 300 {
		sim.submitArray(fmt.Sprint(failingJobs, 1000+i), 1)
	}
	sim.runFor(6 * micro.Second)
	for _, job := range sim.cluster.Jobs {
		sim.cluster.FinalizeJob(job, true, sim.now)
	}
	sim.runFor(3 * micro.Second)
	var jobs []*cluster.Job
	for i := range 2 {
		jobs = append(jobs, sim.submitArray(fmt.Sprint(healthyJobs, 100+i), 1))
	}
	sim.runFor(10 * micro.Second)
	for _, job := range jobs {
		if len(job.FailedOn) != 1 {
			t.Fatalf("job %s failed on %v, want exactly one machine", job.Spec.ID, job.FailedOn)
		}
	}
	before := sim.quarantinedFor(faultyMachines)
	sim.runFor(25 * micro.Second)
	if got := sim.quarantinedFor(faultyMachines); before > 0 || got == 0 {
		t.Errorf("the faulty machine was quarantined for %v s before the jobs completed and %v s after, want 0 s and more",
			before.Seconds(), got.Seconds())
	}
}
