package controller

import (
	"context"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// interceptedStore passes each transaction to a function of the test instead of the store; the function returns the
// error of the commit.
type interceptedStore struct {
	store.Store
	commit func(transaction wire.Transaction) error
}

func (s interceptedStore) Commit(_ context.Context, _ store.Class, transaction wire.Transaction) (uint64, error) {
	return 0, s.commit(transaction)
}

// testClock is a clock that only the test advances. It can jump after a number of readings, which simulates a
// process pause between two of them.
type testClock struct {
	mu        sync.Mutex
	now       micro.Time
	readsLeft int        // readings left before the clock jumps; 0: it does not jump
	jump      micro.Time // how far the clock jumps
}

// Now returns the time, and performs a jump that is due after this reading.
func (c *testClock) Now() micro.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now
	if c.readsLeft > 0 {
		if c.readsLeft--; c.readsLeft == 0 {
			c.now += c.jump
		}
	}
	return now
}

// advance moves the clock forward by a span.
func (c *testClock) advance(span micro.Time) {
	c.mu.Lock()
	c.now += span
	c.mu.Unlock()
}

// jumpAfter makes the clock jump by a span after a number of readings.
func (c *testClock) jumpAfter(reads int, by micro.Time) {
	c.mu.Lock()
	c.readsLeft, c.jump = reads, by
	c.mu.Unlock()
}

// awaitedEvent is an event that runs a function of the test and signals its end.
type awaitedEvent struct {
	run  func()
	done chan struct{}
}

// Apply runs the function and closes done.
func (s awaitedEvent) Apply() {
	s.run()
	close(s.done)
}

// runEventLoop runs a loop that only processes events, without ticks, until the test ends.
func runEventLoop(t *testing.T, loop *eventloop.Loop) {
	t.Helper()
	t.Cleanup(loop.Stop)
	go loop.Run(eventloop.Handlers{
		Now: micro.Now, Tick: func(micro.Time) {}, AfterEvents: func(micro.Time) {},
	})
}

// runInLoop runs f as an event of the loop and waits for it. It returns false if the loop was stopped.
func (l *controlLoop) runInLoop(f func()) bool {
	s := awaitedEvent{f, make(chan struct{})}
	l.loop.Post(s)
	select {
	case <-s.done:
		return true
	case <-l.loop.Done():
		return false
	}
}

// respondToHeartbeat returns the loop's reply to an agent's heartbeat. It calls between after the heartbeat was
// posted to the loop and before the loop processes it.
func (l *controlLoop) respondToHeartbeat(heartbeat *wire.Heartbeat, between func()) httpapi.Reply {
	held, release := make(chan struct{}), make(chan struct{})
	l.loop.Post(awaitedEvent{func() { close(held); <-release }, make(chan struct{})})
	<-held
	reply := make(chan httpapi.Reply, 1)
	go func() { reply <- l.handleHeartbeat(heartbeat) }()
	for l.loop.Len(eventloop.Events) == 0 {
		time.Sleep(time.Millisecond)
	}
	between()
	close(release)
	return <-reply
}

// heartbeatStatus returns the HTTP status of the loop's reply to an agent's heartbeat.
func (l *controlLoop) heartbeatStatus(agent *fake.Agent) int {
	return l.respondToHeartbeat(agent.Heartbeat(), func() {}).Status
}

// newGuardedOwner returns the owner of shard gpus on node n-1, with a valid lease; commit replaces the store's commits.
// Its loop processes events; only the test calls tick.
func newGuardedOwner(t *testing.T, commit func() error) *ShardOwner {
	t.Helper()
	node, kill := newTestCluster(t).startNodeWith("n-1", func(n *Node) {
		n.Store = interceptedStore{n.Store, func(wire.Transaction) error { return commit() }}
		n.election.SuspendCampaign(60 * micro.Minute)
	})
	t.Cleanup(kill)
	self := shard.Controller{Node: "n-1", SessionVersion: 5}
	term := election.NewTermForKey(shard.SessionKey("n-1"), 5, node.Now()+60*micro.Minute)
	entry := shard.Entry{Name: "gpus", Version: 9, Record: shard.Record{
		State: shard.Owned, Owner: self, Selector: shard.Selector{Zone: "a"}, OwnerChanges: 1,
	}}
	owner := newShardOwner(node, entry, term, self)
	runEventLoop(t, owner.loop)
	return owner
}

// observeMove delivers to the owner a shard record that requests a move to n-2.
func (o *ShardOwner) observeMove(t *testing.T) {
	t.Helper()
	moving, err := o.ownership.Entry().Record.Move(shard.Controller{Node: "n-2", SessionVersion: 7}, 1)
	if err != nil {
		t.Fatal(err)
	}
	shardRecordObserved{o, shard.Entry{Name: "gpus", Version: 10, Record: moving}, true}.Apply()
}

// awaitTransferResult waits until the loop has processed the result of a transfer, or was stopped.
func (o *ShardOwner) awaitTransferResult(t *testing.T) {
	t.Helper()
	waitUntil(t, "transfer result processed", func() bool {
		inFlight := false
		return !o.runInLoop(func() { inFlight = o.transferInFlight }) || !inFlight
	})
}

// leaseSpan is how long the lease of a guardedLeader is valid.
const leaseSpan = 10 * micro.Minute

// guardedLeader is a leader in zone a, with one peer in zone a and two in zone b. Its loop processes events; only
// the test calls tick.
type guardedLeader struct {
	*Leader
	clock *testClock
	store *fake.Store
}

