package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// Guards of a shard's owner: how it takes the place of the leader's records of a job that changes hands.

// transferAssignment is the assignment of j-1, which goes to the shard with records of the leader's.
func transferAssignment(revision uint64) shard.Assignment {
	assignment := shard.NewAssignment(handoverJob(), revision, 1)
	assignment.MaxAllocations = 6
	return assignment
}

// expectCopied checks under which version the owner says that it has copied the leader's records; 0: it
// does not. It checks also whether it says that it waits for the job in vain.
func (o *handoverOwner) expectCopied(version uint64, inVain bool) {
	o.t.Helper()
	var want []shard.CopiedJob
	if version > 0 {
		want = append(want, shard.CopiedJob{Job: "j-1", Version: version})
	}
	update := o.buildShardUpdate(o.node.Now())
	if fmt.Sprint(update.CopiedJobs) != fmt.Sprint(want) || len(update.WaitingJobs) == 1 != inVain {
		o.t.Errorf("copied %v, want %v; waiting %v", update.CopiedJobs, want, update.WaitingJobs)
	}
}

// An owner places a job before the leader's records are gone: a controller of the version before takes
// these for later ones than the owner's. Or it says that it has copied them before all is stored.
func TestOwnerPlacesAJobOnceItAloneHasRecordsOfIt(t *testing.T) {
	for name, load := range waysToLoad {
		t.Run(name, func(t *testing.T) {
			o := newHandoverOwner(t)
			o.putChunk(0, []int{0}, [2]int{1, 7})
			revision := o.putChunk(1, []int{3}, [2]int{2, 3})
			assignment := transferAssignment(revision)
			load(o, assignment)
			o.expectAllocated(o.place(), nil)
			if got := len(o.unwritten()); got != 2 {
				t.Errorf("%d records are to be written, want 2", got)
			}
			o.expectCopied(0, false)
			o.persist()
			o.expectCopied(o.assignments["j-1"].Version(), false)
			assignment.MaxAllocations = 5 // the leader writes it anew
			o.expectAllocated(o.place(), nil)
			version := o.put(assignmentKeyOfJob, assignment)
			o.follow()
			o.expectAllocated(o.place(), nil)
			o.expectCopied(version, false)
			o.put(assignmentKeyOfJob, assignment.EndTransfer())
			o.follow()
			o.expectAllocated(o.place(), map[int]uint64{1: 8, 2: 4, 4: 1, 5: 1})
			o.expectCopied(0, false)
		})
	}
}

// A record that an earlier owner stored of a chunk lacks what the leader's holds, and counts as a copy.
func TestOwnerCopiesWhatItsStoredRecordsLack(t *testing.T) {
	o := newHandoverOwner(t)
	o.putChunk(0, []int{0}, [2]int{1, 7})
	revision := o.putChunk(1, nil, [2]int{2, 3})
	o.put(shard.AllocationKey("gpus", "j-1", 0), tasksRecord([]int{0}, [][2]int{{1, 7}}))
	o.put(shard.AllocationKey("gpus", "j-1", 1), tasksRecord(nil, [][2]int{{2, 2}}))
	o.put(assignmentKeyOfJob, transferAssignment(revision))
	o.recover()
	if got, want := fmt.Sprint(o.unwritten()), fmt.Sprint([]string{shard.AllocationKey("gpus", "j-1", 1)}); got != want {
		t.Errorf("to be written: %v, want %v", got, want)
	}
	o.expectCopied(0, false)
}

// A job that the owner cannot take over, or that the leader does not hand over, is served by nobody.
func TestJobWhoseHandoverDoesNotEndGoesBack(t *testing.T) {
	rewritten := transferAssignment(7)
	rewritten.Transfer = nil // by a leader of the version before
	assignments := map[string]shard.Assignment{"records are missing": transferAssignment(50), "rewritten": rewritten}
	for cause, assignment := range assignments {
		for name, load := range waysToLoad {
			t.Run(cause+", "+name, func(t *testing.T) {
				o := newHandoverOwner(t)
				load(o, assignment)
				o.expectAllocated(o.place(), nil)
				o.expectCopied(0, true)
			})
		}
	}
	t.Run("not ended", func(t *testing.T) {
		o := newHandoverOwner(t)
		o.put(assignmentKeyOfJob, transferAssignment(o.putChunk(0, []int{0})))
		o.recover()
		o.persist()
		version := o.assignments["j-1"].Version()
		o.expectCopied(version, false)
		for _, progress := range o.copies {
			progress.transferStartedAt -= handBackTimeout + micro.Second
		}
		o.expectCopied(version, true)
	})
}

// A job that is recalled or cancelled while it changes hands is placed, or never let go.
func TestJobThatChangesHandsIsRecalledAndCancelledAsAnyOther(t *testing.T) {
	for _, mark := range []string{"recalled", "cancelled"} {
		t.Run(mark, func(t *testing.T) {
			o := newHandoverOwner(t)
			assignment := transferAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
			o.put(assignmentKeyOfJob, assignment)
			o.recover()
			o.persist()
			assignment.RecallRequested, assignment.StopRequested = mark == "recalled", mark == "cancelled"
			version := o.put(assignmentKeyOfJob, assignment)
			o.follow()
			o.expectCopied(0, false)
			update := o.buildShardUpdate(o.node.Now())
			if len(update.StoppingJobs) == 1 != assignment.StopRequested {
				t.Errorf("stopping %v", update.StoppingJobs)
			}
			if assignment.RecallRequested {
				o.expectReleased(version)
			}
			o.put(assignmentKeyOfJob, assignment.EndTransfer())
			o.follow()
			o.expectAllocated(o.place(), nil)
		})
	}
}

// An owner has the leader delete its records of a job that runs on, as the version before stored it, before
// it has copied them.
func TestOwnerTellsOfCopiesOfAJobThatGoesOn(t *testing.T) {
	o := newHandoverOwner(t)
	assignment := continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
	version := o.put(assignmentKeyOfJob, assignment)
	o.recover()
	o.expectCopied(0, false)
	o.persist()
	o.cluster.Jobs["j-1"].Chunks[2].MemoryVersion++ // its tasks go on, and there is always something to write
	o.expectCopied(version, false)
	want := map[int]uint64{1: 8, 2: 1, 3: 1, 4: 1, 5: 1}
	o.expectAllocated(o.place(), want)
	for _, next := range []shard.Assignment{assignment.KeepOwnerRecords(), assignment.EndTransfer()} {
		o.put(assignmentKeyOfJob, next)
		o.follow()
		o.expectAllocated(o.allocated(), want)
		o.expectCopied(0, false)
	}
	if job := o.cluster.Jobs["j-1"]; job.Spec.Tasks != 6 || job.Spec.Zone != nil || job.Spec.Kind != wire.JobArray {
		t.Errorf("%+v", job.Spec)
	}
}
