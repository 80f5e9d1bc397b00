package coordinator

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// handoverEnv is a test environment in fake time: a store with the shard "east", a leader with the
// records of its jobs' tasks, and later leaders that take over from it. The test itself acts as n-1,
// the owner of the shard.
type handoverEnv struct {
	t         *testing.T
	startedAt time.Time
	store     *fake.Store
	specs     []wire.Job
	leader    *testLeader

	mu        sync.Mutex         // guards the fields below
	committed []wire.Transaction // transactions sent by the leaders, in order
	fault     func(wire.Transaction) fake.CommitFault
}

// testLeader is one term of the leader, without the management of machines.
type testLeader struct {
	*Coordinator
	cluster.Effects
	env       *handoverEnv
	records   *persist.Records
	cancelled []*cluster.Job    // arguments of CancellationPending
	ends      map[string]string // states passed to WriteJobEnd, concatenated by job
	stop      func()
}

// leaderRole makes writes of a leader's records conditional on its term.
type leaderRole struct{ term *election.Term }

func (r leaderRole) Preconditions() []wire.Precondition {
	return []wire.Precondition{r.term.Precondition()}
}

func (leaderRole) ChunkKey(job string, index int, _ bool) string {
	return keys.CompactChunk(job, index)
}
func (leaderRole) KeepsChunksOfEndedJobs() bool { return false }

// handoverLimits are the limits of a store with values of up to 16 KB and 24 operations per transaction.
type handoverLimits struct{}

func (handoverLimits) MaxValueBytes() (current, next int) { return 16 << 10, 16 << 10 }
func (handoverLimits) MaxTxnOps() int                     { return 24 }

// persistHost is the host of a testLeader's persist.Records.
type persistHost struct{ leader *testLeader }

func (h persistHost) Now() micro.Time                      { return h.leader.env.now() }
func (h persistHost) Wall() micro.Time                     { return h.leader.env.now() }
func (h persistHost) HoldsLease() bool                     { return true }
func (h persistHost) Post(event eventloop.Event)           { h.leader.Loop.Post(event) }
func (h persistHost) ObserveCommit(micro.Time)             {}
func (h persistHost) JobEnded(*cluster.Job, wire.JobState) {}
func (h persistHost) FormatRaised()                        {}

// handoverHost is the Host of a testLeader's Coordinator.
type handoverHost struct {
	*leadingHost
	leader *testLeader
}

func (h handoverHost) WriteJobEnd(job *cluster.Job, state wire.JobState) {
	h.leader.ends[job.Spec.ID] += string(state)
}

func (h handoverHost) CancellationPending(job *cluster.Job) {
	h.leader.cancelled = append(h.leader.cancelled, job)
}

func (h handoverHost) MarkChunkDirty(chunk *cluster.TaskChunk, now micro.Time, priority statestore.Priority) {
	h.leader.records.ChunkRecord(chunk).MarkDirty(now, priority)
}

func (h handoverHost) ChunkRevision(chunk *cluster.TaskChunk) (uint64, bool) {
	return h.leader.records.ChunkRevision(chunk)
}

func (h handoverHost) JobRevision(job *cluster.Job) (uint64, bool) {
	return h.leader.records.JobRevision(job)
}
func (h handoverHost) PersistJob(job *cluster.Job) { h.leader.records.PersistJob(job) }

func (h handoverHost) DeleteHandedOver(job *cluster.Job) bool {
	return h.leader.records.DeleteHandedOver(job)
}

func (l *testLeader) ChunkDirty(chunk *cluster.TaskChunk)  { l.records.ChunkDirty(chunk) }
func (l *testLeader) ChunkUrgent(chunk *cluster.TaskChunk) { l.records.ChunkUrgent(chunk) }

// runHandover runs a scenario in fake time, in an environment where n-0 is the leader.
func runHandover(t *testing.T, scenario func(env *handoverEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := &handoverEnv{t: t, startedAt: time.Now(), store: fake.NewStore()}
		env.store.Now = env.now
		for _, node := range []string{"n-0", "n-1"} {
			env.put(shard.SessionKey(node), election.Record{Node: node, Features: []string{shard.HandoverFeature}})
		}
		record := shard.NewRecord(shard.Selector{Zone: "b"}, nil, 0)
		record.State, record.Owner = shard.Owned, env.owner()
		env.put(shard.RecordKey("east"), record)
		env.startNextTerm()
		defer func() { env.leader.stop(); time.Sleep(time.Minute) }()
		scenario(env)
	})
}

