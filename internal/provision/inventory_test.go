package provision

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// By age, a machine of the operators' own once looked rented, and a rented one
// that was gone looked like their own.
func TestMachinesCreatedBeforeTheFirstProvisionedOneAreOperatorOwned(t *testing.T) {
	p := &Provisioner{}
	if !p.isOperatorOwned(&cluster.Machine{Name: "i-000007"}) ||
		p.isOperatorOwned(&cluster.Machine{Name: "i-000007", InstanceRequestID: "r-1-1"}) {
		t.Error("before any instance request is answered, what was not requested is their own")
	}
	p.firstProvisioned = "i-000024"
	for name, want := range map[string]bool{"i-000023": true, "i-000024": false, "i-000100": false, "i-1000000": false} {
		if p.isOperatorOwned(&cluster.Machine{Name: name}) != want {
			t.Errorf("%s: own is %v", name, !want)
		}
	}
}

// Lists of 4,000 machines once took a third of the cloud's rate.
func TestInventoryOfALargeFleetLeavesMostOfTheCloudsRateToOtherCalls(t *testing.T) {
	for _, machines := range []int{40, 2000, 4000, 6000, 20000} {
		pages := (machines + 499) / 500
		pause := inventoryPause(pages, 4)
		if pause < inventoryInterval || pause > maxInventoryPause ||
			pause+micro.Time(pages)*300*micro.Millisecond > MaxInventoryAge+maxInventoryPause {
			t.Errorf("%d machines: a pause of %v", machines, pause)
		}
		if rate := float64(pages) / pause.Seconds(); machines <= 4000 && rate > 1 {
			t.Errorf("%d machines: the list takes %.2f of 4 calls a second", machines, rate)
		}
	}
}
