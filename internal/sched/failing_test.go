package sched

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// Names tell what jobs and machines do in a simulation: the tasks of bad jobs, and
// all tasks on faulty machines, end with an error.
const (
	goodJobs       = "j-1"
	badJobs        = "j-9"
	soundMachines  = "i-"
	faultyMachines = "faulty-"
)

// simulation is a cluster whose tasks run in simulated time.
type simulation struct {
	model.Effects // what the model asks for beyond the methods below is an error
	t             *testing.T
	c             *model.Cluster
	p             *Placer
	workers       []*fake.Worker
	now           micro.Time
	token         uint64
	changed       bool
	dirty         map[*model.Chunk]bool
	since         map[string]micro.Time // when a task on a worker began its present state
	failsAfter    micro.Time            // for so long a task runs that fails
	each          func()                // called after each step

	passes  int
	starts  map[string]int        // by job
	writes  map[string]int        // records written, by job
	begun   map[string]micro.Time // when the last of a job's tasks began to run first
	runs    int                   // completed runs that speeds are learnt from
	avoided map[string]micro.Time // for how long each machine was avoided
}

const (
	simulatedStep  = 500 * micro.Millisecond
	simulatedFetch = 2 * micro.Second
	simulatedRun   = 20 * micro.Second
)

func newSimulation(t *testing.T, machines, faulty int) *simulation {
	s := &simulation{t: t, now: 1000 * micro.Second, token: 1, dirty: map[*model.Chunk]bool{}, since: map[string]micro.Time{}, failsAfter: micro.Second,
		starts: map[string]int{}, writes: map[string]int{}, begun: map[string]micro.Time{}, avoided: map[string]micro.Time{}}
	s.c = model.New(s)
	s.c.Lease = 30 * micro.Second
	s.c.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 64, FetchGBPerS: 1}}})
	props := config.Defaults()
	s.p = &Placer{C: s.c, Goals: NewGoals(nil), Props: &props, Rand: rand.New(rand.NewPCG(1, 2))}
	for i := range machines {
		name := fmt.Sprint(soundMachines, 100+i)
		if i < faulty {
			name = fmt.Sprint(faultyMachines, 100+i)
		}
		w := fake.NewWorker(name, "small", []string{"a", "b"}[i%2], s.c.Lease)
		w.First = wire.TaskFetching
		s.workers = append(s.workers, w)
	}
	s.step()
	s.step() // each worker has reported
	return s
}

func (s *simulation) Touch(ch *model.Chunk)        { s.dirty[ch] = true }
func (s *simulation) Press(ch *model.Chunk)        { s.dirty[ch] = true }
func (s *simulation) Kick(*model.Machine)          {}
func (s *simulation) Changed()                     { s.changed = true }
func (s *simulation) Log(string, ...any)           {}
func (s *simulation) Finished(j *model.Job)        { s.c.End(j, false, s.now) }
func (s *simulation) Ran(*model.Place, micro.Time) { s.runs++ }

func (s *simulation) array(id string, tasks int) *model.Job {
	return s.c.AddJob(wire.Job{ID: id, Class: id[:len(badJobs)], Kind: wire.Array, Priority: wire.Normal, Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimateS: simulatedRun.Seconds()}, s.now, s.now)
}

// step lets half a second go by: tasks go on, half of the workers report, what
// changed is placed and written. Once a second the scheduler looks in any case.
func (s *simulation) step() {
	s.now += simulatedStep
	if s.now%micro.Second == 0 {
		s.token++
		s.changed = true
	}
	for i, w := range s.workers {
		if micro.Time(i%2) == s.now/simulatedStep%2 { // each once a second
			s.run(w)
			s.report(w)
		}
	}
	if s.changed {
		s.changed = false
		s.passes++
		s.p.Pass(s.now)
	}
	for ch := range s.dirty {
		s.writes[ch.Job.Spec.ID]++
		s.c.Persisted(ch, ch.Ver)
	}
	clear(s.dirty)
	for _, m := range s.c.List() {
		if m.Avoid > s.now {
			s.avoided[m.Name] += simulatedStep
		}
	}
	if s.each != nil {
		s.each()
	}
}

