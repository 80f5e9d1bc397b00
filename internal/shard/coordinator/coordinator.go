// Package coordinator implements the leader's management of shards: it forms shards, chooses their
// owners, reassigns shards whose owner has lost its session, and assigns jobs to shards.
//
// A Coordinator holds the state that the leader keeps about shards in addition to the shard
// records: controller sessions, the latest status of each shard as reported by its owner, and job
// assignments. That state belongs to the goroutine of the leader's event loop; methods may be
// called from other goroutines only where their documentation says so.
package coordinator

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Host provides the parts of the leader that a Coordinator depends on. Its methods are called
// from the event loop's goroutine only, except HoldsLease and Resign, which may be called from
// any goroutine.
type Host interface {
	// HoldsLease reports whether the leader holds its lease, and so may answer requests and
	// send commands.
	HoldsLease() bool
	// Resign ends the leader's term.
	Resign(reason string)
	// MaxValueBytes returns the maximum size of a value in the state store, in bytes.
	MaxValueBytes() int
	// RaiseFencingToken raises the leader's fencing token to atLeast if it is lower.
	RaiseFencingToken(atLeast uint64)
	// Terminate marks a machine for termination.
	Terminate(machine *cluster.Machine, reason string)
	// WriteJobEnd writes the final state of a job.
	WriteJobEnd(job *cluster.Job, state wire.JobState)
	// MarkChunkDirty schedules a write of a task chunk's record.
	MarkChunkDirty(chunk *cluster.TaskChunk, now micro.Time, priority statestore.Priority)
	// ChunkRevision returns the version of the key of a chunk's record; persisted is false while a
	// change of the chunk is unwritten or the result of a write is unknown.
	ChunkRevision(chunk *cluster.TaskChunk) (revision uint64, persisted bool)
	// JobRevision returns the latest version of the keys of a job's chunks, 0 if there are none;
	// persisted is false while a change of any chunk is unwritten or the result of a write is unknown.
	JobRevision(job *cluster.Job) (revision uint64, persisted bool)
	// PersistJob schedules an early write of all unwritten changes of a job's chunks.
	PersistJob(job *cluster.Job)
	// DeleteHandedOver schedules the deletion of the records of a job's chunks, and reports whether
	// all of them are deleted.
	DeleteHandedOver(job *cluster.Job) (deleted bool)
	// CancellationPending registers a cancelled job whose final state is to be written as soon as
	// the job may be reported as aborted.
	CancellationPending(job *cluster.Job)
	// CancellationUnconfirmed registers a cancelled job that was reported as aborted while some of
	// its allocations are not yet proven released.
	CancellationUnconfirmed(job *cluster.Job)
	// UpdateFencedZones recomputes the zones in which lease proxies must not renew leases.
	UpdateFencedZones()
}

// Dependencies holds the components and settings that a Coordinator is constructed with.
type Dependencies struct {
	Host         Host
	Config       *config.Config
	Cluster      *cluster.State
	Records      *statestore.Writer
	Table        *shard.Watcher
	Store        store.Store
	Term         *election.Term
	RenewalBound *leasekeeper.RenewalBound
	Loop         *eventloop.Loop
	Now          func() micro.Time // the monotonic clock
	Wall         func() micro.Time // the wall clock
	Log          *slog.Logger
}

// Coordinator manages shards and their jobs for one term of the leader. It acts on the content of
// the store: each of its transactions is conditional on the record version that the decision was
// based on, so a transaction that is executed late or twice has no effect.
//
// A controller without the shards feature has a nil Coordinator: methods that document it do nothing
// on a nil receiver.
type Coordinator struct {
	Dependencies

	recovered           bool                  // the leader has restored its state from the store
	views               map[string]*shardView // by shard name
	sessions            sessionView
	policies            policyView
	commitsInFlight     map[string]bool           // by shard name; true while a transaction on its record is in flight
	assignedJobs        map[string]*assignedJob   // by job ID
	reclaims            map[string]*reclaim       // shards that the leader is reclaiming, by shard name
	unstoredBeforeGrant map[string]unstoredChunks // chunks to be stored before a shard is granted, by shard name

	zoneUnreachableAt map[string]micro.Time // latest time at which no controller of a zone was reachable, by zone
	reconciledAt      micro.Time
	marker            *statestore.Record // its key exists while any shard exists
}

