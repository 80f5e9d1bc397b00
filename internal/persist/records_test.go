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

// testHost owns the records of a cluster, on a clock of its own, and hands the cluster's
// effects to them.
type testHost struct {
	cluster.Effects
	now     micro.Time
	records *Records
	store   *fake.Store
	cluster *cluster.State
	events  chan eventloop.Event
	finalStates   map[string]wire.JobState
	formatRaisedCount  int
}

func (h *testHost) Now() micro.Time                                { return h.now }
func (h *testHost) Wall() micro.Time                               { return h.now }
func (h *testHost) HoldsLease() bool                               { return true }
func (h *testHost) Post(event eventloop.Event)                     { h.events <- event }
func (h *testHost) ObserveCommit(micro.Time)                       {}
func (h *testHost) JobEnded(job *cluster.Job, state wire.JobState) { h.finalStates[job.Spec.ID] = state }
func (h *testHost) FormatRaised()                                  { h.formatRaisedCount++ }

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

// testLimits are those of a store that takes values of 16 KB, now and later.
type testLimits struct{}

func (testLimits) MaxValueBytes() (current, next int) { return 16 << 10, 16 << 10 }
func (testLimits) MaxTxnOps() int                     { return 24 }

// testRole names chunks by the form in use.
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
		now:    1000 * micro.Second,
		store:  fake.NewStore(),
		events: make(chan eventloop.Event, 100),
		finalStates:  map[string]wire.JobState{},
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
	return h.cluster.AddJob(wire.Job{ID: "j-1", Kind: wire.JobArray, Tasks: tasks, CPUs: 1}, h.now, h.now)
}

// commit writes what is due, and waits for the store's answer.
func (h *testHost) commit() {
	h.now += 2 * micro.Second
	h.records.Flush(h.now)
	(<-h.events).Apply()
}

// The first end wins: what the store holds is the truth, and the leader is told that.
func TestStoredFinalStateOfJobTakesPrecedence(t *testing.T) {
	host := newTestHost(testRole{})
	job := host.addJob(1)
	host.records.WriteJobEnd(job, wire.JobDone)
	if host.records.EndUncertain("j-1") || len(host.finalStates) > 0 {
		t.Fatal("nothing was sent yet")
	}
	record := host.records.Lookup(keys.JobEnd("j-1"))
	stored := wire.Item{
		Key:   record.Key,
		Value: wire.MustMarshal(cluster.FinalStatusRecord{State: wire.JobAborted}),
	}
	if record.ResolveUncertain(wire.Item{Key: record.Key, Value: []byte{0xc1}}) {
		t.Fatal("a value that is no end settles nothing")
	}
	if !record.ResolveUncertain(stored) || host.finalStates["j-1"] != wire.JobAborted {
		t.Errorf("the leader was told %q", host.finalStates["j-1"])
	}
	if host.records.Lookup(keys.JobEnd("j-1")) != nil {
		t.Error("the record of an end that is stored is kept")
	}
}

// The owner of a shard keeps the chunks of a job that has ended until its assignment has
// gone; a leader deletes them.
func TestChunksOfEndedJobAreDeletedUnlessRoleKeepsThem(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		host := newTestHost(testRole{keepsChunks: keeps})
		job := host.addJob(1)
		host.cluster.FinalizeJob(job, true, host.now)
		host.records.ChunkDirty(job.Chunks[0])
		record := host.records.LookupChunk(job.Chunks[0])
		if keeps {
			if record != nil {
				t.Error("a chunk is written that waits for its job's assignment to go")
			}
			continue
		}
		if record == nil || !record.Dirty() {
			t.Fatal("the chunk of a job that has ended stays")
		}
		if value, _ := record.Build(); value != nil {
			t.Errorf("it is written as %v, not deleted", value)
		}
	}
}

// A format that was raised is for good, and nothing turns to the compact form before it is
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
			t.Errorf("%v was taken for a format", stored)
		}
	}
	host.records.Format.Raise(host.now)
	if host.cluster.CompactRecords || host.formatRaisedCount > 0 {
		t.Fatal("the compact form is in use before the format is stored")
	}
	host.commit()
	if !host.cluster.CompactRecords || host.formatRaisedCount != 1 ||
		host.cluster.TasksPerChunk != host.records.Format.next().TasksPerChunk {
		t.Fatalf(
			"compact %v, raised %d times, %d tasks in a chunk",
			host.cluster.CompactRecords,
			host.formatRaisedCount,
			host.cluster.TasksPerChunk,
		)
	}
	host.records.Format.Raise(host.now)
	if host.records.Lookup(keys.Format).Dirty() {
		t.Error("it is raised again")
	}
}

