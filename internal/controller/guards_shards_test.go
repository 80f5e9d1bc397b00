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

// Once an owner has sent the transaction that transfers its shard, another controller may own the shard at any
// moment: heartbeats are refused, and no lease is renewed, unless the store reports that the transaction was not
// executed. Until the transaction is sent, leases are renewed without a gap.
func TestOwnerRefusesHeartbeatsDuringATransfer(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome error
		want    int // HTTP status for a heartbeat once the outcome is known
	}{
		{"executed", nil, 503},
		{"outcome uncertain", store.ErrUncertain, 503},
		{"precondition failed", store.ErrConflict, 200},
		{"refused", store.ErrRefused, 200},
	} {
		t.Run(c.name, func(t *testing.T) { checkOwnerDuringATransfer(t, c.outcome, c.want) })
	}
}

// checkOwnerDuringATransfer transfers a shard by a transaction with the given result, and checks the owner's replies
// to heartbeats. want is the HTTP status once the result is known.
func checkOwnerDuringATransfer(t *testing.T, result error, want int) {
	t.Helper()
	sent, outcome := make(chan bool), make(chan error)
	o := newGuardedOwner(t, func() error { sent <- true; return <-outcome })
	agent := fake.NewAgent("i-1", "small", "a", 30*micro.Second)
	if got := o.heartbeatStatus(agent); got != 200 {
		t.Fatalf("heartbeat to an active owner: status %d", got)
	}
	o.observeMove(t)
	if got := o.heartbeatStatus(agent); got != 200 || o.ownership.MayAllocate() {
		t.Fatalf("heartbeat to a draining owner: status %d; may allocate: %v", got, o.ownership.MayAllocate())
	}
	o.reconcileTransfer(o.node.Now())
	<-sent
	if o.holdsLease() {
		t.Error("the loop holds its lease, and may reply and send commands, while the transfer is in flight")
	}
	if got := o.heartbeatStatus(agent); got != 503 {
		t.Errorf("heartbeat while the transfer is in flight: status %d", got)
	}
	outcome <- result
	o.awaitTransferResult(t)
	if o.loop.Stopped() != (result == nil) {
		t.Errorf("loop stopped: %v", o.loop.Stopped())
	}
	if result == nil {
		if o.holdsLease() {
			t.Error("the loop holds its lease, and may reply and send commands, after the transfer")
		}
		return
	}
	if got := o.heartbeatStatus(agent); got != want {
		t.Errorf("heartbeat once the outcome is known: status %d, want %d", got, want)
	}
}

// shardCancellation is a case of TestCancellationInShardCompletesOnceAllLeasesEndWithinCancelBound.
type shardCancellation struct {
	name    string
	zone    string
	cancelS float64
	held    int        // allocations that are not released yet
	wait    micro.Time // delay until the job's end is written; negative: not written while allocations are held
	fenced  bool       // lease proxies of the zone get no reply
}

// The user of a cancelled job in a shard is notified once the shard owner has commanded its tasks to stop and no
// lease can outlast the bound for cancellations (CancelS). From then on the zones' lease proxies get no reply.
func TestCancellationInShardCompletesOnceAllLeasesEndWithinCancelBound(t *testing.T) {
	for _, c := range []shardCancellation{
		{"no proxies in the zone", "c", 50, 1, 0, true},
		{"proxies that may still renew leases", "b", 50, 1, 30 * micro.Second, true},
		{"leases that outlast the bound", "c", 30, 1, -1, false},
		{"no held allocation", "b", 30, 0, 0, false},
	} {
		t.Run(c.name, c.check)
	}
}

func (c shardCancellation) check(t *testing.T) {
	l := newGuardedShardLeader(t, func(n *Node) { n.Cfg.Facts.Workers.CancelS = c.cancelS })
	job := l.restoreAssignedJob(t)
	l.cancellations.UpdateFencedZones()
	stopping := shard.StoppingJob{Job: "j-1", UnreleasedAllocations: c.held, Zones: []string{c.zone}}
	l.shardCancellationProgress(t, stopping)
	if l.finalStatusPending() {
		t.Fatal("the end of a job that was not cancelled is written")
	}
	l.coordinator.BeginCancellation(job)
	if !l.stopRequestPending() || l.finalStatusPending() {
		t.Fatalf("assignment marked as to be stopped and stored: %v, end written: %v", l.stopRequestPending(), l.finalStatusPending())
	}
	l.shardCancellationProgress(t, stopping)
	if got := l.finalStatusPending(); got != (c.wait == 0) {
		t.Fatalf("end written at once: %v", got)
	}
	l.clock.advance(max(c.wait, micro.Second))
	l.shardCancellationProgress(t, stopping)
	if got := l.finalStatusPending(); got != (c.wait >= 0) || l.cancellations.ZoneFenced(c.zone) != c.fenced {
		t.Errorf("end written: %v, zone fenced: %v", got, l.cancellations.ZoneFenced(c.zone))
	}
	stopping.UnreleasedAllocations = 0
	l.shardCancellationProgress(t, stopping)
	l.cancellations.UpdateFencedZones()
	if !l.finalStatusPending() || l.cancellations.ZoneFenced(c.zone) {
		t.Errorf(
			"without held allocations: end written: %v, zone fenced: %v",
			l.finalStatusPending(),
			l.cancellations.ZoneFenced(c.zone),
		)
	}
}

