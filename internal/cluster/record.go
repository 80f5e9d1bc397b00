package cluster

import (
	"encoding/json"
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// AllocationRecord is a taken place in a chunk's record.
type AllocationRecord struct {
	//lint:ignore U1000 the codec reads its tag: a list without field names, since records are written often
	_msgpack struct{} `msgpack:",as_array"`

	Index   int
	Attempt wire.Count
	Machine string
	Session wire.Count
	Zone    string
}

// MarshalJSON gives the form that the store's limits count: a list, as in the
// store. With its fields' names, records that fit were once put aside as too large.
func (r AllocationRecord) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Index, r.Attempt, r.Machine, r.Session, r.Zone})
}

// ChunkRecord is a chunk of tasks as the store keeps it.
type ChunkRecord struct {
	Allocations []AllocationRecord `msgpack:"p" json:"p"`
	Done        [][2]int           `msgpack:"d" json:"d"` // first and last of each range
	Attempts    [][2]int           `msgpack:"t" json:"t"` // task and attempt, where no place is taken
}

// FinalStatusRecord is the end of a job: created once, the first one wins.
type FinalStatusRecord struct {
	State wire.JobState `msgpack:"state" json:"state"`

	// EndedAt is on the wall clock, in microseconds: the clocks of the job's dependents start then.
	EndedAt int64 `msgpack:"at,omitempty" json:"at,omitempty"`
}

// Record builds the chunk's record from the model.
func (c *TaskChunk) Record() ChunkRecord {
	record := ChunkRecord{Allocations: []AllocationRecord{}, Done: [][2]int{}, Attempts: [][2]int{}}
	allocated := map[int]bool{}
	for _, allocation := range c.Allocations {
		allocated[allocation.Index] = true
		record.Allocations = append(
			record.Allocations,
			AllocationRecord{
				Index: allocation.Index, Attempt: wire.Count(allocation.Attempt), Machine: allocation.Machine.Name,
				Session: wire.Count(allocation.AgentEpoch), Zone: allocation.Machine.Zone,
			},
		)
	}
	sort.Slice(
		record.Allocations, func(a, b int) bool { return record.Allocations[a].Index < record.Allocations[b].Index },
	)
	first := c.Index * c.Job.tasksPerChunk
	for i := first; i < min(first+c.Job.tasksPerChunk, len(c.Job.Tasks)); i++ {
		task := &c.Job.Tasks[i]
		switch {
		case task.Done:
			if ranges := len(record.Done); ranges > 0 && record.Done[ranges-1][1] == i-1 {
				record.Done[ranges-1][1] = i
			} else {
				record.Done = append(record.Done, [2]int{i, i})
			}
		case task.Attempt > 0 && !allocated[i]:
			record.Attempts = append(record.Attempts, [2]int{i, int(task.Attempt)})
		}
	}
	return record
}

// RestoreChunk reads a chunk's record, in its first form, into a job that was just
// added. Every place in it counts as taken, with a start that may still be under
// way; but no start of this term goes out for it. The records lag behind what the
// earlier leader knew: a place that it had given up, or had taken for a late copy
// of a report, was started anew under the next one, beside what had taken its
// part of the limit, or beside the task itself elsewhere. What a record in the
// later form covers is left to that.
func (s *State) RestoreChunk(job *Job, index int, record *ChunkRecord, keyRevision uint64, now micro.Time) {
	if index < 0 || index*LegacyTasksPerChunk >= len(job.Tasks) {
		return
	}
	if job.tasksPerChunk == LegacyTasksPerChunk && !s.CompactRecords {
		job.Chunks[index].KeyRevision = keyRevision
	} else {
		legacy := &LegacyRecord{Job: job, Index: index, KeyRevision: keyRevision}
		for _, chunk := range job.chunksOfLegacyRecord(index) {
			chunk.Legacy = legacy
			if !chunk.Stored {
				legacy.PendingChunks++
			}
		}
		s.LegacyRecordSuperseded(legacy)
	}
	includes := func(i int) bool {
		return i >= 0 && i < len(job.Tasks) && i/LegacyTasksPerChunk == index && !job.Chunk(i).Stored
	}
	s.restoreTasks(job, record, includes, now)
}

// restoreTasks reads a record's tasks into a job, as far as they are included.
func (s *State) restoreTasks(job *Job, record *ChunkRecord, includes func(i int) bool, now micro.Time) {
	for _, attempt := range record.Attempts {
		if includes(attempt[0]) {
			job.Tasks[attempt[0]].Attempt = uint32(attempt[1])
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
func (s *State) restoreAllocation(job *Job, entry *AllocationRecord, now micro.Time) {
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

// FinishRestore completes a takeover: all records have been read.
func (s *State) FinishRestore(now micro.Time) {
	for _, job := range s.Jobs {
		s.FinishJobRestore(job, now)
	}
}

// FinishJobRestore goes on with a job all of whose records have been read.
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