// sessionView is the leader's view of the controllers' sessions.
type sessionView struct {
	current         shard.Sessions
	handoverSupport map[string]bool // nodes whose last session announced shard.HandoverFeature
	known           bool            // whether the sessions have been read in this term
	readInFlight    bool
	readAt          micro.Time
}

// shardView is the leader's view of a shard beyond its record.
type shardView struct {
	freeCapacity       []shard.FreeCapacity // reported by the owner, minus capacity assigned since
	capacityAt         micro.Time           // time of that report
	assignedRevision   uint64               // revision of the last stored assignment
	machineCount       int
	idleMachines       int
	pendingTasks       int
	unreachable        bool            // the owner reports that no agent reaches it
	ownership          uint64          // shard.Record.OwnerChanges at the time of the last update
	loopStartedAt      int64           // start of the owner's loop, in microseconds of the owner's wall clock
	readyMachines      map[string]bool // machines reported up by that loop
	allMachinesKnownAt micro.Time      // when readyMachines became complete; 0: not complete yet
	unreachableMoves   int             // consecutive moves because no agent reached the owner
	unreachableMovedAt micro.Time      // time of the last such move
	demand             []shard.Demand
}

// New returns the Coordinator for a new term of the leader.
func New(dependencies Dependencies) *Coordinator {
	c := &Coordinator{
		Dependencies:        dependencies,
		views:               map[string]*shardView{},
		commitsInFlight:     map[string]bool{},
		assignedJobs:        map[string]*assignedJob{},
		reclaims:            map[string]*reclaim{},
		unstoredBeforeGrant: map[string]unstoredChunks{},

		zoneUnreachableAt: map[string]micro.Time{},
	}
	c.marker = c.Records.Record(shard.MarkerKey)
	c.marker.Build = func() (any, uint64) {
		if c.table().Len() == 0 && len(c.Config.Shards.Declared) == 0 {
			return nil, 0
		}
		return true, 0
	}
	return c
}

// table returns a snapshot of the current shard table.
func (c *Coordinator) table() shard.Snapshot { return c.Table.Snapshot() }

// ShardDemands lists the tasks that wait for capacity in shards. The leader requests instances for
// them, since shard owners do not.
func (c *Coordinator) ShardDemands() []autoscaler.ShardDemand {
	var demands []autoscaler.ShardDemand
	c.table().Each(func(entry shard.Entry) bool {
		if entry.HasOwner() {
			demands = c.appendDemands(demands, entry)
		}
		return true
	})
	return demands
}

func (c *Coordinator) appendDemands(demands []autoscaler.ShardDemand, entry shard.Entry) []autoscaler.ShardDemand {
	for _, demand := range c.viewOf(entry.Name).demand {
		inShard := func(offer autoscaler.InstanceOffer) bool {
			return entry.Record.Selector.Matches(offerAttributes(offer)) &&
				(len(demand.Zones) == 0 || slices.Contains(demand.Zones, offer.Zone))
		}
		job := c.Cluster.Jobs[demand.Job]
		if job != nil && job.State == cluster.Assigned && job.Shard == entry.Name && !c.inTransfer(demand.Job) {
			demands = append(demands, autoscaler.ShardDemand{Job: job, Tasks: demand.Tasks, InShard: inShard})
		}
	}
	return demands
}

// ShardCapacity lists the free capacity of all shards whose owner reported it within maxCapacityAge.
func (c *Coordinator) ShardCapacity() []autoscaler.ShardCapacity {
	var capacities []autoscaler.ShardCapacity
	for _, entry := range c.shardsWithCapacity(c.Now()) {
		accepts := func(job *cluster.Job) bool { return acceptsTeam(entry, job.Spec.Team) }
		for _, free := range c.viewOf(entry.Name).freeCapacity {
			capacities = append(capacities, autoscaler.ShardCapacity{
				InstanceOffer: autoscaler.InstanceOffer{Type: free.Type, Zone: free.Zone, Spot: free.Spot},
				Count:         free.Count, CPU: free.CPU, GPU: free.GPU, Mem: free.Mem, Accepts: accepts,
			})
		}
	}
	return capacities
}