// run lets the tasks of a worker go on.
func (s *simulation) run(w *fake.Worker) {
	for k, t := range w.Tasks {
		id, index, _ := wire.SplitTask(k.Task)
		key := w.Name + k.Task + strconv.Itoa(int(k.Attempt)) + string(t.State)
		from, known := s.since[key]
		if !known {
			s.since[key] = s.now
			from = s.now
			if t.State == wire.TaskFetching {
				s.starts[id]++
			}
		}
		bad := strings.HasPrefix(id, badJobs) || strings.HasPrefix(w.Name, faultyMachines)
		switch {
		case t.State == wire.TaskFetching && s.now-from >= simulatedFetch:
			t.State = wire.TaskRunning
			if !bad {
				s.begun[wire.TaskName(id, index)] = s.now
			}
		case t.State == wire.TaskRunning && bad && s.now-from >= s.failsAfter:
			w.Exit(k.Task, k.Attempt, wire.CauseError)
		case t.State == wire.TaskRunning && !bad && s.now-from >= simulatedRun:
			w.Exit(k.Task, k.Attempt, wire.CauseDone)
		}
	}
}

func (s *simulation) report(w *fake.Worker) {
	m, verdict := s.c.Apply(w.Report(), model.Beat, s.now)
	if verdict != model.Taken {
		s.t.Fatalf("%s: not taken", w.Name)
	}
	o := wire.Orders{Token: wire.Count(s.token), Orders: s.c.Orders(m, s.token, false, s.now)}
	s.c.Told(m, s.token)
	w.Answer(o, s.now)
}

func (s *simulation) during(span micro.Time) {
	for end := s.now + span; s.now < end; {
		s.step()
	}
}

// total adds up the counts of the jobs whose names begin so.
func total(counts map[string]int, prefix string) int {
	n := 0
	for id, k := range counts {
		if strings.HasPrefix(id, prefix) {
			n += k
		}
	}
	return n
}

// avoidedFor adds up for how long machines were avoided whose names begin so.
func (s *simulation) avoidedFor(prefix string) micro.Time {
	var sum micro.Time
	for name, d := range s.avoided {
		if strings.HasPrefix(name, prefix) {
			sum += d
		}
	}
	return sum
}

// goodWork submits an array of eight tasks every five seconds, half a minute's
// room of the machines in all, and says how long after the submission of its array
// the last task began, by array.
func (s *simulation) goodWork(span micro.Time, beside func()) map[string]micro.Time {
	var ids []string
	at := map[string]micro.Time{}
	end, n := s.now+span, 0
	for s.now < end {
		id := fmt.Sprint(goodJobs, 1000+n)
		n++
		ids = append(ids, id)
		at[id] = s.now
		s.array(id, 8)
		if n == 4 && beside != nil {
			beside()
		}
		s.during(5 * micro.Second)
	}
	s.during(micro.Minute)
	took := map[string]micro.Time{}
	for _, id := range ids {
		for i := range 8 {
			b, ok := s.begun[wire.TaskName(id, i)]
			if !ok || s.c.Jobs[id].State != model.Done {
				s.t.Errorf("%s was not served: %d of 8 tasks done", id, s.c.Jobs[id].DoneN)
				break
			}
			took[id] = max(took[id], b-at[id])
		}
	}
	return took
}