// newGuardedLeader returns a guardedLeader. It calls set on the node before the term begins.
func newGuardedLeader(t *testing.T, set func(n *Node)) *guardedLeader {
	t.Helper()
	clock := &testClock{now: 100 * micro.Second}
	env := newTestCluster(t)
	node, kill := env.startNodeWith("n-0", func(n *Node) {
		n.election.SuspendCampaign(60 * micro.Minute)
		n.Now, n.Cfg.Zone = clock.Now, "a"
		n.Cfg.Facts.Zones = []string{"a", "b", "c"}
		n.Cfg.Peers = []config.Peer{{Node: "n-1", Zone: "a"}, {Node: "n-2", Zone: "b"}, {Node: "n-3", Zone: "b"}}
		set(n)
	})
	t.Cleanup(kill)
	l := newLeader(node, election.NewTerm(5, clock.now+leaseSpan))
	l.cluster.SetCatalog(node.catalog.Load())
	node.leader.Store(l)
	runEventLoop(t, l.loop)
	return &guardedLeader{l, clock, env.store}
}

// addGuardedJob adds job j-1, which has one task, and returns it.
func (l *guardedLeader) addGuardedJob() *cluster.Job {
	l.intake.AddJob(wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1,
	})
	return l.cluster.Jobs["j-1"]
}

// addAllocatedJob adds job j-1 with its task allocated to machine i-1 of a zone. The allocation's record is stored,
// so the start command may have been sent.
func (l *guardedLeader) addAllocatedJob(zone string) (*cluster.Job, *cluster.Machine) {
	heartbeat := fake.NewAgent("i-1", "small", zone, 30*micro.Second).Heartbeat()
	heartbeat.FencingToken = wire.Count(l.dispatcher.FencingToken())
	l.respondToHeartbeat(heartbeat, func() {})
	job, machine := l.addGuardedJob(), l.cluster.Machines["i-1"]
	l.cluster.Allocate(job, 0, machine, 1, 1, l.node.Now())
	l.cluster.ChunkPersisted(job.Chunk(0), job.Chunk(0).MemoryVersion)
	return job, machine
}

// finalStatusPending reports whether the final status of job j-1 is to be written.
func (l *guardedLeader) finalStatusPending() bool {
	record := l.records.Lookup(keys.JobEnd("j-1"))
	return record != nil && record.Dirty()
}

// leaseProxyStatus returns the HTTP status of the reply to a lease proxy of zone b.
func (l *guardedLeader) leaseProxyStatus() int {
	status, _ := l.node.handleLeaseProxy(wire.MustMarshal(leasekeeper.Request{Node: "n-2"}))
	return status
}

// newGuardedShardLeader returns a guardedLeader in a cluster in which n-1 owns shard gpus, the machines of zone c.
func newGuardedShardLeader(t *testing.T, set func(n *Node)) *guardedLeader {
	t.Helper()
	l := newGuardedLeader(t, func(n *Node) {
		n.Cfg.Shards = &config.Shards{}
		set(n)
		n.initShards()
	})
	l.writeShard(t, shard.Owned)
	return l
}

// writeShard stores the shard's record with a state and updates the leader's copy of the shard table.
func (l *guardedLeader) writeShard(t *testing.T, state shard.State) {
	t.Helper()
	record := shard.Record{State: state, Selector: shard.Selector{Zone: "c"}, OwnerChanges: 1}
	if state == shard.Owned {
		record.Owner = shard.Controller{Node: "n-1", SessionVersion: 5}
	}
	_, err := l.store.Commit(t.Context(), store.Routine, wire.Transaction{
		Then: []wire.Change{{Put: shard.RecordKey("gpus"), Value: record}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.node.shards.Table().Read(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// restoreAssignedJob adds job j-1 and restores its assignment to the shard, as recovery does after a failover.
func (l *guardedLeader) restoreAssignedJob(t *testing.T) *cluster.Job {
	t.Helper()
	job := l.addGuardedJob()
	assignments, ok := l.coordinator.RecoverAssignments(
		t.Context(), func(_ context.Context, _ string, each func(wire.Item)) (uint64, bool) {
			value := wire.MustMarshal(shard.Assignment{Job: job.Spec, MaxAllocations: 1})
			each(wire.Item{Key: shard.AssignmentKey("gpus", "j-1"), Version: 11, Value: value})
			return 0, true
		},
	)
	if !ok {
		t.Fatal("recovery read no assignment")
	}
	l.coordinator.RestoreAssignment(job, assignments["j-1"])
	if job.State != cluster.Assigned {
		t.Fatal("job is not assigned after its assignment was restored")
	}
	return job
}

// stopRequestPending reports whether the assignment of job j-1 is to be written with a request to stop its tasks.
func (l *guardedLeader) stopRequestPending() bool {
	record := l.records.Lookup(shard.AssignmentKey("gpus", "j-1"))
	value, _ := record.Build()
	assignment, ok := value.(shard.Assignment)
	return ok && assignment.StopRequested && record.Dirty()
}

// shardCancellationProgress delivers a status update of the shard's owner with the progress of a cancellation.
func (l *guardedLeader) shardCancellationProgress(t *testing.T, stopping shard.StoppingJob) {
	t.Helper()
	update := shard.StatusUpdate{Node: "n-1", SessionVersion: 5, Shards: []shard.ShardUpdate{
		{Name: "gpus", StoppingJobs: []shard.StoppingJob{stopping}},
	}}
	if _, ok := l.coordinator.ReceiveStatusUpdate(wire.MustMarshal(update)); !ok {
		t.Fatal("the leader did not answer the owner's status update")
	}
}
