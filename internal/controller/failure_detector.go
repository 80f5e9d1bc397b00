package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// zoneHeartbeats counts the machines of a zone that ought to report.
type zoneHeartbeats struct{ expected, missing int }

// heartbeatSummary is what one scan finds, over all machines.
type heartbeatSummary struct {
	zones         map[string]*zoneHeartbeats
	up            int
	suspect       int
	responsesLost int // up, but they seem to hear nothing
}

// sweep watches over the machines.
func (l *Leader) sweep(now micro.Time) {
	l.updateRenewalBound(now)
	summary := l.summarizeHeartbeats(now)
	for name, zone := range summary.zones {
		if !l.indicatesFailure(zone.missing, zone.expected) {
			l.suspectedZones[name] = now
		}
	}
	l.checkReachability(summary.up, summary.suspect, now)
	l.checkOverruns(now)
	for _, m := range l.cluster.SortedMachines() {
		l.evaluateMachine(m, summary, now)
	}
	l.sendTerminations()
}

// summarizeHeartbeats counts the machines by what was heard of them, and marks as silent
// those that were up and have not been heard for long.
func (l *Leader) summarizeHeartbeats(now micro.Time) *heartbeatSummary {
	summary := &heartbeatSummary{zones: map[string]*zoneHeartbeats{}}
	for _, machine := range l.cluster.SortedMachines() {
		if machine.OwnedElsewhere {
			continue // it reports to the owner of its share
		}
		zone := summary.zones[machine.Zone]
		if zone == nil {
			zone = &zoneHeartbeats{}
			summary.zones[machine.Zone] = zone
		}
		sinceHeartbeat := l.sinceHeartbeat(machine, now)
		if machine.State == cluster.Up && sinceHeartbeat > l.node.Cfg.SuspectAfter {
			// Only what proves to have been sent from now on is a sign of life.
			machine.RequiredFencingToken = l.dispatcher.FencingToken() + 1
			l.cluster.TransitionMachine(machine, cluster.Suspect, "no reports")
		}
		if l.heartbeatExpected(machine, sinceHeartbeat, now) {
			l.countHeartbeat(machine, zone, summary, sinceHeartbeat)
		}
	}
	return summary
}

// heartbeatExpected reports whether a machine's silence says anything: not if it never
// came up, is on its way back, or has been silent for so long that it is surely lost.
func (l *Leader) heartbeatExpected(m *cluster.Machine, sinceHeartbeat, now micro.Time) bool {
	if m.State == cluster.Registering && len(m.Allocations) == 0 || m.State == cluster.Terminating {
		return false
	}
	return sinceHeartbeat <= 2*l.cluster.LeaseDuration || !l.cluster.LeaseExpired(m, now)
}

func (l *Leader) countHeartbeat(
	machine *cluster.Machine, zone *zoneHeartbeats, summary *heartbeatSummary, sinceHeartbeat micro.Time,
) {
	zone.expected++
	// A machine is missing once a report is overdue, well before it counts as
	// silent: in a cut, the first to be called silent must not look alone.
	if sinceHeartbeat > l.node.Cfg.HeartbeatOverdueAfter() {
		zone.missing++
	}
	switch machine.State {
	case cluster.Up:
		summary.up++
		if machine.ResponsesLikelyLost() {
			summary.responsesLost++
		}
	case cluster.Suspect:
		summary.suspect++
	case cluster.Registering:
		if len(machine.Allocations) > 0 && sinceHeartbeat > l.node.Cfg.SuspectAfter {
			summary.suspect++ // not one report since the takeover
		}
	}
}

// machinesLookDead reports whether a zone's silent machines look dead rather than out of reach.
// A zone that was out of reach comes back one report at a time: what is still
// missing when most of it is heard again is late, not dead. In the moment a cut
// ended, a leader that had taken over in it once returned 800 live machines.
func (l *Leader) machinesLookDead(zoneName string, summary *heartbeatSummary, now micro.Time) bool {
	zone := summary.zones[zoneName]
	suspectedAt, suspected := l.suspectedZones[zoneName]
	return l.indicatesFailure(zone.missing, zone.expected) && (!suspected || now-suspectedAt > l.node.Cfg.SuspectAfter)
}

// evaluateMachine frees what a machine surely lost and has it returned if it is of no more
// use.
func (l *Leader) evaluateMachine(machine *cluster.Machine, summary *heartbeatSummary, now micro.Time) {
	if machine.OwnedElsewhere {
		l.evaluateOwnedElsewhere(machine, now)
		return
	}
	if len(machine.Allocations) > 0 && machine.State != cluster.Up && l.cluster.LeaseExpired(machine, now) {
		l.cluster.ExpireMachine(machine, now)
	}
	switch machine.State {
	case cluster.Registering:
		if reason := l.registrationFailure(machine, summary, now); reason != "" {
			l.terminate(machine, reason)
		}
	case cluster.Up:
		l.checkResponsesLost(machine, summary, now)
	case cluster.Suspect:
		noticeExpired := machine.PreemptionAt != 0 && now > machine.PreemptionAt+2*micro.Second
		// Just after a lapse of the right nothing has been heard for long: that
		// says nothing of a zone that was silent before. A thousand machines
		// beyond a cut were once returned in the moment an outage ended.
		if l.missingFromInventory(machine) || noticeExpired ||
			l.sinceHeartbeat(machine, now) > l.node.Cfg.SuspectAfter && l.machinesLookDead(machine.Zone, summary, now) {
			l.terminate(machine, "silent")
		}
	case cluster.Expired:
		if l.missingFromInventory(machine) || now-machine.LastHeartbeat > 2*l.cluster.LeaseDuration {
			l.terminate(machine, "lost")
		}
	}
}

