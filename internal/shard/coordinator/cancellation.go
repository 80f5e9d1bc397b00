package coordinator

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// BeginCancellation begins the cancellation of a job that was assigned. That its tasks are to
// be stopped is stored first, for whoever owns the shard by then.
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

// cancellationProgress takes in that the owner starts no task of a cancelled job any more, and
// tells those that run to stop. Whoever owns the shard later reads the same from the
// store; so the user may be told once the tasks are gone, or surely will be in time.
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
		c.Host.UpdateFencedZones() // lease proxies there must not keep the tasks alive any longer
	}
	if assigned.job.State == cluster.Aborting {
		c.Host.WriteJobEnd(assigned.job, wire.JobAborted)
	}
}

// tasksEndInTime reports whether the tasks of a cancelled job in these zones end in time by
// themselves, whatever lease proxies do from now on.
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

// AddFencedZones adds the zones where tasks of cancelled jobs may still run in shards. A nil
// Coordinator adds none.
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

// resumeCancellations goes on with cancellations that the leader before had begun.
func (c *Coordinator) resumeCancellations() {
	for _, assigned := range c.assignedJobs {
		if assigned.assignment.StopRequested && assigned.job.State == cluster.Assigned {
			assigned.cancelling = true
			c.Cluster.BeginAbort(assigned.job)
		}
		if assigned.job.State == cluster.Aborted {
			// Its user was told, and where its tasks run is not known yet.
			assigned.cancelling, assigned.endRequested, assigned.fencedZones = true, true, c.Config.Facts.Zones
		}
	}
}
