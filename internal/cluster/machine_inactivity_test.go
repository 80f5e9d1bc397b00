package cluster_test

import (
	"maps"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// In a shard that was moved more often than leases expire, leases of dead machines were never
// proven expired, because each owner counted from the beginning of its own term.
func TestLeaseExpiryUsesMachineHistoryFromBeforeTheTerm(t *testing.T) {
	const termStart = 100 * micro.Second
	for name, tt := range map[string]struct {
		inherited     map[string]micro.Time
		lastHeartbeat micro.Time // last heartbeat in this term; 0: none
		want          micro.Time // the lease is expired after this time
	}{
		"no history":               {want: termStart + leaseDuration},
		"other machine only":       {inherited: map[string]micro.Time{"i-2": 80 * micro.Second}, want: termStart + leaseDuration},
		"no heartbeat in the term": {inherited: map[string]micro.Time{"i-1": 80 * micro.Second}, want: 80*micro.Second + leaseDuration},
		"heartbeat in the term":    {map[string]micro.Time{"i-1": 80 * micro.Second}, 105 * micro.Second, 105*micro.Second + leaseDuration},
	} {
		t.Run(name, func(t *testing.T) {
			state := cluster.New(&testCluster{t: t})
			state.TermStartedAt, state.LeaseDuration = termStart, leaseDuration
			state.PreviousTerm.RenewedAt = tt.inherited
			machine := state.EnsureMachine("i-1", termStart)
			machine.LeaseRenewedAt = tt.lastHeartbeat
			if state.LeaseExpired(machine, tt.want) || !state.LeaseExpired(machine, tt.want+1) {
				t.Errorf("lease does not expire just after %v", tt.want)
			}
		})
	}
}

// The idle times of machines that have not sent a heartbeat to this owner yet are passed on to the
// next owner as they were inherited.
func TestIdleTimesOfMachinesWithoutHeartbeatArePassedOn(t *testing.T) {
	state := cluster.New(&testCluster{t: t})
	state.PreviousTerm.IdleSince = map[string]micro.Time{"i-1": 5 * micro.Second, "i-2": 6 * micro.Second}
	machine := state.EnsureMachine("i-2", 20*micro.Second)
	state.TransitionMachine(machine, cluster.Up, "heartbeat received")
	machine.IdleSince = 7 * micro.Second
	want := map[string]micro.Time{"i-1": 5 * micro.Second, "i-2": 7 * micro.Second}
	if got := state.ExportMachineInactivity().IdleSince; !maps.Equal(got, want) {
		t.Errorf("idle since %v, want %v", got, want)
	}
}
