package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
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
func (l *Leader) InventoryReadAt() micro.Time { return l.provisioner.InventoryRequestedAt() }

// Terminate marks a machine to be terminated.
func (l *Leader) Terminate(machine *cluster.Machine, reason string) {
	l.provisioner.Terminate(machine, reason)
}

// UnreportedFor is for how long the owner of a machine's shard has not said that it is up, though
// it would have by now.
func (l *Leader) UnreportedFor(machine *cluster.Machine, now micro.Time) micro.Time {
	return l.coordinator.UnreportedFor(machine, now)
}
