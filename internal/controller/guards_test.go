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

// interceptedStore has a test look at each transaction and say what comes of it.
type interceptedStore struct {
	store.Store
	commit func(transaction wire.Transaction) error
}

func (s interceptedStore) Commit(_ context.Context, _ store.Class, transaction wire.Transaction) (uint64, error) {
	return 0, s.commit(transaction)
}

// testClock is a steady clock that the test sets. It may jump after a number of looks at
// it, as for a process that stands still between two of them.
type testClock struct {
	mu    sync.Mutex
	now   micro.Time
	readsLeft int        // looks that are left before it jumps; 0: it does not
	jump  micro.Time // by so much
}

// Now is the time.
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

// advance lets time advance.
func (c *testClock) advance(span micro.Time) {
	c.mu.Lock()
	c.now += span
	c.mu.Unlock()
}

// jumpAfter has the clock jump after so many looks at it.
func (c *testClock) jumpAfter(looks int, by micro.Time) {
	c.mu.Lock()
	c.readsLeft, c.jump = looks, by
	c.mu.Unlock()
}

// awaitedEvent is an event of a test.
type awaitedEvent struct {
	run  func()
	done chan struct{}
}

// Apply runs it.
func (s awaitedEvent) Apply() {
	s.run()
	close(s.done)
}

// runEventLoop has a loop take in events and do nothing else.
func runEventLoop(t *testing.T, loop *eventloop.Loop) {
	t.Helper()
	t.Cleanup(loop.Stop)
	go loop.Run(eventloop.Handlers{
		Now: micro.Now, Tick: func(micro.Time) {}, AfterEvents: func(micro.Time) {},
	})
}

// runInLoop runs f as an event, and waits for it; false if the loop was stopped.
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

// respondToHeartbeat has an agent's heartbeat answered by the loop; something may happen between.
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

// heartbeatStatus is the status of the loop's answer to an agent's heartbeat.
func (l *controlLoop) heartbeatStatus(agent *fake.Agent) int {
	return l.respondToHeartbeat(agent.Heartbeat(), func() {}).Status
}

// newGuardedOwner makes the loop of a shard's owner whose lease holds. The test makes it tick.
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

// observeMove has the owner read that its shard is to move to n-2.
func (o *ShardOwner) observeMove(t *testing.T) {
	t.Helper()
	moving, err := o.ownership.Entry().Record.Move(shard.Controller{Node: "n-2", SessionVersion: 7}, 1)
	if err != nil {
		t.Fatal(err)
	}
	shardRecordObserved{o, shard.Entry{Name: "gpus", Version: 10, Record: moving}, true}.Apply()
}

// awaitTransferResult waits until the loop has taken in what came of a transfer.
func (o *ShardOwner) awaitTransferResult(t *testing.T) {
	t.Helper()
	waitUntil(t, "the answer to the transfer", func() bool {
		inFlight := false
		return !o.runInLoop(func() { inFlight = o.transferInFlight }) || !inFlight
	})
}

// leaseSpan is for how long the lease of a guardedLeader holds.
const leaseSpan = 10 * micro.Minute

// guardedLeader is a leader of zone a, with a peer there and two in zone b. The test makes
// it tick.
type guardedLeader struct {
	*Leader
	clock *testClock
	store *fake.Store
}

// newGuardedLeader makes one. A change is made to the node before the term begins.
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

// addGuardedJob adds job j-1, which has one task.
func (l *guardedLeader) addGuardedJob() *cluster.Job {
	l.intake.AddJob(wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1,
	})
	return l.cluster.Jobs["j-1"]
}

// addAllocatedJob adds a job of one task with an allocation on a machine of a zone, whose start
// may have gone out.
func (l *guardedLeader) addAllocatedJob(zone string) (*cluster.Job, *cluster.Machine) {
	heartbeat := fake.NewAgent("i-1", "small", zone, 30*micro.Second).Heartbeat()
	heartbeat.FencingToken = wire.Count(l.dispatcher.FencingToken())
	l.respondToHeartbeat(heartbeat, func() {})
	job, machine := l.addGuardedJob(), l.cluster.Machines["i-1"]
	l.cluster.Allocate(job, 0, machine, 1, 1, l.node.Now())
	l.cluster.ChunkPersisted(job.Chunk(0), job.Chunk(0).MemoryVersion)
	return job, machine
}

// finalStatusPending reports whether the end of job j-1 is to be written.
func (l *guardedLeader) finalStatusPending() bool {
	record := l.records.Lookup(keys.JobEnd("j-1"))
	return record != nil && record.Dirty()
}

// leaseProxyStatus is the answer to a lease proxy of zone b.
func (l *guardedLeader) leaseProxyStatus() int {
	status, _ := l.node.handleLeaseProxy(wire.MustMarshal(leasekeeper.Request{Node: "n-2"}))
	return status
}

// newGuardedShardLeader makes a leader of a site where n-1 owns the machines of zone c.
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

// writeShard writes the record of the shard, and has the leader's table follow.
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

// restoreAssignedJob adds job j-1, as a failover reads it that finds it restoreAssignedJob to the shard.
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
		t.Fatal("no assignment read")
	}
	l.coordinator.RestoreAssignment(job, assignments["j-1"])
	if job.State != cluster.Assigned {
		t.Fatal("not assigned")
	}
	return job
}

// stopRequestPending reports whether the assignment of job j-1 is to be stored as one whose
// tasks are to be stopped.
func (l *guardedLeader) stopRequestPending() bool {
	record := l.records.Lookup(shard.AssignmentKey("gpus", "j-1"))
	value, _ := record.Build()
	assignment, ok := value.(shard.Assignment)
	return ok && assignment.StopRequested && record.Dirty()
}

// shardCancellationProgress has the shard's owner tell the leader how far a cancellation is.
func (l *guardedLeader) shardCancellationProgress(t *testing.T, stopping shard.StoppingJob) {
	t.Helper()
	update := shard.StatusUpdate{Node: "n-1", SessionVersion: 5, Shards: []shard.ShardUpdate{
		{Name: "gpus", StoppingJobs: []shard.StoppingJob{stopping}},
	}}
	if _, ok := l.coordinator.ReceiveStatusUpdate(wire.MustMarshal(update)); !ok {
		t.Fatal("the owner's update is not answered")
	}
}
