package controller

import (
	"context"
	"net/http"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/shard/update"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// An owner sends a status update to the leader every statusUpdateInterval. An urgent one is sent
// earlier, but not sooner than urgentStatusPause after the last.
const (
	statusUpdateInterval = micro.Second
	urgentStatusPause    = 50 * micro.Millisecond
)

// jobFinishedInShard marks a job whose tasks are all done. The leader writes its final state once the
// job's records are stored.
func (o *ShardOwner) jobFinishedInShard(job *cluster.Job) {
	o.finished[job] = true
	o.statusUpdates.urgent = true
	now := o.node.Now()
	for _, chunk := range job.Chunks {
		if chunk.MemoryVersion > chunk.StoredVersion {
			o.records.ChunkRecord(chunk).MarkDirty(now, statestore.PriorityHigh)
		}
	}
}

// sendStatusUpdate sends a status update to the leader and posts its reply to the loop, unless an update
// is in flight or was sent less than urgentStatusPause ago.
func (o *ShardOwner) sendStatusUpdate(now micro.Time) {
	if o.statusUpdates.inFlight || now-o.statusUpdates.sentAt < urgentStatusPause {
		return
	}
	o.statusUpdates.inFlight, o.statusUpdates.urgent, o.statusUpdates.sentAt = true, false, now
	update := shard.StatusUpdate{
		Node: o.node.Cfg.Node, SessionVersion: o.term.FencingRevision, Term: o.statusUpdates.leaderTerm,
		Shards: []shard.ShardUpdate{o.buildShardUpdate(now)},
	}
	body := update.Encode()
	go func() {
		reply, ok := o.node.deliverStatusUpdate(body)
		o.loop.Post(statusUpdateAnswered{o, &update.Shards[0], &reply, now, ok})
	}()
}

// statusUpdateAnswered is the event that carries the leader's reply to a status update.
type statusUpdateAnswered struct {
	owner    *ShardOwner
	update   *shard.ShardUpdate
	reply    *shard.UpdateReply
	sentAt   micro.Time
	answered bool // false: the leader did not reply
}

// Apply applies the reply, if the owner still holds its lease.
func (e statusUpdateAnswered) Apply() {
	e.owner.statusUpdates.inFlight = false
	if e.answered && e.owner.holdsLease() {
		e.owner.applyUpdateReply(e.update, e.reply, e.sentAt)
	}
}

// deliverStatusUpdate sends a status update to the leader and returns its reply; ok is false if there is
// none.
func (n *Node) deliverStatusUpdate(body []byte) (reply shard.UpdateReply, ok bool) {
	if l := n.activeLeader(); l != nil {
		return l.coordinator.ReceiveStatusUpdate(body)
	}
	leader := n.election.Leader()
	if leader == "" || leader == n.Cfg.Node {
		return reply, false
	}
	status, response, err := n.Peers.Call(context.Background(), leader, peer.ShardOwner, body, shard.StatusUpdateTimeout)
	return reply, err == nil && status == http.StatusOK && wire.Unmarshal(response, &reply) == nil
}

// buildShardUpdate builds the shard's part of a status update. The caller must hold the lease.
func (o *ShardOwner) buildShardUpdate(now micro.Time) shard.ShardUpdate {
	report := shard.ShardUpdate{
		Name: o.name, AssignmentRevision: o.assignmentRevision, FreeCapacity: update.FreeCapacity(o.cluster, now),
		Unreachable: o.unreachable, LoopStartedAt: int64(o.startedAt),
	}
	o.unreachable = false // set again if the next sweep finds that no agent reaches this node
	for job := range o.finished {
		if len(report.FinishedJobs) < shard.MaxStatusItems && update.FullyRecorded(job) {
			report.FinishedJobs = append(report.FinishedJobs, job.Spec.ID)
		}
	}
	for job := range o.cancelling {
		if len(report.StoppingJobs) < shard.MaxStatusItems {
			report.StoppingJobs = append(report.StoppingJobs, update.CancellationProgress(job))
		}
	}
	for machine := range o.pendingTerminations {
		if len(report.MachinesToTerminate) < shard.MaxStatusItems {
			report.MachinesToTerminate = append(report.MachinesToTerminate, machine.Name)
		}
	}
	o.reportMachines(&report)
	o.reportProgress(&report)
	o.reportRecalls(&report, now)
	return report
}

// reportMachines adds to the status update the number of machines that are up and idle, and the names of
// machines that have not been reported to the leader as up.
func (o *ShardOwner) reportMachines(report *shard.ShardUpdate) {
	for _, machine := range o.cluster.SortedMachines() {
		if machine.State != cluster.Up {
			continue
		}
		report.MachineCount++
		if len(machine.Allocations) == 0 {
			report.IdleMachines++
		}
		if !o.statusUpdates.reportedMachines[machine.Name] && len(report.ReadyMachines) < shard.MaxStatusItems {
			report.ReadyMachines = append(report.ReadyMachines, machine.Name)
		}
	}
}

// reportProgress adds to the status update the active jobs' pending tasks, demand and progress.
func (o *ShardOwner) reportProgress(report *shard.ShardUpdate) {
	now := o.node.Now()
	for job := range o.cluster.ActiveJobs {
		report.PendingTasks += job.PendingTasks()
		if schedulable := min(job.Demand(now), job.SchedulableTasks(now)); schedulable > 0 &&
			len(report.Demand) < shard.MaxStatusItems {
			report.Demand = append(
				report.Demand,
				shard.Demand{Job: job.Spec.ID, Tasks: schedulable, Zones: update.SchedulableZones(job, o.node.Cfg.Facts.Zones)},
			)
		}
		if len(report.Progress) < shard.MaxStatusItems && job.DoneTasks+job.RunningTasks > 0 {
			report.Progress = append(
				report.Progress,
				shard.Progress{
					Job: job.Spec.ID, Done: job.DoneTasks, Running: job.RunningTasks, AllocationsNeeded: update.AllocationsNeeded(job),
				},
			)
		}
	}
}

// applyUpdateReply applies the leader's reply to a status update that was sent at sentAt.
func (o *ShardOwner) applyUpdateReply(update *shard.ShardUpdate, reply *shard.UpdateReply, sentAt micro.Time) {
	if reply.Term != o.statusUpdates.leaderTerm {
		o.statusUpdates.leaderTerm = reply.Term
		clear(o.statusUpdates.reportedMachines) // a new leader has no reports of this shard's machines
	} else {
		for _, name := range update.ReadyMachines {
			o.statusUpdates.reportedMachines[name] = true
		}
	}
	now := o.node.Now()
	for id, state := range reply.FinalStates {
		if job := o.cluster.Jobs[id]; job != nil && !job.IsTerminal() {
			o.endJobInShard(job, wire.JobState(state), now)
		}
	}
	for _, name := range reply.TerminatedMachines {
		if machine := o.cluster.Machines[name]; machine != nil {
			delete(o.pendingTerminations, machine)
			delete(o.statusUpdates.reportedMachines, name)
			o.cluster.RemoveMachine(machine, now)
		}
	}
	o.applyRenewalBound(reply, sentAt, now)
	o.updateProxyRenewals(now)
	o.detector.Sweep(now)
	o.proxyRenewedUntil = nil
}

// endJobInShard updates the in-memory state of a job whose final state has been stored.
func (o *ShardOwner) endJobInShard(job *cluster.Job, state wire.JobState, now micro.Time) {
	o.cluster.FinalizeJob(job, state == wire.JobAborted, now)
	delete(o.finished, job)
	delete(o.cancelling, job)
	o.log.Info("job ended in shard", "job", job.Spec.ID, "state", string(state))
	for _, chunk := range job.Chunks {
		o.ChunkDirty(chunk)
	}
}

// applyRenewalBound sets, from the leader's reply, until when lease proxies may have renewed leases,
// by this node's clock, and which zones are unreachable. The leader replied at some time after the
// status update was sent, so the ages in the reply are reduced by the time that has passed since then.
func (o *ShardOwner) applyRenewalBound(reply *shard.UpdateReply, sentAt, now micro.Time) {
	o.proxyRenewedUntil = map[string]micro.Time{}
	for zone, age := range reply.ProxyRenewalAge {
		o.proxyRenewedUntil[zone] = now - max(micro.Time(age)-(now-sentAt), 0)
	}
	disconnected := map[string]bool{}
	for _, zone := range reply.DisconnectedZones {
		disconnected[zone] = true
		if _, known := o.cluster.ZoneUnreachableSince[zone]; !known {
			o.cluster.ZoneUnreachableSince[zone] = now
		}
	}
	for zone := range o.cluster.ZoneUnreachableSince {
		if !disconnected[zone] {
			delete(o.cluster.ZoneUnreachableSince, zone)
			o.cluster.ScheduleSoon()
		}
	}
}

// updateProxyRenewals updates the cluster state with the times until which lease proxies may have
// renewed leases. Only the leader communicates with the lease proxies: without its reply, an expired
// lease proves nothing, so leases are assumed to have been renewed until now.
func (o *ShardOwner) updateProxyRenewals(now micro.Time) {
	for _, zone := range append([]string{""}, o.node.Cfg.Facts.Zones...) {
		o.cluster.ProxyRenewedUntil[zone] = o.proxyRenewedUntil[zone]
		if o.proxyRenewedUntil == nil {
			o.cluster.ProxyRenewedUntil[zone] = now
		}
	}
}
