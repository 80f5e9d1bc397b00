package coordinator

import (
	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// Whose machines are, and which of a shard's its owner knows to be up.

// OwnsOffer reports whether a machine of an offer would be the leader's own.
func (c *Coordinator) OwnsOffer(offer autoscaler.InstanceOffer) bool {
	_, sharded := c.table().ShardOf(offerAttributes(offer))
	return !sharded
}

// ShardTakesJob reports whether a machine of an offer would be in a shard that takes a job's team.
func (c *Coordinator) ShardTakesJob(job *cluster.Job, offer autoscaler.InstanceOffer) bool {
	entry, sharded := c.table().ShardOf(offerAttributes(offer))
	return sharded && acceptsTeam(entry, job.Spec.Team)
}

// ClassifyMachine says whether another controller owns a machine, and whether it is to.
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

// undescribedOwnedElsewhere classifies a machine that was never described: the leader knows of
// it by allocations in its own records alone. A shard gets no machine that has any, so it is
// the leader's, unless the leader before was still taking a shard back. By what is not known of
// it, such a machine once matched a shard of on-demand machines: nobody found its lease
// expired, what it held of its team's quota was never released, and users of cancelled jobs with
// tasks there were never told.
func (c *Coordinator) undescribedOwnedElsewhere() bool {
	reclaiming := false
	c.table().Each(func(entry shard.Entry) bool {
		reclaiming = entry.Record.State == shard.Released && c.ownedElsewhere(entry)
		return !reclaiming
	})
	return reclaiming
}

// RefusesHeartbeat reports whether a heartbeat comes from a machine that is not the leader's to
// answer: another controller owns it, or a shard's work is still to be read before its
// machines are answered. Answered earlier, they were told to stop all that they ran.
// A nil Coordinator refuses none.
func (c *Coordinator) RefusesHeartbeat(heartbeat *wire.Heartbeat) bool {
	if c == nil {
		return false
	}
	entry, ok := c.table().ShardOf(shard.Attributes{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot})
	return ok && c.ownedElsewhere(entry)
}

// ownedElsewhere reports whether the machines of a shard are not the leader's.
func (c *Coordinator) ownedElsewhere(entry shard.Entry) bool {
	reclaim := c.reclaims[entry.Name]
	return entry.Record.State != shard.Forming && (reclaim == nil || !reclaim.reclaimed)
}

// UnreportedFor is for how long the owner of a machine's shard has not said that the machine is up,
// though it would have by now: it has told this leader of all that send heartbeats, and each had
// time to. 0: it has said so, or is not known to have had the time. Without that time, a leader
// that had just taken over terminated machines at work.
//
// What an earlier owner said does not count: machines that died before the shard's owner changed
// were up for the leader for good, unknown to the new owner, and took up what the cloud had.
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

// recordUnreachableZones notes the zones that may be cut off now, since none of their controllers is
// heard of: that an owner outside has not heard of machines there says nothing of them.
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
