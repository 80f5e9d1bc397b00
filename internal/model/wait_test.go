package model_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A job that fails wherever it goes is retried ever more seldom, but is retried:
// its user may have mended what was wrong.
func TestJobThatFailsEverywhereIsRetriedEachMinute(t *testing.T) {
	s := newSite(t)
	var workers []*fake.Worker
	for i := range 12 {
		workers = append(workers, s.worker(fmt.Sprint("m", 10+i), "a"))
	}
	j := s.job("j-1", wire.Array, 1, 1)
	failed, longest := s.now, micro.Time(0)
	for tries := 0; tries < 40; s.now += micro.Second {
		if s.placer.Schedule(s.now) == 0 {
			if s.now-failed > 10*micro.Minute {
				t.Fatalf("given up after %d tries", tries)
			}
			continue
		}
		tries++
		longest = max(longest, s.now-failed)
		s.persist()
		for _, w := range workers {
			s.beat(w)
			w.Exit("j-1/0", uint64(j.Tasks[0].Attempt), wire.CauseError)
			s.beat(w)
		}
		s.held(j, 0)
		failed = s.now
	}
	if longest < 30*micro.Second || longest > 62*micro.Second {
		t.Fatalf("the longest time between tries is %v s", longest.Seconds())
	}
}

// On the only machine left, which is slow, an array's task was stopped each time
// it overran, and never completed.
func TestTaskOnASlowMachineStaysIfNothingElseFitted(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	m := s.c.Machines["m1"]
	m.Avoid, m.Overruns = s.now+3*micro.Minute, 2
	j := s.job("j-1", wire.Array, 1, 1)
	s.place(0)
	s.now += micro.Minute
	s.place(1)
	s.persist()
	s.beat(w)
	s.beat(w)
	s.now += 2 * micro.Minute
	for _, p := range j.AllPlaces() {
		if s.c.Overran(p, 10*micro.Second, s.now); p.Stopping {
			t.Fatal("stopped, to come back to the same machine")
		}
	}
}

// A machine that left an order unanswered, or whose zone's controllers are out of
// touch, takes tasks again with its next report.
func TestMachineThatIsHeardAgainTakesTasksAtOnce(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	s.c.Machines["m1"].Mute = true
	s.c.Away["a"] = s.now
	s.job("j-1", wire.Array, 1, 1)
	s.place(0)
	s.now += 6 * micro.Second
	s.beat(w)
	s.place(1)
}

// A task that ran for long and was lost does not count as one that waited all the
// time: the ordinary rules hold for it again.
func TestTaskThatComesBackWaitsAnew(t *testing.T) {
	s := newSite(t)
	w := s.worker("m1", "a")
	j := s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	s.persist()
	s.beat(w)
	s.beat(w)
	s.now += 10 * micro.Minute
	s.c.Machines["m1"].Avoid = s.now + 10*micro.Minute
	w.Session++ // it lost what it ran
	clear(w.Tasks)
	s.beat(w)
	s.held(j, 0)
	s.place(0)
	s.now += micro.Minute
	s.place(1)
}
