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

// What a controller of the version before (6e04747) does with what the store holds of j-1, at each
// revision. It knows four fields of an assignment, and reads past the rest.

// previousAssignment is an assignment as the version before reads it.
type previousAssignment struct {
	Job            wire.Job `msgpack:"job"`
	AssignedAt     int64    `msgpack:"at"`
	MaxAllocations int      `msgpack:"tasks"`
	StopRequested  bool     `msgpack:"stop"`
}

// taskProgress is what records say of a job's tasks: the last attempt of each, and doneAttempt if it is done.
type taskProgress map[int]int

const doneAttempt = 1 << 30

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

// previousReleaseView is the store at one revision.
type previousReleaseView struct {
	assignment    *previousAssignment
	leader, owner map[int]records.CompactChunk // records of j-1, by chunk
	shard         shard.Record
}

func (v *previousReleaseView) apply(t *testing.T, event wire.Event) {
	t.Helper()
	key := event.Put + event.Delete
	_, id, index, ofOwner := shard.ParseAllocationKey(key)
	side := v.owner
	if job, chunk, _, ok := keys.ParseChunk(key); ok && strings.HasPrefix(key, keys.ChunkPrefix) {
		id, index, ofOwner, side = job, chunk, true, v.leader
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
	case !ofOwner || id != "j-1":
	case event.Delete != "":
		delete(side, index)
	default:
		var record records.CompactChunk
		err = wire.Unmarshal(event.Value, &record)
		side[index] = record
	}
	if err != nil {
		t.Fatal(err)
	}
}

func mergeProgress(chunks ...map[int]records.CompactChunk) taskProgress {
	all := taskProgress{}
	for _, side := range chunks {
		for _, record := range side {
			all.add(record)
		}
	}
	return all
}

// placeable reports whether its owner places tasks of the job on the shard's machines, if there is one.
func (v *previousReleaseView) placeable() bool {
	machineType := &cluster.MachineType{MachineType: wire.MachineType{Name: "m", CPUs: 16, MemoryGB: 64}}
	owned := shard.Entry{Record: v.shard}.HasOwner()
	return v.assignment != nil && owned && scheduler.Allowed(&v.assignment.Job, machineType, "b", false)
}

// violation is what a controller of the version before would do wrong with the job; "": nothing.
func (v *previousReleaseView) violation() string {
	all := mergeProgress(v.leader, v.owner)
	if v.assignment == nil {
		if got := mergeProgress(v.leader); !maps.Equal(got, all) {
			return fmt.Sprintf("its leader goes on from %v, stored are %v", got, all)
		}
		return ""
	}
	if v.assignment.Job.Tasks < 1 {
		return "its owner deletes the records of a job that it does not know, and its leader loses the job"
	}
	if got := mergeProgress(v.owner); v.placeable() && !maps.Equal(got, all) {
		return fmt.Sprintf("its owner goes on from %v, stored are %v", got, all)
	}
	taken := maps.Clone(v.owner)
	maps.Copy(taken, v.leader) // it takes the leader's record of a chunk for what was taken back
	if got := mergeProgress(taken); !maps.Equal(got, all) {
		return fmt.Sprintf("its leader takes back %v, stored are %v", got, all)
	}
	return ""
}

// checkRevisions shows the version before each revision of the store, and says whether its owner may have
// placed the job at any.
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
		if fault := view.violation(); last && fault != "" {
			s.t.Errorf("revision %d: %s", uint64(event.Version), fault)
		}
	}
	return placeable
}

// copyRecords has the owner store all that the leader's records of j-1 hold, and say so.
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

// reportCopied has the owner say that its records of j-1 hold all, as of the assignment in the store.
func (s *handoverEnv) reportCopied() {
	s.t.Helper()
	_, version := s.assignment()
	s.sendUpdate(shard.ShardUpdate{CopiedJobs: []shard.CopiedJob{{Job: "j-1", Version: version}}})
}