func (c *Coordinator) viewOf(name string) *shardView {
	view := c.views[name]
	if view == nil {
		view = &shardView{readyMachines: map[string]bool{}}
		c.views[name] = view
	}
	return view
}

// TableChanged must be called after each change of the shard table. It drops the views of deleted
// shards and updates the ownership of machines. It does nothing on a nil Coordinator or before recovery.
func (c *Coordinator) TableChanged() {
	if c == nil || !c.recovered {
		return
	}
	for name := range c.views {
		if _, ok := c.table().Get(name); !ok {
			delete(c.views, name)
		}
	}
	c.Cluster.RefreshOwnership()
}

const (
	reconcileInterval   = 300 * micro.Millisecond // minimum time between two reconciliations
	sessionReadInterval = micro.Second            // minimum time between two reads of the sessions
)

// Reconcile advances all shards, handovers, recalls and assignments by one step. It is called on
// each tick and acts at most once per reconcileInterval. It does nothing on a nil Coordinator.
func (c *Coordinator) Reconcile(now micro.Time) {
	if c == nil || now-c.reconciledAt < reconcileInterval {
		return
	}
	c.reconciledAt = now
	c.readSessions(now)
	if !c.Table.HasRead() || !c.sessions.known {
		return
	}
	c.recordUnreachableZones(now)
	c.table().Each(func(entry shard.Entry) bool {
		if !c.commitsInFlight[entry.Name] {
			c.reconcileShard(entry, now)
		}
		return true
	})
	c.formDeclaredShards()
	c.evaluatePolicies(now)
	c.reconcileHandedBack()
	c.reconcileHandovers(now)
	c.reconcileRecalls(now)
	c.assignJobs(now)
}

// maxSessions is the page size for reading sessions and announcements: one request returns all.
const maxSessions = 1000

// readSessions reads the sessions of all controllers, and the announcements that controllers made
// with their last session, which remain after the session has ended.
func (c *Coordinator) readSessions(now micro.Time) {
	if c.sessions.readInFlight || now-c.sessions.readAt < sessionReadInterval {
		return
	}
	c.sessions.readInFlight, c.sessions.readAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		page, err := c.Store.Range(ctx, store.Routine, shard.SessionPrefix, "", maxSessions)
		if err != nil {
			c.Loop.Post(sessionsRead{c, page, wire.Page{}, err})
			return
		}
		announced, err := c.Store.Range(ctx, store.Routine, shard.AnnouncementPrefix, "", maxSessions)
		c.Loop.Post(sessionsRead{c, page, announced, err})
	}()
}

// reconcileShard starts the next state transition of a shard, if one is due.
func (c *Coordinator) reconcileShard(entry shard.Entry, now micro.Time) {
	record := &entry.Record
	targetGone := record.Target.Node != "" && !c.sessions.current.Has(record.Target)
	switch {
	case record.State == shard.Forming:
		c.reconcileForming(entry, int64(c.Wall()))
	case record.State == shard.Released:
		c.reclaimShard(entry, now)
	case entry.OwnerSessionLost(c.sessions.current):
		c.reassignShard(entry)
	case record.State == shard.Moving && targetGone:
		c.changeShard(entry, "move cancelled: the target has lost its session", record.CancelMove)
	case c.Config.Shards.Dissolve && record.State == shard.Owned:
		c.changeShard(
			entry, "shards are to be dissolved",
			func(wall int64) (shard.Record, error) { return record.Move(shard.Controller{}, wall) },
		)
	case record.State == shard.Owned && c.viewOf(entry.Name).unreachable:
		c.moveUnreachableShard(entry, now)
	}
}

