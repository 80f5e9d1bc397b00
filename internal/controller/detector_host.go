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
	l.provisioner.SendTerminations()
}

// What the failure detector needs of a leader.

// InventoryReadAt is when the list of instances that was read last was asked for.
func (l *Leader) InventoryReadAt() micro.Time { return l.provisioner.InventoryAt() }

// Terminate marks a machine to be terminated.
func (l *Leader) Terminate(machine *cluster.Machine, reason string) {
	l.provisioner.Terminate(machine, reason)
}

// ShardMachinesKnown reports whether this leader would know by now that a machine of a shard
// that another controller owns is up.
func (l *Leader) ShardMachinesKnown(machine *cluster.Machine, now micro.Time) bool {
	return l.coordinator.MachinesKnown(machine, now)
}

// HandOver resigns in favour of another node, unless that was tried in vain.
func (l *Leader) HandOver(now micro.Time) {
	window := detector.HandoverWindow(l.node.Cfg)
	handsOver := l.node.handovers.Begin(now, l.cluster.TermStartedAt, window)
	l.logHandover(handsOver, now)
	if !handsOver {
		return
	}
	// Two nodes that no agent reached once won elections in turn, until both had
	// handed over as often as they do, and one stayed: the third never led.
	l.node.election.DeferCampaign(window)
	l.resign("no agent reaches this node")
}

// logHandover says that this node hands over; that it does not, since it did so in vain, is
// said once a term.
func (l *Leader) logHandover(handsOver bool, now micro.Time) {
	if !handsOver && l.staysUnreached {
		return
	}
	l.staysUnreached = !handsOver
	reason := "others are to be tried"
	if !handsOver {
		reason = "the others were tried in vain"
	}
	evidence := l.detector.Reachability(now)
	l.log.Info(
		"handover", "hands_over", handsOver, "reason", reason, "up", evidence.Up, "suspect", evidence.Suspect,
		"suspect_before_contact", evidence.SuspectBeforeContact, "since_contact_s", evidence.SinceContact.Seconds(),
	)
}
