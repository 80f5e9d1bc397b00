package model_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

func stage(id string, needs ...string) wire.Job {
	return wire.Job{ID: id, Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Low, Tasks: 1, CPUs: 1, MemoryGB: 1, EstimateS: 10, Needs: needs}
}

func (s *site) add(spec wire.Job) *model.Job { return s.c.AddJob(spec, s.now, s.now) }

// Done in memory is not done: until the end is in the store, another leader could
// find the awaited job withdrawn.
func TestTaskStartsOnlyOnceTheEndOfEachAwaitedJobIsStored(t *testing.T) {
	s := newSite(t)
	w := s.worker("i-1", "a")
	x, y := s.add(stage("j-1")), s.add(stage("j-2"))
	z := s.add(stage("j-3", "j-1", "j-2"))
	s.place(2)
	s.persist()
	s.beat(w)
	w.Exit("j-1/0", 1, wire.CauseDone)
	w.Exit("j-2/0", 1, wire.CauseDone)
	s.beat(w)
	if x.State != model.Finishing || y.State != model.Finishing {
		t.Fatalf("%v, %v", x.State, y.State)
	}
	s.place(0)
	if z.State != model.Awaiting || z.HeldN > 0 || z.Status().State != wire.JobPending {
		t.Fatalf("it goes by what is not stored: %v with %d places", z.State, z.HeldN)
	}
	s.c.End(x, false, s.now)
	s.place(0)
	if z.HeldN > 0 {
		t.Fatal("one of two ends was enough")
	}
	s.now += 7 * micro.Second
	s.c.End(y, false, s.now)
	s.place(1)
	if z.HeldN != 1 || z.Since != s.now {
		t.Fatalf("%v with %d places, its clocks from %v", z.State, z.HeldN, z.Since)
	}
}

// Nothing is known of an awaited job: it may have been withdrawn under an earlier
// leader and have left the lists.
func TestUnknownAwaitedJobIsNeverTakenForDone(t *testing.T) {
	s := newSite(t)
	s.worker("i-1", "a")
	j := s.add(stage("j-2", "j-1"))
	s.place(0)
	if j.State != model.Awaiting || len(s.unknown) != 1 || s.unknown[0] != "j-1" {
		t.Fatalf("%v, looked up: %v", j.State, s.unknown)
	}
	s.c.Settle("j-1", model.End{Aborted: true, At: s.now}, s.now)
	s.place(0)
	if j.HeldN > 0 || j.Status().State != wire.JobAborted {
		t.Fatalf("%v with %d places", j.Status().State, j.HeldN)
	}
}

func TestAbortedJobTakesAlongAllThatNeedItAndNothingElse(t *testing.T) {
	s := newSite(t)
	first := s.add(stage("j-0"))
	other := s.add(stage("j-100"))
	for i := 1; i < 20; i++ {
		s.add(stage(fmt.Sprint("j-", i), fmt.Sprint("j-", i-1)))
	}
	both := s.add(stage("j-101", "j-100", "j-19"))
	s.c.BeginAbort(first)
	if len(s.doomed) > 0 {
		t.Fatal("the withdrawal is not stored yet: its last task may still win")
	}
	s.c.End(first, true, s.now)
	if len(s.doomed) != 20 || both.Status().State != wire.JobAborted {
		t.Fatalf("%d fell, the last is %v", len(s.doomed), both.Status().State)
	}
	if other.State != model.Active {
		t.Fatalf("%v: nobody cancelled it", other.State)
	}
	if late := s.add(stage("j-102", "j-101")); late.Status().State != wire.JobAborted || late.State != model.Aborting {
		t.Fatalf("submitted later: %v", late.State)
	}
	if done := s.add(stage("j-103", "j-100")); done.State != model.Awaiting {
		t.Fatalf("%v", done.State)
	}
}

// A job is answered `done` to its withdrawal: what comes after it goes on.
func TestLostWithdrawalLetsThePipelineGoOn(t *testing.T) {
	s := newSite(t)
	x := s.add(stage("j-1"))
	y := s.add(stage("j-2", "j-1"))
	s.c.BeginAbort(x)
	s.c.End(x, false, s.now) // its last task had won
	if y.State != model.Active {
		t.Fatalf("%v", y.State)
	}
}

// A new leader finds one level aborted and stored, the next not yet.
func TestTakeoverBetweenTwoLevelsFinishesTheFall(t *testing.T) {
	s := newSite(t)
	s.c.Ends["j-1"] = model.End{Aborted: true}
	s.c.Ends["j-5"] = model.End{At: s.now - 9*micro.Second}
	z, y := s.add(stage("j-3", "j-2")), s.add(stage("j-2", "j-1")) // read in any order
	if y.Status().State != wire.JobAborted || z.Status().State != wire.JobAborted || len(s.doomed) != 2 {
		t.Fatalf("%v, %v", y.Status().State, z.Status().State)
	}
	s.now += 5 * micro.Second
	if j := s.c.AddJob(stage("j-6", "j-5"), s.now-60*micro.Second, s.now); j.State != model.Active || j.Since != s.now-14*micro.Second {
		t.Fatalf("%v, its clocks from %v s ago", j.State, (s.now - j.Since).Seconds())
	}
}

func TestWaitingJobHoldsNoGuaranteeAndNoPlaceInLine(t *testing.T) {
	s := newSite(t)
	s.c.Teams["team"].CPUs = 2
	big := stage("j-2", "j-1")
	big.Tasks = 3
	s.add(stage("j-1"))
	s.add(big)
	later := s.add(stage("j-3"))
	s.c.MarkGuarantees()
	if !later.Guar || s.c.Pending[s.c.Jobs["j-2"]] || s.c.Live[s.c.Jobs["j-2"]] {
		t.Fatal("a job that can't start yet counts")
	}
	s.now += 300 * micro.Second
	s.c.End(s.c.Jobs["j-1"], false, s.now)
	if j := s.c.Jobs["j-2"]; !s.c.Pending[j] || j.Since != s.now {
		t.Fatal("its age counts from the end of what it awaited")
	}
}

func TestRankAndDeadlinePassBackAndAreTakenBack(t *testing.T) {
	s := newSite(t)
	s.worker("i-1", "a")
	x := s.add(stage("j-1"))
	s.place(1)
	y := s.add(stage("j-2", "j-1"))
	last := stage("j-3", "j-2")
	due := 100.0
	last.Priority, last.DeadlineS = wire.High, &due
	z := s.add(last)
	if x.Level != 1 || y.Level != 1 || x.Heir != z || y.Tail >= x.Tail || y.Tail == 0 {
		t.Fatalf("ranks %d, %d; %v after the first, %v after the second", x.Level, y.Level, x.Tail, y.Tail)
	}
	m := s.c.Machines["i-1"]
	if m.Yields(1).CPU != 0 || m.Yields(0).CPU != 1 {
		t.Fatalf("the machine counts its place under the old rank: %+v", m.Ranks)
	}
	s.c.BeginAbort(z)
	s.c.End(z, true, s.now)
	if x.Level != 3 || x.Heir != nil || y.Level != 3 || m.Yields(1).CPU != 1 {
		t.Fatalf("the job that asked for it is gone: rank %d", x.Level)
	}
}
