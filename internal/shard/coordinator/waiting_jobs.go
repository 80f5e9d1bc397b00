package coordinator

import (
	"cmp"
	"slices"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
)

// maxWaitingJobs limits the waiting jobs in the reply to an operator's command.
const maxWaitingJobs = 10

// DescribeEligibleOwners lists the owners that can serve a job that is pending at the leader, or gives
// the reason why none can. It returns "" if there are no shards, or for a nil Coordinator.
func (c *Coordinator) DescribeEligibleOwners(job *cluster.Job) string {
	if c == nil {
		return ""
	}
	catalog := c.dividedCatalog()
	if catalog == nil {
		return ""
	}
	return catalog.EligibleOwnersOf(job).String()
}

// detailReply adds the jobs that wait for the shard to the reply to a show command.
func (c *Coordinator) detailReply(command *shard.Command, reply shard.CommandReply) shard.DetailedReply {
	detailed := shard.DetailedReply{CommandReply: reply}
	if command.Operation == shard.OperationShow {
		detailed.WaitingJobs = c.waitingJobs(command.Shard)
	}
	return detailed
}

// waitingJobs lists the jobs that have waited longest at the leader and may use offers of a shard. Jobs
// that no owner can serve come first.
func (c *Coordinator) waitingJobs(shardName string) []shard.WaitingJob {
	catalog := c.dividedCatalog()
	if catalog == nil {
		return nil
	}
	now := c.Now()
	var waiting []shard.WaitingJob
	for _, job := range c.longestWaitingJobs() {
		eligible := catalog.EligibleOwnersOf(job)
		if job.PendingTasks() == 0 || eligible.ShardOffers[shardName] == 0 {
			continue
		}
		waiting = append(waiting, shard.WaitingJob{
			ID: job.Spec.ID, Team: job.Spec.Team, Tasks: job.PendingTasks(),
			WaitingS: int((now - job.WaitingSince) / micro.Second), ServedBy: eligible.ServedBy, UnservedReason: eligible.Reason,
		})
	}
	slices.SortStableFunc(waiting, func(a, b shard.WaitingJob) int {
		return cmp.Compare(min(len(a.ServedBy), 1), min(len(b.ServedBy), 1))
	})
	return waiting[:min(len(waiting), maxWaitingJobs)]
}

// longestWaitingJobs lists up to maxJobsPerScanStep jobs that are pending at the leader, longest
// waiting first.
func (c *Coordinator) longestWaitingJobs() []*cluster.Job {
	jobs := c.pendingJobs()
	slices.SortFunc(jobs, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(a.WaitingSince, b.WaitingSince), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return jobs[:min(len(jobs), maxJobsPerScanStep)]
}
