package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// What owners tell the leader, and what it answers.

// handleStatusUpdate answers another node's owner.
func (n *Node) handleStatusUpdate(l *Leader, body []byte) (int, []byte) {
	reply, ok := l.receiveStatusUpdate(body)
	if !ok {
		return 503, nil
	}
	return 200, wire.MustMarshal(reply)
}

// receiveStatusUpdate takes in what an owner tells, and answers it.
func (l *Leader) receiveStatusUpdate(body []byte) (shard.UpdateReply, bool) {
	var update shard.StatusUpdate
	if l.coordinator == nil || wire.Unmarshal(body, &update) != nil {
		return shard.UpdateReply{}, false
	}
	response, ok := l.callLoop(eventloop.Events, shard.StatusUpdateTimeout, func(reply func(httpapi.Reply)) {
		reply(httpapi.Reply{Body: l.applyStatusUpdate(&update, l.node.Now())})
	})
	if !ok {
		return shard.UpdateReply{}, false
	}
	return response.Body.(shard.UpdateReply), true
}

// applyStatusUpdate is touched, in the loop.
func (l *Leader) applyStatusUpdate(update *shard.StatusUpdate, now micro.Time) shard.UpdateReply {
	reply := shard.UpdateReply{
		Term: l.term.FencingRevision, FinalStates: map[string]string{}, ProxyRenewalAge: map[string]int64{},
	}
	owner := shard.Controller{Node: update.Node, SessionVersion: wire.Count(update.SessionVersion)}
	for i := range update.Shards {
		shardUpdate := &update.Shards[i]
		entry, ok := l.shardTable().Get(shardUpdate.Name)
		if ok && entry.OwnedElsewhere() && entry.Record.Owner == owner {
			l.applyShardUpdate(entry, shardUpdate, update.Term, now)
		}
		l.acknowledgeStatus(shardUpdate, &reply)
	}
	for _, zone := range append([]string{""}, l.node.Cfg.Facts.Zones...) {
		if until := max(l.cluster.ProxyRenewedUntil[zone], l.renewalBound.RenewedUntil(zone, now)); until > 0 {
			reply.ProxyRenewalAge[zone] = int64(now - until)
		}
	}
	for zone := range l.cluster.ZoneUnreachableSince {
		reply.DisconnectedZones = append(reply.DisconnectedZones, zone)
	}
	return reply
}

// applyShardUpdate takes in what the owner of a share tells of it.
func (l *Leader) applyShardUpdate(entry shard.Entry, update *shard.ShardUpdate, term uint64, now micro.Time) {
	view := l.viewOf(entry.Name)
	view.machineCount, view.idleMachines, view.pendingTasks = update.MachineCount, update.IdleMachines, update.PendingTasks
	view.unreachable, view.demand = update.Unreachable, update.Demand
	if update.MachineCount > 0 {
		view.handovers = 0
	}
	if update.AssignmentRevision >= view.assignedRevision {
		// The owner knows of all that it was given: its room is net of that.
		view.freeCapacity, view.capacityAt, view.seenRevision = update.FreeCapacity, now, update.AssignmentRevision
	}
	for _, id := range update.FinishedJobs {
		if job := l.cluster.Jobs[id]; job != nil && job.Shard == entry.Name {
			l.cluster.FinishAssigned(job)
		}
	}
	for _, stopping := range update.StoppingJobs {
		l.shardCancellationProgress(entry.Name, stopping, now)
	}
	for _, progress := range update.Progress {
		if job := l.cluster.Jobs[progress.Job]; job != nil && job.Shard == entry.Name && job.State == cluster.Assigned {
			job.ShardDoneTasks, job.ShardRunningTasks = progress.Done, progress.Running
			l.adjustShardReservation(job, progress.AllocationsNeeded)
		}
	}
	if term == l.term.FencingRevision {
		for _, name := range update.ReadyMachines {
			l.machineUpInShard(name)
		}
		if view.allMachinesKnownAt == 0 && len(update.ReadyMachines) < shard.MaxStatusItems {
			view.allMachinesKnownAt = now
		}
	}
	for _, name := range update.MachinesToTerminate {
		if !l.cluster.WasTerminated(name) {
			machine := l.cluster.EnsureMachine(name, now)
			machine.OwnedElsewhere = true
			l.terminate(machine, "its share's owner wants it returned")
		}
	}
}

// machineUpInShard notes a machine that reports to the owner of its share.
func (l *Leader) machineUpInShard(name string) {
	if m := l.cluster.Machines[name]; m != nil && m.OwnedElsewhere {
		l.cluster.TransitionMachine(m, cluster.Up, "its share's owner says so")
	}
}

// acknowledgeStatus answers for the jobs and machines that an owner named, whoever owns them now.
func (l *Leader) acknowledgeStatus(update *shard.ShardUpdate, reply *shard.UpdateReply) {
	for _, id := range update.FinishedJobs {
		l.acknowledgeEnd(id, reply)
	}
	for _, stopping := range update.StoppingJobs {
		l.acknowledgeEnd(stopping.Job, reply)
	}
	for _, name := range update.MachinesToTerminate {
		if l.cluster.WasTerminated(name) {
			reply.TerminatedMachines = append(reply.TerminatedMachines, name)
		}
	}
}

func (l *Leader) acknowledgeEnd(id string, reply *shard.UpdateReply) {
	end, over := l.cluster.FinalStatuses[id]
	switch {
	case !over:
	case end.Aborted:
		reply.FinalStates[id] = string(wire.JobAborted)
	default:
		reply.FinalStates[id] = string(wire.JobDone)
	}
}
