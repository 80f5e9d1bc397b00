package coordinator

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// noEffects implements cluster.Effects and ignores all calls.
type noEffects struct{}

func (noEffects) ChunkDirty(*cluster.TaskChunk)                           {}
func (noEffects) ChunkUrgent(*cluster.TaskChunk)                          {}
func (noEffects) DispatchSoon(*cluster.Machine)                           {}
func (noEffects) JobFinished(*cluster.Job)                                {}
func (noEffects) DependencyAborted(*cluster.Job)                          {}
func (noEffects) DependencyUnknown(string)                                {}
func (noEffects) AttemptCompleted(*cluster.Allocation, micro.Time)        {}
func (noEffects) ChunkMigrated(*cluster.TaskChunk, *cluster.LegacyRecord) {}
func (noEffects) LegacyRecordSuperseded(*cluster.LegacyRecord)            {}
func (noEffects) ScheduleSoon()                                           {}
func (noEffects) Log(string, ...any)                                      {}

// leadingHost is the Host of a leader that holds its lease. It records the job ends, cancellations and
// fencing tokens that it receives.
type leadingHost struct {
	ended                []string
	pending, unconfirmed []*cluster.Job
	fencingToken         uint64
}

func (h *leadingHost) HoldsLease() bool   { return true }
func (h *leadingHost) Resign(string)      {}
func (h *leadingHost) MaxValueBytes() int { return 1 << 16 }
func (h *leadingHost) RaiseFencingToken(atLeast uint64) {
	h.fencingToken = max(h.fencingToken, atLeast)
}
func (h *leadingHost) Terminate(*cluster.Machine, string)   {}
func (h *leadingHost) CancellationPending(job *cluster.Job) { h.pending = append(h.pending, job) }
func (h *leadingHost) CancellationUnconfirmed(job *cluster.Job) {
	h.unconfirmed = append(h.unconfirmed, job)
}
func (h *leadingHost) UpdateFencedZones() {}
func (h *leadingHost) WriteJobEnd(job *cluster.Job, _ wire.JobState) {
	h.ended = append(h.ended, job.Spec.ID)
}

func (h *leadingHost) ChunkRevision(chunk *cluster.TaskChunk) (uint64, bool) {
	return chunk.KeyRevision, true
}
func (h *leadingHost) JobRevision(*cluster.Job) (uint64, bool) { return 0, true }
func (h *leadingHost) PersistJob(*cluster.Job)                 {}
func (h *leadingHost) DeleteHandedOver(*cluster.Job) bool      { return true }

func (h *leadingHost) MarkChunkDirty(*cluster.TaskChunk, micro.Time, statestore.Priority) {}

// writerHost is the host of the statestore.Writer of a testCoordinator.
type writerHost struct{ test *testCoordinator }

func (h writerHost) Now() micro.Time                    { return h.test.at }
func (h writerHost) HoldsLease() bool                   { return true }
func (h writerHost) Preconditions() []wire.Precondition { return nil }
func (h writerHost) Post(event eventloop.Event)         { h.test.loop.Post(event) }
func (h writerHost) MaxValueBytes() int                 { return 1 << 16 }
func (h writerHost) MaxTransactionOps() int             { return 100 }
func (h writerHost) ObserveCommit(micro.Time)           {}

// testCoordinator is a Coordinator with a fake store and a clock that the test sets.
type testCoordinator struct {
	*Coordinator
	t     *testing.T
	at    micro.Time
	host  *leadingHost
	loop  *eventloop.Loop
	store *fake.Store
}

// newTestCoordinator returns the Coordinator of a leader, where n-1 and n-2 have sessions and n-1 owns
// the shard "east", which selects all machines in zone b.
func newTestCoordinator(t *testing.T) *testCoordinator {
	t.Helper()
	test := &testCoordinator{
		t: t, at: micro.Minute, host: &leadingHost{}, loop: eventloop.New(), store: fake.NewStore(),
	}
	state := cluster.New(noEffects{})
	state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{Name: "m", CPUs: 16, MemoryGB: 64}, {Name: "g", CPUs: 16, MemoryGB: 64, GPUs: 4},
	}})
	term := election.NewTerm(7, 1000*micro.Second)
	test.Coordinator = New(Dependencies{
		Host: test.host, Config: testConfig(), Cluster: state,
		Records: statestore.New(writerHost{test}, test.store, slog.New(slog.DiscardHandler)),
		Table:   shard.NewWatcher(test.store, slog.New(slog.DiscardHandler), func() {}),
		Store:   test.store, Term: term, Loop: test.loop,
		RenewalBound: leasekeeper.NewRenewalBound(7, 0, 0, map[string]string{}, "a"),
		Now:          func() micro.Time { return test.at }, Wall: func() micro.Time { return test.at },
		Log: slog.New(slog.DiscardHandler),
	})
	test.sessions.known, test.sessions.current = true, shard.Sessions{"n-1": 3, "n-2": 4}
	test.put(election.LeaderKey, "n-1")
	test.writeShard(shard.Owned, "n-1")
	return test
}

