package coordinator

import (
	"slices"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// changesKey reports whether a transaction puts, or with a minus deletes, a key of a prefix.
func changesKey(transaction wire.Transaction, prefix string) bool {
	return slices.ContainsFunc(transaction.Then, func(change wire.Change) bool {
		if deleted, ok := strings.CutPrefix(prefix, "-"); ok {
			return strings.HasPrefix(change.Delete, deleted)
		}
		return strings.HasPrefix(change.Put, prefix)
	})
}

// failWrites has a fault meet the transactions that change a key of a prefix.
func (s *handoverEnv) failWrites(prefix string, fault fake.CommitFault) {
	s.setFault(func(transaction wire.Transaction) fake.CommitFault {
		if changesKey(transaction, prefix) {
			return fault
		}
		return fake.CommitFault{}
	})
}

// latestChunkVersion is the latest version of the leader's records of j-1.
func (s *handoverEnv) latestChunkVersion() (latest uint64) {
	for _, item := range s.items(keys.ChunkPrefixFor("j-1")) {
		latest = max(latest, uint64(item.Version))
	}
	return latest
}

// offerCapacity has the owner tell of capacity for so long, every half second.
func (s *handoverEnv) offerCapacity(span micro.Time) {
	for end := s.now() + span; s.now() < end; s.sleep(500 * micro.Millisecond) {
		s.reportCapacity()
	}
}

// An assignment that names a revision before all is stored makes the owner do again what is done.
func TestStartedJobIsAssignedOnlyAfterItsRecordsAreStored(t *testing.T) {
	faults := map[string]fake.CommitFault{
		"refused":               {Refused: true},
		"no answer, never":      {Unanswered: true, ExecuteAfter: 1000 * micro.Minute},
		"no answer, but stored": {Unanswered: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runHandover(t, func(site *handoverEnv) {
				site.failWrites(keys.ChunkPrefix, fault)
				site.submit()
				site.runTask(0, wire.CauseDone)
				site.runTask(2, wire.CauseStopped)
				site.offerCapacity(6 * micro.Second)
				if _, version := site.assignment(); version > 0 || site.job().State != cluster.Active {
					t.Fatalf("assigned at %d, state %v", version, site.job().State)
				}
				site.setFault(nil)
				site.offerCapacity(6 * micro.Second)
				assignment, version := site.assignment()
				if version == 0 || assignment.Revision() == 0 || assignment.Revision() != site.latestChunkVersion() {
					t.Errorf("assigned at %d, goes on from %d, stored %d", version, assignment.Revision(), site.latestChunkVersion())
				}
			})
		})
	}
}

// The owner's word on an earlier stay, on a job that is not recalled, or on one that is being
// cancelled, takes the job from an owner that goes on with it.
func TestReleaseIsIgnoredUnlessOwnerHasReadTheRecall(t *testing.T) {
	runHandover(t, func(site *handoverEnv) {
		site.assignStartedJob()
		site.release()
		site.expectNotReleased("it is not recalled")
		_, before := site.assignment()
		site.recall()
		site.sendUpdate(shard.ShardUpdate{ReleasedJobs: []shard.ReleasedJob{{Job: "j-1", Version: before}}})
		site.expectNotReleased("the owner has not read the recall")
		site.runOnLoop(func() { site.leader.BeginCancellation(site.job()) })
		site.sleep(2 * micro.Second)
		site.release()
		site.expectNotReleased("it is being cancelled")
	})
}

func (s *handoverEnv) expectNotReleased(why string) {
	s.t.Helper()
	s.sleep(5 * micro.Second)
	assigned := s.leader.assignedJobs["j-1"]
	if _, version := s.assignment(); assigned == nil || assigned.recall != nil || version == 0 {
		s.t.Fatalf("released, though %s", why)
	}
}

