package controller

import (
	"context"
	"slices"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/scale"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/internal/writer"
	"notchmux.dev/notchmux/wire"
)

// leadShares is the leader's part in shares: it forms them, decides who owns which,
// takes them from owners that are gone, and gives them jobs. It acts on what the store
// holds: each of its transactions carries the version that it looked at, so a late or
// repeated one does nothing.
type leadShares struct {
	views    map[string]*shareView
	sessions share.Sessions
	read     bool // the sessions were read in this term

	sending   map[string]bool // shares with a transaction under way
	reading   bool            // the sessions are being read
	readAt    micro.Time
	assigned  map[string]*assignedJob // by job
	adopted   map[string]*adoption    // shares that are being taken back, by name
	tendedAt  micro.Time
	evalAt    micro.Time
	evaluates bool
	movedAt   map[string]micro.Time // when each share was last told to move
	marker    *writer.Entry
}

// shareView is what the leader knows of a share beside its record.
type shareView struct {
	room      []share.Room // free for jobs, less what was assigned since
	roomAt    micro.Time
	seen      uint64 // revision up to which the owner has read assignments
	latest    uint64 // revision of the last assignment that was stored
	machines  int
	empty     int
	waiting   int
	unreached bool
	toldAllAt micro.Time // since when this leader knows of all machines that report to the owner; 0: not yet
	handovers int        // moves in a row because no worker reached the owner
	awayAt    micro.Time // the last of them
	demand    []share.Demand
}

// assignedJob is a job that was assigned to a share.
type assignedJob struct {
	job      *model.Job
	share    string
	record   share.Assignment
	entry    *writer.Entry
	stored   bool     // the record is in the store
	stopping bool     // its withdrawal is under way
	ended    bool     // the end of the withdrawal is being written
	zones    []string // where tasks may still run, after its user was told

	returned bool   // its owner deleted the record though the job is not over
	fence    uint64 // the share's record must have a later version before it is the leader's again
	looking  bool   // whether the record is really gone is being looked up
}

// initSharing prepares the leader's part, if the feature is on.
func (l *Lead) initSharing() {
	if l.n.shares == nil {
		return
	}
	l.sharing = &leadShares{views: map[string]*shareView{}, sending: map[string]bool{}, assigned: map[string]*assignedJob{},
		adopted: map[string]*adoption{}, movedAt: map[string]micro.Time{}}
	l.sharing.marker = l.records.Entry(share.MarkerKey)
	l.sharing.marker.Build = func() (any, uint64) {
		if l.n.shares.table.Snapshot().Len() == 0 && len(l.n.Cfg.Shares.Declared) == 0 {
			return nil, 0
		}
		return true, 0
	}
	l.c.Partition = l.partition
	l.planner.Shares = l.shareDemands
	l.planner.Own = func(o scale.Offer) bool {
		_, shared := l.table().Of(attributes(o.Type, o.Zone, o.Spot))
		return !shared
	}
}

// shareDemands lists what waits for room in shares: their owners rent nothing.
func (l *Lead) shareDemands() []scale.ShareDemand {
	var out []scale.ShareDemand
	l.table().Each(func(e share.Entry) bool {
		if !e.Away() {
			return true
		}
		for _, d := range l.view(e.Name).demand {
			within := func(o scale.Offer) bool {
				return e.Record.Selector.Matches(attributes(o.Type, o.Zone, o.Spot)) && (len(d.Zones) == 0 || slices.Contains(d.Zones, o.Zone))
			}
			if j := l.c.Jobs[d.Job]; j != nil && j.State == model.Assigned && j.Share == e.Name {
				out = append(out, scale.ShareDemand{Job: j, Tasks: d.Tasks, Within: within})
			}
		}
		return true
	})
	return out
}

// table is the table of shares as it is now.
func (l *Lead) table() share.Snapshot { return l.n.shares.table.Snapshot() }

// partition says whether another controller owns a machine, and whether it is to.
func (l *Lead) partition(m *model.Machine) (foreign, clearing bool) {
	e, ok := l.table().Of(attributes(m.TypeName, m.Zone, m.Spot))
	if !ok {
		return false, false
	}
	return l.foreign(e), e.Record.State == share.Forming
}

// answersNot reports whether a report comes from a machine that is not the leader's to
// answer: another controller owns it, or a share's work is still to be read before its
// machines are answered. Answered earlier, they were told to stop all that they ran.
func (l *Lead) answersNot(r *wire.Report) bool {
	if l.sharing == nil {
		return false
	}
	e, ok := l.table().Of(attributes(r.Type, r.Zone, r.Spot))
	return ok && l.foreign(e)
}

// foreign reports whether the machines of a share are not the leader's.
func (l *Lead) foreign(e share.Entry) bool {
	a := l.sharing.adopted[e.Name]
	return e.Record.State != share.Forming && (a == nil || !a.taken)
}

func (l *Lead) view(name string) *shareView {
	v := l.sharing.views[name]
	if v == nil {
		v = &shareView{}
		l.sharing.views[name] = v
	}
	return v
}

// sharesChanged takes in that the table has changed.
func (l *Lead) sharesChanged() {
	if l.sharing == nil || !l.loaded {
		return
	}
	for name := range l.sharing.views {
		if _, ok := l.table().Get(name); !ok {
			delete(l.sharing.views, name)
		}
	}
	l.c.Repartition()
}

