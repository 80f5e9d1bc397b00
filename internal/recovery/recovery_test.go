package recovery

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// testIntake takes jobs into a cluster's state on a clock of its own.
type testIntake struct {
	*Intake
	cluster.Effects
	now micro.Time
}

func (i *testIntake) ScheduleSoon()                  {}
func (i *testIntake) Log(string, ...any)             {}
func (i *testIntake) DependencyUnknown(job string)   { i.Intake.DependencyUnknown(job) }
func (i *testIntake) DependencyAborted(*cluster.Job) {}
func (i *testIntake) ChunkDirty(*cluster.TaskChunk)  {}

func (i *testIntake) LegacyRecordSuperseded(*cluster.LegacyRecord)            {}
func (i *testIntake) ChunkMigrated(*cluster.TaskChunk, *cluster.LegacyRecord) {}
func (i *testIntake) ChunkUrgent(*cluster.TaskChunk)                          {}
func (i *testIntake) DispatchSoon(*cluster.Machine)                           {}

func newTestIntake(t *testing.T, from store.Store) *testIntake {
	t.Helper()
	intake := &testIntake{now: 1000 * micro.Second}
	loop := eventloop.New()
	t.Cleanup(loop.Stop)
	intake.Intake = NewIntake(IntakeDependencies{
		Cluster:    cluster.New(intake),
		Objectives: scheduler.NewObjectives(nil),
		Store:      from,
		Loop:       loop,
		Resign:     func(string) {},
		Now:        func() micro.Time { return intake.now },
		Wall:       func() micro.Time { return intake.now },
		Log:        slog.New(slog.DiscardHandler),
	})
	return intake
}

// A job whose list of dependencies is not there as a whole must not be taken for one that
// awaits less.
func TestDependenciesAreCompleteOrTheJobIsNot(t *testing.T) {
	snapshot := NewSnapshot(slog.New(slog.DiscardHandler))
	add := func(key string, value any) {
		snapshot.AddJobKey(wire.Item{Key: key, Value: wire.MustMarshal(value)})
	}
	add(keys.JobSpec("j-1"), wire.Job{ID: "j-1", Tasks: 1, DependencyChunks: 2})
	add(keys.JobDependencies("j-1", 1), cluster.DependencyRecord{Dependencies: []string{"c"}})
	spec := snapshot.Specs["j-1"]
	if snapshot.CompleteDependencies(&spec) {
		t.Fatalf("complete without its first part: %v", spec.Dependencies)
	}
	add(keys.JobDependencies("j-1", 0), cluster.DependencyRecord{Dependencies: []string{"a", "b"}})
	spec = snapshot.Specs["j-1"]
	if !snapshot.CompleteDependencies(&spec) || !reflect.DeepEqual(spec.Dependencies, []string{"a", "b", "c"}) {
		t.Errorf("its dependencies are %v", spec.Dependencies)
	}
	if spec.DependencyChunks != 0 {
		t.Errorf("%d parts are still to come", spec.DependencyChunks)
	}
}

// What another version stored, or nobody should have, is passed over: it must not stop a
// failover.
func TestSnapshotPassesOverWhatItCannotRead(t *testing.T) {
	snapshot := NewSnapshot(slog.New(slog.DiscardHandler))
	malformed := []byte{0xc1}
	for _, key := range []string{
		keys.JobSpec("j-1"), keys.JobEnd("j-1"), keys.JobDependencies("j-1", 0), "job/j-1/later", "job/j-1",
	} {
		snapshot.AddJobKey(wire.Item{Key: key, Value: malformed})
	}
	snapshot.AddJobKey(wire.Item{Key: keys.JobSpec("j-2"), Value: wire.MustMarshal(wire.Job{ID: "j-2"})}) // no task
	snapshot.AddChunk(wire.Item{Key: "run/j-1/later"})
	if len(snapshot.Specs)+len(snapshot.Ends)+len(snapshot.dependencies) > 0 || snapshot.hasChunks("j-1") {
		t.Errorf("%+v", snapshot)
	}
	snapshot.AddChunk(wire.Item{Key: keys.CompactChunk("j-1", 3)})
	snapshot.AddChunk(wire.Item{Key: keys.LegacyChunk("j-1", 2)})
	if len(snapshot.compactChunks["j-1"]) != 1 || len(snapshot.legacyChunks["j-1"]) != 1 {
		t.Errorf("%+v", snapshot)
	}
}

