package controller

import (
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/share"
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
func (l *Leader) receiveStatusUpdate(body []byte) (share.Reply, bool) {
	var update share.Touch
	if l.coordinator == nil || wire.Unmarshal(body, &update) != nil {
		return share.Reply{}, false
	}
	response, ok := l.callLoop(l.events, statusUpdateTimeout, func(reply func(front.Reply)) {
		reply(front.Reply{Body: l.applyStatusUpdate(&update, l.node.Now())})
	})
	if !ok {
		return share.Reply{}, false
	}
	return response.Body.(share.Reply), true
}

// applyStatusUpdate is touched, in the loop.
func (l *Leader) applyStatusUpdate(update *share.Touch, now micro.Time) share.Reply {
	reply := share.Reply{Term: l.term.Stamp, Ends: map[string]string{}, Kept: map[string]int64{}}
	owner := share.Controller{Node: update.Node, Session: wire.Count(update.Session)}
	for i := range update.Shares {
		shardUpdate := &update.Shares[i]
		entry, ok := l.shardTable().Get(shardUpdate.Name)
		if ok && entry.Away() && entry.Record.Owner == owner {
			l.applyShardUpdate(entry, shardUpdate, update.Term, now)
		}
		l.acknowledgeStatus(shardUpdate, &reply)
	}
	for _, zone := range append([]string{""}, l.node.Cfg.Facts.Zones...) {
		if until := max(l.cluster.Kept[zone], l.renewalBound.Until(zone, now)); until > 0 {
			reply.Kept[zone] = int64(now - until)
		}
	}
	for zone := range l.cluster.Away {
		reply.Away = append(reply.Away, zone)
	}
	return reply
}

// applyShardUpdate takes in what the owner of a share tells of it.
func (l *Leader) applyShardUpdate(entry share.Entry, update *share.ShareTouch, term uint64, now micro.Time) {
	view := l.viewOf(entry.Name)
	view.machineCount, view.idleMachines, view.pendingTasks = update.Machines, update.Empty, update.Unassigned
	view.unreachable, view.demand = update.Unreached, update.Demand
	if update.Machines > 0 {
		view.handovers = 0
	}
	if update.Seen >= view.assignedRevision {
		// The owner knows of all that it was given: its room is net of that.
		view.freeCapacity, view.capacityAt, view.seenRevision = update.Room, now, update.Seen
	}
	for _, id := range update.Finished {
		if job := l.cluster.Jobs[id]; job != nil && job.Share == entry.Name {
			l.cluster.Finish(job)
		}
	}
	for _, stopping := range update.Stopped {
		l.shardCancellationProgress(entry.Name, stopping, now)
	}
	for _, progress := range update.Progress {
		if job := l.cluster.Jobs[progress.Job]; job != nil && job.Share == entry.Name && job.State == model.Assigned {
			job.SharedDid, job.SharedRun = progress.Done, progress.Running
			l.adjustShardReservation(job, progress.Need)
		}
	}
	if term == l.term.Stamp {
		for _, name := range update.Up {
			l.machineUpInShard(name)
		}
		if view.allMachinesKnownAt == 0 && len(update.Up) < maxStatusItems {
			view.allMachinesKnownAt = now
		}
	}
	for _, name := range update.Return {
		if !l.cluster.Departed(name) {
			machine := l.cluster.Machine(name, now)
			machine.Foreign = true
			l.terminate(machine, "its share's owner wants it returned")
		}
	}
}

// machineUpInShard notes a machine that reports to the owner of its share.
func (l *Leader) machineUpInShard(name string) {
	if m := l.cluster.Machines[name]; m != nil && m.Foreign {
		l.cluster.Become(m, model.Up, "its share's owner says so")
	}
}

// acknowledgeStatus answers for the jobs and machines that an owner named, whoever owns them now.
func (l *Leader) acknowledgeStatus(update *share.ShareTouch, reply *share.Reply) {
	for _, id := range update.Finished {
		l.acknowledgeEnd(id, reply)
	}
	for _, stopping := range update.Stopped {
		l.acknowledgeEnd(stopping.Job, reply)
	}
	for _, name := range update.Return {
		if l.cluster.Departed(name) {
			reply.Gone = append(reply.Gone, name)
		}
	}
}

func (l *Leader) acknowledgeEnd(id string, reply *share.Reply) {
	end, over := l.cluster.Ends[id]
	switch {
	case !over:
	case end.Aborted:
		reply.Ends[id] = string(wire.JobAborted)
	default:
		reply.Ends[id] = string(wire.JobDone)
	}
}
