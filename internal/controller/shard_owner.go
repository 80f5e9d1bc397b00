package controller

import (
	"context"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// ownedShard is what the loop of a share's owner has beside that of a leader. The loop
// places the jobs that were assigned to the share on the share's machines, under
// conditions and tokens of its own; it accepts, ends and rents nothing.
type ownedShard struct {
	*shard.Owner
	name string

	assignments         map[string]*statestore.Record // of the jobs that were assigned, by job
	assignedAt          map[string]micro.Time         // by the wall clock: a new owner does not wait anew
	assignmentRevision  uint64                        // revision up to which assignments were read
	finished            map[*cluster.Job]bool         // jobs all of whose tasks are done
	cancelling          map[*cluster.Job]bool         // jobs that are being withdrawn
	pendingTerminations map[*cluster.Machine]bool     // machines to be returned
	unreachable         bool                          // no worker reaches this node

	leaderTerm       uint64                // of the leader whose answer came last
	reportedMachines map[string]bool       // machines that it was told are up
	reportInFlight   bool                  // a touch is under way
	reportedAt       micro.Time            // when the last one went out
	reportUrgent     bool                  // something presses: the next one goes out at once
	renewedUntil     map[string]micro.Time // until when keepers may have renewed leases, as of the answer being read
	transferInFlight bool                  // a hand-over, or a look at what came of it, is under way
}

// mayPlace reports whether new tasks may be placed.
func (l *Leader) mayPlace() bool { return l.owner == nil || l.owner.MayAllocate() }

// startShardOwner begins the loop of a share that this incarnation owns.
func (n *Node) startShardOwner(ctx context.Context, e shard.Entry, term *election.Term, self shard.Controller) *Leader {
	log := n.Log.With("share", e.Name, "version", e.Version)
	owner := shard.NewOwner(e, term, self, log.Info)
	l := newEventLoop(n, term, owner.FirstFencingToken(), log)
	l.records = newRecords(l, shardOwnerRole{owner, e.Name})
	l.owner = &ownedShard{
		Owner: owner, name: e.Name, assignments: map[string]*statestore.Record{}, assignedAt: map[string]micro.Time{},
		finished: map[*cluster.Job]bool{}, cancelling: map[*cluster.Job]bool{},
		pendingTerminations: map[*cluster.Machine]bool{}, reportedMachines: map[string]bool{},
	}
	for _, t := range n.Cfg.Facts.Teams {
		// The leader has counted all that is assigned against the limits.
		l.cluster.Teams[t.Name] = &cluster.Team{Name: t.Name}
	}
	l.cluster.SetCatalog(n.catalog.Load())
	go l.runShardOwner(ctx)
	return l
}

// runShardOwner is the loop of an owner.
func (l *Leader) runShardOwner(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.loop.StopWith(ctx)
	from := l.node.Now()
	if !l.recoverShard(ctx) {
		l.loop.Stop() // begun anew with the next look at the table
		return
	}
	l.serving.Store(true)
	l.log.Info(
		"took over share", "jobs", len(l.cluster.Jobs), "machines", len(l.cluster.Machines), "took_ms",
		int64((l.node.Now()-from)/micro.Millisecond),
	)
	go l.watchAssignments(ctx, l.owner.assignmentRevision)
	l.serve(l.tickShardOwner)
}

// tickShardOwner is what an owner does from time to time.
func (l *Leader) tickShardOwner(now micro.Time) {
	l.reconcileTransfer(now)
	if !l.detector.ObserveLease(l.holdsLease(), now) {
		return
	}
	if now-l.lastPlan >= micro.Second {
		l.lastPlan = now
		l.schedulePending = true // backoffs run out
		l.terminateIdle(now)
		l.reviewPendingJobs(now)
		l.deleteFinishedAssignments(now)
	}
	if l.owner.reportUrgent || now-l.owner.reportedAt >= statusUpdateInterval {
		l.sendStatusUpdate(now)
	}
	if now-l.lastStatusLog >= statusLogInterval {
		l.lastStatusLog = now
		l.logStatus()
	}
	l.dispatcher.CheckToken(now)
}

// observeShardRecord takes in what the share's record says now; there is none if it is gone.
func (l *Leader) observeShardRecord(e shard.Entry, exists bool) {
	if exists {
		l.owner.Observe(e)
	} else {
		l.owner.HandleRecordDeleted()
	}
	l.applyOwnerState()
}

// applyOwnerState follows a change of the owner's state: whether the loop may say anything,
// and whether it is over.
func (l *Leader) applyOwnerState() {
	l.responsesBlocked.Store(!l.owner.MayRespond())
	if l.owner.State() == shard.Relinquished {
		l.loop.Stop()
	}
}

// reconcileTransfer brings a move on.
func (l *Leader) reconcileTransfer(now micro.Time) {
	switch l.owner.State() {
	case shard.Draining:
		if l.holdsLease() && !l.owner.transferInFlight && l.drainForTransfer(now) {
			l.transferShard()
		}
	case shard.Uncertain:
		if !l.owner.transferInFlight {
			l.resolveTransfer()
		}
	}
}

// drainForTransfer drops what was planned and not started, and reports whether nothing is
// still to be written or in doubt: the next owner reads the rest.
func (l *Leader) drainForTransfer(now micro.Time) bool {
	for _, m := range l.cluster.SortedMachines() {
		for _, p := range m.SortedAllocations() {
			if p.State == cluster.Planned {
				l.cluster.StopAllocation(p, "the share moves", 0, now)
			}
		}
	}
	if l.records.Settled() {
		return true
	}
	l.records.EscalateAll(now)
	return false
}

// transferShard sends the transaction that names the next owner. From here on this one
// says nothing.
func (l *Leader) transferShard() {
	transaction, ok := l.owner.BeginTransfer(int64(l.node.Wall()))
	if !ok {
		return
	}
	l.applyOwnerState()
	l.commitTransfer(transaction, func(_ uint64, err error) { l.owner.HandleTransferResult(err) })
}

// commitTransfer sends a transaction on the share's record, and has the loop take in what
// came of it.
func (l *Leader) commitTransfer(transaction wire.Transaction, done func(revision uint64, err error)) {
	l.owner.transferInFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		revision, err := l.node.Store.Commit(ctx, store.Leadership, transaction)
		l.post(func() {
			l.owner.transferInFlight = false
			done(revision, err)
			l.applyOwnerState()
		})
	}()
}

