package controller

import (
	"context"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// listLoop reads the cloud's list.
func (l *Lead) listLoop(ctx context.Context) {
	for {
		pages := 1
		if l.valid() {
			asked := l.n.Now()
			var rows []wire.ListedMachine
			after, ok := "", true
			for {
				cctx, cancel := context.WithTimeout(ctx, 6*time.Second)
				page, err := l.n.Cloud.List(cctx, after)
				cancel()
				if err != nil {
					ok = false
					break
				}
				rows = append(rows, page.Machines...)
				if !page.More || len(page.Machines) == 0 {
					break
				}
				after = page.Machines[len(page.Machines)-1].Name
				pages++
			}
			if ok {
				l.post(func() { l.listed(rows, asked) })
			}
		}
		if !l.sleep(listPause(pages, l.n.Cfg.Facts.Cloud.RPS)) {
			return
		}
	}
}

// listEvery is how often the list is read: pages of it cost the leader more
// than what they tell, which is seldom news.
const listEvery = 6 * micro.Second

// listShare is the part of the cloud's rate that reading the list may take. Read
// every 6 s, the pages of 4,000 machines took a third of it, and those of 6,000 half:
// rentals and returns waited for them.
const listShare = 0.2

// maxListPause keeps lists fresh enough to return machines by (freshList), whatever
// their length.
const maxListPause = 12 * micro.Second

// listPause is how long the leader waits after reading a list of so many pages.
func listPause(pages int, cloudRPS float64) micro.Time {
	if cloudRPS <= 0 {
		return listEvery
	}
	return min(max(listEvery, micro.Of(float64(pages)/(cloudRPS*listShare))), maxListPause)
}

// freshList is how old a list may be by which machines are returned.
const freshList = 20 * micro.Second

// before reports whether a machine was created before another: names are given
// in the order of creation.
func before(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}

// own reports whether a machine is the operators' own: created before the first
// one that the service ever rented. Ages do not tell: an own GPU machine once
// looked a few milliseconds too young and was returned for being idle, and a
// returned machine that a lagging list still showed once looked like an own one.
func (l *Lead) own(m *model.Machine) bool {
	if l.first == "" {
		return m.RentalID == ""
	}
	return before(m.Name, l.first)
}

func (l *Lead) listed(rows []wire.ListedMachine, asked micro.Time) {
	now := l.n.Now()
	l.listAt = asked
	for i := range rows {
		r := &rows[i]
		if l.c.Departed(r.Name) {
			continue // the list lags
		}
		m := l.c.Machine(r.Name, now)
		if m.Type == nil {
			l.c.Describe(m, r.Type, r.Zone, r.Spot)
		}
		if m.Addr == "" {
			m.Addr = r.Addr
		}
		age := micro.Of(r.AgeS)
		m.Rented = min(m.Rented, now-age)
		m.Base = l.own(m)
		m.Listed, m.ListState = asked, r.State
		if r.State == wire.MachineFailed {
			l.giveBack(m, "failed")
		}
	}
}