// The write that created the assignment is carried out once more, after the job came back: it
// is assigned anew, and runs at both.
func TestLateAssignmentCreationFailsAfterJobReturned(t *testing.T) {
	runHandover(t, func(site *handoverEnv) {
		held := 0
		site.setFault(func(transaction wire.Transaction) fake.CommitFault {
			if held > 0 || !changesKey(transaction, shard.AssignmentPrefix) {
				return fake.CommitFault{}
			}
			held++
			return fake.CommitFault{Unanswered: true, ExecuteAfter: micro.Minute}
		})
		site.assignStartedJob()
		shardVersion := site.version(shard.RecordKey("east"))
		site.recall()
		site.release()
		site.waitReturned()
		if site.version(shard.RecordKey("east")) <= shardVersion {
			t.Error("the shard's record is that under which the assignment was created")
		}
		site.sleep(2 * micro.Minute)
		if _, version := site.assignment(); held != 1 || version != 0 {
			t.Errorf("%d writes were held up; assigned again at %d", held, version)
		}
	})
}

// waitReturned waits until j-1 is the leader's, and nothing of it is left in the shard.
func (s *handoverEnv) waitReturned() {
	s.t.Helper()
	s.waitUntil("the job is the leader's", func() bool { return s.job().State == cluster.Active })
	if left := append(s.keys(shard.AssignmentPrefix), s.keys(shard.AllocationPrefix)...); len(left) > 0 {
		s.t.Errorf("the leader's, with %v", left)
	}
}

// What is done is lost with the owner's records, or the job begins at the leader while a late write
// may still change them.
func TestRecallStepsAreWrittenInOrder(t *testing.T) {
	runHandover(t, func(site *handoverEnv) {
		site.assignStartedJob()
		site.recordDone(0, 1)
		site.recordDone(1, 3)
		site.recall()
		since := len(site.sent())
		order := []string{
			shard.RecordKey("east"), keys.ChunkPrefix, "-" + shard.AllocationPrefix, "-" + shard.AssignmentPrefix,
		}
		site.setFault(refuse(order[0]))
		site.release()
		for i, prefix := range order {
			site.setFault(refuse(prefix))
			site.sleep(4 * micro.Second)
			if got := site.firstChanges(since, order...); !slices.Equal(got, order[:i+1]) {
				t.Errorf("while %s fails: %v", prefix, got)
			}
			if site.job().State != cluster.Assigned {
				t.Fatalf("%v while %s fails", site.job().State, prefix)
			}
			if stored := len(site.keys(shard.AllocationPrefix)); stored == 0 != (i == 3) {
				t.Errorf("%d records of the owner while %s fails", stored, prefix)
			}
		}
		site.setFault(nil)
		site.waitReturned()
		site.expectRestored()
	})
}

// refuse is a store that refuses transactions which change a key of a prefix.
func refuse(prefix string) func(wire.Transaction) fake.CommitFault {
	return func(transaction wire.Transaction) fake.CommitFault {
		return fake.CommitFault{Refused: changesKey(transaction, prefix)}
	}
}

// expectRestored checks that j-1 waits at the leader with all that was done before and in the shard.
func (s *handoverEnv) expectRestored() {
	s.t.Helper()
	job := s.job()
	done := []bool{job.Tasks[0].Done, job.Tasks[1].Done, job.Tasks[2].Done, job.Tasks[3].Done}
	if !slices.Equal(done, []bool{true, true, false, true}) || job.DoneTasks != 3 || job.Tasks[2].Attempt < 1 {
		s.t.Errorf("done %v (%d), task 2 at attempt %d", done, job.DoneTasks, job.Tasks[2].Attempt)
	}
	if !s.leader.Cluster.PendingJobs[job] || job.PendingTasks() != 1 {
		s.t.Errorf("%d tasks wait, the job waits: %v", job.PendingTasks(), s.leader.Cluster.PendingJobs[job])
	}
	if used := s.leader.Cluster.Teams["team"].UsedCPU; used != 0 {
		s.t.Errorf("%v CPUs are used", used)
	}
}

// recallSteps are how far a recall is, by the write that fails then.
func recallSteps() map[string]func(wire.Transaction) fake.CommitFault {
	late := func(after micro.Time) func(wire.Transaction) fake.CommitFault {
		return func(transaction wire.Transaction) fake.CommitFault {
			if !changesKey(transaction, "-"+shard.AssignmentPrefix) {
				return fake.CommitFault{}
			}
			return fake.CommitFault{Unanswered: true, ExecuteAfter: after}
		}
	}
	return map[string]func(wire.Transaction) fake.CommitFault{
		"before the fence":                  refuse(shard.RecordKey("east")),
		"before the records are taken":      refuse(keys.ChunkPrefix),
		"before the owner's are deleted":    refuse("-" + shard.AllocationPrefix),
		"before the assignment is deleted":  refuse("-" + shard.AssignmentPrefix),
		"the deletion has no answer":        late(0),
		"the deletion is carried out late":  late(3 * micro.Second),
		"the deletion is never carried out": late(1000 * micro.Minute),
	}
}