// resolveTransfer finds out what came of a hand-over: by the record, and if that reads as
// before, by writing it anew.
func (l *Leader) resolveTransfer() {
	l.owner.transferInFlight = true
	key := l.owner.Entry().Key()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		it, err := l.node.Store.Get(ctx, store.Leadership, key)
		l.post(func() {
			l.owner.transferInFlight = false
			l.transferResolved(it, err)
		})
	}()
}

func (l *Leader) transferResolved(it wire.Item, err error) {
	if err != nil {
		return // once more, with the next tick
	}
	if e, err := shard.ParseRecord(it.Key, it.Value, uint64(it.Version)); err == nil {
		l.owner.Observe(e)
		l.applyOwnerState()
	} else {
		l.log.Debug("shard record not understood", "err", err)
	}
	if transaction, ok := l.owner.ResolveUncertain(int64(l.node.Wall())); ok {
		l.commitTransfer(transaction, l.owner.HandleResolveResult)
	}
}

// terminateIdle marks machines that nobody has needed for long to be returned.
func (l *Leader) terminateIdle(now micro.Time) {
	for _, m := range l.planner.IdleMachines(now) {
		l.terminate(m, "idle")
	}
}

// requestTermination marks a machine of the share to be returned: the leader has its rental.
func (l *Leader) requestTermination(m *cluster.Machine) {
	l.owner.pendingTerminations[m] = true
	l.owner.reportUrgent = true
}
