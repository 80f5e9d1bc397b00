package coordinator

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// What owners tell the leader, and what it answers.

// ReceiveStatusUpdate takes in what an owner tells, and answers it; false if it cannot now. Any
// goroutine may call it. A nil Coordinator answers none.
func (c *Coordinator) ReceiveStatusUpdate(body []byte) (shard.UpdateReply, bool) {
	if c == nil {
		return shard.UpdateReply{}, false
	}
	var update shard.StatusUpdate
	if err := wire.Unmarshal(body, &update); err != nil {
		c.Log.Debug("status update not understood", "err", err)
		return shard.UpdateReply{}, false
	}
	reply, ok := eventloop.Call(
		c.Loop, eventloop.Events, shard.StatusUpdateTimeout,
		func(reply eventloop.Reply[shard.UpdateReply]) eventloop.Event {
			return statusUpdateReceived{c, &update, reply}
		},
	)
	// The lease may have lapsed meanwhile: then nothing may be said.
	if !ok || !c.Host.HoldsLease() {
		return shard.UpdateReply{}, false
	}
	return reply, true
}

// applyStatusUpdate takes in a status update.
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
			reply.Term = 0 // the owner tells of its machines once more
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

// applyShardUpdate takes in what the owner of a shard tells of it.
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

// applyMachines takes in which machines an owner says are up, and which are to be terminated.
func (c *Coordinator) applyMachines(view *shardView, update *shard.ShardUpdate, term uint64, now micro.Time) {
	if term == c.Term.FencingRevision && update.LoopStartedAt == view.loopStartedAt {
		for _, name := range update.ReadyMachines {
			view.readyMachines[name] = true // also one that this leader does not know yet
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
			c.Host.Terminate(machine, "its shard's owner wants it returned")
		}
	}
}

// observe takes in what an update says of the shard as a whole. Machines that are up within
// reachedTime after a move do not show that it was of use: dead ones are not suspect anew by
// then, and a single machine that came up in each ownership once kept a shard going round.
func (view *shardView) observe(update *shard.ShardUpdate, now, reachedTime micro.Time) {
	view.machineCount, view.idleMachines = update.MachineCount, update.IdleMachines
	view.pendingTasks = update.PendingTasks
	view.unreachable, view.demand = update.Unreachable, update.Demand
	if update.MachineCount > 0 && now-view.unreachableMovedAt > reachedTime {
		view.unreachableMoves = 0
	}
	if update.AssignmentRevision >= view.assignedRevision {
		// The owner knows of all that it was given: its free capacity is net of that.
		view.freeCapacity, view.capacityAt = update.FreeCapacity, now
	}
}

// applyProgress takes in how far the jobs of a shard are.
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

// markMachineUp notes a machine that sends its heartbeats to the owner of its shard.
func (c *Coordinator) markMachineUp(name string) {
	if machine := c.Cluster.Machines[name]; machine != nil && machine.OwnedElsewhere {
		c.Cluster.TransitionMachine(machine, cluster.Up, "its shard's owner says so")
	}
}

// acknowledge answers for the jobs and machines that an owner named, whoever owns them now.
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
