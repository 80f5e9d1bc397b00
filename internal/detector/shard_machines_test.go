package detector

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// If a zone is unreachable, the shard's next owner cannot report any of the shard's machines there up.
// As with the leader's own machines, this does not indicate that they are dead.
func TestShardMachinesInUnreachableZoneAreNotTerminated(t *testing.T) {
	for _, state := range []wire.MachineState{wire.MachineRunning, wire.MachineBooting} {
		test := newTestDetector()
		at := termStart + 10*micro.Minute
		test.ObserveLease(true, at-micro.Second)
		test.listening.resumedAt = termStart
		test.host.inventoryReadAt = at - micro.Second
		test.host.unreported = 3 * micro.Minute
		test.addMachines(0, 20, func(machine *cluster.Machine) {
			test.upWithHeartbeatAt(at - 5*micro.Minute)(machine) // up, as reported by the previous owner
			machine.OwnedElsewhere = true
			machine.LastListed, machine.CloudState = at-micro.Second, state
		})
		test.cluster.ZoneUnreachableSince["a"] = at - 4*micro.Minute // no controller of the zone responds
		test.Sweep(at)
		if len(test.host.terminated) > 0 {
			t.Errorf("listed as %s: %d of 20 machines terminated, want none", state, len(test.host.terminated))
		}
	}
}

// The cloud's list lags, or lists a machine as booting after it has booted. A machine that was up under
// the previous owner must not be terminated for that before it has been unreported for two lease
// durations, as for other machines.
func TestShardMachineThatWasUpIsNotTerminatedAsBooting(t *testing.T) {
	test := newTestDetector()
	at := termStart + 10*micro.Minute
	test.ObserveLease(true, at-micro.Second)
	test.host.inventoryReadAt = at - micro.Second
	test.host.unreported = micro.Second
	test.addMachines(0, 1, func(machine *cluster.Machine) {
		test.upWithHeartbeatAt(at - micro.Minute)(machine)
		machine.OwnedElsewhere = true
		machine.LastListed, machine.CloudState = at-micro.Second, wire.MachineBooting
	})
	test.Sweep(at)
	if len(test.host.terminated) > 0 {
		t.Errorf("terminated after being unreported for one second: %v", test.host.terminated)
	}
}
