package coordinator

import (
	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// OwnsOffer reports whether a machine of this offer would belong to the leader, not to a shard.
func (c *Coordinator) OwnsOffer(offer autoscaler.InstanceOffer) bool {
	_, sharded := c.table().ShardOf(offerAttributes(offer))
	return !sharded
}

// ShardAcceptsJob reports whether a machine of this offer would belong to a shard that accepts jobs of the
// job's team.
func (c *Coordinator) ShardAcceptsJob(job *cluster.Job, offer autoscaler.InstanceOffer) bool {
	entry, sharded := c.table().ShardOf(offerAttributes(offer))
	return sharded && acceptsTeam(entry, job.Spec.Team)
}

// ClassifyMachine reports whether another controller owns a machine, and whether the machine belongs
// to a forming shard and so is to be transferred to another controller.
func (c *Coordinator) ClassifyMachine(machine *cluster.Machine) (ownedElsewhere, transferPending bool) {
	if machine.TypeName == "" {
		return c.undescribedOwnedElsewhere(), false
	}
	entry, ok := c.table().ShardOf(machineAttributes(machine))
	if !ok {
		return false, false
	}
	return c.ownedElsewhere(entry), entry.Record.State == shard.Forming
}

// undescribedOwnedElsewhere classifies a machine whose type is unknown, since the leader knows it
// only from allocations in its own records. No shard is granted with an allocation on one of its
// machines, so the machine is the leader's, unless a previous leader was still reclaiming a shard.
// When the selectors were applied to such a machine, its empty attributes matched a shard of
// on-demand machines: the expiry of its lease went undetected, the quota that it held was never
// released, and cancelled jobs with tasks there were never reported as aborted to their users.
func (c *Coordinator) undescribedOwnedElsewhere() bool {
	reclaiming := false
	c.table().Each(func(entry shard.Entry) bool {
		reclaiming = entry.Record.State == shard.Released && c.ownedElsewhere(entry)
		return !reclaiming
	})
	return reclaiming
}

// RefusesHeartbeat reports whether the leader must not answer a heartbeat, because another controller
// owns the machine, or because the records of its released shard have not been read yet. Agents that
// were answered before that were told to stop all their tasks. A nil Coordinator refuses none.
func (c *Coordinator) RefusesHeartbeat(heartbeat *wire.Heartbeat) bool {
	if c == nil {
		return false
	}
	entry, ok := c.table().ShardOf(shard.Attributes{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot})
	return ok && c.ownedElsewhere(entry)
}

// ownedElsewhere reports whether the machines of a shard do not belong to the leader.
func (c *Coordinator) ownedElsewhere(entry shard.Entry) bool {
	reclaim := c.reclaims[entry.Name]
	return entry.Record.State != shard.Forming && (reclaim == nil || !reclaim.reclaimed)
}

// UnreportedFor returns for how long the owner of a machine's shard could have reported the machine
// as up but has not. That time begins when the owner has reported all machines that send it
// heartbeats to this leader and the machine has had time to register. The result is 0 if the machine
// was reported or that time has not begun. Without this allowance a leader that had just taken over
// terminated working machines.
//
// Reports of an earlier owner are ignored: machines that died before the owner changed were unknown
// to the new owner, stayed up in the leader's view permanently, and used up the cloud's capacity.
func (c *Coordinator) UnreportedFor(machine *cluster.Machine, now micro.Time) micro.Time {
	entry, ok := c.table().ShardOf(machineAttributes(machine))
	if !ok || !entry.HasOwner() {
		return 0
	}
	view := c.viewOf(entry.Name)
	current := view.ownership == entry.Record.OwnerChanges
	if !current || view.allMachinesKnownAt == 0 || view.readyMachines[machine.Name] {
		return 0
	}
	settledAt := max(view.allMachinesKnownAt, c.zoneUnreachableAt[machine.Zone]) + c.Config.RegistrationWindow() +
		c.Config.SuspectAfter
	return max(now-max(settledAt, machine.RequestedAt), 0)
}

// recordUnreachableZones records the time for each zone that may be disconnected, because none of its
// controllers has recently sent a lease proxy request. While a zone is disconnected, an owner outside
// of it cannot report the machines in it, so the lack of a report does not show that they are down.
func (c *Coordinator) recordUnreachableZones(now micro.Time) {
	reachable := map[string]bool{c.Config.Zone: true}
	for _, peer := range c.Config.Peers {
		reachable[peer.Zone] = reachable[peer.Zone] || c.RenewalBound.RequestedRecently(peer.Node, now)
	}
	for zone, isReachable := range reachable {
		if !isReachable {
			c.zoneUnreachableAt[zone] = now
		}
	}
}

func machineAttributes(machine *cluster.Machine) shard.Attributes {
	return shard.Attributes{Type: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot}
}

func offerAttributes(offer autoscaler.InstanceOffer) shard.Attributes {
	return shard.Attributes{Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot}
}
