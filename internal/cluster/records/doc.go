// Package records defines the formats in which the store keeps jobs and machines, and the
// conversions between these formats. It has no state: everything in it may be called on any
// goroutine, and no function retains its arguments.
//
// The encoded bytes are fixed: controllers of two versions read them at the same time
// (docs/design.md, "Two versions side by side"), and if one of them cannot read a record, the job
// is lost. A chunk of a job's tasks has two formats: the legacy format, Chunk, and the compact
// format, CompactChunk, which is written once the format gate is open.
package records
