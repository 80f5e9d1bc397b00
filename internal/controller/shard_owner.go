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

// ShardOwner runs one ownership of a shard. It schedules the jobs that are assigned to the shard on
// the shard's machines, under its own transaction preconditions and fencing tokens. It does not
// accept jobs, write their final states or request instances; the leader does. Its state is owned by
// its loop's goroutine.
type ShardOwner struct {
	*controlLoop
	ownership        *shard.Owner
	name             string
	startedAt        micro.Time  // when the loop was created, by the wall clock
	firstLoop        bool        // no earlier loop of this process ran under this record version
	responsesBlocked atomic.Bool // no responses may be sent: a transfer is in flight or uncertain

	planner             *autoscaler.Planner            // finds idle machines; requests no instances
	lastReview          micro.Time                     // last review, see reviewInterval
	assignments         map[string]*statestore.Record  // assignment records, by job ID
	assignedAt          map[string]micro.Time          // by the wall clock: hand-back timeouts continue under a new owner
	assignmentRevision  uint64                         // store revision up to which assignments were read
	finished            map[*cluster.Job]bool          // jobs whose tasks are all done
	cancelling          map[*cluster.Job]bool          // jobs that are being cancelled
	recalled            map[*cluster.Job]bool          // jobs that the leader has recalled
	suspended           map[*cluster.Job]bool          // jobs that are not scheduled because task records are missing
	copies              map[*cluster.Job]*copyProgress // handed-over jobs whose task records are being copied
	pendingTerminations map[*cluster.Machine]bool      // machines that the leader is asked to terminate
	transferInFlight    bool                           // a transfer transaction, or a read of its outcome, is in flight
	unreachable         bool                           // no agent reaches this node
	statusUpdates       statusUpdateState
	proxyRenewedUntil   map[string]micro.Time // lease proxies may have renewed until then; set while a reply is applied
}

// statusUpdateState is the state of the status updates that the owner sends to the leader.
type statusUpdateState struct {
	leaderTerm       uint64          // term of the leader that last replied
	reportedMachines map[string]bool // machines that were reported as up to that leader
	inFlight         bool            // a status update is in flight
	sentAt           micro.Time      // when the last status update was sent
	urgent           bool            // the next status update is sent without waiting for the interval
}

// newShardOwner returns the owner of a shard that this incarnation of the node owns; its loop is not
// started.
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
		// No quotas here: the leader has already counted all assigned tasks against them.
		o.cluster.Teams[team.Name] = &cluster.Team{Name: team.Name}
	}
	o.cluster.SetCatalog(n.catalog.Load())
	return o
}

// run restores the shard's state from the store and then runs the event loop until ctx ends or the
// loop is stopped.
func (o *ShardOwner) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.loop.StopWith(ctx)
	startedAt := o.node.Now()
	if !o.recoverShard(ctx) {
		o.loop.Stop() // a new loop starts at the next reconciliation with the shard table
		return
	}
	o.serving.Store(true)
	o.log.Info(
		"shard failover complete", "jobs", len(o.cluster.Jobs), "machines", len(o.cluster.Machines), "took_ms",
		int64((o.node.Now()-startedAt)/micro.Millisecond),
	)
	go o.watchAssignments(ctx, o.assignmentRevision)
	o.loop.Run(eventloop.Handlers{Now: o.node.Now, Tick: o.tick, AfterEvents: o.runPending})
}

// runPending does the work that the handled events made pending: it schedules tasks, writes records
// and sends commands.
func (o *ShardOwner) runPending(now micro.Time) {
	if !o.holdsLease() {
		return
	}
	if o.ownership.MayAllocate() {
		o.schedule(now)
	}
	o.flush(now)
}

// reviewInterval is how often idle machines, pending jobs and finished assignments are reviewed.
const reviewInterval = micro.Second