func testConfig() *config.Config {
	return &config.Config{
		Platform: config.Platform{Node: "n-1"}, Features: config.Features{Shards: &config.Shards{}},
	}
}

// put writes a key to the store.
func (test *testCoordinator) put(key string, value any) {
	test.t.Helper()
	transaction := wire.Transaction{Then: []wire.Change{{Put: key, Value: value}}}
	if _, err := test.store.Commit(test.t.Context(), store.Routine, transaction); err != nil {
		test.t.Fatal(err)
	}
}

// writeShard writes the record of the shard "east", updates the table and returns the shard's entry.
func (test *testCoordinator) writeShard(state shard.State, owner string) shard.Entry {
	test.t.Helper()
	record := shard.NewRecord(shard.Selector{Zone: "b"}, nil, 0)
	record.State = state
	record.Owner, _ = test.sessions.current.Controller(owner)
	test.put(shard.RecordKey("east"), record)
	if _, err := test.Table.Read(test.t.Context()); err != nil {
		test.t.Fatal(err)
	}
	entry, _ := test.table().Get("east")
	return entry
}

// serveUntil runs the event loop until a condition holds, for at most 20 s.
func (test *testCoordinator) serveUntil(condition func() bool) {
	test.t.Helper()
	ctx, cancel := context.WithTimeout(test.t.Context(), 20*time.Second)
	defer cancel()
	test.loop.StopWith(ctx)
	test.loop.Run(eventloop.Handlers{
		Now: test.Now, Tick: func(micro.Time) {},
		AfterEvents: func(micro.Time) {
			if condition() {
				test.loop.Stop()
			}
		},
	})
	if !condition() {
		test.t.Fatal("condition not met within 20 s")
	}
}

// addJob submits a job, an array unless the spec has another kind.
func (test *testCoordinator) addJob(id string, spec wire.Job) *cluster.Job {
	spec.ID = id
	if spec.Kind == "" {
		spec.Kind = wire.JobArray
	}
	return test.Cluster.AddJob(spec, 0)
}

func TestTasksThatFitCountsByResourcesAndZoneRules(t *testing.T) {
	test := newTestCoordinator(t)
	capacity := []shard.FreeCapacity{
		{Type: "m", Zone: "a", Count: 2, CPU: 16, Mem: 64},
		{Type: "m", Zone: "b", Count: 1, CPU: 16, Mem: 64},
		{Type: "g", Zone: "b", Count: 1, CPU: 8, GPU: 4, Mem: 64},
		{Type: "unknown", Zone: "b", Count: 9, CPU: 99, GPU: 99, Mem: 999},
	}
	for name, c := range map[string]struct {
		spec wire.Job
		want int
	}{
		"by CPUs":                 {wire.Job{Tasks: 20, CPUs: 4}, 4 + 4 + 4 + 2},
		"by memory":               {wire.Job{Tasks: 20, CPUs: 1, MemoryGB: 32}, 2 + 2 + 2 + 2},
		"by GPUs":                 {wire.Job{Tasks: 20, CPUs: 1, GPUs: 2}, 2},
		"in one zone":             {wire.Job{Tasks: 20, CPUs: 4, OneZone: true}, 8},
		"spread":                  {wire.Job{Tasks: 6, CPUs: 4, Spread: true}, 3 + 3},
		"larger than any machine": {wire.Job{Tasks: 1, CPUs: 17}, 0},
	} {
		if got := test.tasksThatFit(capacity, &c.spec); got != c.want {
			t.Errorf("%s: %d tasks fit, want %d", name, got, c.want)
		}
	}
}

