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
	// assignDelay is how long a job waits for capacity among the leader's own machines
	// before it goes to a shard, and partialAssignDelay before an array or a service goes
	// to one that has capacity for a part of it.
	assignDelay        = micro.Second
	partialAssignDelay = 15 * micro.Second
	// minReassignInterval is how long a job that came back from a shard stays with the leader:
	// it must not go to and fro between two sides neither of which serves it.
	minReassignInterval = 30 * micro.Second
	// maxAssignmentsPerRound is how many jobs are assigned in one round.
	maxAssignmentsPerRound = 24
)

// assignedJob is a job that was assigned to a shard.
type assignedJob struct {
	job          *cluster.Job
	shardName    string
	assignment   shard.Assignment
	storeRecord  *statestore.Record
	stored       bool     // the record is in the store
	cancelling   bool     // its cancellation is under way
	endRequested bool     // the end of the cancellation is being written
	fencedZones  []string // where tasks may still run, after its user was told

	recordsCopied bool // the owner's records hold all that the leader's do, and those are to be deleted

	createdUnder      uint64  // latest version of the shard's record under which the creation was tried
	deletionRequested bool    // its shard is taken back, and the record is to be deleted
	recall            *recall // nil: it was not recalled, or its owner has not released it yet

	handedBack     bool   // its owner deleted the record though the job is not over
	fenceVersion   uint64 // the shard's record must have a later version before it is the leader's again
	lookupInFlight bool   // whether the record is really gone is being looked up
}

// assignJobs gives jobs that wait to shards that have capacity for them.
func (c *Coordinator) assignJobs(now micro.Time) {
	open := c.shardsWithCapacity(now)
	if len(open) == 0 {
		return
	}
	remaining := maxAssignmentsPerRound
	for _, job := range c.assignableJobs() {
		for _, entry := range open {
			if remaining > 0 && c.assignToShard(entry, job, now) {
				remaining--
				break
			}
		}
	}
}

// assignableJobs lists the jobs that may be assigned, in the order in which they get capacity.
func (c *Coordinator) assignableJobs() []*cluster.Job {
	var jobs []*cluster.Job
	for job := range c.Cluster.PendingJobs {
		// One that was taken back with its shard is the leader's, and its former assignment still stored.
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

// acceptsTeam reports whether a shard takes jobs of a team.
func acceptsTeam(entry shard.Entry, team string) bool {
	return len(entry.Record.Teams) == 0 || slices.Contains(entry.Record.Teams, team)
}

// waitedLongEnough reports whether a job may be assigned to a shard by now, as far as its wait goes.
func waitedLongEnough(entry shard.Entry, job *cluster.Job, now micro.Time) bool {
	if job.UnassignedAt > 0 && now-job.UnassignedAt < minReassignInterval {
		return false
	}
	return slices.Contains(entry.Record.Teams, job.Spec.Team) || job.UnallocatedFor(now) >= assignDelay
}

// assignToShard assigns a job to a shard if that has capacity for it.
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

// largestEncodedForm is an assignment as it may be stored once its job comes back.
func largestEncodedForm(assignment shard.Assignment) shard.Assignment {
	assignment = assignment.BeginTransfer()
	assignment.RecallRequested = true
	return assignment
}

// storeAssignment keeps the record of an assignment.
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

// mayCreateAssignment reports whether an assignment to a shard may be created: a shard that is taken
// back gets none any more. Created under the version of its released record, one stayed in the store
// for good, of a job that was the leader's again.
func (c *Coordinator) mayCreateAssignment(shardName string) bool {
	entry, ok := c.table().Get(shardName)
	return ok && entry.HasOwner()
}

// assignmentPreconditions are further conditions of the write that creates an assignment. An
// earlier try without an answer may be carried out late, after the owner has deleted the
// record: with the condition on its key alone, a job whose user was told that it is
// cancelled was assigned once more, and ran. Later writes carry their key's version.
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

// assignmentDeleted takes in that an owner has deleted the record of an assignment. It
// does so once nothing of the job is left in the shard: after the job's end, or to hand
// it back. A late write can create the record of the former no more; for the latter the
// shard's record has to change first.
func (c *Coordinator) assignmentDeleted(assigned *assignedJob) {
	if assigned.job.IsTerminal() {
		c.dropAssignment(assigned)
		return
	}
	if assigned.mayDeleteAssignment() {
		return // by this leader, which goes on with the answer to that write
	}
	if entry, ok := c.table().Get(assigned.shardName); ok && !assigned.handedBack {
		assigned.handedBack, assigned.fenceVersion = true, entry.Version
	}
}

// dropAssignment makes a job the leader's own again, or lets go of one that is over.
func (c *Coordinator) dropAssignment(assigned *assignedJob) {
	if c.assignedJobs[assigned.job.Spec.ID] != assigned {
		return
	}
	delete(c.assignedJobs, assigned.job.Spec.ID)
	c.Records.Drop(assigned.storeRecord)
	assigned.storeRecord.ClearDirty()
	c.Cluster.Unassign(assigned.job, c.Now())
	c.Cluster.FinishJobRestore(assigned.job, c.Now()) // all of it may be done
	if assigned.cancelling && !assigned.endRequested && assigned.job.State == cluster.Aborting {
		c.Host.CancellationPending(assigned.job) // nothing of it is anywhere: its user may be told
	}
}

// applyAssignmentDeletions takes in what owners did to assignments.
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

// deletedBy reports whether an event in the store deleted the record as it is known.
func (assigned *assignedJob) deletedBy(event wire.Event) bool {
	record := assigned.storeRecord
	return record.Key == event.Delete && uint64(event.Version) > record.Version() &&
		(assigned.stored || record.Version() > 0)
}

// adjustReservation fits what a job takes of its team's quota to what its tasks still need:
// less as they end, and more, up to all of them, where the quota leaves capacity.
func (c *Coordinator) adjustReservation(job *cluster.Job, needed int) {
	assigned := c.assignedJobs[job.Spec.ID]
	if needed < 0 || assigned == nil || assigned.cancelling {
		return
	}
	c.Cluster.ReleaseQuota(job, needed)
	if more := c.Cluster.ReserveQuota(job, needed-assigned.assignment.MaxAllocations); more > 0 {
		assigned.assignment.MaxAllocations += more // counted first, and used only once it is stored
		assigned.storeRecord.MarkDirty(c.Now(), statestore.PriorityHigh)
	}
}
