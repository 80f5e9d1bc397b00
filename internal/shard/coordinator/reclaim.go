package coordinator

import (
	"context"
	"fmt"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// reclaimReadTimeout is how long one request for a released shard's allocations may take.
	reclaimReadTimeout = 3 * time.Second
	// reclaimPageSize is how many of them it brings.
	reclaimPageSize = 1000
)

// reclaim is how far the leader is with taking back a shard that its owner released.
type reclaim struct {
	readInFlight   bool
	reclaimed      bool                          // its machines and jobs are the leader's
	pendingDeletes map[string]*statestore.Record // allocations that are still to be deleted
}

// reclaimShard takes back a released shard: first what the store holds of it is read, then
// its jobs and machines join the leader's, then its records are deleted.
func (c *Coordinator) reclaimShard(entry shard.Entry, now micro.Time) {
	progress := c.reclaims[entry.Name]
	if progress == nil {
		progress = &reclaim{pendingDeletes: map[string]*statestore.Record{}}
		c.reclaims[entry.Name] = progress
	}
	switch {
	case progress.readInFlight:
	case !progress.reclaimed:
		progress.readInFlight = true
		go func() {
			items, err := c.readAllocations(shard.AllocationPrefixFor(entry.Name))
			c.Loop.Post(releasedShardRead{c, entry, progress, items, err})
		}()
	case len(progress.pendingDeletes) == 0 && !c.hasAssignments(entry.Name):
		delete(c.reclaims, entry.Name)
		c.deleteShard(entry)
	default:
		c.deleteShardRecords(entry.Name, progress, now)
	}
}

// readAllocations reads the records with a prefix that owners left; any goroutine may.
func (c *Coordinator) readAllocations(prefix string) ([]wire.Item, error) {
	var items []wire.Item
	after := ""
	for {
		page, err := c.readAllocationPage(prefix, after)
		if err != nil {
			return nil, fmt.Errorf("read allocations %s after %q: %w", prefix, after, err)
		}
		for _, item := range page.Items {
			items = append(items, item)
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return items, nil
		}
	}
}

func (c *Coordinator) readAllocationPage(prefix, after string) (wire.Page, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reclaimReadTimeout)
	defer cancel()
	return c.Store.Range(ctx, store.Routine, prefix, after, reclaimPageSize)
}

// restoreReleasedShard joins a released shard's machines and jobs to the leader's. Its last
// owner gave out fencing tokens above those of this term, perhaps: the leader's go above them.
func (c *Coordinator) restoreReleasedShard(entry shard.Entry, progress *reclaim, items []wire.Item) {
	now := c.Now()
	firstToken := shard.FirstFencingToken(entry.Version)
	c.Host.RaiseFencingToken(firstToken)
	c.Cluster.RaiseMinFencingToken(firstToken)
	progress.reclaimed = true
	for _, machine := range c.Cluster.SortedMachines() {
		if machine.OwnedElsewhere && entry.Record.Selector.Matches(machineAttributes(machine)) {
			c.Cluster.AcquireMachine(machine, now)
		}
	}
	c.Cluster.RefreshOwnership()
	for _, assigned := range c.assignedJobs {
		if assigned.shardName == entry.Name {
			c.Cluster.Unassign(assigned.job, now)
		}
	}
	for _, item := range items {
		c.reclaimAllocation(item, progress.pendingDeletes, now)
	}
	for _, assigned := range c.assignedJobs {
		if assigned.shardName == entry.Name {
			c.resumeReclaimedJob(assigned, now)
		}
	}
	c.Log.Info("shard taken back", "shard", entry.Name, "records", len(items))
}

// resumeReclaimedJob goes on with a job of a shard that was taken back, as with any other.
func (c *Coordinator) resumeReclaimedJob(assigned *assignedJob, now micro.Time) {
	job := assigned.job
	c.Cluster.FinishJobRestore(job, now)
	assigned.fencedZones = nil
	if job.IsTerminal() && job.AllocationCount > 0 {
		c.Host.CancellationUnconfirmed(job)
	}
	if assigned.cancelling && !assigned.endRequested && job.State == cluster.Aborting {
		assigned.endRequested = true // the usual way, from here on
		for _, allocation := range job.Allocations() {
			c.Cluster.StopAllocation(allocation, "cancelled", 0, now)
		}
		c.Host.CancellationPending(job)
	}
}

// reclaimAllocation takes an owner's record into the leader's own, which is written before that is
// deleted.
func (c *Coordinator) reclaimAllocation(
	item wire.Item, pendingDeletes map[string]*statestore.Record, now micro.Time,
) {
	record := c.Records.Record(item.Key)
	record.SetVersion(uint64(item.Version))
	pendingDeletes[item.Key] = record
	job, chunk := c.reclaimChunk(item, now)
	record.Build = func() (any, uint64) {
		if chunk != nil && !c.ownerRecordMerged(chunk) && (!job.IsTerminal() || job.AllocationCount > 0) {
			return statestore.NotReady, 0
		}
		return nil, 0
	}
	record.OnCommitted = func(uint64) { delete(pendingDeletes, item.Key) }
}

// reclaimChunk finds the chunk of tasks that a record is about, and restores it; nil if no job
// has such a chunk.
func (c *Coordinator) reclaimChunk(item wire.Item, now micro.Time) (*cluster.Job, *cluster.TaskChunk) {
	shardName, id, index, ok := shard.ParseAllocationKey(item.Key)
	job, assigned := c.Cluster.Jobs[id], c.assignedJobs[id]
	if !ok || job == nil || index >= len(job.Chunks) {
		return nil, nil
	}
	if assigned == nil || assigned.shardName != shardName {
		return nil, nil // left by a late write: the job is not in that shard any more
	}
	var stored cluster.CompactRecord
	if err := wire.Unmarshal(item.Value, &stored); err != nil {
		c.Log.Debug("allocation record not understood", "key", item.Key, "job", id, "err", err)
		return nil, nil
	}
	chunk := job.Chunks[index]
	if !c.ownerRecordMerged(chunk) { // else this leader has, or an earlier one
		c.Cluster.ReclaimChunk(job, index, &stored, now)
		c.Host.MarkChunkDirty(chunk, now, statestore.PriorityHigh)
	}
	return job, chunk
}

// deleteShardRecords deletes what is left of a shard that was taken back.
func (c *Coordinator) deleteShardRecords(shardName string, progress *reclaim, now micro.Time) {
	for _, record := range progress.pendingDeletes {
		record.MarkDirty(now, statestore.PriorityHigh)
	}
	if len(progress.pendingDeletes) > 0 {
		return // a next leader needs them to know where the allocations belong
	}
	for _, assigned := range c.assignedJobs {
		if assigned.shardName != shardName {
			continue
		}
		if assigned.deletionRequested && assigned.storeRecord.AbsentAsRead() {
			c.dropAssignment(assigned) // it never was in the store, and a late write of it fails by the shard's version
			continue
		}
		assigned.deletionRequested = true
		assigned.storeRecord.Build = func() (any, uint64) { return nil, 0 }
		assigned.storeRecord.OnCommitted = func(uint64) { c.dropAssignment(assigned) }
		assigned.storeRecord.MarkDirty(now, statestore.PriorityHigh)
	}
}

// hasAssignments reports whether the record of an assignment to a shard is left.
func (c *Coordinator) hasAssignments(shardName string) bool {
	for _, assigned := range c.assignedJobs {
		if assigned.shardName == shardName {
			return true
		}
	}
	return false
}
