package provision

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// Judged by its age, an operator-owned machine once appeared to be provisioned by the service, and a
// terminated one of the service appeared to be operator-owned. The order of creation decides instead.
func TestMachinesCreatedBeforeTheFirstProvisionedOneAreOperatorOwned(t *testing.T) {
	p := &Provisioner{}
	if !p.isOperatorOwned(&cluster.Machine{Name: "i-000007"}) ||
		p.isOperatorOwned(&cluster.Machine{Name: "i-000007", InstanceRequestID: "r-1-1"}) {
		t.Error("want only machines without an instance request operator-owned while none was provisioned")
	}
	p.firstProvisioned = "i-000024"
	for name, want := range map[string]bool{"i-000023": true, "i-000024": false, "i-000100": false, "i-1000000": false} {
		if p.isOperatorOwned(&cluster.Machine{Name: name}) != want {
			t.Errorf("%s: operator-owned is %v", name, !want)
		}
	}
}

// Reads of an inventory of 4,000 machines once used a third of the cloud's rate limit.
func TestInventoryOfALargeFleetLeavesMostOfTheCloudsRateToOtherCalls(t *testing.T) {
	for _, machines := range []int{40, 2000, 4000, 6000, 20000} {
		pages := (machines + 499) / 500
		pause := inventoryPause(pages, 4)
		if pause < inventoryInterval || pause > maxInventoryPause ||
			pause+micro.Time(pages)*300*micro.Millisecond > MaxInventoryAge+maxInventoryPause {
			t.Errorf("%d machines: pause of %v is out of range", machines, pause)
		}
		if rate := float64(pages) / pause.Seconds(); machines <= 4000 && rate > 1 {
			t.Errorf("%d machines: the inventory uses %.2f of 4 calls per second, want at most 1", machines, rate)
		}
	}
}
