package persist

import (
	"io"
	"log/slog"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// testHost owns the records of a cluster, has its own clock, and passes the effects of the cluster
// on to the records.
type testHost struct {
	cluster.Effects
	now               micro.Time
	records           *Records
	store             *fake.Store
	cluster           *cluster.State
	events            chan eventloop.Event
	finalStates       map[string]wire.JobState
	formatRaisedCount int
}

func (h *testHost) Now() micro.Time            { return h.now }
func (h *testHost) Wall() micro.Time           { return h.now }
func (h *testHost) HoldsLease() bool           { return true }
func (h *testHost) Post(event eventloop.Event) { h.events <- event }
func (h *testHost) ObserveCommit(micro.Time)   {}
func (h *testHost) JobEnded(job *cluster.Job, state wire.JobState) {
	h.finalStates[job.Spec.ID] = state
}
func (h *testHost) FormatRaised() { h.formatRaisedCount++ }

func (h *testHost) ChunkDirty(chunk *cluster.TaskChunk)  { h.records.ChunkDirty(chunk) }
func (h *testHost) ChunkUrgent(chunk *cluster.TaskChunk) { h.records.ChunkUrgent(chunk) }
func (h *testHost) ScheduleSoon()                        {}
func (h *testHost) Log(string, ...any)                   {}

func (h *testHost) ChunkMigrated(chunk *cluster.TaskChunk, legacy *cluster.LegacyRecord) {
	h.records.ChunkMigrated(chunk, legacy)
}

func (h *testHost) LegacyRecordSuperseded(legacy *cluster.LegacyRecord) {
	h.records.LegacyRecordSuperseded(legacy)
}

// testLimits are the limits of a store that accepts values of 16 KiB now and in the future.
type testLimits struct{}

func (testLimits) MaxValueBytes() (current, next int) { return 16 << 10, 16 << 10 }
func (testLimits) MaxTxnOps() int                     { return 24 }

// testRole names chunk keys by the format in use.
type testRole struct{ keepsChunks bool }

func (testRole) Preconditions() []wire.Precondition { return []wire.Precondition{{Key: "leader"}} }

func (testRole) ChunkKey(job string, index int, compact bool) string {
	if compact {
		return keys.CompactChunk(job, index)
	}
	return keys.LegacyChunk(job, index)
}

func (r testRole) KeepsChunksOfEndedJobs() bool { return r.keepsChunks }

func newTestHost(role Role) *testHost {
	host := &testHost{
		now:         1000 * micro.Second,
		store:       fake.NewStore(),
		events:      make(chan eventloop.Event, 100),
		finalStates: map[string]wire.JobState{},
	}
	host.cluster = cluster.New(host)
	host.records = New(Dependencies{
		Host:    host,
		Role:    role,
		Limits:  testLimits{},
		Cluster: host.cluster,
		Speeds:  scheduler.NewSpeedEstimator(),
		Store:   host.store,
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	return host
}

func (h *testHost) addJob(tasks int) *cluster.Job {
	return h.cluster.AddJob(wire.Job{ID: "j-1", Kind: wire.JobArray, Tasks: tasks, CPUs: 1}, h.now)
}

// commit flushes the writes that are due and applies the store's response.
func (h *testHost) commit() {
	h.now += 2 * micro.Second
	h.records.Flush(h.now)
	(<-h.events).Apply()
}

// If the store already holds a final state, that one is reported to the leader.
func TestStoredFinalStateOfJobTakesPrecedence(t *testing.T) {
	host := newTestHost(testRole{})
	job := host.addJob(1)
	host.records.WriteJobEnd(job, wire.JobDone)
	if host.records.EndUncertain("j-1") || len(host.finalStates) > 0 {
		t.Fatal("final state is uncertain or reported before a write was sent")
	}
	record := host.records.Lookup(keys.JobEnd("j-1"))
	stored := wire.Item{
		Key:   record.Key,
		Value: wire.MustMarshal(cluster.FinalStatusRecord{State: wire.JobAborted}),
	}
	if record.ResolveUncertain(wire.Item{Key: record.Key, Value: []byte{0xc1}}) {
		t.Fatal("a value that cannot be decoded resolved the uncertain write")
	}
	if !record.ResolveUncertain(stored) || host.finalStates["j-1"] != wire.JobAborted {
		t.Errorf("final state reported to the leader is %q, want the stored one", host.finalStates["j-1"])
	}
	if host.records.Lookup(keys.JobEnd("j-1")) != nil {
		t.Error("record is kept although the final state is stored")
	}
}

// A shard owner keeps the chunks of an ended job until its assignment is deleted; a leader deletes
// them.
func TestChunksOfEndedJobAreDeletedUnlessRoleKeepsThem(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		host := newTestHost(testRole{keepsChunks: keeps})
		job := host.addJob(1)
		host.cluster.FinalizeJob(job, true, host.now)
		host.records.ChunkDirty(job.Chunks[0])
		record := host.records.LookupChunk(job.Chunks[0])
		if keeps {
			if record != nil {
				t.Error("chunk is written although the job's assignment is not deleted yet")
			}
			continue
		}
		if record == nil || !record.Dirty() {
			t.Fatal("deletion of the ended job's chunk is not scheduled")
		}
		if value, _ := record.Build(); value != nil {
			t.Errorf("chunk is written as %v, want it deleted", value)
		}
	}
}

// The format is raised permanently, and the compact format is not used before the raised version is
// stored.
func TestCompactFormatIsEnabledOnceFormatIsStored(t *testing.T) {
	host := newTestHost(testRole{})
	for _, stored := range []any{
		"x",
		FormatRecord{Version: 1, TasksPerChunk: 64},
		FormatRecord{Version: 2, TasksPerChunk: 0},
		FormatRecord{Version: 2, TasksPerChunk: 100},
		FormatRecord{Version: 2, TasksPerChunk: 256},
	} {
		if host.records.Format.Restore(wire.Item{Key: keys.Format, Value: wire.MustMarshal(stored)}) == nil {
			t.Errorf("invalid stored format %v was accepted", stored)
		}
	}
	host.records.Format.Raise(host.now)
	if host.cluster.CompactRecords || host.formatRaisedCount > 0 {
		t.Fatal("compact format is in use before the raised version is stored")
	}
	host.commit()
	if !host.cluster.CompactRecords || host.formatRaisedCount != 1 ||
		host.cluster.TasksPerChunk != host.records.Format.next().TasksPerChunk {
		t.Fatalf(
			"compact format in use: %v, raised %d times, %d tasks per chunk",
			host.cluster.CompactRecords,
			host.formatRaisedCount,
			host.cluster.TasksPerChunk,
		)
	}
	host.records.Format.Raise(host.now)
	if host.records.Lookup(keys.Format).Dirty() {
		t.Error("format is raised again")
	}
}

// The speeds are restored together with the version of their key. A value that cannot be decoded is
// an error.
func TestSpeedsAreRestoredWithKeyVersion(t *testing.T) {
	host := newTestHost(testRole{})
	if host.records.RestoreSpeeds(wire.Item{Key: keys.Speeds, Value: []byte{0xc1}}) == nil {
		t.Error("no error for a value that cannot be decoded")
	}
	stored := scheduler.SpeedRecord{Speeds: map[string][2]float64{"small": {0.5, 9}}}
	item := wire.Item{Key: keys.Speeds, Value: wire.MustMarshal(stored), Version: 7}
	if err := host.records.RestoreSpeeds(item); err != nil {
		t.Fatal(err)
	}
	if got := host.records.speeds.Record().Speeds["small"]; got != stored.Speeds["small"] {
		t.Errorf("restored speed is %v", got)
	}
	host.records.WriteSpeeds(host.now)
	if record := host.records.Lookup(keys.Speeds); record.Version() != 7 || !record.Dirty() {
		t.Errorf("version %d, dirty %v; want version 7 and dirty", record.Version(), record.Dirty())
	}
}

// Each round writes at most two pages. Consecutive rounds write all pages in turn, and delete those
// that a smaller fleet no longer needs.
func TestImagePagesOfLargeFleetAreWrittenInTurn(t *testing.T) {
	host := newTestHost(testRole{})
	host.cluster.EnableCompactRecords(64)
	images := cluster.ImageRecord{Names: []string{"x"}, GB: []float64{9}, Machines: map[string][]int{}}
	for i := range 4000 {
		images.Machines[host.cluster.EnsureMachine(wire.TaskName("i", i), host.now).Name] = []int{0}
	}
	host.cluster.RestoreImages(images, host.now)
	pageCount := len(host.cluster.ImagePages(host.records.Images.maxPageBytes()))
	written := host.runImageWriteRounds(3 * pageCount)
	if len(written) != pageCount {
		t.Errorf("%d of %d pages were written", len(written), pageCount)
	}
	for _, machine := range host.cluster.SortedMachines()[100:] {
		host.cluster.RemoveMachine(machine, host.now)
	}
	host.runImageWriteRounds(3 * pageCount)
	if n := len(host.records.Images.pages); n != 0 {
		t.Errorf("%d further pages are left after the fleet shrank, want 0", n)
	}
}

// runImageWriteRounds runs n rounds of image writes and returns the keys of the pages that were put.
// It panics if a round writes more than two pages.
func (h *testHost) runImageWriteRounds(n int) map[string]bool {
	put := map[string]bool{}
	for range n {
		h.records.Images.writeNext(h.now)
		changes := 0
		h.records.Each(func(record *statestore.Record) {
			if !record.Dirty() || !keys.IsImagePage(record.Key) {
				return
			}
			changes++
			value, _ := record.Build()
			record.ClearDirty()
			record.SetVersion(1)
			if value == nil {
				h.records.Drop(record)
				return
			}
			put[record.Key] = true
		})
		if changes > 2 {
			panic("more than two image pages written in one round")
		}
	}
	return put
}

// A handed-over job continues from the leader's compact records as of a revision. If the revision
// were given while a write is pending or uncertain, or while a chunk is stored only in the legacy
// format, the shard owner would run completed tasks again.
func TestJobRevisionRequiresSettledCompactRecords(t *testing.T) {
	host := newTestHost(testRole{})
	host.cluster.EnableCompactRecords(2)
	job := host.addJob(4)
	if revision, persisted := host.records.JobRevision(job); revision != 0 || !persisted {
		t.Fatalf("job without records has revision %d, persisted %v; want 0, true", revision, persisted)
	}
	job.Chunk(0).MemoryVersion++
	host.records.ChunkDirty(job.Chunk(0))
	if _, persisted := host.records.JobRevision(job); persisted {
		t.Error("job is persisted although a write is pending")
	}
	host.commit()
	revision, persisted := host.records.JobRevision(job)
	record := host.records.LookupChunk(job.Chunk(0))
	if !persisted || revision == 0 || revision != record.Version() {
		t.Errorf("record stored at version %d: job revision %d, persisted %v", record.Version(), revision, persisted)
	}
	record.MarkDirty(host.now, statestore.PriorityHigh)
	host.records.Flush(host.now + 2*micro.Second)
	if _, persisted := host.records.JobRevision(job); persisted {
		t.Error("job is persisted although a write is in flight")
	}
	(<-host.events).Apply()
	if later, persisted := host.records.JobRevision(job); !persisted || later <= revision {
		t.Errorf("after another write: job revision %d, persisted %v", later, persisted)
	}
}

// A shard owner reads only records in the compact format, so a job must be persisted in it before the
// handover.
func TestJobOnlyInLegacyFormatIsPersistedInCompactFormat(t *testing.T) {
	host := newTestHost(testRole{})
	host.cluster.EnableCompactRecords(2)
	job := host.addJob(4)
	host.cluster.RestoreChunk(job, 0, &cluster.ChunkRecord{Done: [][2]int{{0, 0}, {3, 3}}}, 5, host.now)
	host.cluster.FinishRestore(host.now)
	if _, persisted := host.records.JobRevision(job); persisted {
		t.Fatal("job is persisted although its records are only in the legacy format")
	}
	for range 3 {
		host.records.PersistJob(job)
		host.commit()
	}
	revision, persisted := host.records.JobRevision(job)
	for _, chunk := range job.Chunks {
		record := host.records.LookupChunk(chunk)
		if record == nil || record.Version() == 0 || record.Key != keys.CompactChunk("j-1", chunk.Index) {
			t.Errorf("chunk %d is not stored in the compact format", chunk.Index)
		}
	}
	if !persisted || revision == 0 {
		t.Errorf("after PersistJob: job revision %d, persisted %v", revision, persisted)
	}
}
