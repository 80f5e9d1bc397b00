package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/keep"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// keepTouch asks the leader, as a keeper of this zone's leases, until the
// context ends, and looks for the other nodes when it does not answer.
func (n *Node) keepTouch(ctx context.Context) error {
	for ctx.Err() == nil {
		n.touch(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(keep.Every.Std()):
		}
	}
	return nil
}

func (n *Node) touch(ctx context.Context) {
	if l := n.leading(); l != nil {
		if !l.bars(n.Cfg.Zone) {
			n.keeper.Leads(n.Now())
		}
		return
	}
	leader, answered := n.election.Leader(), false
	if leader != "" && leader != n.Cfg.Node {
		sent := n.Now()
		body := wire.MustMarshal(n.keeper.Request(sent))
		status, out, err := n.Peers.Call(ctx, leader, peer.Keep, body, keep.Wait)
		answered = err == nil && status != 421 // it leads, even if it grants nothing now
		var e keep.Echo
		if err == nil && status == 200 && wire.Unmarshal(out, &e) == nil {
			n.keeper.Answered(sent, n.Now(), e)
		}
	}
	if n.keeper.Span > 0 && n.keeper.OutOfTouch(n.Now()) {
		inside, outside := n.reached(ctx)
		// With the store in reach, only a leader beyond the cut is missed: one of
		// this zone that died is replaced by this zone's nodes. Keeping the
		// workers meanwhile once hid half of the fleet from the next leader.
		elect := !n.Cut() && !n.outside(leader)
		n.keeper.Looked(inside, outside || answered || elect, n.Now())
	}
}

// reached looks which other nodes answer: any of this zone, any of another.
func (n *Node) reached(ctx context.Context) (inside, outside bool) {
	var g errgroup.Group
	answers := make(chan string, len(n.Cfg.Peers))
	for _, p := range n.Cfg.Peers {
		g.Go(func() error {
			if _, _, err := n.Peers.Call(ctx, p.Node, peer.Ping, nil, askWait); err == nil {
				answers <- p.Zone
			}
			return nil
		})
	}
	_ = g.Wait()
	close(answers)
	for zone := range answers {
		if zone == n.Cfg.Zone {
			inside = true
		} else {
			outside = true
		}
	}
	return inside, outside
}

// outside reports whether a node is in another zone.
func (n *Node) outside(node string) bool {
	for _, p := range n.Cfg.Peers {
		if p.Node == node {
			return p.Zone != n.Cfg.Zone
		}
	}
	return false
}

// lost reports whether whom this node takes for the leader is out of its reach,
// and of its workers', or may lead no more. A worker is then better sent on to
// the next node: two nodes that had lost the store, one of them the old leader,
// once sent hundreds of workers to one another until their leases ran out.
func (n *Node) lost(leader string) bool {
	now := n.Now()
	return n.keeper.OutOfTouch(now) && (n.Cut() || n.outside(leader) && n.keeper.Parted(now))
}

// keepLease answers a report of this zone's worker in place of the leader, if
// the zone is cut off: its lease goes on, and it is told to do nothing. The
// worker's own token is as good as any to it; no other node gives one out here.
func (n *Node) keepLease(body []byte) (front.Reply, bool) {
	r, err := wire.DecodeReport(body)
	if err != nil || !n.keepsLease(r) {
		return front.Reply{}, false
	}
	return keptReply(r), true
}

// keepsLease reports whether this node keeps the worker's lease alive now.
func (n *Node) keepsLease(r *wire.Report) bool {
	return r.Token != 0 && r.Zone == n.Cfg.Zone && n.keeper.Renew(n.Now())
}

func keptReply(r *wire.Report) front.Reply {
	return front.Reply{Status: 200, Body: wire.Orders{Token: r.Token, Orders: []wire.Order{}}}
}

// answerKeeper answers another node's keeper, while this node leads.
func (n *Node) answerKeeper(body []byte) (int, []byte) {
	l := n.leading()
	if l == nil {
		return 421, nil
	}
	var r keep.Request
	if wire.Unmarshal(body, &r) != nil {
		return 400, nil
	}
	for _, p := range n.Cfg.Peers {
		if p.Node == r.Node && l.bars(p.Zone) {
			return 503, nil
		}
	}
	e := l.ledger.Answer(r, n.Now())
	if !l.valid() {
		return 421, nil
	}
	return 200, wire.MustMarshal(e)
}

// bound brings the model up to date on what keepers may have renewed, and bars
// those that must not renew more: where a user was told of a job's end, a worker
// that may still run its tasks must not be kept alive past the time for that.
func (l *Lead) bound(now micro.Time) {
	if l.owner != nil {
		l.boundByLeader(now)
		return
	}
	l.bar()
	own := l.n.keeper.Kept() // of a time when this very term had lapsed
	for _, z := range append([]string{""}, l.n.Cfg.Facts.Zones...) {
		until := l.ledger.Until(z, now)
		if own > 0 && (z == "" || z == l.n.Cfg.Zone) {
			until = max(until, own)
		}
		l.c.Kept[z] = until
		if _, known := l.c.Away[z]; !l.ledger.Away(z, now) {
			if known {
				delete(l.c.Away, z)
				l.c.Changed()
			}
		} else if !known {
			l.c.Away[z] = now
		}
	}
}

// bar notes which zones' keepers are not answered.
func (l *Lead) bar() {
	barred := map[string]bool{}
	for j := range l.unproven {
		if j.HeldN == 0 {
			delete(l.unproven, j)
			continue
		}
		for _, p := range j.AllPlaces() {
			barred[p.Machine.Zone] = true
		}
	}
	l.barShares(barred)
	l.barred.Store(&barred)
}

// bars reports whether the keepers of a zone are not to renew leases.
func (l *Lead) bars(zone string) bool {
	b := l.barred.Load()
	return b == nil || (*b)[zone] || (*b)[""]
}

// leave begins a withdrawal: the tasks are stopped first, and the user is told
// once they are gone, or will be in time whatever keepers do.
func (l *Lead) leave(j *model.Job) {
	now := l.n.Now()
	l.c.BeginAbort(j)
	for _, p := range j.AllPlaces() {
		l.c.Stop(p, "withdrawn", 0, now)
	}
	l.leaving[j] = true
	l.settle(j, now)
}

// settle writes the end of a withdrawn job as soon as its user may be told.
func (l *Lead) settle(j *model.Job, now micro.Time) {
	if j.HeldN > 0 {
		if l.n.Cfg.ProveFirst() {
			return // without any order, its tasks could outlive the time for that
		}
		limits := map[string]micro.Time{}
		for _, p := range j.AllPlaces() {
			z := p.Machine.Zone
			if _, ok := limits[z]; !ok {
				limits[z] = l.ledger.Limit(z, now)
			}
			if limits[z] > 0 && limits[z]+l.c.Lease+config.CancelSlack > now+l.n.Cfg.CancelSpan() {
				return
			}
		}
		l.unproven[j] = true
		// At once, not with the next look around: a loop that is held up meanwhile
		// would let keepers be answered after the limits were read.
		l.bar()
	}
	delete(l.leaving, j)
	if j.State == model.Aborting {
		l.records.end(j, wire.JobAborted)
	}
}
