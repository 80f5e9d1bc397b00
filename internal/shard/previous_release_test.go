package shard_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// previousReleaseAssignment is the value of an assignment as the version before reads and writes it.
type previousReleaseAssignment struct {
	Job            wire.Job `msgpack:"job"`
	AssignedAt     int64    `msgpack:"at"`
	MaxAllocations int      `msgpack:"tasks"`
	StopRequested  bool     `msgpack:"stop"`
}

// A leader of the version before cancels a job that goes on in a shard: it writes the assignment
// anew, and the owner finds neither the job nor that it is to be stopped.
func TestAssignmentThatTheEarlierVersionRewritesKeepsItsJob(t *testing.T) {
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
		t.Error("an owner takes it for an assignment that it does not understand: the cancelled job runs on")
	}
}
