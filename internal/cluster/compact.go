package cluster

import (
	"sort"
	"strings"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// CompactRecord is a chunk of tasks as the store keeps it in the later form,
// which names each machine and zone once. Places are (machine, session, task,
// attempt), with the machine by its index.
type CompactRecord struct {
	Zones        []string        `msgpack:"z" json:"z"`
	Machines     []string        `msgpack:"m" json:"m"`
	MachineZones []int           `msgpack:"i" json:"i"` // the zone of each machine, by its index
	Allocations  [][4]wire.Count `msgpack:"p" json:"p"`
	Done         [][2]int        `msgpack:"d" json:"d"` // first and last of each range
	Attempts     [][2]int        `msgpack:"t" json:"t"` // task and attempt, where no place is taken
}

// Compact puts a record into the later form.
func (r *ChunkRecord) Compact() CompactRecord {
	out := CompactRecord{
		Zones: []string{}, Machines: []string{}, MachineZones: []int{}, Allocations: [][4]wire.Count{}, Done: r.Done,
		Attempts: r.Attempts,
	}
	zones, machines := map[string]int{}, map[string]int{}
	for _, allocation := range r.Allocations {
		machineIndex, ok := machines[allocation.Machine]
		if !ok {
			zoneIndex, ok := zones[allocation.Zone]
			if !ok {
				zoneIndex = len(out.Zones)
				zones[allocation.Zone] = zoneIndex
				out.Zones = append(out.Zones, allocation.Zone)
			}
			machineIndex = len(out.Machines)
			machines[allocation.Machine] = machineIndex
			out.Machines = append(out.Machines, allocation.Machine)
			out.MachineZones = append(out.MachineZones, zoneIndex)
		}
		out.Allocations = append(
			out.Allocations,
			[4]wire.Count{wire.Count(machineIndex), allocation.Session, wire.Count(allocation.Index), allocation.Attempt},
		)
	}
	return out
}

// Expand puts a record back into the first form; false if it makes no sense.
func (r *CompactRecord) Expand() (ChunkRecord, bool) {
	out := ChunkRecord{Done: r.Done, Attempts: r.Attempts}
	if len(r.MachineZones) != len(r.Machines) {
		return out, false
	}
	for _, allocation := range r.Allocations {
		if allocation[0] >= wire.Count(len(r.Machines)) || allocation[2] >= wire.MaxTasks {
			return out, false
		}
		zoneIndex := r.MachineZones[allocation[0]]
		if zoneIndex < 0 || zoneIndex >= len(r.Zones) {
			return out, false
		}
		out.Allocations = append(
			out.Allocations,
			AllocationRecord{
				Index: int(allocation[2]), Attempt: allocation[3], Machine: r.Machines[allocation[0]], Session: allocation[1],
				Zone: r.Zones[zoneIndex],
			},
		)
	}
	return out, true
}

// allocationBytes is what a place takes in the later form, on a machine of its own:
// its name, its zone, and four numbers.
const allocationBytes = 30

// recordOverheadBytes is what a record takes besides its places.
const recordOverheadBytes = 120

// TasksPerCompactChunk is how many tasks a chunk of the later form may have for its
// record to fit a value of so many bytes.
func TasksPerCompactChunk(bytes int) int {
	tasks := 8
	for tasks < LegacyTasksPerChunk && (2*tasks)*allocationBytes+recordOverheadBytes <= bytes {
		tasks *= 2
	}
	return tasks
}

// LegacyRecord is a record in the first form whose tasks have moved to chunks of the later
// one. It is deleted once each of these is in the store: until then a takeover
// reads from it what they do not cover.
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

// RestoreCompactChunk reads a chunk's record of the later form. It comes before the
// records of the first form, which it stands for.
func (s *State) RestoreCompactChunk(job *Job, index int, record *CompactRecord, keyRevision uint64, now micro.Time) {
	if index < 0 || index >= len(job.Chunks) {
		return
	}
	expanded, ok := record.Expand()
	if !ok {
		s.Log("record not understood", "job", job.Spec.ID, "chunk", index)
		return
	}
	chunk := job.Chunks[index]
	chunk.KeyRevision = keyRevision
	s.restoreTasks(
		job, &expanded, func(i int) bool { return i >= 0 && i < len(job.Tasks) && i/job.tasksPerChunk == index }, now,
	)
	chunk.Stored = true
}

// EnableCompactRecords turns to the later form, with so many tasks to a chunk. Records in
// the first form stay until what they hold is written anew.
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
	last := min((index+1)*LegacyTasksPerChunk, len(j.Tasks))
	for task := index * LegacyTasksPerChunk; task < last; task += j.tasksPerChunk {
		chunks = append(chunks, j.Chunk(task))
	}
	return chunks
}

// TaskCounter counts a job's tasks from its records, in either form.
type TaskCounter struct {
	compact, legacy []ChunkRecord
}

// Add reads a record by the last part of its key, which a mark begins in the later
// form.
func (c *TaskCounter) Add(keySuffix, compactPrefix string, value []byte) error {
	if strings.HasPrefix(keySuffix, compactPrefix) {
		var record CompactRecord
		if err := wire.Unmarshal(value, &record); err != nil {
			return err
		}
		if expanded, ok := record.Expand(); ok {
			c.compact = append(c.compact, expanded)
		}
		return nil
	}
	var record ChunkRecord
	if err := wire.Unmarshal(value, &record); err != nil {
		return err
	}
	c.legacy = append(c.legacy, record)
	return nil
}

// Count is how many tasks are done, and how many others hold a place. A record in
// the first form may lag behind one in the later form: a task counts as done if
// either says so.
func (c *TaskCounter) Count() (done, allocated int) {
	if len(c.compact) == 0 || len(c.legacy) == 0 {
		return countTasks(append(c.compact, c.legacy...))
	}
	return countDistinctTasks(append(c.compact, c.legacy...))
}

// countTasks adds up records of one form, no two of which hold the same task.
func countTasks(records []ChunkRecord) (done, allocated int) {
	for _, record := range records {
		for _, taskRange := range record.Done {
			done += taskRange[1] - taskRange[0] + 1
		}
		allocated += len(record.Allocations)
	}
	return done, allocated
}

// countDistinctTasks counts each task once, as done if any record says so.
func countDistinctTasks(records []ChunkRecord) (done, allocated int) {
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