// evaluateOwnedElsewhere gives a machine of another controller's share up that never came up, as
// far as the list tells. All else is for the share's owner to find.
func (l *Leader) evaluateOwnedElsewhere(m *cluster.Machine, now micro.Time) {
	if m.State != cluster.Registering || !l.coordinator.MachinesKnown(m, now) {
		return
	}
	if l.missingFromInventory(m) ||
		m.CloudState == wire.MachineBooting && now-m.LastListed < maxInventoryAge && now-m.RequestedAt > l.bootTimeout(m) {
		l.terminate(m, "did not come up in its share")
	}
}

// bootTimeout is after how long a machine that is booting is given up.
func (l *Leader) bootTimeout(m *cluster.Machine) micro.Time {
	bootTime := defaultBootTime
	if m.Type != nil {
		bootTime = micro.FromSeconds(m.Type.BootS)
	}
	return micro.Time(float64(bootTime) * l.node.Cfg.BootTimeoutFactor)
}

// missingFromInventory reports whether a machine that was listed is no longer, for longer than
// the list lags.
func (l *Leader) missingFromInventory(m *cluster.Machine) bool {
	lag := micro.FromSeconds(l.node.Cfg.Facts.Cloud.ListLagS)
	return m.LastListed > 0 && l.inventoryAt-m.LastListed > 2*lag
}

// defaultBootTime is the boot time of a machine whose type is not known.
const defaultBootTime = micro.Minute

// registrationFailure says why a machine that was never heard of in this term is given up,
// "" if it is not.
func (l *Leader) registrationFailure(machine *cluster.Machine, summary *heartbeatSummary, now micro.Time) string {
	cfg := l.node.Cfg
	bootTime := defaultBootTime
	if machine.Type != nil {
		bootTime = micro.FromSeconds(machine.Type.BootS)
	}
	age := now - max(machine.RequestedAt, l.cluster.TermStartedAt-micro.FromSeconds(3600))
	bootTimeout := l.bootTimeout(machine)
	waited := now - max(l.cluster.TermStartedAt, l.resumedAt)
	idle := len(machine.Allocations) == 0
	switch {
	case machine.LastListed == 0 && now-l.inventoryAt < maxInventoryAge && idle && waited > cfg.SuspectAfter && age > bootTimeout+2*micro.FromSeconds(cfg.Facts.Cloud.ListLagS):
		return "never listed, never heard"
	case l.missingFromInventory(machine) && waited > cfg.SuspectAfter:
		return "no longer listed, never heard"
	case machine.CloudState == wire.MachineRunning && waited > max(15*micro.Second, cfg.RegistrationWindow()) && age > 3*bootTime && now-machine.LastListed < micro.Minute && l.machinesLookDead(machine.Zone, summary, now):
		return "listed as running, never heard"
	case !idle && waited > cfg.SuspectAfter+4*micro.Second && l.machinesLookDead(machine.Zone, summary, now) && l.registrationRoundOver(machine, summary, waited):
		return "silent since the takeover"
	case machine.CloudState == wire.MachineBooting && now-machine.LastListed < maxInventoryAge && idle && waited > cfg.SuspectAfter && age > bootTimeout:
		return "did not come up"
	}
	return ""
}

// registrationRoundOver reports whether a machine has had time to find this leader: few of its
// zone are missing, or each worker has surely tried all nodes.
func (l *Leader) registrationRoundOver(m *cluster.Machine, summary *heartbeatSummary, waited micro.Time) bool {
	zone := summary.zones[m.Zone]
	return zone.missing*fewMissingDivisor <= zone.expected || waited > l.node.Cfg.RegistrationWindow()
}

// checkResponsesLost watches a machine that reports but may hear nothing.
func (l *Leader) checkResponsesLost(m *cluster.Machine, summary *heartbeatSummary, now micro.Time) {
	// If many seem to hear nothing, the fault is this node's.
	if m.ResponsesLikelyLost() && !m.ResponsesLost && summary.responsesLost*3 <= summary.up {
		l.cluster.SetResponsesLost(m, true, now)
	}
	if m.ResponsesLost && !m.Permanent && now-m.ResponsesLostSince > 2*l.cluster.LeaseDuration {
		l.terminate(m, "hears nothing")
	}
}

// checkOverruns looks over some of the machines for tasks that take far too long.
func (l *Leader) checkOverruns(now micro.Time) {
	machines := l.cluster.SortedMachines()
	for range (len(machines) + overrunSlices - 1) / overrunSlices {
		l.overrunCursor = (l.overrunCursor + 1) % len(machines)
		if m := machines[l.overrunCursor]; m.State == cluster.Up {
			for _, p := range m.Allocations {
				if p.Job != nil {
					l.cluster.CheckOverrun(p, scheduler.EstimatedRuntime(p.Job), now)
				}
			}
		}
	}
}

// overrunSlices is in how many scans all machines are looked over.
const overrunSlices = 4

// sinceHeartbeat is how long a machine has been silent while this node was listening:
// while its right had lapsed, it turned every worker away. Counted from the last
// report alone, an outage of the store once had eleven live machines returned in
// the moment it ended.
func (l *Leader) sinceHeartbeat(m *cluster.Machine, now micro.Time) micro.Time {
	return now - max(m.LastHeartbeat, l.cluster.TermStartedAt, l.resumedAt)
}

// indicatesFailure reports whether a zone's silence looks like machines that died rather
// than like a cut: few are silent against those that report.
func (l *Leader) indicatesFailure(missing, all int) bool {
	return missing <= 1 && all > 1 || missing*3 <= all
}

// fewMissingDivisor is the part of a zone that may be missing soon after a takeover
// before a worker's whole round of the nodes is waited for: where nodes are out
// of reach, each costs it a while, and dozens of live machines were returned.
const fewMissingDivisor = 12
