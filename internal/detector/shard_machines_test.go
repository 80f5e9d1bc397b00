package detector

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A zone that is cut off has all machines of its shard missing at once, for the shard's next owner:
// that is no sign of death, as it is none for the leader's own machines.
func TestShardMachinesBeyondAPartitionAreNotTerminated(t *testing.T) {
	for _, state := range []wire.MachineState{wire.MachineRunning, wire.MachineBooting} {
		test := newTestDetector()
		at := termStart + 10*micro.Minute
		test.ObserveLease(true, at-micro.Second)
		test.listening.resumedAt = termStart
		test.host.inventoryReadAt = at - micro.Second
		test.host.unreported = 3 * micro.Minute
		test.addMachines(0, 20, func(machine *cluster.Machine) {
			test.upWithHeartbeatAt(at - 5*micro.Minute)(machine) // up, as the owner before said
			machine.OwnedElsewhere = true
			machine.LastListed, machine.CloudState = at-micro.Second, state
		})
		test.cluster.ZoneUnreachableSince["a"] = at - 4*micro.Minute // no controller of the zone answers
		test.Sweep(at)
		if len(test.host.terminated) > 0 {
			t.Errorf("listed as %s: %d of 20 terminated", state, len(test.host.terminated))
		}
	}
}

// The cloud's list lags, or calls a machine booting for longer than it boots: one that was up under the
// owner before is not to be judged by that, without the two leases that others are waited for.
func TestShardMachineThatWasUpIsNotGivenUpAsBooting(t *testing.T) {
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
		t.Errorf("terminated after one second: %v", test.host.terminated)
	}
}