// now returns the fake time, which starts at one minute.
func (s *handoverEnv) now() micro.Time {
	return micro.Minute + micro.Time(time.Since(s.startedAt).Microseconds())
}

// owner returns the incarnation of n-1 that holds the current session.
func (s *handoverEnv) owner() shard.Controller {
	return shard.Controller{Node: "n-1", SessionVersion: wire.Count(s.version(shard.SessionKey("n-1")))}
}

func (s *handoverEnv) put(key string, value any) {
	s.t.Helper()
	s.commit(wire.Change{Put: key, Value: value})
}

func (s *handoverEnv) commit(changes ...wire.Change) {
	s.t.Helper()
	if _, err := s.store.Commit(s.t.Context(), store.Routine, wire.Transaction{Then: changes}); err != nil {
		s.t.Fatal(err)
	}
}

// version returns the version of a key; 0 if it does not exist.
func (s *handoverEnv) version(key string) uint64 {
	item, err := s.store.Get(s.t.Context(), store.Routine, key)
	if err != nil {
		return 0
	}
	return uint64(item.Version)
}

// keys lists the keys with a prefix.
func (s *handoverEnv) keys(prefix string) []string {
	var names []string
	for _, item := range s.items(prefix) {
		names = append(names, item.Key)
	}
	return names
}

func (s *handoverEnv) items(prefix string) []wire.Item {
	s.t.Helper()
	page, err := s.store.Range(s.t.Context(), store.Routine, prefix, "", 1000)
	if err != nil {
		s.t.Fatal(err)
	}
	return page.Items
}

// assignment reads the assignment of j-1 to "east" from the store; version 0 means that it does not
// exist.
func (s *handoverEnv) assignment() (assignment shard.Assignment, version uint64) {
	s.t.Helper()
	item, err := s.store.Get(s.t.Context(), store.Routine, shard.AssignmentKey("east", "j-1"))
	if err != nil {
		return assignment, 0
	}
	if err := wire.Unmarshal(item.Value, &assignment); err != nil {
		s.t.Fatal(err)
	}
	return assignment, uint64(item.Version)
}

// startNextTerm stops the current leader at once and starts another, which restores its state from the
// store.
func (s *handoverEnv) startNextTerm() {
	s.t.Helper()
	if s.leader != nil {
		s.runOnLoop(s.leader.stop)
	}
	s.put(election.LeaderKey, "n-0")
	s.leader = s.newLeader(election.NewTerm(s.version(election.LeaderKey), s.now()+1000*micro.Minute))
	s.leader.restore()
	go s.leader.Loop.Run(eventloop.Handlers{
		Now: s.now, Tick: s.leader.Reconcile, AfterEvents: s.leader.records.Flush,
	})
	synctest.Wait()
}

func (s *handoverEnv) newLeader(term *election.Term) *testLeader {
	ctx, cancel := context.WithCancel(context.Background())
	link := fake.NewLink(s.store, rand.New(rand.NewPCG(1, 1)))
	link.OnCommit(s.observeCommit)
	leader := &testLeader{env: s, Effects: noEffects{}, ends: map[string]string{}}
	log := slog.New(slog.DiscardHandler)
	state := cluster.New(leader)
	state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64}}})
	state.CompactRecords, state.TasksPerChunk = true, 2
	state.Teams["team"] = &cluster.Team{Name: "team", CPULimit: 6}
	leader.records = persist.New(persist.Dependencies{
		Host: persistHost{leader}, Role: leaderRole{term}, Limits: handoverLimits{}, Cluster: state,
		Speeds: scheduler.NewSpeedEstimator(), Store: link, Log: log,
	})
	loop := eventloop.New()
	follower := shard.NewWatcher(link, log, func() {})
	leader.Coordinator = New(Dependencies{
		Host: handoverHost{&leadingHost{}, leader}, Config: handoverConfig(), Cluster: state,
		Records: leader.records.Writer, Table: follower, Store: link, Term: term, Loop: loop,
		RenewalBound: leasekeeper.NewRenewalBound(term.FencingRevision, 0, 0, map[string]string{}, "a"),
		Now:          s.now, Wall: s.now, Log: log,
	})
	state.Ownership = leader.ClassifyMachine
	leader.stop = func() { loop.Stop(); cancel() }
	go func() { _ = follower.Run(ctx) }()
	return leader
}

