package detector

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

const (
	// minSuspectMachines is the number of newly suspect machines from which a node with no
	// machine up considers itself unreachable.
	minSuspectMachines = 3
	// minUnreachableTime is how long this must hold before the host is notified.
	minUnreachableTime = micro.Second
)

// reachability tracks whether agents reach this node.
type reachability struct {
	lastContact      micro.Time // last heartbeat in this term of a machine that was up; 0: none was
	unreachableSince micro.Time // since when no agent has reached this node; 0: agents reach it
	lastSweep        heartbeatSummary
}

// Reachability holds the observations from which a Detector decides whether agents reach this node.
type Reachability struct {
	Up                   int        // machines whose agents reach this node
	Suspect              int        // machines whose heartbeats are missing
	SuspectBeforeContact int        // suspect machines that were suspect already at the last contact with an agent
	SinceContact         micro.Time // time since an agent last reached this node, or since the term started
	HeartbeatGap         bool       // heartbeats of all machines stopped at the same time
}

// Reachability returns the observations of the last sweep.
func (d *Detector) Reachability(now micro.Time) Reachability {
	last := &d.reachability.lastSweep
	return Reachability{
		Up: last.up, Suspect: last.suspect, SuspectBeforeContact: last.suspectBeforeContact,
		SinceContact: now - max(d.handovers.LastContact(), d.cluster.TermStartedAt), HeartbeatGap: last.gapExceeded,
	}
}

// silentBeforeContact reports whether a machine was suspect already when the last agent reached
// this node, so that its missing heartbeats do not indicate that this node is unreachable.
//
// A leader once terminated the only machine that was up, concluded from the dead ones that no agent
// reached it, and handed over. The next leaders did the same: no term was long enough for the leases
// of the dead machines to expire, and jobs that waited for the quota held by these machines were
// never served. Once a lease duration has passed since the last contact, all machines count again:
// a machine that has not expired by then is alive behind a partition.
func (d *Detector) silentBeforeContact(sinceHeartbeat, now micro.Time) bool {
	sinceContact := now - d.handovers.LastContact()
	return sinceHeartbeat-sinceContact > d.config.SuspectAfter && sinceContact <= d.cluster.LeaseDuration
}

// SilentMachines returns the machines with a known agent address whose missing heartbeats indicate
// that agents cannot reach this node.
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

// observeContact records the last heartbeat of a machine that is up as a contact with this node.
func (d *Detector) observeContact(machine *cluster.Machine) {
	d.reachability.lastContact = max(d.reachability.lastContact, machine.LastHeartbeat)
	d.handovers.ObserveContact(machine.LastHeartbeat)
}

// ReachedSince reports whether an agent has reached this node after the given time. It includes
// heartbeats that arrived after the last sweep.
func (d *Detector) ReachedSince(at micro.Time) bool {
	for _, machine := range d.cluster.SortedMachines() {
		if machine.State == cluster.Up && !machine.OwnedElsewhere {
			d.observeContact(machine)
		}
	}
	return d.handovers.LastContact() > at
}

// reachedLongEnough reports whether agents have reached this node for longer than SuspectAfter. A
// single machine that was up for a shorter time does not show that the cause of the previous
// handover no longer exists.
func (d *Detector) reachedLongEnough() bool {
	listeningSince := max(d.cluster.TermStartedAt, d.listening.resumedAt)
	return d.reachability.lastContact-listeningSince > d.config.SuspectAfter
}

// checkReachability notifies the host if no agent reaches this node, so that another node may take
// over before the agents' leases expire: this node may be partitioned from them.
func (d *Detector) checkReachability(summary *heartbeatSummary, now micro.Time) {
	up, newlySuspect := summary.up, summary.suspect-summary.suspectBeforeContact
	gapExceeded := d.gap.exceeded(d.heartbeats, up, now, d.config.MaxHeartbeatInterval())
	summary.gapExceeded = gapExceeded
	d.reachability.lastSweep = *summary
	if up > 0 && !gapExceeded && d.reachedLongEnough() {
		d.handovers.Reset()
	}
	// A contact with another event loop of this node counts as well: it uses the same network.
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

// heartbeatGap detects a time in which no agent at all sends heartbeats. A single machine becomes
// suspect only after the time for a late heartbeat and a lost response. But when hundreds of live
// agents send heartbeats every few seconds, two seconds without any are no coincidence: the leader
// is partitioned from its agents. Detection by suspect machines alone took twice the heartbeat
// interval, during which no task started and no completion was received.
type heartbeatGap struct {
	heartbeats uint64     // heartbeats received up to the last check
	checkedAt  micro.Time // time of the last check; 0: none yet
	duration   micro.Time // time without heartbeats while this node was receiving
}

const (
	// minHeartbeatGap is the shortest gap that counts: links stall for a second.
	minHeartbeatGap = 2500 * micro.Millisecond
	// minMissedHeartbeats is the least number of heartbeats that were due during a gap that counts.
	minMissedHeartbeats = 40
	// maxGapStep bounds the time that one check adds to the gap: a node that got no processor
	// time has not received heartbeats either.
	maxGapStep = 600 * micro.Millisecond
)

// exceeded updates the gap from the number of heartbeats received so far. It reports whether the gap
// is too long for the number of machines that are up, so that this node must be partitioned.
func (s *heartbeatGap) exceeded(heartbeats uint64, up int, now, longestInterval micro.Time) bool {
	listened := min(now-s.checkedAt, maxGapStep)
	if heartbeats != s.heartbeats || s.checkedAt == 0 {
		listened, s.duration = 0, 0
	}
	s.heartbeats, s.checkedAt = heartbeats, now
	s.duration += listened
	return s.duration >= minHeartbeatGap && micro.Time(up)*s.duration >= minMissedHeartbeats*longestInterval
}
