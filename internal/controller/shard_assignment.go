package controller

import (
	"context"
	"errors"
	"math"
	"slices"
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// maxCapacityAge is how old what an owner told of its room may be.
	maxCapacityAge = 3 * micro.Second
	// assignDelay is how long a job waits for room among the leader's own machines
	// before it goes to a share, and partialAssignDelay before an array or a service goes
	// to one that has room for a part of it.
	assignDelay        = micro.Second
	partialAssignDelay = 15 * micro.Second
	// maxAssignmentsPerRound is how many jobs are assigned in one round.
	maxAssignmentsPerRound = 24
)

// assignJobs gives jobs that wait to shares that have room for them.
func (l *Leader) assignJobs(now micro.Time) {
	remaining := maxAssignmentsPerRound
	var open []shard.Entry
	l.shardTable().Each(func(entry shard.Entry) bool {
		if view := l.viewOf(entry.Name); entry.Record.State == shard.Owned && now-view.capacityAt < maxCapacityAge &&
			len(view.freeCapacity) > 0 {
			open = append(open, entry)
		}
		return true
	})
	if len(open) == 0 {
		return
	}
	for _, job := range l.assignableJobs() {
		for _, entry := range open {
			if remaining > 0 && l.assignToShard(entry, job, now) {
				remaining--
				break
			}
		}
	}
}

// assignableJobs lists the jobs that may be assigned, in the order in which they get room.
func (l *Leader) assignableJobs() []*cluster.Job {
	var jobs []*cluster.Job
	for job := range l.cluster.PendingJobs {
		if job.State == cluster.Active && job.NeverAllocated() {
			jobs = append(jobs, job)
		}
	}
	sort.Slice(jobs, func(a, b int) bool {
		first, second := jobs[a], jobs[b]
		if first.PriorityLevel != second.PriorityLevel {
			return first.PriorityLevel < second.PriorityLevel
		}
		if first.EligibleSince != second.EligibleSince {
			return first.EligibleSince < second.EligibleSince
		}
		return first.Spec.ID < second.Spec.ID
	})
	return jobs
}

// assignToShard assigns a job to a share if that has room for it.
func (l *Leader) assignToShard(entry shard.Entry, job *cluster.Job, now micro.Time) bool {
	waited := now - job.WaitingSince
	if !slices.Contains(entry.Record.Teams, job.Spec.Team) && (len(entry.Record.Teams) > 0 || waited < assignDelay) {
		return false
	}
	view := l.viewOf(entry.Name)
	total := len(job.Tasks)
	fitting := l.tasksThatFit(view.freeCapacity, &job.Spec)
	partial := waited > partialAssignDelay && job.Spec.Kind != wire.Gang && !job.Spec.Spread && fitting > 0
	if fitting < total && !partial {
		return false
	}
	assignment := shard.Assignment{Job: job.Spec, AssignedAt: int64(l.node.Wall())}
	if wire.JSONSize(assignment) > l.MaxValueBytes() {
		return false
	}
	assigned := l.cluster.Assign(job, entry.Name)
	if assigned == 0 {
		return false
	}
	l.deductCapacity(view, &job.Spec, min(assigned, fitting))
	assignment.MaxAllocations = assigned
	l.log.Info(
		"job assigned", "job", job.Spec.ID, "share", entry.Name, "owner", entry.Record.Owner.Node, "tasks", total, "at_once",
		assigned,
	)
	l.storeAssignment(entry.Name, job, assignment).storeRecord.MarkDirty(now, statestore.PriorityHigh)
	return true
}

// tasksThatFit is how many of a job's tasks fit the room as it is, by its rules on zones.
func (l *Leader) tasksThatFit(capacity []shard.FreeCapacity, spec *wire.Job) int {
	zones := map[string]int{}
	for i := range capacity {
		zones[capacity[i].Zone] += capacity[i].Count * l.tasksPerMachine(&capacity[i], spec)
	}
	sum, largest := 0, 0
	for _, count := range zones {
		if spec.Spread {
			count = min(count, (spec.Tasks+1)/2)
		}
		sum, largest = sum+count, max(largest, count)
	}
	if spec.OneZone {
		return largest
	}
	return sum
}

// tasksPerMachine is how many of a job's tasks one machine of a kind of room takes.
func (l *Leader) tasksPerMachine(capacity *shard.FreeCapacity, spec *wire.Job) int {
	machineType := l.cluster.Types[capacity.Type]
	if machineType == nil || !scheduler.Allowed(spec, machineType, capacity.Zone, capacity.Spot) {
		return 0
	}
	count := math.MaxInt32
	for _, x := range []struct{ free, need float64 }{{capacity.CPU, max(spec.CPUs, scheduler.ScaledCPUs(spec.CPUs, machineType.SpeedFactor, machineType.CPUs))}, {capacity.GPU, spec.GPUs}, {capacity.Mem, spec.MemoryGB}} {
		if x.need > 0 {
			count = min(count, int(x.free/x.need+1e-9))
		}
	}
	return count
}

