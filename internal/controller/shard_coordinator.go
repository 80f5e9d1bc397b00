package controller

import (
	"context"
	"slices"
	"time"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// shardCoordinator is the leader's part in shares: it forms them, decides who owns which,
// takes them from owners that are gone, and gives them jobs. It acts on what the store
// holds: each of its transactions carries the version that it looked at, so a late or
// repeated one does nothing.
type shardCoordinator struct {
	views        map[string]*shardView
	sessions     shard.Sessions
	sessionsRead bool // the sessions were read in this term

	commitsInFlight          map[string]bool // shares with a transaction under way
	sessionReadInFlight      bool            // the sessions are being read
	sessionsReadAt           micro.Time
	assignedJobs             map[string]*assignedJob  // by job
	reclaims                 map[string]*shardReclaim // shares that are being taken back, by name
	reconciledAt             micro.Time
	policiesEvaluatedAt      micro.Time
	policyEvaluationInFlight bool
	movedAt                  map[string]micro.Time // when each share was last told to move
	marker                   *statestore.Record
}

// shardView is what the leader knows of a share beside its record.
type shardView struct {
	freeCapacity       []shard.FreeCapacity // free for jobs, less what was assigned since
	capacityAt         micro.Time
	seenRevision       uint64 // revision up to which the owner has read assignments
	assignedRevision   uint64 // revision of the last assignment that was stored
	machineCount       int
	idleMachines       int
	pendingTasks       int
	unreachable        bool
	allMachinesKnownAt micro.Time // since when this leader knows of all machines that report to the owner; 0: not yet
	handovers          int        // moves in a row because no worker reached the owner
	handedOverAt       micro.Time // the last of them
	demand             []shard.Demand
}

// assignedJob is a job that was assigned to a share.
type assignedJob struct {
	job          *cluster.Job
	shardName    string
	assignment   shard.Assignment
	storeRecord  *statestore.Record
	stored       bool     // the record is in the store
	cancelling   bool     // its withdrawal is under way
	endRequested bool     // the end of the withdrawal is being written
	fencedZones  []string // where tasks may still run, after its user was told

	handedBack     bool   // its owner deleted the record though the job is not over
	fenceVersion   uint64 // the share's record must have a later version before it is the leader's again
	lookupInFlight bool   // whether the record is really gone is being looked up
}

// initCoordinator prepares the leader's part, if the feature is on.
func (l *Leader) initCoordinator() {
	if l.node.shards == nil {
		return
	}
	l.coordinator = &shardCoordinator{
		views: map[string]*shardView{}, commitsInFlight: map[string]bool{}, assignedJobs: map[string]*assignedJob{},
		reclaims: map[string]*shardReclaim{}, movedAt: map[string]micro.Time{},
	}
	l.coordinator.marker = l.records.Record(shard.MarkerKey)
	l.coordinator.marker.Build = func() (any, uint64) {
		if l.node.shards.table.Snapshot().Len() == 0 && len(l.node.Cfg.Shards.Declared) == 0 {
			return nil, 0
		}
		return true, 0
	}
	l.cluster.Ownership = l.classifyMachine
	l.planner.ShardDemands = l.shardDemands
	l.planner.OwnsOffer = func(offer autoscaler.InstanceOffer) bool {
		_, shared := l.shardTable().ShardOf(machineAttributes(offer.Type, offer.Zone, offer.Spot))
		return !shared
	}
}

// shardDemands lists what waits for room in shares: their owners rent nothing.
func (l *Leader) shardDemands() []autoscaler.ShardDemand {
	var demands []autoscaler.ShardDemand
	l.shardTable().Each(func(entry shard.Entry) bool {
		if !entry.OwnedElsewhere() {
			return true
		}
		for _, demand := range l.viewOf(entry.Name).demand {
			inShard := func(offer autoscaler.InstanceOffer) bool {
				return entry.Record.Selector.Matches(machineAttributes(offer.Type, offer.Zone, offer.Spot)) &&
					(len(demand.Zones) == 0 || slices.Contains(demand.Zones, offer.Zone))
			}
			if job := l.cluster.Jobs[demand.Job]; job != nil && job.State == cluster.Assigned && job.Shard == entry.Name {
				demands = append(demands, autoscaler.ShardDemand{Job: job, Tasks: demand.Tasks, InShard: inShard})
			}
		}
		return true
	})
	return demands
}

// shardTable is the table of shares as it is now.
func (l *Leader) shardTable() shard.Snapshot { return l.node.shards.table.Snapshot() }

// classifyMachine says whether another controller owns a machine, and whether it is to.
func (l *Leader) classifyMachine(m *cluster.Machine) (ownedElsewhere, clearing bool) {
	entry, ok := l.shardTable().ShardOf(machineAttributes(m.TypeName, m.Zone, m.Spot))
	if !ok {
		return false, false
	}
	return l.shardOwnedElsewhere(entry), entry.Record.State == shard.Forming
}

// refusesHeartbeat reports whether a report comes from a machine that is not the leader's to
// answer: another controller owns it, or a share's work is still to be read before its
// machines are answered. Answered earlier, they were told to stop all that they ran.
func (l *Leader) refusesHeartbeat(heartbeat *wire.Heartbeat) bool {
	if l.coordinator == nil {
		return false
	}
	entry, ok := l.shardTable().ShardOf(machineAttributes(heartbeat.Type, heartbeat.Zone, heartbeat.Spot))
	return ok && l.shardOwnedElsewhere(entry)
}

// shardOwnedElsewhere reports whether the machines of a share are not the leader's.
func (l *Leader) shardOwnedElsewhere(entry shard.Entry) bool {
	reclaim := l.coordinator.reclaims[entry.Name]
	return entry.Record.State != shard.Forming && (reclaim == nil || !reclaim.reclaimed)
}

func (l *Leader) viewOf(name string) *shardView {
	v := l.coordinator.views[name]
	if v == nil {
		v = &shardView{}
		l.coordinator.views[name] = v
	}
	return v
}

// shardTableChanged takes in that the table has changed.
func (l *Leader) shardTableChanged() {
	if l.coordinator == nil || !l.recovered {
		return
	}
	for name := range l.coordinator.views {
		if _, ok := l.shardTable().Get(name); !ok {
			delete(l.coordinator.views, name)
		}
	}
	l.cluster.RefreshOwnership()
}

// How often the leader looks after the shares, and reads who has a session.
const (
	shardReconcileInterval = 300 * micro.Millisecond
	sessionReadInterval    = micro.Second
)

// reconcileShards looks after the shares.
func (l *Leader) reconcileShards(now micro.Time) {
	if l.coordinator == nil || now-l.coordinator.reconciledAt < shardReconcileInterval {
		return
	}
	l.coordinator.reconciledAt = now
	l.readSessions(now)
	if !l.node.shards.table.HasRead() || !l.coordinator.sessionsRead {
		return
	}
	l.shardTable().Each(func(entry shard.Entry) bool {
		if !l.coordinator.commitsInFlight[entry.Name] {
			l.reconcileShard(entry, now)
		}
		return true
	})
	l.formDeclaredShards()
	l.evaluatePolicies(now)
	l.reconcileHandedBack()
	l.assignJobs(now)
}

// readSessions reads which controllers have a session.
func (l *Leader) readSessions(now micro.Time) {
	if l.coordinator.sessionReadInFlight || now-l.coordinator.sessionsReadAt < sessionReadInterval {
		return
	}
	l.coordinator.sessionReadInFlight, l.coordinator.sessionsReadAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		page, err := l.node.Store.Range(ctx, store.Routine, shard.SessionPrefix, "", 1000)
		l.post(func() {
			l.coordinator.sessionReadInFlight = false
			if err != nil {
				return
			}
			l.coordinator.sessionsRead = true
			l.coordinator.sessions = shard.Sessions{}
			for _, item := range page.Items {
				l.coordinator.sessions[item.Key[len(shard.SessionPrefix):]] = item.Version
			}
		})
	}()
}

