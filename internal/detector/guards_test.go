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
			test.upWithHeartbeatAt(termStart)(added)
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

// An agent whose silence says nothing of this node must not be probed for a sign that it is cut off: another's
// machine, one that was silent before, one that is surely lost, or one that is up.
func TestOnlyMachinesWhoseSilenceSpeaksAgainstThisNodeAreProbed(t *testing.T) {
	test := newTestDetector()
	at := termStart + 30*micro.Second
	test.listening.resumedAt = termStart
	reachedAt := termStart + 15*micro.Second
	test.handovers.ObserveContact(reachedAt)
	suspect := func(heard micro.Time, prepare func(*cluster.Machine)) func(*cluster.Machine) {
		return func(machine *cluster.Machine) {
			test.upWithHeartbeatAt(heard)(machine)
			test.cluster.TransitionMachine(machine, cluster.Suspect, "for a test")
			machine.Addr = "10.0.0.1:9000"
			prepare(machine)
		}
	}
	unchanged := func(*cluster.Machine) {}
	for i, prepare := range []func(*cluster.Machine){
		suspect(reachedAt, unchanged), // the one to be probed
		suspect(reachedAt, func(machine *cluster.Machine) { machine.Addr = "" }),
		suspect(reachedAt, func(machine *cluster.Machine) { machine.OwnedElsewhere = true }),
		suspect(reachedAt, func(machine *cluster.Machine) {
			test.cluster.TransitionMachine(machine, cluster.Terminating, "for a test")
		}),
		suspect(reachedAt-test.config.SuspectAfter-1, unchanged), // silent when the last agent reached this node
		func(machine *cluster.Machine) {
			test.upWithHeartbeatAt(at - test.config.SuspectAfter)(machine) // still up
			machine.Addr = "10.0.0.1:9000"
		},
	} {
		test.addMachines(i, i+1, prepare)
	}
	silent := test.SilentMachines(at)
	if len(silent) != 1 || silent[0].Name != "i-000000" {
		for _, machine := range silent {
			t.Errorf("%s is to be probed", machine.Name)
		}
		t.Error("want i-000000 alone")
	}
}