// A late word of a job's acceptance must not bring back one that has ended, and a job whose
// dependencies are stored apart waits until they are read.
func TestIntakeOfJobs(t *testing.T) {
	intake := newTestIntake(t, fake.NewStore())
	intake.Cluster.FinalStatuses["j-1"] = cluster.FinalStatus{EndedAt: intake.now}
	intake.AddJob(wire.Job{ID: "j-1", Tasks: 1})
	intake.AddJob(wire.Job{ID: "j-2", Tasks: 1, DependencyChunks: 1})
	if len(intake.Cluster.Jobs) > 0 || intake.Knows("j-1") || intake.Knows("j-2") {
		t.Errorf("%d jobs were taken in", len(intake.Cluster.Jobs))
	}
	if !intake.lookups.unresolved["j-2"] || intake.lookups.unresolved["j-1"] {
		t.Errorf("looked up: %v", intake.lookups.unresolved)
	}
	intake.AddJob(wire.Job{ID: "j-3", Tasks: 1, SubmittedAt: int64(intake.now - 7*micro.Second)})
	job := intake.Cluster.Jobs["j-3"]
	if !intake.Knows("j-3") || job == nil || job.SubmittedAt != intake.now-7*micro.Second {
		t.Fatalf("%+v", job)
	}
	intake.AddJob(wire.Job{ID: "j-3", Tasks: 5})
	if intake.Cluster.Jobs["j-3"] != job {
		t.Error("the repeat of a job took its place")
	}
	intake.Forget("j-3")
	if intake.Knows("j-3") {
		t.Error("a job that was forgotten is known")
	}
}

// unansweredJobStore is a store that does not answer for one job.
type unansweredJobStore struct {
	store.Store
	prefix string
}

func (s *unansweredJobStore) Range(
	ctx context.Context, class store.Class, prefix, after string, limit int,
) (wire.Page, error) {
	if prefix == s.prefix {
		return wire.Page{}, store.ErrUncertain
	}
	return s.Store.Range(ctx, class, prefix, after, limit)
}

// Jobs that others depend on are looked up a few at a time; one that could not be read, or is
// not there, stays wanted.
func TestDependenciesAreLookedUp(t *testing.T) {
	backing := fake.NewStore()
	from := &unansweredJobStore{backing, keys.JobPrefixFor("unanswered")}
	intake := newTestIntake(t, from)
	ctx := context.Background()
	_, err := backing.Commit(ctx, store.Routine, wire.Transaction{Then: []wire.Change{
		{Put: keys.JobSpec("accepted"), Value: wire.Job{ID: "accepted", Tasks: 1}},
		{Put: keys.JobSpec("ended"), Value: wire.Job{ID: "ended", Tasks: 1}},
		{Put: keys.JobEnd("ended"), Value: cluster.FinalStatusRecord{State: wire.JobAborted}},
		{Put: keys.JobSpec("incomplete"), Value: wire.Job{ID: "incomplete", Tasks: 1, DependencyChunks: 1}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"accepted", "ended", "incomplete", "unanswered"} {
		intake.DependencyUnknown(id)
	}
	intake.LookUpDependencies()
	batch := <-intake.lookups.batches
	if len(batch) != lookupBatchSize {
		t.Fatalf("looked up together: %v", batch)
	}
	intake.LookUpDependencies()
	if len(intake.lookups.batches) > 0 {
		t.Error("a second look-up began before the first was answered")
	}
	intake.readDependencies(ctx, batch).Apply()
	if !intake.Knows("accepted") || !intake.Cluster.FinalStatuses["ended"].Aborted {
		t.Error("what was read was not taken in")
	}
	want := map[string]bool{"incomplete": true, "unanswered": true}
	if !reflect.DeepEqual(intake.lookups.unresolved, want) {
		t.Errorf("still wanted: %v", intake.lookups.unresolved)
	}
	from.prefix = ""
	intake.Cluster.FinalStatuses["unanswered"] = cluster.FinalStatus{}
	for i := range lookupBatchSize {
		intake.DependencyUnknown(fmt.Sprint("more-", i))
	}
	intake.LookUpDependencies()
	if batch := <-intake.lookups.batches; len(batch) != lookupBatchSize {
		t.Errorf("the next are %v", batch)
	}
}
