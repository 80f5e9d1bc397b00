package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// The tests in this file check what a controller of the previous release (6e04747) does with the stored
// records of j-1 at each revision of the store. That release knows four fields of an assignment and
// ignores the others.

// previousAssignment is an assignment as the previous release decodes it.
type previousAssignment struct {
	Job            wire.Job `msgpack:"job"`
	AssignedAt     int64    `msgpack:"at"`
	MaxAllocations int      `msgpack:"tasks"`
	StopRequested  bool     `msgpack:"stop"`
}

// taskProgress maps each task of a job to its last recorded attempt, or to doneAttempt if it is done.
type taskProgress map[int]int

const doneAttempt = 1 << 30

// add merges the progress that a record holds.
func (p taskProgress) add(record records.CompactChunk) {
	chunk, _ := record.Expand()
	for _, tasks := range chunk.Done {
		for task := tasks[0]; task <= tasks[1]; task++ {
			p[task] = doneAttempt
		}
	}
	for _, attempt := range chunk.Attempts {
		p[attempt[0]] = max(p[attempt[0]], attempt[1])
	}
}

// previousReleaseView is the content of the store at one revision, as the previous release reads it.
type previousReleaseView struct {
	assignment    *previousAssignment
	leader, owner map[int]records.CompactChunk // task records of j-1, by chunk index
	shard         shard.Record
}

// apply updates the view with a store event.
func (v *previousReleaseView) apply(t *testing.T, event wire.Event) {
	t.Helper()
	key := event.Put + event.Delete
	_, id, index, isChunk := shard.ParseAllocationKey(key)
	chunks := v.owner
	if job, chunk, _, ok := keys.ParseChunk(key); ok && strings.HasPrefix(key, keys.ChunkPrefix) {
		id, index, isChunk, chunks = job, chunk, true, v.leader
	}
	var err error
	switch {
	case strings.HasPrefix(key, shard.AssignmentPrefix):
		if v.assignment = nil; event.Put != "" {
			v.assignment = &previousAssignment{}
			err = wire.Unmarshal(event.Value, v.assignment)
		}
	case event.Put == shard.RecordKey("east"):
		err = wire.Unmarshal(event.Value, &v.shard)
	case !isChunk || id != "j-1":
	case event.Delete != "":
		delete(chunks, index)
	default:
		var record records.CompactChunk
		err = wire.Unmarshal(event.Value, &record)
		chunks[index] = record
	}
	if err != nil {
		t.Fatal(err)
	}
}

// mergeProgress returns the progress that all records together hold.
func mergeProgress(chunks ...map[int]records.CompactChunk) taskProgress {
	all := taskProgress{}
	for _, byIndex := range chunks {
		for _, record := range byIndex {
			all.add(record)
		}
	}
	return all
}

// placeable reports whether the shard has an owner that would place tasks of the job on its machines.
func (v *previousReleaseView) placeable() bool {
	machineType := &cluster.MachineType{MachineType: wire.MachineType{Name: "m", CPUs: 16, MemoryGB: 64}}
	owned := shard.Entry{Record: v.shard}.HasOwner()
	return v.assignment != nil && owned && scheduler.Allowed(&v.assignment.Job, machineType, "b", false)
}

// violation describes how a controller of the previous release would lose progress of the job or the job
// itself at this revision; "" if it would not.
func (v *previousReleaseView) violation() string {
	all := mergeProgress(v.leader, v.owner)
	if v.assignment == nil {
		if got := mergeProgress(v.leader); !maps.Equal(got, all) {
			return fmt.Sprintf("leader continues from progress %v, the store has %v", got, all)
		}
		return ""
	}
	if v.assignment.Job.Tasks < 1 {
		return "owner deletes the records of a job that it does not know, and leader loses the job"
	}
	if got := mergeProgress(v.owner); v.placeable() && !maps.Equal(got, all) {
		return fmt.Sprintf("owner continues from progress %v, the store has %v", got, all)
	}
	reclaimed := maps.Clone(v.owner)
	maps.Copy(reclaimed, v.leader) // it assumes that a leader's record of a chunk includes the owner's
	if got := mergeProgress(reclaimed); !maps.Equal(got, all) {
		return fmt.Sprintf("leader reclaims progress %v, the store has %v", got, all)
	}
	return ""
}

// checkRevisions checks that the previous release loses nothing at any revision of the store. It reports
// whether an owner of that release could place the job at any of them.
func (s *handoverEnv) checkRevisions() (placeable bool) {
	s.t.Helper()
	events, err := s.store.Watch(s.t.Context(), "", 0, micro.Second)
	if err != nil {
		s.t.Fatal(err)
	}
	view := &previousReleaseView{leader: map[int]records.CompactChunk{}, owner: map[int]records.CompactChunk{}}
	for i, event := range events.Events {
		view.apply(s.t, event)
		placeable = placeable || view.placeable()
		last := i+1 == len(events.Events) || events.Events[i+1].Version != event.Version
		if violation := view.violation(); last && violation != "" {
			s.t.Errorf("revision %d: %s", uint64(event.Version), violation)
		}
	}
	return placeable
}

