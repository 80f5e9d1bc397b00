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
	// reclaimReadTimeout is the timeout of one request for a page of allocation records.
	reclaimReadTimeout = 3 * time.Second
	// reclaimPageSize is the maximum number of allocation records per request.
	reclaimPageSize = 1000
)

// reclaim is the leader's progress in reclaiming a shard that its owner has released.
type reclaim struct {
	readInFlight   bool
	reclaimed      bool                          // the shard's machines and jobs belong to the leader
	pendingDeletes map[string]*statestore.Record // allocation records of the shard that are not deleted yet, by key
}

// reclaimShard starts the next step of reclaiming a released shard: its allocation records are read,
// its machines and jobs become the leader's, its records are deleted, and last the shard itself.
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

// readAllocations reads all allocation records of shard owners with a key prefix. It may be called
// from any goroutine.
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

// restoreReleasedShard makes a released shard's machines and jobs the leader's. The last owner of the
// shard may have issued fencing tokens above those of this term, so the leader's tokens are raised
// above them.
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
	c.Log.Info("shard reclaimed", "shard", entry.Name, "records", len(items))
}

// resumeReclaimedJob continues a job of a reclaimed shard as a job of the leader, including a
// cancellation in progress.
func (c *Coordinator) resumeReclaimedJob(assigned *assignedJob, now micro.Time) {
	job := assigned.job
	c.Cluster.FinishJobRestore(job, now)
	assigned.fencedZones = nil
	if job.IsTerminal() && job.AllocationCount > 0 {
		c.Host.CancellationUnconfirmed(job)
	}
	if assigned.cancelling && !assigned.endRequested && job.State == cluster.Aborting {
		assigned.endRequested = true // the cancellation continues as for the leader's own jobs
		for _, allocation := range job.Allocations() {
			c.Cluster.StopAllocation(allocation, "cancelled", 0, now)
		}
		c.Host.CancellationPending(job)
	}
}

// reclaimAllocation merges an owner's record into the leader's record of the same chunk, and adds the
// owner's record to pendingDeletes. It is deleted only after the leader's record is written.
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

// reclaimChunk restores the chunk of tasks that an owner's record describes. It returns nil if the
// record cannot be decoded, or belongs to no chunk of a job that is assigned to the record's shard.
func (c *Coordinator) reclaimChunk(item wire.Item, now micro.Time) (*cluster.Job, *cluster.TaskChunk) {
	shardName, id, index, ok := shard.ParseAllocationKey(item.Key)
	job, assigned := c.Cluster.Jobs[id], c.assignedJobs[id]
	if !ok || job == nil || index >= len(job.Chunks) {
		return nil, nil
	}
	if assigned == nil || assigned.shardName != shardName {
		return nil, nil // left by a late write: the job is no longer assigned to that shard
	}
	var stored cluster.CompactRecord
	if err := wire.Unmarshal(item.Value, &stored); err != nil {
		c.Log.Debug("decode allocation record failed", "key", item.Key, "job", id, "err", err)
		return nil, nil
	}
	chunk := job.Chunks[index]
	if !c.ownerRecordMerged(chunk) { // otherwise this leader or an earlier one has merged it
		c.Cluster.ReclaimChunk(job, index, &stored, now)
		c.Host.MarkChunkDirty(chunk, now, statestore.PriorityHigh)
	}
	return job, chunk
}

// deleteShardRecords deletes the allocation records of a reclaimed shard, and then its assignments.
func (c *Coordinator) deleteShardRecords(shardName string, progress *reclaim, now micro.Time) {
	for _, record := range progress.pendingDeletes {
		record.MarkDirty(now, statestore.PriorityHigh)
	}
	if len(progress.pendingDeletes) > 0 {
		return // until then the next leader needs the assignments to know which shard the allocations belong to
	}
	for _, assigned := range c.assignedJobs {
		if assigned.shardName != shardName {
			continue
		}
		if assigned.deletionRequested && assigned.storeRecord.AbsentAtLastRead() {
			c.dropAssignment(assigned) // never stored; a late write of it fails since the shard's version has changed
			continue
		}
		assigned.deletionRequested = true
		assigned.storeRecord.Build = func() (any, uint64) { return nil, 0 }
		assigned.storeRecord.OnCommitted = func(uint64) { c.dropAssignment(assigned) }
		assigned.storeRecord.MarkDirty(now, statestore.PriorityHigh)
	}
}

// hasAssignments reports whether any assignment to a shard is left.
func (c *Coordinator) hasAssignments(shardName string) bool {
	for _, assigned := range c.assignedJobs {
		if assigned.shardName == shardName {
			return true
		}
	}
	return false
}
