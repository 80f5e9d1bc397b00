package cluster

import (
	"reflect"

	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Record builds the chunk's record from what is in memory.
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

// RestoreCompactChunk reads a chunk's record in the compact form. It comes before the records
// of the first form, which it stands for.
func (s *State) RestoreCompactChunk(
	job *Job, index int, record *records.CompactChunk, keyRevision uint64, now micro.Time,
) {
	if expanded, ok := s.expandChunk(job, index, record); ok {
		job.Chunks[index].KeyRevision = keyRevision
		s.restoreTasks(job, expanded, job.chunkFilter(index), now)
		job.Chunks[index].Stored = true
	}
}

// ReclaimChunk reads a record of a shard's owner into a job whose allocations are this
// controller's from now on. The record of its own is still to be written.
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

// RestoreContinuedChunk reads what the leader recorded of a chunk of a job that goes on in a
// shard: which tasks are done, and the numbers of their attempts. None of them had an allocation.
func (s *State) RestoreContinuedChunk(job *Job, index int, record *records.CompactChunk, now micro.Time) {
	expanded, ok := s.expandChunk(job, index, record)
	if !ok {
		return
	}
	if len(expanded.Allocations) > 0 {
		s.Log("allocations of a job that changed hands", "job", job.Spec.ID, "chunk", index)
	}
	expanded.Allocations = nil
	chunk := job.Chunks[index]
	before := chunk.Record()
	s.restoreTasks(job, expanded, job.chunkFilter(index), now)
	if !chunk.Stored || !reflect.DeepEqual(before, chunk.Record()) {
		chunk.MemoryVersion++ // the shard's own record lacks some of it
	}
}

// expandChunk reads a compact record; false if the job has no such chunk, or it makes no sense.
func (s *State) expandChunk(job *Job, index int, record *records.CompactChunk) (*records.Chunk, bool) {
	if index < 0 || index >= len(job.Chunks) {
		return nil, false
	}
	expanded, ok := record.Expand()
	if !ok {
		s.Log("record not understood", "job", job.Spec.ID, "chunk", index)
	}
	return &expanded, ok
}

// chunkFilter tells which tasks a chunk holds.
func (j *Job) chunkFilter(index int) func(task int) bool {
	return func(task int) bool { return task >= 0 && task < len(j.Tasks) && task/j.tasksPerChunk == index }
}

// restoreTasks reads a record's tasks into a job, as far as they are included.
func (s *State) restoreTasks(job *Job, record *records.Chunk, includes func(i int) bool, now micro.Time) {
	for _, attempt := range record.Attempts {
		if includes(attempt[0]) {
			task := &job.Tasks[attempt[0]]
			task.Attempt = max(task.Attempt, uint32(attempt[1])) // the other side's record may be the later one
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

// restoreCompletion notes that a task is done by its record.
func (s *State) restoreCompletion(job *Job, index int) {
	if job.Tasks[index].Done {
		return
	}
	job.Tasks[index].Done = true
	job.DoneTasks++
	s.dequeue(job, index)
}

// restoreAllocation takes an allocation over from its record.
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

// FinishRestore completes a failover: all records have been read.
func (s *State) FinishRestore(now micro.Time) {
	for _, job := range s.Jobs {
		s.FinishJobRestore(job, now)
	}
}

// FinishJobRestore continues a job all of whose records have been read.
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
		// Only part of the attempt was written: it never started whole.
		s.abortGangAttempt(job, now)
	}
}
