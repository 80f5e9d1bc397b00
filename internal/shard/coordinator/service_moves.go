package coordinator

import (
	"cmp"
	"math"
	"slices"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/shard/update"
	"notchmux.dev/notchmux/wire"
)

// A service some of whose replicas run on one side, while no capacity comes up there for the rest,
// changes hands as a whole once the other side has capacity for all of it. Its replicas are stopped
// for that, with time for a checkpoint. From the decision until it is placed on the other side, or
// that has failed, capacity and quota are kept for it: without, services were stopped in
// vain, again and again. Tasks of other jobs end by themselves.
//
// What is kept is in this leader's memory alone: it gives jobs to shards, and places on its own
// machines. The next leader finds a service that is placed in part, or waits, or is recalled, and goes
// on as with any other.

const (
	// serviceMoveTimeout is for how long, beside the time that a checkpoint takes, all is kept at most.
	serviceMoveTimeout = 2 * micro.Minute
	// servicePlacementMargin is for how long all is kept once nothing of the service is left to stop.
	servicePlacementMargin = 30 * micro.Second
	// minServiceMoveInterval is between two tries to move a service at least, and how long it stays
	// where it came to; each try doubles it, up to maxServiceMoveInterval.
	minServiceMoveInterval = 5 * micro.Minute
	maxServiceMoveInterval = 40 * micro.Minute
	// serviceMoveWindow is how long a try waits for capacity, which is requested meanwhile: where some
	// of the machines are never granted, the others would be idle for good.
	serviceMoveWindow = 2 * micro.Minute
	// moveWindowGap is after how long without need a try begins anew.
	moveWindowGap = 10 * micro.Second
	// maxPartialReportAge is how old an owner's word that a service is placed in part may be.
	maxPartialReportAge = 3 * micro.Second
)

// serviceMove is a service that changes hands as a whole, and what is kept for it.
type serviceMove struct {
	job       *cluster.Job
	tasks     int
	shardName string // where it goes to, or comes back from
	toLeader  bool
	beganAt   micro.Time
	clearedAt micro.Time         // when nothing of it was left on the side that it leaves; 0: not yet
	fits      bool               // by the last word of the owner of the shard where it goes to
	machines  []*cluster.Machine // the leader's, kept for one that comes back
}

// moveTries are how often it was tried to move a service.
type moveTries struct {
	windowSince micro.Time // when the present try began
	neededAt    micro.Time // when the service was last found placed in part
	interval    micro.Time // between the last try and the next
	nextAt      micro.Time // when that may begin
}

// partlyPlaced is a service that is placed in part, and may be moved.
type partlyPlaced struct {
	job      *cluster.Job
	assigned *assignedJob // nil: the leader has it
}

// moveServices brings services that are placed in part to where all of their replicas fit.
func (c *Coordinator) moveServices(now micro.Time) {
	for _, move := range c.moves {
		c.reconcileMove(move, now)
	}
	c.forgetMoveTries()
	c.movable = c.movableServices(now)
	for _, service := range c.movable {
		if service.assigned == nil {
			c.moveToShard(service.job, now)
		} else {
			c.moveToLeader(service.assigned, now)
		}
	}
}