// waitHandedOver waits until only the owner has records of j-1, and may place it.
func (s *handoverEnv) waitHandedOver() {
	s.t.Helper()
	s.waitUntil("the job is handed over", func() bool {
		assignment, version := s.assignment()
		return version > 0 && assignment.Continued == nil && assignment.Transfer == nil
	})
	if left := s.keys(keys.ChunkPrefixFor("j-1")); len(left) > 0 {
		s.t.Errorf("handed over, and the leader has %v", left)
	}
}

// recordShardProgress has tasks 1 and 3 done in the shard, beside what was known of the tasks before.
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

// reclaimEast has the owner give the shard back, and waits until the leader has all of it.
func (s *handoverEnv) reclaimEast() {
	s.t.Helper()
	s.releaseEast()
	s.waitUntil("the shard is gone", func() bool { return len(s.keys(shard.RecordPrefix)) == 0 })
}

// A controller of the version before that is started at any moment while a job goes to a shard, runs
// there and comes back, or is in a shard that is taken back, begins done tasks anew, uses attempt
// numbers twice, deletes records or loses the job. Rolled back at any of these steps, it must not.
func TestPreviousReleaseLosesNothingAtAnyHandoverRevision(t *testing.T) {
	ways := map[string]func(site *handoverEnv){
		"recalled": func(site *handoverEnv) {
			site.recall()
			site.release()
		},
		"shard taken back": (*handoverEnv).reclaimEast,
	}
	for name, comeBack := range ways {
		t.Run(name, func(t *testing.T) {
			runHandover(t, func(site *handoverEnv) {
				site.assignStartedJob()
				site.copyRecords()
				site.waitHandedOver()
				site.recordShardProgress()
				comeBack(site)
				site.waitReturned()
				site.expectRestored()
				if !site.checkRevisions() {
					t.Error("its owner may place the job at no revision")
				}
			})
		})
	}
}

// The same where a step of the handover fails for a while, and the next leader or the shard's return
// to the leader comes between.
func TestHandoverCompletesAfterFailedStepAndInterruption(t *testing.T) {
	interruptions := map[string]func(site *handoverEnv){
		"nothing":          func(*handoverEnv) {},
		"next leader":      (*handoverEnv).failOver,
		"shard taken back": (*handoverEnv).releaseEast,
		"recall": func(site *handoverEnv) {
			site.sendUpdate(shard.ShardUpdate{WaitingJobs: []string{"j-1"}})
			site.sleep(2 * micro.Second)
			if assigned := site.leader.assignedJobs["j-1"]; assigned.recordsCopied && assigned.assignment.RecallRequested {
				site.t.Error("recalled while the leader's records are being deleted")
			}
			site.release()
			site.sleep(2 * micro.Second)
		},
	}
	for name, interrupt := range interruptions {
		for _, failing := range []string{"-" + keys.ChunkPrefix, shard.AssignmentPrefix} {
			t.Run(name+", "+failing, func(t *testing.T) {
				runHandover(t, func(site *handoverEnv) {
					site.assignStartedJob()
					site.setFault(refuse(failing))
					site.copyRecords()
					site.sleep(2 * micro.Second)
					interrupt(site)
					site.setFault(nil)
					site.sleep(2 * micro.Second)
					if _, version := site.assignment(); version > 0 {
						site.reportCopied()
						site.waitHandedOver()
						site.recordShardProgress()
						site.recall()
						site.release()
						site.waitReturned()
						site.expectRestored()
					}
					site.waitReturned()
					site.checkRevisions()
				})
			})
		}
	}
}

// The owner's word counts before it has read the assignment that it copies records for: the leader's
// are deleted, and nobody has them.
func TestLeaderKeepsItsRecordsUntilOwnerHasCopiedThem(t *testing.T) {
	runHandover(t, func(site *handoverEnv) {
		site.assignStartedJob()
		_, version := site.assignment()
		site.sendUpdate(shard.ShardUpdate{CopiedJobs: []shard.CopiedJob{{Job: "j-1", Version: version - 1}}})
		site.sleep(5 * micro.Second)
		if left := site.keys(keys.ChunkPrefixFor("j-1")); len(left) != 2 {
			t.Errorf("the leader has %v", left)
		}
		site.expectDemands(0)
		site.failOver()
		site.sleep(5 * micro.Second)
		if assignment, _ := site.assignment(); !assignment.InTransfer() {
			t.Error("the next leader lets the owner place it")
		}
		site.copyRecords()
		site.waitHandedOver()
		site.expectDemands(1)
	})
}