// runRecallSteps plays a story at each step of a recall. Quota is counted once at each.
func runRecallSteps(t *testing.T, story func(site *handoverEnv)) {
	t.Helper()
	for name, fault := range recallSteps() {
		t.Run(name, func(t *testing.T) {
			runHandover(t, func(site *handoverEnv) {
				site.assignStartedJob()
				site.recordDone(0, 1)
				site.recordDone(1, 3)
				site.recall()
				met := false
				site.setFault(func(transaction wire.Transaction) fake.CommitFault {
					fate := fault(transaction)
					met = met || fate != fake.CommitFault{}
					return fate
				})
				site.release()
				site.waitUntil("the step", func() bool { return met })
				site.sleep(100 * micro.Millisecond)
				site.expectQuota(3)
				story(site)
			})
		})
	}
}

// expectQuota checks how many CPUs the team uses.
func (s *handoverEnv) expectQuota(want float64) {
	s.t.Helper()
	if got := s.leader.Cluster.Teams["team"].UsedCPU; got != want {
		s.t.Errorf("%v CPUs of the quota are used, want %v", got, want)
	}
}

// simulateOwner has the shard's owner go on for a while, as one does that has released the job.
func (s *handoverEnv) simulateOwner(span micro.Time) {
	s.t.Helper()
	for end := s.now() + span; s.now() < end; s.sleep(micro.Second) {
		assignment, version := s.assignment()
		if version == 0 {
			continue
		}
		if assignment.StopRequested {
			s.sendUpdate(shard.ShardUpdate{StoppingJobs: []shard.StoppingJob{{Job: "j-1"}}})
		} else {
			s.release()
		}
	}
}

// A job that is cancelled on its way back is placed, or its user is told twice or never.
func TestJobCancelledDuringRecallEndsOnce(t *testing.T) {
	runRecallSteps(t, func(site *handoverEnv) {
		site.runOnLoop(func() { site.leader.BeginCancellation(site.job()) })
		site.sleep(micro.Second)
		site.setFault(nil)
		site.simulateOwner(10 * micro.Second)
		leader := site.leader
		if told := len(leader.cancelled) + strings.Count(leader.ends["j-1"], string(wire.JobAborted)); told != 1 {
			t.Errorf("ends %q, and %d more: want one", leader.ends["j-1"], len(leader.cancelled))
		}
		if job := site.job(); job.State != cluster.Aborting || leader.Cluster.PendingJobs[job] {
			t.Errorf("%v, waits to be placed: %v", job.State, leader.Cluster.PendingJobs[job])
		}
	})
}

// A recall that a leader has begun is not ended by the next one: the job stays in the shard for good,
// or what is done there is lost.
func TestNextLeaderCompletesRecall(t *testing.T) {
	runRecallSteps(t, func(site *handoverEnv) {
		site.failOver()
		site.setFault(nil)
		if _, version := site.assignment(); version > 0 {
			site.expectQuota(3)
		}
		site.simulateOwner(10 * micro.Second)
		site.waitReturned()
		site.expectRestored()
	})
}

// A shard that is taken back with a recalled job in it leaves the job, or what is done, behind.
func TestShardReclaimedDuringRecallKeepsJobProgress(t *testing.T) {
	runRecallSteps(t, func(site *handoverEnv) {
		entry, _ := site.leader.table().Get("east")
		released := entry.Record
		released.State, released.Owner = shard.Released, shard.Controller{}
		site.put(shard.RecordKey("east"), released)
		site.sleep(micro.Second)
		site.setFault(nil)
		site.waitUntil("the shard is gone", func() bool { return len(site.keys(shard.RecordPrefix)) == 0 })
		site.waitReturned()
		site.expectRestored()
	})
}

