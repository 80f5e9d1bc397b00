package controller

import (
	"context"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/dispatch"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// shardReclaim is how far the leader is with taking back a share that its owner released.
type shardReclaim struct {
	readInFlight   bool
	reclaimed      bool                          // its machines and jobs are the leader's
	pendingDeletes map[string]*statestore.Record // allocations that are still to be deleted
}

// reclaimShard takes back a released share: first what the store holds of it is read, then
// its jobs and machines join the leader's, then its records are deleted.
func (l *Leader) reclaimShard(entry shard.Entry, now micro.Time) {
	reclaim := l.coordinator.reclaims[entry.Name]
	if reclaim == nil {
		reclaim = &shardReclaim{pendingDeletes: map[string]*statestore.Record{}}
		l.coordinator.reclaims[entry.Name] = reclaim
	}
	switch {
	case reclaim.readInFlight:
	case !reclaim.reclaimed:
		reclaim.readInFlight = true
		go l.readReleasedShard(entry, reclaim)
	case len(reclaim.pendingDeletes) == 0 && !l.hasAssignments(entry.Name):
		delete(l.coordinator.reclaims, entry.Name)
		l.deleteShard(entry)
	default:
		l.deleteShardRecords(entry.Name, reclaim, now)
	}
}

// readReleasedShard reads the allocations of a released share.
func (l *Leader) readReleasedShard(entry shard.Entry, reclaim *shardReclaim) {
	var items []wire.Item
	after, ok := "", true
	for more := true; more && ok; {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		page, err := l.node.Store.Range(ctx, store.Routine, shard.AllocationPrefixFor(entry.Name), after, 1000)
		cancel()
		if ok = err == nil; ok {
			for _, item := range page.Items {
				items = append(items, item)
				after = item.Key
			}
			more = page.More && len(page.Items) > 0
		}
	}
	l.post(func() {
		reclaim.readInFlight = false
		if ok && !reclaim.reclaimed {
			l.restoreReleasedShard(entry, reclaim, items)
		}
	})
}

// restoreReleasedShard joins a released share's machines and jobs to the leader's. Its last
// owner gave out tokens above those of this term, perhaps: the leader's go above them.
func (l *Leader) restoreReleasedShard(entry shard.Entry, reclaim *shardReclaim, items []wire.Item) {
	now := l.node.Now()
	firstToken := dispatch.FirstFencingToken(entry.Version)
	l.dispatcher.RaiseFencingToken(firstToken)
	l.cluster.RaiseMinFencingToken(firstToken)
	reclaim.reclaimed = true
	for _, machine := range l.cluster.SortedMachines() {
		if machine.OwnedElsewhere &&
			entry.Record.Selector.Matches(machineAttributes(machine.TypeName, machine.Zone, machine.Spot)) {
			l.cluster.AcquireMachine(machine, now)
		}
	}
	l.cluster.RefreshOwnership()
	for _, assigned := range l.coordinator.assignedJobs {
		if assigned.shardName == entry.Name {
			l.cluster.Unassign(assigned.job, now)
		}
	}
	for _, item := range items {
		l.reclaimAllocation(item, reclaim, now)
	}
	for _, assigned := range l.coordinator.assignedJobs {
		if assigned.shardName == entry.Name {
			l.resumeReclaimedJob(assigned, now)
		}
	}
	l.log.Info("share taken back", "share", entry.Name, "records", len(items))
}

// resumeReclaimedJob goes on with a job of a share that was taken back, as with any other.
func (l *Leader) resumeReclaimedJob(assigned *assignedJob, now micro.Time) {
	job := assigned.job
	l.cluster.FinishJobRestore(job, now)
	if assigned.fencedZones = nil; job.IsTerminal() && job.AllocationCount > 0 {
		l.unconfirmedCancellations[job] = true
	}
	if assigned.cancelling && !assigned.endRequested && job.State == cluster.Aborting {
		assigned.endRequested = true // the usual way, from here on
		l.stopAllocations(job, now)
		l.pendingCancellations[job] = true
	}
}

// reclaimAllocation takes the places of a record into the leader's own, which is
// written before that is deleted.
func (l *Leader) reclaimAllocation(item wire.Item, reclaim *shardReclaim, now micro.Time) {
	id, allocation, ok := parseAllocation(item)
	record := l.records.Record(item.Key)
	record.SetVersion(uint64(item.Version))
	reclaim.pendingDeletes[item.Key] = record
	job := l.cluster.Jobs[id]
	var chunk *cluster.TaskChunk
	if ok && job != nil && allocation.chunkIndex < len(job.Chunks) {
		chunk = job.Chunks[allocation.chunkIndex]
		if !chunk.Stored { // else an earlier leader has moved it
			l.cluster.ReclaimChunk(job, allocation.chunkIndex, &allocation.record, now)
			l.records.chunkRecord(chunk).MarkDirty(now, statestore.PriorityHigh)
		}
	}
	record.Build = func() (any, uint64) {
		if chunk != nil && !chunk.Stored && !(job.IsTerminal() && job.AllocationCount == 0) {
			return statestore.NotReady, 0
		}
		return nil, 0
	}
	record.OnCommitted = func(uint64) { delete(reclaim.pendingDeletes, item.Key) }
}

// deleteShardRecords deletes what is left of a share that was taken back.
func (l *Leader) deleteShardRecords(shardName string, reclaim *shardReclaim, now micro.Time) {
	for _, record := range reclaim.pendingDeletes {
		record.MarkDirty(now, statestore.PriorityHigh)
	}
	if len(reclaim.pendingDeletes) > 0 {
		return // a next leader needs them to know where the allocations belong
	}
	for _, assigned := range l.coordinator.assignedJobs {
		if assigned.shardName != shardName {
			continue
		}
		assigned.storeRecord.Build = func() (any, uint64) { return nil, 0 }
		assigned.storeRecord.OnCommitted = func(uint64) { l.dropAssignment(assigned) }
		assigned.storeRecord.MarkDirty(now, statestore.PriorityHigh)
	}
}

// hasAssignments reports whether the record of an assignment to a share is left.
func (l *Leader) hasAssignments(shardName string) bool {
	for _, assigned := range l.coordinator.assignedJobs {
		if assigned.shardName == shardName {
			return true
		}
	}
	return false
}
