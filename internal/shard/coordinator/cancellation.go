package coordinator

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// BeginCancellation begins the cancellation of an assigned job. The request to stop its tasks is
// stored in the assignment first, so that any later owner of the shard reads it, too.
func (c *Coordinator) BeginCancellation(job *cluster.Job) {
	assigned := c.assignedJobs[job.Spec.ID]
	if assigned == nil || assigned.cancelling {
		return
	}
	c.Cluster.BeginAbort(job)
	assigned.cancelling = true
	assigned.assignment.StopRequested = true
	assigned.storeRecord.MarkDirty(c.Now(), statestore.PriorityUrgent)
}

// cancellationProgress applies an owner's report that it starts no more tasks of a cancelled job and
// is stopping the running ones. A later owner of the shard reads the same request from the store, so
// the final state of the job may be written, and the job reported as aborted to the user, once all its
// allocations are released or certain to end in time.
func (c *Coordinator) cancellationProgress(shardName string, stopping shard.StoppingJob, now micro.Time) {
	assigned := c.assignedJobs[stopping.Job]
	if assigned == nil || assigned.shardName != shardName || !assigned.cancelling {
		return
	}
	if stopping.UnreleasedAllocations == 0 {
		assigned.fencedZones = nil
	}
	if assigned.endRequested || stopping.UnreleasedAllocations > 0 && !c.tasksEndInTime(stopping.Zones, now) {
		return
	}
	assigned.endRequested = true
	if stopping.UnreleasedAllocations > 0 {
		assigned.fencedZones = stopping.Zones
		c.Host.UpdateFencedZones() // lease proxies there must not renew leases, which would keep the tasks running
	}
	if assigned.job.State == cluster.Aborting {
		c.Host.WriteJobEnd(assigned.job, wire.JobAborted)
	}
}

// tasksEndInTime reports whether the leases of all tasks of a cancelled job in these zones expire
// within the cancel timeout, regardless of what lease proxies do from now on. It is false if the
// settings require proof that the tasks have terminated.
func (c *Coordinator) tasksEndInTime(zones []string, now micro.Time) bool {
	if c.Config.MustProveTermination() {
		return false
	}
	for _, zone := range zones {
		if limit := c.RenewalBound.RenewalLimit(zone, now); limit > 0 &&
			limit+c.Cluster.LeaseDuration+config.CancelSlack > now+c.Config.CancelTimeout() {
			return false
		}
	}
	return true
}

// AddFencedZones adds to fenced the zones in which tasks of cancelled jobs may still run in shards. A
// nil Coordinator adds none.
func (c *Coordinator) AddFencedZones(fenced map[string]bool) {
	if c == nil {
		return
	}
	for _, assigned := range c.assignedJobs {
		for _, zone := range assigned.fencedZones {
			fenced[zone] = true
		}
	}
}

// resumeCancellations resumes the cancellations of assigned jobs that an earlier leader began.
func (c *Coordinator) resumeCancellations() {
	for _, assigned := range c.assignedJobs {
		if assigned.assignment.StopRequested && assigned.job.State == cluster.Assigned {
			assigned.cancelling = true
			c.Cluster.BeginAbort(assigned.job)
		}
		if assigned.job.State == cluster.Aborted {
			// The job was reported as aborted to the user, and the zones of its tasks are not known yet.
			assigned.cancelling, assigned.endRequested, assigned.fencedZones = true, true, c.Config.Facts.Zones
		}
	}
}
