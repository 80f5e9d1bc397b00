package recovery

import (
	"context"
	"reflect"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// testLeader takes over what a store holds.
type testLeader struct {
	*testIntake
	*Failover
	ended    []wire.JobStatus
	requests []string
	assigned map[string]bool
	restored []string // jobs that were restored and may be assigned
}

func (l *testLeader) Catalog() *wire.Catalog             { return &wire.Catalog{} }
func (l *testLeader) JobEnded(status wire.JobStatus)     { l.ended = append(l.ended, status) }
func (l *testLeader) Read(context.Context, *Reader) bool { return true }
func (l *testLeader) Has(job string) bool                { return l.assigned[job] }
func (l *testLeader) Restore(job *cluster.Job)           { l.restored = append(l.restored, job.Spec.ID) }

func (l *testLeader) RestoreInstanceRequest(item wire.Item, _, _ micro.Time) {
	l.requests = append(l.requests, item.Key)
}

// recordsHost owns the records of a leader that writes nothing.
type recordsHost struct {
	*testLeader
	formatRaised bool
}

func (h *recordsHost) Now() micro.Time                           { return h.now }
func (h *recordsHost) Wall() micro.Time                          { return h.now }
func (h *recordsHost) HoldsLease() bool                          { return true }
func (h *recordsHost) Post(eventloop.Event)                      {}
func (h *recordsHost) ObserveCommit(micro.Time)                  {}
func (h *recordsHost) JobEnded(*cluster.Job, wire.JobState)      {}
func (h *recordsHost) FormatRaised()                             { h.formatRaised = true }
func (h *recordsHost) Preconditions() []wire.Precondition        { return nil }
func (h *recordsHost) ChunkKey(job string, n int, _ bool) string { return keys.CompactChunk(job, n) }
func (h *recordsHost) KeepsChunksOfEndedJobs() bool              { return false }
func (h *recordsHost) MaxValueBytes() (current, next int)        { return 16 << 10, 16 << 10 }
func (h *recordsHost) MaxTxnOps() int                            { return 24 }

// failOver takes over what a store holds.
func failOver(t *testing.T, from store.Store) (*testLeader, *recordsHost) {
	t.Helper()
	intake := newTestIntake(t, from)
	leader := &testLeader{testIntake: intake, assigned: map[string]bool{"ended-assigned": true}}
	host := &recordsHost{testLeader: leader}
	speeds := scheduler.NewSpeedEstimator()
	records := persist.New(persist.Dependencies{
		Host:    host,
		Role:    host,
		Limits:  host,
		Cluster: intake.Cluster,
		Speeds:  speeds,
		Store:   from,
		Log:     intake.IntakeDependencies.Log,
	})
	leader.Failover = NewFailover(FailoverDependencies{
		Host:        leader,
		Reader:      NewReader(from, intake.Loop, intake.IntakeDependencies.Log),
		Fleet:       NewFleetRecords(records, nil, intake.IntakeDependencies.Log),
		Intake:      intake.Intake,
		Assignments: leader,
		Records:     records,
		Cluster:     intake.Cluster,
		Speeds:      speeds,
		Loop:        intake.Loop,
		Now:         intake.Now,
		Wall:        intake.Wall,
		Log:         intake.IntakeDependencies.Log,
	})
	if _, ok := leader.Run(context.Background()); !ok {
		t.Fatal("the failover was given up")
	}
	return leader, host
}

// storedJobs is a store with jobs that go on, jobs that ended, and what belongs to the fleet.
func storedJobs(t *testing.T) store.Store {
	t.Helper()
	backing := fake.NewStore()
	job := func(id string, dependencyChunks int) wire.Change {
		return wire.Change{Put: keys.JobSpec(id), Value: wire.Job{
			ID: id, Kind: wire.JobArray, Tasks: 2, CPUs: 1, DependencyChunks: dependencyChunks,
		}}
	}
	allocated := cluster.ChunkRecord{
		Allocations: []cluster.AllocationRecord{{Index: 1, Attempt: 1, Machine: "i-1", Session: 3, Zone: "a"}},
		Done:        [][2]int{{0, 0}},
	}
	done := cluster.FinalStatusRecord{State: wire.JobDone, EndedAt: int64(990 * micro.Second)}
	_, err := backing.Commit(context.Background(), store.Routine, wire.Transaction{Then: []wire.Change{
		{Put: keys.Format, Value: persist.FormatRecord{Version: persist.FormatVersion, TasksPerChunk: 64}},
		{Put: keys.Speeds, Value: "not speeds"},
		{Put: keys.InstanceRequest("r-1"), Value: "x"},
		job("legacy", 0),
		{Put: keys.LegacyChunk("legacy", 0), Value: allocated},
		job("compact", 0),
		{Put: keys.CompactChunk("compact", 0), Value: allocated.Compact()},
		job("ended", 0),
		{Put: keys.JobEnd("ended"), Value: done},
		job("ended-assigned", 1),
		{Put: keys.JobEnd("ended-assigned"), Value: done},
		job("ended-with-chunks", 0),
		{Put: keys.JobEnd("ended-with-chunks"), Value: done},
		{Put: keys.CompactChunk("ended-with-chunks", 0), Value: allocated.Compact()},
		job("incomplete", 1),
	}})
	if err != nil {
		t.Fatal(err)
	}
	return backing
}

// Jobs that go on are restored with their allocations; one whose dependencies are not there as
// a whole is looked up.
func TestFailoverRestoresJobsThatGoOn(t *testing.T) {
	leader, host := failOver(t, storedJobs(t))
	state := leader.testIntake.Cluster
	if !host.formatRaised || !state.CompactRecords {
		t.Error("the format that is stored is not in use")
	}
	for _, id := range []string{"legacy", "compact"} {
		if job := state.Jobs[id]; job == nil || job.IsTerminal() || job.AllocationCount != 1 || !leader.Knows(id) {
			t.Errorf("%s: %+v", id, job)
		}
	}
	if state.Jobs["incomplete"] != nil || !leader.lookups.unresolved["incomplete"] {
		t.Error("a job without its dependencies is in the state, or not looked up")
	}
	if !reflect.DeepEqual(leader.requests, []string{keys.InstanceRequest("r-1")}) {
		t.Errorf("instance requests: %v", leader.requests)
	}
}

// Jobs that ended are restored as long as something of them is left; status queries know the
// others.
func TestFailoverRestoresEndedJobsAsFarAsNeeded(t *testing.T) {
	leader, _ := failOver(t, storedJobs(t))
	state := leader.testIntake.Cluster
	want := []wire.JobStatus{{ID: "ended", State: wire.JobDone, Done: 2}}
	if !reflect.DeepEqual(leader.ended, want) || state.Jobs["ended"] != nil {
		t.Errorf("ended without a trace: %+v", leader.ended)
	}
	for _, id := range []string{"ended-assigned", "ended-with-chunks"} {
		if job := state.Jobs[id]; job == nil || job.State != cluster.Done {
			t.Errorf("%s: %+v", id, job)
		}
	}
	for _, id := range []string{"ended", "ended-assigned", "ended-with-chunks"} {
		if endedAt := state.FinalStatuses[id].EndedAt; endedAt != 990*micro.Second {
			t.Errorf("%s ended at %v", id, endedAt)
		}
	}
	if len(leader.restored) != len(state.Jobs) {
		t.Errorf("assignments were looked for of %v", leader.restored)
	}
}

// failingStore is a store whose first reads of each prefix fail.
type failingStore struct {
	store.Store
	failed map[string]bool
}

func (s *failingStore) Range(
	ctx context.Context, class store.Class, prefix, after string, limit int,
) (wire.Page, error) {
	if !s.failed[prefix] {
		s.failed[prefix] = true
		return wire.Page{}, store.ErrUncertain
	}
	return s.Store.Range(ctx, class, prefix, after, limit)
}

// A read that fails is repeated until the term ends.
func TestFailoverRepeatsReadsUntilItsTermEnds(t *testing.T) {
	from := &failingStore{fake.NewStore(), map[string]bool{}}
	leader, _ := failOver(t, from)
	if len(from.failed) != 4 {
		t.Errorf("reads failed: %v", from.failed)
	}
	leader.testIntake.Loop.Stop()
	clear(from.failed)
	if _, ok := leader.Run(context.Background()); ok {
		t.Error("it goes on after the end of its term")
	}
}
