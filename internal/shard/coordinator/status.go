package coordinator

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// ReceiveStatusUpdate applies an encoded status update from a shard owner and returns the reply, or
// false if the update cannot be decoded, the loop does not process it in time, or the leader does
// not hold its lease. It may be called from any goroutine. A nil Coordinator returns false.
func (c *Coordinator) ReceiveStatusUpdate(body []byte) (shard.UpdateReply, bool) {
	if c == nil {
		return shard.UpdateReply{}, false
	}
	var update shard.StatusUpdate
	if err := wire.Unmarshal(body, &update); err != nil {
		c.Log.Debug("decode status update failed", "err", err)
		return shard.UpdateReply{}, false
	}
	reply, ok := eventloop.Call(
		c.Loop, eventloop.Events, shard.StatusUpdateTimeout,
		func(reply eventloop.Reply[shard.UpdateReply]) eventloop.Event {
			return statusUpdateReceived{c, &update, reply}
		},
	)
	// The lease may have expired while the update was applied: the reply is then not authoritative.
	if !ok || !c.Host.HoldsLease() {
		return shard.UpdateReply{}, false
	}
	return reply, true
}

// applyStatusUpdate applies the updates of all shards in a status update and builds the reply. An
// update of a shard that the table does not show as owned by the sender is not applied.
func (c *Coordinator) applyStatusUpdate(update *shard.StatusUpdate, now micro.Time) shard.UpdateReply {
	reply := shard.UpdateReply{
		Term: c.Term.FencingRevision, FinalStates: map[string]string{}, ProxyRenewalAge: map[string]int64{},
	}
	owner := shard.Controller{Node: update.Node, SessionVersion: wire.Count(update.SessionVersion)}
	for i := range update.Shards {
		shardUpdate := &update.Shards[i]
		entry, ok := c.table().Get(shardUpdate.Name)
		if ok && entry.HasOwner() && entry.Record.Owner == owner {
			c.applyShardUpdate(entry, shardUpdate, update.Term, now)
		} else {
			reply.Term = 0 // makes the owner report its machines again
		}
		c.acknowledge(shardUpdate, &reply)
	}
	for _, zone := range append([]string{""}, c.Config.Facts.Zones...) {
		until := max(c.Cluster.ProxyRenewedUntil[zone], c.RenewalBound.RenewedUntil(zone, now))
		if until > 0 {
			reply.ProxyRenewalAge[zone] = int64(now - until)
		}
	}
	for zone := range c.Cluster.ZoneUnreachableSince {
		reply.DisconnectedZones = append(reply.DisconnectedZones, zone)
	}
	return reply
}

// applyShardUpdate applies an update from the current owner of a shard. term is the term of the leader
// whose reply the owner received last.
func (c *Coordinator) applyShardUpdate(entry shard.Entry, update *shard.ShardUpdate, term uint64, now micro.Time) {
	view := c.viewOf(entry.Name)
	if view.ownership != entry.Record.OwnerChanges || update.LoopStartedAt > view.loopStartedAt {
		view.ownership, view.loopStartedAt = entry.Record.OwnerChanges, update.LoopStartedAt
		view.allMachinesKnownAt, view.readyMachines = 0, map[string]bool{}
	}
	view.observe(update, now, c.Config.SuspectAfter)
	for _, id := range update.FinishedJobs {
		if job := c.Cluster.Jobs[id]; job != nil && job.Shard == entry.Name {
			c.Cluster.FinishAssigned(job)
		}
	}
	for _, stopping := range update.StoppingJobs {
		c.cancellationProgress(entry.Name, stopping, now)
	}
	c.applyCopiedJobs(entry, update.CopiedJobs)
	c.recallWaitingJobs(entry.Name, update.WaitingJobs, now)
	c.applyReleasedJobs(entry, update.ReleasedJobs)
	c.applyProgress(entry.Name, update.Progress)
	c.applyMachines(view, update, term, now)
}

