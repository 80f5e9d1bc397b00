package controller

import (
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// From when an owner sends the transaction that transfers its shard, another may own it at
// any moment: heartbeats get no answer, and no lease is renewed, until the store says that it
// was not executed. Before, leases have no gap.
func TestOwnerRefusesHeartbeatsDuringATransfer(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome error
		want    int // the answer to a heartbeat once the outcome is known
	}{
		{"executed", nil, 503},
		{"no answer", store.ErrUncertain, 503},
		{"the precondition failed", store.ErrConflict, 200},
		{"refused", store.ErrRefused, 200},
	} {
		t.Run(c.name, func(t *testing.T) { checkOwnerDuringATransfer(t, c.outcome, c.want) })
	}
}

// checkOwnerDuringATransfer has a shard transferred with a result, and checks what the owner
// answers: want is the answer to a heartbeat once the result is known.
func checkOwnerDuringATransfer(t *testing.T, result error, want int) {
	t.Helper()
	sent, outcome := make(chan bool), make(chan error)
	o := guardedOwner(t, func() error { sent <- true; return <-outcome })
	agent := fake.NewAgent("i-1", "small", "a", 30*micro.Second)
	if got := o.answered(agent); got != 200 {
		t.Fatalf("while it is active: %d", got)
	}
	o.observeMove(t)
	if got := o.answered(agent); got != 200 || o.ownership.MayAllocate() {
		t.Fatalf("while it drains: %d, allocates %v", got, o.ownership.MayAllocate())
	}
	o.reconcileTransfer(o.node.Now())
	<-sent
	if o.holdsLease() {
		t.Error("the loop may answer and send commands while the transfer is in flight")
	}
	if got := o.answered(agent); got != 503 {
		t.Errorf("while the transfer is in flight: %d", got)
	}
	outcome <- result
	o.awaitTransferAnswer(t)
	if o.loop.Stopped() != (result == nil) {
		t.Errorf("stopped: %v", o.loop.Stopped())
	}
	if result == nil {
		if o.holdsLease() {
			t.Error("the loop may answer and send commands after the transfer")
		}
		return
	}
	if got := o.answered(agent); got != want {
		t.Errorf("once the outcome is known: %d, want %d", got, want)
	}
}

// shardCancellation is a cancellation of a job in a shard.
type shardCancellation struct {
	name    string
	zone    string
	cancelS float64
	held    int
	wait    micro.Time // until the end is written; negative: not while allocations are held
	fenced  bool
}

// The user of a cancelled job in a shard is told once its owner tells the tasks to stop, and
// no lease outlives the bound; from that moment the zones' lease proxies get no answer.
func TestCancellationInAShardCompletesOnceNoLeaseOutlivesTheBound(t *testing.T) {
	for _, c := range []shardCancellation{
		{"no proxies in the zone", "c", 50, 1, 0, true},
		{"proxies that may renew leases for a span", "b", 50, 1, 30 * micro.Second, true},
		{"leases that do not add up", "c", 30, 1, -1, false},
		{"no allocation is held", "b", 30, 0, 0, false},
	} {
		t.Run(c.name, c.check)
	}
}

func (c shardCancellation) check(t *testing.T) {
	l := newGuardedShardLeader(t, func(n *Node) { n.Cfg.Facts.Workers.CancelS = c.cancelS })
	job := l.assigned(t)
	l.cancellations.UpdateFencedZones()
	stopping := shard.StoppingJob{Job: "j-1", UnreleasedAllocations: c.held, Zones: []string{c.zone}}
	l.shardCancellationProgress(t, stopping)
	if l.writesEnd() {
		t.Fatal("the end of a job that nobody cancelled is written")
	}
	l.coordinator.BeginCancellation(job)
	if !l.assignmentToStop() || l.writesEnd() {
		t.Fatalf("to be stopped and stored %v, the end is written %v", l.assignmentToStop(), l.writesEnd())
	}
	l.shardCancellationProgress(t, stopping)
	if got := l.writesEnd(); got != (c.wait == 0) {
		t.Fatalf("the end is written at once: %v", got)
	}
	l.clock.pass(max(c.wait, micro.Second))
	l.shardCancellationProgress(t, stopping)
	if got := l.writesEnd(); got != (c.wait >= 0) || l.cancellations.ZoneFenced(c.zone) != c.fenced {
		t.Errorf("the end is written %v, the zone is fenced %v", got, l.cancellations.ZoneFenced(c.zone))
	}
	stopping.UnreleasedAllocations = 0
	l.shardCancellationProgress(t, stopping)
	l.cancellations.UpdateFencedZones()
	if !l.writesEnd() || l.cancellations.ZoneFenced(c.zone) {
		t.Errorf(
			"with none held the end is written %v, the zone is fenced %v",
			l.writesEnd(),
			l.cancellations.ZoneFenced(c.zone),
		)
	}
}

