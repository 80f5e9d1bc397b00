package controller

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/wire"
)

// zoneCount counts the machines of a zone that ought to report.
type zoneCount struct{ all, missing int }

// census is what one scan finds, over all machines.
type census struct {
	zones  map[string]*zoneCount
	up     int
	silent int
	deaf   int // up, but they seem to hear nothing
}

// scan watches over the machines.
func (l *Lead) scan(now micro.Time) {
	l.bound(now)
	found := l.takeCensus(now)
	for name, zone := range found.zones {
		if !l.trust(zone.missing, zone.all) {
			l.doubted[name] = now
		}
	}
	l.hearing(found.up, found.silent, now)
	l.overruns(now)
	for _, m := range l.c.List() {
		l.review(m, found, now)
	}
	l.sendReturns()
}

// takeCensus counts the machines by what was heard of them, and marks as silent
// those that were up and have not been heard for long.
func (l *Lead) takeCensus(now micro.Time) *census {
	found := &census{zones: map[string]*zoneCount{}}
	for _, m := range l.c.List() {
		if m.Foreign {
			continue // it reports to the owner of its share
		}
		zone := found.zones[m.Zone]
		if zone == nil {
			zone = &zoneCount{}
			found.zones[m.Zone] = zone
		}
		quiet := l.quiet(m, now)
		if m.State == model.Up && quiet > l.n.Cfg.SilentAfter {
			// Only what proves to have been sent from now on is a sign of life.
			m.Prove = l.token + 1
			l.c.Become(m, model.Silent, "no reports")
		}
		if l.oughtToReport(m, quiet, now) {
			l.count(m, zone, found, quiet)
		}
	}
	return found
}

// oughtToReport reports whether a machine's silence says anything: not if it never
// came up, is on its way back, or has been silent for so long that it is surely lost.
func (l *Lead) oughtToReport(m *model.Machine, quiet, now micro.Time) bool {
	if m.State == model.Unheard && len(m.Places) == 0 || m.State == model.Returning {
		return false
	}
	return quiet <= 2*l.c.Lease || !l.c.LeaseOut(m, now)
}

func (l *Lead) count(m *model.Machine, zone *zoneCount, found *census, quiet micro.Time) {
	zone.all++
	// A machine is missing once a report is overdue, well before it counts as
	// silent: in a cut, the first to be called silent must not look alone.
	if quiet > l.n.Cfg.Overdue() {
		zone.missing++
	}
	switch m.State {
	case model.Up:
		found.up++
		if m.MayBeDeaf() {
			found.deaf++
		}
	case model.Silent:
		found.silent++
	case model.Unheard:
		if len(m.Places) > 0 && quiet > l.n.Cfg.SilentAfter {
			found.silent++ // not one report since the takeover
		}
	}
}

// dead reports whether a zone's silent machines look dead rather than out of reach.
// A zone that was out of reach comes back one report at a time: what is still
// missing when most of it is heard again is late, not dead. In the moment a cut
// ended, a leader that had taken over in it once returned 800 live machines.
func (l *Lead) dead(name string, found *census, now micro.Time) bool {
	zone := found.zones[name]
	at, doubted := l.doubted[name]
	return l.trust(zone.missing, zone.all) && (!doubted || now-at > l.n.Cfg.SilentAfter)
}

// review frees what a machine surely lost and has it returned if it is of no more
// use.
func (l *Lead) review(m *model.Machine, found *census, now micro.Time) {
	if m.Foreign {
		l.reviewForeign(m, now)
		return
	}
	if len(m.Places) > 0 && m.State != model.Up && l.c.LeaseOut(m, now) {
		l.c.Lose(m, now)
	}
	switch m.State {
	case model.Unheard:
		if why := l.whyNeverUp(m, found, now); why != "" {
			l.giveBack(m, why)
		}
	case model.Up:
		l.reviewHearing(m, found, now)
	case model.Silent:
		gone := m.NoticeAt != 0 && now > m.NoticeAt+2*micro.Second
		// Just after a lapse of the right nothing has been heard for long: that
		// says nothing of a zone that was silent before. A thousand machines
		// beyond a cut were once returned in the moment an outage ended.
		if l.unlisted(m) || gone || l.quiet(m, now) > l.n.Cfg.SilentAfter && l.dead(m.Zone, found, now) {
			l.giveBack(m, "silent")
		}
	case model.Lost:
		if l.unlisted(m) || now-m.Heard > 2*l.c.Lease {
			l.giveBack(m, "lost")
		}
	}
}

// reviewForeign gives a machine of another controller's share up that never came up, as
// far as the list tells. All else is for the share's owner to find.
func (l *Lead) reviewForeign(m *model.Machine, now micro.Time) {
	if m.State != model.Unheard || !l.heardOf(m, now) {
		return
	}
	if l.unlisted(m) || m.ListState == wire.MachineBooting && now-m.Listed < freshList && now-m.Rented > l.bootPatience(m) {
		l.giveBack(m, "did not come up in its share")
	}
}

