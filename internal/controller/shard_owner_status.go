package controller

import (
	"context"
	"maps"
	"slices"
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// When an owner tells the leader how it fares, and how exactly.
const (
	statusUpdateInterval = micro.Second
	maxCapacityKinds     = 64 // kinds of free capacity
	urgentStatusPause    = 50 * micro.Millisecond
	cpuRounding          = 1 // machines with so many free CPUs more or less are told together
)

// jobFinishedInShard notes a job all of whose tasks are done. The leader writes its end,
// once its records say so.
func (o *ShardOwner) jobFinishedInShard(j *cluster.Job) {
	o.finished[j] = true
	o.reports.urgent = true
	now := o.node.Now()
	for _, ch := range j.Chunks {
		if ch.MemoryVersion > ch.StoredVersion {
			o.records.ChunkRecord(ch).MarkDirty(now, statestore.PriorityHigh)
		}
	}
}

// recorded reports whether all that is known of a job's tasks is in the store.
func fullyRecorded(j *cluster.Job) bool {
	for _, ch := range j.Chunks {
		if ch.MemoryVersion > ch.StoredVersion {
			return false
		}
	}
	return true
}

// sendStatusUpdate tells the leader how the shard fares, and asks what concerns it.
func (o *ShardOwner) sendStatusUpdate(now micro.Time) {
	if o.reports.inFlight || now-o.reports.sentAt < urgentStatusPause {
		return
	}
	o.reports.inFlight, o.reports.urgent, o.reports.sentAt = true, false, now
	update := shard.StatusUpdate{
		Node: o.node.Cfg.Node, SessionVersion: o.term.FencingRevision, Term: o.reports.leaderTerm,
		Shards: []shard.ShardUpdate{o.buildShardUpdate(now)},
	}
	body := wire.MustMarshal(update)
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
	e.owner.reports.inFlight = false
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
	return reply, err == nil && status == 200 && wire.Unmarshal(response, &reply) == nil
}

// buildShardUpdate puts together what the leader is told. The caller has the right to act.
func (o *ShardOwner) buildShardUpdate(now micro.Time) shard.ShardUpdate {
	update := shard.ShardUpdate{
		Name: o.name, AssignmentRevision: o.assignmentRevision, FreeCapacity: o.freeCapacity(now),
		Unreachable: o.unreachable,
	}
	o.unreachable = false // unless the next look finds it so again
	for job := range o.finished {
		if len(update.FinishedJobs) < shard.MaxStatusItems && fullyRecorded(job) {
			update.FinishedJobs = append(update.FinishedJobs, job.Spec.ID)
		}
	}
	for job := range o.cancelling {
		if len(update.StoppingJobs) < shard.MaxStatusItems {
			update.StoppingJobs = append(update.StoppingJobs, cancellationProgress(job))
		}
	}
	for machine := range o.pendingTerminations {
		if len(update.MachinesToTerminate) < shard.MaxStatusItems {
			update.MachinesToTerminate = append(update.MachinesToTerminate, machine.Name)
		}
	}
	o.reportMachines(&update)
	o.reportProgress(&update)
	return update
}

func cancellationProgress(j *cluster.Job) shard.StoppingJob {
	progress := shard.StoppingJob{Job: j.Spec.ID, UnreleasedAllocations: j.AllocationCount}
	zones := map[string]bool{}
	for _, p := range j.Allocations() {
		zones[p.Machine.Zone] = true
	}
	progress.Zones = slices.Sorted(maps.Keys(zones))
	return progress
}

// reportMachines counts the machines that are up, and names those that the leader has not
// been told of.
func (o *ShardOwner) reportMachines(update *shard.ShardUpdate) {
	for _, m := range o.cluster.SortedMachines() {
		if m.State != cluster.Up {
			continue
		}
		update.MachineCount++
		if len(m.Allocations) == 0 {
			update.IdleMachines++
		}
		if !o.reports.reportedMachines[m.Name] && len(update.ReadyMachines) < shard.MaxStatusItems {
			update.ReadyMachines = append(update.ReadyMachines, m.Name)
		}
	}
}

func (o *ShardOwner) reportProgress(update *shard.ShardUpdate) {
	now := o.node.Now()
	for job := range o.cluster.ActiveJobs {
		update.PendingTasks += job.PendingTasks()
		if schedulable := min(job.Demand(now), job.SchedulableTasks(now)); schedulable > 0 &&
			len(update.Demand) < shard.MaxStatusItems {
			update.Demand = append(
				update.Demand, shard.Demand{Job: job.Spec.ID, Tasks: schedulable, Zones: o.schedulableZones(job)},
			)
		}
		if len(update.Progress) < shard.MaxStatusItems && job.DoneTasks+job.RunningTasks > 0 {
			update.Progress = append(
				update.Progress,
				shard.Progress{
					Job: job.Spec.ID, Done: job.DoneTasks, Running: job.RunningTasks, AllocationsNeeded: allocationsNeeded(job),
				},
			)
		}
	}
}

// allocationsNeeded is how many allocations a job's tasks may have at once from now on, by what
// the records say: whoever owns the shard next knows no more.
func allocationsNeeded(job *cluster.Job) int {
	if !fullyRecorded(job) {
		return -1
	}
	needed := len(job.Tasks) - job.DoneTasks
	for _, allocation := range job.Allocations() {
		// Beside one for each task that is not done. A gang that is wound up holds less
		// for a while, and then all of its places again: counted by what was held and
		// waited, two jobs once had the same part of a limit.
		if task := &job.Tasks[allocation.Index]; task.Done || task.AllocationCount > 1 {
			needed++
		}
	}
	return needed
}

// schedulableZones lists the zones where more of a job's tasks may go, by its rules on zones.
func (o *ShardOwner) schedulableZones(j *cluster.Job) []string {
	if !j.Spec.Spread && (!j.Spec.OneZone || j.AllocationCount == 0) {
		return nil
	}
	var open []string
	for _, zone := range o.node.Cfg.Facts.Zones {
		if scheduler.ZoneAllowed(j, zone, nil) {
			open = append(open, zone)
		}
	}
	return open
}

// capacityKey is what makes the free capacity of machines alike.
type capacityKey struct {
	pool *cluster.MachinePool
	cpu  int
	gpu  int
	mem  int
}

// freeCapacity lists what is free, by like machines, the largest first. What waits for capacity
// in the shard comes before jobs that are yet to be assigned: while any does, none is.
func (o *ShardOwner) freeCapacity(now micro.Time) []shard.FreeCapacity {
	for job := range o.cluster.PendingJobs {
		if job.PendingTasks() > 0 && !job.InBackoff(now) {
			return nil
		}
	}
	counts := map[capacityKey]int{}
	for _, pool := range o.cluster.Pools {
		countFreeCapacity(pool, counts, now)
	}
	capacity := make([]shard.FreeCapacity, 0, len(counts))
	for key, count := range counts {
		if key.cpu > 0 {
			capacity = append(capacity, shard.FreeCapacity{
				Type: key.pool.Type.Name, Zone: key.pool.Zone, Spot: key.pool.Spot, Count: count,
				CPU: float64(key.cpu), GPU: float64(key.gpu), Mem: float64(key.mem),
			})
		}
	}
	sort.Slice(capacity, func(a, b int) bool { return hasMoreCapacity(capacity[a], capacity[b]) })
	return capacity[:min(len(capacity), maxCapacityKinds)]
}

// countFreeCapacity adds the machines of a pool that take tasks, by what is free on them.
func countFreeCapacity(pool *cluster.MachinePool, counts map[capacityKey]int, now micro.Time) {
	for row := range pool.Rows() {
		for _, machine := range pool.Row(row) {
			if machine.Schedulable(now) && machine.ReservedFor == nil {
				counts[capacityOf(pool, machine)]++
			}
		}
	}
}

func capacityOf(pool *cluster.MachinePool, machine *cluster.Machine) capacityKey {
	cpu := min(machine.Type.CPUs-machine.UsedScaledCPU, machine.Type.CPUs-machine.UsedCPU)
	return capacityKey{
		pool: pool,
		cpu:  int(cpu) / cpuRounding,
		gpu:  int(machine.Type.GPUs - machine.UsedGPU),
		mem:  int(machine.Type.MemoryGB - machine.UsedMemoryGB),
	}
}

// hasMoreCapacity orders kinds of free capacity; the order of equal ones is fixed, so that runs repeat.
func hasMoreCapacity(a, b shard.FreeCapacity) bool {
	switch {
	case a.GPU != b.GPU:
		return a.GPU > b.GPU
	case a.CPU != b.CPU:
		return a.CPU > b.CPU
	case a.Mem != b.Mem:
		return a.Mem > b.Mem
	case a.Type != b.Type:
		return a.Type < b.Type
	case a.Zone != b.Zone:
		return a.Zone < b.Zone
	}
	return !a.Spot && b.Spot
}

// applyUpdateReply takes in the leader's answer to a status update that was sent at a time.
func (o *ShardOwner) applyUpdateReply(update *shard.ShardUpdate, reply *shard.UpdateReply, sentAt micro.Time) {
	if reply.Term != o.reports.leaderTerm {
		o.reports.leaderTerm = reply.Term
		clear(o.reports.reportedMachines) // a new leader knows of no machine here
	} else {
		for _, name := range update.ReadyMachines {
			o.reports.reportedMachines[name] = true
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
			delete(o.reports.reportedMachines, name)
			o.cluster.RemoveMachine(machine, now)
		}
	}
	o.applyLeaderBound(reply, sentAt, now)
	o.updateBoundFromLeader(now)
	o.detector.Sweep(now)
	o.renewedUntil = nil
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

// applyLeaderBound notes until when proxies may have renewed leases, by this node's clock, as of
// the leader's answer: that was given after the status update was sent.
func (o *ShardOwner) applyLeaderBound(reply *shard.UpdateReply, sentAt, now micro.Time) {
	o.renewedUntil = map[string]micro.Time{}
	for zone, age := range reply.ProxyRenewalAge {
		o.renewedUntil[zone] = now - max(micro.Time(age)-(now-sentAt), 0)
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

// updateBoundFromLeader brings the cluster state up to date on what proxies may have renewed. Only the
// leader is in touch with them: without its answer nothing is proven by a lease.
func (o *ShardOwner) updateBoundFromLeader(now micro.Time) {
	for _, zone := range append([]string{""}, o.node.Cfg.Facts.Zones...) {
		o.cluster.ProxyRenewedUntil[zone] = o.renewedUntil[zone]
		if o.renewedUntil == nil {
			o.cluster.ProxyRenewedUntil[zone] = now
		}
	}
}
