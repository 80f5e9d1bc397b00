package cluster

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// This file contains all support for chunk records in the legacy format, which version 1 wrote
// (docs/design.md, "Two versions side by side"). It can be removed, together with
// records.LegacyTasksPerChunk, TaskChunk.Legacy, Effects.ChunkMigrated and
// Effects.LegacyRecordSuperseded, when both of these conditions hold:
//
//   - production in deploy/service.toml names a commit of version 2, so that no controller of
//     version 1 runs alongside this one, and compact records are written from the start;
//   - no site's store contains a key run/ID/N (N a number): fleet/format was raised there, and
//     every job that started before that has ended and its records are deleted.

// LegacyRecord is a record in the legacy format whose tasks have been migrated to chunks in the
// compact format. It is deleted once all of these chunks are in the store. Until then, a failover
// reads from it the tasks that the stored chunks do not cover.
type LegacyRecord struct {
	Job           *Job
	Index         int
	KeyRevision   uint64
	PendingChunks int // chunks that are not in the store yet
}

// Obsolete reports whether the record is no longer needed.
func (r *LegacyRecord) Obsolete() bool {
	return r.PendingChunks <= 0 || r.Job.IsTerminal() && r.Job.AllocationCount == 0
}

// EnableCompactRecords switches to the compact format with the given number of tasks per chunk.
// Records in the legacy format remain until their contents have been written in the compact format.
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

// rechunk divides a job into chunks of the compact format. The record of each previous chunk
// remains until the new chunks that cover its tasks are stored.
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

// migrateChunk moves the state of a chunk to the chunks that now cover its tasks. State that was
// not stored yet is marked to be written.
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

// markMigrated marks a migrated chunk as dirty, and as urgent if a start command waits for its
// record.
func (s *State) markMigrated(chunk *TaskChunk) {
	s.ChunkDirty(chunk)
	for _, allocation := range chunk.Allocations {
		if allocation.State == Planned {
			s.ChunkUrgent(chunk)
			return
		}
	}
}

// chunksOfLegacyRecord returns the chunks that cover the tasks of a record in the legacy format.
func (j *Job) chunksOfLegacyRecord(index int) []*TaskChunk {
	var chunks []*TaskChunk
	last := min((index+1)*records.LegacyTasksPerChunk, len(j.Tasks))
	for task := index * records.LegacyTasksPerChunk; task < last; task += j.tasksPerChunk {
		chunks = append(chunks, j.Chunk(task))
	}
	return chunks
}

// RestoreChunk restores a chunk from a record in the legacy format into a job that was just added.
// Tasks that a record in the compact format covers are skipped. Every allocation in the record
// counts, including its start command, which may still be in flight, but no start command is sent
// for it in this term.
//
// The records lag behind the state of the previous leader. If allocations that it had released, or
// had adopted from a delayed copy of a heartbeat, were started again by the next leader, they would
// run in addition to whatever uses their part of the quota by then, or in addition to the task
// itself on another machine.
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
