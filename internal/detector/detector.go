// Package detector is the failure detector of a controller: from the heartbeats of agents,
// and from their absence, it tells dead machines from partitions, and a partition of some
// agents from one of this node from all of them.
//
// A Detector owns what is known of heartbeats as a whole (what a single machine showed is the
// cluster's): when this node last began to listen, which zones are suspected to be
// partitioned, and for how long no agent at all has reached this node. All of it belongs to
// the goroutine of the event loop that the Detector was made for, which alone may call it.
package detector

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
)

// FencingTokens tells which fencing token commands carry now.
type FencingTokens interface{ FencingToken() uint64 }

// Host is what a Detector needs of the loop that it watches over the machines for.
type Host interface {
	// InventoryReadAt is when the list of instances that was read last was asked for; 0 if
	// none was read.
	InventoryReadAt() micro.Time
	// UnreportedFor is for how long the owner of a machine's shard has not said that it is up,
	// though it would have by now; 0: it has, or is not known to have had the time.
	UnreportedFor(machine *cluster.Machine, now micro.Time) micro.Time
	// Terminate marks a machine to be terminated.
	Terminate(machine *cluster.Machine, reason string)
	// HandleUnreachableAgents has another node take over, since no agent reaches this one.
	HandleUnreachableAgents(now micro.Time)
}

// Dependencies are what a Detector works with.
type Dependencies struct {
	Cluster *cluster.State
	Config  *config.Config
	// MaxInventoryAge is how old a list of instances may be by which machines are terminated.
	MaxInventoryAge micro.Time
	FencingTokens   FencingTokens
	Handovers       *LeadershipHandovers
	Host            Host
}

// Detector watches over the machines of one term, or of one ownership of a shard.
type Detector struct {
	cluster         *cluster.State
	config          *config.Config
	maxInventoryAge micro.Time
	tokens          FencingTokens
	handovers       *LeadershipHandovers
	host            Host

	listening      listening
	suspectedZones map[string]micro.Time // when a zone last missed too many for dead machines
	reachability   reachability
	heartbeats     uint64       // heartbeats received
	gap            heartbeatGap // for how long there was none
	overrunCursor  int          // next machine to check for tasks that overrun
}

// New makes a Detector.
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

// CountHeartbeat notes that an agent's heartbeat reached this node.
func (d *Detector) CountHeartbeat() { d.heartbeats++ }

// Heartbeats is how many heartbeats were received.
func (d *Detector) Heartbeats() uint64 { return d.heartbeats }

// maxTickGap is the longest time between two ticks in which this node counts as having
// listened.
const maxTickGap = 2 * micro.Second

// listening is since when this node takes heartbeats in.
type listening struct {
	leaseLapsed bool
	resumedAt   micro.Time // when this node last came to listen again
	lastTick    micro.Time
}

// ObserveLease takes in, with each tick, whether the lease is held, and notes when this node
// came to listen again. It returns holdsLease.
func (d *Detector) ObserveLease(holdsLease bool, now micro.Time) bool {
	if !holdsLease {
		d.listening.leaseLapsed = true
		return false
	}
	if d.listening.leaseLapsed || now-d.listening.lastTick > maxTickGap {
		// The lease had lapsed, or this process got no time: no heartbeats were taken in.
		d.listening.leaseLapsed, d.listening.resumedAt, d.gap = false, now, heartbeatGap{}
	}
	d.listening.lastTick = now
	return true
}

// SinceHeartbeat is how long no heartbeat of a machine came while this node was listening:
// while its lease had lapsed, it turned every agent away. Counted from the last
// heartbeat alone, an outage of the store once had eleven live machines terminated in
// the moment it ended.
func (d *Detector) SinceHeartbeat(machine *cluster.Machine, now micro.Time) micro.Time {
	return now - max(machine.LastHeartbeat, d.cluster.TermStartedAt, d.listening.resumedAt)
}
