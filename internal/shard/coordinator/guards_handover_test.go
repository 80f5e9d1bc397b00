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

// changesKey reports whether a transaction puts a key with a prefix, or, if the prefix begins with a
// minus, deletes one.
func changesKey(transaction wire.Transaction, prefix string) bool {
	return slices.ContainsFunc(transaction.Then, func(change wire.Change) bool {
		if deleted, ok := strings.CutPrefix(prefix, "-"); ok {
			return strings.HasPrefix(change.Delete, deleted)
		}
		return strings.HasPrefix(change.Put, prefix)
	})
}

// failWrites injects a fault into all transactions that change a key with a prefix.
func (s *handoverEnv) failWrites(prefix string, fault fake.CommitFault) {
	s.setFault(func(transaction wire.Transaction) fake.CommitFault {
		if changesKey(transaction, prefix) {
			return fault
		}
		return fake.CommitFault{}
	})
}

// latestChunkVersion returns the latest version of the leader's records of j-1; 0 if there are none.
func (s *handoverEnv) latestChunkVersion() (latest uint64) {
	for _, item := range s.items(keys.ChunkPrefixFor("j-1")) {
		latest = max(latest, uint64(item.Version))
	}
	return latest
}

// offerCapacity reports capacity every half second for the given time.
func (s *handoverEnv) offerCapacity(span micro.Time) {
	for end := s.now() + span; s.now() < end; s.sleep(500 * micro.Millisecond) {
		s.reportCapacity()
	}
}

// A started job may be assigned only after all its task records are stored. Otherwise the assignment
// names a revision before the last changes, and the owner repeats tasks that are done.
func TestStartedJobIsAssignedOnlyAfterItsRecordsAreStored(t *testing.T) {
	faults := map[string]fake.CommitFault{
		"refused":                  {Refused: true},
		"unanswered, not executed": {Unanswered: true, ExecuteAfter: 1000 * micro.Minute},
		"unanswered, executed":     {Unanswered: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runHandover(t, func(env *handoverEnv) {
				env.failWrites(keys.ChunkPrefix, fault)
				env.submit()
				env.runTask(0, wire.CauseDone)
				env.runTask(2, wire.CauseStopped)
				env.offerCapacity(6 * micro.Second)
				if _, version := env.assignment(); version > 0 || env.job().State != cluster.Active {
					t.Fatalf("before the records are stored: assignment at version %d, job state %v", version, env.job().State)
				}
				env.setFault(nil)
				env.offerCapacity(6 * micro.Second)
				assignment, version := env.assignment()
				if version == 0 || assignment.Revision() == 0 || assignment.Revision() != env.latestChunkVersion() {
					t.Errorf("assignment at version %d continues from revision %d, latest record at %d", version,
						assignment.Revision(), env.latestChunkVersion())
				}
			})
		})
	}
}

// A release report must be ignored if the job is not recalled or is being cancelled, or if the owner
// had not read the recall. Otherwise the job is taken from an owner that continues with it.
func TestReleaseIsIgnoredUnlessOwnerHasReadTheRecall(t *testing.T) {
	runHandover(t, func(env *handoverEnv) {
		env.assignStartedJob()
		env.release()
		env.expectNotReleased("the job is not recalled")
		_, before := env.assignment()
		env.recall()
		env.sendUpdate(shard.ShardUpdate{ReleasedJobs: []shard.ReleasedJob{{Job: "j-1", Version: before}}})
		env.expectNotReleased("the owner has not read the recall")
		env.runOnLoop(func() { env.leader.BeginCancellation(env.job()) })
		env.sleep(2 * micro.Second)
		env.release()
		env.expectNotReleased("the job is being cancelled")
	})
}

func (s *handoverEnv) expectNotReleased(why string) {
	s.t.Helper()
	s.sleep(5 * micro.Second)
	assigned := s.leader.assignedJobs["j-1"]
	if _, version := s.assignment(); assigned == nil || assigned.recall != nil || version == 0 {
		s.t.Fatalf("the release was accepted although %s", why)
	}
}

