package provision

import (
	"slices"
	"testing"

	"notchmux.dev/notchmux/wire"
)

// A machine's termination is requested only once the record of its instance request says
// so: the next leader starts nothing on it.
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
					"marked %v, terminated before that is stored: %v", request.record.Terminating,
					h.TerminationRecorded(machine),
				)
			}
			request.storedVersion = request.recordVersion
			if !h.TerminationRecorded(machine) {
				t.Error("not terminated though it is stored")
			}
		})
	})
}
