package model_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/wire"
)

const lease = 30 * micro.Second

// site is a leader's model among fake workers, with its records kept as the
// store would.
type site struct {
	t       *testing.T
	c       *model.Cluster
	placer  *sched.Scheduler
	now     micro.Time
	token   uint64
	dirty   map[*model.Chunk]bool
	records map[string]map[int]model.ChunkRecord
	jobs    []wire.Job
	ended   []string

	doomed, unknown []string
	outdated        []*model.Old
}

func (s *site) Touch(ch *model.Chunk)          { s.dirty[ch] = true }
func (s *site) Press(*model.Chunk)             {}
func (s *site) Kick(*model.Machine)            {}
func (s *site) Finished(j *model.Job)          { s.ended = append(s.ended, j.Spec.ID) }
func (s *site) Doomed(j *model.Job)            { s.doomed = append(s.doomed, j.Spec.ID) }
func (s *site) Unknown(id string)              { s.unknown = append(s.unknown, id) }
func (s *site) Moved(*model.Chunk, *model.Old) {}
func (s *site) Outdated(o *model.Old)          { s.outdated = append(s.outdated, o) }
func (s *site) Ran(*model.Place, micro.Time)   {}
func (s *site) Changed()                       {}
func (s *site) Log(event string, args ...any)  {}

func newSite(t *testing.T) *site {
	s := &site{t: t, now: 100 * micro.Second, records: map[string]map[int]model.ChunkRecord{}}
	s.lead(1)
	return s
}

// lead starts a term with an empty model, as a new leader has.
func (s *site) lead(stamp uint64) {
	s.dirty = map[*model.Chunk]bool{}
	s.token = stamp << 24
	s.c = model.New(s)
	s.c.BaseTok, s.c.Began, s.c.Lease = s.token, s.now, lease+micro.Second
	s.c.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16, Zones: []string{"a", "b"}, FetchGBPerS: 1}}})
	s.c.Teams["team"] = &model.Team{Name: "team", CPUsMax: 8}
	props := config.Defaults()
	s.placer = &sched.Scheduler{Cluster: s.c, Objectives: sched.NewObjectives(nil), Properties: &props, Rand: rand.New(rand.NewPCG(1, 1))}
}

// takeOver is lead after a crash: the records are read.
func (s *site) takeOver(stamp uint64) {
	s.lead(stamp)
	for _, spec := range s.jobs {
		j := s.c.AddJob(spec, s.now, s.now)
		for n, rec := range s.records[spec.ID] {
			s.c.Restore(j, n, &rec, 1, s.now)
		}
	}
	s.c.Restored(s.now)
}

func (s *site) job(id string, kind wire.Kind, tasks int, cpus float64) *model.Job {
	spec := wire.Job{ID: id, Team: "team", Class: "c", Kind: kind, Priority: wire.Normal, Tasks: tasks, CPUs: cpus, MemoryGB: 1}
	s.jobs = append(s.jobs, spec)
	return s.c.AddJob(spec, s.now, s.now)
}

// persist writes all records, after which starts may go out.
func (s *site) persist() {
	for ch := range s.dirty {
		id := ch.Job.Spec.ID
		if s.records[id] == nil {
			s.records[id] = map[int]model.ChunkRecord{}
		}
		s.records[id][ch.N] = ch.Record()
		s.c.Persisted(ch, ch.Ver)
		delete(s.dirty, ch)
	}
}

// beat is a report with its answer.
func (s *site) beat(w *fake.Worker) { s.answer(w, w.Report()) }

func (s *site) answer(w *fake.Worker, r *wire.Report) {
	m, v := s.c.Apply(r, model.Beat, s.now)
	if v == model.Taken {
		w.Answer(wire.Orders{Token: wire.Count(s.token), Orders: s.c.Orders(m, s.token, false, s.now)}, s.now)
	}
}

// direct builds the direct orders to a worker.
func (s *site) direct(w *fake.Worker) wire.Orders {
	m := s.c.Machines[w.Name]
	return wire.Orders{Token: wire.Count(s.token), Session: wire.Count(m.Session), Orders: s.c.Orders(m, s.token, true, s.now)}
}

func (s *site) worker(name, zone string) *fake.Worker {
	w := fake.NewWorker(name, "small", zone, lease)
	w.Sent = s.now
	s.beat(w)
	s.beat(w) // it counts as up once it has shown this term's token
	return w
}

