package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/detector"
	"notchmux.dev/notchmux/internal/micro"
)

// sweep watches over the machines, and has those that are given up terminated.
func (l *Leader) sweep(now micro.Time) {
	l.updateRenewalBound(now)
	l.detector.Sweep(now)
	l.sendTerminations()
}

// detectorHost is what the failure detector needs of the loop that it watches over the
// machines for.
type detectorHost struct{ leader *Leader }

// InventoryReadAt is when the list of instances that was read last was asked for.
func (h detectorHost) InventoryReadAt() micro.Time { return h.leader.inventoryAt }

// Terminate marks a machine to be terminated.
func (h detectorHost) Terminate(machine *cluster.Machine, reason string) {
	h.leader.terminate(machine, reason)
}

// ShardMachinesKnown reports whether this leader would know by now that a machine of a shard
// that another controller owns is up.
func (h detectorHost) ShardMachinesKnown(machine *cluster.Machine, now micro.Time) bool {
	return h.leader.coordinator.MachinesKnown(machine, now)
}

// HandOver has another node take over: the leader resigns in favour of another, unless that
// was tried in vain; a shard is moved by the leader.
func (h detectorHost) HandOver(now micro.Time) {
	l := h.leader
	if l.owner != nil {
		l.owner.unreachable = true
		return
	}
	window := detector.HandoverWindow(l.node.Cfg)
	if !l.node.handovers.Begin(now, l.cluster.TermStartedAt, window) {
		return
	}
	// Two nodes that no agent reached once won elections in turn, until both had
	// handed over as often as they do, and one stayed: the third never led.
	l.node.election.DeferCampaign(window)
	l.resign("no agent reaches this node")
}
