package model

import "notchmux.dev/notchmux/internal/micro"

// How long the model remembers what is over. A term may last for months: kept for
// good, the jobs and machines of a large fleet would fill the node's memory.
const (
	// keepJobs is for how long a job stays after its end. The store has it for good.
	keepJobs = 10 * micro.Minute
	// keepEnds is for how long the end of a job is remembered. A late copy of its
	// submission must not bring it back to life, and messages are late by minutes at
	// the most.
	keepEnds = 60 * micro.Minute
	// keepDeparted is for how long a returned machine is remembered, so that a late
	// report, or a list that lags, does not bring it back.
	keepDeparted = 60 * micro.Minute
)

// Prune forgets what has been over for long, and lists the jobs that it forgot. A
// job stays while a place of it is not proven free, or while settled says that
// something of it has still to be written.
func (c *Cluster) Prune(now micro.Time, settled func(*Job) bool) []*Job {
	var forgotten []*Job
	for id, j := range c.Jobs {
		if j.Over() && j.HeldN == 0 && now-c.Ends[id].At > keepJobs && settled(j) {
			delete(c.Jobs, id)
			forgotten = append(forgotten, j)
		}
	}
	c.pruneEnds(now)
	if now-c.Began > keepDeparted {
		clear(c.imageHints) // of machines that never came
	}
	for name, at := range c.Gone {
		if now-at > keepDeparted {
			delete(c.Gone, name)
		}
	}
	return forgotten
}

// pruneEnds forgets old ends, but those of jobs that are still here or that a job
// that waits names.
func (c *Cluster) pruneEnds(now micro.Time) {
	awaited := c.awaited()
	for id, end := range c.Ends {
		if now-end.At > keepEnds && c.Jobs[id] == nil && !awaited[id] {
			delete(c.Ends, id)
		}
	}
}

// awaited lists the jobs that those that wait for others name.
func (c *Cluster) awaited() map[string]bool {
	out := map[string]bool{}
	if c.AwaitingN == 0 {
		return out
	}
	for _, j := range c.Jobs {
		if j.State != Awaiting {
			continue
		}
		for _, id := range j.Spec.Needs {
			out[id] = true
		}
	}
	return out
}
