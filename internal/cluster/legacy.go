package cluster

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// This file holds all that is done for records in the first form, which version 1 wrote
// (docs/design.md, "Two versions side by side"). It can go, with records.LegacyTasksPerChunk,
// TaskChunk.Legacy and Effects.ChunkMigrated and LegacyRecordSuperseded, when both hold:
//
//   - production in deploy/service.toml names a commit of version 2, so that no controller of
//     version 1 runs beside this one, and compact records are written from the start;
//   - no site's store has a key run/ID/N left (N a number): fleet/format was raised there, and
//     each job that was begun before is over and its records are deleted.

// LegacyRecord is a record in the first form whose tasks have moved to chunks of the compact
// form. It is deleted once each of these is in the store: until then a failover reads from it
// what they do not cover.
type LegacyRecord struct {
	Job           *Job
	Index         int
	KeyRevision   uint64
	PendingChunks int // chunks that are not in the store yet
}

// Obsolete reports whether nothing depends on the record any more.
func (r *LegacyRecord) Obsolete() bool {
	return r.PendingChunks <= 0 || r.Job.IsTerminal() && r.Job.AllocationCount == 0
}

// EnableCompactRecords turns to the compact form, with so many tasks to a chunk. Records in the
// first form stay until what they hold is written anew.
func (s *State) EnableCompactRecords(tasks int) {
	if s.CompactRecords {
		return
	}
	s.CompactRecords, s.TasksPerChunk = true, tasks
	migrated := map[*TaskChunk]*LegacyRecord{}
	ids := make([]string, 0, len(s.Jobs))
	for id := range s.Jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s.rechunk(s.Jobs[id], migrated)
	}
	for _, machine := range s.Machines {
		for key, exited := range machine.exitedAttempts {
			if exited.chunk == nil || migrated[exited.chunk] == nil {
				continue
			}
			_, index, _ := wire.ParseTaskName(key.Task)
			chunk := exited.chunk.Job.Chunk(index)
			if exited.chunk.StoredVersion >= exited.chunkVersion {
				exited.chunkVersion = 0
			} else {
				exited.chunkVersion = chunk.MemoryVersion
			}
			exited.chunk = chunk
		}
	}
}

// rechunk cuts a job into chunks of the compact form. Each former chunk's record stays until
// the new chunks that stand for its tasks are stored.
func (s *State) rechunk(job *Job, migrated map[*TaskChunk]*LegacyRecord) {
	previousChunks := job.Chunks
	job.tasksPerChunk, job.Chunks = s.TasksPerChunk, nil
	for index := 0; index*job.tasksPerChunk < len(job.Tasks); index++ {
		job.Chunks = append(job.Chunks, &TaskChunk{Job: job, Index: index})
	}
	for _, previous := range previousChunks {
		legacy := &LegacyRecord{Job: job, Index: previous.Index, KeyRevision: previous.KeyRevision}
		migrated[previous] = legacy
		s.migrateChunk(previous, legacy)
	}
}

// migrateChunk moves what a chunk holds to the chunks that stand for its tasks now. What was
// not stored yet is to be written anew.
func (s *State) migrateChunk(previous *TaskChunk, legacy *LegacyRecord) {
	job := previous.Job
	dirty := previous.MemoryVersion > previous.StoredVersion
	successors := job.chunksOfLegacyRecord(previous.Index)
	for _, chunk := range successors {
		chunk.Legacy = legacy
		legacy.PendingChunks++
		if dirty {
			chunk.MemoryVersion = 1
		}
	}
	for _, allocation := range previous.Allocations {
		chunk := job.Chunk(allocation.Index)
		chunk.Allocations = append(chunk.Allocations, allocation)
		allocation.ChunkVersion = chunk.MemoryVersion
	}
	s.ChunkMigrated(previous, legacy)
	if dirty {
		for _, chunk := range successors {
			s.markMigrated(chunk)
		}
	}
	previous.Allocations = nil
}

// markMigrated asks for a migrated chunk's record, soon if a start waits for it.
func (s *State) markMigrated(chunk *TaskChunk) {
	s.ChunkDirty(chunk)
	for _, allocation := range chunk.Allocations {
		if allocation.State == Planned {
			s.ChunkUrgent(chunk)
			return
		}
	}
}

// chunksOfLegacyRecord lists the chunks that stand for the tasks of a record in the first form.
func (j *Job) chunksOfLegacyRecord(index int) []*TaskChunk {
	var chunks []*TaskChunk
	last := min((index+1)*records.LegacyTasksPerChunk, len(j.Tasks))
	for task := index * records.LegacyTasksPerChunk; task < last; task += j.tasksPerChunk {
		chunks = append(chunks, j.Chunk(task))
	}
	return chunks
}

// RestoreChunk reads a chunk's record, in its first form, into a job that was just added. Every
// allocation in it counts, with a start that may still be under way; but no start of this term
// goes out for it. The records lag behind what the earlier leader knew: an allocation that it
// had given up, or had adopted from a late copy of a heartbeat, was started anew under the next
// one, beside what had taken its part of the quota, or beside the task itself elsewhere. What a
// record in the compact form covers is left to that.
func (s *State) RestoreChunk(job *Job, index int, record *records.Chunk, keyRevision uint64, now micro.Time) {
	if index < 0 || index*records.LegacyTasksPerChunk >= len(job.Tasks) {
		return
	}
	if job.tasksPerChunk == records.LegacyTasksPerChunk && !s.CompactRecords {
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
		return i >= 0 && i < len(job.Tasks) && i/records.LegacyTasksPerChunk == index && !job.Chunk(i).Stored
	}
	s.restoreTasks(job, record, includes, now)
}
