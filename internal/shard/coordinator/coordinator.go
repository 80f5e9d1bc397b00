// Package coordinator is the leader's part in shards: it forms them, decides who owns which,
// takes them from owners that are gone, and assigns jobs to them.
//
// A Coordinator owns what the leader knows of shards beside their records: the controllers'
// sessions, what owners tell of their shards, and the assignments. The goroutine of the
// leader's loop owns that state; only methods that say so may be called from others.
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

// Host is what a Coordinator needs of the leader's other parts. Only the loop's goroutine
// calls it, but for HoldsLease and Resign, which any goroutine may.
type Host interface {
	// HoldsLease reports whether the leader may answer and send commands.
	HoldsLease() bool
	// Resign ends the term.
	Resign(reason string)
	// MaxValueBytes is what a value in the store may take.
	MaxValueBytes() int
	// RaiseFencingToken raises the fencing token to at least this one.
	RaiseFencingToken(atLeast uint64)
	// Terminate marks a machine to be terminated.
	Terminate(machine *cluster.Machine, reason string)
	// WriteJobEnd writes the final state of a job.
	WriteJobEnd(job *cluster.Job, state wire.JobState)
	// MarkChunkDirty has the record of a chunk of tasks written.
	MarkChunkDirty(chunk *cluster.TaskChunk, now micro.Time, priority statestore.Priority)
	// ChunkRevision is the version of the key of a chunk's record; false if something of it is
	// still to be written, or uncertain.
	ChunkRevision(chunk *cluster.TaskChunk) (revision uint64, persisted bool)
	// JobRevision is the latest version of the keys of all of a job's chunks, 0 if there are none;
	// false if something of them is still to be written, or uncertain.
	JobRevision(job *cluster.Job) (revision uint64, persisted bool)
	// PersistJob has what is still to be written of a job's chunks written soon.
	PersistJob(job *cluster.Job)
	// DeleteHandedOver has the records of a job's chunks deleted, and reports whether none is left.
	DeleteHandedOver(job *cluster.Job) (gone bool)
	// CancellationPending notes that the end of a cancelled job is to be written once its
	// user may be told.
	CancellationPending(job *cluster.Job)
	// CancellationUnconfirmed notes that the user of a cancelled job was told, and that
	// allocations of it are not proven released.
	CancellationUnconfirmed(job *cluster.Job)
	// UpdateFencedZones notes anew in which zones leases must not be renewed by proxy.
	UpdateFencedZones()
}

// Dependencies are what a Coordinator works on.
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
	Now          func() micro.Time // the steady clock
	Wall         func() micro.Time // the wall clock
	Log          *slog.Logger
}

// Coordinator is the leader's part in shards, for one term. It acts on what the store
// holds: each of its transactions carries the version that it looked at, so a late or
// repeated one does nothing.
//
// A nil Coordinator is that of a controller without shards: the methods that say so do
// nothing then.
type Coordinator struct {
	Dependencies

	recovered           bool // the leader has read all that the store holds
	views               map[string]*shardView
	sessions            sessionView
	policies            policyView
	commitsInFlight     map[string]bool           // shards with a transaction under way
	assignedJobs        map[string]*assignedJob   // by job
	reclaims            map[string]*reclaim       // shards that are being taken back, by name
	unstoredBeforeGrant map[string]unstoredChunks // what is to be stored before a shard is given away, by its name

	zoneUnreachableAt map[string]micro.Time // when none of a zone's controllers was heard of last
	reconciledAt      micro.Time
	marker            *statestore.Record // exists as long as any shard does
}

// sessionView is what is known of the controllers' sessions.
type sessionView struct {
	current      shard.Sessions
	continuing   map[string]bool // the nodes that announced shard.ContinueFeature with their last session
	known        bool            // they were read in this term
	readInFlight bool
	readAt       micro.Time
}

// shardView is what the leader knows of a shard beside its record.
type shardView struct {
	freeCapacity       []shard.FreeCapacity // free for jobs, less what was assigned since
	capacityAt         micro.Time
	assignedRevision   uint64 // revision of the last assignment that was stored
	machineCount       int
	idleMachines       int
	pendingTasks       int
	unreachable        bool
	ownership          uint64          // the change of owner that this is known of
	loopStartedAt      int64           // when the owner's loop began, by its wall clock
	readyMachines      map[string]bool // the machines that this loop said are up
	allMachinesKnownAt micro.Time      // since when these are all that heartbeat to it; 0: not yet
	unreachableMoves   int             // moves in a row because no agent reached the owner
	unreachableMovedAt micro.Time      // the last of them
	demand             []shard.Demand
}

