package controller

import (
	"net/http"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// updateRenewalBound brings the model up to date on what lease proxies may have renewed, and bars
// those that must not renew more: where a user was told of a job's end, an agent
// that may still run its tasks must not be kept alive past the time for that.
func (l *Leader) updateRenewalBound(now micro.Time) {
	l.updateFencedZones()
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

// updateFencedZones notes which zones' lease proxies are not answered.
func (l *Leader) updateFencedZones() {
	fenced := map[string]bool{}
	for j := range l.unconfirmedCancellations {
		if j.AllocationCount == 0 {
			delete(l.unconfirmedCancellations, j)
			continue
		}
		for _, p := range j.Allocations() {
			fenced[p.Machine.Zone] = true
		}
	}
	l.coordinator.AddFencedZones(fenced)
	l.fencedZones.Store(&fenced)
}

// zoneFenced reports whether the lease proxies of a zone are not to renew leases.
func (l *Leader) zoneFenced(zone string) bool {
	fenced := l.fencedZones.Load()
	return fenced == nil || (*fenced)[zone] || (*fenced)[""]
}

// beginCancellation begins a cancellation: the tasks are stopped first, and the user is told
// once they are gone, or will be in time whatever lease proxies do.
func (l *Leader) beginCancellation(j *cluster.Job) {
	now := l.node.Now()
	l.cluster.BeginAbort(j)
	for _, p := range j.Allocations() {
		l.cluster.StopAllocation(p, "withdrawn", 0, now)
	}
	l.pendingCancellations[j] = true
	l.completeCancellation(j, now)
}

// completeCancellation writes the end of a cancelled job as soon as its user may be told.
func (l *Leader) completeCancellation(job *cluster.Job, now micro.Time) {
	if job.AllocationCount > 0 {
		if l.node.Cfg.MustProveTermination() {
			return // without any command, its tasks could outlive the time for that
		}
		limits := map[string]micro.Time{}
		for _, allocation := range job.Allocations() {
			zone := allocation.Machine.Zone
			if _, ok := limits[zone]; !ok {
				limits[zone] = l.renewalBound.RenewalLimit(zone, now)
			}
			if limits[zone] > 0 && limits[zone]+l.cluster.LeaseDuration+config.CancelSlack > now+l.node.Cfg.CancelTimeout() {
				return
			}
		}
		l.unconfirmedCancellations[job] = true
		// At once, not with the next look around: a loop that is held up meanwhile
		// would let lease proxies be answered after the limits were read.
		l.updateFencedZones()
	}
	delete(l.pendingCancellations, job)
	if job.State == cluster.Aborting {
		l.records.WriteJobEnd(job, wire.JobAborted)
	}
}

// cancellationTimeout is how long the user of a cancelled job waits at the leader for its end.
const cancellationTimeout = 1500 * micro.Millisecond

// cancelJob cancels a job: its end is created before anyone is told.
func (l *Leader) cancelJob(id string) httpapi.Reply {
	event := func(reply eventloop.Reply[httpapi.Reply]) eventloop.Event {
		return cancellationRequested{l, id, reply}
	}
	answer, ok := eventloop.Call(l.loop, eventloop.Events, cancellationTimeout, event)
	// The lease may have lapsed meanwhile: then nothing may be said.
	if !ok || !l.holdsLease() {
		return httpapi.RetryReply(http.StatusServiceUnavailable, 1)
	}
	return answer
}

// cancellationRequested says that a user cancels a job.
type cancellationRequested struct {
	leader *Leader
	job    string
	reply  eventloop.Reply[httpapi.Reply]
}

// Apply begins the cancellation; the user is answered at once if there is nothing to cancel,
// else with the job's end.
func (e cancellationRequested) Apply() {
	l := e.leader
	job := l.cluster.Jobs[e.job]
	switch {
	case job == nil:
		e.reply.Send(httpapi.Reply{Status: http.StatusNotFound})
		return
	case job.State == cluster.Done || job.State == cluster.Aborted:
		e.reply.Send(httpapi.Reply{Status: http.StatusOK, Body: job.Status()})
		return
	}
	l.cancellationWaiters[e.job] = append(l.cancellationWaiters[e.job], e.reply)
	switch job.State {
	case cluster.Active, cluster.Blocked:
		l.beginCancellation(job)
	case cluster.Assigned:
		l.coordinator.BeginCancellation(job)
	}
}
