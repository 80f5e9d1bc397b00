package coordinator

import (
	"slices"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/shard/update"
)

// Capacity for services that change hands as a whole: what is kept, and what is requested.

// keepCapacityForMoves takes what is kept for services on their way to a shard out of what its
// owner just told is free. Once the owner knows of the assignment, what it tells is net of that.
func (c *Coordinator) keepCapacityForMoves(shardName string, view *shardView, assignmentRevision uint64) {
	for _, move := range c.moves {
		if move.toLeader || move.shardName != shardName {
			continue
		}
		assigned := c.assignedJobs[move.job.Spec.ID]
		if assigned != nil && assigned.stored && assignmentRevision >= assigned.storeRecord.Version() {
			c.endMove(move, "assigned")
			continue
		}
		move.fits = c.tasksThatFit(view.freeCapacity, &move.job.Spec) >= move.tasks
		c.deductCapacity(view, &move.job.Spec, move.tasks)
	}
}

// machinesForAll finds machines of the leader's with free capacity for so many tasks of a job, by its
// rules on zones; none: there are not enough. What another job waits for is left out, and what is
// kept for one.
func (c *Coordinator) machinesForAll(job *cluster.Job, tasks int, now micro.Time) []*cluster.Machine {
	free := c.usableMachines(job, now)
	capacity := make([]shard.FreeCapacity, 0, len(free))
	for _, each := range free {
		capacity = append(capacity, each.FreeCapacity)
	}
	zones := c.newZoneAllowance(capacity, &job.Spec)
	var machines []*cluster.Machine
	for _, each := range free {
		count := zones.take(each.Zone, min(c.tasksPerMachine(&each.FreeCapacity, &job.Spec), tasks))
		if count == 0 {
			continue
		}
		machines = append(machines, each.Machine)
		if tasks -= count; tasks == 0 {
			return machines
		}
	}
	return nil
}

// usableMachines lists the machines of the leader's with free capacity, but for those that the scheduler
// avoids for a job.
func (c *Coordinator) usableMachines(job *cluster.Job, now micro.Time) []update.FreeMachine {
	return slices.DeleteFunc(update.FreeMachines(c.Cluster, now), func(free update.FreeMachine) bool {
		return job.FailedOn[free.Machine.Name] || free.Machine.Type.GPUs > 0 && job.Spec.GPUs == 0
	})
}

// moveDemands lists the machines that services placed in part lack on the other side.
func (c *Coordinator) moveDemands() []autoscaler.ShardDemand {
	var demands []autoscaler.ShardDemand
	for _, service := range c.movable {
		job := service.job
		if c.moves[job.Spec.ID] != nil || job.State != cluster.Active && job.State != cluster.Assigned {
			continue
		}
		inShard := c.OwnsOffer
		if service.assigned == nil {
			inShard = func(offer autoscaler.InstanceOffer) bool { return c.ShardTakesJob(job, offer) }
		}
		if missing := job.UnfinishedTasks() - c.fittingOnOtherSide(service); missing > 0 {
			demands = append(demands, autoscaler.ShardDemand{Job: job, Tasks: missing, InShard: inShard})
		}
	}
	return demands
}

// fittingOnOtherSide is how many of a service's tasks fit the other side as it is. It is 0 for one that
// is spread: what it lacks is in a zone that the count does not tell.
func (c *Coordinator) fittingOnOtherSide(service partlyPlaced) int {
	spec, now := &service.job.Spec, c.Now()
	if spec.Spread || spec.OneZone {
		return 0
	}
	if service.assigned != nil {
		return c.tasksThatFit(update.FreeCapacity(c.Cluster, now), spec)
	}
	most := 0
	for _, entry := range c.shardsWithCapacity(now) {
		if acceptsTeam(entry, spec.Team) {
			most = max(most, c.tasksThatFit(c.viewOf(entry.Name).freeCapacity, spec))
		}
	}
	return most
}
