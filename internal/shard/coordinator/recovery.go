package coordinator

import (
	"context"
	"errors"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// StoredAssignment is an assignment as a failover reads it.
type StoredAssignment struct {
	shardName  string
	assignment shard.Assignment
	version    uint64
}

// ReadAll reads all keys with a prefix, until it has them all; false if the term ended. The
// revision is one from which changes can be watched.
type ReadAll func(ctx context.Context, prefix string, each func(wire.Item)) (revision uint64, ok bool)

// RecoverAssignments reads the shards and what was assigned to them, before the jobs: those
// are not this leader's to place, and count against their teams' quotas. The assignments are
// by job; false if the term ended. A nil Coordinator has none.
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
		// The table is as new as the assignments: a shard that was formed since holds none.
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
		c.Log.Debug("key of an assignment not understood", "key", item.Key)
		return
	}
	stored := &StoredAssignment{shardName: shardName, version: uint64(item.Version)}
	if err := wire.Unmarshal(item.Value, &stored.assignment); err != nil {
		c.Log.Debug("assignment not understood", "key", item.Key, "err", err)
		return
	}
	assignments[id] = stored
}

// RestoreAssignment notes that a job was assigned when this leader took over; nil: it was not.
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

// FinishRecovery goes on with what the leader before had begun, once all that the store holds
// was read. A nil Coordinator does nothing.
func (c *Coordinator) FinishRecovery() {
	if c == nil {
		return
	}
	c.recovered = true
	c.resumeCancellations()
	c.Cluster.RefreshOwnership()
}

// watchAssignmentDeletions finds the assignments that owners delete, until the loop is stopped.
func (c *Coordinator) watchAssignmentDeletions(ctx context.Context, revision uint64) {
	for {
		events, err := c.Store.Watch(ctx, shard.AssignmentPrefix, revision, shard.WatchTimeout)
		switch {
		case errors.Is(err, store.ErrCompacted):
			c.Host.Resign("the store's history is too short to follow")
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

// ObserveMarker takes in the version of the record that says that there are shards.
func (c *Coordinator) ObserveMarker(version uint64) { c.marker.SetVersion(version) }
