package sched

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// stream is a full cluster that other work keeps coming to.
type stream struct {
	t   *testing.T
	c   *model.Cluster
	p   *Placer
	n   int
	ran map[*model.Job]micro.Time
}

func newStream(t *testing.T, machines int) *stream {
	c := model.New(silent{})
	c.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "gpu", CPUs: 8, GPUs: 4, MemoryGB: 16}}})
	for i := range machines {
		m := c.Machine("i-"+strconv.Itoa(10+i), 1)
		c.Describe(m, "gpu", []string{"a", "b"}[i%2], false)
		c.Become(m, model.Up, "reports")
	}
	c.Teams["team"] = &model.Team{Name: "team", GPUsMax: float64(4 * machines)}
	props := config.Defaults()
	return &stream{t: t, c: c, p: &Placer{C: c, Goals: NewGoals(nil), Props: &props, Rand: rand.New(rand.NewPCG(1, 2))}, ran: map[*model.Job]micro.Time{}}
}

func (s *stream) submit(kind wire.Kind, rank wire.Priority, tasks int, now micro.Time) *model.Job {
	s.n++
	spec := wire.Job{ID: "j-" + strconv.Itoa(s.n), Team: "team", Class: "c" + string(rank), Kind: kind, Priority: rank, Tasks: tasks, CPUs: 8, EstimateS: 4, OneZone: kind == wire.Gang}
	if kind == wire.Gang {
		spec.GPUs = 4
	}
	return s.c.AddJob(spec, now, now)
}

// until lets more work come than there is room for, until the job holds its
// places, and says how long that took; 0 if it never did. The other work takes
// some seconds each, so that machines come free one by one.
func (s *stream) until(j *model.Job, want int, more func(now micro.Time)) micro.Time {
	for now := micro.Second; now < 10*micro.Minute; now += micro.Second {
		more(now)
		for o, at := range s.ran {
			if now-at >= micro.Time(3+len(o.Spec.ID)%2+int(o.Spec.ID[len(o.Spec.ID)-1])%3)*micro.Second {
				s.c.End(o, true, now)
				delete(s.ran, o)
			}
		}
		s.p.Pass(now)
		if tm := s.c.Teams["team"]; tm.UsedGPU > tm.GPUsMax {
			s.t.Fatalf("%v GPUs used of %v", tm.UsedGPU, tm.GPUsMax)
		}
		if j.HeldN >= want {
			return now
		}
		for o := range s.c.Live {
			if o != j && o.HeldN > 0 && s.ran[o] == 0 {
				s.ran[o] = now
			}
		}
	}
	return 0
}

// Small gangs took each machine as it came free, and the largest never found
// four in one zone.
func TestLargestGangBeginsWithinFourMinutesBesideAStreamOfSmallOnes(t *testing.T) {
	s := newStream(t, 8)
	s.p.Pass(micro.Second)
	for range 16 {
		s.submit(wire.Gang, wire.High, 1, 0)
	}
	s.p.Pass(micro.Second)
	large := s.submit(wire.Gang, wire.High, 4, 0)
	took := s.until(large, 4, func(micro.Time) {
		for range 4 {
			s.submit(wire.Gang, wire.High, 1, 0)
		}
	})
	if took == 0 || took > 4*micro.Minute {
		t.Fatalf("begun after %v s", took.Seconds())
	}
	for z, n := range large.ZoneHeld {
		if n != 0 && n != 4 {
			t.Fatalf("%d tasks in zone %s", n, z)
		}
	}
}

// Work of the last rank waited for as long as higher ranks kept coming.
func TestLastRankIsNotStarvedByAnEndlessHigherOne(t *testing.T) {
	s := newStream(t, 4)
	for range 8 {
		s.submit(wire.Array, wire.Normal, 1, 0)
	}
	s.p.Pass(micro.Second)
	idle := s.submit(wire.Array, wire.Low, 2, 0)
	took := s.until(idle, 1, func(now micro.Time) {
		s.submit(wire.Array, wire.Normal, 1, now)
		s.submit(wire.Array, wire.Normal, 1, now)
	})
	if took == 0 || took > 4*micro.Minute {
		t.Fatalf("begun after %v s", took.Seconds())
	}
}

// In a burst, all gangs were started in the order of their latest starts, each
// just too late: most start in time if the shortest come first.
func TestOverloadedClassStartsTheShortestFirst(t *testing.T) {
	s := newStream(t, 4)
	s.p.Goals = NewGoals([]config.Objective{{Kind: "wait", Class: "c" + string(wire.High), WithinS: 60}})
	var jobs []*model.Job
	for i := range 12 {
		j := s.submit(wire.Gang, wire.High, 1, micro.Time(i)*micro.Second)
		j.Spec.EstimateS = float64(200 - 10*i)
		jobs = append(jobs, j)
	}
	s.p.Pass(20 * micro.Second)
	for i, j := range jobs {
		if want := i >= 8; (j.HeldN > 0) != want {
			t.Errorf("the job of %v s holds %d places", j.Spec.EstimateS, j.HeldN)
		}
	}
}

// Room was cleared for one service at a time: the others were passed over, as if
// there were none to be had.
func TestEachServiceOfTheFirstRankHasRoomCleared(t *testing.T) {
	s := newStream(t, 4)
	s.submit(wire.Array, wire.Low, 4, 0)
	s.p.Pass(micro.Second)
	for ch := range s.c.Live {
		for _, c := range ch.Chunks {
			s.c.Persisted(c, c.Ver)
		}
	}
	for range 3 {
		s.submit(wire.Service, wire.Production, 1, 0)
	}
	s.p.Pass(2 * micro.Second)
	stopping := 0
	for _, m := range s.c.List() {
		for _, p := range m.Sorted() {
			if p.Stopping {
				stopping++
			}
		}
	}
	if stopping != 3 {
		t.Fatalf("%d tasks make room for 3 services", stopping)
	}
}
