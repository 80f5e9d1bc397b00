package detector

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
)

// While the lease had lapsed, or the process stood still, agents were turned away: that no
// heartbeat of theirs came says nothing of their machines.
func TestTimeSinceHeartbeatCountsFromWhenTheLeaderListensAgain(t *testing.T) {
	const leaseSpan = 10 * micro.Minute
	for _, c := range []struct {
		name   string
		lapsed bool
		gap    micro.Time
		counts bool // from when it listens again
	}{
		{"listened all the time", false, micro.Second, false},
		{"lease lapsed", true, micro.Second, true},
		{"process stood still", false, 3 * micro.Second, true},
	} {
		test := newTestDetector()
		var machine *cluster.Machine
		test.addMachines(0, 1, func(added *cluster.Machine) {
			machine = added
			test.heardAt(termStart)(added)
		})
		at := termStart
		term := election.NewTerm(5, at+leaseSpan)
		observe := func() bool { return test.ObserveLease(term.HoldsLease(at), at) }
		if !observe() {
			t.Fatal("the lease is held")
		}
		at += c.gap
		if c.lapsed {
			term.Extend(at)
			if observe() {
				t.Fatal("the lease has lapsed")
			}
			term.Extend(at + leaseSpan)
		}
		observe()
		at += micro.Second
		observe()
		want := c.gap + micro.Second
		if c.counts {
			want = micro.Second
		}
		if got := test.SinceHeartbeat(machine, at); got != want {
			t.Errorf("%s: no heartbeat for %v, want %v", c.name, got, want)
		}
	}
}
