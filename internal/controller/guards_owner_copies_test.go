package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// Tests of the record copy: a shard owner copies the leader's task records of a job that is handed over to it.

// transferAssignment returns the assignment of j-1 in transfer from the leader to the shard. The leader's task
// records reach up to the given revision.
func transferAssignment(revision uint64) shard.Assignment {
	assignment := shard.NewAssignment(handoverJob(), revision, 1)
	assignment.MaxAllocations = 6
	return assignment
}

// expectCopied checks under which assignment version the owner reports the leader's records of j-1 as copied
// (0: not reported), and whether it reports the job as waiting, which makes the leader recall it.
func (o *handoverOwner) expectCopied(version uint64, waiting bool) {
	o.t.Helper()
	var want []shard.CopiedJob
	if version > 0 {
		want = append(want, shard.CopiedJob{Job: "j-1", Version: version})
	}
	update := o.buildShardUpdate(o.node.Now())
	if fmt.Sprint(update.CopiedJobs) != fmt.Sprint(want) || len(update.WaitingJobs) == 1 != waiting {
		o.t.Errorf("copied jobs %v, want %v; waiting jobs %v", update.CopiedJobs, want, update.WaitingJobs)
	}
}

// Guards against an owner that allocates tasks of a handed-over job while the leader's records still exist: a
// controller of the previous release would treat those as newer than the owner's. Also guards against an owner
// that reports the records as copied before all of its own are stored.
func TestOwnerAllocatesHandedOverJobOnlyAfterTransferEnds(t *testing.T) {
	for name, load := range assignmentLoaders {
		t.Run(name, func(t *testing.T) {
			o := newHandoverOwner(t)
			o.putChunk(0, []int{0}, [2]int{1, 7})
			revision := o.putChunk(1, []int{3}, [2]int{2, 3})
			assignment := transferAssignment(revision)
			load(o, assignment)
			o.expectAllocated(o.schedulePendingTasks(), nil)
			if got := len(o.dirtyTaskRecords()); got != 2 {
				t.Errorf("%d task records are dirty, want 2", got)
			}
			o.expectCopied(0, false)
			o.markAllPersisted()
			o.expectCopied(o.assignments["j-1"].Version(), false)
			assignment.MaxAllocations = 5 // the leader rewrites the assignment
			o.expectAllocated(o.schedulePendingTasks(), nil)
			version := o.put(handoverAssignmentKey, assignment)
			o.applyAssignmentEvents()
			o.expectAllocated(o.schedulePendingTasks(), nil)
			o.expectCopied(version, false)
			o.put(handoverAssignmentKey, assignment.EndTransfer())
			o.applyAssignmentEvents()
			o.expectAllocated(o.schedulePendingTasks(), map[int]uint64{1: 8, 2: 4, 4: 1, 5: 1})
			o.expectCopied(0, false)
		})
	}
}

// Guards against an owner that counts a chunk record stored by an earlier owner as a copy, although it lacks task
// state that the leader's record of the chunk holds.
func TestOwnerCopiesTaskStateMissingFromItsStoredRecords(t *testing.T) {
	o := newHandoverOwner(t)
	o.putChunk(0, []int{0}, [2]int{1, 7})
	revision := o.putChunk(1, nil, [2]int{2, 3})
	o.put(shard.AllocationKey("gpus", "j-1", 0), tasksRecord([]int{0}, [][2]int{{1, 7}}))
	o.put(shard.AllocationKey("gpus", "j-1", 1), tasksRecord(nil, [][2]int{{2, 2}}))
	o.put(handoverAssignmentKey, transferAssignment(revision))
	o.recover()
	if got, want := fmt.Sprint(o.dirtyTaskRecords()), fmt.Sprint(
		[]string{shard.AllocationKey("gpus", "j-1", 1)},
	); got != want {
		t.Errorf("dirty task records %v, want %v", got, want)
	}
	o.expectCopied(0, false)
}

