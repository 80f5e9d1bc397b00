package provision

import (
	"slices"
	"testing"

	"notchmux.dev/notchmux/wire"
)

// A machine may be terminated only once the record of its instance request marks it as terminating, so that
// the next leader starts nothing on it.
func TestTerminationIsRecordedOnlyOnceItsRecordIsStored(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		h.onLoop(func() {
			machine := h.state.EnsureMachine("i-1", h.Now())
			machine.InstanceRequestID = "r-1"
			request := &instanceRequest{record: InstanceRequestRecord{
				Request: wire.InstanceRequest{RequestID: "r-1"}, Machines: []string{"i-1"},
			}}
			h.requests["r-1"] = request
			h.bindRecord(request)
			h.Terminate(machine, "test")
			if !slices.Equal(request.record.Terminating, []string{"i-1"}) || h.TerminationRecorded(machine) {
				t.Errorf(
					"record marks %v, termination recorded before it is stored: %v", request.record.Terminating,
					h.TerminationRecorded(machine),
				)
			}
			request.storedVersion = request.recordVersion
			if !h.TerminationRecorded(machine) {
				t.Error("termination not recorded although the record is stored")
			}
		})
	})
}
