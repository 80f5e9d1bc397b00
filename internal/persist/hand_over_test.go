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

// storedChunks lists the keys of the records of j-1.
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

// commitUntil writes what is due until a condition holds.
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
	t.Fatal("never")
}

// flushAndWait sends what is due, and waits until the store has answered.
func (h *testHost) flushAndWait() {
	h.now += 2 * micro.Second
	h.records.Flush(h.now)
	synctest.Wait()
}

// putLegacyRecord stores a record of j-1 in the first form.
func (h *testHost) putLegacyRecord(t *testing.T, record *cluster.ChunkRecord) {
	t.Helper()
	put := wire.Change{Put: keys.LegacyChunk("j-1", 0), Value: record}
	if _, err := h.store.Commit(t.Context(), store.Routine, wire.Transaction{Then: []wire.Change{put}}); err != nil {
		t.Fatal(err)
	}
}

// newMigratedJob is a job whose records were in the first form and are in the compact one by now, with
// what is left of the first form still to be deleted.
func newMigratedJob(t *testing.T) (*testHost, *cluster.Job) {
	t.Helper()
	host := newTestHost(testRole{})
	host.cluster.EnableCompactRecords(2)
	host.cluster.HandoverSupported = true
	job := host.addJob(4)
	first := &cluster.ChunkRecord{Done: [][2]int{{0, 0}, {3, 3}}}
	host.putLegacyRecord(t, first)
	host.cluster.RestoreChunk(job, 0, first, 1, host.now)
	host.cluster.FinishRestore(host.now)
	host.commitUntil(t, func() bool {
		host.records.PersistJob(job)
		_, persisted := host.records.JobRevision(job)
		return persisted
	})
	return host, job
}

// The leader's records of a job that a shard's owner has by now stay in the store, in either form: a
// version before takes them for later ones than the owner's. Or those that are deleted are not written
// anew once the job is the leader's again.
func TestRecordsOfHandedOverJobAreDeletedAndRewrittenOnReturn(t *testing.T) {
	synctest.Test(t, checkRecordsAreDeletedAndRewritten)
}

func checkRecordsAreDeletedAndRewritten(t *testing.T) {
	host, job := newMigratedJob(t)
	if tasks := host.cluster.Assign(job, "east"); tasks != 2 {
		t.Fatalf("%d tasks assigned", tasks)
	}
	both := []string{keys.LegacyChunk("j-1", 0), keys.CompactChunk("j-1", 0), keys.CompactChunk("j-1", 1)}
	slices.Sort(both)
	if stored := host.storedChunks(t); !slices.Equal(stored, both) {
		t.Fatalf("stored: %v", stored)
	}
	host.commitUntil(t, func() bool { return host.records.DeleteHandedOver(job) })
	if stored := host.storedChunks(t); len(stored) > 0 || !host.records.DeleteHandedOver(job) {
		t.Errorf("left: %v", stored)
	}
	host.cluster.Unassign(job, host.now)
	host.commitUntil(t, func() bool { return len(host.storedChunks(t)) == 2 })
	want := []string{keys.CompactChunk("j-1", 0), keys.CompactChunk("j-1", 1)}
	if stored := host.storedChunks(t); !slices.Equal(stored, want) || job.DoneTasks != 2 {
		t.Errorf("stored again: %v, %d done", stored, job.DoneTasks)
	}
}

// A deletion that was sent before the job came back is carried out after it: the record is not there.
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
		t.Errorf("stored: %v", stored)
	}
}