func (s *site) place(want int) {
	s.t.Helper()
	if got := s.placer.Schedule(s.now); got != want {
		s.t.Fatalf("placed %d tasks, want %d", got, want)
	}
}

func (s *site) held(j *model.Job, want int) {
	s.t.Helper()
	if j.HeldN != want {
		s.t.Fatalf("%d places are held, want %d", j.HeldN, want)
	}
}

func TestLeaderLostBetweenPersistAndStart(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	if o := s.direct(w); len(o.Orders) != 0 {
		t.Fatal("a start went out before its record was written")
	}
	s.persist()
	s.takeOver(2) // the start was never sent
	j := s.c.Jobs["j-1"]
	s.held(j, 1)
	s.place(0)
	s.beat(w)
	s.held(j, 1) // that report may be older than a start of the last term
	s.place(0)
	s.beat(w)
	s.held(j, 0)
	if len(w.Started) != 0 {
		t.Fatalf("a place of the last term was started: %v", w.Started)
	}
	s.place(1)
	s.persist()
	s.beat(w)
	s.beat(w)
	if len(w.Started) != 1 || j.RunningN != 1 || j.Tasks[0].Attempt != 2 {
		t.Fatalf("started %v, running %d, attempt %d", w.Started, j.RunningN, j.Tasks[0].Attempt)
	}
}

// A leader gave a place up that had never been started and used the limit for
// another, whose record it wrote first. The next leader read both, and started
// both: the team was over its limit.
func TestPlaceThatTheLastLeaderHadGivenUpIsNotStarted(t *testing.T) {
	s := newSite(t)
	s.c.Teams["team"].CPUsMax = 4
	w := s.worker("m1", "a")
	s.job("j-1", wire.Array, 1, 4)
	s.place(1)
	s.persist()
	old := s.records["j-1"][0]
	for _, p := range s.c.Jobs["j-1"].AllPlaces() {
		s.c.Stop(p, "preempted", 0, s.now)
	}
	s.token++
	s.beat(w)
	s.beat(w)
	s.held(s.c.Jobs["j-1"], 0)
	s.c.Jobs["j-1"].NotBefore = s.now + micro.Minute
	s.job("j-2", wire.Array, 1, 4)
	s.place(1)
	s.persist()
	s.beat(w)
	s.beat(w)
	s.records["j-1"][0] = old // what it gave up was to be written later
	s.takeOver(2)
	s.beat(w)
	s.beat(w)
	s.beat(w)
	if fmt.Sprint(w.Started) != "[j-2/0]" {
		t.Fatalf("started %v on one machine with room for one", w.Started)
	}
	s.held(s.c.Jobs["j-1"], 0)
}

// A report of an earlier attempt reached the next leader before any other. It took
// the attempt for one that the records lacked, wrote it down, and the leader after
// that started it once more, while the task ran elsewhere.
func TestAttemptFromAnOldReportIsNeverStartedAgain(t *testing.T) {
	s := newSite(t)
	m1 := s.worker("m1", "a")
	s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	s.persist()
	s.beat(m1)
	old := m1.Report()
	m1.Exit("j-1/0", 1, wire.CauseError)
	s.beat(m1)
	s.persist()
	s.token++
	s.beat(m1)
	s.beat(m1) // forgotten
	s.beat(m1)
	if len(m1.Tasks) != 0 {
		t.Fatal("the worker still knows the attempt")
	}
	m2 := s.worker("m2", "a")
	s.c.Machines["m1"].Avoid = s.now + 60*micro.Minute
	s.now += 20 * micro.Second
	s.place(1)
	s.persist()
	s.beat(m2)
	s.beat(m2)
	s.takeOver(2)
	s.answer(m1, old)
	s.persist()
	s.takeOver(3)
	for range 3 {
		s.beat(m1)
		s.beat(m2)
	}
	if len(m1.Started) != 1 || len(m2.Started) != 1 {
		t.Fatalf("started %v and %v", m1.Started, m2.Started)
	}
	if j := s.c.Jobs["j-1"]; j.RunningN != 1 || j.HeldN != 1 {
		t.Fatalf("running %d, places %d", j.RunningN, j.HeldN)
	}
}