// heardOf reports whether this leader would know by now that a machine of another
// controller's share is up: the share's owner has told it of all that report, and each
// had time to. Without that, a leader that had just taken over returned machines at work.
func (l *Lead) heardOf(m *model.Machine, now micro.Time) bool {
	e, ok := l.table().Of(attributes(m.TypeName, m.Zone, m.Spot))
	if !ok || !e.Away() {
		return false
	}
	settled := l.n.Cfg.Round() + l.n.Cfg.SilentAfter
	v := l.view(e.Name)
	return v.toldAllAt > 0 && now-v.toldAllAt > settled && l.n.Wall()-micro.Time(e.Record.At) > settled
}

// bootPatience is after how long a machine that is booting is given up.
func (l *Lead) bootPatience(m *model.Machine) micro.Time {
	boot := unknownBoot
	if m.Type != nil {
		boot = micro.Of(m.Type.BootS)
	}
	return micro.Time(float64(boot) * l.n.Cfg.BootPatience)
}

// unlisted reports whether a machine that was listed is no longer, for longer than
// the list lags.
func (l *Lead) unlisted(m *model.Machine) bool {
	lag := micro.Of(l.n.Cfg.Facts.Cloud.ListLagS)
	return m.Listed > 0 && l.listAt-m.Listed > 2*lag
}

// unknownBoot is the boot time of a machine whose type is not known.
const unknownBoot = micro.Minute

// whyNeverUp says why a machine that was never heard of in this term is given up,
// "" if it is not.
func (l *Lead) whyNeverUp(m *model.Machine, found *census, now micro.Time) string {
	cfg := l.n.Cfg
	boot := unknownBoot
	if m.Type != nil {
		boot = micro.Of(m.Type.BootS)
	}
	age := now - max(m.Rented, l.c.Began-micro.Of(3600))
	patience := l.bootPatience(m)
	waited := now - max(l.c.Began, l.resumed)
	idle := len(m.Places) == 0
	switch {
	case m.Listed == 0 && now-l.listAt < freshList && idle && waited > cfg.SilentAfter && age > patience+2*micro.Of(cfg.Facts.Cloud.ListLagS):
		return "never listed, never heard"
	case l.unlisted(m) && waited > cfg.SilentAfter:
		return "no longer listed, never heard"
	case m.ListState == wire.MachineRunning && waited > max(15*micro.Second, cfg.Round()) && age > 3*boot && now-m.Listed < micro.Minute && l.dead(m.Zone, found, now):
		return "listed as running, never heard"
	case !idle && waited > cfg.SilentAfter+4*micro.Second && l.dead(m.Zone, found, now) && l.roundIsOver(m, found, waited):
		return "silent since the takeover"
	case m.ListState == wire.MachineBooting && now-m.Listed < freshList && idle && waited > cfg.SilentAfter && age > patience:
		return "did not come up"
	}
	return ""
}

// roundIsOver reports whether a machine has had time to find this leader: few of its
// zone are missing, or each worker has surely tried all nodes.
func (l *Lead) roundIsOver(m *model.Machine, found *census, waited micro.Time) bool {
	zone := found.zones[m.Zone]
	return zone.missing*fewMissing <= zone.all || waited > l.n.Cfg.Round()
}

// reviewHearing watches a machine that reports but may hear nothing.
func (l *Lead) reviewHearing(m *model.Machine, found *census, now micro.Time) {
	// If many seem to hear nothing, the fault is this node's.
	if m.MayBeDeaf() && !m.Deaf && found.deaf*3 <= found.up {
		l.c.SetDeaf(m, true, now)
	}
	if m.Deaf && !m.Base && now-m.DeafFrom > 2*l.c.Lease {
		l.giveBack(m, "hears nothing")
	}
}

// overruns looks over some of the machines for tasks that take far too long.
func (l *Lead) overruns(now micro.Time) {
	list := l.c.List()
	for range (len(list) + overrunSlices - 1) / overrunSlices {
		l.watched = (l.watched + 1) % len(list)
		if m := list[l.watched]; m.State == model.Up {
			for _, p := range m.Places {
				if p.Job != nil {
					l.c.Overran(p, sched.Estimate(p.Job), now)
				}
			}
		}
	}
}

// overrunSlices is in how many scans all machines are looked over.
const overrunSlices = 4

// quiet is how long a machine has been silent while this node was listening:
// while its right had lapsed, it turned every worker away. Counted from the last
// report alone, an outage of the store once had eleven live machines returned in
// the moment it ended.
func (l *Lead) quiet(m *model.Machine, now micro.Time) micro.Time {
	return now - max(m.Heard, l.c.Began, l.resumed)
}

// trust reports whether a zone's silence looks like machines that died rather
// than like a cut: few are silent against those that report.
func (l *Lead) trust(missing, all int) bool {
	return missing <= 1 && all > 1 || missing*3 <= all
}

// fewMissing is the part of a zone that may be missing soon after a takeover
// before a worker's whole round of the nodes is waited for: where nodes are out
// of reach, each costs it a while, and dozens of live machines were returned.
const fewMissing = 12
