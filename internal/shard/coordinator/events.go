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

// The events in this file return results of a Coordinator's requests to the event loop, or bring
// requests of other goroutines to it.

// sessionsRead is the result of reading the controllers' sessions and announcements.
type sessionsRead struct {
	coordinator *Coordinator
	page        wire.Page
	announced   wire.Page
	err         error
}

// Apply updates the view of the sessions. After an error the view stays until the next read.
func (e sessionsRead) Apply() {
	sessions := &e.coordinator.sessions
	sessions.readInFlight = false
	if e.err != nil {
		e.coordinator.Log.Debug("read sessions failed", "err", e.err)
		return
	}
	sessions.known = true
	sessions.current, sessions.handoverSupport = shard.Sessions{}, map[string]bool{}
	for _, item := range e.announced.Items {
		var announcement shard.Announcement
		e.decode(item, &announcement)
		node := item.Key[len(shard.AnnouncementPrefix):]
		sessions.handoverSupport[node] = slices.Contains(announcement.Features, shard.HandoverFeature)
	}
	for _, item := range e.page.Items { // a current session overrides the announcement of an earlier one
		var record election.Record
		e.decode(item, &record)
		node := item.Key[len(shard.SessionPrefix):]
		sessions.current[node] = item.Version
		announced := sessions.handoverSupport[node]
		sessions.handoverSupport[node] = slices.Contains(record.Features, shard.HandoverFeature)
		if announced && !sessions.handoverSupport[node] {
			e.coordinator.withdrawAnnouncement(node, e.announced)
		}
	}
	e.coordinator.Cluster.HandoverSupported = e.coordinator.allSupportHandover()
}

// withdrawAnnouncement deletes the announcement of a controller whose current session does not have
// the announced feature. The controller now runs a previous release, and must not count as having
// the feature while it has no session.
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

// decode decodes a record. A record that cannot be decoded counts as announcing no features.
func (e sessionsRead) decode(item wire.Item, into any) {
	if err := wire.Unmarshal(item.Value, into); err != nil {
		e.coordinator.Log.Debug("decode session record failed", "key", item.Key, "err", err)
	}
}

// recordWritten is the result of a transaction on a shard's record.
type recordWritten struct {
	done func(error)
	err  error
}

// Apply passes the result to the callback of the transaction.
func (e recordWritten) Apply() { e.done(e.err) }

// recordVisible is posted when the table has had time to show the result of a transaction.
type recordVisible struct {
	coordinator *Coordinator
	shardName   string
}

// Apply allows further changes of the shard.
func (e recordVisible) Apply() { delete(e.coordinator.commitsInFlight, e.shardName) }

// policiesEvaluated is the result of an evaluation of the operators' policies.
type policiesEvaluated struct {
	coordinator *Coordinator
	holding     []config.MovePolicy
}

// Apply moves shards according to the policies whose condition holds.
func (e policiesEvaluated) Apply() {
	e.coordinator.policies.evaluationInFlight = false
	e.coordinator.applyPolicies(e.holding)
}

// releasedShardRead is the result of reading the allocation records of a released shard.
type releasedShardRead struct {
	coordinator *Coordinator
	entry       shard.Entry
	reclaim     *reclaim
	items       []wire.Item
	err         error
}

// Apply reclaims the shard. After an error the records are read again by a later reconciliation.
func (e releasedShardRead) Apply() {
	e.reclaim.readInFlight = false
	if e.err != nil {
		e.coordinator.Log.Debug("read allocations of released shard failed", "shard", e.entry.Name, "err", e.err)
		return
	}
	if !e.reclaim.reclaimed {
		e.coordinator.restoreReleasedShard(e.entry, e.reclaim, e.items)
	}
}

// handedBackVerified is the result of looking up the assignment of a job that was handed back.
type handedBackVerified struct {
	coordinator *Coordinator
	assigned    *assignedJob
	item        wire.Item
	err         error
}

// Apply returns the job to the leader if its assignment does not exist. If it exists, a late write
// has created it again, and the job stays with the shard's owner. After any other error the
// assignment is looked up again by a later reconciliation.
func (e handedBackVerified) Apply() {
	e.assigned.lookupInFlight = false
	switch {
	case errors.Is(e.err, store.ErrNotFound):
		e.coordinator.dropAssignment(e.assigned)
	case e.err == nil:
		e.assigned.handedBack = false // assigned again: the shard's owner has the job
		e.assigned.storeRecord.SetVersion(uint64(e.item.Version))
	default:
		e.coordinator.Log.Debug(
			"read assignment failed", "key", e.assigned.storeRecord.Key, "job", e.assigned.job.Spec.ID, "err", e.err,
		)
	}
}

// assignmentsChanged holds store events on assignments.
type assignmentsChanged struct {
	coordinator *Coordinator
	events      wire.Events
}

// Apply handles the assignments that owners have deleted.
func (e assignmentsChanged) Apply() { e.coordinator.applyAssignmentDeletions(e.events) }

// statusUpdateReceived is a status update from a shard owner.
type statusUpdateReceived struct {
	coordinator *Coordinator
	update      *shard.StatusUpdate
	reply       eventloop.Reply[shard.UpdateReply]
}

// Apply applies the update and replies to it.
func (e statusUpdateReceived) Apply() {
	e.reply.Send(e.coordinator.applyStatusUpdate(e.update, e.coordinator.Now()))
}

// adminCommandReceived is a command from an operator.
type adminCommandReceived struct {
	coordinator *Coordinator
	command     *shard.Command
	reply       eventloop.Reply[shard.DetailedReply]
}

// Apply executes the command. The reply is sent later if the command writes to the store.
func (e adminCommandReceived) Apply() {
	e.coordinator.executeCommand(e.command, func(reply shard.CommandReply) {
		e.reply.Send(e.coordinator.detailReply(e.command, reply))
	})
}