// copyRecords copies the leader's records of j-1 to records of the owner, and reports that they are
// copied.
func (s *handoverEnv) copyRecords() {
	s.t.Helper()
	for _, item := range s.items(keys.ChunkPrefixFor("j-1")) {
		_, index, _, _ := keys.ParseChunk(item.Key)
		var record cluster.CompactRecord
		if err := wire.Unmarshal(item.Value, &record); err != nil {
			s.t.Fatal(err)
		}
		s.put(shard.AllocationKey("east", "j-1", index), record)
	}
	s.reportCopied()
}

// reportCopied reports that the owner has copied all records of j-1, with the version of the stored
// assignment.
func (s *handoverEnv) reportCopied() {
	s.t.Helper()
	_, version := s.assignment()
	s.sendUpdate(shard.ShardUpdate{CopiedJobs: []shard.CopiedJob{{Job: "j-1", Version: version}}})
}

// waitHandedOver waits until the handover of j-1 is complete, so that the owner may place it, and checks
// that the leader has no records of it.
func (s *handoverEnv) waitHandedOver() {
	s.t.Helper()
	s.waitUntil("handover is complete", func() bool {
		assignment, version := s.assignment()
		return version > 0 && assignment.Continued == nil && assignment.Transfer == nil
	})
	if left := s.keys(keys.ChunkPrefixFor("j-1")); len(left) > 0 {
		s.t.Errorf("the job was handed over, and the leader still has records %v", left)
	}
}

// recordShardProgress writes owner's records of j-1 in which tasks 1 and 3 are done in addition to the
// progress before the handover.
func (s *handoverEnv) recordShardProgress() {
	s.t.Helper()
	for index, done := range [][2]int{{0, 1}, {3, 3}} {
		record := cluster.ChunkRecord{Done: [][2]int{done}, Attempts: [][2]int{}}
		if index == 1 {
			record.Attempts = [][2]int{{2, 5}}
		}
		s.put(shard.AllocationKey("east", "j-1", index), record.Compact())
	}
}

// reclaimEast releases the shard "east" and waits until the leader has reclaimed and deleted it.
func (s *handoverEnv) reclaimEast() {
	s.t.Helper()
	s.releaseEast()
	s.waitUntil("shard is deleted", func() bool { return len(s.keys(shard.RecordPrefix)) == 0 })
}

// A controller may be rolled back to the previous release at any step while a job is handed over to a
// shard, runs there and is recalled, or its shard is reclaimed. At none of these steps may it repeat done
// tasks, reuse attempt numbers, delete records or lose the job.
func TestPreviousReleaseLosesNothingAtAnyHandoverRevision(t *testing.T) {
	returns := map[string]func(env *handoverEnv){
		"recalled": func(env *handoverEnv) {
			env.recall()
			env.release()
		},
		"shard reclaimed": (*handoverEnv).reclaimEast,
	}
	for name, returnJob := range returns {
		t.Run(name, func(t *testing.T) {
			runHandover(t, func(env *handoverEnv) {
				env.assignStartedJob()
				env.copyRecords()
				env.waitHandedOver()
				env.recordShardProgress()
				returnJob(env)
				env.waitReturned()
				env.expectRestored()
				if !env.checkRevisions() {
					t.Error("the owner could not place the job at any revision")
				}
			})
		})
	}
}

// A step of the handover fails for a while, during which another leader takes over, the shard is released
// or the job is reported as waiting. The handover must then complete, and the previous release must not
// lose anything at any revision.
func TestHandoverCompletesAfterFailedStepAndInterruption(t *testing.T) {
	interruptions := map[string]func(env *handoverEnv){
		"no interruption": func(*handoverEnv) {},
		"next leader":     (*handoverEnv).startNextTerm,
		"shard released":  (*handoverEnv).releaseEast,
		"recall": func(env *handoverEnv) {
			env.sendUpdate(shard.ShardUpdate{WaitingJobs: []string{"j-1"}})
			env.sleep(2 * micro.Second)
			if assigned := env.leader.assignedJobs["j-1"]; assigned.recordsCopied && assigned.assignment.RecallRequested {
				env.t.Error("job was recalled while the leader's records are being deleted")
			}
			env.release()
			env.sleep(2 * micro.Second)
		},
	}
	for name, interrupt := range interruptions {
		for _, failing := range []string{"-" + keys.ChunkPrefix, shard.AssignmentPrefix} {
			t.Run(name+", "+failing, func(t *testing.T) {
				runHandover(t, func(env *handoverEnv) {
					env.assignStartedJob()
					env.setFault(refuse(failing))
					env.copyRecords()
					env.sleep(2 * micro.Second)
					interrupt(env)
					env.setFault(nil)
					env.sleep(2 * micro.Second)
					if _, version := env.assignment(); version > 0 {
						env.reportCopied()
						env.waitHandedOver()
						env.recordShardProgress()
						env.recall()
						env.release()
						env.waitReturned()
						env.expectRestored()
					}
					env.waitReturned()
					env.checkRevisions()
				})
			})
		}
	}
}

