package controller

import (
	"context"
	"sync/atomic"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// ShardOwner is one ownership of a shard. It places the jobs that were assigned to the shard
// on the shard's machines, under preconditions and fencing tokens of its own; it accepts and
// ends no jobs, and requests no instances. The goroutine of its loop owns its state.
type ShardOwner struct {
	*controlLoop
	ownership        *shard.Owner
	name             string
	startedAt        micro.Time  // when the loop began, by the wall clock
	firstLoop        bool        // no other loop of this process ran under the record's version
	responsesBlocked atomic.Bool // nothing may be said: a transfer is under way or in doubt

	planner             *autoscaler.Planner            // for which machines are idle; it requests none
	lastReview          micro.Time                     // of idle machines, pending jobs and finished assignments
	assignments         map[string]*statestore.Record  // of the jobs that were assigned, by job
	assignedAt          map[string]micro.Time          // by the wall clock: a new owner does not wait anew
	assignmentRevision  uint64                         // revision up to which assignments were read
	finished            map[*cluster.Job]bool          // jobs all of whose tasks are done
	cancelling          map[*cluster.Job]bool          // jobs that are being cancelled
	recalled            map[*cluster.Job]bool          // jobs that go back to the leader
	suspended           map[*cluster.Job]bool          // jobs that are not placed: records of theirs are missing
	copies              map[*cluster.Job]*copyProgress // jobs that came with records of the leader's
	pendingTerminations map[*cluster.Machine]bool      // machines to be terminated
	transferInFlight    bool                           // a transfer, or a look at what came of it, is under way
	unreachable         bool                           // no agent reaches this node
	statusUpdates       statusUpdateState
	proxyRenewedUntil   map[string]micro.Time // until when proxies may have renewed leases, as of the answer being read
}

// statusUpdateState is how far the leader was told how the shard fares.
type statusUpdateState struct {
	leaderTerm       uint64          // of the leader whose answer came last
	reportedMachines map[string]bool // machines that it was told are up
	inFlight         bool            // a status update is under way
	sentAt           micro.Time      // when the last one went out
	urgent           bool            // the next one goes out at once
}

// newShardOwner makes the loop of a shard that this incarnation owns.
func newShardOwner(n *Node, entry shard.Entry, term *election.Term, self shard.Controller) *ShardOwner {
	log := n.Log.With("shard", entry.Name, "version", entry.Version)
	previousVersion, _ := n.ownedVersions.Swap(entry.Name, entry.Version)
	o := &ShardOwner{
		ownership: shard.NewOwner(entry, term, self, log.Info), name: entry.Name,
		startedAt:   n.Wall(),
		firstLoop:   previousVersion != entry.Version,
		assignments: map[string]*statestore.Record{}, assignedAt: map[string]micro.Time{},
		finished: map[*cluster.Job]bool{}, cancelling: map[*cluster.Job]bool{},
		recalled:            map[*cluster.Job]bool{},
		suspended:           map[*cluster.Job]bool{},
		copies:              map[*cluster.Job]*copyProgress{},
		pendingTerminations: map[*cluster.Machine]bool{},
		statusUpdates:       statusUpdateState{reportedMachines: map[string]bool{}},
	}
	o.controlLoop = newControlLoop(n, term, o.ownership.FirstFencingToken(), log, o)
	o.planner = newPlanner(o.controlLoop, autoscaler.Config{})
	for _, team := range n.Cfg.Facts.Teams {
		// The leader has counted all that is assigned against the quotas.
		o.cluster.Teams[team.Name] = &cluster.Team{Name: team.Name}
	}
	o.cluster.SetCatalog(n.catalog.Load())
	return o
}

// run is the loop of an owner.
func (o *ShardOwner) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.loop.StopWith(ctx)
	from := o.node.Now()
	if !o.recoverShard(ctx) {
		o.loop.Stop() // begun anew with the next look at the table
		return
	}
	o.serving.Store(true)
	o.log.Info(
		"shard failover complete", "jobs", len(o.cluster.Jobs), "machines", len(o.cluster.Machines), "took_ms",
		int64((o.node.Now()-from)/micro.Millisecond),
	)
	go o.watchAssignments(ctx, o.assignmentRevision)
	o.loop.Run(eventloop.Handlers{Now: o.node.Now, Tick: o.tick, AfterEvents: o.runPending})
}

// runPending does what the events called for: place, write, send.
func (o *ShardOwner) runPending(now micro.Time) {
	if !o.holdsLease() {
		return
	}
	if o.ownership.MayAllocate() {
		o.schedule(now)
	}
	o.flush(now)
}

// reviewInterval is how often idle machines, pending jobs and finished assignments are looked at.
const reviewInterval = micro.Second

// tick is what an owner does from time to time.
func (o *ShardOwner) tick(now micro.Time) {
	o.reconcileTransfer(now)
	if !o.detector.ObserveLease(o.holdsLease(), now) {
		return
	}
	if now-o.lastReview >= reviewInterval {
		o.lastReview = now
		o.schedulePending = true // backoffs run out
		o.terminateIdle(now)
		o.reviewPendingJobs(now)
		o.deleteFinishedAssignments(now)
	}
	if o.statusUpdates.urgent || now-o.statusUpdates.sentAt >= statusUpdateInterval {
		o.sendStatusUpdate(now)
	}
	o.logStatusIfDue(now, 0)
	o.dispatcher.CheckToken(now)
}