// reconcileShard does what a share's record calls for.
func (l *Leader) reconcileShard(entry shard.Entry, now micro.Time) {
	wall := int64(l.node.Wall())
	switch {
	case entry.Record.State == shard.Forming:
		l.reconcileForming(entry, wall)
	case entry.Record.State == shard.Released:
		l.reclaimShard(entry, now)
	case entry.OwnerSessionLost(l.coordinator.sessions):
		successor, ok := entry.Successor(l.coordinator.sessions, l.shardTable())
		if !ok {
			return
		}
		if transaction, err := entry.Reassign(successor, l.coordinator.sessions, wall, l.term.Precondition()); err == nil {
			l.log.Info(
				"share taken from an owner that is gone", "share", entry.Name, "owner", entry.Record.Owner.Node, "to",
				successor.Node,
			)
			l.commitShard(entry.Name, transaction)
		}
	case entry.Record.State == shard.Moving && entry.Record.Target.Node != "" && !l.coordinator.sessions.Has(entry.Record.Target):
		l.changeShard(entry, "move cancelled: its target is gone", entry.Record.CancelMove)
	case l.node.Cfg.Shards.Dissolve && entry.Record.State == shard.Owned:
		l.changeShard(
			entry, "share to be dissolved",
			func(wall int64) (shard.Record, error) { return entry.Record.Move(shard.Controller{}, wall) },
		)
	case entry.Record.State == shard.Owned && l.viewOf(entry.Name).unreachable:
		l.moveUnreachableShard(entry, now)
	}
}

