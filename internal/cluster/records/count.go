package records

import (
	"strings"

	"notchmux.dev/notchmux/wire"
)

// TaskCounter counts a job's tasks from its chunk records in either format.
type TaskCounter struct {
	compact, legacy []Chunk
}

// Add adds a record. keySuffix is the last part of its key, which starts with compactPrefix if the
// record is in the compact format. Add returns an error if the value cannot be decoded.
func (c *TaskCounter) Add(keySuffix, compactPrefix string, value []byte) error {
	if strings.HasPrefix(keySuffix, compactPrefix) {
		var record CompactChunk
		if err := wire.Unmarshal(value, &record); err != nil {
			return err
		}
		if expanded, ok := record.Expand(); ok {
			c.compact = append(c.compact, expanded)
		}
		return nil
	}
	var record Chunk
	if err := wire.Unmarshal(value, &record); err != nil {
		return err
	}
	c.legacy = append(c.legacy, record)
	return nil
}

// Count returns the number of tasks that are done and the number of others that are allocated.
// Because a record in the legacy format may lag behind one in the compact format, a task counts as
// done if either record says so.
func (c *TaskCounter) Count() (done, allocated int) {
	if len(c.compact) == 0 || len(c.legacy) == 0 {
		return countTasks(append(c.compact, c.legacy...))
	}
	return countDistinctTasks(append(c.compact, c.legacy...))
}

// countTasks sums over records of one format, in which no task occurs twice.
func countTasks(records []Chunk) (done, allocated int) {
	for _, record := range records {
		for _, taskRange := range record.Done {
			done += taskRange[1] - taskRange[0] + 1
		}
		allocated += len(record.Allocations)
	}
	return done, allocated
}

// countDistinctTasks counts each task once, as done if any record says so.
func countDistinctTasks(records []Chunk) (done, allocated int) {
	doneTasks, allocatedTasks := map[int]bool{}, map[int]bool{}
	for _, record := range records {
		for _, taskRange := range record.Done {
			for i := max(taskRange[0], 0); i <= min(taskRange[1], wire.MaxTasks); i++ {
				doneTasks[i] = true
			}
		}
		for _, allocation := range record.Allocations {
			allocatedTasks[allocation.Index] = true
		}
	}
	for i := range allocatedTasks {
		if !doneTasks[i] {
			allocated++
		}
	}
	return len(doneTasks), allocated
}
