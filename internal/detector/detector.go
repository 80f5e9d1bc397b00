// Package detector is the failure detector of a controller. From received and missing heartbeats
// it distinguishes dead machines from network partitions, and a partition of some agents from a
// partition that separates this node from all of them.
//
// A Detector holds the state that concerns heartbeats of all machines: when this node last started
// to receive heartbeats, which zones are suspected to be partitioned, and for how long no agent has
// reached this node. The state of a single machine is kept by package cluster. A Detector may be
// used only by the goroutine of the event loop that it was created for.
package detector

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
)

// FencingTokens provides the fencing token that commands carry now.
type FencingTokens interface{ FencingToken() uint64 }

// Host is implemented by the event loop that owns a Detector: the leader's or a shard owner's.
type Host interface {
	// InventoryReadAt returns when the most recently read inventory was requested, or 0
	// if none was read yet.
	InventoryReadAt() micro.Time
	// UnreportedFor returns for how long the owner of a machine's shard should have reported the
	// machine up but has not. It returns 0 if the owner has reported it, or may not have had the
	// time to.
	UnreportedFor(machine *cluster.Machine, now micro.Time) micro.Time
	// Terminate marks a machine for termination.
	Terminate(machine *cluster.Machine, reason string)
	// HandleUnreachableAgents is called when no agent seems to reach this node, so that another
	// node may take over.
	HandleUnreachableAgents(now micro.Time)
}

// Dependencies holds the collaborators and settings of a Detector.
type Dependencies struct {
	Cluster *cluster.State
	Config  *config.Config
	// MaxInventoryAge is the greatest age of an inventory on which a termination may be based.
	MaxInventoryAge micro.Time
	FencingTokens   FencingTokens
	Handovers       *LeadershipHandovers
	Host            Host
}

// Detector detects failed machines during one leadership term or one ownership of a shard.
type Detector struct {
	cluster         *cluster.State
	config          *config.Config
	maxInventoryAge micro.Time
	tokens          FencingTokens
	handovers       *LeadershipHandovers
	host            Host

	listening      listening
	suspectedZones map[string]micro.Time // when a zone last missed too many heartbeats to be explained by dead machines
	reachability   reachability
	heartbeats     uint64       // heartbeats received
	gap            heartbeatGap // detects a time without heartbeats of any agent
	overrunCursor  int          // index of the machine last checked for tasks that overrun
}

// New returns a Detector that has received no heartbeats.
func New(deps Dependencies) *Detector {
	return &Detector{
		cluster:         deps.Cluster,
		config:          deps.Config,
		maxInventoryAge: deps.MaxInventoryAge,
		tokens:          deps.FencingTokens,
		handovers:       deps.Handovers,
		host:            deps.Host,
		suspectedZones:  map[string]micro.Time{},
	}
}

// CountHeartbeat records that an agent's heartbeat reached this node.
func (d *Detector) CountHeartbeat() { d.heartbeats++ }

// Heartbeats returns the number of heartbeats received.
func (d *Detector) Heartbeats() uint64 { return d.heartbeats }

// maxTickGap is the longest time between two ticks for which this node is assumed to have been
// running and receiving heartbeats.
const maxTickGap = 2 * micro.Second

// listening tracks since when this node has been receiving heartbeats without interruption.
type listening struct {
	leaseExpired bool
	resumedAt    micro.Time // when this node last started or resumed receiving heartbeats
	lastTick     micro.Time
}

// ObserveLease records, on each tick, whether this node holds its lease, and when it resumed
// receiving heartbeats after its lease had expired or its process had paused. It returns holdsLease.
func (d *Detector) ObserveLease(holdsLease bool, now micro.Time) bool {
	if !holdsLease {
		d.listening.leaseExpired = true
		return false
	}
	if d.listening.leaseExpired || now-d.listening.lastTick > maxTickGap {
		// No heartbeats were processed while the lease had expired or the process was paused.
		d.listening.leaseExpired, d.listening.resumedAt, d.gap = false, now, heartbeatGap{}
	}
	d.listening.lastTick = now
	return true
}

// SinceHeartbeat returns for how long no heartbeat of a machine has arrived while this node was
// receiving heartbeats. A node without a lease refuses all heartbeats, so that time must not count:
// when the time was counted from the last heartbeat alone, eleven live machines were terminated at
// the moment an outage of the store ended.
func (d *Detector) SinceHeartbeat(machine *cluster.Machine, now micro.Time) micro.Time {
	return now - max(machine.LastHeartbeat, d.cluster.TermStartedAt, d.listening.resumedAt)
}