// A report of copied records must be ignored unless the owner had read the current version of the
// assignment. Otherwise the leader's records are deleted although no owner has copied them.
func TestLeaderKeepsItsRecordsUntilOwnerHasCopiedThem(t *testing.T) {
	runHandover(t, func(env *handoverEnv) {
		env.assignStartedJob()
		_, version := env.assignment()
		env.sendUpdate(shard.ShardUpdate{CopiedJobs: []shard.CopiedJob{{Job: "j-1", Version: version - 1}}})
		env.sleep(5 * micro.Second)
		if left := env.keys(keys.ChunkPrefixFor("j-1")); len(left) != 2 {
			t.Errorf("the leader has records %v, want 2", left)
		}
		env.expectDemands(0)
		env.startNextTerm()
		env.sleep(5 * micro.Second)
		if assignment, _ := env.assignment(); !assignment.InTransfer() {
			t.Error("the next leader ended the transfer, so that the owner may place the job")
		}
		env.copyRecords()
		env.waitHandedOver()
		env.expectDemands(1)
	})
}

// expectDemands reports demand for j-1 and checks how many demands the leader passes to the autoscaler.
func (s *handoverEnv) expectDemands(want int) {
	s.t.Helper()
	s.sendUpdate(shard.ShardUpdate{Demand: []shard.Demand{{Job: "j-1", Tasks: 3}}})
	s.runOnLoop(func() {
		if got := s.leader.ShardDemands(); len(got) != want {
			s.t.Errorf("%d shard demands, want %d", len(got), want)
		}
	})
}

// After an upgrade the store has assignments in the form of the previous release. Their jobs must
// continue, and the leader's records must be deleted once the owner has copied all of them.
func TestPreviousReleaseAssignmentIsConvertedToCurrentForm(t *testing.T) {
	runHandover(t, func(env *handoverEnv) {
		env.assignStartedJob()
		assignment, _ := env.assignment()
		job := assignment.Spec()
		assignment.Continued = &shard.ContinuedJob{Job: job, Revision: assignment.Transfer.Revision}
		assignment.Job, assignment.Transfer = wire.Job{}, nil
		env.put(shard.AssignmentKey("east", "j-1"), assignment)
		env.startNextTerm()
		since := len(env.sent())
		env.setFault(refuse("-" + keys.ChunkPrefix))
		env.copyRecords()
		env.waitUntil("owner's records are authoritative", func() bool {
			assignment, _ := env.assignment()
			return assignment.RecordsCopied()
		})
		env.startNextTerm() // the owner does not report the copied records again
		env.setFault(nil)
		env.waitHandedOver()
		order := []string{shard.AssignmentPrefix, "-" + keys.ChunkPrefix}
		if got := env.firstChanges(since, order...); !slices.Equal(got, order) {
			t.Errorf("changes %v: the assignment must not refer to the leader's records when these are deleted", got)
		}
		env.recordShardProgress()
		env.startNextTerm()
		env.reclaimEast()
		env.waitReturned()
		env.expectRestored()
	})
}

// The owner's records may be merged and deleted only after the assignment in transfer is stored.
// Otherwise an owner of the previous release repeats done tasks.
func TestRecalledJobIsMergedOnlyAfterItsTransferIsStored(t *testing.T) {
	runHandover(t, func(env *handoverEnv) {
		env.assignStartedJob()
		env.copyRecords()
		env.waitHandedOver()
		env.recall()
		env.failWrites(shard.AssignmentPrefix, fake.CommitFault{Refused: true})
		env.release()
		env.sleep(10 * micro.Second)
		if recall := env.leader.assignedJobs["j-1"].recall; recall == nil || recall.merged {
			t.Errorf("recall %+v, want released and not merged", recall)
		}
		env.setFault(nil)
		env.waitReturned()
	})
}

// A leader of the previous release rewrites the assignment of a job in transfer, and so drops the job's
// own zone, which the next owner then cannot read. The job must still return to the leader.
func TestJobReturnsAfterPreviousReleaseRewroteItsTransferAssignment(t *testing.T) {
	runHandover(t, func(env *handoverEnv) {
		env.assignStartedJob()
		item, err := env.store.Get(t.Context(), store.Routine, shard.AssignmentKey("east", "j-1"))
		if err != nil {
			t.Fatal(err)
		}
		var earlier previousAssignment
		if err := wire.Unmarshal(item.Value, &earlier); err != nil {
			t.Fatal(err)
		}
		env.put(item.Key, earlier)
		env.startNextTerm()
		if assignment, _ := env.assignment(); !assignment.InTransfer() || assignment.ReadsLeaderRecords() {
			t.Fatalf("assignment %+v, want in transfer and without leader's records", assignment)
		}
		env.recall()
		env.release()
		env.waitReturned()
		if job := env.job(); job.DoneTasks != 1 || job.Spec.Zone != nil || job.Tasks[2].Attempt != 1 {
			t.Errorf("%d done, zone %v, task 2 at attempt %d", job.DoneTasks, job.Spec.Zone, job.Tasks[2].Attempt)
		}
	})
}
