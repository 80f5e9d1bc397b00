package shard

import (
	"testing"

	"notchmux.dev/notchmux/internal/golden"
)

func TestMachineInactivityEncodingAndKeyAreStable(t *testing.T) {
	inactivity := MachineInactivity{SinceRenewal: map[string]int64{"i-1": 12345}, IdleFor: map[string]int64{"i-2": 70000}}
	if err := golden.Binary(inactivity, "82a772656e6577656481a3692d31cd3039a469646c6581a3692d32ce00011170"); err != nil {
		t.Error(err)
	}
	if got := MachineInactivityKey("gpus"); got != "ages/gpus" {
		t.Errorf("key of the inactivity record: %q, want ages/gpus", got)
	}
}
