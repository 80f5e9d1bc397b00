package model_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// A machine's reports arrived, but no answer and no command reached it.
func TestMachineThatHearsNothingTakesNoTasksUntilItHears(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	j := s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	s.persist()
	s.beat(w)
	s.beat(w)
	m := s.c.Machines["m1"]
	for range 2 {
		s.token++
		s.now += 6 * micro.Second
		s.heard(w) // its report comes, the answer is lost
	}
	if m.MayBeDeaf() {
		t.Fatal("one lost answer is no sign: the report after it was sent before the token was told")
	}
	for range 2 {
		s.now += 6 * micro.Second
		s.heard(w)
	}
	if !m.MayBeDeaf() {
		t.Fatal("three reports in a row had not seen the token, and it passes for one that hears")
	}
	s.c.SetDeaf(m, true, s.now)
	s.job("j-2", wire.Array, 1, 1)
	s.place(0)
	s.held(j, 1) // what it runs goes elsewhere only once proven free
	w.Session++  // its lease ran out, since no answer arrived
	clear(w.Tasks)
	s.heard(w)
	s.held(j, 0)
	s.place(0)
	s.beat(w) // now an answer arrives
	s.beat(w)
	s.place(2)
}

// heard is a report whose answer does not arrive.
func (s *site) heard(w *fake.Worker) {
	if m, v := s.c.Apply(w.Report(), model.Beat, s.now); v == model.Taken {
		s.c.Told(m, s.token)
	}
}

// Copies of reports come seconds to minutes late. A copy of a report that was
// read is older than what is known; one of a report that was lost looks new.
func TestLateCopiesAreNoSignOfLife(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	j := s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	s.persist()
	s.beat(w)
	read := w.Report()
	s.answer(w, read)
	lost := w.Report()
	m := s.c.Machines["m1"]
	heard := m.Heard
	s.now += 20 * micro.Second // the machine died
	if _, v := s.c.Apply(read, model.Beat, s.now); v != model.Stale {
		t.Fatalf("verdict %v", v)
	}
	if m.Heard != heard {
		t.Fatal("a copy of a report that was read made a silent machine look alive")
	}
	if s.c.LeaseOut(m, s.now+lease-micro.Second) {
		t.Fatal("the worker may have taken the answer to the copy: its lease counts from it")
	}
	m.Prove = s.token + 1
	s.c.Become(m, model.Silent, "no reports")
	s.c.Apply(lost, model.Beat, s.now)
	if m.State != model.Silent {
		t.Fatal("a copy of a lost report revived a silent machine")
	}
	s.held(j, 1)
	if !m.NeedsToken(s.token) {
		t.Fatal("nobody asks for the token that would prove it alive")
	}
	s.token++
	s.beat(w) // it lives after all
	s.beat(w)
	if m.State != model.Up {
		t.Fatal("its echo of the new token is proof of life")
	}
}

// A new leader knows no newer report, and no list of machines that are gone.
func TestLateCopiesToANewLeaderClaimNothing(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	s.job("j-1", wire.Array, 1, 4)
	s.place(1)
	s.persist()
	before := w.Report() // sent before the start arrived
	gone := s.worker("m0", "a")
	copyOfGone := gone.Report()
	for range 2 {
		s.beat(gone)
		s.beat(w)
	}
	s.takeOver(2)
	j := s.c.Jobs["j-1"]
	s.c.Apply(copyOfGone, model.Beat, s.now)
	s.c.Apply(before, model.Beat, s.now)
	if s.c.Machines["m0"].State == model.Up {
		t.Fatal("a late copy revived a machine")
	}
	s.held(j, 1) // the copy lacks the task, which frees nothing
	s.job("j-2", wire.Array, 1, 1)
	s.place(0) // and it offers no room
	s.beat(w)
	s.beat(w)
	s.held(j, 1)
	if j.RunningN != 1 {
		t.Fatal("the running task was not found")
	}
}

// Silent for a moment and back, in the same session or the next.
func TestMachineBackAtOnceKeepsOrGivesUpWhatItHad(t *testing.T) {
	for _, next := range []bool{false, true} {
		s := newSite(t)
		w := s.worker("m1", "a")
		j := s.job("j-1", wire.Array, 1, 4)
		s.place(1)
		s.persist()
		s.beat(w)
		s.beat(w)
		m := s.c.Machines["m1"]
		m.Prove = s.token + 1
		s.c.Become(m, model.Silent, "no reports")
		s.token++
		if next {
			w.Session, w.Seq = w.Session+1, 0
			clear(w.Tasks)
		}
		s.beat(w)
		s.beat(w)
		want := 1
		if next {
			want = 0
		}
		s.held(j, want)
		s.place(1 - want)
		if m.State != model.Up || len(m.Places) != 1 {
			t.Fatalf("next session %v: %v with %d places", next, m.State, len(m.Places))
		}
	}
}

// A zone was cut off. Until its machines' reports were overdue, work was placed
// there, and stayed until the cut ended.
func TestMachinesThatOrdersDoNotReachTakeNothingUntilHeard(t *testing.T) {
	s := newSite(t)
	far, near := s.worker("m1", "a"), s.worker("m2", "b")
	s.beat(far)
	s.beat(near)
	a, b := s.c.Machines["m1"], s.c.Machines["m2"]
	s.now += micro.Second
	s.c.Away["a"], b.Mute = s.now, true
	if s.c.Reachable(a) || s.c.Reachable(b) {
		t.Fatal("one is in a zone that fell silent, the other left an order unanswered")
	}
	s.now += micro.Second
	s.beat(far)
	s.beat(near)
	if !s.c.Reachable(a) || !s.c.Reachable(b) {
		t.Fatal("both were heard since")
	}
}
