package controller

import "notchmux.dev/notchmux/internal/micro"

// checkReachability gives the lead to another node if no worker reaches this one: it may
// be cut off from them, and their leases run.
func (l *Leader) checkReachability(ready, suspect int, now micro.Time) {
	gapExceeded := l.heartbeatGap.exceeded(l.heartbeatsReceived, ready, now, l.node.Cfg.MaxHeartbeatInterval())
	if ready > 0 && !gapExceeded {
		l.node.lastHandover.Store(nil)
	}
	if len(l.node.Cfg.Peers) == 0 || !gapExceeded && (ready > 0 || suspect < minSuspectMachines) {
		l.unreachableSince = 0
		return
	}
	if l.unreachableSince == 0 {
		l.unreachableSince = now
	}
	if !gapExceeded && now-l.unreachableSince <= micro.Second {
		return
	}
	l.unreachableSince = 0
	l.handOverLeadership(now)
}

// minSuspectMachines is how many machines must be silent before the leader doubts itself.
const minSuspectMachines = 3

// handOverLeadership resigns in favour of another node, unless that was tried in vain.
func (l *Leader) handOverLeadership(now micro.Time) {
	if l.owner != nil {
		l.owner.unreachable = true // the leader moves the share
		return
	}
	previous := l.node.lastHandover.Load()
	if previous == nil || l.cluster.TermStartedAt-previous.lastAt > l.node.handoverWindow() {
		previous = &leadershipHandover{}
	}
	if previous.count == maxHandovers {
		return
	}
	l.node.lastHandover.Store(&leadershipHandover{now, previous.count + 1})
	// Two nodes that no worker reached once won elections in turn, until both had
	// handed over as often as they do, and one stayed: the third never led.
	l.node.election.DeferCampaign(l.node.handoverWindow())
	l.resign("no worker reaches this node")
}

// leadershipHandover is when this node last gave the lead away because no worker reached it,
// and how often in a row. Where all machines had died, the nodes once handed the
// lead round for ever: no term lasted long enough to find them dead, and to rent
// others. One that has tried the others in vain stays.
type leadershipHandover struct {
	lastAt micro.Time
	count  int
}

// maxHandovers leaves each of the others its chance, whoever is elected first.
const maxHandovers = 2

// maxUnreachableTerm is how long a term lasts beside the time until machines count as silent
// where no worker reaches the leader: election, takeover and hand-over. With 5 s for it,
// four nodes whose machines were all dead came round just too late to remember that they
// had handed over before, and none ever stayed.
const maxUnreachableTerm = 10 * micro.Second

// handoverWindow is how soon this node leads again if none of the others hears more.
func (n *Node) handoverWindow() micro.Time {
	return micro.Time(len(n.Cfg.Peers)+1) * (n.Cfg.SuspectAfter + maxUnreachableTerm)
}

// heartbeatGap watches for a spell in which no worker at all reports. Single machines
// count as silent only after a late report and a lost answer; but when hundreds of
// live workers report every few seconds, a spell of two without any report cannot
// be chance: the leader is cut off from its workers. Found by single machines
// alone, that took twice a report interval, in which nothing started and no
// completion was heard.
type heartbeatGap struct {
	heartbeats uint64     // how many there had been at the last look
	checkedAt  micro.Time // when that was
	duration   micro.Time // how long none has come, as far as this node listened
}

const (
	// minHeartbeatGap is the shortest spell that counts: links stall for a second.
	minHeartbeatGap = 2500 * micro.Millisecond
	// minMissedHeartbeats is how many reports the live workers must have owed in it.
	minMissedHeartbeats = 40
	// maxGapStep bounds what one look adds: a node that got no processor time
	// has not listened.
	maxGapStep = 600 * micro.Millisecond
)

// exceeded takes in a look, by the number of reports so far and of workers that
// are up, and tells whether the silence is this node's own.
func (s *heartbeatGap) exceeded(heartbeats uint64, up int, now, longestInterval micro.Time) bool {
	listened := min(now-s.checkedAt, maxGapStep)
	if heartbeats != s.heartbeats || s.checkedAt == 0 {
		listened, s.duration = 0, 0
	}
	s.heartbeats, s.checkedAt = heartbeats, now
	s.duration += listened
	return s.duration >= minHeartbeatGap && micro.Time(up)*s.duration >= minMissedHeartbeats*longestInterval
}
