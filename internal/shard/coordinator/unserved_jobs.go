package coordinator

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

const (
	// unservedScanInterval is the least time between the parts of a review.
	unservedScanInterval = micro.Second
	// maxJobsPerScanStep is how many jobs a part looks at: with more, a review takes several.
	maxJobsPerScanStep = 300
)

// UnservedJobScan counts the waiting jobs that no side may serve. The goroutine of the leader's
// loop owns it.
type UnservedJobScan struct {
	coordinator *Coordinator
	steppedAt   micro.Time
	remaining   []*cluster.Job // jobs that the review under way has not looked at
	unserved    int            // jobs that it has found
}

// NewUnservedJobScan makes a review of the jobs that wait at the leader. A nil Coordinator has none.
func NewUnservedJobScan(c *Coordinator) *UnservedJobScan {
	if c == nil {
		return nil
	}
	return &UnservedJobScan{coordinator: c}
}

// Advance looks at some more jobs if it is time to. Once all were looked at, it says how many
// no side may serve; the next call begins anew. A nil ServingReview does nothing.
func (r *UnservedJobScan) Advance(now micro.Time) (unserved int, complete bool) {
	if r == nil || now-r.steppedAt < unservedScanInterval {
		return 0, false
	}
	r.steppedAt = now
	if len(r.remaining) == 0 {
		r.unserved = 0
		r.remaining = r.coordinator.pendingJobs()
	}
	catalog := r.coordinator.dividedCatalog()
	if catalog == nil {
		r.remaining = nil
		return 0, true
	}
	part := r.remaining[:min(len(r.remaining), maxJobsPerScanStep)]
	r.remaining = r.remaining[len(part):]
	for _, job := range part {
		if job.PendingTasks() > 0 && !catalog.Served(job) {
			r.unserved++
		}
	}
	return r.unserved, len(r.remaining) == 0
}

// dividedCatalog is the catalog by shards; nil where there is nothing to tell: no shard, or no
// catalog yet.
func (c *Coordinator) dividedCatalog() *DividedCatalog {
	if c.table().Len() == 0 || len(c.Cluster.CatalogOrder) == 0 {
		return nil
	}
	return DivideCatalog(c.Cluster.CatalogOrder, c.table(), c.Cluster.HandoverSupported)
}

// pendingJobs lists the jobs that wait at the leader.
func (c *Coordinator) pendingJobs() []*cluster.Job {
	jobs := make([]*cluster.Job, 0, len(c.Cluster.PendingJobs))
	for job := range c.Cluster.PendingJobs {
		jobs = append(jobs, job)
	}
	return jobs
}
