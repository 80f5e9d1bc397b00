package coordinator

import (
	"slices"
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

const (
	// assignDelay is how long a job waits for capacity on the leader's own machines before it may
	// be assigned to a shard. After partialAssignDelay an array or a service may be assigned to a
	// shard that has capacity for some of its tasks only.
	assignDelay        = micro.Second
	partialAssignDelay = 15 * micro.Second
	// minReassignInterval is how long a job that returned from a shard stays with the leader, so
	// that it does not alternate between two owners that cannot run it.
	minReassignInterval = 30 * micro.Second
	// maxAssignmentsPerRound limits the jobs assigned by one call of assignJobs.
	maxAssignmentsPerRound = 24
)

// assignedJob is the leader's state of a job that is assigned to a shard.
type assignedJob struct {
	job          *cluster.Job
	shardName    string
	assignment   shard.Assignment
	storeRecord  *statestore.Record
	stored       bool     // the assignment record was stored
	cancelling   bool     // the job is being cancelled
	endRequested bool     // the final state of the cancelled job is being written, or is stored
	fencedZones  []string // zones where tasks may still run after the job was reported as aborted

	recordsCopied bool // the owner has copied all of the leader's records, which are to be deleted

	createdUnder      uint64  // latest version of the shard's record that a creating write was conditional on
	deletionRequested bool    // the shard was reclaimed, and the deletion of the assignment was requested
	recall            *recall // nil unless the job was recalled and its owner has released it

	handedBack     bool   // the owner deleted the assignment before the job had ended
	fenceVersion   uint64 // the job is the leader's only once the shard's record has a later version than this
	lookupInFlight bool   // a read that verifies the deletion of the assignment is in flight
}

// assignJobs assigns pending jobs to shards that have capacity for them.
func (c *Coordinator) assignJobs(now micro.Time) {
	shards := c.shardsWithCapacity(now)
	if len(shards) == 0 {
		return
	}
	remaining := maxAssignmentsPerRound
	for _, job := range c.assignableJobs() {
		for _, entry := range shards {
			if remaining > 0 && c.assignToShard(entry, job, now) {
				remaining--
				break
			}
		}
	}
}

// assignableJobs lists the jobs that may be assigned, in scheduling order.
func (c *Coordinator) assignableJobs() []*cluster.Job {
	var jobs []*cluster.Job
	for job := range c.Cluster.PendingJobs {
		// A job of a reclaimed shard is pending at the leader while its former assignment is still stored.
		if c.assignedJobs[job.Spec.ID] == nil && c.Cluster.CanTransfer(job) {
			jobs = append(jobs, job)
		}
	}
	sort.Slice(jobs, func(a, b int) bool {
		first, second := jobs[a], jobs[b]
		if first.PriorityLevel != second.PriorityLevel {
			return first.PriorityLevel < second.PriorityLevel
		}
		if first.EligibleSince != second.EligibleSince {
			return first.EligibleSince < second.EligibleSince
		}
		return first.Spec.ID < second.Spec.ID
	})
	return jobs
}

// acceptsTeam reports whether a shard accepts jobs of a team.
func acceptsTeam(entry shard.Entry, team string) bool {
	return len(entry.Record.Teams) == 0 || slices.Contains(entry.Record.Teams, team)
}

// waitedLongEnough reports whether a job has waited long enough to be assigned to a shard. A job of a
// team that the shard is reserved for need not wait for assignDelay.
func waitedLongEnough(entry shard.Entry, job *cluster.Job, now micro.Time) bool {
	if job.UnassignedAt > 0 && now-job.UnassignedAt < minReassignInterval {
		return false
	}
	return slices.Contains(entry.Record.Teams, job.Spec.Team) || job.UnallocatedFor(now) >= assignDelay
}

// assignToShard assigns a job to a shard if the shard accepts it and has capacity for it, and reports
// whether it did. If changes of the job are unwritten, it has them written first and reports false.
func (c *Coordinator) assignToShard(entry shard.Entry, job *cluster.Job, now micro.Time) bool {
	if !acceptsTeam(entry, job.Spec.Team) || !waitedLongEnough(entry, job, now) {
		return false
	}
	view := c.viewOf(entry.Name)
	total := job.UnfinishedTasks()
	fitting := c.tasksThatFit(view.freeCapacity, &job.Spec)
	divisible := job.Spec.Kind != wire.Gang && !job.Spec.Spread
	partial := job.UnallocatedFor(now) > partialAssignDelay && divisible && fitting > 0
	if fitting < total && !partial {
		return false
	}
	revision, persisted := c.Host.JobRevision(job)
	if !persisted {
		c.Host.PersistJob(job)
		return false
	}
	assignment := shard.NewAssignment(job.Spec, revision, int64(c.Wall()))
	if wire.JSONSize(largestEncodedForm(assignment)) > c.Host.MaxValueBytes() {
		return false
	}
	assigned := c.Cluster.Assign(job, entry.Name)
	if assigned == 0 {
		return false
	}
	c.deductCapacity(view, &job.Spec, min(assigned, fitting))
	assignment.MaxAllocations = assigned
	c.Log.Info(
		"job assigned", "job", job.Spec.ID, "shard", entry.Name, "owner", entry.Record.Owner.Node, "tasks", total,
		"at_once", assigned, "done", job.DoneTasks,
	)
	c.storeAssignment(entry.Name, job, assignment).storeRecord.MarkDirty(now, statestore.PriorityHigh)
	return true
}

// largestEncodedForm returns the assignment in its largest stored form, that of a recalled job in
// transfer, so that its size can be checked against the store's limit before the job is assigned.
func largestEncodedForm(assignment shard.Assignment) shard.Assignment {
	assignment = assignment.BeginTransfer()
	assignment.RecallRequested = true
	return assignment
}

// storeAssignment registers an assignment and its store record. The caller marks the record dirty, or
// sets its version if it is already stored.
func (c *Coordinator) storeAssignment(shardName string, job *cluster.Job, assignment shard.Assignment) *assignedJob {
	assigned := &assignedJob{
		job: job, shardName: shardName, assignment: assignment,
		storeRecord: c.Records.Record(shard.AssignmentKey(shardName, job.Spec.ID)),
	}
	c.assignedJobs[job.Spec.ID] = assigned
	assigned.storeRecord.Preconditions = func() []wire.Precondition { return c.assignmentPreconditions(assigned) }
	assigned.storeRecord.Build = func() (any, uint64) {
		if assigned.mayDeleteAssignment() {
			return nil, 0
		}
		if assigned.storeRecord.Version() == 0 && !assigned.stored && !c.mayCreateAssignment(shardName) {
			return statestore.NotReady, 0
		}
		if assigned.storeRecord.Version() > 0 || !assigned.stored && !job.IsTerminal() {
			return assigned.assignment, 0
		}
		c.assignmentDeleted(assigned)
		return statestore.NotReady, 0
	}
	assigned.storeRecord.OnCommitted = func(uint64) {
		if assigned.storeRecord.Version() == 0 {
			c.finishRecall(assigned)
			return
		}
		assigned.stored = true
		view := c.viewOf(shardName)
		view.assignedRevision = max(view.assignedRevision, assigned.storeRecord.Version())
	}
	return assigned
}

// mayCreateAssignment reports whether the record of an assignment to a shard may be created: not once
// the shard is released. A creation that was conditional on the version of the released record left an
// assignment in the store permanently, of a job that the leader owned again.
func (c *Coordinator) mayCreateAssignment(shardName string) bool {
	entry, ok := c.table().Get(shardName)
	return ok && entry.HasOwner()
}

// assignmentPreconditions returns the additional preconditions of the write that creates an
// assignment: the job has no stored final state, and the shard's record is unchanged. An earlier
// attempt without a response may be executed late, after the owner has deleted the record. With the
// precondition on the assignment's own key alone, a job that had been reported as aborted to its user
// was assigned again and ran. Later writes need no more than the version of the assignment's own key.
func (c *Coordinator) assignmentPreconditions(assigned *assignedJob) []wire.Precondition {
	if assigned.storeRecord.Version() > 0 {
		return nil
	}
	preconditions := []wire.Precondition{{Key: keys.JobEnd(assigned.job.Spec.ID)}}
	if entry, ok := c.table().Get(assigned.shardName); ok {
		preconditions = append(preconditions, entry.Precondition())
		assigned.createdUnder = max(assigned.createdUnder, entry.Version)
	}
	return preconditions
}

// assignmentDeleted handles the deletion of an assignment by the shard's owner. The owner deletes an
// assignment once nothing of the job is left in the shard: after the job has ended, or to hand the
// job back. After the job has ended a late write cannot create the record again; for a job that was
// handed back the shard's record has to change first to prevent that.
func (c *Coordinator) assignmentDeleted(assigned *assignedJob) {
	if assigned.job.IsTerminal() {
		c.dropAssignment(assigned)
		return
	}
	if assigned.mayDeleteAssignment() {
		return // deleted by this leader, which continues when that write is answered
	}
	if entry, ok := c.table().Get(assigned.shardName); ok && !assigned.handedBack {
		assigned.handedBack, assigned.fenceVersion = true, entry.Version
	}
}

// dropAssignment removes an assignment whose record is deleted. A job that has not ended is the
// leader's own again.
func (c *Coordinator) dropAssignment(assigned *assignedJob) {
	if c.assignedJobs[assigned.job.Spec.ID] != assigned {
		return
	}
	delete(c.assignedJobs, assigned.job.Spec.ID)
	c.Records.Drop(assigned.storeRecord)
	assigned.storeRecord.ClearDirty()
	c.Cluster.Unassign(assigned.job, c.Now())
	c.Cluster.FinishJobRestore(assigned.job, c.Now()) // all of its tasks may be done
	if assigned.cancelling && !assigned.endRequested && assigned.job.State == cluster.Aborting {
		c.Host.CancellationPending(assigned.job) // it has no allocation left: it may be reported as aborted
	}
}

// applyAssignmentDeletions applies store events that show which assignments owners have deleted.
func (c *Coordinator) applyAssignmentDeletions(events wire.Events) {
	for _, event := range events.Events {
		if event.Delete == "" {
			continue
		}
		_, id, ok := shard.ParseAssignmentKey(event.Delete)
		if assigned := c.assignedJobs[id]; ok && assigned != nil && assigned.deletedBy(event) {
			assigned.storeRecord.SetVersion(0)
			assigned.stored = true
			c.assignmentDeleted(assigned)
		}
	}
}

// deletedBy reports whether a store event deleted the version of the assignment record that this
// leader knows, or an assignment that it has not seen stored.
func (assigned *assignedJob) deletedBy(event wire.Event) bool {
	record := assigned.storeRecord
	return record.Key == event.Delete && uint64(event.Version) > record.Version() &&
		(assigned.stored || record.Version() > 0)
}

// adjustReservation adjusts the quota reserved for an assigned job to the number of allocations that
// its tasks still need. The reservation shrinks as tasks end, and grows up to that number as far as
// the team's quota allows.
func (c *Coordinator) adjustReservation(job *cluster.Job, needed int) {
	assigned := c.assignedJobs[job.Spec.ID]
	if needed < 0 || assigned == nil || assigned.cancelling {
		return
	}
	c.Cluster.ReleaseQuota(job, needed)
	if more := c.Cluster.ReserveQuota(job, needed-assigned.assignment.MaxAllocations); more > 0 {
		assigned.assignment.MaxAllocations += more // reserved now; the owner may use it once it is stored
		assigned.storeRecord.MarkDirty(c.Now(), statestore.PriorityHigh)
	}
}
