// Package records holds the forms in which the store keeps jobs and machines, and the steps
// between one form and another. It has no state: everything here may be called on any
// goroutine, and nothing keeps what it is given.
//
// The bytes are fixed: controllers of two versions read them side by side (docs/design.md,
// "Two versions side by side"), and a record that one of them cannot read is a lost job. A
// chunk of a job's tasks has two forms: the first, Chunk, and CompactChunk, which is written
// once the format gate is open.
package records
