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

// Names tell what jobs and machines do in a simulation: the tasks of bad jobs, and
// all tasks on faulty machines, end with an error.
const (
	healthyJobs     = "j-1"
	failingJobs     = "j-9"
	healthyMachines = "i-"
	faultyMachines  = "faulty-"
)

// simulation is a cluster whose tasks run in simulated time.
type simulation struct {
	cluster.Effects // what the model asks for beyond the methods below is an error
	t               *testing.T
	cluster         *cluster.State
	scheduler       *Scheduler
	agents          []*fake.Agent
	now             micro.Time
	fencingToken    uint64
	schedulePending bool
	dirtyChunks     map[*cluster.TaskChunk]bool
	stateSince      map[string]micro.Time // when a task on an agent began its present state
	failsAfter      micro.Time            // for so long a task runs that fails
	afterStep       func()                // called after each step

	schedulingPasses int
	starts           map[string]int        // by job
	writes           map[string]int        // records written, by job
	lastStartedAt    map[string]micro.Time // when the last of a job's tasks began to run first
	completedRuns    int                   // completed runs that speeds are learnt from
	quarantineTime   map[string]micro.Time // for how long each machine was avoided
}

const (
	simulatedStep  = 500 * micro.Millisecond
	simulatedFetch = 2 * micro.Second
	simulatedRun   = 20 * micro.Second
)

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
	sim.step() // each agent has reported
	return sim
}

func (s *simulation) ChunkDirty(chunk *cluster.TaskChunk) { s.dirtyChunks[chunk] = true }

func (s *simulation) ChunkUrgent(chunk *cluster.TaskChunk)             { s.dirtyChunks[chunk] = true }
func (s *simulation) DispatchSoon(*cluster.Machine)                    {}
func (s *simulation) ScheduleSoon()                                    { s.schedulePending = true }
func (s *simulation) Log(string, ...any)                               {}
func (s *simulation) JobFinished(job *cluster.Job)                     { s.cluster.FinalizeJob(job, false, s.now) }
func (s *simulation) AttemptCompleted(*cluster.Allocation, micro.Time) { s.completedRuns++ }

func (s *simulation) submitArray(id string, tasks int) *cluster.Job {
	return s.cluster.AddJob(
		wire.Job{
			ID: id, Class: id[:len(failingJobs)], Kind: wire.JobArray, Priority: wire.Normal, Tasks: tasks, CPUs: 1, MemoryGB: 1,
			EstimateS: simulatedRun.Seconds(),
		},
		s.now,
		s.now,
	)
}

// step lets half a second go by: tasks go on, half of the agents report, what
// changed is placed and written. Once a second the scheduler looks in any case.
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

// advanceTasks lets the tasks of an agent go on.
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