// reassignShard assigns a shard whose owner has lost its session to another controller.
func (c *Coordinator) reassignShard(entry shard.Entry) {
	successor, ok := entry.Successor(c.sessions.current, c.table())
	if !ok {
		return
	}
	transaction, err := entry.Reassign(successor, c.sessions.current, int64(c.Wall()), c.Term.Precondition())
	if err != nil {
		c.Log.Debug("reassign shard failed", "shard", entry.Name, "to", successor.Node, "err", err)
		return
	}
	c.Log.Info(
		"shard reassigned: its owner's session is lost", "shard", entry.Name, "from", entry.Record.Owner.Node,
		"to", successor.Node,
	)
	c.commitShard(entry.Name, transaction)
}

const (
	// moveCooldown is how long a shard keeps its owner after maxUnreachableMoves consecutive moves
	// because no agent reached the owner. All machines of the shard may be dead, which only an owner
	// that keeps the shard can prove. Without the cooldown a shard whose machines had died moved
	// between controllers indefinitely and kept the allocations of those machines for the rest of the day.
	moveCooldown = 3 * micro.Minute
	// maxUnreachableMoves allows a move to each of the other controllers, in any order.
	maxUnreachableMoves = 2
)

// moveUnreachableShard moves a shard to another controller because no agent reaches its owner.
func (c *Coordinator) moveUnreachableShard(entry shard.Entry, now micro.Time) {
	view := c.viewOf(entry.Name)
	view.unreachable = false
	if view.unreachableMoves >= maxUnreachableMoves && now-view.unreachableMovedAt < moveCooldown {
		return
	}
	others := shard.Sessions{}
	for node, version := range c.sessions.current {
		if node != entry.Record.Owner.Node {
			others[node] = version
		}
	}
	target, ok := others.LeastLoaded(c.table())
	if !ok {
		return
	}
	view.unreachableMoves, view.unreachableMovedAt = view.unreachableMoves+1, now
	c.changeShard(
		entry, "no agent reaches the owner",
		func(wall int64) (shard.Record, error) { return entry.Record.Move(target, wall) },
	)
}

// recordChange returns the next record of a shard, changed at wall (microseconds of the wall clock),
// or the reason why the change is not allowed.
type recordChange func(wall int64) (shard.Record, error)

// changeShard writes a change of a shard's record, and logs it if the change is not allowed.
func (c *Coordinator) changeShard(entry shard.Entry, reason string, change recordChange) {
	if err := c.changeShardThen(entry, reason, change, ignoreResult); err != nil {
		c.Log.Info("shard change refused", "shard", entry.Name, "err", err)
	}
}

// ignoreResult is the callback of writes whose result the table will show.
func ignoreResult(error) {}

// changeShardThen starts writing a change of a shard's record and calls done with the result of the
// write. It returns an error, without calling done, if the change is not allowed.
func (c *Coordinator) changeShardThen(entry shard.Entry, reason string, change recordChange, done func(error)) error {
	changed, err := change(int64(c.Wall()))
	if err != nil {
		return err
	}
	c.Log.Info(
		"shard changed", "shard", entry.Name, "from", string(entry.Record.State), "to", string(changed.State),
		"owner", changed.Owner.Node, "target", changed.Target.Node, "reason", reason,
	)
	c.commitShardThen(entry.Name, entry.Update(changed, c.Term.Precondition()), done)
	return nil
}

// commitShard sends a transaction on a shard's record without waiting for its result, which the
// table will show.
func (c *Coordinator) commitShard(name string, transaction wire.Transaction) {
	c.commitShardThen(name, transaction, ignoreResult)
}

// commitShardThen sends a transaction on a shard's record and calls done with its result on the
// event loop. The shard counts as having a commit in flight until the table has had time to follow.
func (c *Coordinator) commitShardThen(name string, transaction wire.Transaction, done func(error)) {
	c.commitsInFlight[name] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		_, err := c.Store.Commit(ctx, store.Urgent, transaction)
		if err != nil {
			c.Log.Info("write shard record failed", "shard", name, "err", err)
		}
		c.Loop.Post(recordWritten{done, err})
		time.Sleep(shard.WatchPause.Duration()) // until the table has followed the change
		c.Loop.Post(recordVisible{c, name})
	}()
}
