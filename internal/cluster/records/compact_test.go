package records_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/wire"
)

// The limits on a value apply to its JSON form. The names of machines, epochs and attempt numbers
// in this test are as long as they become within a few days.
func TestCompactRecordFitsItsValueSizeLimit(t *testing.T) {
	for _, bytes := range []int{1 << 10, 2 << 10, 4 << 10, 16 << 10} {
		tasks := records.TasksPerCompactChunk(bytes)
		record := records.Chunk{Done: [][2]int{}, Attempts: [][2]int{}}
		for i := range tasks {
			record.Allocations = append(
				record.Allocations,
				records.Allocation{
					Index: 9000 + i, Attempt: 3, Machine: fmt.Sprintf("i-%06d", 100000+i), Session: 2,
					Zone: []string{"a-long-zones-name", "another-long-name"}[i%2],
				},
			)
		}
		if size := wire.JSONSize(record.Compact()); size > bytes {
			t.Errorf("record of %d tasks has %d bytes, limit %d", tasks, size, bytes)
		}
		compacted := record.Compact()
		expanded, ok := compacted.Expand()
		if !ok || fmt.Sprint(expanded.Allocations) != fmt.Sprint(record.Allocations) {
			t.Errorf("allocations differ after expanding the record: %v", expanded.Allocations)
		}
	}
	invalid := records.CompactChunk{
		Zones: []string{"a"}, Machines: []string{"i-1"}, MachineZones: []int{1}, Allocations: [][4]wire.Count{{0, 1, 0, 1}},
	}
	if _, ok := invalid.Expand(); ok {
		t.Error("a record with a zone index out of range was expanded")
	}
}