// How often the leader looks after the shares, and reads who has a session.
const (
	tendEvery     = 300 * micro.Millisecond
	sessionsEvery = micro.Second
)

// tendShares looks after the shares.
func (l *Lead) tendShares(now micro.Time) {
	if l.sharing == nil || now-l.sharing.tendedAt < tendEvery {
		return
	}
	l.sharing.tendedAt = now
	l.readSessions(now)
	if !l.n.shares.read.Load() || !l.sharing.read {
		return
	}
	l.table().Each(func(e share.Entry) bool {
		if !l.sharing.sending[e.Name] {
			l.tendShare(e, now)
		}
		return true
	})
	l.formDeclared()
	l.evaluatePolicies(now)
	l.tendReturned()
	l.assignJobs(now)
}

// readSessions reads which controllers have a session.
func (l *Lead) readSessions(now micro.Time) {
	if l.sharing.reading || now-l.sharing.readAt < sessionsEvery {
		return
	}
	l.sharing.reading, l.sharing.readAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shareTxnWait)
		defer cancel()
		page, err := l.n.Store.Range(ctx, store.Routine, share.SessionPrefix, "", 1000)
		l.post(func() {
			l.sharing.reading = false
			if err != nil {
				return
			}
			l.sharing.read = true
			l.sharing.sessions = share.Sessions{}
			for _, it := range page.Items {
				l.sharing.sessions[it.Key[len(share.SessionPrefix):]] = it.Version
			}
		})
	}()
}

// tendShare does what a share's record calls for.
func (l *Lead) tendShare(e share.Entry, now micro.Time) {
	wall := int64(l.n.Wall())
	switch {
	case e.Record.State == share.Forming:
		l.tendForming(e, wall)
	case e.Record.State == share.Released:
		l.adoptShare(e, now)
	case e.OwnerGone(l.sharing.sessions):
		to, ok := e.Successor(l.sharing.sessions, l.table())
		if !ok {
			return
		}
		if txn, err := e.Take(to, l.sharing.sessions, wall, l.term.Guard()); err == nil {
			l.log.Info("share taken from an owner that is gone", "share", e.Name, "owner", e.Record.Owner.Node, "to", to.Node)
			l.sendShare(e.Name, txn)
		}
	case e.Record.State == share.Moving && e.Record.Target.Node != "" && !l.sharing.sessions.Has(e.Record.Target):
		l.changeShare(e, "move cancelled: its target is gone", e.Record.Cancel)
	case l.n.Cfg.Shares.Dissolve && e.Record.State == share.Owned:
		l.changeShare(e, "share to be dissolved", func(wall int64) (share.Record, error) { return e.Record.Move(share.Controller{}, wall) })
	case e.Record.State == share.Owned && l.view(e.Name).unreached:
		l.moveAway(e, now)
	}
}

// restAfterMoves is how long a share stays where it is after it was moved maxHandovers
// times because no worker reached its owner: its machines may all be dead, and only an
// owner that stays can prove it. Sent round for ever, a share once kept the places of
// its dead machines until the day was over.
const restAfterMoves = 3 * micro.Minute

// moveAway moves a share whose owner no worker reaches.
func (l *Lead) moveAway(e share.Entry, now micro.Time) {
	v := l.view(e.Name)
	if v.unreached = false; v.handovers >= maxHandovers && now-v.awayAt < restAfterMoves {
		return
	}
	others := share.Sessions{}
	for node, version := range l.sharing.sessions {
		if node != e.Record.Owner.Node {
			others[node] = version
		}
	}
	to, ok := others.FewestShares(l.table())
	if !ok {
		return
	}
	v.handovers, v.awayAt = v.handovers+1, now
	l.changeShare(e, "no worker reaches the owner", func(wall int64) (share.Record, error) { return e.Record.Move(to, wall) })
}

// changeShare writes a change of a share's record.
func (l *Lead) changeShare(e share.Entry, why string, change func(wall int64) (share.Record, error)) {
	if err := l.changeShareThen(e, why, change, func(error) {}); err != nil {
		l.log.Info("share not changed", "share", e.Name, "why", err)
	}
}

// changeShareThen does the same, and tells what came of the write; it returns why the
// change is refused.
func (l *Lead) changeShareThen(e share.Entry, why string, change func(wall int64) (share.Record, error), done func(error)) error {
	later, err := change(int64(l.n.Wall()))
	if err != nil {
		return err
	}
	l.log.Info("share", "share", e.Name, "was", string(e.Record.State), "is", string(later.State), "owner", later.Owner.Node, "target", later.Target.Node, "why", why)
	l.sendShareThen(e.Name, e.Put(later, l.term.Guard()), done)
	return nil
}

// sendShare sends a transaction on a share's record. What came of it shows in the table.
func (l *Lead) sendShare(name string, txn wire.Txn) { l.sendShareThen(name, txn, func(error) {}) }

func (l *Lead) sendShareThen(name string, txn wire.Txn, done func(error)) {
	l.sharing.sending[name] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shareTxnWait)
		defer cancel()
		_, err := l.n.Store.Commit(ctx, store.Urgent, txn)
		if err != nil {
			l.log.Info("share not written", "share", name, "err", err)
		}
		l.post(func() { done(err) })
		time.Sleep(tablePause.Std()) // the table follows
		l.post(func() { delete(l.sharing.sending, name) })
	}()
}
