package controller

import "notchmux.dev/notchmux/internal/micro"

// hearing gives the lead to another node if no worker reaches this one: it may
// be cut off from them, and their leases run.
func (l *Lead) hearing(up, silent int, now micro.Time) {
	unheard := l.silence.tooLong(l.reports, up, now, l.n.Cfg.LongestReportInterval())
	if up > 0 && !unheard {
		l.n.handover.Store(nil)
	}
	if len(l.n.Cfg.Peers) == 0 || !unheard && (up > 0 || silent < minSilent) {
		l.deaf = 0
		return
	}
	if l.deaf == 0 {
		l.deaf = now
	}
	if !unheard && now-l.deaf <= micro.Second {
		return
	}
	l.deaf = 0
	l.handOver(now)
}

// minSilent is how many machines must be silent before the leader doubts itself.
const minSilent = 3

// handOver resigns in favour of another node, unless that was tried in vain.
func (l *Lead) handOver(now micro.Time) {
	if l.owner != nil {
		l.owner.unreached = true // the leader moves the share
		return
	}
	was := l.n.handover.Load()
	if was == nil || l.c.Began-was.at > l.n.handoverSpan() {
		was = &handover{}
	}
	if was.times == maxHandovers {
		return
	}
	l.n.handover.Store(&handover{now, was.times + 1})
	// Two nodes that no worker reached once won elections in turn, until both had
	// handed over as often as they do, and one stayed: the third never led.
	l.n.election.Yield(l.n.handoverSpan())
	l.resign("no worker reaches this node")
}

// handover is when this node last gave the lead away because no worker reached it,
// and how often in a row. Where all machines had died, the nodes once handed the
// lead round for ever: no term lasted long enough to find them dead, and to rent
// others. One that has tried the others in vain stays.
type handover struct {
	at    micro.Time
	times int
}

// maxHandovers leaves each of the others its chance, whoever is elected first.
const maxHandovers = 2

// longestVainTerm is how long a term lasts beside the time until machines count as silent
// where no worker reaches the leader: election, takeover and hand-over. With 5 s for it,
// four nodes whose machines were all dead came round just too late to remember that they
// had handed over before, and none ever stayed.
const longestVainTerm = 10 * micro.Second

// handoverSpan is how soon this node leads again if none of the others hears more.
func (n *Node) handoverSpan() micro.Time {
	return micro.Time(len(n.Cfg.Peers)+1) * (n.Cfg.SilentAfter + longestVainTerm)
}

// silence watches for a spell in which no worker at all reports. Single machines
// count as silent only after a late report and a lost answer; but when hundreds of
// live workers report every few seconds, a spell of two without any report cannot
// be chance: the leader is cut off from its workers. Found by single machines
// alone, that took twice a report interval, in which nothing started and no
// completion was heard.
type silence struct {
	reports uint64     // how many there had been at the last look
	lookAt  micro.Time // when that was
	lasted  micro.Time // how long none has come, as far as this node listened
}

const (
	// leastSilence is the shortest spell that counts: links stall for a second.
	leastSilence = 2500 * micro.Millisecond
	// missingReports is how many reports the live workers must have owed in it.
	missingReports = 40
	// longestLook bounds what one look adds: a node that got no processor time
	// has not listened.
	longestLook = 600 * micro.Millisecond
)

// tooLong takes in a look, by the number of reports so far and of workers that
// are up, and tells whether the silence is this node's own.
func (s *silence) tooLong(reports uint64, up int, now, longestInterval micro.Time) bool {
	listened := min(now-s.lookAt, longestLook)
	if reports != s.reports || s.lookAt == 0 {
		listened, s.lasted = 0, 0
	}
	s.reports, s.lookAt = reports, now
	s.lasted += listened
	return s.lasted >= leastSilence && micro.Time(up)*s.lasted >= missingReports*longestInterval
}
