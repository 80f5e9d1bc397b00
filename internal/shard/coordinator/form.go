package coordinator

import (
	"maps"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// How shards come and go.

// allRegistered reports whether every controller of the settings has a session: one that
// runs without shards would take all machines for its own.
func (c *Coordinator) allRegistered() bool {
	for _, peer := range c.Config.Peers {
		if _, ok := c.sessions.current.Controller(peer.Node); !ok {
			return false
		}
	}
	_, ok := c.sessions.current.Controller(c.Config.Node)
	return ok
}

// allContinueJobs reports whether every controller of the settings goes on with jobs that had
// allocations under another one.
func (c *Coordinator) allContinueJobs() bool {
	for _, peer := range c.Config.Peers {
		if !c.sessions.continuing[peer.Node] {
			return false
		}
	}
	return c.sessions.continuing[c.Config.Node]
}

// formDeclaredShards forms the shards of the settings that do not exist.
func (c *Coordinator) formDeclaredShards() {
	if c.Config.Shards.Dissolve || !c.Cluster.CompactRecords || !c.allRegistered() {
		return
	}
	for _, declared := range c.Config.Shards.Declared {
		if _, ok := c.table().Get(declared.Name); ok || c.commitsInFlight[declared.Name] {
			continue
		}
		if other, ok := c.table().Overlapping(declared.Selector); ok {
			c.Log.Debug("shard not formed", "shard", declared.Name, "err", shard.ErrOverlap, "other", other.Name)
			continue
		}
		if c.marker.Version() == 0 {
			c.marker.MarkDirty(c.Now(), statestore.PriorityHigh) // before the first shard
			return
		}
		c.Log.Info(
			"shard formed", "shard", declared.Name, "selects", declared.Selector.String(), "teams", declared.Teams,
		)
		c.logDivisionWarnings(declared)
		entry := shard.Entry{Name: declared.Name}
		record := shard.NewRecord(declared.Selector, declared.Teams, int64(c.Wall()))
		c.commitShard(declared.Name, entry.Update(record, c.Term.Precondition()))
	}
}

// reconcileForming clears the machines of a shard that is being formed, and gives it to its
// first owner once none of them holds a task.
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
		c.Log.Debug("shard not granted", "shard", entry.Name, "to", owner.Node, "err", err)
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

// unstoredChunks are chunks of which something is still to be written, by the version of that.
type unstoredChunks map[*cluster.TaskChunk]uint64

// machinesCleared reports whether nothing is left on the machines of a shard that is being formed,
// and the store says so. Given away before, a task whose end was not stored yet ran again: its
// agent reported the end to the shard's owner, which did not know the job, and the next leader
// took the machine for one that the task is on.
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

// listUnstoredChunks lists the chunks of which something is to be written, and has them written
// soon.
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

// maxReplicasStopping is how many replicas are moved at a time from the machines of a shard that is
// being formed to the leader's own: a service keeps the others.
const maxReplicasStopping = 4

// allocationsIn counts the allocations on the machines of a shard that is being formed, and on
// those of which it is not known yet whether they are in it: read from the records, a machine
// has no type until its first heartbeat. Given away with such an allocation on it, a machine
// was never proven released of it.
func (c *Coordinator) allocationsIn(entry shard.Entry) int {
	held := 0
	for _, machine := range c.Cluster.SortedMachines() {
		if machine.Type == nil || inFormingShard(entry, machine) {
			held += len(machine.Allocations)
		}
	}
	return held
}

// inFormingShard reports whether a machine is one of a shard that is being formed.
func inFormingShard(entry shard.Entry, machine *cluster.Machine) bool {
	return machine.TransferPending && entry.Record.Selector.Matches(machineAttributes(machine))
}

// drainReplicas has the replicas on a shard's machines stopped; other tasks end by themselves. A few
// at a time go to the leader's own machines. Those that have no offer there run until nothing else
// is left, and come back in the shard: stopped first, they were down for as long as the longest
// task on the shard's machines ran.
func (c *Coordinator) drainReplicas(entry shard.Entry) {
	stopping, replicas := c.replicasIn(entry)
	others := c.allocationsIn(entry) - stopping - len(replicas)
	catalog := c.dividedCatalog()
	var movable, bound []*cluster.Allocation
	for _, allocation := range replicas {
		if catalog == nil || catalog.leaderServes(allocation.Job) {
			movable = append(movable, allocation)
		} else {
			bound = append(bound, allocation)
		}
	}
	c.stopReplicas(movable[:max(min(len(movable), maxReplicasStopping-stopping), 0)])
	if others == 0 && len(movable) == 0 {
		c.stopReplicas(bound)
	}
}

// stopReplicas has replicas stopped, with time for a checkpoint.
func (c *Coordinator) stopReplicas(replicas []*cluster.Allocation) {
	now := c.Now()
	for _, allocation := range replicas {
		c.Cluster.StopAllocation(allocation, "the machine goes to a shard", allocation.Job.Spec.CheckpointDurationS, now)
	}
}

// replicasIn counts the replicas of services that stop on the machines of a shard that is being
// formed, and lists the others.
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

// deleteShard deletes the record of a shard that has nothing left. The last one takes
// the marker along.
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
