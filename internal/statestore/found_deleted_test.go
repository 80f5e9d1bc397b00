package statestore

import (
	"testing"

	"notchmux.dev/notchmux/internal/store"
)

// What follows from a delete that is found done (the end of a job whose assignment is gone) is written.
// It is called in the middle of a pass over the queue: what it marks is to stay in the queue.
func TestRecordMarkedByFoundDeleteIsWritten(t *testing.T) {
	for _, priority := range []Priority{PriorityUrgent, PriorityHigh, PriorityLow} {
		h := newHarness()
		outcome := store.ErrUncertain
		h.store.commit = func() (uint64, error) { return 20, outcome }
		end := h.newRecord("job/j-1/end", 0)
		record := h.Record("assign/east/j-1")
		record.SetVersion(11)
		record.Build = func() (any, uint64) { return nil, 0 }
		record.OnCommitted = func(uint64) { outcome = nil; end.MarkDirty(h.host.now, priority) }
		record.MarkDirty(h.host.now, PriorityHigh)
		for range 10 {
			h.step()
		}
		end.MarkDirty(h.host.now, priority) // whoever waits for it has it marked again
		for range 10 {
			h.step()
		}
		if end.Dirty() || end.Version() != 20 {
			t.Errorf("priority %d: never written", priority)
		}
	}
}
