package coordinator

import (
	"maps"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// allRegistered reports whether every configured controller has a session. A controller without a
// session may run without the shards feature, and would treat all machines as its own.
func (c *Coordinator) allRegistered() bool {
	for _, peer := range c.Config.Peers {
		if _, ok := c.sessions.current.Controller(peer.Node); !ok {
			return false
		}
	}
	_, ok := c.sessions.current.Controller(c.Config.Node)
	return ok
}

// allSupportHandover reports whether every configured controller has announced shard.HandoverFeature, that
// is, can resume started jobs, which had allocations under another controller.
func (c *Coordinator) allSupportHandover() bool {
	for _, peer := range c.Config.Peers {
		if !c.sessions.handoverSupport[peer.Node] {
			return false
		}
	}
	return c.sessions.handoverSupport[c.Config.Node]
}

// formDeclaredShards creates the records of declared shards that do not exist yet and do not overlap
// with an existing one.
func (c *Coordinator) formDeclaredShards() {
	if c.Config.Shards.Dissolve || !c.Cluster.CompactRecords || !c.allRegistered() {
		return
	}
	for _, declared := range c.Config.Shards.Declared {
		if _, ok := c.table().Get(declared.Name); ok || c.commitsInFlight[declared.Name] {
			continue
		}
		if other, ok := c.table().Overlapping(declared.Selector); ok {
			c.Log.Debug("form shard failed", "shard", declared.Name, "err", shard.ErrOverlap, "other", other.Name)
			continue
		}
		if c.marker.Version() == 0 {
			c.marker.MarkDirty(c.Now(), statestore.PriorityHigh) // must be stored before the first shard
			return
		}
		c.Log.Info(
			"shard formed", "shard", declared.Name, "selects", declared.Selector.String(), "teams", declared.Teams,
		)
		c.logPlacementWarnings(declared)
		entry := shard.Entry{Name: declared.Name}
		record := shard.NewRecord(declared.Selector, declared.Teams, int64(c.Wall()))
		c.commitShard(declared.Name, entry.Update(record, c.Term.Precondition()))
	}
}

// reconcileForming drains the replicas of services from the machines of a forming shard, and grants
// the shard to its first owner once no machine of it holds an allocation.
func (c *Coordinator) reconcileForming(entry shard.Entry, wall int64) {
	if c.Config.Shards.Dissolve {
		c.deleteShard(entry)
		return
	}
	c.drainReplicas(entry)
	if !c.machinesCleared(entry) || !c.allRegistered() {
		return
	}
	owner, ok := c.initialOwner(entry.Name)
	if !ok {
		return
	}
	granted, err := entry.Record.Grant(owner, wall)
	if err != nil {
		c.Log.Debug("grant shard failed", "shard", entry.Name, "to", owner.Node, "err", err)
		return
	}
	delete(c.unstoredBeforeGrant, entry.Name)
	c.Log.Info("shard granted", "shard", entry.Name, "to", owner.Node)
	c.commitShard(entry.Name, entry.Update(granted, c.Term.Precondition(), owner.Precondition()))
}

func (c *Coordinator) initialOwner(name string) (shard.Controller, bool) {
	for _, declared := range c.Config.Shards.Declared {
		if declared.Name == name && declared.Owner != "" {
			return c.sessions.current.Controller(declared.Owner)
		}
	}
	return c.sessions.current.LeastLoaded(c.table())
}

// unstoredChunks holds chunks with unwritten changes, and for each the version of the chunk in memory
// that has to be stored.
type unstoredChunks map[*cluster.TaskChunk]uint64

// machinesCleared reports whether the machines of a forming shard hold no allocation, and the store
// shows that. When shards were granted earlier, a task whose end was not stored yet ran again: its
// agent reported the end to the shard's owner, which did not know the job, and the next leader
// assumed that the task was still on the machine.
func (c *Coordinator) machinesCleared(entry shard.Entry) bool {
	if c.allocationsIn(entry) > 0 {
		delete(c.unstoredBeforeGrant, entry.Name)
		return false
	}
	unstored, known := c.unstoredBeforeGrant[entry.Name]
	if !known {
		unstored = c.listUnstoredChunks()
		c.unstoredBeforeGrant[entry.Name] = unstored
	}
	maps.DeleteFunc(unstored, func(chunk *cluster.TaskChunk, version uint64) bool {
		return chunk.StoredVersion >= version || chunk.Job.IsTerminal()
	})
	return len(unstored) == 0
}

// listUnstoredChunks lists the chunks with unwritten changes of all jobs that have not ended, and
// schedules writes of them with high priority.
func (c *Coordinator) listUnstoredChunks() unstoredChunks {
	unstored, now := unstoredChunks{}, c.Now()
	for _, job := range c.Cluster.Jobs {
		if job.IsTerminal() {
			continue
		}
		for _, chunk := range job.Chunks {
			if chunk.MemoryVersion > chunk.StoredVersion {
				unstored[chunk] = chunk.MemoryVersion
				c.Host.MarkChunkDirty(chunk, now, statestore.PriorityHigh)
			}
		}
	}
	return unstored
}

// maxReplicasStopping limits the replicas that are stopped at the same time on the machines of a
// forming shard to be moved to the leader's own machines, so that services keep their other replicas.
const maxReplicasStopping = 4

// allocationsIn counts the allocations on the machines of a forming shard, and on machines of unknown
// type, which may belong to it: a machine that is known only from stored records has no type until
// its first heartbeat. When such a machine was granted with an allocation on it, the allocation was
// never proven released.
func (c *Coordinator) allocationsIn(entry shard.Entry) int {
	count := 0
	for _, machine := range c.Cluster.SortedMachines() {
		if machine.Type == nil || inFormingShard(entry, machine) {
			count += len(machine.Allocations)
		}
	}
	return count
}

// inFormingShard reports whether a machine belongs to this forming shard.
func inFormingShard(entry shard.Entry, machine *cluster.Machine) bool {
	return machine.TransferPending && entry.Record.Selector.Matches(machineAttributes(machine))
}

// drainReplicas stops the replicas of services on the machines of a forming shard; other tasks end by
// themselves. Replicas of jobs that the leader can serve move to its own machines, at most
// maxReplicasStopping at a time. All other replicas are stopped only when nothing else is left on
// the machines, and restart in the shard: when they were stopped first, they were down for as long
// as the longest task on the shard's machines ran.
func (c *Coordinator) drainReplicas(entry shard.Entry) {
	stopping, replicas := c.replicasIn(entry)
	others := c.allocationsIn(entry) - stopping - len(replicas)
	catalog := c.dividedCatalog()
	var movable, unmovable []*cluster.Allocation
	for _, allocation := range replicas {
		if catalog == nil || catalog.leaderServes(allocation.Job) {
			movable = append(movable, allocation)
		} else {
			unmovable = append(unmovable, allocation)
		}
	}
	c.stopReplicas(movable[:max(min(len(movable), maxReplicasStopping-stopping), 0)])
	if others == 0 && len(movable) == 0 {
		c.stopReplicas(unmovable)
	}
}

// stopReplicas stops replicas and grants each the time for a checkpoint.
func (c *Coordinator) stopReplicas(replicas []*cluster.Allocation) {
	now := c.Now()
	for _, allocation := range replicas {
		c.Cluster.StopAllocation(allocation, "machine joins a shard", allocation.Job.Spec.CheckpointDurationS, now)
	}
}

// replicasIn counts the replicas of services that are stopping on the machines of a forming shard,
// and lists the replicas that are not stopping.
func (c *Coordinator) replicasIn(entry shard.Entry) (stopping int, running []*cluster.Allocation) {
	for _, machine := range c.Cluster.SortedMachines() {
		if !inFormingShard(entry, machine) {
			continue
		}
		for _, allocation := range machine.SortedAllocations() {
			switch {
			case allocation.Job == nil || allocation.Job.Spec.Kind != wire.Service:
			case allocation.Stopping:
				stopping++
			default:
				running = append(running, allocation)
			}
		}
	}
	return stopping, running
}

// deleteShard deletes the record of a shard without jobs or machines, and with the last shard also
// the marker.
func (c *Coordinator) deleteShard(entry shard.Entry) {
	transaction := wire.Transaction{
		If:   []wire.Precondition{c.Term.Precondition(), entry.Precondition()},
		Then: []wire.Change{{Delete: entry.Key()}, {Delete: shard.MachineInactivityKey(entry.Name)}},
	}
	if c.table().Len() == 1 {
		transaction.Then = append(transaction.Then, wire.Change{Delete: shard.MarkerKey})
		c.marker.SetVersion(0)
	}
	delete(c.unstoredBeforeGrant, entry.Name)
	c.Log.Info("shard deleted", "shard", entry.Name)
	c.commitShard(entry.Name, transaction)
}
