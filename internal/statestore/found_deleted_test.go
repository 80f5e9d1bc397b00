package statestore

import (
	"testing"

	"notchmux.dev/notchmux/internal/store"
)

// Guards against losing a write that follows from a delete which is found to be executed, such as the
// final state of a job whose assignment was deleted. OnCommitted was called while the queue was being
// iterated, and a record that it marked dirty did not remain in the queue.
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
		end.MarkDirty(h.host.now, priority) // a component that waits for the write marks it again
		for range 10 {
			h.step()
		}
		if end.Dirty() || end.Version() != 20 {
			t.Errorf("priority %d: record marked by OnCommitted was not written", priority)
		}
	}
}
