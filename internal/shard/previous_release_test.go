package shard_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// previousReleaseAssignment is the stored value of an assignment as the previous release reads and writes it.
type previousReleaseAssignment struct {
	Job            wire.Job `msgpack:"job"`
	AssignedAt     int64    `msgpack:"at"`
	MaxAllocations int      `msgpack:"tasks"`
	StopRequested  bool     `msgpack:"stop"`
}

// A leader of the previous release that cancels a job which was handed over rewrites the assignment with only the
// fields that it knows. The owner then found neither the job nor that it is to be stopped.
func TestAssignmentRewrittenByPreviousReleaseKeepsItsJob(t *testing.T) {
	assignment := shard.NewAssignment(wire.Job{ID: "j-1", Tasks: 4}, 7, 0)
	var earlier previousReleaseAssignment
	if err := wire.Unmarshal(wire.MustMarshal(assignment), &earlier); err != nil {
		t.Fatal(err)
	}
	earlier.StopRequested = true
	var read shard.Assignment
	if err := wire.Unmarshal(wire.MustMarshal(earlier), &read); err != nil {
		t.Fatal(err)
	}
	if read.Spec().Tasks < 1 {
		t.Error("the rewritten assignment has no job: an owner ignores it, and the cancelled job keeps running")
	}
}
