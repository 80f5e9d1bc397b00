package controller

import (
	"notchmux.dev/notchmux/internal/cancellation"
	"notchmux.dev/notchmux/internal/micro"
)

// newCancellationManager makes the part of a term that brings cancellations to their end.
func newCancellationManager(l *Leader) *cancellation.Manager {
	return cancellation.New(cancellation.Dependencies{
		Config:       l.node.Cfg,
		Loop:         l.loop,
		Cluster:      l.cluster,
		RenewalBound: l.renewalBound,
		Shards:       l.coordinator,
		Records:      l.records,
		HoldsLease:   l.holdsLease,
		Now:          l.node.Now,
	})
}

// updateRenewalBound brings the model up to date on what lease proxies may have renewed, and bars
// those that must not renew more: where a user was told of a job's end, an agent
// that may still run its tasks must not be kept alive past the time for that.
func (l *Leader) updateRenewalBound(now micro.Time) {
	l.cancellations.UpdateFencedZones()
	ownRenewal := l.node.leaseProxy.LastRenewal() // of a time when this very term had lapsed
	for _, zone := range append([]string{""}, l.node.Cfg.Facts.Zones...) {
		until := l.renewalBound.RenewedUntil(zone, now)
		if ownRenewal > 0 && (zone == "" || zone == l.node.Cfg.Zone) {
			until = max(until, ownRenewal)
		}
		l.cluster.ProxyRenewedUntil[zone] = until
		if _, known := l.cluster.ZoneUnreachableSince[zone]; !l.renewalBound.ZoneDisconnected(zone, now) {
			if known {
				delete(l.cluster.ZoneUnreachableSince, zone)
				l.cluster.ScheduleSoon()
			}
		} else if !known {
			l.cluster.ZoneUnreachableSince[zone] = now
		}
	}
}
