package coordinator

import (
	"context"
	"slices"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// interceptingStore sends each transaction to a channel instead of executing it.
type interceptingStore struct {
	store.Store
	sent chan wire.Transaction
}

func (s interceptingStore) Commit(_ context.Context, _ store.Class, transaction wire.Transaction) (uint64, error) {
	s.sent <- transaction
	return 0, nil
}

// assignJob assigns a job of one task to the shard "east", with its assignment stored at a version; 0
// means not stored yet.
func (test *testCoordinator) assignJob(version uint64) (*cluster.Job, *assignedJob) {
	test.t.Helper()
	job := test.addJob("j-1", wire.Job{Tasks: 1, CPUs: 1, MemoryGB: 1})
	if test.Cluster.Assign(job, "east") != 1 {
		test.t.Fatal("job was not assigned")
	}
	assigned := test.storeAssignment("east", job, shard.Assignment{Job: job.Spec, MaxAllocations: 1})
	assigned.stored = version > 0
	assigned.storeRecord.SetVersion(version)
	return job, assigned
}

// The write that creates an assignment may be executed late. It must then fail if the job has ended or
// the shard's record has changed.
func TestAssignmentCreationFailsAfterJobEndOrShardChange(t *testing.T) {
	test := newTestCoordinator(t)
	_, assigned := test.assignJob(0)
	entry, _ := test.table().Get("east")
	want := []wire.Precondition{{Key: "job/j-1/end"}, {Key: "share/east", Version: wire.Count(entry.Version)}}
	if got := assigned.storeRecord.Preconditions(); !slices.Equal(got, want) || entry.Version == 0 {
		t.Errorf("preconditions %+v, want %+v", got, want)
	}
	assigned.storeRecord.SetVersion(11)
	if got := assigned.storeRecord.Preconditions(); len(got) > 0 {
		t.Errorf("a later write has additional preconditions %+v", got)
	}
}

// A job that an owner handed back must stay assigned until the shard's record has a later version, so
// that a late write cannot assign it again.
func TestHandedBackJobIsLookedUpOnlyAfterShardRecordChange(t *testing.T) {
	test := newTestCoordinator(t)
	sent := make(chan wire.Transaction, 1)
	test.Store = interceptingStore{test.store, sent}
	job, assigned := test.assignJob(11)
	test.applyAssignmentDeletions(wire.Events{Events: []wire.Event{{Delete: assigned.storeRecord.Key, Version: 12}}})
	if !assigned.handedBack || job.State != cluster.Assigned {
		t.Fatalf("handed back %v, state %v; want handed back and assigned", assigned.handedBack, job.State)
	}
	entry, _ := test.table().Get("east")
	test.reconcileHandedBack()
	if job.State != cluster.Assigned || !test.commitsInFlight["east"] {
		t.Fatalf("state %v, write of the shard's record in flight: %v", job.State, test.commitsInFlight["east"])
	}
	want := []wire.Precondition{{Key: "leader", Version: 7}, {Key: "share/east", Version: wire.Count(entry.Version)}}
	if transaction := <-sent; !slices.Equal(transaction.If, want) || entry.Version == 0 {
		t.Errorf("the record is rewritten with preconditions %+v, want %+v", transaction.If, want)
	}
	if job.State != cluster.Assigned || assigned.lookupInFlight {
		t.Fatal("the job was unassigned or looked up before the shard's record changed")
	}
	test.writeShard(shard.Owned, "n-1")
	test.reconcileHandedBack()
	if !assigned.lookupInFlight {
		t.Fatal("the assignment was not looked up after the shard's record changed")
	}
}

// The owner of a shard that is reclaimed may have issued fencing tokens above the leader's, so these
// are raised above them. The owner's records are deleted only after the leader's records, into which
// they are merged, are stored.
func TestReclaimRaisesTokensAndDeletesOwnerRecordsAfterLeaderRecordsAreStored(t *testing.T) {
	test := newTestCoordinator(t)
	job, _ := test.assignJob(11)
	for range 70 {
		test.put("another", true) // so that the revision that releases the shard is above the term's
	}
	entry := test.writeShard(shard.Released, "")
	lowest := entry.Version << 24
	if entry.Version < 70 || test.Cluster.MinFencingToken >= lowest {
		t.Fatalf("shard released at revision %d, minimum fencing token %x", entry.Version, test.Cluster.MinFencingToken)
	}
	record := cluster.CompactRecord{
		Zones: []string{"c"}, Machines: []string{"i-1"}, MachineZones: []int{0},
		Allocations: [][4]wire.Count{{0, 3, 0, 2}}, Done: [][2]int{}, Attempts: [][2]int{},
	}
	item := wire.Item{Key: shard.AllocationKey("east", "j-1", 0), Version: 60, Value: wire.MustMarshal(record)}
	progress := &reclaim{pendingDeletes: map[string]*statestore.Record{}}
	test.restoreReleasedShard(entry, progress, []wire.Item{item})
	if test.host.fencingToken < lowest || test.Cluster.MinFencingToken < lowest {
		t.Errorf(
			"next fencing token %x or minimum fencing token %x is below the shard's lowest", test.host.fencingToken,
			test.Cluster.MinFencingToken,
		)
	}
	if job.AllocationCount != 1 {
		t.Fatalf("job has %d allocations, want 1", job.AllocationCount)
	}
	pending := progress.pendingDeletes[item.Key]
	if value, _ := pending.Build(); value != any(statestore.NotReady) {
		t.Errorf("the owner's record is written as %v before the leader's record is stored", value)
	}
	test.Cluster.ChunkPersisted(job.Chunk(0), job.Chunk(0).MemoryVersion)
	if value, _ := pending.Build(); value != nil {
		t.Errorf("the owner's record is written as %v, want it deleted", value)
	}
}

// A machine without a type is known only from allocations in the leader's own records, and belongs to
// the leader. A shard that selects only by kind must not match its unknown attributes. While a shard
// is being reclaimed, the machine may be one of the shard's.
func TestUndescribedMachineBelongsToLeaderUnlessAShardIsBeingReclaimed(t *testing.T) {
	for name, row := range map[string]struct {
		state     shard.State
		reclaimed bool
		want      bool
	}{
		"owned":               {state: shard.Owned},
		"forming":             {state: shard.Forming},
		"released":            {state: shard.Released, want: true},
		"released, reclaimed": {state: shard.Released, reclaimed: true},
	} {
		t.Run(name, func(t *testing.T) {
			test := newTestCoordinator(t)
			record := shard.NewRecord(shard.Selector{Kind: shard.OnDemandOnly}, nil, 0)
			record.State = row.state
			test.put(shard.RecordKey("east"), record)
			if _, err := test.Table.Read(t.Context()); err != nil {
				t.Fatal(err)
			}
			test.reclaims["east"] = &reclaim{reclaimed: row.reclaimed}
			machine := test.Cluster.EnsureMachine("i-1", test.at)
			if owned, pending := test.ClassifyMachine(machine); owned != row.want || pending {
				t.Errorf("owned elsewhere %v, want %v; transfer pending %v", owned, row.want, pending)
			}
		})
	}
}
