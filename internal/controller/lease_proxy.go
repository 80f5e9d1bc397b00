package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// runLeaseProxy asks the leader, as a keeper of this zone's leases, until the
// context ends, and looks for the other nodes when it does not answer.
func (n *Node) runLeaseProxy(ctx context.Context) error {
	for ctx.Err() == nil {
		n.contactLeader(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(leasekeeper.RequestInterval.Duration()):
		}
	}
	return nil
}

func (n *Node) contactLeader(ctx context.Context) {
	if l := n.activeLeader(); l != nil {
		if !l.zoneFenced(n.Cfg.Zone) {
			n.leaseProxy.NoteLeading(n.Now())
		}
		return
	}
	leader, answered := n.election.Leader(), false
	if leader != "" && leader != n.Cfg.Node {
		sentAt := n.Now()
		body := wire.MustMarshal(n.leaseProxy.Request(sentAt))
		status, reply, err := n.Peers.Call(ctx, leader, peer.LeaseProxy, body, leasekeeper.ResponseTimeout)
		answered = err == nil && status != 421 // it leads, even if it grants nothing now
		var timestamp leasekeeper.LeaderTimestamp
		if err == nil && status == 200 && wire.Unmarshal(reply, &timestamp) == nil {
			n.leaseProxy.HandleResponse(sentAt, n.Now(), timestamp)
		}
	}
	if n.leaseProxy.RenewalWindow > 0 && n.leaseProxy.Disconnected(n.Now()) {
		sameZone, otherZone := n.probePeerZones(ctx)
		// With the store in reach, only a leader beyond the cut is missed: one of
		// this zone that died is replaced by this zone's nodes. Keeping the
		// workers meanwhile once hid half of the fleet from the next leader.
		canElect := !n.Isolated() && !n.inOtherZone(leader)
		n.leaseProxy.RecordProbe(sameZone, otherZone || answered || canElect, n.Now())
	}
}

// probePeerZones looks which other nodes answer: any of this zone, any of another.
func (n *Node) probePeerZones(ctx context.Context) (sameZone, otherZone bool) {
	var group errgroup.Group
	answers := make(chan string, len(n.Cfg.Peers))
	for _, other := range n.Cfg.Peers {
		group.Go(func() error {
			if _, _, err := n.Peers.Call(ctx, other.Node, peer.Ping, nil, peerCallTimeout); err == nil {
				answers <- other.Zone
			}
			return nil
		})
	}
	_ = group.Wait()
	close(answers)
	for zone := range answers {
		if zone == n.Cfg.Zone {
			sameZone = true
		} else {
			otherZone = true
		}
	}
	return sameZone, otherZone
}

// inOtherZone reports whether a node is in another zone.
func (n *Node) inOtherZone(node string) bool {
	for _, p := range n.Cfg.Peers {
		if p.Node == node {
			return p.Zone != n.Cfg.Zone
		}
	}
	return false
}

// leaderUnreachable reports whether whom this node takes for the leader is out of its reach,
// and of its workers', or may lead no more. A worker is then better sent on to
// the next node: two nodes that had lost the store, one of them the old leader,
// once sent hundreds of workers to one another until their leases ran out.
func (n *Node) leaderUnreachable(leader string) bool {
	now := n.Now()
	return n.leaseProxy.Disconnected(now) && (n.Isolated() || n.inOtherZone(leader) && n.leaseProxy.ZonePartitioned(now))
}

// proxyHeartbeat answers a report of this zone's worker in place of the leader, if
// the zone is cut off: its lease goes on, and it is told to do nothing. The
// worker's own token is as good as any to it; no other node gives one out here.
func (n *Node) proxyHeartbeat(body []byte) (httpapi.Reply, bool) {
	heartbeat, err := wire.DecodeHeartbeat(body)
	if err != nil || !n.proxiesLease(heartbeat) {
		return httpapi.Reply{}, false
	}
	return leaseProxyReply(heartbeat), true
}

// proxiesLease reports whether this node keeps the worker's lease alive now.
func (n *Node) proxiesLease(heartbeat *wire.Heartbeat) bool {
	return heartbeat.FencingToken != 0 && heartbeat.Zone == n.Cfg.Zone && n.leaseProxy.TryRenew(n.Now())
}

func leaseProxyReply(heartbeat *wire.Heartbeat) httpapi.Reply {
	return httpapi.Reply{Status: 200, Body: wire.Commands{FencingToken: heartbeat.FencingToken, Items: []wire.Command{}}}
}

// handleLeaseProxy answers another node's keeper, while this node leads.
func (n *Node) handleLeaseProxy(body []byte) (int, []byte) {
	l := n.activeLeader()
	if l == nil {
		return 421, nil
	}
	var request leasekeeper.Request
	if wire.Unmarshal(body, &request) != nil {
		return 400, nil
	}
	for _, other := range n.Cfg.Peers {
		if other.Node == request.Node && l.zoneFenced(other.Zone) {
			return 503, nil
		}
	}
	timestamp := l.renewalBound.HandleRequest(request, n.Now())
	if !l.holdsLease() {
		return 421, nil
	}
	return 200, wire.MustMarshal(timestamp)
}

// updateRenewalBound brings the model up to date on what keepers may have renewed, and bars
// those that must not renew more: where a user was told of a job's end, a worker
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

// updateFencedZones notes which zones' keepers are not answered.
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

// zoneFenced reports whether the keepers of a zone are not to renew leases.
func (l *Leader) zoneFenced(zone string) bool {
	fenced := l.fencedZones.Load()
	return fenced == nil || (*fenced)[zone] || (*fenced)[""]
}

// beginCancellation begins a withdrawal: the tasks are stopped first, and the user is told
// once they are gone, or will be in time whatever keepers do.
func (l *Leader) beginCancellation(j *cluster.Job) {
	now := l.node.Now()
	l.cluster.BeginAbort(j)
	for _, p := range j.Allocations() {
		l.cluster.StopAllocation(p, "withdrawn", 0, now)
	}
	l.pendingCancellations[j] = true
	l.completeCancellation(j, now)
}

// completeCancellation writes the end of a withdrawn job as soon as its user may be told.
func (l *Leader) completeCancellation(job *cluster.Job, now micro.Time) {
	if job.AllocationCount > 0 {
		if l.node.Cfg.MustProveTermination() {
			return // without any order, its tasks could outlive the time for that
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
		// would let keepers be answered after the limits were read.
		l.updateFencedZones()
	}
	delete(l.pendingCancellations, job)
	if job.State == cluster.Aborting {
		l.records.WriteJobEnd(job, wire.JobAborted)
	}
}
