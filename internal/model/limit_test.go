package model_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// full is a site whose team's limit of 8 CPUs is used up by a job on m1 and m2,
// each of whose tasks runs there; m3 stands empty, and j-2 waits for the limit.
func full(t *testing.T) (s *site, m1, m2 *fake.Worker) {
	s = newSite(t)
	m1, m2 = s.worker("m1", "a"), s.worker("m2", "a")
	s.job("j-1", wire.Array, 2, 4)
	s.place(2)
	s.persist()
	s.beat(m1)
	s.beat(m2)
	s.beat(m1)
	s.beat(m2)
	s.worker("m3", "a")
	s.job("j-2", wire.Array, 2, 4)
	s.place(0)
	return s, m1, m2
}

// withdraw is the end of a withdrawn job.
func (s *site) withdraw(id string) { s.c.End(s.c.Jobs[id], true, s.now) }

// next is a new leader that finds j-1's end in the store, before its places, and
// hears the given worker only.
func (s *site) next(stamp uint64, heard *fake.Worker) {
	s.lead(stamp)
	for _, spec := range s.jobs {
		j := s.c.AddJob(spec, s.now, s.now)
		if spec.ID == "j-1" {
			s.withdraw("j-1")
		}
		for n, rec := range s.records[spec.ID] {
			s.c.Restore(j, n, &rec, 1, s.now)
		}
	}
	s.c.Restored(s.now)
	s.beat(heard)
	s.beat(heard)
}

// used checks what of the team's limit counts as used.
func (s *site) used(want float64) {
	s.t.Helper()
	if got := s.c.Teams["team"].UsedCPU; got != want {
		s.t.Fatalf("%v CPUs of the limit count as used, want %v", got, want)
	}
}

// over lets go by what a worker's lease may take from now on, and gives up those
// whose lease surely ran out, as the leader does.
func (s *site) over(names ...string) {
	s.t.Helper()
	for _, n := range names {
		if s.c.LeaseOut(s.c.Machines[n], s.now) {
			s.t.Fatalf("%s was given up within its lease", n)
		}
	}
	s.now += lease + 2*micro.Second
	for _, n := range names {
		if !s.c.LeaseOut(s.c.Machines[n], s.now) {
			s.t.Fatalf("%s is never given up", n)
		}
		s.c.Lose(s.c.Machines[n], s.now)
	}
}

// The machines of a withdrawn job are cut off: whichever leader comes, the limit
// counts what may still run there until the lease is out, counted anew by each.
func TestLimitCountsWhatIsCutOffUnderEachLeader(t *testing.T) {
	s, _, _ := full(t)
	m3 := fake.NewWorker("m3", "small", "a", lease)
	s.withdraw("j-1")
	s.used(8)
	for stamp := uint64(2); stamp < 6; stamp++ {
		s.now += 20 * micro.Second
		m3.Sent = s.now
		s.next(stamp, m3)
		s.used(8)
		s.place(0)
	}
	s.over("m1", "m2")
	s.used(0)
	s.beat(m3)
	s.place(1) // m3 has room for one
	s.used(4)
}

// A machine hangs and comes back within its lease: its task ends then, and the
// limit is free at the next pass after that proof, not before.
func TestLimitCountsWhatHangsUntilItIsShownToBeGone(t *testing.T) {
	s, m1, m2 := full(t)
	s.withdraw("j-1")
	s.next(2, m2) // its task is stopped, and shown to be
	s.used(4)
	s.place(1)
	s.persist()
	s.beat(m2) // the start
	s.now += 5 * micro.Second
	s.next(3, m2)
	s.used(8) // what hangs, and the place that the last leader gave
	s.place(0)
	s.beat(m1) // hears of the stop
	s.used(8)
	s.place(0)
	s.beat(m1) // and shows that it is gone
	s.used(4)
	s.place(1)
	s.used(8)
}

// A start that went out directly and was left unanswered may run as long as the
// worker has not seen a newer token, whatever its reports say, and whichever
// leader reads them.
func TestLimitCountsStartsThatAMuteMachineMayStillHold(t *testing.T) {
	s := newSite(t)
	w, other := s.worker("m1", "a"), s.worker("m2", "a")
	s.job("j-1", wire.Array, 1, 4)
	s.job("j-2", wire.Array, 2, 4)
	s.c.Machines["m2"].Mute = true
	s.place(1)
	s.persist()
	held := s.direct(w) // on its way, the sender gave up
	s.c.Machines["m1"].Mute = true
	s.withdraw("j-1")
	s.takeOver(2)
	s.withdraw("j-1")
	s.used(4)
	if m, v := s.c.Apply(w.Report(), model.Beat, s.now); v != model.Taken || m.State == model.Up {
		t.Fatalf("verdict %v, %v: a report that may be a late copy", v, m.State)
	}
	s.used(4) // absent, and the start may still run
	s.beat(other)
	s.beat(other)
	s.place(1)
	s.used(8)
	s.place(0)
	s.beat(w) // it sees the token of this term
	s.used(8)
	s.beat(w) // and says so
	s.used(4)
	if _, ok := w.Direct(held); ok || len(w.Started) != 0 {
		t.Fatal("the held start ran after its place was given up")
	}
	s.place(1)
	s.used(8)
}

// A job withdrawn under one leader is withdrawn under the next, whose picture of
// it comes from the records: a place on a machine that nobody has described yet
// counts as much.
func TestLimitCountsPlacesOnMachinesNotHeardSinceTheTakeover(t *testing.T) {
	s, m1, m2 := full(t)
	s.takeOver(2)
	s.used(8)
	s.withdraw("j-1")
	s.used(8)
	s.worker("m4", "a")
	s.place(0)
	m1.Session++ // its lease ran out meanwhile: all it had is gone
	clear(m1.Tasks)
	s.beat(m1)
	s.used(4)
	s.place(1)
	s.used(8)
	s.beat(m2)
	s.beat(m2)
	s.used(4)
}
