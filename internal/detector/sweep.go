package detector

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

const (
	// overrunSlices is in how many sweeps all machines are checked for tasks that overrun.
	overrunSlices = 4
	// preemptionGrace is how long after the time of its preemption a suspect machine is
	// given up.
	preemptionGrace = 2 * micro.Second
)

// zoneHeartbeats counts the machines of a zone whose agents ought to send heartbeats.
type zoneHeartbeats struct{ expected, missing int }

// heartbeatSummary is what one sweep finds, over all machines.
type heartbeatSummary struct {
	zones         map[string]*zoneHeartbeats
	up            int
	suspect       int
	responsesLost int // up, but their agents seem not to receive responses

	suspectBeforeContact int // those of the suspect that were so when the last agent reached this node

	gapExceeded bool // no heartbeat at all came for too long
}

// zone returns the counts of a zone.
func (s *heartbeatSummary) zone(name string) *zoneHeartbeats {
	zone := s.zones[name]
	if zone == nil {
		zone = &zoneHeartbeats{}
		s.zones[name] = zone
	}
	return zone
}

// Sweep watches over all machines: it marks those whose heartbeats stopped as suspect,
// expires those whose lease surely ran out, and has those terminated that look dead.
func (d *Detector) Sweep(now micro.Time) {
	summary := d.summarizeHeartbeats(now)
	for name, zone := range summary.zones {
		if !indicatesFailure(zone.missing, zone.expected) {
			d.suspectedZones[name] = now
		}
	}
	d.checkReachability(summary, now)
	d.checkOverruns(now)
	for _, machine := range d.cluster.SortedMachines() {
		d.evaluateMachine(machine, summary, now)
	}
}

// summarizeHeartbeats counts the machines by what was heard of them, and marks as suspect
// those that were up and have sent no heartbeat for long.
func (d *Detector) summarizeHeartbeats(now micro.Time) *heartbeatSummary {
	summary := &heartbeatSummary{zones: map[string]*zoneHeartbeats{}}
	for _, machine := range d.cluster.SortedMachines() {
		if machine.OwnedElsewhere {
			continue // its agent sends heartbeats to the owner of its shard
		}
		zone := summary.zone(machine.Zone)
		sinceHeartbeat := d.SinceHeartbeat(machine, now)
		if machine.State == cluster.Up && sinceHeartbeat > d.config.SuspectAfter {
			// Only what proves to have been sent from now on is a sign of life.
			machine.RequiredFencingToken = d.tokens.FencingToken() + 1
			d.cluster.TransitionMachine(machine, cluster.Suspect, "no heartbeats")
		}
		if d.heartbeatExpected(machine, sinceHeartbeat, now) {
			d.countMachine(machine, zone, summary, sinceHeartbeat, now)
		}
	}
	return summary
}

// heartbeatExpected reports whether the absence of a machine's heartbeats says anything: not
// if it never came up, is being terminated, or has been away for so long that it is
// surely lost.
func (d *Detector) heartbeatExpected(machine *cluster.Machine, sinceHeartbeat, now micro.Time) bool {
	if machine.State == cluster.Registering && len(machine.Allocations) == 0 || machine.State == cluster.Terminating {
		return false
	}
	return sinceHeartbeat <= 2*d.cluster.LeaseDuration || !d.cluster.LeaseExpired(machine, now)
}

func (d *Detector) countMachine(
	machine *cluster.Machine, zone *zoneHeartbeats, summary *heartbeatSummary, sinceHeartbeat, now micro.Time,
) {
	zone.expected++
	// A machine is missing once a heartbeat is overdue, well before it counts as
	// suspect: in a partition, the first to be called suspect must not look alone.
	if sinceHeartbeat > d.config.HeartbeatOverdueAfter() {
		zone.missing++
	}
	if machine.State == cluster.Up {
		summary.up++
		d.observeContact(machine)
		if machine.ResponsesLikelyLost() {
			summary.responsesLost++
		}
	}
	if d.isSuspect(machine, sinceHeartbeat) {
		d.countSuspect(summary, sinceHeartbeat, now)
	}
}

// isSuspect reports whether heartbeats of a machine that may be running tasks are missing: it was up,
// or has sent not one since the failover.
func (d *Detector) isSuspect(machine *cluster.Machine, sinceHeartbeat micro.Time) bool {
	switch machine.State {
	case cluster.Suspect:
		return true
	case cluster.Registering:
		return len(machine.Allocations) > 0 && sinceHeartbeat > d.config.SuspectAfter
	}
	return false
}

// countSuspect counts a machine whose heartbeats are missing, and whether they were already
// when another agent reached this node.
func (d *Detector) countSuspect(summary *heartbeatSummary, sinceHeartbeat, now micro.Time) {
	summary.suspect++
	if d.silentBeforeContact(sinceHeartbeat, now) {
		summary.suspectBeforeContact++
	}
}

// machinesLookDead reports whether a zone's suspect machines look dead rather than partitioned.
// A zone that was partitioned comes back one heartbeat at a time: what is still
// missing when most of it is heard again is late, not dead. In the moment a partition
// ended, a leader that had taken over in it once terminated 800 live machines.
func (d *Detector) machinesLookDead(zoneName string, summary *heartbeatSummary, now micro.Time) bool {
	zone := summary.zones[zoneName]
	suspectedAt, suspected := d.suspectedZones[zoneName]
	return indicatesFailure(zone.missing, zone.expected) && (!suspected || now-suspectedAt > d.config.SuspectAfter)
}