func TestLateDirectStartAfterAStopHoldsItsPlaceUntilItCannotRun(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	j := s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	s.persist()
	late := s.direct(w) // held in the network, sender has given up
	s.c.End(j, true, s.now)
	s.beat(w)
	s.held(j, 1) // absent, but the start may still run
	s.token++
	s.beat(w) // the worker sees the newer token
	s.beat(w) // and says so
	s.held(j, 0)
	if _, ok := w.Direct(late); ok || len(w.Started) != 0 {
		t.Fatal("the late start ran after its place was given up")
	}
}

func TestLateCopyOfAStartIsHarmlessAfterForget(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	s.job("j-1", wire.Array, 2, 1)
	s.place(2)
	s.persist()
	o := s.direct(w)
	r, _ := w.Direct(o)
	s.c.Apply(r, model.Answer, s.now)
	w.Exit("j-1/0", 1, wire.CauseDone)
	s.beat(w)
	s.persist()
	s.beat(w)
	if len(w.Tasks) != 2 {
		t.Fatal("forgotten while a late copy of its start could run it again")
	}
	if !s.c.Machines["m1"].NeedsToken(s.token) {
		t.Fatal("nobody asks for a newer token")
	}
	s.token++
	s.beat(w)
	s.beat(w)
	if len(w.Tasks) != 1 {
		t.Fatal("never forgotten")
	}
	if _, ok := w.Direct(o); ok {
		t.Fatal("the late copy ran")
	}
}

func TestDoneIsForgottenOnlyOnceItIsInTheStore(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	j := s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	s.persist()
	s.beat(w)
	w.Exit("j-1/0", 1, wire.CauseDone)
	s.beat(w)
	s.token++
	s.beat(w)
	s.beat(w)
	if len(w.Tasks) != 1 {
		t.Fatal("forgotten before the completion was written")
	}
	if j.Status().State == wire.JobDone || len(s.ended) != 1 {
		t.Fatalf("state %v before the end is written, ends asked for: %v", j.Status().State, s.ended)
	}
	s.takeOver(2)
	s.beat(w)
	if s.c.Jobs["j-1"].DoneN != 1 {
		t.Fatal("the next leader lost the completion")
	}
}

func TestOlderReportFreesNothing(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	j := s.job("j-1", wire.Array, 1, 1)
	old := w.Report() // overtaken on its way
	s.place(1)
	s.persist()
	s.beat(w)
	s.beat(w)
	if _, v := s.c.Apply(old, model.Beat, s.now); v != model.Stale {
		t.Fatalf("verdict %v", v)
	}
	s.held(j, 1)
}

func TestNewLeaderWaitsOutASilentWorkersLease(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	s.persist()
	s.beat(w)
	s.takeOver(2)
	other := s.worker("m2", "a")
	j := s.c.Jobs["j-1"]
	m := s.c.Machines["m1"]
	s.now += lease
	if s.c.LeaseOut(m, s.now) {
		t.Fatal("given up within a lease of the takeover")
	}
	s.place(0)
	s.now += 2 * micro.Second
	if !w.Expire(s.now) || !s.c.LeaseOut(m, s.now) {
		t.Fatal("the lease should be over on both sides")
	}
	s.c.Lose(m, s.now)
	s.held(j, 0)
	s.beat(other)
	s.place(1)
}

func TestHeldReportOfAnExpiredSessionIsRefused(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	s.persist()
	s.beat(w)
	held := w.Report() // sent before the cut, delivered after it
	s.now += lease + 2*micro.Second
	s.c.Lose(s.c.Machines["m1"], s.now)
	if _, v := s.c.Apply(held, model.Beat, s.now); v != model.Refused {
		t.Fatalf("verdict %v", v)
	}
}

func TestGangLosingAMemberStartsAnewOnlyWhenAllAreGone(t *testing.T) {
	for _, started := range []bool{false, true} {
		s := newSite(t)
		a, b := s.worker("m1", "a"), s.worker("m2", "a")
		j := s.job("j-1", wire.Gang, 2, 4)
		s.place(2)
		s.persist()
		s.beat(a)
		s.beat(b)
		if started {
			s.beat(a)
			s.beat(b)
		}
		a.Sent = 0
		a.Expire(s.now + 2*lease) // its tasks are gone
		s.beat(a)
		s.beat(a)
		s.held(j, 1)
		s.place(0) // the other member still holds its place
		s.token++
		s.beat(b)
		s.beat(b)
		s.beat(b)
		s.held(j, 0)
		s.place(2)
		if j.GangTry != 2 {
			t.Fatalf("attempt %d", j.GangTry)
		}
	}
}

