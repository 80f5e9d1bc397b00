package detector

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

const (
	// overrunSlices is the number of sweeps that it takes to check all machines for tasks that
	// overrun.
	overrunSlices = 4
	// preemptionGrace is how long after its preemption time a suspect machine is terminated.
	preemptionGrace = 2 * micro.Second
)

// zoneHeartbeats counts the machines of a zone that are expected to send heartbeats, and those of
// them whose heartbeat is overdue.
type zoneHeartbeats struct{ expected, missing int }

// heartbeatSummary holds the counts of one sweep over all machines.
type heartbeatSummary struct {
	zones         map[string]*zoneHeartbeats
	up            int
	suspect       int
	responsesLost int // up, but their agents seem not to receive responses

	suspectBeforeContact int // suspect already when the last agent reached this node

	gapExceeded bool // no heartbeat of any machine arrived for too long
}

// zone returns the counts of a zone, and adds the zone if it is missing.
func (s *heartbeatSummary) zone(name string) *zoneHeartbeats {
	zone := s.zones[name]
	if zone == nil {
		zone = &zoneHeartbeats{}
		s.zones[name] = zone
	}
	return zone
}

// Sweep checks all machines: it marks machines whose heartbeats stopped as suspect, expires machines
// whose lease has certainly expired, and terminates machines that are assumed dead.
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

// summarizeHeartbeats counts the machines by the state of their heartbeats. It marks machines that
// were up as suspect if they have sent no heartbeat for longer than SuspectAfter.
func (d *Detector) summarizeHeartbeats(now micro.Time) *heartbeatSummary {
	summary := &heartbeatSummary{zones: map[string]*zoneHeartbeats{}}
	for _, machine := range d.cluster.SortedMachines() {
		if machine.OwnedElsewhere {
			continue // its agent sends heartbeats to the owner of its shard
		}
		zone := summary.zone(machine.Zone)
		sinceHeartbeat := d.SinceHeartbeat(machine, now)
		if machine.State == cluster.Up && sinceHeartbeat > d.config.SuspectAfter {
			// Only a heartbeat with a newer token is a liveness proof: it was sent after this point.
			machine.RequiredFencingToken = d.tokens.FencingToken() + 1
			d.cluster.TransitionMachine(machine, cluster.Suspect, "no heartbeats")
		}
		if d.heartbeatExpected(machine, sinceHeartbeat, now) {
			d.countMachine(machine, zone, summary, sinceHeartbeat, now)
		}
	}
	return summary
}

// heartbeatExpected reports whether missing heartbeats of a machine indicate a failure or a
// partition. They do not if the machine has not booted yet, is being terminated, or has been silent
// for so long that its lease has certainly expired.
func (d *Detector) heartbeatExpected(machine *cluster.Machine, sinceHeartbeat, now micro.Time) bool {
	if machine.State == cluster.Registering && len(machine.Allocations) == 0 || machine.State == cluster.Terminating {
		return false
	}
	return sinceHeartbeat <= 2*d.cluster.LeaseDuration || !d.cluster.LeaseExpired(machine, now)
}

