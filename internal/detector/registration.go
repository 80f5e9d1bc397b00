package detector

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

const (
	// defaultBootTime is the boot time of a machine whose type is not known.
	defaultBootTime = micro.Minute
	// maxRequestAge bounds how long before the term a machine counts as requested.
	maxRequestAge = 3600 * micro.Second
	// minRunningWait is how long a machine that is listed as running is waited for at the
	// least.
	minRunningWait = 15 * micro.Second
	// maxRunningListAge is how old the list that shows it as running may be.
	maxRunningListAge = micro.Minute
	// allocatedGrace is how much longer than until it would be suspect a machine with
	// allocations is waited for after a failover.
	allocatedGrace = 4 * micro.Second
	// fewMissingDivisor is the part of a zone that may be missing soon after a failover
	// before an agent's whole round of the nodes is waited for: where nodes are out
	// of reach, each costs it a while, and dozens of live machines were terminated.
	fewMissingDivisor = 12
)

// registration is how far a machine got that was not heard of in this term.
type registration struct {
	*cluster.Machine
	now         micro.Time
	age         micro.Time // since it was requested
	bootTime    micro.Time // how long a machine of its type takes to boot
	bootTimeout micro.Time // after how long one that is booting is given up
	waited      micro.Time // how long this node has listened for it
	idle        bool       // nothing is allocated on it
}

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

// bootTime is how long a machine takes to boot.
func bootTime(machine *cluster.Machine) micro.Time {
	if machine.Type == nil {
		return defaultBootTime
	}
	return micro.FromSeconds(machine.Type.BootS)
}

// bootTimeout is after how long a machine that is booting is given up.
func (d *Detector) bootTimeout(machine *cluster.Machine) micro.Time {
	return micro.Time(float64(bootTime(machine)) * d.config.BootTimeoutFactor)
}

// registrationFailure says why a machine that was never heard of in this term is given up,
// "" if it is not.
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
		return "did not come up"
	}
	return ""
}

// neverListed reports whether a machine ought to be in the inventory by now, and never was.
func (d *Detector) neverListed(machine registration) bool {
	return machine.LastListed == 0 && machine.now-d.host.InventoryReadAt() < d.maxInventoryAge && machine.idle &&
		machine.waited > d.config.SuspectAfter && machine.age > machine.bootTimeout+2*d.inventoryLag()
}

// runningUnregistered reports whether a machine runs, as the inventory tells, and has had time to
// find this node.
func (d *Detector) runningUnregistered(machine registration) bool {
	return machine.CloudState == wire.MachineRunning &&
		machine.waited > max(minRunningWait, d.config.RegistrationWindow()) &&
		machine.age > 3*machine.bootTime && machine.now-machine.LastListed < maxRunningListAge
}

// silentSinceFailover reports whether a machine that had work before the failover looks dead.
func (d *Detector) silentSinceFailover(machine registration, summary *heartbeatSummary) bool {
	return !machine.idle && machine.waited > d.config.SuspectAfter+allocatedGrace &&
		d.machinesLookDead(machine.Zone, summary, machine.now) &&
		d.registrationRoundOver(machine, summary)
}

// registrationRoundOver reports whether a machine has had time to find this leader: few of its
// zone are missing, or each agent has surely tried all nodes.
func (d *Detector) registrationRoundOver(machine registration, summary *heartbeatSummary) bool {
	zone := summary.zones[machine.Zone]
	return zone.missing*fewMissingDivisor <= zone.expected || machine.waited > d.config.RegistrationWindow()
}

// bootTimedOut reports whether a machine is still booting, as the inventory tells, after too
// long a time.
func (d *Detector) bootTimedOut(machine registration) bool {
	return machine.CloudState == wire.MachineBooting && machine.now-machine.LastListed < d.maxInventoryAge &&
		machine.idle && machine.waited > d.config.SuspectAfter && machine.age > machine.bootTimeout
}
