package coordinator

import (
	"slices"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/shard/update"
	"notchmux.dev/notchmux/wire"
)

// A service some of whose replicas run on one side, while no capacity comes up there for the rest,
// changes hands as a whole: once the other side has free capacity for all of it, its replicas are
// stopped, with time for a checkpoint. Until then it keeps what it has. Tasks of other jobs end
// by themselves.

const (
	// minServiceMoveInterval is how long a service stays at least where it came to by then.
	minServiceMoveInterval = 5 * micro.Minute
	// serviceMoveHold is for how long a service whose replicas are stopped is not placed anew by the
	// leader: it goes to a shard meanwhile.
	serviceMoveHold = 20 * micro.Second
	// Machines for a whole service are requested on the other side for partialRequestTime of each
	// partialRequestPeriod: where some of them are never granted, the others would be idle for good.
	partialRequestTime   = 2 * micro.Minute
	partialRequestPeriod = 10 * micro.Minute
	// maxPartialReportAge is how old an owner's word that a service is placed in part may be.
	maxPartialReportAge = 3 * micro.Second
)

// partialStay is how long a service in a shard has been placed in part, as its owner told.
type partialStay struct {
	since, reportedAt micro.Time
}

// notePartlyPlaced takes in which services of a shard are placed in part.
func (c *Coordinator) notePartlyPlaced(shardName string, services []string, now micro.Time) {
	for _, id := range services {
		assigned := c.assignedJobs[id]
		if assigned == nil || assigned.shardName != shardName {
			continue
		}
		if now-assigned.partial.reportedAt > maxPartialReportAge {
			assigned.partial.since = now
		}
		assigned.partial.reportedAt = now
	}
}

// movePartialServices moves services that are placed in part to where all of their replicas fit.
func (c *Coordinator) movePartialServices(now micro.Time) {
	if !c.Cluster.ContinuesJobs {
		return
	}
	for job := range c.Cluster.PendingJobs {
		if entry, ok := c.shardForWhole(job, now); c.waitsInPart(job, now) && ok {
			c.stopToMove(job, entry, now)
		}
	}
	for _, assigned := range c.assignedJobs {
		if c.waitsInPartInShard(assigned, now) && c.fitsLeader(&assigned.job.Spec, now) {
			c.recallJob(assigned, "its replicas fit the leader's machines", now)
		}
	}
}

// waitsInPart reports whether a service of the leader's has waited for long with some of its
// replicas in place, and may be moved.
func (c *Coordinator) waitsInPart(job *cluster.Job, now micro.Time) bool {
	if job.Spec.Kind != wire.Service || job.State != cluster.Active || job.AllocationCount == 0 || job.InBackoff(now) {
		return false
	}
	if now-job.WaitingSince < shard.PartialServiceDelay || !withinQuota(job) ||
		job.UnassignedAt > 0 && now-job.UnassignedAt < minServiceMoveInterval {
		return false
	}
	return !slices.ContainsFunc(job.Allocations(), func(allocation *cluster.Allocation) bool { return allocation.Stopping })
}

// withinQuota reports whether a job's team has quota for the tasks that wait: else they wait for that.
func withinQuota(job *cluster.Job) bool {
	return job.Team == nil || job.Team.WithinLimit(job.Spec.CPUs, job.Spec.GPUs, job.PendingTasks())
}

// waitsInPartInShard reports the same of a service in a shard.
func (c *Coordinator) waitsInPartInShard(assigned *assignedJob, now micro.Time) bool {
	if !assigned.heldByOwner() || assigned.assignment.RecallRequested || assigned.partial.reportedAt == 0 ||
		now-assigned.partial.reportedAt > maxPartialReportAge {
		return false
	}
	stay := c.Wall() - micro.Time(assigned.assignment.AssignedAt)
	return assigned.assignment.Continued == nil || stay > minServiceMoveInterval
}

// shardForWhole finds a shard with free capacity for all of a job's tasks.
func (c *Coordinator) shardForWhole(job *cluster.Job, now micro.Time) (shard.Entry, bool) {
	for _, entry := range c.shardsWithCapacity(now) {
		fitting := c.tasksThatFit(c.viewOf(entry.Name).freeCapacity, &job.Spec)
		if acceptsTeam(entry, job.Spec.Team) && fitting >= len(job.Tasks) {
			return entry, true
		}
	}
	return shard.Entry{}, false
}

// fitsLeader reports whether the leader's machines have free capacity for all of a job's tasks.
func (c *Coordinator) fitsLeader(spec *wire.Job, now micro.Time) bool {
	return c.tasksThatFit(update.FreeCapacity(c.Cluster, now), spec) >= spec.Tasks
}

// stopToMove stops a service's replicas: once they are gone it is assigned to the shard.
func (c *Coordinator) stopToMove(job *cluster.Job, entry shard.Entry, now micro.Time) {
	c.deductCapacity(c.viewOf(entry.Name), &job.Spec, len(job.Tasks))
	c.Log.Info("service stopped to be moved", "job", job.Spec.ID, "shard", entry.Name, "replicas", job.AllocationCount)
	job.HeldUntil = now + serviceMoveHold
	c.stopReplicas(job.Allocations())
}

// partialDemands lists the machines that services placed in part need on the other side.
func (c *Coordinator) partialDemands() []autoscaler.ShardDemand {
	now := c.Now()
	if !c.Cluster.ContinuesJobs {
		return nil
	}
	var demands []autoscaler.ShardDemand
	for job := range c.Cluster.PendingJobs {
		if c.waitsInPart(job, now) && requestsNow(job.WaitingSince+shard.PartialServiceDelay, now) {
			inShard := func(offer autoscaler.InstanceOffer) bool { return c.ShardTakesJob(job, offer) }
			demands = append(demands, autoscaler.ShardDemand{Job: job, Tasks: len(job.Tasks), InShard: inShard})
		}
	}
	for _, assigned := range c.assignedJobs {
		if c.waitsInPartInShard(assigned, now) && requestsNow(assigned.partial.since, now) {
			demands = append(
				demands, autoscaler.ShardDemand{Job: assigned.job, Tasks: len(assigned.job.Tasks), InShard: c.OwnsOffer},
			)
		}
	}
	return demands
}

// requestsNow reports whether machines are requested on the other side, for a wait that began then.
func requestsNow(since, now micro.Time) bool {
	return (now-since)%partialRequestPeriod < partialRequestTime
}
