package controller

import (
	"notchmux.dev/notchmux/internal/cancellation"
	"notchmux.dev/notchmux/internal/micro"
)

// newCancellationManager returns the manager of the job cancellations of a leader's term.
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

// updateRenewalBound updates the cluster state with the times until which lease proxies may have
// renewed leases, and with the unreachable zones. It also updates the fenced zones: where a job
// was reported as aborted, the lease of an agent that may still run its tasks must not be extended
// past the cancel timeout.
func (l *Leader) updateRenewalBound(now micro.Time) {
	l.cancellations.UpdateFencedZones()
	// Renewals by this node's own lease proxy while the lease of this term had expired.
	ownRenewal := l.node.leaseProxy.LastRenewal()
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
