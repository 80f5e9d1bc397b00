package persist

import (
	"slices"
	"testing"
	"testing/synctest"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// storedChunks returns the keys of the chunk records of j-1 in the store.
func (h *testHost) storedChunks(t *testing.T) []string {
	t.Helper()
	page, err := h.store.Range(t.Context(), store.Routine, keys.ChunkPrefixFor("j-1"), "", 100)
	if err != nil {
		t.Fatal(err)
	}
	var stored []string
	for _, item := range page.Items {
		stored = append(stored, item.Key)
	}
	return stored
}

// commitUntil flushes and applies the results until the condition holds, at most 20 times.
func (h *testHost) commitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for range 20 {
		if condition() {
			return
		}
		h.flushAndWait()
		for len(h.events) > 0 {
			(<-h.events).Apply()
		}
	}
	t.Fatal("condition did not hold after 20 flushes")
}

// flushAndWait sends the writes that are due and waits until the store has responded. It does not
// apply the results.
func (h *testHost) flushAndWait() {
	h.now += 2 * micro.Second
	h.records.Flush(h.now)
	synctest.Wait()
}

// putLegacyRecord stores a chunk record of j-1 in the legacy format.
func (h *testHost) putLegacyRecord(t *testing.T, record *cluster.ChunkRecord) {
	t.Helper()
	put := wire.Change{Put: keys.LegacyChunk("j-1", 0), Value: record}
	if _, err := h.store.Commit(t.Context(), store.Routine, wire.Transaction{Then: []wire.Change{put}}); err != nil {
		t.Fatal(err)
	}
}

// newMigratedJob returns a host and its job, whose records were migrated from the legacy to the
// compact format. The legacy record has not been deleted yet.
func newMigratedJob(t *testing.T) (*testHost, *cluster.Job) {
	t.Helper()
	host := newTestHost(testRole{})
	host.cluster.EnableCompactRecords(2)
	host.cluster.HandoverSupported = true
	job := host.addJob(4)
	legacy := &cluster.ChunkRecord{Done: [][2]int{{0, 0}, {3, 3}}}
	host.putLegacyRecord(t, legacy)
	host.cluster.RestoreChunk(job, 0, legacy, 1, host.now)
	host.cluster.FinishRestore(host.now)
	host.commitUntil(t, func() bool {
		host.records.PersistJob(job)
		_, persisted := host.records.JobRevision(job)
		return persisted
	})
	return host, job
}

// Guards against two faults in the handover of a job to a shard: the leader's records remain in the
// store in either format, so that the previous release takes them for newer than the shard owner's;
// or the deleted records are not written again once the job returns to the leader.
func TestRecordsOfHandedOverJobAreDeletedAndRewrittenOnReturn(t *testing.T) {
	synctest.Test(t, checkRecordsAreDeletedAndRewritten)
}

func checkRecordsAreDeletedAndRewritten(t *testing.T) {
	host, job := newMigratedJob(t)
	if tasks := host.cluster.Assign(job, "east"); tasks != 2 {
		t.Fatalf("%d tasks assigned, want 2", tasks)
	}
	both := []string{keys.LegacyChunk("j-1", 0), keys.CompactChunk("j-1", 0), keys.CompactChunk("j-1", 1)}
	slices.Sort(both)
	if stored := host.storedChunks(t); !slices.Equal(stored, both) {
		t.Fatalf("stored chunk records before the deletion: %v", stored)
	}
	host.commitUntil(t, func() bool { return host.records.DeleteHandedOver(job) })
	if stored := host.storedChunks(t); len(stored) > 0 || !host.records.DeleteHandedOver(job) {
		t.Errorf("chunk records not deleted after the handover: %v", stored)
	}
	host.cluster.Unassign(job, host.now)
	host.commitUntil(t, func() bool { return len(host.storedChunks(t)) == 2 })
	want := []string{keys.CompactChunk("j-1", 0), keys.CompactChunk("j-1", 1)}
	if stored := host.storedChunks(t); !slices.Equal(stored, want) || job.DoneTasks != 2 {
		t.Errorf("after the job returned, stored chunk records: %v, %d tasks done", stored, job.DoneTasks)
	}
}

// Guards against losing the chunk records if a deletion that was sent before the job returned to the
// leader is executed after the return.
func TestRecordsAreRewrittenIfJobReturnsDuringDeletion(t *testing.T) {
	synctest.Test(t, checkReturnDuringDeletion)
}

func checkReturnDuringDeletion(t *testing.T) {
	host, job := newMigratedJob(t)
	host.cluster.Assign(job, "east")
	host.commitUntil(t, func() bool { host.records.DeleteHandedOver(job); return len(host.storedChunks(t)) == 2 })
	host.records.DeleteHandedOver(job)
	host.flushAndWait()
	host.cluster.Unassign(job, host.now)
	host.commitUntil(t, func() bool {
		_, persisted := host.records.JobRevision(job)
		return persisted
	})
	if stored := host.storedChunks(t); len(stored) != 2 || job.Chunks[0].HandedOver || !job.Chunks[0].Stored {
		t.Errorf("stored chunk records after the return: %v", stored)
	}
}