// Machines of a shard are answered by the leader only while no owner may answer them.
func TestLeaderAnswersMachinesOfAShardOnlyWhileItHasNoOwner(t *testing.T) {
	for _, c := range []struct {
		name      string
		state     shard.State
		reclaimed bool // the leader has taken the shard back
		zone      string
		want      int
	}{
		{"owned", shard.Owned, false, "c", 503},
		{"moving", shard.Moving, false, "c", 503},
		{"owned, a machine of no shard", shard.Owned, false, "a", 200},
		{"forming", shard.Forming, false, "c", 200},
		{"released, not read yet", shard.Released, false, "c", 503},
		{"released and taken back", shard.Released, true, "c", 200},
	} {
		l := newGuardedShardLeader(t, func(*Node) {})
		l.writeShard(t, c.state)
		agent := fake.NewAgent("i-1", "small", c.zone, 30*micro.Second)
		if c.reclaimed {
			waitUntil(t, "taken back", func() bool {
				// Reconciled once more after it was taken back, the shard would be deleted.
				l.clock.pass(300 * micro.Millisecond)
				l.runInLoop(func() { l.coordinator.Reconcile(l.node.Now()) })
				for range 50 {
					if l.answered(agent) == 200 {
						return true
					}
					time.Sleep(2 * time.Millisecond)
				}
				return false
			})
		}
		if got := l.answered(agent); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// Only the leader knows what lease proxies may have renewed: without its answer an owner
// takes no lease for expired.
func TestNoLeaseInAShardExpiresWithoutTheLeadersAnswer(t *testing.T) {
	o := guardedOwner(t, func() error { return nil })
	o.node.Cfg.Facts.Zones = []string{"a"}
	o.answered(fake.NewAgent("i-1", "small", "a", 30*micro.Second))
	machine, now := o.cluster.Machines["i-1"], o.node.Now()+60*micro.Minute
	o.updateProxyRenewals(now)
	if o.cluster.LeaseExpired(machine, now) {
		t.Error("a lease has expired without an answer of the leader")
	}
	o.proxyRenewedUntil = map[string]micro.Time{"a": now - o.cluster.LeaseDuration}
	o.updateProxyRenewals(now)
	if o.cluster.LeaseExpired(machine, now) {
		t.Error("a lease has expired that a proxy may have renewed")
	}
	o.proxyRenewedUntil = map[string]micro.Time{}
	o.updateProxyRenewals(now)
	if !o.cluster.LeaseExpired(machine, now) {
		t.Error("no lease ever expires")
	}
}

// A shard is transferred only once nothing that its owner wrote is in flight or uncertain:
// the next owner reads the rest. What was planned and not started is dropped.
func TestTransferWaitsUntilTheOwnersWritesAreSettled(t *testing.T) {
	sent := make(chan bool)
	o := guardedOwner(t, func() error { sent <- true; return store.ErrUncertain })
	o.intake.InsertJob(wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1,
	}, o.node.Now(), o.node.Wall())
	o.answered(fake.NewAgent("i-1", "small", "a", 30*micro.Second))
	job := o.cluster.Jobs["j-1"]
	o.cluster.Allocate(job, 0, o.cluster.Machines["i-1"], 1, 1, o.node.Now())
	o.observeMove(t)
	o.reconcileTransfer(o.node.Now())
	if job.AllocationCount > 0 {
		t.Error("a planned allocation is kept")
	}
	if o.ownership.State() != shard.Draining {
		t.Fatalf("%v, though a record is to be written", o.ownership.State())
	}
	o.records.Each(func(record *statestore.Record) { record.ClearDirty() })
	o.reconcileTransfer(o.node.Now())
	if o.ownership.State() != shard.Transferring {
		t.Fatalf("%v, though all is settled", o.ownership.State())
	}
	<-sent
}

// An owner's records of a job's allocations go after its assignment: left without them, an
// assignment would make a job that is over one that never began.
func TestAssignmentIsDeletedBeforeTheAllocationRecords(t *testing.T) {
	o := guardedOwner(t, func() error { return nil })
	spec := wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1,
	}
	o.applyAssignment(
		shard.AssignmentKey("gpus", "j-1"), wire.MustMarshal(shard.Assignment{Job: spec, MaxAllocations: 1}), 11,
	)
	job := o.cluster.Jobs["j-1"]
	o.answered(fake.NewAgent("i-1", "small", "a", 30*micro.Second))
	machine := o.cluster.Machines["i-1"]
	o.cluster.Allocate(job, 0, machine, 1, 1, o.node.Now())
	o.cluster.ChunkPersisted(job.Chunk(0), job.Chunk(0).MemoryVersion)
	allocations := o.records.ChunkRecord(job.Chunk(0))
	allocations.SetVersion(12)
	allocations.ClearDirty()
	assignment := o.assignments["j-1"]
	o.endJobInShard(job, wire.JobAborted, o.node.Now())
	o.deleteFinishedAssignments(o.node.Now())
	if assignment.Dirty() || job.AllocationCount != 1 {
		t.Errorf("the assignment is deleted %v, with %d allocations held", assignment.Dirty(), job.AllocationCount)
	}
	o.cluster.ExpireMachine(machine, o.node.Now())
	o.deleteFinishedAssignments(o.node.Now())
	if !assignment.Dirty() || allocations.Dirty() {
		t.Fatalf("the assignment is deleted %v, the allocations' record %v", assignment.Dirty(), allocations.Dirty())
	}
	assignment.OnCommitted(0)
	if !allocations.Dirty() {
		t.Error("the allocations' record is not deleted after the assignment")
	}
}
