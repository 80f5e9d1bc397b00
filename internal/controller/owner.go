package controller

import (
	"context"
	"time"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/internal/writer"
	"notchmux.dev/notchmux/wire"
)

// ownership is what the loop of a share's owner has beside that of a leader. The loop
// places the jobs that were assigned to the share on the share's machines, under
// conditions and tokens of its own; it accepts, ends and rents nothing.
type ownership struct {
	*share.Owner
	name string

	assignments map[string]*writer.Entry // of the jobs that were assigned, by job
	assignedAt  map[string]micro.Time    // by the wall clock: a new owner does not wait anew
	seen        uint64                   // revision up to which assignments were read
	finished    map[*model.Job]bool      // jobs all of whose tasks are done
	stopped     map[*model.Job]bool      // jobs that are being withdrawn
	wanted      map[*model.Machine]bool  // machines to be returned
	unreached   bool                     // no worker reaches this node

	term     uint64                // of the leader whose answer came last
	told     map[string]bool       // machines that it was told are up
	telling  bool                  // a touch is under way
	toldAt   micro.Time            // when the last one went out
	press    bool                  // something presses: the next one goes out at once
	kept     map[string]micro.Time // until when keepers may have renewed leases, as of the answer being read
	resolves bool                  // a hand-over, or a look at what came of it, is under way
}

// places reports whether new tasks may be placed.
func (l *Lead) places() bool { return l.owner == nil || l.owner.Places() }

// startOwner begins the loop of a share that this incarnation owns.
func (n *Node) startOwner(ctx context.Context, e share.Entry, term *election.Term, self share.Controller) *Lead {
	log := n.Log.With("share", e.Name, "version", e.Version)
	owner := share.NewOwner(e, term, self, log.Info)
	l := newLoop(n, term, owner.FirstToken(), log)
	l.owner = &ownership{Owner: owner, name: e.Name, assignments: map[string]*writer.Entry{}, assignedAt: map[string]micro.Time{}, finished: map[*model.Job]bool{},
		stopped: map[*model.Job]bool{}, wanted: map[*model.Machine]bool{}, told: map[string]bool{}}
	for _, t := range n.Cfg.Facts.Teams {
		// The leader has counted all that is assigned against the limits.
		l.c.Teams[t.Name] = &model.Team{Name: t.Name}
	}
	l.c.SetCatalog(n.catalog.Load())
	go l.runOwner(ctx)
	return l
}

// runOwner is the loop of an owner.
func (l *Lead) runOwner(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.stopWith(ctx)
	from := l.n.Now()
	if !l.loadShare(ctx) {
		l.stop() // begun anew with the next look at the table
		return
	}
	l.serving.Store(true)
	l.log.Info("took over share", "jobs", len(l.c.Jobs), "machines", len(l.c.Machines), "took_ms", int64((l.n.Now()-from)/micro.Millisecond))
	go l.watchAssignments(ctx, l.owner.seen)
	l.serve(l.tickOwner)
}

// tickOwner is what an owner does from time to time.
func (l *Lead) tickOwner(now micro.Time) {
	l.tendHandOver(now)
	if !l.heeds(now) {
		return
	}
	if now-l.lastPlan >= micro.Second {
		l.lastPlan = now
		l.changed = true // backoffs run out
		l.returnIdle(now)
		l.lookOver(now)
		l.closeAssignments(now)
	}
	if l.owner.press || now-l.owner.toldAt >= touchEvery {
		l.touchLeader(now)
	}
	if now-l.lastStats >= statsEvery {
		l.lastStats = now
		l.stats()
	}
	l.lookAtTokens(now)
}

// observe takes in what the share's record says now; there is none if it is gone.
func (l *Lead) observe(e share.Entry, there bool) {
	if there {
		l.owner.Observe(e)
	} else {
		l.owner.Gone()
	}
	l.heedOwner()
}

// heedOwner follows a change of the owner's state: whether the loop may say anything,
// and whether it is over.
func (l *Lead) heedOwner() {
	l.silent.Store(!l.owner.Speaks())
	if l.owner.State() == share.Over {
		l.stop()
	}
}

// tendHandOver brings a move on.
func (l *Lead) tendHandOver(now micro.Time) {
	switch l.owner.State() {
	case share.Settling:
		if l.valid() && !l.owner.resolves && l.settleForMove(now) {
			l.handShareOver()
		}
	case share.Doubtful:
		if !l.owner.resolves {
			l.resolveDoubt()
		}
	}
}

// settleForMove drops what was planned and not started, and reports whether nothing is
// still to be written or in doubt: the next owner reads the rest.
func (l *Lead) settleForMove(now micro.Time) bool {
	for _, m := range l.c.List() {
		for _, p := range m.Sorted() {
			if p.State == model.Planned {
				l.c.Stop(p, "the share moves", 0, now)
			}
		}
	}
	if l.records.Settled() {
		return true
	}
	l.records.Hurry(now)
	return false
}

// handShareOver sends the transaction that names the next owner. From here on this one
// says nothing.
func (l *Lead) handShareOver() {
	txn, ok := l.owner.HandOver(int64(l.n.Wall()))
	if !ok {
		return
	}
	l.heedOwner()
	l.sendForShare(txn, func(_ uint64, err error) { l.owner.HandedOver(err) })
}

// sendForShare sends a transaction on the share's record, and has the loop take in what
// came of it.
func (l *Lead) sendForShare(txn wire.Txn, done func(revision uint64, err error)) {
	l.owner.resolves = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shareTxnWait)
		defer cancel()
		revision, err := l.n.Store.Commit(ctx, store.Leadership, txn)
		l.post(func() {
			l.owner.resolves = false
			done(revision, err)
			l.heedOwner()
		})
	}()
}

// shareTxnWait is how long a transaction on a share's record may take.
const shareTxnWait = 1200 * time.Millisecond

// resolveDoubt finds out what came of a hand-over: by the record, and if that reads as
// before, by writing it anew.
func (l *Lead) resolveDoubt() {
	l.owner.resolves = true
	key := l.owner.Entry().Key()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shareTxnWait)
		defer cancel()
		it, err := l.n.Store.Get(ctx, store.Leadership, key)
		l.post(func() {
			l.owner.resolves = false
			l.resolvedBy(it, err)
		})
	}()
}

func (l *Lead) resolvedBy(it wire.Item, err error) {
	if err != nil {
		return // once more, with the next tick
	}
	if e, ok := shareEntry(it.Key, it.Value, uint64(it.Version)); ok {
		l.owner.Observe(e)
		l.heedOwner()
	}
	if txn, ok := l.owner.Renew(int64(l.n.Wall())); ok {
		l.sendForShare(txn, l.owner.Renewed)
	}
}

// returnIdle marks machines that nobody has needed for long to be returned.
func (l *Lead) returnIdle(now micro.Time) {
	for _, m := range l.planner.Idle(now) {
		l.giveBack(m, "idle")
	}
}

// wantReturned marks a machine of the share to be returned: the leader has its rental.
func (l *Lead) wantReturned(m *model.Machine) {
	l.owner.wanted[m] = true
	l.owner.press = true
}