// countMachine adds a machine to the counts of its zone and of the sweep.
func (d *Detector) countMachine(
	machine *cluster.Machine, zone *zoneHeartbeats, summary *heartbeatSummary, sinceHeartbeat, now micro.Time,
) {
	zone.expected++
	// A machine is missing once a heartbeat is overdue, well before it becomes suspect. Otherwise
	// the first suspect machines of a partitioned zone would look like single dead machines.
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

// isSuspect reports whether heartbeats of a machine that may be running tasks are missing: it was up
// before, or has allocations and has sent no heartbeat since the failover.
func (d *Detector) isSuspect(machine *cluster.Machine, sinceHeartbeat micro.Time) bool {
	switch machine.State {
	case cluster.Suspect:
		return true
	case cluster.Registering:
		return len(machine.Allocations) > 0 && sinceHeartbeat > d.config.SuspectAfter
	}
	return false
}

// countSuspect counts a suspect machine, and whether it was suspect already when the last agent
// reached this node.
func (d *Detector) countSuspect(summary *heartbeatSummary, sinceHeartbeat, now micro.Time) {
	summary.suspect++
	if d.silentBeforeContact(sinceHeartbeat, now) {
		summary.suspectBeforeContact++
	}
}

// machinesLookDead reports whether a zone's suspect machines look dead rather than partitioned.
// After a partition the machines of the zone reconnect one heartbeat at a time: those that are
// still missing when most have reconnected are late, not dead. A leader that had been elected
// during a partition once terminated 800 live machines at the moment the partition ended.
func (d *Detector) machinesLookDead(zoneName string, summary *heartbeatSummary, now micro.Time) bool {
	zone := summary.zones[zoneName]
	suspectedAt, suspected := d.suspectedZones[zoneName]
	return indicatesFailure(zone.missing, zone.expected) && (!suspected || now-suspectedAt > d.config.SuspectAfter)
}

// evaluateMachine releases the allocations of a machine whose lease has certainly expired, and
// terminates a machine that has failed.
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

// suspectIsDead reports whether a suspect machine is to be terminated.
func (d *Detector) suspectIsDead(machine *cluster.Machine, summary *heartbeatSummary, now micro.Time) bool {
	if d.missingFromInventory(machine) {
		return true
	}
	if machine.PreemptionAt != 0 && now > machine.PreemptionAt+preemptionGrace {
		return true
	}
	// Just after this node regains its lease, no heartbeat has arrived for long, which does not
	// show whether a zone that was missing before is dead. A thousand machines behind a partition
	// were once terminated at the moment an outage ended.
	return d.SinceHeartbeat(machine, now) > d.config.SuspectAfter && d.machinesLookDead(machine.Zone, summary, now)
}

// evaluateOwnedElsewhere terminates a machine of another controller's shard that its owner has not
// reported up: a machine that did not boot in time according to the inventory, or that has been
// unreported for two lease durations, the limit for the leader's own expired machines. In an
// unreachable zone no machine is terminated, since reports are missing for all of them. All other
// failures are detected by the shard's owner.
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
		d.host.Terminate(machine, "did not boot in time in its shard")
	case timedOut && unreported > 2*d.cluster.LeaseDuration:
		d.host.Terminate(machine, "not reported up by its shard's owner")
	}
}

// missingFromInventory reports whether a machine that was listed before has been absent from the
// inventory for longer than the inventory may lag.
func (d *Detector) missingFromInventory(machine *cluster.Machine) bool {
	return machine.LastListed > 0 && d.host.InventoryReadAt()-machine.LastListed > 2*d.inventoryLag()
}

// inventoryLag returns how far the cloud's inventory may lag.
func (d *Detector) inventoryLag() micro.Time { return micro.FromSeconds(d.config.Facts.Cloud.ListLagS) }

// checkResponsesLost marks a machine that sends heartbeats but seems to receive no responses, and
// terminates it if this lasts.
func (d *Detector) checkResponsesLost(machine *cluster.Machine, summary *heartbeatSummary, now micro.Time) {
	// If more than a third of the machines seem to receive none, the cause is this node.
	if machine.ResponsesLikelyLost() && !machine.ResponsesLost && summary.responsesLost*3 <= summary.up {
		d.cluster.SetResponsesLost(machine, true, now)
	}
	if machine.ResponsesLost && !machine.Permanent && now-machine.ResponsesLostSince > 2*d.cluster.LeaseDuration {
		d.host.Terminate(machine, "heartbeat responses lost")
	}
}

// checkOverruns checks one of overrunSlices parts of the machines for tasks that run far longer than
// estimated.
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

// indicatesFailure reports whether missing heartbeats of a zone indicate dead machines rather than a
// partition: at most a third of all are missing, or one of several.
func indicatesFailure(missing, all int) bool {
	return missing <= 1 && all > 1 || missing*3 <= all
}