// New makes the leader's part in shards for a term that begins.
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

// table is the shard table as it is now.
func (c *Coordinator) table() shard.Snapshot { return c.Table.Snapshot() }

// ShardDemands lists what waits for capacity in shards: their owners request no instances.
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

// ShardCapacity lists what is free for jobs in shards, as far as their owners told of late.
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

// TableChanged takes in that the shard table has changed. A nil Coordinator does nothing.
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

// How often the leader looks after the shards, and reads who has a session.
const (
	reconcileInterval   = 300 * micro.Millisecond
	sessionReadInterval = micro.Second
)

// Reconcile looks after the shards; it is called with each tick. A nil Coordinator does nothing.
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

// maxSessions is how many controllers' sessions are read: one request holds them all.
const maxSessions = 1000

// readSessions reads which controllers have a session, and what those that have none announced with
// their last one.
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

// reconcileShard does what a shard's record calls for.
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
		c.changeShard(entry, "move cancelled: its target is gone", record.CancelMove)
	case c.Config.Shards.Dissolve && record.State == shard.Owned:
		c.changeShard(
			entry, "shard to be dissolved",
			func(wall int64) (shard.Record, error) { return record.Move(shard.Controller{}, wall) },
		)
	case record.State == shard.Owned && c.viewOf(entry.Name).unreachable:
		c.moveUnreachableShard(entry, now)
	}
}

// reassignShard gives a shard whose owner has lost its session to another controller.
func (c *Coordinator) reassignShard(entry shard.Entry) {
	successor, ok := entry.Successor(c.sessions.current, c.table())
	if !ok {
		return
	}
	transaction, err := entry.Reassign(successor, c.sessions.current, int64(c.Wall()), c.Term.Precondition())
	if err != nil {
		c.Log.Debug("shard not reassigned", "shard", entry.Name, "to", successor.Node, "err", err)
		return
	}
	c.Log.Info(
		"shard reassigned: its owner's session is lost", "shard", entry.Name, "from", entry.Record.Owner.Node,
		"to", successor.Node,
	)
	c.commitShard(entry.Name, transaction)
}

const (
	// moveCooldown is how long a shard stays where it is after it was moved maxHandovers
	// times because no agent reached its owner: its machines may all be dead, and only an
	// owner that stays can prove it. Sent round for ever, a shard once kept the allocations of
	// its dead machines until the day was over.
	moveCooldown = 3 * micro.Minute
	// maxUnreachableMoves leaves each of the other controllers its chance, whoever comes first.
	maxUnreachableMoves = 2
)

// moveUnreachableShard moves a shard whose owner no agent reaches.
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

// recordChange makes a shard's next record, as of a time by the wall clock.
type recordChange func(wall int64) (shard.Record, error)

// changeShard writes a change of a shard's record.
func (c *Coordinator) changeShard(entry shard.Entry, reason string, change recordChange) {
	if err := c.changeShardThen(entry, reason, change, ignoreResult); err != nil {
		c.Log.Info("shard not changed", "shard", entry.Name, "err", err)
	}
}

// ignoreResult is for writes whose result shows in the table.
func ignoreResult(error) {}

// changeShardThen does the same, and tells what came of the write; it returns why the
// change is refused.
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

// commitShard sends a transaction on a shard's record. What came of it shows in the table.
func (c *Coordinator) commitShard(name string, transaction wire.Transaction) {
	c.commitShardThen(name, transaction, ignoreResult)
}

func (c *Coordinator) commitShardThen(name string, transaction wire.Transaction, done func(error)) {
	c.commitsInFlight[name] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shard.CommitTimeout)
		defer cancel()
		_, err := c.Store.Commit(ctx, store.Urgent, transaction)
		if err != nil {
			c.Log.Info("shard not written", "shard", name, "err", err)
		}
		c.Loop.Post(recordWritten{done, err})
		time.Sleep(shard.WatchPause.Duration()) // the table follows
		c.Loop.Post(recordVisible{c, name})
	}()
}
