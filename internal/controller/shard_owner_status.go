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
	maxCapacityKinds     = 64 // kinds of room
	urgentStatusPause    = 50 * micro.Millisecond
	cpuRounding          = 1 // machines with so many free CPUs more or less are told together
)

// jobFinishedInShard notes a job all of whose tasks are done. The leader writes its end,
// once its records say so.
func (l *Leader) jobFinishedInShard(j *cluster.Job) {
	l.owner.finished[j] = true
	l.owner.reportUrgent = true
	now := l.node.Now()
	for _, ch := range j.Chunks {
		if ch.MemoryVersion > ch.StoredVersion {
			l.records.ChunkRecord(ch).MarkDirty(now, statestore.PriorityHigh)
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

// sendStatusUpdate tells the leader how the share fares, and asks what concerns it.
func (l *Leader) sendStatusUpdate(now micro.Time) {
	if l.owner.reportInFlight || now-l.owner.reportedAt < urgentStatusPause {
		return
	}
	l.owner.reportInFlight, l.owner.reportUrgent, l.owner.reportedAt = true, false, now
	update := shard.StatusUpdate{
		Node: l.node.Cfg.Node, SessionVersion: l.term.FencingRevision, Term: l.owner.leaderTerm,
		Shards: []shard.ShardUpdate{l.buildShardUpdate(now)},
	}
	body := wire.MustMarshal(update)
	go func() {
		reply, ok := l.node.deliverStatusUpdate(body)
		l.post(func() {
			l.owner.reportInFlight = false
			if ok && l.holdsLease() {
				l.statusUpdateAnswered(&update.Shards[0], &reply, now)
			}
		})
	}()
}

// deliverStatusUpdate brings a touch to the leader.
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
func (l *Leader) buildShardUpdate(now micro.Time) shard.ShardUpdate {
	update := shard.ShardUpdate{
		Name: l.owner.name, AssignmentRevision: l.owner.assignmentRevision, FreeCapacity: l.freeCapacity(now),
		Unreachable: l.owner.unreachable,
	}
	l.owner.unreachable = false // unless the next look finds it so again
	for job := range l.owner.finished {
		if len(update.FinishedJobs) < shard.MaxStatusItems && fullyRecorded(job) {
			update.FinishedJobs = append(update.FinishedJobs, job.Spec.ID)
		}
	}
	for job := range l.owner.cancelling {
		if len(update.StoppingJobs) < shard.MaxStatusItems {
			update.StoppingJobs = append(update.StoppingJobs, cancellationProgress(job))
		}
	}
	for machine := range l.owner.pendingTerminations {
		if len(update.MachinesToTerminate) < shard.MaxStatusItems {
			update.MachinesToTerminate = append(update.MachinesToTerminate, machine.Name)
		}
	}
	l.reportMachines(&update)
	l.reportProgress(&update)
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
func (l *Leader) reportMachines(update *shard.ShardUpdate) {
	for _, m := range l.cluster.SortedMachines() {
		if m.State != cluster.Up {
			continue
		}
		update.MachineCount++
		if len(m.Allocations) == 0 {
			update.IdleMachines++
		}
		if !l.owner.reportedMachines[m.Name] && len(update.ReadyMachines) < shard.MaxStatusItems {
			update.ReadyMachines = append(update.ReadyMachines, m.Name)
		}
	}
}

func (l *Leader) reportProgress(update *shard.ShardUpdate) {
	now := l.node.Now()
	for job := range l.cluster.ActiveJobs {
		update.PendingTasks += job.PendingTasks()
		if schedulable := min(job.Demand(now), job.SchedulableTasks(now)); schedulable > 0 &&
			len(update.Demand) < shard.MaxStatusItems {
			update.Demand = append(
				update.Demand, shard.Demand{Job: job.Spec.ID, Tasks: schedulable, Zones: l.schedulableZones(job)},
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

// allocationsNeeded is how many places a job's tasks may have at once from now on, by what
// the records say: whoever owns the share next knows no more.
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
func (l *Leader) schedulableZones(j *cluster.Job) []string {
	if !j.Spec.Spread && (!j.Spec.OneZone || j.AllocationCount == 0) {
		return nil
	}
	var open []string
	for _, zone := range l.node.Cfg.Facts.Zones {
		if scheduler.ZoneAllowed(j, zone, nil) {
			open = append(open, zone)
		}
	}
	return open
}

// capacityKey is what makes machines' room alike.
type capacityKey struct {
	pool *cluster.MachinePool
	cpu  int
	gpu  int
	mem  int
}

// freeCapacity lists what is free, by like machines, the largest first. What waits for room
// in the share comes before jobs that are yet to be assigned: while any does, none is.
func (l *Leader) freeCapacity(now micro.Time) []shard.FreeCapacity {
	for job := range l.cluster.PendingJobs {
		if job.PendingTasks() > 0 && !job.InBackoff(now) {
			return nil
		}
	}
	counts := map[capacityKey]int{}
	for _, pool := range l.cluster.Pools {
		for row := range pool.Rows() {
			for _, machine := range pool.Row(row) {
				if !machine.Schedulable(now) || machine.ReservedFor != nil {
					continue
				}
				cpu := min(machine.Type.CPUs-machine.UsedScaledCPU, machine.Type.CPUs-machine.UsedCPU)
				counts[capacityKey{pool, int(cpu) / cpuRounding, int(machine.Type.GPUs - machine.UsedGPU), int(machine.Type.MemoryGB - machine.UsedMemoryGB)}]++
			}
		}
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

// hasMoreCapacity orders kinds of room; the order of equal ones is fixed, so that runs repeat.
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

// statusUpdateAnswered takes in the leader's answer to a touch that was sent at a time.
func (l *Leader) statusUpdateAnswered(update *shard.ShardUpdate, reply *shard.UpdateReply, sentAt micro.Time) {
	if reply.Term != l.owner.leaderTerm {
		l.owner.leaderTerm = reply.Term
		clear(l.owner.reportedMachines) // a new leader knows of no machine here
	} else {
		for _, name := range update.ReadyMachines {
			l.owner.reportedMachines[name] = true
		}
	}
	now := l.node.Now()
	for id, state := range reply.FinalStates {
		if job := l.cluster.Jobs[id]; job != nil && !job.IsTerminal() {
			l.endJobInShard(job, wire.JobState(state), now)
		}
	}
	for _, name := range reply.TerminatedMachines {
		if machine := l.cluster.Machines[name]; machine != nil {
			delete(l.owner.pendingTerminations, machine)
			delete(l.owner.reportedMachines, name)
			l.cluster.RemoveMachine(machine, now)
		}
	}
	l.applyLeaderBound(reply, sentAt, now)
	l.sweep(now)
	l.owner.renewedUntil = nil
}

// endJobInShard settles a job whose end is in the store.
func (l *Leader) endJobInShard(j *cluster.Job, state wire.JobState, now micro.Time) {
	l.cluster.FinalizeJob(j, state == wire.JobAborted, now)
	delete(l.owner.finished, j)
	delete(l.owner.cancelling, j)
	l.log.Info("job over in share", "job", j.Spec.ID, "state", string(state))
	for _, ch := range j.Chunks {
		l.ChunkDirty(ch)
	}
}

// applyLeaderBound notes until when keepers may have renewed leases, by this node's clock, as of
// the leader's answer: that was given after the touch was sent.
func (l *Leader) applyLeaderBound(reply *shard.UpdateReply, sentAt, now micro.Time) {
	l.owner.renewedUntil = map[string]micro.Time{}
	for zone, age := range reply.ProxyRenewalAge {
		l.owner.renewedUntil[zone] = now - max(micro.Time(age)-(now-sentAt), 0)
	}
	disconnected := map[string]bool{}
	for _, zone := range reply.DisconnectedZones {
		disconnected[zone] = true
		if _, known := l.cluster.ZoneUnreachableSince[zone]; !known {
			l.cluster.ZoneUnreachableSince[zone] = now
		}
	}
	for zone := range l.cluster.ZoneUnreachableSince {
		if !disconnected[zone] {
			delete(l.cluster.ZoneUnreachableSince, zone)
			l.cluster.ScheduleSoon()
		}
	}
}

// updateBoundFromLeader brings the model up to date on what keepers may have renewed. Only the
// leader is in touch with them: without its answer nothing is proven by a lease.
func (l *Leader) updateBoundFromLeader(now micro.Time) {
	for _, zone := range append([]string{""}, l.node.Cfg.Facts.Zones...) {
		l.cluster.ProxyRenewedUntil[zone] = l.owner.renewedUntil[zone]
		if l.owner.renewedUntil == nil {
			l.cluster.ProxyRenewedUntil[zone] = now
		}
	}
}