// Hundreds of jobs that fail everywhere come at once, beside good work and one
// machine that is really faulty. Before a job has failed on three machines it looks
// like one that met a faulty machine, and two of them had failed on each machine by
// then: all machines were avoided at once, and good work with them.
func TestHundredsOfJobsThatFailEverywhere(t *testing.T) {
	const (
		machines = 40
		bad      = 300
		span     = 4 * micro.Minute
	)
	alone := newSimulation(t, machines, 1)
	without := alone.goodWork(span, nil)
	s := newSimulation(t, machines, 1)
	with := s.goodWork(span, func() {
		for i := range bad {
			s.array(fmt.Sprint(badJobs, 1000+i), 1)
		}
	})
	starts, writes := total(s.starts, badJobs), total(s.writes, badJobs)
	t.Logf("%d starts, %d writes, %d passes (%d without them); sound machines avoided for %v s, the faulty one for %v s", starts, writes, s.passes, alone.passes, s.avoidedFor(soundMachines).Seconds(), s.avoidedFor(faultyMachines).Seconds())
	// In five minutes: three tries at once, then pauses of 8, 16 and 32 s.
	for id, n := range s.starts {
		if strings.HasPrefix(id, badJobs) && (n > 14 || n < 4) {
			t.Errorf("%s was started %d times", id, n)
		}
	}
	if starts > 12*bad || writes > 4*starts {
		t.Errorf("%d starts and %d writes for %d jobs", starts, writes, bad)
	}
	if s.passes > alone.passes+starts/10 {
		t.Errorf("%d passes, without the jobs that fail %d", s.passes, alone.passes)
	}
	// The first few of them may look like one faulty machine for a moment.
	if got := s.avoidedFor(soundMachines); got > 20*micro.Second {
		t.Errorf("sound machines were avoided for %v s in all", got.Seconds())
	}
	if got := s.avoidedFor(faultyMachines); got < 3*micro.Minute {
		t.Errorf("the faulty machine was avoided for %v s", got.Seconds())
	}
	if s.runs != alone.runs {
		t.Errorf("speeds are learnt from %d runs, without the jobs that fail from %d", s.runs, alone.runs)
	}
	for id, was := range without {
		if with[id] > was+8*micro.Second {
			t.Errorf("%s began after %v s, without the others after %v s", id, with[id].Seconds(), was.Seconds())
		}
	}
}

// An array that fails everywhere took all the room there was, again and again: each
// time that it was tried, with as many tasks as fitted.
func TestArrayThatFailsEverywhereIsTriedWithAFewTasks(t *testing.T) {
	const (
		machines = 150 // room for 1200 tasks
		// What may start before the job counts as failing everywhere: its first wave,
		// and what takes the place of the first failures that are heard of.
		mostAtFirst = 600
		// After that, four at a time with 32 s between them.
		mostAfter = 60
	)
	for _, tasks := range []int{2000, 20000} {
		for _, failsAfter := range []micro.Time{micro.Second, 4 * micro.Second} {
			s := newSimulation(t, machines, 0)
			s.failsAfter = failsAfter
			j := s.array(badJobs+"001", tasks)
			for j.NotBefore <= s.now {
				s.step()
			}
			atFirst := s.starts[j.Spec.ID]
			s.during(5 * micro.Minute)
			after := s.starts[j.Spec.ID] - atFirst
			t.Logf("%d tasks that fail after %v s: %d starts until it counts as failing everywhere, %d in five minutes after that, %d writes", tasks, failsAfter.Seconds(), atFirst, after, s.writes[j.Spec.ID])
			if atFirst > mostAtFirst || after > mostAfter {
				t.Errorf("%d tasks: %d starts at first, %d in five minutes after that", tasks, atFirst, after)
			}
			if after < 2 {
				t.Errorf("%d tasks: tried %d times in five minutes", tasks, after)
			}
			if most := 4 * (atFirst + after); s.writes[j.Spec.ID] > most {
				t.Errorf("%d tasks: %d writes", tasks, s.writes[j.Spec.ID])
			}
			if got := s.avoidedFor(soundMachines); got > 5*micro.Second || s.runs > 0 {
				t.Errorf("%d tasks: machines avoided for %v s, speeds learnt from %d runs", tasks, got.Seconds(), s.runs)
			}
			s.c.End(j, true, s.now)
			s.during(2 * micro.Second)
			starts := s.starts[j.Spec.ID]
			s.during(micro.Minute)
			if j.HeldN > 0 || s.starts[j.Spec.ID] > starts {
				t.Errorf("%d tasks: cancelled, and %d places held, %d more starts", tasks, j.HeldN, s.starts[j.Spec.ID]-starts)
			}
		}
	}
}

// On two machines a job never fails on three: an array went on without end, as
// fast as its tasks failed.
func TestArrayThatFailsOnTheOnlyTwoMachinesIsTriedSeldom(t *testing.T) {
	s := newSimulation(t, 2, 0)
	j := s.array(badJobs+"001", 5000)
	s.during(5 * micro.Minute)
	if n := s.starts[j.Spec.ID]; n > 200 || n < 70 {
		t.Errorf("%d starts in five minutes", n)
	}
}