// The write that created the assignment is executed again after the job has returned. The copy must
// fail: otherwise the job is assigned again, and runs both at the leader and in the shard.
func TestLateAssignmentCreationFailsAfterJobReturned(t *testing.T) {
	runHandover(t, func(env *handoverEnv) {
		held := 0
		env.setFault(func(transaction wire.Transaction) fake.CommitFault {
			if held > 0 || !changesKey(transaction, shard.AssignmentPrefix) {
				return fake.CommitFault{}
			}
			held++
			return fake.CommitFault{Unanswered: true, ExecuteAfter: micro.Minute}
		})
		env.assignStartedJob()
		shardVersion := env.version(shard.RecordKey("east"))
		env.recall()
		env.release()
		env.waitReturned()
		if env.version(shard.RecordKey("east")) <= shardVersion {
			t.Error("the shard's record still has the version that the assignment was created under")
		}
		env.sleep(2 * micro.Minute)
		if _, version := env.assignment(); held != 1 || version != 0 {
			t.Errorf("%d writes were delayed, want 1; the assignment was created again at version %d", held, version)
		}
	})
}

// waitReturned waits until j-1 is the leader's, and checks that the store holds neither assignments nor
// records of owners.
func (s *handoverEnv) waitReturned() {
	s.t.Helper()
	s.waitUntil("job has returned to the leader", func() bool { return s.job().State == cluster.Active })
	if left := append(s.keys(shard.AssignmentPrefix), s.keys(shard.AllocationPrefix)...); len(left) > 0 {
		s.t.Errorf("the job has returned, and the store still holds %v", left)
	}
}

// The writes of a recall must be made in order: the fence, the leader's records, the deletion of the
// owner's records, the deletion of the assignment. Otherwise progress is lost with the owner's
// records, or the job starts at the leader while a late write may still change them.
func TestRecallStepsAreWrittenInOrder(t *testing.T) {
	runHandover(t, func(env *handoverEnv) {
		env.assignStartedJob()
		env.recordDone(0, 1)
		env.recordDone(1, 3)
		env.recall()
		since := len(env.sent())
		order := []string{
			shard.RecordKey("east"), keys.ChunkPrefix, "-" + shard.AllocationPrefix, "-" + shard.AssignmentPrefix,
		}
		env.setFault(refuse(order[0]))
		env.release()
		for i, prefix := range order {
			env.setFault(refuse(prefix))
			env.sleep(4 * micro.Second)
			if got := env.firstChanges(since, order...); !slices.Equal(got, order[:i+1]) {
				t.Errorf("changes while writes of %s fail: %v", prefix, got)
			}
			if env.job().State != cluster.Assigned {
				t.Fatalf("job state %v while writes of %s fail", env.job().State, prefix)
			}
			if stored := len(env.keys(shard.AllocationPrefix)); stored == 0 != (i == 3) {
				t.Errorf("the store holds %d records of the owner while writes of %s fail", stored, prefix)
			}
		}
		env.setFault(nil)
		env.waitReturned()
		env.expectRestored()
	})
}

// refuse returns a fault function that refuses the transactions which change a key with a prefix.
func refuse(prefix string) func(wire.Transaction) fake.CommitFault {
	return func(transaction wire.Transaction) fake.CommitFault {
		return fake.CommitFault{Refused: changesKey(transaction, prefix)}
	}
}

// expectRestored checks that j-1 is pending at the leader, with the tasks done that were done before the
// handover and in the shard.
func (s *handoverEnv) expectRestored() {
	s.t.Helper()
	job := s.job()
	done := []bool{job.Tasks[0].Done, job.Tasks[1].Done, job.Tasks[2].Done, job.Tasks[3].Done}
	if !slices.Equal(done, []bool{true, true, false, true}) || job.DoneTasks != 3 || job.Tasks[2].Attempt < 1 {
		s.t.Errorf("done %v (%d), task 2 at attempt %d", done, job.DoneTasks, job.Tasks[2].Attempt)
	}
	if !s.leader.Cluster.PendingJobs[job] || job.PendingTasks() != 1 {
		s.t.Errorf("%d tasks are pending, want 1; job is pending: %v", job.PendingTasks(), s.leader.Cluster.PendingJobs[job])
	}
	if used := s.leader.Cluster.Teams["team"].UsedCPU; used != 0 {
		s.t.Errorf("%v CPUs of the quota are used, want 0", used)
	}
}