func (s *simulation) heartbeat(agent *fake.Agent) {
	m, outcome := s.cluster.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, s.now)
	if outcome != cluster.Applied {
		s.t.Fatalf("%s: not taken", agent.Name)
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

// sumByPrefix adds up the counts of the jobs whose names begin so.
func sumByPrefix(counts map[string]int, prefix string) int {
	sum := 0
	for id, count := range counts {
		if strings.HasPrefix(id, prefix) {
			sum += count
		}
	}
	return sum
}

// quarantinedFor adds up for how long machines were avoided whose names begin so.
func (s *simulation) quarantinedFor(prefix string) micro.Time {
	var sum micro.Time
	for name, duration := range s.quarantineTime {
		if strings.HasPrefix(name, prefix) {
			sum += duration
		}
	}
	return sum
}

// runHealthyJobs submits an array of eight tasks every five seconds, half a minute's
// capacity of the machines in all, and says how long after the submission of its array
// the last task began, by array.
func (s *simulation) runHealthyJobs(span micro.Time, alongside func()) map[string]micro.Time {
	var ids []string
	submittedAt := map[string]micro.Time{}
	end, submitted := s.now+span, 0
	for s.now < end {
		id := fmt.Sprint(healthyJobs, 1000+submitted)
		submitted++
		ids = append(ids, id)
		submittedAt[id] = s.now
		s.submitArray(id, 8)
		if submitted == 4 && alongside != nil {
			alongside()
		}
		s.runFor(5 * micro.Second)
	}
	s.runFor(micro.Minute)
	delays := map[string]micro.Time{}
	for _, id := range ids {
		for i := range 8 {
			startedAt, ok := s.lastStartedAt[wire.TaskName(id, i)]
			if !ok || s.cluster.Jobs[id].State != cluster.Done {
				s.t.Errorf("%s was not served: %d of 8 tasks done", id, s.cluster.Jobs[id].DoneTasks)
				break
			}
			delays[id] = max(delays[id], startedAt-submittedAt[id])
		}
	}
	return delays
}

// Hundreds of jobs that fail everywhere come at once, beside good work and one
// machine that is really faulty. Before a job has failed on three machines it looks
// like one that met a faulty machine, and two of them had failed on each machine by
// then: all machines were avoided at once, and good work with them.
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
		"%d starts, %d writes, %d passes (%d without them); sound machines avoided for %v s, the faulty one for %v s", starts,
		writes, sim.schedulingPasses, baseline.schedulingPasses, sim.quarantinedFor(healthyMachines).Seconds(),
		sim.quarantinedFor(faultyMachines).Seconds(),
	)
	// In five minutes: three tries at once, then pauses of 8, 16 and 32 s.
	for id, count := range sim.startsOutside(failingJobs, 4, 14) {
		t.Errorf("%s was started %d times", id, count)
	}
	if starts > 12*failingCount || writes > 4*starts {
		t.Errorf("%d starts and %d writes for %d jobs", starts, writes, failingCount)
	}
	if sim.schedulingPasses > baseline.schedulingPasses+starts/10 {
		t.Errorf("%d passes, without the jobs that fail %d", sim.schedulingPasses, baseline.schedulingPasses)
	}
	// The first few of them may look like one faulty machine for a moment.
	if got := sim.quarantinedFor(healthyMachines); got > 20*micro.Second {
		t.Errorf("sound machines were avoided for %v s in all", got.Seconds())
	}
	if got := sim.quarantinedFor(faultyMachines); got < 3*micro.Minute {
		t.Errorf("the faulty machine was avoided for %v s", got.Seconds())
	}
	if sim.completedRuns != baseline.completedRuns {
		t.Errorf(
			"speeds are learnt from %d runs, without the jobs that fail from %d", sim.completedRuns, baseline.completedRuns,
		)
	}
	for id, baselineDelay := range baselineDelays {
		if delays[id] > baselineDelay+8*micro.Second {
			t.Errorf("%s began after %v s, without the others after %v s", id, delays[id].Seconds(), baselineDelay.Seconds())
		}
	}
}

// startsOutside lists the jobs of a name's beginning that were started more or less often.
func (s *simulation) startsOutside(prefix string, least, most int) map[string]int {
	found := map[string]int{}
	for id, count := range s.starts {
		if strings.HasPrefix(id, prefix) && (count > most || count < least) {
			found[id] = count
		}
	}
	return found
}

// An array that fails everywhere took all the capacity there was, again and again: each
// time that it was tried, with as many tasks as fitted.
func TestArrayThatFailsEverywhereIsRetriedWithFewTasks(t *testing.T) {
	const (
		machines = 150 // capacity for 1200 tasks
		// What may start before the job counts as failing everywhere: its first wave,
		// and what takes the place of the first failures that are heard of.
		maxStartsAtFirst = 600
		// After that, four at a time with 32 s between them.
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
			"%d tasks that fail after %v s: %d starts until it counts as failing everywhere, "+
				"%d in five minutes after that, %d writes",
			tasks, failsAfter.Seconds(), atFirst, after, sim.writes[job.Spec.ID],
		)
		if atFirst > maxStartsAtFirst || after > maxStartsAfter {
			t.Errorf("%d tasks: %d starts at first, %d in five minutes after that", tasks, atFirst, after)
		}
		if after < 2 {
			t.Errorf("%d tasks: tried %d times in five minutes", tasks, after)
		}
		if maxWrites := 4 * (atFirst + after); sim.writes[job.Spec.ID] > maxWrites {
			t.Errorf("%d tasks: %d writes", tasks, sim.writes[job.Spec.ID])
		}
		if got := sim.quarantinedFor(healthyMachines); got > 5*micro.Second || sim.completedRuns > 0 {
			t.Errorf("%d tasks: machines avoided for %v s, speeds learnt from %d runs", tasks, got.Seconds(), sim.completedRuns)
		}
		sim.cluster.FinalizeJob(job, true, sim.now)
		sim.runFor(2 * micro.Second)
		starts := sim.starts[job.Spec.ID]
		sim.runFor(micro.Minute)
		if job.AllocationCount > 0 || sim.starts[job.Spec.ID] > starts {
			t.Errorf(
				"%d tasks: cancelled, and %d places held, %d more starts", tasks, job.AllocationCount,
				sim.starts[job.Spec.ID]-starts,
			)
		}
	}
}

