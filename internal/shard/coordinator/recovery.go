package coordinator

import (
	"context"
	"errors"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// StoredAssignment is an assignment as read from the store during a failover.
type StoredAssignment struct {
	shardName  string
	assignment shard.Assignment
	version    uint64 // version of the assignment's key
}

// ReadAll reads all keys with a prefix and calls each for every item, retrying until it has read all.
// It returns false if the term ended before, else a revision from which changes can be watched.
type ReadAll func(ctx context.Context, prefix string, each func(wire.Item)) (revision uint64, ok bool)

// RecoverAssignments reads the shards and the assignments to them, which it returns by job ID, or
// false if the term ended. It must be called before the jobs are restored: assigned jobs are not
// scheduled by this leader, and count against the quotas of their teams. A nil Coordinator has no
// assignments.
func (c *Coordinator) RecoverAssignments(ctx context.Context, readAll ReadAll) (map[string]*StoredAssignment, bool) {
	if c == nil {
		return nil, true
	}
	for !c.Table.HasRead() {
		if !c.Loop.Sleep(shard.ReadRetry) {
			return nil, false
		}
	}
	for {
		assignments := map[string]*StoredAssignment{}
		revision, ok := readAll(ctx, shard.AssignmentPrefix, func(item wire.Item) {
			c.readAssignment(item, assignments)
		})
		if !ok {
			return nil, false
		}
		// The table is read after the assignments, so it is at least as recent: a shard that was formed
		// in between has no assignments.
		_, err := c.Table.Read(ctx)
		if err == nil {
			go c.watchAssignmentDeletions(ctx, revision)
			return assignments, true
		}
		c.Log.Info("failover read failed", "prefix", shard.RecordPrefix, "err", err)
		if !c.Loop.Sleep(shard.ReadRetry) {
			return nil, false
		}
	}
}

func (c *Coordinator) readAssignment(item wire.Item, assignments map[string]*StoredAssignment) {
	shardName, id, ok := shard.ParseAssignmentKey(item.Key)
	if !ok {
		c.Log.Debug("parse assignment key failed", "key", item.Key)
		return
	}
	stored := &StoredAssignment{shardName: shardName, version: uint64(item.Version)}
	if err := wire.Unmarshal(item.Value, &stored.assignment); err != nil {
		c.Log.Debug("decode assignment record failed", "key", item.Key, "err", err)
		return
	}
	assignments[id] = stored
}

// RestoreAssignment restores the assignment of a job during a failover. stored is nil for a job that
// was not assigned.
func (c *Coordinator) RestoreAssignment(job *cluster.Job, stored *StoredAssignment) {
	if stored == nil {
		return
	}
	c.Cluster.RestoreAssignment(job, stored.shardName, stored.assignment.MaxAllocations)
	assigned := c.storeAssignment(stored.shardName, job, stored.assignment)
	assigned.stored = true
	assigned.storeRecord.SetVersion(stored.version)
	assigned.recordsCopied = stored.assignment.RecordsCopied()
}

// FinishRecovery resumes the cancellations that an earlier leader began, and enables handling of table
// changes. It must be called once the leader has restored its state from the store. A nil
// Coordinator does nothing.
func (c *Coordinator) FinishRecovery() {
	if c == nil {
		return
	}
	c.recovered = true
	c.resumeCancellations()
	c.Cluster.RefreshOwnership()
}

// watchAssignmentDeletions watches the assignments for deletions by owners until the loop is stopped.
// If the store has compacted the history since revision, the leader resigns.
func (c *Coordinator) watchAssignmentDeletions(ctx context.Context, revision uint64) {
	for {
		events, err := c.Store.Watch(ctx, shard.AssignmentPrefix, revision, shard.WatchTimeout)
		switch {
		case errors.Is(err, store.ErrCompacted):
			c.Host.Resign("the store has compacted the history that the watch of assignments needs")
			return
		case err == nil:
			revision = max(revision, uint64(events.Revision))
			c.Loop.Post(assignmentsChanged{c, events})
		}
		if !c.Loop.Sleep(shard.WatchPause) {
			return
		}
	}
}

// ObserveMarker sets the version of the marker record, which exists while any shard exists, as read
// from the store.
func (c *Coordinator) ObserveMarker(version uint64) { c.marker.SetVersion(version) }
