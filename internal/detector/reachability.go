package detector

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

const (
	// minSuspectMachines is how many machines must be suspect before a leader none of whose
	// machines is up doubts itself.
	minSuspectMachines = 3
	// minUnreachableTime is for how long it must find none up.
	minUnreachableTime = micro.Second
)

// reachability is what this node's machines showed of whether agents reach it.
type reachability struct {
	lastContact      micro.Time // last heartbeat of a machine that was up here, in this term; 0: none was
	unreachableSince micro.Time // since when no agent sends heartbeats; 0: some do
	lastSweep        heartbeatSummary
}

// Reachability is by what a Detector judges whether agents reach this node.
type Reachability struct {
	Up                   int        // machines whose agents reach it
	Suspect              int        // machines whose heartbeats are missing
	SuspectBeforeContact int        // those of them that were suspect when the last agent reached it
	SinceContact         micro.Time // since an agent last reached this node, or since the term began
	HeartbeatGap         bool       // heartbeats of all machines at once stopped coming
}

// Reachability is what the last sweep found.
func (d *Detector) Reachability(now micro.Time) Reachability {
	last := &d.reachability.lastSweep
	return Reachability{
		Up: last.up, Suspect: last.suspect, SuspectBeforeContact: last.suspectBeforeContact,
		SinceContact: now - max(d.handovers.LastContact(), d.cluster.TermStartedAt), HeartbeatGap: last.gapExceeded,
	}
}

// silentBeforeContact reports whether a machine was suspect already when the last agent
// reached this node: its silence since then says nothing of this node. A leader once returned
// the only machine that was up, took the dead ones for a sign that no agent reaches it, and
// handed over. So did the next ones: no term was long enough to prove the dead machines
// expired, and what waited for the quota that they held was never served. Once leases have run
// out since that contact, all machines count again: what is not expired by then is alive
// beyond a partition.
func (d *Detector) silentBeforeContact(sinceHeartbeat, now micro.Time) bool {
	sinceContact := now - d.handovers.LastContact()
	return sinceHeartbeat-sinceContact > d.config.SuspectAfter && sinceContact <= d.cluster.LeaseDuration
}

// SilentMachines are the machines whose silence speaks against this node, and whose agents'
// addresses are known.
func (d *Detector) SilentMachines(now micro.Time) []*cluster.Machine {
	var silent []*cluster.Machine
	for _, machine := range d.cluster.SortedMachines() {
		sinceHeartbeat := d.SinceHeartbeat(machine, now)
		if machine.OwnedElsewhere || machine.Addr == "" || !d.heartbeatExpected(machine, sinceHeartbeat, now) {
			continue
		}
		if d.isSuspect(machine, sinceHeartbeat) && !d.silentBeforeContact(sinceHeartbeat, now) {
			silent = append(silent, machine)
		}
	}
	return silent
}

// observeContact takes in the last heartbeat of a machine that is up.
func (d *Detector) observeContact(machine *cluster.Machine) {
	d.reachability.lastContact = max(d.reachability.lastContact, machine.LastHeartbeat)
	d.handovers.ObserveContact(machine.LastHeartbeat)
}

// ReachedSince reports whether an agent has reached this node since a time. The last sweep may not know of it
// yet.
func (d *Detector) ReachedSince(at micro.Time) bool {
	for _, machine := range d.cluster.SortedMachines() {
		if machine.State == cluster.Up && !machine.OwnedElsewhere {
			d.observeContact(machine)
		}
	}
	return d.handovers.LastContact() > at
}

// reachedLongEnough reports whether agents reached this node for longer than it takes until
// machines that send no heartbeats are suspect. A single one that came up for a moment
// does not show that the next handover would be for another reason than the last.
func (d *Detector) reachedLongEnough() bool {
	listeningSince := max(d.cluster.TermStartedAt, d.listening.resumedAt)
	return d.reachability.lastContact-listeningSince > d.config.SuspectAfter
}

// checkReachability hands over to another node if no agent reaches this one: it may
// be partitioned from them, and their leases run.
func (d *Detector) checkReachability(summary *heartbeatSummary, now micro.Time) {
	up, newlySuspect := summary.up, summary.suspect-summary.suspectBeforeContact
	gapExceeded := d.gap.exceeded(d.heartbeats, up, now, d.config.MaxHeartbeatInterval())
	summary.gapExceeded = gapExceeded
	d.reachability.lastSweep = *summary
	if up > 0 && !gapExceeded && d.reachedLongEnough() {
		d.handovers.Reset()
	}
	// Another loop of this node may be reached: what is up there counts as it does here.
	reached := up > 0 || now-d.handovers.LastContact() <= d.config.SuspectAfter
	if len(d.config.Peers) == 0 || !gapExceeded && (reached || newlySuspect < minSuspectMachines) {
		d.reachability.unreachableSince = 0
		return
	}
	if d.reachability.unreachableSince == 0 {
		d.reachability.unreachableSince = now
	}
	if !gapExceeded && now-d.reachability.unreachableSince <= minUnreachableTime {
		return
	}
	d.reachability.unreachableSince = 0
	d.host.HandleUnreachableAgents(now)
}

// heartbeatGap watches for a time in which no agent at all sends heartbeats. Single machines
// count as suspect only after a late heartbeat and a lost response; but when hundreds of
// live agents send theirs every few seconds, two seconds without any cannot
// be chance: the leader is partitioned from its agents. Found by single machines
// alone, that took twice a heartbeat interval, in which nothing started and no
// completion was heard.
type heartbeatGap struct {
	heartbeats uint64     // how many there had been at the last look
	checkedAt  micro.Time // when that was
	duration   micro.Time // how long none has come, as far as this node listened
}

const (
	// minHeartbeatGap is the shortest gap that counts: links stall for a second.
	minHeartbeatGap = 2500 * micro.Millisecond
	// minMissedHeartbeats is how many heartbeats the live agents must have owed in it.
	minMissedHeartbeats = 40
	// maxGapStep bounds what one look adds: a node that got no processor time
	// has not listened.
	maxGapStep = 600 * micro.Millisecond
)

// exceeded takes in a look, by the number of heartbeats so far and of machines that
// are up, and tells whether the gap is this node's own fault.
func (s *heartbeatGap) exceeded(heartbeats uint64, up int, now, longestInterval micro.Time) bool {
	listened := min(now-s.checkedAt, maxGapStep)
	if heartbeats != s.heartbeats || s.checkedAt == 0 {
		listened, s.duration = 0, 0
	}
	s.heartbeats, s.checkedAt = heartbeats, now
	s.duration += listened
	return s.duration >= minHeartbeatGap && micro.Time(up)*s.duration >= minMissedHeartbeats*longestInterval
}