// A shard whose owner no agent reaches must stop moving after maxUnreachableMoves moves until the
// cooldown is over. Without the limit a shard whose machines had died moved indefinitely, and kept
// the allocations of these machines.
func TestUnreachableShardIsNotMovedDuringCooldown(t *testing.T) {
	test := newTestCoordinator(t)
	moves := 0
	for range 5 {
		entry := test.writeShard(shard.Owned, "n-1")
		test.viewOf("east").unreachable = true
		delete(test.commitsInFlight, "east")
		test.moveUnreachableShard(entry, test.at)
		if test.commitsInFlight["east"] {
			moves++
		}
	}
	if moves != maxUnreachableMoves {
		t.Errorf("shard was moved %d times, want %d", moves, maxUnreachableMoves)
	}
	test.at += moveCooldown
	delete(test.commitsInFlight, "east")
	test.moveUnreachableShard(test.writeShard(shard.Owned, "n-1"), test.at)
	if !test.commitsInFlight["east"] {
		t.Error("shard was not moved after the cooldown")
	}
}

// A machine that is up shortly after a move must not reset the number of moves: a machine that came up
// briefly under each owner once kept the shard moving.
func TestUnreachableMoveCountIsResetOnlyAfterReachedTime(t *testing.T) {
	test := newTestCoordinator(t)
	test.Config.SuspectAfter = 8 * micro.Second
	for name, row := range map[string]struct {
		after micro.Time // time since the last move
		want  int
	}{
		"before reached time": {after: 2 * micro.Second, want: maxUnreachableMoves},
		"after reached time":  {after: test.Config.SuspectAfter + 1},
	} {
		t.Run(name, func(t *testing.T) {
			view := &shardView{unreachableMoves: maxUnreachableMoves, unreachableMovedAt: test.at}
			update := &shard.ShardUpdate{MachineCount: 1}
			view.observe(update, test.at+row.after, test.Config.SuspectAfter)
			if view.unreachableMoves != row.want {
				t.Errorf("%d moves are counted, want %d", view.unreachableMoves, row.want)
			}
		})
	}
}

// A job that was handed back stays assigned until the shard's record has changed and the assignment has
// been looked up. Without that a late write created an assignment that its owner had deleted, and a
// cancelled job ran.
func TestHandedBackJobIsLookedUpBeforeItIsUnassigned(t *testing.T) {
	for name, assignedAgain := range map[string]bool{"deleted": false, "assigned again by a late write": true} {
		t.Run(name, func(t *testing.T) {
			test := newTestCoordinator(t)
			job := test.addJob("j-1", wire.Job{Tasks: 1, CPUs: 1})
			test.Cluster.Assign(job, "east")
			assigned := test.storeAssignment("east", job, shard.Assignment{Job: job.Spec, MaxAllocations: 1})
			assigned.storeRecord.SetVersion(5)
			key := shard.AssignmentKey("east", "j-1")
			test.applyAssignmentDeletions(wire.Events{Events: []wire.Event{{Delete: key, Version: 6}}})
			if !assigned.handedBack || job.State != cluster.Assigned {
				t.Fatal("the job was not handed back, or was unassigned at once")
			}
			test.writeShard(shard.Owned, "n-1") // transactions conditional on the earlier record now fail
			if assignedAgain {
				test.put(key, assigned.assignment)
			}
			test.reconcileHandedBack()
			test.serveUntil(func() bool { return !assigned.lookupInFlight })
			if assignedAgain != (job.State == cluster.Assigned) || assignedAgain != (test.assignedJobs["j-1"] != nil) {
				t.Errorf("job state %v, which does not match the stored assignment", job.State)
			}
		})
	}
}

// The write that creates an assignment must fail once the job's end is stored or the shard's record has
// changed.
func TestAssignmentCreationHasPreconditions(t *testing.T) {
	test := newTestCoordinator(t)
	job := test.addJob("j-1", wire.Job{Tasks: 1, CPUs: 1})
	assigned := test.storeAssignment("east", job, shard.Assignment{Job: job.Spec})
	preconditions := assigned.storeRecord.Preconditions()
	entry, _ := test.table().Get("east")
	if len(preconditions) != 2 || preconditions[0] != (wire.Precondition{Key: "job/j-1/end"}) ||
		preconditions[1] != entry.Precondition() {
		t.Errorf("the creation has preconditions %v", preconditions)
	}
	assigned.storeRecord.SetVersion(5)
	if later := assigned.storeRecord.Preconditions(); later != nil {
		t.Errorf("a later write has preconditions %v", later)
	}
}