// Guards against a job that neither owner serves because its handover does not complete: the shard owner cannot
// read all of the leader's records, or the leader does not end the transfer. The shard owner must report the job
// as waiting, so that the leader recalls it.
func TestJobWithIncompleteHandoverIsReportedForRecall(t *testing.T) {
	rewritten := transferAssignment(7)
	rewritten.Transfer = nil // by a leader of the previous release
	assignments := map[string]shard.Assignment{"records missing": transferAssignment(50), "rewritten": rewritten}
	for cause, assignment := range assignments {
		for name, load := range assignmentLoaders {
			t.Run(cause+", "+name, func(t *testing.T) {
				o := newHandoverOwner(t)
				load(o, assignment)
				o.expectAllocated(o.schedulePendingTasks(), nil)
				o.expectCopied(0, true)
			})
		}
	}
	t.Run("transfer not ended in time", func(t *testing.T) {
		o := newHandoverOwner(t)
		o.put(handoverAssignmentKey, transferAssignment(o.putChunk(0, []int{0})))
		o.recover()
		o.markAllPersisted()
		version := o.assignments["j-1"].Version()
		o.expectCopied(version, false)
		for _, progress := range o.copies {
			progress.transferStartedAt -= handBackTimeout + micro.Second
		}
		o.expectCopied(version, true)
	})
}

// Guards against a job that is recalled or cancelled while it is in transfer, and is allocated all the same or
// never released.
func TestJobInTransferIsReleasedOrStoppedOnRequest(t *testing.T) {
	for _, mark := range []string{"recalled", "cancelled"} {
		t.Run(mark, func(t *testing.T) {
			o := newHandoverOwner(t)
			assignment := transferAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
			o.put(handoverAssignmentKey, assignment)
			o.recover()
			o.markAllPersisted()
			assignment.RecallRequested, assignment.StopRequested = mark == "recalled", mark == "cancelled"
			version := o.put(handoverAssignmentKey, assignment)
			o.applyAssignmentEvents()
			o.expectCopied(0, false)
			update := o.buildShardUpdate(o.node.Now())
			if len(update.StoppingJobs) == 1 != assignment.StopRequested {
				t.Errorf("stopping jobs %v", update.StoppingJobs)
			}
			if assignment.RecallRequested {
				o.expectReleased(version)
			}
			o.put(handoverAssignmentKey, assignment.EndTransfer())
			o.applyAssignmentEvents()
			o.expectAllocated(o.schedulePendingTasks(), nil)
		})
	}
}

// Guards against an owner that reports the leader's records as copied before it has stored its own, for a job that
// runs during its handover, as the previous release assigned it: the leader then deletes its records. Tasks keep
// running, so the owner's records always have changes to write, which must not delay the report.
func TestOwnerReportsRecordCopyOfHandedOverJob(t *testing.T) {
	o := newHandoverOwner(t)
	assignment := continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
	version := o.put(handoverAssignmentKey, assignment)
	o.recover()
	o.expectCopied(0, false)
	o.markAllPersisted()
	o.cluster.Jobs["j-1"].Chunks[2].MemoryVersion++ // its tasks keep running: records change
	o.expectCopied(version, false)
	want := map[int]uint64{1: 8, 2: 1, 3: 1, 4: 1, 5: 1}
	o.expectAllocated(o.schedulePendingTasks(), want)
	for _, next := range []shard.Assignment{assignment.KeepOwnerRecords(), assignment.EndTransfer()} {
		o.put(handoverAssignmentKey, next)
		o.applyAssignmentEvents()
		o.expectAllocated(o.allocatedAttempts(), want)
		o.expectCopied(0, false)
	}
	if job := o.cluster.Jobs["j-1"]; job.Spec.Tasks != 6 || job.Spec.Zone != nil || job.Spec.Kind != wire.JobArray {
		t.Errorf("spec of the job after its handover: %+v", job.Spec)
	}
}
