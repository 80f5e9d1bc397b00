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

// When an owner tells the leader how it fares, and how exactly.
const (
	statusUpdateInterval = micro.Second
	urgentStatusPause    = 50 * micro.Millisecond
)

// jobFinishedInShard notes a job all of whose tasks are done. The leader writes its end,
// once its records say so.
func (o *ShardOwner) jobFinishedInShard(j *cluster.Job) {
	o.finished[j] = true
	o.statusUpdates.urgent = true
	now := o.node.Now()
	for _, ch := range j.Chunks {
		if ch.MemoryVersion > ch.StoredVersion {
			o.records.ChunkRecord(ch).MarkDirty(now, statestore.PriorityHigh)
		}
	}
}

// sendStatusUpdate tells the leader how the shard fares, and asks what concerns it.
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

// statusUpdateAnswered is the leader's answer to a status update.
type statusUpdateAnswered struct {
	owner    *ShardOwner
	update   *shard.ShardUpdate
	reply    *shard.UpdateReply
	sentAt   micro.Time
	answered bool // false: there was no answer
}

// Apply takes the answer in, unless nothing may be said any more.
func (e statusUpdateAnswered) Apply() {
	e.owner.statusUpdates.inFlight = false
	if e.answered && e.owner.holdsLease() {
		e.owner.applyUpdateReply(e.update, e.reply, e.sentAt)
	}
}

// deliverStatusUpdate brings a status update to the leader.
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

// buildShardUpdate puts together what the leader is told. The caller has the leadership lease.
func (o *ShardOwner) buildShardUpdate(now micro.Time) shard.ShardUpdate {
	report := shard.ShardUpdate{
		Name: o.name, AssignmentRevision: o.assignmentRevision, FreeCapacity: update.FreeCapacity(o.cluster, now),
		Unreachable: o.unreachable, LoopStartedAt: int64(o.startedAt),
	}
	o.unreachable = false // unless the next look finds it so again
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

// reportMachines counts the machines that are up, and names those that the leader has not
// been told of.
func (o *ShardOwner) reportMachines(report *shard.ShardUpdate) {
	for _, m := range o.cluster.SortedMachines() {
		if m.State != cluster.Up {
			continue
		}
		report.MachineCount++
		if len(m.Allocations) == 0 {
			report.IdleMachines++
		}
		if !o.statusUpdates.reportedMachines[m.Name] && len(report.ReadyMachines) < shard.MaxStatusItems {
			report.ReadyMachines = append(report.ReadyMachines, m.Name)
		}
	}
}

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

// applyUpdateReply takes in the leader's answer to a status update that was sent at a time.
func (o *ShardOwner) applyUpdateReply(update *shard.ShardUpdate, reply *shard.UpdateReply, sentAt micro.Time) {
	if reply.Term != o.statusUpdates.leaderTerm {
		o.statusUpdates.leaderTerm = reply.Term
		clear(o.statusUpdates.reportedMachines) // a new leader knows of no machine here
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

// endJobInShard settles a job whose end is in the store.
func (o *ShardOwner) endJobInShard(j *cluster.Job, state wire.JobState, now micro.Time) {
	o.cluster.FinalizeJob(j, state == wire.JobAborted, now)
	delete(o.finished, j)
	delete(o.cancelling, j)
	o.log.Info("job over in shard", "job", j.Spec.ID, "state", string(state))
	for _, ch := range j.Chunks {
		o.ChunkDirty(ch)
	}
}

// applyRenewalBound notes until when proxies may have renewed leases, by this node's clock, as of
// the leader's answer: that was given after the status update was sent.
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

// updateProxyRenewals brings the cluster state up to date on what proxies may have renewed. Only the
// leader is in touch with them: without its answer nothing is proven by a lease.
func (o *ShardOwner) updateProxyRenewals(now micro.Time) {
	for _, zone := range append([]string{""}, o.node.Cfg.Facts.Zones...) {
		o.cluster.ProxyRenewedUntil[zone] = o.proxyRenewedUntil[zone]
		if o.proxyRenewedUntil == nil {
			o.cluster.ProxyRenewedUntil[zone] = now
		}
	}
}
