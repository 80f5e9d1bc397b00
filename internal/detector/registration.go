package detector

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

const (
	// defaultBootTime is the boot time assumed for a machine of unknown type.
	defaultBootTime = micro.Minute
	// maxRequestAge bounds the time between the request of a machine and the start of the term
	// when its age is computed.
	maxRequestAge = 3600 * micro.Second
	// minRunningWait is the least time to wait for the heartbeat of a machine that is listed as
	// running.
	minRunningWait = 15 * micro.Second
	// maxRunningListAge is the greatest age of the inventory that lists it as running.
	maxRunningListAge = micro.Minute
	// allocatedGrace is added to SuspectAfter for the time to wait, after a failover, for the
	// heartbeat of a machine with allocations.
	allocatedGrace = 4 * micro.Second
	// fewMissingDivisor limits the machines of a zone that may be assumed dead before every agent has
	// had time to try all nodes after a failover: at most one in so many may be missing. Each
	// unreachable node delays an agent; without this limit, dozens of live machines were
	// terminated.
	fewMissingDivisor = 12
)

// registration describes a machine that has not sent a heartbeat in this term.
type registration struct {
	*cluster.Machine
	now         micro.Time
	age         micro.Time // time since it was requested
	bootTime    micro.Time // boot time of its type
	bootTimeout micro.Time // time after which a booting machine is terminated
	waited      micro.Time // time for which this node has been receiving heartbeats
	idle        bool       // it has no allocations
}

// registration returns what is known of a machine's boot and of the time that it had to send a heartbeat.
func (d *Detector) registration(machine *cluster.Machine, now micro.Time) registration {
	return registration{
		Machine:     machine,
		now:         now,
		age:         now - max(machine.RequestedAt, d.cluster.TermStartedAt-maxRequestAge),
		bootTime:    bootTime(machine),
		bootTimeout: d.bootTimeout(machine),
		waited:      now - max(d.cluster.TermStartedAt, d.listening.resumedAt),
		idle:        len(machine.Allocations) == 0,
	}
}

// bootTime returns the boot time of a machine's type, or the default for an unknown type.
func bootTime(machine *cluster.Machine) micro.Time {
	if machine.Type == nil {
		return defaultBootTime
	}
	return micro.FromSeconds(machine.Type.BootS)
}

// bootTimeout returns the time after which a machine that is still booting is terminated.
func (d *Detector) bootTimeout(machine *cluster.Machine) micro.Time {
	return micro.Time(float64(bootTime(machine)) * d.config.BootTimeoutFactor)
}

// registrationFailure returns the reason to terminate a machine that has not sent a heartbeat in this
// term, or "" if there is none.
func (d *Detector) registrationFailure(machine *cluster.Machine, summary *heartbeatSummary, now micro.Time) string {
	waiting := d.registration(machine, now)
	switch {
	case d.neverListed(waiting):
		return "never listed, no heartbeat"
	case d.missingFromInventory(machine) && waiting.waited > d.config.SuspectAfter:
		return "no longer listed, no heartbeat"
	case d.runningUnregistered(waiting) && d.machinesLookDead(machine.Zone, summary, now):
		return "listed as running, no heartbeat"
	case d.silentSinceFailover(waiting, summary):
		return "no heartbeat since the failover"
	case d.bootTimedOut(waiting):
		return "did not boot in time"
	}
	return ""
}

// neverListed reports whether a machine should be in the inventory by now but never was.
func (d *Detector) neverListed(machine registration) bool {
	return machine.LastListed == 0 && machine.now-d.host.InventoryReadAt() < d.maxInventoryAge && machine.idle &&
		machine.waited > d.config.SuspectAfter && machine.age > machine.bootTimeout+2*d.inventoryLag()
}

// runningUnregistered reports whether a machine is listed as running and has had time to send a
// heartbeat to this node.
func (d *Detector) runningUnregistered(machine registration) bool {
	return machine.CloudState == wire.MachineRunning &&
		machine.waited > max(minRunningWait, d.config.RegistrationWindow()) &&
		machine.age > 3*machine.bootTime && machine.now-machine.LastListed < maxRunningListAge
}

// silentSinceFailover reports whether a machine that had allocations before the failover is assumed
// dead.
func (d *Detector) silentSinceFailover(machine registration, summary *heartbeatSummary) bool {
	return !machine.idle && machine.waited > d.config.SuspectAfter+allocatedGrace &&
		d.machinesLookDead(machine.Zone, summary, machine.now) &&
		d.registrationRoundOver(machine, summary)
}

// registrationRoundOver reports whether a machine has had time to find this leader: only few machines
// of its zone are missing, or the time in which each agent tries all nodes has passed.
func (d *Detector) registrationRoundOver(machine registration, summary *heartbeatSummary) bool {
	zone := summary.zones[machine.Zone]
	return zone.missing*fewMissingDivisor <= zone.expected || machine.waited > d.config.RegistrationWindow()
}

// bootTimedOut reports whether a machine is listed as still booting after its boot timeout.
func (d *Detector) bootTimedOut(machine registration) bool {
	return machine.CloudState == wire.MachineBooting && machine.now-machine.LastListed < d.maxInventoryAge &&
		machine.idle && machine.waited > d.config.SuspectAfter && machine.age > machine.bootTimeout
}