// movableServices lists the services that are placed in part and whose next try is due, in the order
// in which they are moved.
func (c *Coordinator) movableServices(now micro.Time) []partlyPlaced {
	if !c.Cluster.ContinuesJobs {
		return nil // the other side could not go on with them
	}
	var services []partlyPlaced
	for job := range c.Cluster.PendingJobs {
		if c.waitsInPart(job, now) && c.mayTryMove(job, now) {
			services = append(services, partlyPlaced{job: job})
		}
	}
	for _, assigned := range c.assignedJobs {
		if c.waitsInPartInShard(assigned, now) && c.mayTryMove(assigned.job, now) {
			services = append(services, partlyPlaced{job: assigned.job, assigned: assigned})
		}
	}
	slices.SortFunc(services, func(a, b partlyPlaced) int {
		return cmp.Or(cmp.Compare(a.job.PriorityLevel, b.job.PriorityLevel), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	return services
}

// waitsInPart reports whether a service of the leader's has waited for long with some of its
// replicas in place, and its team has quota for all of them: else the rest waits for that.
func (c *Coordinator) waitsInPart(job *cluster.Job, now micro.Time) bool {
	stayed := job.UnassignedAt == 0 || now-job.UnassignedAt >= minServiceMoveInterval
	return stayed && c.moves[job.Spec.ID] == nil && update.PlacedInPart(c.Cluster, job, now) &&
		job.WithinQuota(job.UnfinishedTasks()-job.AllocationCount)
}

// waitsInPartInShard reports the same of a service in a shard, as its owner told of late.
func (c *Coordinator) waitsInPartInShard(assigned *assignedJob, now micro.Time) bool {
	job := assigned.job
	if assigned.partlyPlacedAt == 0 || now-assigned.partlyPlacedAt > maxPartialReportAge || !assigned.heldByOwner() ||
		assigned.assignment.RecallRequested || c.moves[job.Spec.ID] != nil {
		return false
	}
	stay := c.Wall() - micro.Time(assigned.assignment.AssignedAt)
	stayed := assigned.assignment.Continued == nil || stay >= minServiceMoveInterval
	return stayed && job.ReservedTasks >= job.UnfinishedTasks()
}

// notePartlyPlaced takes in which services of a shard are placed in part.
func (c *Coordinator) notePartlyPlaced(shardName string, services []string, now micro.Time) {
	for _, id := range services {
		assigned := c.assignedJobs[id]
		if assigned != nil && assigned.shardName == shardName && assigned.job.Spec.Kind == wire.Service {
			assigned.partlyPlacedAt = now
		}
	}
}

// mayTryMove reports whether a try to move a service may begin, or is under way.
func (c *Coordinator) mayTryMove(job *cluster.Job, now micro.Time) bool {
	tries := c.moveTries[job.Spec.ID]
	if tries == nil {
		tries = &moveTries{windowSince: now, neededAt: now}
		c.moveTries[job.Spec.ID] = tries
	}
	if now < tries.nextAt {
		return false
	}
	if tries.windowSince < tries.nextAt || now-tries.neededAt > moveWindowGap {
		tries.windowSince = now
	}
	if tries.neededAt = now; now-tries.windowSince > serviceMoveWindow {
		tries.backOff(now)
		return false
	}
	return true
}

// backOff ends a try, whatever came of it.
func (t *moveTries) backOff(now micro.Time) {
	if now-t.nextAt > maxServiceMoveInterval {
		t.interval = 0 // it was placed for long since
	}
	t.interval = min(max(2*t.interval, minServiceMoveInterval), maxServiceMoveInterval)
	t.nextAt = now + t.interval
}

// forgetMoveTries forgets the tries of jobs that are over.
func (c *Coordinator) forgetMoveTries() {
	for id := range c.moveTries {
		if job := c.Cluster.Jobs[id]; job == nil || job.IsTerminal() {
			delete(c.moveTries, id)
		}
	}
}

// moveUnderWay reports whether a service is on its way to a shard, or from it: one at a time.
func (c *Coordinator) moveUnderWay(shardName string) bool {
	for _, move := range c.moves {
		if move.shardName == shardName {
			return true
		}
	}
	return false
}

// moveToShard stops a service's replicas if a shard has capacity for all of it, which is kept
// until the service is assigned.
func (c *Coordinator) moveToShard(job *cluster.Job, now micro.Time) {
	tasks := job.UnfinishedTasks()
	for _, entry := range c.shardsWithCapacity(now) {
		view := c.viewOf(entry.Name)
		if c.moveUnderWay(entry.Name) || !acceptsTeam(entry, job.Spec.Team) ||
			c.tasksThatFit(view.freeCapacity, &job.Spec) < tasks {
			continue
		}
		if !c.mayBeAssignedOnceStopped(job) || !c.Cluster.HoldQuota(job, tasks) {
			return
		}
		c.deductCapacity(view, &job.Spec, tasks)
		job.ChangingHands = true
		c.beginMove(&serviceMove{job: job, tasks: tasks, shardName: entry.Name, fits: true, beganAt: now})
		for _, allocation := range job.Allocations() {
			c.Cluster.StopAllocation(allocation, "its service goes to a shard", job.Spec.CheckpointDurationS, now)
		}
		return
	}
}

// mayBeAssignedOnceStopped reports whether nothing will keep a service from being assigned: all of its
// records are stored, in the form that an owner reads, and its assignment is no larger than a
// value in the store may be.
func (c *Coordinator) mayBeAssignedOnceStopped(job *cluster.Job) bool {
	if _, persisted := c.Host.JobRevision(job); !persisted {
		c.Host.PersistJob(job)
		return false
	}
	largest := shard.NewAssignment(job.Spec, math.MaxInt64, math.MaxInt64)
	largest.MaxAllocations, largest.StopRequested, largest.RecallRequested = len(job.Tasks), true, true
	return wire.JSONSize(largest) <= c.Host.MaxValueBytes()
}

// moveToLeader recalls a service from a shard if the leader's machines have capacity for all of it,
// which is kept until the service is placed on them.
func (c *Coordinator) moveToLeader(assigned *assignedJob, now micro.Time) {
	job := assigned.job
	entry, ok := c.table().Get(assigned.shardName)
	if !ok || entry.Record.State != shard.Owned || c.moveUnderWay(entry.Name) || !c.mayBeRecalled(assigned) {
		return
	}
	tasks := job.UnfinishedTasks()
	machines := c.machinesForAll(job, tasks, now)
	if len(machines) == 0 {
		return
	}
	job.MachinesKept = true
	for _, machine := range machines {
		machine.ReservedFor, machine.ReservedAt, machine.KeptForMove = job, now, true
	}
	c.beginMove(&serviceMove{
		job: job, tasks: tasks, shardName: assigned.shardName, toLeader: true, beganAt: now, machines: machines,
	})
	c.recallJob(assigned, "its replicas fit the leader's machines", now)
}

// mayBeRecalled reports whether the mark of a recall can be stored.
func (c *Coordinator) mayBeRecalled(assigned *assignedJob) bool {
	marked := assigned.assignment
	marked.RecallRequested, marked.StopRequested = true, true
	_, persisted := c.Host.JobRevision(assigned.job)
	return persisted && wire.JSONSize(marked) <= c.Host.MaxValueBytes()
}

func (c *Coordinator) beginMove(move *serviceMove) {
	c.moves[move.job.Spec.ID] = move
	c.moveTries[move.job.Spec.ID].backOff(move.beganAt)
	c.Log.Info(
		"service stopped to be moved", "job", move.job.Spec.ID, "shard", move.shardName, "to_leader", move.toLeader,
		"replicas", move.tasks,
	)
}

// reconcileMove brings a move on, or ends it.
func (c *Coordinator) reconcileMove(move *serviceMove, now micro.Time) {
	job := move.job
	timeout := serviceMoveTimeout + micro.FromSeconds(job.Spec.CheckpointDurationS)
	switch {
	case job.State != cluster.Active && job.State != cluster.Assigned:
		c.endMove(move, "the service is over")
	case now-move.beganAt > timeout || move.clearedAt > 0 && now-move.clearedAt > servicePlacementMargin:
		c.endMove(move, "not placed in time")
	case move.toLeader:
		c.reconcileMoveToLeader(move, now)
	case c.assignedJobs[job.Spec.ID] != nil: // until its owner tells what is free beside it
	case job.AllocationCount == 0:
		c.reconcileMoveToShard(move, now)
	}
}

// reconcileMoveToLeader keeps the machines until the service is back, and placed.
func (c *Coordinator) reconcileMoveToLeader(move *serviceMove, now micro.Time) {
	if move.job.State != cluster.Active {
		return
	}
	if move.clearedAt == 0 {
		move.clearedAt = now
	}
	if move.job.PendingTasks() == 0 {
		c.endMove(move, "placed")
	}
}

// reconcileMoveToShard assigns the service, nothing of which is left on the leader's machines.
func (c *Coordinator) reconcileMoveToShard(move *serviceMove, now micro.Time) {
	if move.clearedAt == 0 {
		move.clearedAt = now
	}
	entry, ok := c.table().Get(move.shardName)
	recent := now-c.viewOf(move.shardName).capacityAt < maxCapacityAge
	if ok && entry.Record.State == shard.Owned && recent && move.fits {
		c.assignWithRecords(entry, move.job, 0, now) // its capacity is kept, and deducted already
	}
}

// endMove gives back what was kept for a service and is not used.
func (c *Coordinator) endMove(move *serviceMove, reason string) {
	delete(c.moves, move.job.Spec.ID)
	move.job.ChangingHands, move.job.MachinesKept = false, false
	for _, machine := range move.machines {
		if machine.KeptForMove && machine.ReservedFor == move.job {
			machine.KeptForMove, machine.ReservedFor, machine.UnusedReservationSince = false, nil, 0
		}
	}
	c.Cluster.ReleaseQuotaHold(move.job)
	c.Cluster.ScheduleSoon()
	c.Log.Info("move of a service ended", "job", move.job.Spec.ID, "shard", move.shardName, "reason", reason)
}