// tick runs the owner's periodic work.
func (o *ShardOwner) tick(now micro.Time) {
	o.reconcileTransfer(now)
	if !o.detector.ObserveLease(o.holdsLease(), now) {
		return
	}
	if now-o.lastReview >= reviewInterval {
		o.lastReview = now
		o.schedulePending = true // backoffs may have expired
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

// Observe passes the current shard record to the loop; exists is false if the record was deleted. It
// is safe for concurrent use.
func (o *ShardOwner) Observe(entry shard.Entry, exists bool) {
	o.loop.Post(shardRecordObserved{o, entry, exists})
}

// Stop stops the loop permanently. It is safe for concurrent use.
func (o *ShardOwner) Stop() { o.loop.Stop() }

// Stopped reports whether the loop was stopped. It is safe for concurrent use.
func (o *ShardOwner) Stopped() bool { return o.loop.Stopped() }

// shardRecordObserved is the event that carries the current shard record.
type shardRecordObserved struct {
	owner  *ShardOwner
	entry  shard.Entry
	exists bool // false: the record was deleted
}

// Apply updates the ownership from the record.
func (e shardRecordObserved) Apply() {
	if e.exists {
		e.owner.ownership.Observe(e.entry)
	} else {
		e.owner.ownership.HandleRecordDeleted()
	}
	e.owner.applyOwnerState()
}

// applyOwnerState applies a change of the ownership's state: it blocks or allows responses, and stops
// the loop once the shard is relinquished.
func (o *ShardOwner) applyOwnerState() {
	o.responsesBlocked.Store(!o.ownership.MayRespond())
	if o.ownership.State() == shard.Relinquished {
		o.loop.Stop()
	}
}

// reconcileTransfer advances a requested or uncertain transfer of the shard.
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

// drainForTransfer releases planned allocations that were not started, and reports whether all records
// are stored and no write is uncertain: the next owner restores its state from the records.
func (o *ShardOwner) drainForTransfer(now micro.Time) bool {
	for _, machine := range o.cluster.SortedMachines() {
		for _, allocation := range machine.SortedAllocations() {
			if allocation.State == cluster.Planned {
				o.cluster.StopAllocation(allocation, "the shard moves", 0, now)
			}
		}
	}
	if o.records.Settled() {
		return true
	}
	o.records.EscalateAll(now)
	return false
}

// transferShard sends the transaction that names the next owner. From here on this owner sends no
// responses.
func (o *ShardOwner) transferShard() {
	transaction, ok := o.ownership.BeginTransfer(int64(o.node.Wall()))
	if !ok {
		return
	}
	o.applyOwnerState()
	transaction.Then = append(transaction.Then, o.machineInactivityChanges()...)
	o.commitTransfer(transaction, func(_ uint64, err error) { o.ownership.HandleTransferResult(err) })
}

// commitTransfer sends a transaction on the shard record and passes its result to the loop, which calls
// done.
func (o *ShardOwner) commitTransfer(transaction wire.Transaction, done func(revision uint64, err error)) {
	o.transferInFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		revision, err := o.node.Store.Commit(ctx, store.Leadership, transaction)
		o.loop.Post(transferCompleted{o, done, revision, err})
	}()
}

// transferCompleted is the event that carries the result of a transaction on the shard record.
type transferCompleted struct {
	owner    *ShardOwner
	done     func(revision uint64, err error)
	revision uint64
	err      error
}

// Apply updates the ownership's state with the result.
func (e transferCompleted) Apply() {
	e.owner.transferInFlight = false
	e.done(e.revision, e.err)
	e.owner.applyOwnerState()
}

// resolveTransfer determines the outcome of an uncertain transfer by reading the shard record. If the
// record is unchanged, it is rewritten, so that the uncertain transaction can no longer succeed.
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

// uncertainRecordRead is the event that carries the shard record read after an uncertain transfer.
type uncertainRecordRead struct {
	owner *ShardOwner
	key   string
	item  wire.Item
	err   error
}

// Apply resolves the transfer. After a read error the record is read again at the next tick.
func (e uncertainRecordRead) Apply() {
	o := e.owner
	o.transferInFlight = false
	if e.err != nil {
		o.log.Debug("read shard record failed", "key", e.key, "err", e.err)
		return
	}
	if entry, err := shard.ParseRecord(e.item.Key, e.item.Value, uint64(e.item.Version)); err == nil {
		o.ownership.Observe(entry)
		o.applyOwnerState()
	} else {
		o.log.Debug("decode shard record failed", "err", err)
	}
	if transaction, ok := o.ownership.ResolveUncertain(int64(o.node.Wall())); ok {
		o.commitTransfer(transaction, o.ownership.HandleResolveResult)
	}
}

// terminateIdle marks machines that have been idle for long enough for termination.
func (o *ShardOwner) terminateIdle(now micro.Time) {
	for _, machine := range o.planner.IdleMachines(now) {
		o.Terminate(machine, "idle")
	}
}
