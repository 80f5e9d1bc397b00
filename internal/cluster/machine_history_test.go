package cluster_test

import (
	"maps"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// Leases of dead machines were never proven expired in a shard that moved more often than they
// run out: each owner counted from its own beginning.
func TestLeasesExpireByWhatWasKnownBeforeTheTerm(t *testing.T) {
	const termStart = 100 * micro.Second
	for name, row := range map[string]struct {
		inherited map[string]micro.Time
		heard     micro.Time // last heartbeat in this term; 0: none
		want      micro.Time // after this time the lease is expired
	}{
		"nothing known":          {want: termStart + leaseDuration},
		"another is known":       {inherited: map[string]micro.Time{"i-2": 80 * micro.Second}, want: termStart + leaseDuration},
		"silent before":          {inherited: map[string]micro.Time{"i-1": 80 * micro.Second}, want: 80*micro.Second + leaseDuration},
		"silent before, and not": {map[string]micro.Time{"i-1": 80 * micro.Second}, 105 * micro.Second, 105*micro.Second + leaseDuration},
	} {
		t.Run(name, func(t *testing.T) {
			state := cluster.New(&testCluster{t: t})
			state.TermStartedAt, state.LeaseDuration = termStart, leaseDuration
			state.PreviousTerm.RenewedAt = row.inherited
			machine := state.EnsureMachine("i-1", termStart)
			machine.LeaseRenewedAt = row.heard
			if state.LeaseExpired(machine, row.want) || !state.LeaseExpired(machine, row.want+1) {
				t.Errorf("not expired just after %v", row.want)
			}
		})
	}
}

// What is idle and has not come to this owner yet is left to the next one as it was inherited.
func TestIdleMachinesThatDidNotComeYetAreBequeathed(t *testing.T) {
	state := cluster.New(&testCluster{t: t})
	state.PreviousTerm.IdleSince = map[string]micro.Time{"i-1": 5 * micro.Second, "i-2": 6 * micro.Second}
	here := state.EnsureMachine("i-2", 20*micro.Second)
	state.TransitionMachine(here, cluster.Up, "reports")
	here.IdleSince = 7 * micro.Second
	want := map[string]micro.Time{"i-1": 5 * micro.Second, "i-2": 7 * micro.Second}
	if got := state.ExportMachineInactivity().IdleSince; !maps.Equal(got, want) {
		t.Errorf("idle since %v, want %v", got, want)
	}
}