// recallSteps returns fault functions that interrupt a recall, by the step that they interrupt.
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
		"fence refused":                         refuse(shard.RecordKey("east")),
		"leader's records refused":              refuse(keys.ChunkPrefix),
		"deletion of owner's records refused":   refuse("-" + shard.AllocationPrefix),
		"deletion of assignment refused":        refuse("-" + shard.AssignmentPrefix),
		"deletion of assignment unanswered":     late(0),
		"deletion of assignment executed late":  late(3 * micro.Second),
		"deletion of assignment never executed": late(1000 * micro.Minute),
	}
}

// runRecallSteps runs a scenario for each interrupted step of a recall, and checks before that the quota
// of the job is counted once.
func runRecallSteps(t *testing.T, scenario func(env *handoverEnv)) {
	t.Helper()
	for name, fault := range recallSteps() {
		t.Run(name, func(t *testing.T) {
			runHandover(t, func(env *handoverEnv) {
				env.assignStartedJob()
				env.recordDone(0, 1)
				env.recordDone(1, 3)
				env.recall()
				met := false
				env.setFault(func(transaction wire.Transaction) fake.CommitFault {
					injected := fault(transaction)
					met = met || injected != fake.CommitFault{}
					return injected
				})
				env.release()
				env.waitUntil("the fault was injected", func() bool { return met })
				env.sleep(100 * micro.Millisecond)
				env.expectQuota(3)
				scenario(env)
			})
		})
	}
}

// expectQuota checks how many CPUs of the team's quota are used.
func (s *handoverEnv) expectQuota(want float64) {
	s.t.Helper()
	if got := s.leader.Cluster.Teams["team"].UsedCPU; got != want {
		s.t.Errorf("%v CPUs of the quota are used, want %v", got, want)
	}
}

// simulateOwner sends the reports of an owner that has released the job, or stops it when requested to,
// once per second.
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

// A job that is cancelled during its recall must end exactly once, and must not be placed. Otherwise
// it runs, or its cancellation is confirmed to the user twice or never.
func TestJobCancelledDuringRecallEndsOnce(t *testing.T) {
	runRecallSteps(t, func(env *handoverEnv) {
		env.runOnLoop(func() { env.leader.BeginCancellation(env.job()) })
		env.sleep(micro.Second)
		env.setFault(nil)
		env.simulateOwner(10 * micro.Second)
		leader := env.leader
		if endCount := len(leader.cancelled) + strings.Count(leader.ends["j-1"], string(wire.JobAborted)); endCount != 1 {
			t.Errorf("ends %q and %d pending cancellations, want one in total", leader.ends["j-1"], len(leader.cancelled))
		}
		if job := env.job(); job.State != cluster.Aborting || leader.Cluster.PendingJobs[job] {
			t.Errorf("job state %v, job is pending: %v", job.State, leader.Cluster.PendingJobs[job])
		}
	})
}

// The next leader must complete a recall that its predecessor began. Otherwise the job stays in the
// shard permanently, or its progress there is lost.
func TestNextLeaderCompletesRecall(t *testing.T) {
	runRecallSteps(t, func(env *handoverEnv) {
		env.startNextTerm()
		env.setFault(nil)
		if _, version := env.assignment(); version > 0 {
			env.expectQuota(3)
		}
		env.simulateOwner(10 * micro.Second)
		env.waitReturned()
		env.expectRestored()
	})
}

// A shard is reclaimed while one of its jobs is being recalled. The job must return with its progress:
// neither may be left behind in the shard.
func TestShardReclaimedDuringRecallKeepsJobProgress(t *testing.T) {
	runRecallSteps(t, func(env *handoverEnv) {
		entry, _ := env.leader.table().Get("east")
		released := entry.Record
		released.State, released.Owner = shard.Released, shard.Controller{}
		env.put(shard.RecordKey("east"), released)
		env.sleep(micro.Second)
		env.setFault(nil)
		env.waitUntil("shard is deleted", func() bool { return len(env.keys(shard.RecordPrefix)) == 0 })
		env.waitReturned()
		env.expectRestored()
	})
}

