package controller

import (
	"context"
	"errors"

	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// keptAssignment is an assignment as a takeover reads it.
type keptAssignment struct {
	share   string
	record  share.Assignment
	version uint64
}

// loadAssignments reads the shares and what was assigned to them, before the jobs: those
// are not this leader's to place, and count against their teams' limits.
func (l *Lead) loadAssignments(ctx context.Context, k *kept) bool {
	if l.sharing == nil {
		return true
	}
	for !l.n.shares.read.Load() {
		if !l.sleep(tableReadPause) {
			return false
		}
	}
	k.assigned = map[string]*keptAssignment{}
	revision, ok := l.readAll(ctx, share.AssignmentPrefix, func(it wire.Item) {
		name, id, ok := share.ParseAssignmentKey(it.Key)
		a := &keptAssignment{share: name, version: uint64(it.Version)}
		if ok && wire.Unmarshal(it.Value, &a.record) == nil {
			k.assigned[id] = a
		}
	})
	if !ok {
		return false
	}
	// The table is as new as the assignments: a share that was formed since holds none.
	if _, err := l.n.readTable(ctx); err != nil {
		l.log.Info("takeover read failed", "prefix", share.RecordPrefix, "err", err)
		return l.sleep(tableReadPause) && l.loadAssignments(ctx, k)
	}
	go l.followAssignments(ctx, revision)
	return true
}

// restoreAssigned notes that a job was assigned when this leader took over.
func (l *Lead) restoreAssigned(j *model.Job, a *keptAssignment) {
	if a == nil {
		return
	}
	l.c.RestoreAssigned(j, a.share, a.record.Tasks)
	x := l.storeAssignment(a.share, j, a.record)
	x.stored = true
	x.entry.SetVersion(a.version)
}

// resumeStops goes on with withdrawals that the leader before had begun.
func (l *Lead) resumeStops() {
	if l.sharing == nil {
		return
	}
	for _, a := range l.sharing.assigned {
		if a.record.Stop && a.job.State == model.Assigned {
			a.stopping = true
			l.c.BeginAbort(a.job)
		}
		if a.job.State == model.Aborted {
			// Its user was told, and where its tasks run is not known yet.
			a.stopping, a.ended, a.zones = true, true, l.n.Cfg.Facts.Zones
		}
	}
	l.c.Repartition()
}

// followAssignments finds the assignments that owners delete.
func (l *Lead) followAssignments(ctx context.Context, revision uint64) {
	for {
		events, err := l.n.Store.Watch(ctx, share.AssignmentPrefix, revision, tableWatch)
		switch {
		case errors.Is(err, store.ErrCompacted):
			l.resign("the store's history is too short to follow")
			return
		case err == nil:
			revision = max(revision, uint64(events.Revision))
			l.post(func() { l.assignmentsChanged(events) })
		}
		if !l.sleep(tablePause) {
			return
		}
	}
}

// markedShares takes in that there are shares. A leader without the feature would take
// all machines for its own: it leaves the lead to another.
func (l *Lead) markedShares(it wire.Item) {
	if l.sharing != nil {
		l.sharing.marker.SetVersion(uint64(it.Version))
		return
	}
	if l.owner == nil {
		l.log.Error("shares of the machines exist, and this controller runs without the feature: it does not lead")
		l.resign("it runs without shares")
	}
}