// deductCapacity takes the room of so many tasks out of what is free.
func (l *Leader) deductCapacity(view *shardView, spec *wire.Job, tasks int) {
	for i := range view.freeCapacity {
		capacity := &view.freeCapacity[i]
		perMachine := l.tasksPerMachine(capacity, spec)
		if perMachine == 0 {
			continue
		}
		machines := min((tasks+perMachine-1)/perMachine, capacity.Count)
		capacity.Count -= machines
		if tasks -= machines * perMachine; tasks <= 0 {
			return
		}
	}
}

// storeAssignment keeps the record of an assignment.
func (l *Leader) storeAssignment(shardName string, job *cluster.Job, assignment shard.Assignment) *assignedJob {
	assigned := &assignedJob{
		job: job, shardName: shardName, assignment: assignment,
		storeRecord: l.records.Record(shard.AssignmentKey(shardName, job.Spec.ID)),
	}
	l.coordinator.assignedJobs[job.Spec.ID] = assigned
	assigned.storeRecord.Preconditions = func() []wire.Precondition { return l.assignmentPreconditions(assigned) }
	assigned.storeRecord.Build = func() (any, uint64) {
		if assigned.storeRecord.Version() > 0 || !assigned.stored && !job.IsTerminal() {
			return assigned.assignment, 0
		}
		l.assignmentDeleted(assigned)
		return statestore.NotReady, 0
	}
	assigned.storeRecord.OnCommitted = func(uint64) {
		assigned.stored = true
		view := l.viewOf(shardName)
		view.assignedRevision = max(view.assignedRevision, assigned.storeRecord.Version())
	}
	return assigned
}

// assignmentPreconditions are further conditions of the write that creates an assignment. An
// earlier try without an answer may be carried out late, after the owner has deleted the
// record: with the condition on its key alone, a job whose user was told that it is
// cancelled was assigned once more, and ran. Later writes carry their key's version.
func (l *Leader) assignmentPreconditions(assigned *assignedJob) []wire.Precondition {
	if assigned.storeRecord.Version() > 0 {
		return nil
	}
	preconditions := []wire.Precondition{{Key: keys.JobEnd(assigned.job.Spec.ID)}}
	if entry, ok := l.shardTable().Get(assigned.shardName); ok {
		preconditions = append(preconditions, entry.Precondition())
	}
	return preconditions
}

// assignmentDeleted takes in that an owner has deleted the record of an assignment. It
// does so once nothing of the job is left in the share: after the job's end, or to hand
// it back. A late write can create the record of the former no more; for the latter the
// share's record has to change first.
func (l *Leader) assignmentDeleted(assigned *assignedJob) {
	if assigned.job.IsTerminal() {
		l.dropAssignment(assigned)
		return
	}
	if entry, ok := l.shardTable().Get(assigned.shardName); ok && !assigned.handedBack {
		assigned.handedBack, assigned.fenceVersion = true, entry.Version
	}
}

// reconcileHandedBack brings jobs that were handed back to the leader's own, once no late write
// can assign them again.
func (l *Leader) reconcileHandedBack() {
	for _, assigned := range l.coordinator.assignedJobs {
		if !assigned.handedBack || assigned.lookupInFlight {
			continue
		}
		entry, ok := l.shardTable().Get(assigned.shardName)
		switch {
		case ok && entry.Version > assigned.fenceVersion:
			l.verifyHandedBack(assigned)
		case ok && entry.OwnedElsewhere() && !l.coordinator.commitsInFlight[entry.Name]:
			l.commitShard(entry.Name, entry.Update(entry.Record.Rewritten(int64(l.node.Wall())), l.term.Precondition()))
		}
	}
}

// verifyHandedBack looks whether a late write has assigned a job again before the share's
// record changed.
func (l *Leader) verifyHandedBack(assigned *assignedJob) {
	assigned.lookupInFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		item, err := l.node.Store.Get(ctx, store.Routine, assigned.storeRecord.Key)
		l.post(func() {
			assigned.lookupInFlight = false
			switch {
			case errors.Is(err, store.ErrNotFound):
				l.dropAssignment(assigned)
			case err == nil:
				assigned.handedBack = false // assigned again: its owner has it
				assigned.storeRecord.SetVersion(uint64(item.Version))
			}
		})
	}()
}

