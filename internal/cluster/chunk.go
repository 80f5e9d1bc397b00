package cluster

import (
	"reflect"

	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Record builds the chunk record from the state in memory.
func (c *TaskChunk) Record() records.Chunk {
	record := records.NewChunk()
	allocated := map[int]bool{}
	for _, allocation := range c.Allocations {
		allocated[allocation.Index] = true
		record.Allocations = append(
			record.Allocations,
			records.Allocation{
				Index: allocation.Index, Attempt: wire.Count(allocation.Attempt), Machine: allocation.Machine.Name,
				Session: wire.Count(allocation.AgentEpoch), Zone: allocation.Machine.Zone,
			},
		)
	}
	record.SortAllocations()
	first := c.Index * c.Job.tasksPerChunk
	for i := first; i < min(first+c.Job.tasksPerChunk, len(c.Job.Tasks)); i++ {
		task := &c.Job.Tasks[i]
		switch {
		case task.Done:
			record.AddDone(i)
		case task.Attempt > 0 && !allocated[i]:
			record.Attempts = append(record.Attempts, [2]int{i, int(task.Attempt)})
		}
	}
	return record
}

// RestoreCompactChunk restores a chunk from a record in the compact format. It must be called
// before the records in the legacy format that this record supersedes are restored.
func (s *State) RestoreCompactChunk(
	job *Job, index int, record *records.CompactChunk, keyRevision uint64, now micro.Time,
) {
	if expanded, ok := s.expandChunk(job, index, record); ok {
		job.Chunks[index].KeyRevision = keyRevision
		s.restoreTasks(job, expanded, job.chunkFilter(index), now)
		job.Chunks[index].Stored = true
	}
}

// ReclaimChunk restores a chunk from a record of a shard owner for a job whose allocations now
// belong to this controller. This controller's own record of the chunk still has to be written.
func (s *State) ReclaimChunk(job *Job, index int, record *records.CompactChunk, now micro.Time) {
	expanded, ok := s.expandChunk(job, index, record)
	if !ok {
		return
	}
	for _, entry := range expanded.Allocations {
		s.AcquireMachine(s.EnsureMachine(entry.Machine, now), now)
	}
	s.restoreTasks(job, expanded, job.chunkFilter(index), now)
	chunk := job.Chunks[index]
	chunk.HandedOver = false
	chunk.MemoryVersion++
}

// RestoreContinuedChunk restores a chunk from the leader's record for a job that continues in a
// shard: which tasks are done, and their attempt numbers. None of the tasks may have had an
// allocation when the job was handed over.
func (s *State) RestoreContinuedChunk(job *Job, index int, record *records.CompactChunk, now micro.Time) {
	expanded, ok := s.expandChunk(job, index, record)
	if !ok {
		return
	}
	if len(expanded.Allocations) > 0 {
		s.Log("ignoring allocations in the record of a job that was handed over", "job", job.Spec.ID, "chunk", index)
	}
	expanded.Allocations = nil
	chunk := job.Chunks[index]
	before := chunk.Record()
	s.restoreTasks(job, expanded, job.chunkFilter(index), now)
	if !chunk.Stored || !reflect.DeepEqual(before, chunk.Record()) {
		chunk.MemoryVersion++ // the shard owner's record lacks part of this state
	}
}

// expandChunk expands a compact record. It returns false if the job has no chunk with that index or
// if the record is inconsistent.
func (s *State) expandChunk(job *Job, index int, record *records.CompactChunk) (*records.Chunk, bool) {
	if index < 0 || index >= len(job.Chunks) {
		return nil, false
	}
	expanded, ok := record.Expand()
	if !ok {
		s.Log("chunk record is inconsistent, ignoring it", "job", job.Spec.ID, "chunk", index)
	}
	return &expanded, ok
}

// chunkFilter returns a predicate that reports whether the chunk with the given index contains a
// task.
func (j *Job) chunkFilter(index int) func(task int) bool {
	return func(task int) bool { return task >= 0 && task < len(j.Tasks) && task/j.tasksPerChunk == index }
}

// restoreTasks restores those tasks of a record for which includes returns true.
func (s *State) restoreTasks(job *Job, record *records.Chunk, includes func(i int) bool, now micro.Time) {
	for _, attempt := range record.Attempts {
		if includes(attempt[0]) {
			task := &job.Tasks[attempt[0]]
			// The record of the other controller may be the more recent one.
			task.Attempt = max(task.Attempt, uint32(attempt[1]))
			job.GangAttempt = max(job.GangAttempt, uint32(attempt[1]))
		}
	}
	for _, taskRange := range record.Done {
		for i := taskRange[0]; i <= taskRange[1] && includes(i); i++ {
			s.restoreCompletion(job, i)
		}
	}
	for i := range record.Allocations {
		if entry := &record.Allocations[i]; includes(entry.Index) {
			s.restoreAllocation(job, entry, now)
		}
	}
}

// restoreCompletion marks a task as done that is done according to its record.
func (s *State) restoreCompletion(job *Job, index int) {
	if job.Tasks[index].Done {
		return
	}
	job.Tasks[index].Done = true
	job.DoneTasks++
	s.dequeue(job, index)
}

// restoreAllocation restores an allocation from its record.
func (s *State) restoreAllocation(job *Job, entry *records.Allocation, now micro.Time) {
	task := &job.Tasks[entry.Index]
	if job.State == Active && !task.Done {
		s.dequeue(job, entry.Index)
	}
	task.Attempt = max(task.Attempt, uint32(entry.Attempt))
	job.GangAttempt = max(job.GangAttempt, uint32(entry.Attempt))
	machine := s.EnsureMachine(entry.Machine, now)
	if machine.Zone == "" && entry.Zone != "" {
		s.DescribeMachine(machine, machine.TypeName, entry.Zone, machine.Spot)
	}
	s.reserve(&Allocation{
		Job: job, Index: entry.Index, TaskName: wire.TaskName(job.Spec.ID, entry.Index),
		Attempt: uint64(entry.Attempt), Machine: machine, AgentEpoch: uint64(entry.Session), State: Starting,
		DispatchToken: s.MinFencingToken - 1, ScaledCPU: job.Spec.CPUs, PlannedAt: now, taskKnown: true, Restored: true,
	})
}

// FinishRestore completes a failover after all records have been read.
func (s *State) FinishRestore(now micro.Time) {
	for _, job := range s.Jobs {
		s.FinishJobRestore(job, now)
	}
}

// FinishJobRestore resumes a job after all its records have been read.
func (s *State) FinishJobRestore(job *Job, now micro.Time) {
	switch {
	case job.IsTerminal():
		for _, allocation := range job.Allocations() {
			s.StopAllocation(allocation, "job over", 0, now)
		}
	case job.State == Active && job.DoneTasks == len(job.Tasks):
		s.transitionJob(job, Finishing)
		s.JobFinished(job)
	case job.State == Active && job.Spec.Kind == wire.Gang &&
		job.AllocationCount > 0 && job.AllocationCount < len(job.Tasks):
		// Only part of the attempt was stored, so it never started completely.
		s.abortGangAttempt(job, now)
	}
}