// filled is how long a large sound array takes until it has all the room.
func filled(t *testing.T, machines, faulty int) (*simulation, micro.Time) {
	s := newSimulation(t, machines, faulty)
	j := s.array(goodJobs+"001", 20000)
	from := s.now
	for j.HeldN < 8*(machines-faulty) {
		s.step()
		if s.now-from > micro.Minute {
			t.Fatalf("%d places after a minute", j.HeldN)
		}
	}
	return s, s.now - from
}

// A sound array waits for no more than the first of its tasks to have run for a few
// seconds, and one that meets a faulty machine no longer than that.
func TestSoundArrayIsNotHeldBackForLong(t *testing.T) {
	if _, took := filled(t, 60, 0); took > simulatedStep {
		t.Errorf("an array that no more than the first wave has room for: after %v s", took.Seconds())
	}
	const most = 10 * micro.Second
	for _, faulty := range []int{0, 1, 2, 5} {
		s, took := filled(t, 150, faulty)
		t.Logf("%d faulty machines: all the room after %v s", faulty, took.Seconds())
		if took > most {
			t.Errorf("%d faulty machines: all the room after %v s", faulty, took.Seconds())
		}
		s.during(simulatedRun + 10*micro.Second)
		j := s.c.Jobs[goodJobs+"001"]
		if j.DoneN == 0 || j.HeldN < 8*(150-faulty)-40 || j.Paused(s.now) {
			t.Errorf("%d faulty machines: %d tasks done, %d places held", faulty, j.DoneN, j.HeldN)
		}
	}
}

// While so many jobs fail that machines are doubted no more, one that is really
// faulty is found by the jobs that failed on it and completed tasks elsewhere.
func TestFaultyMachineIsFoundWhileManyJobsFailEverywhere(t *testing.T) {
	s := newSimulation(t, 40, 1)
	for i := range 300 {
		s.array(fmt.Sprint(badJobs, 1000+i), 1)
	}
	s.during(4 * micro.Second) // nearly all have failed once
	from, found := s.now, micro.Time(0)
	s.each = func() {
		if found == 0 && s.avoidedFor(faultyMachines) > 0 {
			found = s.now - from
		}
	}
	for i := range 60 { // some of them meet the machine
		s.array(fmt.Sprint(goodJobs, 100+i), 5)
	}
	s.during(micro.Minute)
	t.Logf("found after %v s", found.Seconds())
	if found == 0 || found > 45*micro.Second {
		t.Errorf("the faulty machine was found after %v s", found.Seconds())
	}
	if got := s.avoidedFor(soundMachines); got > 20*micro.Second {
		t.Errorf("sound machines were avoided for %v s in all", got.Seconds())
	}
}

// The jobs that failed on a faulty machine tell so once they completed elsewhere,
// though nothing fails any more by then.
func TestFaultyMachineIsAvoidedOnceWhatFailedOnItCompletedElsewhere(t *testing.T) {
	s := newSimulation(t, 40, 1)
	for i := range 300 {
		s.array(fmt.Sprint(badJobs, 1000+i), 1)
	}
	s.during(6 * micro.Second)
	for _, j := range s.c.Jobs {
		s.c.End(j, true, s.now)
	}
	s.during(3 * micro.Second)
	var jobs []*model.Job
	for i := range 2 {
		jobs = append(jobs, s.array(fmt.Sprint(goodJobs, 100+i), 1))
	}
	s.during(10 * micro.Second)
	for _, j := range jobs {
		if len(j.FailedOn) != 1 {
			t.Fatalf("%s failed on %v", j.Spec.ID, j.FailedOn)
		}
	}
	before := s.avoidedFor(faultyMachines)
	s.during(25 * micro.Second)
	if got := s.avoidedFor(faultyMachines); before > 0 || got == 0 {
		t.Errorf("the faulty machine was avoided for %v s before, %v s after they completed", before.Seconds(), got.Seconds())
	}
}