// applyMachines applies the machines that an owner reports as up, and those that it wants to be
// terminated. Reports of machines that are up are ignored if they were meant for an earlier term or
// come from an earlier loop of the owner.
func (c *Coordinator) applyMachines(view *shardView, update *shard.ShardUpdate, term uint64, now micro.Time) {
	if term == c.Term.FencingRevision && update.LoopStartedAt == view.loopStartedAt {
		for _, name := range update.ReadyMachines {
			view.readyMachines[name] = true // the leader may not know the machine yet
			c.markMachineUp(name)
		}
		if view.allMachinesKnownAt == 0 && len(update.ReadyMachines) < shard.MaxStatusItems {
			view.allMachinesKnownAt = now
		}
	}
	for _, name := range update.MachinesToTerminate {
		delete(view.readyMachines, name)
		if !c.Cluster.WasTerminated(name) {
			machine := c.Cluster.EnsureMachine(name, now)
			machine.OwnedElsewhere = true
			c.Host.Terminate(machine, "termination requested by its shard's owner")
		}
	}
}

// observe applies the part of an update that describes the whole shard. The number of moves because
// the owner was unreachable is reset only if machines are up later than reachedTime after the last
// move. Until then dead machines are not yet suspected by the new owner, and a single machine that
// came up under each owner once kept a shard moving indefinitely.
func (view *shardView) observe(update *shard.ShardUpdate, now, reachedTime micro.Time) {
	view.machineCount, view.idleMachines = update.MachineCount, update.IdleMachines
	view.pendingTasks = update.PendingTasks
	view.unreachable, view.demand = update.Unreachable, update.Demand
	if update.MachineCount > 0 && now-view.unreachableMovedAt > reachedTime {
		view.unreachableMoves = 0
	}
	if update.AssignmentRevision >= view.assignedRevision {
		// The owner has read all assignments, so the free capacity that it reports accounts for them.
		view.freeCapacity, view.capacityAt = update.FreeCapacity, now
	}
}

// applyProgress applies the progress of a shard's jobs and adjusts their quota reservations.
func (c *Coordinator) applyProgress(shardName string, progress []shard.Progress) {
	for _, each := range progress {
		job := c.Cluster.Jobs[each.Job]
		if job == nil || job.Shard != shardName || job.State != cluster.Assigned {
			continue
		}
		job.ShardDoneTasks, job.ShardRunningTasks = each.Done, each.Running
		c.adjustReservation(job, each.AllocationsNeeded)
	}
}

// markMachineUp marks a machine as up that sends its heartbeats to the owner of its shard.
func (c *Coordinator) markMachineUp(name string) {
	if machine := c.Cluster.Machines[name]; machine != nil && machine.OwnedElsewhere {
		c.Cluster.TransitionMachine(machine, cluster.Up, "reported up by its shard's owner")
	}
}

// acknowledge adds to the reply the final states of the jobs and the terminated machines that an update
// names. It does so even if the sender no longer owns the shard.
func (c *Coordinator) acknowledge(update *shard.ShardUpdate, reply *shard.UpdateReply) {
	for _, id := range update.FinishedJobs {
		c.acknowledgeEnd(id, reply)
	}
	for _, stopping := range update.StoppingJobs {
		c.acknowledgeEnd(stopping.Job, reply)
	}
	for _, released := range update.ReleasedJobs {
		c.acknowledgeEnd(released.Job, reply)
	}
	for _, name := range update.MachinesToTerminate {
		if c.Cluster.WasTerminated(name) {
			reply.TerminatedMachines = append(reply.TerminatedMachines, name)
		}
	}
}

// acknowledgeEnd adds the final state of a job to the reply if the job has ended.
func (c *Coordinator) acknowledgeEnd(id string, reply *shard.UpdateReply) {
	end, over := c.Cluster.FinalStatuses[id]
	switch {
	case !over:
	case end.Aborted:
		reply.FinalStates[id] = string(wire.JobAborted)
	default:
		reply.FinalStates[id] = string(wire.JobDone)
	}
}
