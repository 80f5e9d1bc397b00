package scale

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/wire"
)

// rentals plans once a second, and rents what is asked for. Each machine is up
// after the time that boots says, in the order in which they are rented; none: never.
type rentals struct {
	*Planner
	boots func(n int) (after micro.Time, comes bool)
	n     int
	up    map[*model.Machine]micro.Time
}

func (r *rentals) second(now micro.Time) {
	asks, _ := r.Plan(now)
	for _, a := range asks {
		for range a.Count {
			m := r.C.Machine(fmt.Sprintf("i-%03d", r.n), now)
			r.C.Describe(m, a.Type, a.Zone, a.Spot)
			if after, comes := r.boots(r.n); comes {
				r.up[m] = now + after
			}
			r.n++
		}
	}
	for m, at := range r.up {
		if now >= at {
			r.C.Become(m, model.Up, "reports")
		}
	}
}

// The machine that was rented for waiting work never comes. Another is rented while
// it can still start the work within its objective, though it boots slowly itself,
// and not before the first had its time.
func TestReplacementIsAskedForBeforeTheWorkMissesItsObjective(t *testing.T) {
	const boot, objective = 30 * micro.Second, 110 * micro.Second
	r := &rentals{Planner: planner(), up: map[*model.Machine]micro.Time{}}
	r.Goals = sched.NewGoals([]config.Objective{{Kind: "wait", Class: "c", WithinS: objective.Seconds()}})
	r.boots = func(n int) (micro.Time, bool) { return boot * 3 / 2, n > 0 }
	j := r.C.AddJob(wire.Job{ID: "j-1", Class: "c", Kind: wire.Array, Priority: wire.Normal, Tasks: 4, CPUs: 1, MemoryGB: 1, EstimateS: 100}, now, now)
	props := config.Defaults()
	placer := &sched.Placer{C: r.C, Goals: r.Goals, Props: &props}
	var second micro.Time
	for at := now; j.HeldN == 0; at += micro.Second {
		if at > now+objective {
			t.Fatalf("the work waits after %v s", (at - now).Seconds())
		}
		r.second(at)
		placer.Pass(at)
		if r.n > 1 && second == 0 {
			second = at
		}
	}
	if took := second - now; took < boot*3/2 || took > objective-boot*3/2 {
		t.Errorf("the second machine was rented after %v s", took.Seconds())
	}
	if r.n != 2 {
		t.Errorf("%d machines were rented", r.n)
	}
}

// An offer none of whose machines come up is left out for a while, not for one slow
// machine, and not where most do come up; it is asked for again if there is no other.
func TestOfferWhoseMachinesDoNotComeUpIsLeftOut(t *testing.T) {
	cheap := Offer{"small", "a", false}
	for _, c := range []struct {
		name     string
		late, up int
		only     bool
		want     bool
	}{
		{"none came up", 2, 0, false, false},
		{"one is slow", 1, 0, false, true},
		{"most came up", 2, 3, false, true},
		{"none came up, and there is no other", 2, 0, true, true},
	} {
		p := planner()
		if c.only {
			p.C.Types["small"].Zones = []string{"a"}
		}
		busy := p.submit("j-0", 3, 4, false) // takes what is up for good
		busy.Spec.EstimateS = 1e6
		for i := range c.late + c.up {
			m := p.C.Machine(fmt.Sprint("i-", i), now)
			p.C.Describe(m, cheap.Type, cheap.Zone, cheap.Spot)
			m.Rented = now - micro.Minute
			if i >= c.late {
				p.C.Become(m, model.Up, "reports")
				p.C.NewPlace(busy, i-c.late, m, 1, 4, now)
			}
		}
		if c.up == 0 {
			p.C.End(busy, true, now)
		}
		p.submit("j-1", 4, 1, false)
		asked := func(at micro.Time) bool {
			asks, _ := p.Plan(at)
			if len(asks) != 1 {
				t.Fatalf("%s: %+v", c.name, asks)
			}
			return asks[0].Offer == cheap
		}
		if got := asked(now); got != c.want {
			t.Errorf("%s: asked for %v, want %v", c.name, got, c.want)
		}
		for _, m := range p.C.List() { // all late ones are returned
			if m.State == model.Unheard {
				p.C.Depart(m, now)
			}
		}
		if got := asked(now + micro.Minute); got != c.want {
			t.Errorf("%s: a minute later asked for %v, want %v", c.name, got, c.want)
		}
		if !asked(now + lateFor) {
			t.Errorf("%s: left out for good", c.name)
		}
	}
}
