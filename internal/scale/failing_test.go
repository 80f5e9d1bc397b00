package scale

import (
	"testing"

	"notchmux.dev/notchmux/internal/model"
)

func count(asks []Ask) int {
	n := 0
	for _, a := range asks {
		n += a.Count
	}
	return n
}

// For an array that fails everywhere room was rented for all of its tasks, for the
// last seconds of each pause between its tries.
func TestRoomIsRentedForNoMoreTriesThanAJobThatFailsEverywhereMakes(t *testing.T) {
	p := planner()
	j := p.submit("j-1", 5000, 1, false)
	asks, _ := p.Plan(now)
	if n := count(asks); n < 200 {
		t.Fatalf("%d machines for 5000 tasks of which nothing is known", n)
	}
	j.FailedOn = map[string]bool{"i-1": true, "i-2": true}
	if asks, _ = p.Plan(now); count(asks) < 200 {
		t.Fatalf("%d machines for 5000 tasks, for failures on two machines", count(asks))
	}
	j.FailedOn["i-3"] = true
	if asks, _ = p.Plan(now); count(asks) != 1 {
		t.Fatalf("%d machines for a job that fails everywhere", count(asks))
	}
	j.DoneN = 1
	if asks, _ = p.Plan(now); count(asks) < 200 {
		t.Fatalf("%d machines for a job that completed a task", count(asks))
	}
}

// An array that is held back beside free room needs no other room yet.
func TestNoRoomIsRentedForWhatIsHeldBackBesideFreeRoom(t *testing.T) {
	p := planner()
	j := p.submit("j-1", 5000, 1, false)
	m := p.C.Machine("i-1", now)
	p.C.Describe(m, "small", "a", false)
	p.C.Become(m, model.Up, "reports")
	for i := 0; j.Openings(now) > 0; i++ {
		p.C.NewPlace(j, i, m, 1, 1, now)
	}
	j.HeldBack = true
	if asks, _ := p.Plan(now); count(asks) > 0 {
		t.Fatalf("%+v", asks)
	}
	j.HeldBack = false
	if asks, _ := p.Plan(now); count(asks) < 200 {
		t.Fatalf("%d machines, though there is no room", count(asks))
	}
}
