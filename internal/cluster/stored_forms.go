package cluster

import "notchmux.dev/notchmux/internal/cluster/records"

// Aliases of the record types, for packages that do not import records.
type (
	// ChunkRecord is records.Chunk.
	ChunkRecord = records.Chunk
	// AllocationRecord is records.Allocation.
	AllocationRecord = records.Allocation
	// CompactRecord is records.CompactChunk.
	CompactRecord = records.CompactChunk
	// FinalStatusRecord is records.FinalStatus.
	FinalStatusRecord = records.FinalStatus
	// ImageRecord is records.Images.
	ImageRecord = records.Images
	// TaskCounter is records.TaskCounter.
	TaskCounter = records.TaskCounter
)

// TasksPerCompactChunk is records.TasksPerCompactChunk.
func TasksPerCompactChunk(bytes int) int { return records.TasksPerCompactChunk(bytes) }

// LegacyTasksPerChunk is records.LegacyTasksPerChunk.
const LegacyTasksPerChunk = records.LegacyTasksPerChunk