// observeCommit records a transaction of a leader and returns the fault to inject into it.
func (s *handoverEnv) observeCommit(transaction wire.Transaction) fake.CommitFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committed = append(s.committed, transaction)
	if s.fault != nil {
		return s.fault(transaction)
	}
	return fake.CommitFault{}
}

// setFault sets the function that chooses the faults of the leaders' later transactions; nil injects none.
func (s *handoverEnv) setFault(fault func(wire.Transaction) fake.CommitFault) {
	s.mu.Lock()
	s.fault = fault
	s.mu.Unlock()
}

// sent lists the leaders' transactions so far.
func (s *handoverEnv) sent() []wire.Transaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.committed)
}

// handoverConfig returns the configuration of n-0, with n-1 as its peer.
func handoverConfig() *config.Config {
	settings := testConfig()
	settings.Node, settings.Peers = "n-0", []config.Peer{{Node: "n-1"}}
	return settings
}

// restore restores the jobs, their assignments and chunks from the store.
func (l *testLeader) restore() {
	s := l.env
	assignments, ok := l.RecoverAssignments(
		s.t.Context(), func(ctx context.Context, prefix string, each func(wire.Item)) (uint64, bool) {
			page, err := s.store.Range(ctx, store.Routine, prefix, "", 1000)
			for _, item := range page.Items {
				each(item)
			}
			return uint64(page.Revision), err == nil
		},
	)
	if !ok {
		s.t.Fatal("read of the assignments failed")
	}
	for _, spec := range s.specs {
		l.RestoreAssignment(l.Cluster.AddJob(spec, s.now()), assignments[spec.ID])
	}
	for _, item := range s.items(keys.ChunkPrefix) {
		id, index, _, _ := keys.ParseChunk(item.Key)
		var record cluster.CompactRecord
		if err := wire.Unmarshal(item.Value, &record); err != nil {
			s.t.Fatal(err)
		}
		l.Cluster.RestoreCompactChunk(l.Cluster.Jobs[id], index, &record, uint64(item.Version), s.now())
	}
	l.Cluster.FinishRestore(s.now())
	l.FinishRecovery()
}

// sleep lets the leader run for a while.
func (s *handoverEnv) sleep(d micro.Time) {
	s.runOnLoop(func() {}) // orders earlier reads of the test before later actions of the loop
	time.Sleep(d.Duration())
	synctest.Wait()
}

// waitUntil lets the leader run until a condition holds, for at most 10 s.
func (s *handoverEnv) waitUntil(what string, condition func() bool) {
	s.t.Helper()
	synctest.Wait()
	for range 2000 {
		if condition() {
			return
		}
		s.sleep(5 * micro.Millisecond)
	}
	s.t.Fatalf("condition not met: %s", what)
}

// sendUpdate sends an update of "east" from its owner to the leader.
func (s *handoverEnv) sendUpdate(update shard.ShardUpdate) {
	s.t.Helper()
	update.Name, update.AssignmentRevision = "east", 1<<40
	s.runOnLoop(func() {
		owner := s.owner()
		s.leader.applyStatusUpdate(&shard.StatusUpdate{
			Node: owner.Node, SessionVersion: uint64(owner.SessionVersion), Shards: []shard.ShardUpdate{update},
		}, s.now())
	})
}

// loopStep is an event that runs a function on the leader's loop.
type loopStep struct {
	run  func()
	done chan struct{}
}

// Apply runs the function and signals that it is done.
func (e loopStep) Apply() { e.run(); close(e.done) }