// Observe hands the loop what the shard's record says now; it does not exist if the record is
// gone. Any goroutine may call it.
func (o *ShardOwner) Observe(entry shard.Entry, exists bool) {
	o.loop.Post(shardRecordObserved{o, entry, exists})
}

// Stop ends the loop for good; any goroutine may call it.
func (o *ShardOwner) Stop() { o.loop.Stop() }

// Stopped reports whether the loop was stopped; any goroutine may ask.
func (o *ShardOwner) Stopped() bool { return o.loop.Stopped() }

// shardRecordObserved is what the shard's record says now.
type shardRecordObserved struct {
	owner  *ShardOwner
	entry  shard.Entry
	exists bool // false: the record is gone
}

// Apply has the owner follow the record.
func (e shardRecordObserved) Apply() {
	if e.exists {
		e.owner.ownership.Observe(e.entry)
	} else {
		e.owner.ownership.HandleRecordDeleted()
	}
	e.owner.applyOwnerState()
}

// applyOwnerState follows a change of the owner's state: whether the loop may say anything,
// and whether it is over.
func (o *ShardOwner) applyOwnerState() {
	o.responsesBlocked.Store(!o.ownership.MayRespond())
	if o.ownership.State() == shard.Relinquished {
		o.loop.Stop()
	}
}

// reconcileTransfer brings a move on.
func (o *ShardOwner) reconcileTransfer(now micro.Time) {
	switch o.ownership.State() {
	case shard.Draining:
		if o.holdsLease() && !o.transferInFlight && o.drainForTransfer(now) {
			o.transferShard()
		}
	case shard.Uncertain:
		if !o.transferInFlight {
			o.resolveTransfer()
		}
	}
}

// drainForTransfer drops what was planned and not started, and reports whether nothing is
// still to be written or in doubt: the next owner reads the rest.
func (o *ShardOwner) drainForTransfer(now micro.Time) bool {
	for _, m := range o.cluster.SortedMachines() {
		for _, p := range m.SortedAllocations() {
			if p.State == cluster.Planned {
				o.cluster.StopAllocation(p, "the shard moves", 0, now)
			}
		}
	}
	if o.records.Settled() {
		return true
	}
	o.records.EscalateAll(now)
	return false
}

// transferShard sends the transaction that names the next owner. From here on this one
// says nothing.
func (o *ShardOwner) transferShard() {
	transaction, ok := o.ownership.BeginTransfer(int64(o.node.Wall()))
	if !ok {
		return
	}
	o.applyOwnerState()
	transaction.Then = append(transaction.Then, o.machineInactivityChanges()...)
	o.commitTransfer(transaction, func(_ uint64, err error) { o.ownership.HandleTransferResult(err) })
}

// commitTransfer sends a transaction on the shard's record, and has the loop take in what
// came of it.
func (o *ShardOwner) commitTransfer(transaction wire.Transaction, done func(revision uint64, err error)) {
	o.transferInFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		revision, err := o.node.Store.Commit(ctx, store.Leadership, transaction)
		o.loop.Post(transferCompleted{o, done, revision, err})
	}()
}

// transferCompleted says what came of a transaction on the shard's record.
type transferCompleted struct {
	owner    *ShardOwner
	done     func(revision uint64, err error)
	revision uint64
	err      error
}

// Apply has the owner's state follow.
func (e transferCompleted) Apply() {
	e.owner.transferInFlight = false
	e.done(e.revision, e.err)
	e.owner.applyOwnerState()
}

// resolveTransfer finds out what came of a transfer: by the record, and if that reads as
// before, by writing it anew.
func (o *ShardOwner) resolveTransfer() {
	o.transferInFlight = true
	key := o.ownership.Entry().Key()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		item, err := o.node.Store.Get(ctx, store.Leadership, key)
		o.loop.Post(uncertainRecordRead{o, key, item, err})
	}()
}

// uncertainRecordRead brings the shard's record after a transfer without an answer.
type uncertainRecordRead struct {
	owner *ShardOwner
	key   string
	item  wire.Item
	err   error
}

// Apply resolves the transfer; after an error the record is read anew with the next tick.
func (e uncertainRecordRead) Apply() {
	o := e.owner
	o.transferInFlight = false
	if e.err != nil {
		o.log.Debug("shard record not read", "key", e.key, "err", e.err)
		return
	}
	if entry, err := shard.ParseRecord(e.item.Key, e.item.Value, uint64(e.item.Version)); err == nil {
		o.ownership.Observe(entry)
		o.applyOwnerState()
	} else {
		o.log.Debug("shard record not understood", "err", err)
	}
	if transaction, ok := o.ownership.ResolveUncertain(int64(o.node.Wall())); ok {
		o.commitTransfer(transaction, o.ownership.HandleResolveResult)
	}
}

// terminateIdle marks machines that nobody has needed for long to be terminated.
func (o *ShardOwner) terminateIdle(now micro.Time) {
	for _, machine := range o.planner.IdleMachines(now) {
		o.Terminate(machine, "idle")
	}
}
