package detector

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
)

// While the lease had lapsed or the process was paused, no heartbeats were accepted. That time must not
// count as time without a heartbeat of a machine.
func TestTimeSinceHeartbeatExcludesLeaseLapseAndProcessPause(t *testing.T) {
	const leaseSpan = 10 * micro.Minute
	for _, c := range []struct {
		name   string
		lapsed bool
		gap    micro.Time
		resets bool // the time counts only from the end of the gap
	}{
		{"no interruption", false, micro.Second, false},
		{"lease lapsed", true, micro.Second, true},
		{"process paused", false, 3 * micro.Second, true},
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
			t.Fatal("lease not held at the start")
		}
		at += c.gap
		if c.lapsed {
			term.Extend(at)
			if observe() {
				t.Fatal("lease still held after its end")
			}
			term.Extend(at + leaseSpan)
		}
		observe()
		at += micro.Second
		observe()
		want := c.gap + micro.Second
		if c.resets {
			want = micro.Second
		}
		if got := test.SinceHeartbeat(machine, at); got != want {
			t.Errorf("%s: time since heartbeat %v, want %v", c.name, got, want)
		}
	}
}

// The leader probes the machines that SilentMachines returns, to find out whether it is partitioned. A
// machine must be omitted if it is owned by another controller, was suspect before the last contact, is
// being terminated, is up, or has no known address.
func TestSilentMachinesOmitsMachinesThatDoNotIndicatePartition(t *testing.T) {
	test := newTestDetector()
	at := termStart + 30*micro.Second
	test.listening.resumedAt = termStart
	reachedAt := termStart + 15*micro.Second
	test.handovers.ObserveContact(reachedAt)
	suspect := func(lastHeartbeat micro.Time, prepare func(*cluster.Machine)) func(*cluster.Machine) {
		return func(machine *cluster.Machine) {
			test.upWithHeartbeatAt(lastHeartbeat)(machine)
			test.cluster.TransitionMachine(machine, cluster.Suspect, "for a test")
			machine.Addr = "10.0.0.1:9000"
			prepare(machine)
		}
	}
	unchanged := func(*cluster.Machine) {}
	for i, prepare := range []func(*cluster.Machine){
		suspect(reachedAt, unchanged), // the only one to be returned
		suspect(reachedAt, func(machine *cluster.Machine) { machine.Addr = "" }),
		suspect(reachedAt, func(machine *cluster.Machine) { machine.OwnedElsewhere = true }),
		suspect(reachedAt, func(machine *cluster.Machine) {
			test.cluster.TransitionMachine(machine, cluster.Terminating, "for a test")
		}),
		suspect(reachedAt-test.config.SuspectAfter-1, unchanged), // suspect already at the last contact
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
			t.Errorf("%s was returned", machine.Name)
		}
		t.Error("want only i-000000")
	}
}