// While any controller lacks shard.HandoverFeature, a started job must be neither assigned nor recalled. A
// controller without the feature that reads the assignment of a started job runs the job from the start,
// or never releases it.
func TestStartedJobsAreHandedOverOnlyWhileAllControllersSupportIt(t *testing.T) {
	for name, node := range map[string]string{"the leader": "n-0", "a peer": "n-1"} {
		t.Run(name, func(t *testing.T) {
			runHandover(t, func(env *handoverEnv) {
				env.setFeatures(node)
				env.submit()
				env.runTask(0, wire.CauseDone)
				env.offerCapacity(40 * micro.Second)
				if _, version := env.assignment(); version > 0 {
					t.Fatal("job was assigned although a controller lacks the feature")
				}
				env.setFeatures(node, shard.HandoverFeature)
				env.assignUntilStored()
				env.setFeatures(node)
				env.sendUpdate(shard.ShardUpdate{WaitingJobs: []string{"j-1"}})
				env.sleep(5 * micro.Second)
				if assignment, _ := env.assignment(); assignment.RecallRequested {
					t.Error("job was recalled although a controller lacks the feature")
				}
			})
		})
	}
}

// setFeatures rewrites a node's session with these features, which changes its version. For n-1 the
// shard "east" is rewritten with the new incarnation as owner.
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

// A job that returned from a shard stays at the leader for minReassignInterval. Otherwise it alternates
// indefinitely between two owners that cannot run it.
func TestReturnedJobIsNotReassignedWithinMinInterval(t *testing.T) {
	runHandover(t, func(env *handoverEnv) {
		env.assignStartedJob()
		env.recall()
		env.release()
		env.waitReturned()
		env.offerCapacity(minReassignInterval - 2*micro.Second)
		if _, version := env.assignment(); version > 0 {
			t.Error("job was assigned again within minReassignInterval")
		}
		env.offerCapacity(5 * micro.Second)
		if _, version := env.assignment(); version == 0 {
			t.Error("job was not assigned again after minReassignInterval")
		}
	})
}

// The leader's records from before the assignment must not count as merged with the owner's. Otherwise
// the owner's records are deleted without being read.
func TestLeaderRecordsOlderThanTheAssignmentDoNotCountAsMerged(t *testing.T) {
	runHandover(t, func(env *handoverEnv) {
		env.assignStartedJob()
		chunk := env.job().Chunk(0)
		if env.leader.ownerRecordMerged(chunk) {
			t.Error("a record from before the assignment counts as merged")
		}
		env.recordDone(0, 1)
		env.recordDone(1, 3)
		env.recall()
		env.setFault(refuse("-" + shard.AllocationPrefix))
		env.release()
		env.waitUntil("records are merged", func() bool {
			return env.leader.ownerRecordMerged(env.job().Chunk(0)) && env.leader.ownerRecordMerged(env.job().Chunk(2))
		})
		env.startNextTerm()
		merged := env.latestChunkVersion()
		if !env.leader.ownerRecordMerged(env.job().Chunk(0)) || !env.leader.ownerRecordMerged(env.job().Chunk(2)) {
			t.Error("the next leader does not detect that the records are merged")
		}
		env.setFault(nil)
		env.simulateOwner(10 * micro.Second)
		env.waitReturned()
		env.expectRestored()
		if env.latestChunkVersion() != merged {
			t.Error("the merged records were written again")
		}
	})
}

// The quota of a job must be counted exactly once before, during and after its stay in a shard.
// Otherwise another job gets the quota that a running task or the assigned job uses.
func TestQuotaIsCountedOnceDuringHandoverAndRecall(t *testing.T) {
	runHandover(t, func(env *handoverEnv) {
		env.submit()
		env.runTask(0, wire.CauseDone)
		env.expectQuota(0)
		env.assignUntilStored()
		env.expectQuota(3)
		env.startNextTerm()
		env.expectQuota(3)
		env.recall()
		env.expectQuota(3)
		env.release()
		env.waitReturned()
		env.expectQuota(0)
	})
}

// assignUntilStored reports capacity until the assignment of j-1 is stored.
func (s *handoverEnv) assignUntilStored() {
	s.t.Helper()
	s.waitUntil("job is assigned", func() bool {
		s.reportCapacity()
		_, version := s.assignment()
		return version > 0
	})
}