// dropAssignment makes a job the leader's own again, or lets go of one that is over.
func (l *Leader) dropAssignment(assigned *assignedJob) {
	if l.coordinator.assignedJobs[assigned.job.Spec.ID] != assigned {
		return
	}
	delete(l.coordinator.assignedJobs, assigned.job.Spec.ID)
	l.records.Drop(assigned.storeRecord)
	assigned.storeRecord.ClearDirty()
	l.cluster.Unassign(assigned.job, l.node.Now())
	if assigned.cancelling && !assigned.endRequested && assigned.job.State == cluster.Aborting {
		l.pendingCancellations[assigned.job] = true // nothing of it is anywhere: its user may be told
	}
}

// applyAssignmentDeletions takes in what owners did to assignments.
func (l *Leader) applyAssignmentDeletions(events wire.Events) {
	for _, event := range events.Events {
		if event.Delete == "" {
			continue
		}
		_, id, ok := shard.ParseAssignmentKey(event.Delete)
		if assigned := l.coordinator.assignedJobs[id]; ok && assigned != nil && assigned.storeRecord.Key == event.Delete &&
			uint64(event.Version) > assigned.storeRecord.Version() &&
			(assigned.stored || assigned.storeRecord.Version() > 0) {
			assigned.storeRecord.SetVersion(0)
			assigned.stored = true
			l.assignmentDeleted(assigned)
		}
	}
}

// beginShardCancellation begins the withdrawal of a job that was assigned. That its tasks are to be
// stopped is stored first, for whoever owns the share by then.
func (l *Leader) beginShardCancellation(j *cluster.Job) {
	assigned := l.coordinator.assignedJobs[j.Spec.ID]
	if assigned == nil || assigned.cancelling {
		return
	}
	l.cluster.BeginAbort(j)
	assigned.cancelling = true
	assigned.assignment.StopRequested = true
	assigned.storeRecord.MarkDirty(l.node.Now(), statestore.PriorityUrgent)
}

// shardCancellationProgress takes in that the owner starts no task of a withdrawn job any more, and
// tells those that run to stop. Whoever owns the share later reads the same from the
// store; so the user may be told once the tasks are gone, or surely will be in time.
func (l *Leader) shardCancellationProgress(shardName string, stopping shard.StoppingJob, now micro.Time) {
	assigned := l.coordinator.assignedJobs[stopping.Job]
	if assigned == nil || assigned.shardName != shardName || !assigned.cancelling {
		return
	}
	if stopping.UnreleasedAllocations == 0 {
		assigned.fencedZones = nil
	}
	if assigned.endRequested || stopping.UnreleasedAllocations > 0 && !l.tasksEndInTime(stopping.Zones, now) {
		return
	}
	if assigned.endRequested = true; stopping.UnreleasedAllocations > 0 {
		assigned.fencedZones = stopping.Zones
		l.updateFencedZones() // keepers there must not keep the tasks alive any longer
	}
	if assigned.job.State == cluster.Aborting {
		l.records.writeJobEnd(assigned.job, wire.JobAborted)
	}
}

// tasksEndInTime reports whether the tasks of a withdrawn job in these zones end in time by
// themselves, whatever keepers do from now on.
func (l *Leader) tasksEndInTime(zones []string, now micro.Time) bool {
	if l.node.Cfg.MustProveTermination() {
		return false
	}
	for _, zone := range zones {
		if limit := l.renewalBound.RenewalLimit(zone, now); limit > 0 &&
			limit+l.cluster.LeaseDuration+config.CancelSlack > now+l.node.Cfg.CancelTimeout() {
			return false
		}
	}
	return true
}

// addShardFencedZones adds the zones where tasks of withdrawn jobs may still run in shares.
func (l *Leader) addShardFencedZones(fenced map[string]bool) {
	if l.coordinator == nil {
		return
	}
	for _, assigned := range l.coordinator.assignedJobs {
		for _, zone := range assigned.fencedZones {
			fenced[zone] = true
		}
	}
}

// adjustShardReservation fits what a job takes of its team's limits to what its tasks still need:
// less as they end, and more, up to all of them, where the limits leave room.
func (l *Leader) adjustShardReservation(j *cluster.Job, needed int) {
	assigned := l.coordinator.assignedJobs[j.Spec.ID]
	if needed < 0 || assigned == nil || assigned.cancelling {
		return
	}
	l.cluster.ReleaseQuota(j, needed)
	if more := l.cluster.ReserveQuota(j, needed-assigned.assignment.MaxAllocations); more > 0 {
		assigned.assignment.MaxAllocations += more // counted first, and used only once it is stored
		assigned.storeRecord.MarkDirty(l.node.Now(), statestore.PriorityHigh)
	}
}
