package cluster

import "notchmux.dev/notchmux/internal/cluster/records"

// Names of the stored forms that other packages still know as this package's.
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