func TestQuotaCountsUnsettledStarts(t *testing.T) {
	s := newSite(t) // the team may use 8 CPUs
	for _, n := range []string{"m1", "m2", "m3"} {
		s.worker(n, "a")
	}
	j := s.job("j-1", wire.Array, 3, 4)
	s.place(2)
	s.persist()
	s.takeOver(2)
	for _, n := range []string{"m3"} {
		s.worker(n, "a")
	}
	s.place(0) // two starts may still be under way
	if tm := s.c.Teams["team"]; tm.UsedCPU != 8 {
		t.Fatalf("%v CPUs counted", tm.UsedCPU)
	}
	_ = j
}

// A restored place was counted under no zone until its machine was described,
// and a spread service put both tasks into one zone.
func TestSpreadHoldsForPlacesInUnknownZones(t *testing.T) {
	s := newSite(t)
	m1 := s.worker("m1", "a")
	j := s.job("j-1", wire.Service, 2, 1)
	j.Spec.Spread = true
	s.jobs[0].Spread = true
	s.place(1) // the other must go to another zone
	s.persist()
	for _, r := range s.records["j-1"][0].Places {
		if r.Zone != "a" {
			t.Fatalf("recorded zone %q", r.Zone)
		}
	}
	for i := range s.records["j-1"][0].Places {
		s.records["j-1"][0].Places[i].Zone = "" // as an older record
	}
	s.beat(m1)
	s.takeOver(2)
	w := s.worker("m2", "a")
	s.place(0)
	_ = w
	s.worker("m3", "b")
	s.place(0) // it may be in b as well
	s.beat(m1)
	s.beat(m1)
	s.place(1)
	if n := s.c.Jobs["j-1"].ZoneHeld["a"]; n != 1 {
		t.Fatalf("%d tasks in zone a", n)
	}
}

func TestUnknownTaskIsStoppedAndHoldsItsPlace(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	j := s.job("j-1", wire.Array, 1, 4)
	w.Tasks[fake.Key{Task: "j-1/0", Attempt: 7}] = &wire.TaskReport{Task: "j-1/0", Attempt: 7, State: wire.TaskRunning}
	s.beat(w)
	s.beat(w)
	if j.Tasks[0].Attempt < 7 {
		t.Fatal("its attempt number may be used again")
	}
	s.worker("m2", "a")
	s.persist()
	s.token++
	s.beat(w)
	s.place(1)
	if j.Tasks[0].Attempt != 8 {
		t.Fatalf("attempt %d", j.Tasks[0].Attempt)
	}
}

func TestFailingJobBacksOffAndFailingMachineIsAvoided(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	for _, id := range []string{"j-1", "j-2"} {
		s.job(id, wire.Array, 1, 1)
	}
	s.place(2)
	s.persist()
	s.beat(w)
	w.Exit("j-1/0", 1, wire.CauseError)
	w.Exit("j-2/0", 1, wire.CauseError)
	s.beat(w)
	if s.c.Machines["m1"].Usable(s.now) {
		t.Fatal("two jobs failed there and it is still used")
	}
	j := s.c.Jobs["j-1"]
	j.FailedOn["x"], j.FailedOn["y"] = true, true
	s.worker("m2", "a")
	s.now += 20 * micro.Second
	s.place(2)
}

func TestSlowMachineIsAvoidedAndItsTasksMove(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	j := s.job("j-1", wire.Array, 2, 1)
	s.place(2)
	s.persist()
	s.beat(w)
	s.beat(w)
	m := s.c.Machines["m1"]
	look := func() {
		for _, p := range m.Sorted() {
			s.c.Overran(p, 10*micro.Second, s.now)
		}
	}
	s.now += 20 * micro.Second
	look()
	if !m.Usable(s.now) {
		t.Fatal("avoided though its tasks are only twice late")
	}
	s.now += 10 * micro.Second
	look()
	look() // the first of them is counted before the machine is known as slow
	if m.Usable(s.now) {
		t.Fatal("still used")
	}
	s.worker("m2", "a")
	s.beat(w)
	s.beat(w)
	s.held(j, 0)
	s.place(2)
	if len(s.c.Machines["m2"].Places) != 2 {
		t.Fatal("its tasks did not move")
	}
}

