package coordinator

import (
	"errors"
	"slices"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// What a Coordinator's requests bring back to the loop.

// sessionsRead says which controllers have a session.
type sessionsRead struct {
	coordinator *Coordinator
	page        wire.Page
	announced   wire.Page
	err         error
}

// Apply takes the sessions in. After an error, the next reading decides.
func (e sessionsRead) Apply() {
	sessions := &e.coordinator.sessions
	sessions.readInFlight = false
	if e.err != nil {
		e.coordinator.Log.Debug("sessions not read", "err", e.err)
		return
	}
	sessions.known = true
	sessions.current, sessions.continuing = shard.Sessions{}, map[string]bool{}
	for _, item := range e.announced.Items {
		var announcement shard.Announcement
		e.decode(item, &announcement)
		node := item.Key[len(shard.AnnouncementPrefix):]
		sessions.continuing[node] = slices.Contains(announcement.Features, shard.HandoverFeature)
	}
	for _, item := range e.page.Items { // what a controller announces now counts
		var record election.Record
		e.decode(item, &record)
		node := item.Key[len(shard.SessionPrefix):]
		sessions.current[node] = item.Version
		announced := sessions.continuing[node]
		sessions.continuing[node] = slices.Contains(record.Features, shard.HandoverFeature)
		if announced && !sessions.continuing[node] {
			e.coordinator.withdrawAnnouncement(node, e.announced)
		}
	}
	e.coordinator.Cluster.HandoverSupported = e.coordinator.allContinueJobs()
}

// withdrawAnnouncement deletes what a controller announced that has a session without it now: it runs
// an earlier version, and must not count for the later one while it is away.
func (c *Coordinator) withdrawAnnouncement(node string, announced wire.Page) {
	for _, item := range announced.Items {
		if item.Key != shard.AnnouncementKey(node) {
			continue
		}
		record := c.Records.Record(item.Key)
		record.SetVersion(uint64(item.Version))
		record.Build = func() (any, uint64) { return nil, 0 }
		record.MarkDirty(c.Now(), statestore.PriorityHigh)
	}
}

// decode reads a record; what cannot be read announces nothing.
func (e sessionsRead) decode(item wire.Item, into any) {
	if err := wire.Unmarshal(item.Value, into); err != nil {
		e.coordinator.Log.Debug("session not understood", "key", item.Key, "err", err)
	}
}

// recordWritten says what came of a transaction on a shard's record.
type recordWritten struct {
	done func(error)
	err  error
}

// Apply tells who asked for the transaction.
func (e recordWritten) Apply() { e.done(e.err) }

// recordVisible says that the table had time to show what a transaction changed.
type recordVisible struct {
	coordinator *Coordinator
	shardName   string
}

// Apply lets the shard be changed again.
func (e recordVisible) Apply() { delete(e.coordinator.commitsInFlight, e.shardName) }

// policiesEvaluated says which policies hold.
type policiesEvaluated struct {
	coordinator *Coordinator
	holding     []config.MovePolicy
}

// Apply follows them.
func (e policiesEvaluated) Apply() {
	e.coordinator.policies.evaluationInFlight = false
	e.coordinator.applyPolicies(e.holding)
}

// releasedShardRead brings the allocations of a released shard.
type releasedShardRead struct {
	coordinator *Coordinator
	entry       shard.Entry
	reclaim     *reclaim
	items       []wire.Item
	err         error
}

// Apply takes the shard back; after an error it is read anew.
func (e releasedShardRead) Apply() {
	e.reclaim.readInFlight = false
	if e.err != nil {
		e.coordinator.Log.Debug("released shard not read", "shard", e.entry.Name, "err", e.err)
		return
	}
	if !e.reclaim.reclaimed {
		e.coordinator.restoreReleasedShard(e.entry, e.reclaim, e.items)
	}
}

// handedBackVerified says whether the record of a job that was handed back is gone.
type handedBackVerified struct {
	coordinator *Coordinator
	assigned    *assignedJob
	item        wire.Item
	err         error
}

// Apply makes the job the leader's own again, or its owner's. After another error the
// record is looked up anew.
func (e handedBackVerified) Apply() {
	e.assigned.lookupInFlight = false
	switch {
	case errors.Is(e.err, store.ErrNotFound):
		e.coordinator.dropAssignment(e.assigned)
	case e.err == nil:
		e.assigned.handedBack = false // assigned again: its owner has it
		e.assigned.storeRecord.SetVersion(uint64(e.item.Version))
	default:
		e.coordinator.Log.Debug(
			"assignment not read", "key", e.assigned.storeRecord.Key, "job", e.assigned.job.Spec.ID, "err", e.err,
		)
	}
}

// assignmentsChanged brings changes of the assignments in the store.
type assignmentsChanged struct {
	coordinator *Coordinator
	events      wire.Events
}

// Apply takes in what owners deleted.
func (e assignmentsChanged) Apply() { e.coordinator.applyAssignmentDeletions(e.events) }

// statusUpdateReceived is what an owner tells the leader.
type statusUpdateReceived struct {
	coordinator *Coordinator
	update      *shard.StatusUpdate
	reply       eventloop.Reply[shard.UpdateReply]
}

// Apply takes the update in, and answers it.
func (e statusUpdateReceived) Apply() {
	e.reply.Send(e.coordinator.applyStatusUpdate(e.update, e.coordinator.Now()))
}

// adminCommandReceived is an operator's command.
type adminCommandReceived struct {
	coordinator *Coordinator
	command     *shard.Command
	reply       eventloop.Reply[shard.DetailedReply]
}

// Apply carries the command out; the answer may come later.
func (e adminCommandReceived) Apply() {
	e.coordinator.executeCommand(e.command, func(reply shard.CommandReply) {
		e.reply.Send(e.coordinator.detailReply(e.command, reply))
	})
}
