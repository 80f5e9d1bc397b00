package records

import (
	"strings"

	"notchmux.dev/notchmux/wire"
)

// TaskCounter counts a job's tasks from its records, in either form.
type TaskCounter struct {
	compact, legacy []Chunk
}

// Add reads a record by the last part of its key, which compactPrefix begins in the compact
// form. An error is one of decoding.
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

// Count is how many tasks are done, and how many others are allocated. A record in the first
// form may lag behind one in the compact form: a task counts as done if either says so.
func (c *TaskCounter) Count() (done, allocated int) {
	if len(c.compact) == 0 || len(c.legacy) == 0 {
		return countTasks(append(c.compact, c.legacy...))
	}
	return countDistinctTasks(append(c.compact, c.legacy...))
}

// countTasks adds up records of one form, no two of which hold the same task.
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