// runOnLoop runs a function on the leader's loop and waits for it.
func (s *handoverEnv) runOnLoop(run func()) {
	done := make(chan struct{})
	s.leader.Loop.Post(loopStep{run, done})
	<-done
	synctest.Wait()
}

// job returns the current leader's state of j-1.
func (s *handoverEnv) job() *cluster.Job { return s.leader.Cluster.Jobs["j-1"] }

// submit adds j-1, an array of four tasks with one CPU each, in two chunks.
func (s *handoverEnv) submit() {
	spec := wire.Job{ID: "j-1", Team: "team", Class: "c", Kind: wire.JobArray, Tasks: 4, CPUs: 1, MemoryGB: 1}
	s.specs = append(s.specs, spec)
	s.runOnLoop(func() { s.leader.Cluster.AddJob(spec, s.now()) })
}

// runTask runs a task of j-1 on a machine of the leader until it exits with a cause.
func (s *handoverEnv) runTask(index int, cause wire.ExitCause) {
	s.t.Helper()
	agent := fake.NewAgent("i-"+string(rune('0'+index)), "m", "a", 30*micro.Second)
	s.runOnLoop(func() {
		c := s.leader.Cluster
		c.MinFencingToken = 1
		machine, _ := c.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, s.now())
		allocation := c.Allocate(s.job(), index, machine, s.job().Tasks[index].Attempt+1, 1, s.now())
		agent.Tasks[fake.AttemptKey{Task: allocation.TaskName, Attempt: allocation.Attempt}] = &wire.TaskStatus{
			Task: allocation.TaskName, Attempt: wire.Count(allocation.Attempt), State: wire.TaskExited, Cause: cause,
		}
		c.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, s.now())
	})
}

// reportCapacity sends an update of "east" with free capacity for all of j-1.
func (s *handoverEnv) reportCapacity() {
	s.t.Helper()
	s.sendUpdate(shard.ShardUpdate{FreeCapacity: []shard.FreeCapacity{{Type: "m", Zone: "b", Count: 1, CPU: 16, Mem: 64}}})
}

// assignStartedJob submits j-1, runs its task 0 until it is done and its task 2 until it is stopped, and
// waits until the job is assigned to "east".
func (s *handoverEnv) assignStartedJob() {
	s.t.Helper()
	s.submit()
	s.runTask(0, wire.CauseDone)
	s.runTask(2, wire.CauseStopped)
	s.assignUntilStored()
}

// recordDone writes an owner's record of a chunk of j-1 in which one task is done.
func (s *handoverEnv) recordDone(chunk, task int) {
	s.put(shard.AllocationKey("east", "j-1", chunk), cluster.CompactRecord{
		Zones: []string{}, Machines: []string{}, MachineZones: []int{}, Allocations: [][4]wire.Count{},
		Done: [][2]int{{task, task}}, Attempts: [][2]int{},
	})
}

// release reports that the owner has released j-1, with the version of the stored assignment.
func (s *handoverEnv) release() {
	s.t.Helper()
	_, version := s.assignment()
	s.sendUpdate(shard.ShardUpdate{ReleasedJobs: []shard.ReleasedJob{{Job: "j-1", Version: version}}})
}

// recall reports j-1 as waiting until its recall is stored.
func (s *handoverEnv) recall() {
	s.t.Helper()
	s.waitUntil("recall is stored", func() bool {
		s.sendUpdate(shard.ShardUpdate{WaitingJobs: []string{"j-1"}})
		assignment, _ := s.assignment()
		return assignment.RecallRequested
	})
}

// firstChanges lists those of the prefixes that the leaders' transactions since an index have changed,
// in the order of their first change. A prefix that begins with a minus stands for deletions.
func (s *handoverEnv) firstChanges(since int, prefixes ...string) []string {
	var seen []string
	for _, transaction := range s.sent()[since:] {
		for _, change := range transaction.Then {
			key := change.Put
			if change.Delete != "" {
				key = "-" + change.Delete
			}
			for _, prefix := range prefixes {
				if strings.HasPrefix(key, prefix) && !slices.Contains(seen, prefix) {
					seen = append(seen, prefix)
				}
			}
		}
	}
	return seen
}
