package controller

import (
	"context"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// pollInventory reads the cloud's list.
func (l *Leader) pollInventory(ctx context.Context) {
	for {
		pages := 1
		if l.holdsLease() {
			requestedAt := l.node.Now()
			var rows []wire.ListedMachine
			after, ok := "", true
			for {
				pageCtx, cancel := context.WithTimeout(ctx, 6*time.Second)
				page, err := l.node.Cloud.List(pageCtx, after)
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
				l.post(func() { l.applyInventory(rows, requestedAt) })
			}
		}
		if !l.loop.Sleep(inventoryPause(pages, l.node.Cfg.Facts.Cloud.RPS)) {
			return
		}
	}
}

// inventoryInterval is how often the list is read: pages of it cost the leader more
// than what they tell, which is seldom news.
const inventoryInterval = 6 * micro.Second

// inventoryRateFraction is the part of the cloud's rate that reading the list may take. Read
// every 6 s, the pages of 4,000 machines took a third of it, and those of 6,000 half:
// rentals and returns waited for them.
const inventoryRateFraction = 0.2

// maxInventoryPause keeps lists fresh enough to return machines by (maxInventoryAge), whatever
// their length.
const maxInventoryPause = 12 * micro.Second

// inventoryPause is how long the leader waits after reading a list of so many pages.
func inventoryPause(pages int, cloudRPS float64) micro.Time {
	if cloudRPS <= 0 {
		return inventoryInterval
	}
	return min(
		max(inventoryInterval, micro.FromSeconds(float64(pages)/(cloudRPS*inventoryRateFraction))), maxInventoryPause,
	)
}

// maxInventoryAge is how old a list may be by which machines are returned.
const maxInventoryAge = 20 * micro.Second

// createdBefore reports whether a machine was created before another: names are given
// in the order of creation.
func createdBefore(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}

// isOperatorOwned reports whether a machine is the operators' own: created before the first
// one that the service ever rented. Ages do not tell: an own GPU machine once
// looked a few milliseconds too young and was returned for being idle, and a
// returned machine that a lagging list still showed once looked like an own one.
func (l *Leader) isOperatorOwned(m *cluster.Machine) bool {
	if l.firstProvisioned == "" {
		return m.InstanceRequestID == ""
	}
	return createdBefore(m.Name, l.firstProvisioned)
}

func (l *Leader) applyInventory(rows []wire.ListedMachine, requestedAt micro.Time) {
	now := l.node.Now()
	l.inventoryAt = requestedAt
	for i := range rows {
		row := &rows[i]
		if l.cluster.WasTerminated(row.Name) {
			continue // the list lags
		}
		machine := l.cluster.EnsureMachine(row.Name, now)
		if machine.Type == nil {
			l.cluster.DescribeMachine(machine, row.Type, row.Zone, row.Spot)
		}
		if machine.Addr == "" {
			machine.Addr = row.Addr
		}
		age := micro.FromSeconds(row.AgeS)
		machine.RequestedAt = min(machine.RequestedAt, now-age)
		machine.Permanent = l.isOperatorOwned(machine)
		machine.LastListed, machine.CloudState = requestedAt, row.State
		if row.State == wire.MachineFailed {
			l.terminate(machine, "failed")
		}
	}
}