// After an outage that outlived its lease, a worker answered a direct order before
// it reported, and hung then. Its session had just begun, and was given up by the
// last answer to the session before: its tasks started elsewhere beside it.
func TestLeaseOfASessionHeardOfByAnAnswerCountsFromThen(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	s.now += lease + 10*micro.Second // nobody answers
	if !w.Expire(s.now) {
		t.Fatal("its lease should have run out")
	}
	s.token++
	r, _ := w.Direct(wire.Orders{Token: wire.Count(s.token), Session: 2})
	s.c.Apply(r, model.Answer, s.now)
	j := s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	s.persist()
	w.Direct(s.direct(w))
	if len(w.Started) != 1 {
		t.Fatal("not started")
	}
	m := s.c.Machines["m1"]
	s.now += lease - micro.Second
	if s.c.LeaseOut(m, s.now) {
		t.Fatal("given up within the lease of its session")
	}
	s.now += 3 * micro.Second
	if !s.c.LeaseOut(m, s.now) {
		t.Fatal("never given up")
	}
	s.held(j, 1)
}

// Jobs with a mistake fail on every machine. Two of them had each machine avoided
// on which both had failed; a faulty machine beside them must still be found.
func TestNoMachineIsBlamedForJobsThatFailEverywhere(t *testing.T) {
	s := newSite(t)
	s.c.Teams["team"].CPUsMax = 0
	workers := []*fake.Worker{s.worker("m1", "a"), s.worker("m2", "a"), s.worker("m3", "a")}
	avoided := func() (names string) {
		for _, m := range s.c.List() {
			if m.Avoid > s.now {
				names += m.Name + " "
			}
		}
		return names
	}
	fails := func(id string, on ...*fake.Worker) {
		s.persist()
		for _, w := range workers {
			s.beat(w)
			s.beat(w)
		}
		for _, w := range on {
			for k := range w.Tasks {
				if job, _, _ := wire.SplitTask(k.Task); job == id {
					w.Exit(k.Task, k.Attempt, wire.CauseError)
				}
			}
			s.beat(w)
		}
	}
	for _, id := range []string{"j-1", "j-2"} {
		j := s.job(id, wire.Array, 3, 4)
		s.place(3)
		fails(id, workers...)
		if j.NotBefore <= s.now {
			t.Fatalf("%s is tried again at once", id)
		}
	}
	if got := avoided(); got != "" {
		t.Fatalf("avoided: %s", got)
	}
	for _, m := range s.c.List() {
		if m.Name != "m1" {
			s.c.SetDrained(m, true)
		}
	}
	for _, id := range []string{"j-3", "j-4"} {
		s.job(id, wire.Array, 1, 4)
		s.place(1)
		fails(id, workers[0])
		s.token++ // exits are forgotten
		s.beat(workers[0])
		s.beat(workers[0])
	}
	if got := avoided(); got != "m1 " {
		t.Fatalf("avoided: %q, want the faulty one", got)
	}
}

// A large job met three faulty machines, and all its tasks waited as if it failed
// everywhere, though others had completed.
func TestJobWithACompletedTaskDoesNotFailEverywhere(t *testing.T) {
	s := newSite(t)
	s.c.Teams["team"].CPUsMax = 0
	workers := []*fake.Worker{s.worker("m1", "a"), s.worker("m2", "a"), s.worker("m3", "a"), s.worker("m4", "a")}
	j := s.job("j-1", wire.Array, 4, 4)
	s.place(4)
	s.persist()
	for i, w := range workers {
		s.beat(w)
		s.beat(w)
		for k := range w.Tasks {
			w.Exit(k.Task, k.Attempt, []wire.Cause{wire.CauseDone, wire.CauseError}[min(i, 1)])
		}
		s.beat(w)
	}
	if len(j.FailedOn) != 3 || j.NotBefore > s.now {
		t.Fatalf("failed on %d, waits until %v", len(j.FailedOn), j.NotBefore-s.now)
	}
}