// evaluateMachine releases what a machine surely lost and has it terminated if it is of no
// more use.
func (d *Detector) evaluateMachine(machine *cluster.Machine, summary *heartbeatSummary, now micro.Time) {
	if machine.OwnedElsewhere {
		d.evaluateOwnedElsewhere(machine, now)
		return
	}
	if len(machine.Allocations) > 0 && machine.State != cluster.Up && d.cluster.LeaseExpired(machine, now) {
		d.cluster.ExpireMachine(machine, now)
	}
	switch machine.State {
	case cluster.Registering:
		if reason := d.registrationFailure(machine, summary, now); reason != "" {
			d.host.Terminate(machine, reason)
		}
	case cluster.Up:
		d.checkResponsesLost(machine, summary, now)
	case cluster.Suspect:
		if d.suspectIsDead(machine, summary, now) {
			d.host.Terminate(machine, "suspect")
		}
	case cluster.Expired:
		if d.missingFromInventory(machine) || now-machine.LastHeartbeat > 2*d.cluster.LeaseDuration {
			d.host.Terminate(machine, "expired")
		}
	}
}

// suspectIsDead reports whether a suspect machine is to be given up.
func (d *Detector) suspectIsDead(machine *cluster.Machine, summary *heartbeatSummary, now micro.Time) bool {
	if d.missingFromInventory(machine) {
		return true
	}
	if machine.PreemptionAt != 0 && now > machine.PreemptionAt+preemptionGrace {
		return true
	}
	// Just after a lapse of the lease nothing has been heard for long: that
	// says nothing of a zone that was missing before. A thousand machines
	// beyond a partition were once terminated in the moment an outage ended.
	return d.SinceHeartbeat(machine, now) > d.config.SuspectAfter && d.machinesLookDead(machine.Zone, summary, now)
}

// evaluateOwnedElsewhere gives a machine of another controller's shard up that its owner does not
// know to be up: one that did not come up, as far as the inventory tells, or that was not heard of
// for two leases, as the leader's own are whose leases have run out. A zone that is cut off tells
// nothing. All else is for the shard's owner to find.
func (d *Detector) evaluateOwnedElsewhere(machine *cluster.Machine, now micro.Time) {
	unreported := d.host.UnreportedFor(machine, now)
	_, unreachable := d.cluster.ZoneUnreachableSince[machine.Zone]
	if unreported == 0 || unreachable || machine.State != cluster.Registering && machine.State != cluster.Up {
		return
	}
	timedOut := now-machine.RequestedAt > d.bootTimeout(machine)
	stillBooting := machine.State == cluster.Registering && machine.CloudState == wire.MachineBooting &&
		now-machine.LastListed < d.maxInventoryAge
	switch {
	case d.missingFromInventory(machine), stillBooting && timedOut:
		d.host.Terminate(machine, "did not come up in its shard")
	case timedOut && unreported > 2*d.cluster.LeaseDuration:
		d.host.Terminate(machine, "not known to its shard's owner")
	}
}

// missingFromInventory reports whether a machine that was listed is no longer, for longer than
// the inventory lags.
func (d *Detector) missingFromInventory(machine *cluster.Machine) bool {
	return machine.LastListed > 0 && d.host.InventoryReadAt()-machine.LastListed > 2*d.inventoryLag()
}

// inventoryLag is how far the cloud's list of instances lags.
func (d *Detector) inventoryLag() micro.Time { return micro.FromSeconds(d.config.Facts.Cloud.ListLagS) }

// checkResponsesLost watches a machine that sends heartbeats but may receive no responses.
func (d *Detector) checkResponsesLost(machine *cluster.Machine, summary *heartbeatSummary, now micro.Time) {
	// If many seem to receive none, the fault is this node's.
	if machine.ResponsesLikelyLost() && !machine.ResponsesLost && summary.responsesLost*3 <= summary.up {
		d.cluster.SetResponsesLost(machine, true, now)
	}
	if machine.ResponsesLost && !machine.Permanent && now-machine.ResponsesLostSince > 2*d.cluster.LeaseDuration {
		d.host.Terminate(machine, "heartbeat responses lost")
	}
}

// checkOverruns checks some of the machines for tasks that take far too long.
func (d *Detector) checkOverruns(now micro.Time) {
	machines := d.cluster.SortedMachines()
	for range (len(machines) + overrunSlices - 1) / overrunSlices {
		d.overrunCursor = (d.overrunCursor + 1) % len(machines)
		machine := machines[d.overrunCursor]
		if machine.State != cluster.Up {
			continue
		}
		for _, allocation := range machine.Allocations {
			if allocation.Job != nil {
				d.cluster.CheckOverrun(allocation, scheduler.EstimatedRuntime(allocation.Job), now)
			}
		}
	}
}

// indicatesFailure reports whether a zone's missing heartbeats look like machines that died
// rather than like a partition: few are missing against those that arrive.
func indicatesFailure(missing, all int) bool {
	return missing <= 1 && all > 1 || missing*3 <= all
}