func TestShardIsReassignedWhenOwnerSessionIsLost(t *testing.T) {
	test := newTestCoordinator(t)
	delete(test.sessions.current, "n-1")
	test.put(shard.SessionKey("n-2"), true)
	item, err := test.store.Get(t.Context(), store.Routine, shard.SessionKey("n-2"))
	if err != nil {
		t.Fatal(err)
	}
	test.sessions.current["n-2"] = item.Version
	leader, err := test.store.Get(t.Context(), store.Routine, election.LeaderKey)
	if err != nil {
		t.Fatal(err)
	}
	test.Term = election.NewTerm(uint64(leader.Version), 1000*micro.Second)
	entry, _ := test.table().Get("east")
	test.reconcileShard(entry, test.at)
	test.serveUntil(func() bool { return !test.commitsInFlight["east"] })
	if _, err := test.Table.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if entry, _ = test.table().Get("east"); entry.Record.Owner.Node != "n-2" {
		t.Errorf("owner %q, want n-2", entry.Record.Owner.Node)
	}
}

func TestReclaimRaisesFencingTokenAboveReleasedShard(t *testing.T) {
	test := newTestCoordinator(t)
	entry := test.writeShard(shard.Released, "")
	test.reclaimShard(entry, test.at)
	test.serveUntil(func() bool { return !test.reclaims["east"].readInFlight })
	if !test.reclaims["east"].reclaimed || test.host.fencingToken != shard.FirstFencingToken(entry.Version) {
		t.Errorf("reclaimed %v, fencing token %d", test.reclaims["east"].reclaimed, test.host.fencingToken)
	}
	if test.ownedElsewhere(entry) {
		t.Error("the machines of the reclaimed shard are not the leader's")
	}
}

func TestCancellationOfAssignedJobEndsOnceWhenOwnerStopsItsTasks(t *testing.T) {
	test := newTestCoordinator(t)
	job := test.addJob("j-1", wire.Job{Tasks: 1, CPUs: 1})
	test.Cluster.Assign(job, "east")
	assigned := test.storeAssignment("east", job, shard.Assignment{Job: job.Spec})
	test.BeginCancellation(job)
	if !assigned.assignment.StopRequested || !assigned.storeRecord.Dirty() {
		t.Error("the stop request is not being written to the assignment")
	}
	test.cancellationProgress("west", shard.StoppingJob{Job: "j-1"}, test.at)
	if len(test.host.ended) != 0 {
		t.Error("job ended by the report of another shard's owner")
	}
	test.cancellationProgress("east", shard.StoppingJob{Job: "j-1"}, test.at)
	test.cancellationProgress("east", shard.StoppingJob{Job: "j-1"}, test.at)
	if len(test.host.ended) != 1 {
		t.Errorf("the end of the job was written %d times, want once", len(test.host.ended))
	}
}

func TestRefusedCommandsReturnReason(t *testing.T) {
	test := newTestCoordinator(t)
	for name, c := range map[string]struct {
		command shard.Command
		want    string
	}{
		"no such shard":     {shard.Command{Operation: shard.OperationShow, Shard: "west"}, `there is no share "west"`},
		"no such operation": {shard.Command{Operation: "x", Shard: "east"}, `there is no operation "x"`},
		"target without session": {
			shard.Command{Operation: shard.OperationMove, Shard: "east", Target: "n-9"},
			`"n-9": ` + shard.ErrTargetWithoutSession.Error(),
		},
		"target is the owner": {
			shard.Command{Operation: shard.OperationMove, Shard: "east", Target: "n-1"}, shard.ErrSameOwner.Error(),
		},
		"not moving": {shard.Command{Operation: shard.OperationCancel, Shard: "east"}, shard.ErrNotMoving.Error()},
		"accepted":   {shard.Command{Operation: shard.OperationShow, Shard: "east"}, ""},
	} {
		var got shard.CommandReply
		test.executeCommand(&c.command, func(reply shard.CommandReply) { got = reply })
		if got.RefusalReason != c.want {
			t.Errorf("%s: refused with %q, want %q", name, got.RefusalReason, c.want)
		}
	}
}

func TestNilCoordinatorDoesNothing(t *testing.T) {
	var c *Coordinator
	c.Reconcile(0)
	c.TableChanged()
	c.FinishRecovery()
	c.AddFencedZones(map[string]bool{})
	assignments, ok := c.RecoverAssignments(t.Context(), func(context.Context, string, func(wire.Item)) (uint64, bool) {
		t.Error("a nil Coordinator read assignments")
		return 0, false
	})
	if c.RefusesHeartbeat(&wire.Heartbeat{}) || !ok || assignments != nil {
		t.Error("a nil Coordinator refuses heartbeats, fails to recover or has assignments")
	}
	if _, ok := c.ReceiveStatusUpdate(nil); ok {
		t.Error("a nil Coordinator answered a status update")
	}
}
