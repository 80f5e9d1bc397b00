package coordinator

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

const (
	// unservedScanInterval is the minimum time between two steps of a scan.
	unservedScanInterval = micro.Second
	// maxJobsPerScanStep limits the jobs that one step checks: with more jobs, a scan takes several steps.
	maxJobsPerScanStep = 300
)

// UnservedJobScan periodically counts the pending jobs that no owner can serve. It belongs to the
// goroutine of the leader's event loop.
type UnservedJobScan struct {
	coordinator *Coordinator
	steppedAt   micro.Time
	remaining   []*cluster.Job // jobs that the current scan has not checked yet
	unserved    int            // unserved jobs that the current scan has found
}

// NewUnservedJobScan returns a scan of the jobs that are pending at the leader; nil for a nil
// Coordinator.
func NewUnservedJobScan(c *Coordinator) *UnservedJobScan {
	if c == nil {
		return nil
	}
	return &UnservedJobScan{coordinator: c}
}

// Advance checks up to maxJobsPerScanStep jobs if a step is due. complete reports that all jobs of
// the scan have been checked; unserved is then their total, and the next step starts a new scan. A
// nil UnservedJobScan does nothing.
func (s *UnservedJobScan) Advance(now micro.Time) (unserved int, complete bool) {
	if s == nil || now-s.steppedAt < unservedScanInterval {
		return 0, false
	}
	s.steppedAt = now
	if len(s.remaining) == 0 {
		s.unserved = 0
		s.remaining = s.coordinator.pendingJobs()
	}
	catalog := s.coordinator.dividedCatalog()
	if catalog == nil {
		s.remaining = nil
		return 0, true
	}
	step := s.remaining[:min(len(s.remaining), maxJobsPerScanStep)]
	s.remaining = s.remaining[len(step):]
	for _, job := range step {
		if job.PendingTasks() > 0 && !catalog.Served(job) {
			s.unserved++
		}
	}
	return s.unserved, len(s.remaining) == 0
}

// dividedCatalog returns the catalog divided by the current shards; nil if there are no shards or
// the catalog is not known yet.
func (c *Coordinator) dividedCatalog() *DividedCatalog {
	if c.table().Len() == 0 || len(c.Cluster.CatalogOrder) == 0 {
		return nil
	}
	return DivideCatalog(c.Cluster.CatalogOrder, c.table(), c.Cluster.HandoverSupported)
}

// pendingJobs lists the jobs that are pending at the leader, in no particular order.
func (c *Coordinator) pendingJobs() []*cluster.Job {
	jobs := make([]*cluster.Job, 0, len(c.Cluster.PendingJobs))
	for job := range c.Cluster.PendingJobs {
		jobs = append(jobs, job)
	}
	return jobs
}
