package controller

import (
	"context"
	"errors"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// storedAssignment is an assignment as a takeover reads it.
type storedAssignment struct {
	shardName  string
	assignment shard.Assignment
	version    uint64
}

// recoverAssignments reads the shares and what was assigned to them, before the jobs: those
// are not this leader's to place, and count against their teams' limits.
func (l *Leader) recoverAssignments(ctx context.Context, snapshot *jobSnapshot) bool {
	if l.coordinator == nil {
		return true
	}
	for !l.node.shards.table.HasRead() {
		if !l.loop.Sleep(shard.ReadRetry) {
			return false
		}
	}
	snapshot.assignments = map[string]*storedAssignment{}
	revision, ok := l.readAll(ctx, shard.AssignmentPrefix, func(item wire.Item) {
		shardName, id, ok := shard.ParseAssignmentKey(item.Key)
		stored := &storedAssignment{shardName: shardName, version: uint64(item.Version)}
		if ok && wire.Unmarshal(item.Value, &stored.assignment) == nil {
			snapshot.assignments[id] = stored
		}
	})
	if !ok {
		return false
	}
	// The table is as new as the assignments: a share that was formed since holds none.
	if _, err := l.node.shards.table.Read(ctx); err != nil {
		l.log.Info("takeover read failed", "prefix", shard.RecordPrefix, "err", err)
		return l.loop.Sleep(shard.ReadRetry) && l.recoverAssignments(ctx, snapshot)
	}
	go l.watchAssignmentDeletions(ctx, revision)
	return true
}

// restoreAssignment notes that a job was assigned when this leader took over.
func (l *Leader) restoreAssignment(j *cluster.Job, stored *storedAssignment) {
	if stored == nil {
		return
	}
	l.cluster.RestoreAssignment(j, stored.shardName, stored.assignment.MaxAllocations)
	assigned := l.storeAssignment(stored.shardName, j, stored.assignment)
	assigned.stored = true
	assigned.storeRecord.SetVersion(stored.version)
}

// resumeCancellations goes on with withdrawals that the leader before had begun.
func (l *Leader) resumeCancellations() {
	if l.coordinator == nil {
		return
	}
	for _, assigned := range l.coordinator.assignedJobs {
		if assigned.assignment.StopRequested && assigned.job.State == cluster.Assigned {
			assigned.cancelling = true
			l.cluster.BeginAbort(assigned.job)
		}
		if assigned.job.State == cluster.Aborted {
			// Its user was told, and where its tasks run is not known yet.
			assigned.cancelling, assigned.endRequested, assigned.fencedZones = true, true, l.node.Cfg.Facts.Zones
		}
	}
	l.cluster.RefreshOwnership()
}

// watchAssignmentDeletions finds the assignments that owners delete.
func (l *Leader) watchAssignmentDeletions(ctx context.Context, revision uint64) {
	for {
		events, err := l.node.Store.Watch(ctx, shard.AssignmentPrefix, revision, shard.WatchTimeout)
		switch {
		case errors.Is(err, store.ErrCompacted):
			l.resign("the store's history is too short to follow")
			return
		case err == nil:
			revision = max(revision, uint64(events.Revision))
			l.post(func() { l.applyAssignmentDeletions(events) })
		}
		if !l.loop.Sleep(shard.WatchPause) {
			return
		}
	}
}

// observeShardMarker takes in that there are shares. A leader without the feature would take
// all machines for its own: it leaves the lead to another.
func (l *Leader) observeShardMarker(it wire.Item) {
	if l.coordinator != nil {
		l.coordinator.marker.SetVersion(uint64(it.Version))
		return
	}
	if l.owner == nil {
		l.log.Error("shares of the machines exist, and this controller runs without the feature: it does not lead")
		l.resign("it runs without shares")
	}
}