// runUntilBackoff lets time go by until a job counts as failing everywhere.
func (s *simulation) runUntilBackoff(job *cluster.Job) {
	for job.NotBefore <= s.now {
		s.step()
	}
}

// On two machines a job never fails on three: an array went on without end, as
// fast as its tasks failed.
func TestArrayThatFailsOnTheOnlyTwoMachinesIsThrottled(t *testing.T) {
	sim := newSimulation(t, 2, 0)
	job := sim.submitArray(failingJobs+"001", 5000)
	sim.runFor(5 * micro.Minute)
	if n := sim.starts[job.Spec.ID]; n > 200 || n < 70 {
		t.Errorf("%d starts in five minutes", n)
	}
}

// timeToFill is how long a large sound array takes until it has all the capacity.
func timeToFill(t *testing.T, machines, faulty int) (*simulation, micro.Time) {
	t.Helper()
	sim := newSimulation(t, machines, faulty)
	job := sim.submitArray(healthyJobs+"001", 20000)
	from := sim.now
	for job.AllocationCount < 8*(machines-faulty) {
		sim.step()
		if sim.now-from > micro.Minute {
			t.Fatalf("%d places after a minute", job.AllocationCount)
		}
	}
	return sim, sim.now - from
}

// A sound array waits for no more than the first of its tasks to have run for a few
// seconds, and one that meets a faulty machine no longer than that.
func TestHealthyArrayIsNotThrottledForLong(t *testing.T) {
	if _, took := timeToFill(t, 60, 0); took > simulatedStep {
		t.Errorf("an array that no more than the first wave has room for: after %v s", took.Seconds())
	}
	const maxDelay = 10 * micro.Second
	for _, faulty := range []int{0, 1, 2, 5} {
		sim, took := timeToFill(t, 150, faulty)
		t.Logf("%d faulty machines: all the room after %v s", faulty, took.Seconds())
		if took > maxDelay {
			t.Errorf("%d faulty machines: all the room after %v s", faulty, took.Seconds())
		}
		sim.runFor(simulatedRun + 10*micro.Second)
		job := sim.cluster.Jobs[healthyJobs+"001"]
		if job.DoneTasks == 0 || job.AllocationCount < 8*(150-faulty)-40 || job.InBackoff(sim.now) {
			t.Errorf("%d faulty machines: %d tasks done, %d places held", faulty, job.DoneTasks, job.AllocationCount)
		}
	}
}

// While so many jobs fail that machines are doubted no more, one that is really
// faulty is found by the jobs that failed on it and completed tasks elsewhere.
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
	for i := range 60 { // some of them meet the machine
		sim.submitArray(fmt.Sprint(healthyJobs, 100+i), 5)
	}
	sim.runFor(micro.Minute)
	t.Logf("found after %v s", found.Seconds())
	if found == 0 || found > 45*micro.Second {
		t.Errorf("the faulty machine was found after %v s", found.Seconds())
	}
	if got := sim.quarantinedFor(healthyMachines); got > 20*micro.Second {
		t.Errorf("sound machines were avoided for %v s in all", got.Seconds())
	}
}

// The jobs that failed on a faulty machine tell so once they completed elsewhere,
// though nothing fails any more by then.
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
			t.Fatalf("%s failed on %v", job.Spec.ID, job.FailedOn)
		}
	}
	before := sim.quarantinedFor(faultyMachines)
	sim.runFor(25 * micro.Second)
	if got := sim.quarantinedFor(faultyMachines); before > 0 || got == 0 {
		t.Errorf("the faulty machine was avoided for %v s before, %v s after they completed", before.Seconds(), got.Seconds())
	}
}
