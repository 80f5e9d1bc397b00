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
	State   wire.JobState `msgpack:"state" json:"state"`
	EndedAt int64         `msgpack:"at,omitempty" json:"at,omitempty"` // wall clock, microseconds: the clocks of what awaits the job start then
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
		for i := index * LegacyTasksPerChunk; i < min((index+1)*LegacyTasksPerChunk, len(job.Tasks)); i += job.tasksPerChunk {
			chunk := job.Chunk(i)
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

func (s *State) restoreTasks(job *Job, record *ChunkRecord, includes func(i int) bool, now micro.Time) {
	for _, attempt := range record.Attempts {
		if includes(attempt[0]) {
			job.Tasks[attempt[0]].Attempt = uint32(attempt[1])
			job.GangAttempt = max(job.GangAttempt, uint32(attempt[1]))
		}
	}
	for _, entry := range record.Done {
		for i := entry[0]; i <= entry[1] && includes(i); i++ {
			if !job.Tasks[i].Done {
				job.Tasks[i].Done = true
				job.DoneTasks++
				s.dequeue(job, i)
			}
		}
	}
	for _, entry := range record.Allocations {
		if !includes(entry.Index) {
			continue
		}
		if job.State == Active && !job.Tasks[entry.Index].Done {
			s.dequeue(job, entry.Index)
		}
		job.Tasks[entry.Index].Attempt = max(job.Tasks[entry.Index].Attempt, uint32(entry.Attempt))
		job.GangAttempt = max(job.GangAttempt, uint32(entry.Attempt))
		machine := s.EnsureMachine(entry.Machine, now)
		if machine.Zone == "" && entry.Zone != "" {
			s.DescribeMachine(machine, machine.TypeName, entry.Zone, machine.Spot)
		}
		allocation := &Allocation{
			Job: job, Index: entry.Index, TaskName: wire.TaskName(job.Spec.ID, entry.Index), Attempt: uint64(entry.Attempt),
			Machine: machine, AgentEpoch: uint64(entry.Session), State: Starting, DispatchToken: s.MinFencingToken - 1,
			ScaledCPU: job.Spec.CPUs, PlannedAt: now, taskKnown: true, Restored: true,
		}
		s.reserve(allocation)
	}
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
	case job.State == Active && job.Spec.Kind == wire.Gang && job.AllocationCount > 0 && job.AllocationCount < len(job.Tasks):
		// Only part of the attempt was written: it never started whole.
		s.abortGangAttempt(job, now)
	}
}