// A controller without the feature reads a continued assignment: it begins the job anew, or never
// gives it back.
func TestStartedJobsMoveOnlyWhileAllControllersContinueJobs(t *testing.T) {
	for name, node := range map[string]string{"the leader": "n-0", "a peer": "n-1"} {
		t.Run(name, func(t *testing.T) {
			runHandover(t, func(site *handoverEnv) {
				site.setFeatures(node)
				site.submit()
				site.runTask(0, wire.CauseDone)
				site.offerCapacity(40 * micro.Second)
				if _, version := site.assignment(); version > 0 {
					t.Fatal("assigned")
				}
				site.setFeatures(node, shard.HandoverFeature)
				site.assignUntilStored()
				site.setFeatures(node)
				site.sendUpdate(shard.ShardUpdate{WaitingJobs: []string{"j-1"}})
				site.sleep(5 * micro.Second)
				if assignment, _ := site.assignment(); assignment.RecallRequested {
					t.Error("recalled")
				}
			})
		})
	}
}

// setFeatures has a node hold its session as one with these features; its version changes.
func (s *handoverEnv) setFeatures(node string, features ...string) {
	s.t.Helper()
	s.put(shard.SessionKey(node), election.Record{Node: node, Features: features})
	if node == "n-1" {
		record := shard.NewRecord(shard.Selector{Zone: "b"}, nil, 0)
		record.State, record.Owner = shard.Owned, s.owner()
		s.put(shard.RecordKey("east"), record)
	}
	s.sleep(3 * micro.Second)
}

// A job goes to and fro without end between two sides neither of which serves it.
func TestReturnedJobIsNotReassignedWithinMinInterval(t *testing.T) {
	runHandover(t, func(site *handoverEnv) {
		site.assignStartedJob()
		site.recall()
		site.release()
		site.waitReturned()
		site.offerCapacity(minReassignInterval - 2*micro.Second)
		if _, version := site.assignment(); version > 0 {
			t.Error("assigned again at once")
		}
		site.offerCapacity(5 * micro.Second)
		if _, version := site.assignment(); version == 0 {
			t.Error("never assigned again")
		}
	})
}

// The leader's records from before the assignment are taken for what it has taken back, and the
// owner's are deleted unread.
func TestLeaderRecordsOlderThanTheAssignmentDoNotCountAsMerged(t *testing.T) {
	runHandover(t, func(site *handoverEnv) {
		site.assignStartedJob()
		chunk := site.job().Chunk(0)
		if site.leader.ownerRecordMerged(chunk) {
			t.Error("a record from before the assignment counts as taken back")
		}
		site.recordDone(0, 1)
		site.recordDone(1, 3)
		site.recall()
		site.setFault(refuse("-" + shard.AllocationPrefix))
		site.release()
		site.waitUntil("the records are taken", func() bool {
			return site.leader.ownerRecordMerged(site.job().Chunk(0)) && site.leader.ownerRecordMerged(site.job().Chunk(2))
		})
		site.failOver()
		taken := site.latestChunkVersion()
		if !site.leader.ownerRecordMerged(site.job().Chunk(0)) || !site.leader.ownerRecordMerged(site.job().Chunk(2)) {
			t.Error("the next leader does not know what was taken back")
		}
		site.setFault(nil)
		site.simulateOwner(10 * micro.Second)
		site.waitReturned()
		site.expectRestored()
		if site.latestChunkVersion() != taken {
			t.Error("what was taken back is written again")
		}
	})
}

// A task is on a machine, or a job in the shard takes its part of the quota, and another job gets
// the same part.
func TestQuotaIsCountedOnceDuringHandoverAndRecall(t *testing.T) {
	runHandover(t, func(site *handoverEnv) {
		site.submit()
		site.runTask(0, wire.CauseDone)
		site.expectQuota(0)
		site.assignUntilStored()
		site.expectQuota(3)
		site.failOver()
		site.expectQuota(3)
		site.recall()
		site.expectQuota(3)
		site.release()
		site.waitReturned()
		site.expectQuota(0)
	})
}

// assignUntilStored offers capacity until j-1 is assigned.
func (s *handoverEnv) assignUntilStored() {
	s.t.Helper()
	s.waitUntil("it is assigned", func() bool {
		s.reportCapacity()
		_, version := s.assignment()
		return version > 0
	})
}
