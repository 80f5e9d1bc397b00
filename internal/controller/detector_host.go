package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// sweep updates the states of the machines and sends the requested terminations to the cloud.
func (l *Leader) sweep(now micro.Time) {
	l.updateRenewalBound(now)
	l.detector.Sweep(now)
	l.provisioner.SendTerminations()
}

// The following methods implement detector.Host, together with HandleUnreachableAgents.

// InventoryReadAt returns when the last inventory of instances that was read had been requested.
func (l *Leader) InventoryReadAt() micro.Time { return l.provisioner.InventoryRequestedAt() }

// Terminate marks a machine for termination.
func (l *Leader) Terminate(machine *cluster.Machine, reason string) {
	l.provisioner.Terminate(machine, reason)
}

// UnreportedFor returns for how long the owner of a machine's shard has been due to report the
// machine as up and has not done so.
func (l *Leader) UnreportedFor(machine *cluster.Machine, now micro.Time) micro.Time {
	return l.coordinator.UnreportedFor(machine, now)
}