// expectDemands has the owner ask for capacity for j-1, and checks whether the leader scales out for it.
func (s *handoverEnv) expectDemands(want int) {
	s.t.Helper()
	s.sendUpdate(shard.ShardUpdate{Demand: []shard.Demand{{Job: "j-1", Tasks: 3}}})
	s.runOnLoop(func() {
		if got := s.leader.ShardDemands(); len(got) != want {
			s.t.Errorf("demand of %d jobs, want %d", len(got), want)
		}
	})
}

// A site that was upgraded has assignments in the form of the version before: their jobs go on, and the
// leader's records go once the owner's hold all.
func TestPreviousReleaseAssignmentIsConvertedToCurrentForm(t *testing.T) {
	runHandover(t, func(site *handoverEnv) {
		site.assignStartedJob()
		assignment, _ := site.assignment()
		job := assignment.Spec()
		assignment.Continued = &shard.ContinuedJob{Job: job, Revision: assignment.Transfer.Revision}
		assignment.Job, assignment.Transfer = wire.Job{}, nil
		site.put(shard.AssignmentKey("east", "j-1"), assignment)
		site.failOver()
		since := len(site.sent())
		site.setFault(refuse("-" + keys.ChunkPrefix))
		site.copyRecords()
		site.waitUntil("the owner needs the leader's records no more", func() bool {
			assignment, _ := site.assignment()
			return assignment.RecordsCopied()
		})
		site.failOver() // the owner says no more that it has copied them
		site.setFault(nil)
		site.waitHandedOver()
		order := []string{shard.AssignmentPrefix, "-" + keys.ChunkPrefix}
		if got := site.firstChanges(since, order...); !slices.Equal(got, order) {
			t.Errorf("%v: while the leader's records go, the assignment must not ask for them", got)
		}
		site.recordShardProgress()
		site.failOver()
		site.reclaimEast()
		site.waitReturned()
		site.expectRestored()
	})
}

// The owner's records are taken, and deleted, before it is stored that the job changes hands: an owner of
// the version before begins done tasks anew.
func TestRecalledJobIsMergedOnlyAfterItsTransferIsStored(t *testing.T) {
	runHandover(t, func(site *handoverEnv) {
		site.assignStartedJob()
		site.copyRecords()
		site.waitHandedOver()
		site.recall()
		site.failWrites(shard.AssignmentPrefix, fake.CommitFault{Refused: true})
		site.release()
		site.sleep(10 * micro.Second)
		if recall := site.leader.assignedJobs["j-1"].recall; recall == nil || recall.merged {
			t.Errorf("%+v", recall)
		}
		site.setFault(nil)
		site.waitReturned()
	})
}

// A leader of the version before writes the assignment of a job that changes hands anew: the next
// owner cannot read its zone, and it comes back.
func TestJobReturnsAfterPreviousReleaseRewroteItsTransferAssignment(t *testing.T) {
	runHandover(t, func(site *handoverEnv) {
		site.assignStartedJob()
		item, err := site.store.Get(t.Context(), store.Routine, shard.AssignmentKey("east", "j-1"))
		if err != nil {
			t.Fatal(err)
		}
		var earlier previousAssignment
		if err := wire.Unmarshal(item.Value, &earlier); err != nil {
			t.Fatal(err)
		}
		site.put(item.Key, earlier)
		site.failOver()
		if assignment, _ := site.assignment(); !assignment.InTransfer() || assignment.ReadsLeaderRecords() {
			t.Fatalf("%+v", assignment)
		}
		site.recall()
		site.release()
		site.waitReturned()
		if job := site.job(); job.DoneTasks != 1 || job.Spec.Zone != nil || job.Tasks[2].Attempt != 1 {
			t.Errorf("%d done, zone %v, task 2 at attempt %d", job.DoneTasks, job.Spec.Zone, job.Tasks[2].Attempt)
		}
	})
}