// A machine's speed is restored with the version of its key; what is no record is an error.
func TestSpeedsAreRestoredWithKeyVersion(t *testing.T) {
	host := newTestHost(testRole{})
	if host.records.RestoreSpeeds(wire.Item{Key: keys.Speeds, Value: []byte{0xc1}}) == nil {
		t.Error("no error for a value that is none of speeds")
	}
	stored := scheduler.SpeedRecord{Speeds: map[string][2]float64{"small": {0.5, 9}}}
	item := wire.Item{Key: keys.Speeds, Value: wire.MustMarshal(stored), Version: 7}
	if err := host.records.RestoreSpeeds(item); err != nil {
		t.Fatal(err)
	}
	if got := host.records.speeds.Record().Speeds["small"]; got != stored.Speeds["small"] {
		t.Errorf("the speed is %v", got)
	}
	host.records.WriteSpeeds(host.now)
	if record := host.records.Lookup(keys.Speeds); record.Version() != 7 || !record.Dirty() {
		t.Errorf("version %d, to be written %v", record.Version(), record.Dirty())
	}
}

// Each round writes two records at the most, reaches all in turn, and deletes those
// that a smaller fleet needs no more.
func TestImagePagesOfLargeFleetAreWrittenInTurn(t *testing.T) {
	host := newTestHost(testRole{})
	host.cluster.EnableCompactRecords(64)
	has := cluster.ImageRecord{Names: []string{"x"}, GB: []float64{9}, Machines: map[string][]int{}}
	for i := range 4000 {
		has.Machines[host.cluster.EnsureMachine(wire.TaskName("i", i), host.now).Name] = []int{0}
	}
	host.cluster.RestoreImages(has, host.now)
	all := len(host.cluster.ImagePages(host.records.Images.maxPageBytes()))
	written := host.runImageWriteRounds(3 * all)
	if len(written) != all {
		t.Errorf("%d of %d records were written", len(written), all)
	}
	for _, machine := range host.cluster.SortedMachines()[100:] {
		host.cluster.RemoveMachine(machine, host.now)
	}
	host.runImageWriteRounds(3 * all)
	if n := len(host.records.Images.pages); n != 0 {
		t.Errorf("%d records are left of a fleet that needs none", n)
	}
}

// runImageWriteRounds plays rounds of writing image records, and lists what was put.
func (h *testHost) runImageWriteRounds(n int) map[string]bool {
	put := map[string]bool{}
	for range n {
		h.records.Images.writeNext(h.now)
		changes := 0
		h.records.Each(func(e *statestore.Record) {
			if !e.Dirty() || !keys.IsImagePage(e.Key) {
				return
			}
			changes++
			value, _ := e.Build()
			e.ClearDirty()
			e.SetVersion(1)
			if value == nil {
				h.records.Drop(e)
				return
			}
			put[e.Key] = true
		})
		if changes > 2 {
			panic("more than two records in a round")
		}
	}
	return put
}

// A job in a shard goes on from the leader's compact records: named by a revision while something
// is still to be written, in doubt, or in the first form alone, what is done would be done again.
func TestJobRevisionRequiresSettledCompactRecords(t *testing.T) {
	host := newTestHost(testRole{})
	host.cluster.EnableCompactRecords(2)
	job := host.addJob(4)
	if revision, persisted := host.records.JobRevision(job); revision != 0 || !persisted {
		t.Fatalf("of a job without records: %d, %v", revision, persisted)
	}
	job.Chunk(0).MemoryVersion++
	host.records.ChunkDirty(job.Chunk(0))
	if _, persisted := host.records.JobRevision(job); persisted {
		t.Error("a record is to be written")
	}
	host.commit()
	revision, persisted := host.records.JobRevision(job)
	record := host.records.LookupChunk(job.Chunk(0))
	if !persisted || revision == 0 || revision != record.Version() {
		t.Errorf("stored at %d: %d, %v", record.Version(), revision, persisted)
	}
	record.MarkDirty(host.now, statestore.PriorityHigh)
	host.records.Flush(host.now + 2*micro.Second)
	if _, persisted := host.records.JobRevision(job); persisted {
		t.Error("a record is in flight")
	}
	(<-host.events).Apply()
	if later, persisted := host.records.JobRevision(job); !persisted || later <= revision {
		t.Errorf("after another write: %d, %v", later, persisted)
	}
}

// The owner of a shard reads compact records alone.
func TestJobOnlyInLegacyFormatIsPersistedInCompactFormat(t *testing.T) {
	host := newTestHost(testRole{})
	host.cluster.EnableCompactRecords(2)
	job := host.addJob(4)
	host.cluster.RestoreChunk(job, 0, &cluster.ChunkRecord{Done: [][2]int{{0, 0}, {3, 3}}}, 5, host.now)
	host.cluster.FinishRestore(host.now)
	if _, persisted := host.records.JobRevision(job); persisted {
		t.Fatal("its records are in the first form alone")
	}
	for range 3 {
		host.records.PersistJob(job)
		host.commit()
	}
	revision, persisted := host.records.JobRevision(job)
	for _, chunk := range job.Chunks {
		record := host.records.LookupChunk(chunk)
		if record == nil || record.Version() == 0 || record.Key != keys.CompactChunk("j-1", chunk.Index) {
			t.Errorf("chunk %d is not stored in the compact form", chunk.Index)
		}
	}
	if !persisted || revision == 0 {
		t.Errorf("revision %d, persisted %v", revision, persisted)
	}
}
