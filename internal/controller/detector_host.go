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