// The leader accepts heartbeats of a shard's machines only while no shard owner may accept them.
func TestLeaderAcceptsHeartbeatsOfShardMachinesOnlyWhileShardHasNoOwner(t *testing.T) {
	for _, c := range []struct {
		name      string
		state     shard.State
		reclaimed bool // the leader has reclaimed the shard
		zone      string
		want      int
	}{
		{"owned", shard.Owned, false, "c", 503},
		{"moving", shard.Moving, false, "c", 503},
		{"owned, machine of no shard", shard.Owned, false, "a", 200},
		{"forming", shard.Forming, false, "c", 200},
		{"released, not read yet", shard.Released, false, "c", 503},
		{"released and reclaimed", shard.Released, true, "c", 200},
	} {
		l := newGuardedShardLeader(t, func(*Node) {})
		l.writeShard(t, c.state)
		agent := fake.NewAgent("i-1", "small", c.zone, 30*micro.Second)
		if c.reclaimed {
			waitUntil(t, "the shard is reclaimed", func() bool {
				// A further reconciliation after the shard is reclaimed would delete it.
				l.clock.advance(300 * micro.Millisecond)
				l.runInLoop(func() { l.coordinator.Reconcile(l.node.Now()) })
				for range 50 {
					if l.heartbeatStatus(agent) == 200 {
						return true
					}
					time.Sleep(2 * time.Millisecond)
				}
				return false
			})
		}
		if got := l.heartbeatStatus(agent); got != c.want {
			t.Errorf("%s: heartbeat heartbeatStatus with status %d, want %d", c.name, got, c.want)
		}
	}
}

// Only the leader knows which leases lease proxies may have renewed: without its status update reply a shard owner
// treats no lease as expired.
func TestOwnerExpiresNoLeaseWithoutLeaderStatusReply(t *testing.T) {
	o := newGuardedOwner(t, func() error { return nil })
	o.node.Cfg.Facts.Zones = []string{"a"}
	o.heartbeatStatus(fake.NewAgent("i-1", "small", "a", 30*micro.Second))
	machine, now := o.cluster.Machines["i-1"], o.node.Now()+60*micro.Minute
	o.updateProxyRenewals(now)
	if o.cluster.LeaseExpired(machine, now) {
		t.Error("lease expired without a reply of the leader")
	}
	o.proxyRenewedUntil = map[string]micro.Time{"a": now - o.cluster.LeaseDuration}
	o.updateProxyRenewals(now)
	if o.cluster.LeaseExpired(machine, now) {
		t.Error("lease expired that a proxy may have renewed")
	}
	o.proxyRenewedUntil = map[string]micro.Time{}
	o.updateProxyRenewals(now)
	if !o.cluster.LeaseExpired(machine, now) {
		t.Error("lease not expired that no proxy may have renewed")
	}
}

// A shard is transferred only once no write of its owner is in flight or uncertain: the next owner reads what is
// stored. Planned allocations that were not started are dropped.
func TestTransferWaitsUntilOwnerWritesAreSettled(t *testing.T) {
	sent := make(chan bool)
	o := newGuardedOwner(t, func() error { sent <- true; return store.ErrUncertain })
	o.intake.InsertJob(wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1,
	}, o.node.Now(), o.node.Wall())
	o.heartbeatStatus(fake.NewAgent("i-1", "small", "a", 30*micro.Second))
	job := o.cluster.Jobs["j-1"]
	o.cluster.Allocate(job, 0, o.cluster.Machines["i-1"], 1, 1, o.node.Now())
	o.observeMove(t)
	o.reconcileTransfer(o.node.Now())
	if job.AllocationCount > 0 {
		t.Error("planned allocation not dropped")
	}
	if o.ownership.State() != shard.Draining {
		t.Fatalf("ownership %v although a record is to be written", o.ownership.State())
	}
	o.records.Each(func(record *statestore.Record) { record.ClearDirty() })
	o.reconcileTransfer(o.node.Now())
	if o.ownership.State() != shard.Transferring {
		t.Fatalf("ownership %v although all writes are settled", o.ownership.State())
	}
	<-sent
}

// An owner deletes the allocation records of an ended job after its assignment: an assignment without them would
// make the ended job look like one that never started.
func TestAssignmentIsDeletedBeforeTheAllocationRecords(t *testing.T) {
	o := newGuardedOwner(t, func() error { return nil })
	spec := wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1,
	}
	o.applyAssignment(
		shard.AssignmentKey("gpus", "j-1"), wire.MustMarshal(shard.Assignment{Job: spec, MaxAllocations: 1}), 11,
	)
	job := o.cluster.Jobs["j-1"]
	o.heartbeatStatus(fake.NewAgent("i-1", "small", "a", 30*micro.Second))
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
		t.Errorf("deletion of the assignment queued: %v, with %d allocations held", assignment.Dirty(), job.AllocationCount)
	}
	o.cluster.ExpireMachine(machine, o.node.Now())
	o.deleteFinishedAssignments(o.node.Now())
	if !assignment.Dirty() || allocations.Dirty() {
		t.Fatalf("deletion queued: assignment %v, allocation record %v", assignment.Dirty(), allocations.Dirty())
	}
	assignment.OnCommitted(0)
	if !allocations.Dirty() {
		t.Error("allocation record not deleted after the assignment")
	}
}
