package coordinator

import (
	"cmp"
	"slices"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
)

// maxWaitingJobs is how many waiting jobs an operator is told of.
const maxWaitingJobs = 10

// DescribeEligibleOwners says which sides may serve a job that waits at the leader, or why none
// may; "": there are no shards. A nil Coordinator has none.
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

// detailReply adds to the answer to a command what an operator who looks at a shard is told of
// the jobs that wait for it.
func (c *Coordinator) detailReply(command *shard.Command, reply shard.CommandReply) shard.DetailedReply {
	detailed := shard.DetailedReply{CommandReply: reply}
	if command.Operation == shard.OperationShow {
		detailed.WaitingJobs = c.waitingJobs(command.Shard)
	}
	return detailed
}

// waitingJobs tells of the jobs that wait longest at the leader and may use machines of a
// shard, first of those that no side may serve.
func (c *Coordinator) waitingJobs(shardName string) []shard.WaitingJob {
	catalog := c.dividedCatalog()
	if catalog == nil {
		return nil
	}
	now := c.Now()
	var waiting []shard.WaitingJob
	for _, job := range c.longestWaitingJobs() {
		side := catalog.EligibleOwnersOf(job)
		if job.PendingTasks() == 0 || side.ShardOffers[shardName] == 0 {
			continue
		}
		waiting = append(waiting, shard.WaitingJob{
			ID: job.Spec.ID, Team: job.Spec.Team, Tasks: job.PendingTasks(),
			WaitingS: int((now - job.WaitingSince) / micro.Second), ServedBy: side.ServedBy, UnservedReason: side.Reason,
		})
	}
	slices.SortStableFunc(waiting, func(a, b shard.WaitingJob) int {
		return cmp.Compare(min(len(a.ServedBy), 1), min(len(b.ServedBy), 1))
	})
	return waiting[:min(len(waiting), maxWaitingJobs)]
}

// longestWaitingJobs lists the jobs that have waited longest at the leader, at most
// maxReviewedJobs.
func (c *Coordinator) longestWaitingJobs() []*cluster.Job {
	jobs := c.pendingJobs()
	slices.SortFunc(jobs, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(a.WaitingSince, b.WaitingSince), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return jobs[:min(len(jobs), maxJobsPerScanStep)]
}