// moveCooldown is how long a share stays where it is after it was moved maxHandovers
// times because no worker reached its owner: its machines may all be dead, and only an
// owner that stays can prove it. Sent round for ever, a share once kept the places of
// its dead machines until the day was over.
const moveCooldown = 3 * micro.Minute

// moveUnreachableShard moves a share whose owner no worker reaches.
func (l *Leader) moveUnreachableShard(entry shard.Entry, now micro.Time) {
	view := l.viewOf(entry.Name)
	if view.unreachable = false; view.handovers >= maxHandovers && now-view.handedOverAt < moveCooldown {
		return
	}
	others := shard.Sessions{}
	for node, version := range l.coordinator.sessions {
		if node != entry.Record.Owner.Node {
			others[node] = version
		}
	}
	target, ok := others.LeastLoaded(l.shardTable())
	if !ok {
		return
	}
	view.handovers, view.handedOverAt = view.handovers+1, now
	l.changeShard(
		entry, "no worker reaches the owner",
		func(wall int64) (shard.Record, error) { return entry.Record.Move(target, wall) },
	)
}

// changeShard writes a change of a share's record.
func (l *Leader) changeShard(entry shard.Entry, reason string, change func(wall int64) (shard.Record, error)) {
	if err := l.changeShardThen(entry, reason, change, func(error) {}); err != nil {
		l.log.Info("share not changed", "share", entry.Name, "why", err)
	}
}

// changeShardThen does the same, and tells what came of the write; it returns why the
// change is refused.
func (l *Leader) changeShardThen(
	entry shard.Entry, reason string, change func(wall int64) (shard.Record, error), done func(error),
) error {
	changed, err := change(int64(l.node.Wall()))
	if err != nil {
		return err
	}
	l.log.Info(
		"share", "share", entry.Name, "was", string(entry.Record.State), "is", string(changed.State), "owner",
		changed.Owner.Node, "target", changed.Target.Node, "why", reason,
	)
	l.commitShardThen(entry.Name, entry.Update(changed, l.term.Precondition()), done)
	return nil
}

// commitShard sends a transaction on a share's record. What came of it shows in the table.
func (l *Leader) commitShard(name string, transaction wire.Transaction) {
	l.commitShardThen(name, transaction, func(error) {})
}

func (l *Leader) commitShardThen(name string, transaction wire.Transaction, done func(error)) {
	l.coordinator.commitsInFlight[name] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		_, err := l.node.Store.Commit(ctx, store.Urgent, transaction)
		if err != nil {
			l.log.Info("share not written", "share", name, "err", err)
		}
		l.post(func() { done(err) })
		time.Sleep(shard.WatchPause.Duration()) // the table follows
		l.post(func() { delete(l.coordinator.commitsInFlight, name) })
	}()
}
