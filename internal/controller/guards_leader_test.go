package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/dispatch"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// leaderCancellation is a cancellation of a job with a task.
type leaderCancellation struct {
	name    string
	zone    string
	cancelS float64
	wait    micro.Time // until the end is written; 0: at once, negative: not before the task is gone
}

// The user is told of a cancellation only once no lease can keep a task alive beyond the
// time for it; from then on lease proxies of the zones with such tasks get no answer.
func TestCancellationCompletesOnceNoLeaseOutlivesTheBound(t *testing.T) {
	for _, c := range []leaderCancellation{
		{"no proxies in the zone", "c", 50, 0},
		{"proxies that may renew leases for a span", "b", 50, 30 * micro.Second},
		{"leases that do not add up", "c", 30, -1},
	} {
		t.Run(c.name, c.check)
	}
}

func (c leaderCancellation) check(t *testing.T) {
	l := newGuardedLeader(t, func(n *Node) { n.Cfg.Facts.Workers.CancelS = c.cancelS })
	job, machine := l.addAllocatedJob(c.zone)
	l.cancellations.UpdateFencedZones()
	if l.cancellations.ZoneFenced(c.zone) || l.leaseProxyStatus() != 200 {
		t.Fatal("proxies are not answered before the cancellation")
	}
	l.cancellations.Begin(job)
	if got := l.finalStatusPending(); got != (c.wait == 0) {
		t.Fatalf("the end is written at once: %v", got)
	}
	c.waitForEnd(t, l, job, machine)
	if !l.finalStatusPending() {
		t.Fatal("the end is not written")
	}
	if got := l.cancellations.ZoneFenced(c.zone); got != (c.wait >= 0) {
		t.Errorf("the zone is fenced: %v", got)
	}
	if c.zone == "b" && l.leaseProxyStatus() != 503 {
		t.Errorf("the zone's proxies get %d", l.leaseProxyStatus())
	}
}

// waitForEnd lets pass what the end waits for.
func (c leaderCancellation) waitForEnd(t *testing.T, l *guardedLeader, job *cluster.Job, machine *cluster.Machine) {
	t.Helper()
	if c.wait != 0 {
		l.clock.advance(max(c.wait, micro.Second))
		l.cancellations.Complete(job, l.node.Now())
	}
	if c.wait < 0 {
		if l.finalStatusPending() {
			t.Fatal("the end is written while the task may run")
		}
		l.cluster.ExpireMachine(machine, l.node.Now())
		l.cancellations.Complete(job, l.node.Now())
	}
}

// A job whose end is stored may have a task that is not proven gone: its zone's lease
// proxies get no answer until it is.
func TestZoneIsFencedWhileATaskOfACancelledJobIsNotProvenGone(t *testing.T) {
	l := newGuardedLeader(t, func(*Node) {})
	job, machine := l.addAllocatedJob("b")
	l.cancellations.UpdateFencedZones()
	l.jobEnded(job, wire.JobAborted)
	l.cancellations.UpdateFencedZones()
	if !l.cancellations.ZoneFenced("b") || l.cancellations.ZoneFenced("a") || l.leaseProxyStatus() != 503 {
		t.Errorf("zone b is fenced %v, zone a %v", l.cancellations.ZoneFenced("b"), l.cancellations.ZoneFenced("a"))
	}
	l.cluster.ExpireMachine(machine, l.node.Now())
	l.cancellations.UpdateFencedZones()
	if l.cancellations.ZoneFenced("b") || l.leaseProxyStatus() != 200 {
		t.Error("zone b is fenced though the task is gone")
	}
}

// The lease may lapse between any two looks at the clock. An answer that lets a proxy renew
// leases counts from a time at which the leader's held.
func TestLeaseProxyGetsNoAnswerOnceTheLeaderLeaseHasLapsed(t *testing.T) {
	for looks := range 4 {
		l := newGuardedLeader(t, func(*Node) {})
		l.cancellations.UpdateFencedZones()
		l.clock.jumpAfter(looks, leaseSpan)
		status := l.leaseProxyStatus()
		holds := l.holdsLease()
		if status == 200 && !holds && looks < 3 {
			t.Errorf("answered, though the lease lapsed after %d looks at the clock", looks)
		}
		if looks == 0 && status != 200 {
			t.Errorf("status %d while the lease holds", status)
		}
	}
}

// A lease proxy knows no token of its own: it renews only leases of its zone's agents that
// some leader has answered.
func TestProxyRenewsOnlyLeasesOfItsZonesAgentsThatALeaderAnswered(t *testing.T) {
	l := newGuardedLeader(t, func(n *Node) { n.leaseProxy.RenewalWindow = 45 * micro.Second })
	proxy := &l.node.leaseProxy
	proxy.HandleResponse(l.clock.now, l.clock.now, leasekeeper.LeaderTimestamp{Term: 7, At: 1})
	l.clock.advance(10 * micro.Second)
	proxy.RecordProbe(true, false, l.clock.now)
	for _, c := range []struct {
		name  string
		zone  string
		token wire.Count
		want  bool
	}{
		{"of the zone, answered", "a", 9, true},
		{"of another zone", "b", 9, false},
		{"never answered", "a", 0, false},
	} {
		heartbeat := &wire.Heartbeat{Machine: "i-1", Zone: c.zone, FencingToken: c.token}
		if got := l.node.proxiesLease(heartbeat); got != c.want {
			t.Errorf("%s: renewed %v", c.name, got)
		}
	}
}

// Before it led again, or while its lease had lapsed, the leader itself may have renewed
// leases as a proxy of its zone.
func TestRenewalBoundIncludesLeasesThatTheLeaderRenewedAsAProxy(t *testing.T) {
	l := newGuardedLeader(t, func(n *Node) {
		n.leaseProxy.RenewalWindow = 45 * micro.Second
		n.Cfg.LeaseProxyFactor = 0 // no other node is a proxy
	})
	proxy := &l.node.leaseProxy
	proxy.HandleResponse(l.clock.now, l.clock.now, leasekeeper.LeaderTimestamp{Term: 7, At: 1})
	l.clock.advance(10 * micro.Second)
	proxy.RecordProbe(true, false, l.clock.now)
	if !proxy.TryRenew(l.clock.now) {
		t.Fatal("renews nothing")
	}
	renewed := l.clock.now
	l.clock.advance(micro.Minute)
	l.updateRenewalBound(l.clock.now)
	if l.cluster.ProxyRenewedUntil["a"] < renewed || l.cluster.ProxyRenewedUntil[""] < renewed {
		t.Errorf("leases of its zone count from %v, renewed at %v", l.cluster.ProxyRenewedUntil["a"], renewed)
	}
	if own := l.cluster.ProxyRenewedUntil["c"]; own >= renewed {
		t.Errorf("leases of another zone count from %v", own)
	}
}

// While the leader's own zone is fenced, the leader does not become its lease proxy either.
func TestLeaderRenewsNoLeaseOfItsOwnZoneWhileThatIsFenced(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		l := newGuardedLeader(t, func(n *Node) { n.leaseProxy.RenewalWindow = 45 * micro.Second })
		l.cancellations.FenceZones(map[string]bool{"a": fenced})
		l.node.contactLeader(t.Context())
		l.clock.advance(10 * micro.Second)
		l.node.leaseProxy.RecordProbe(true, false, l.clock.now)
		if got := l.node.leaseProxy.TryRenew(l.clock.now); got == fenced {
			t.Errorf("fenced %v: renews %v", fenced, got)
		}
	}
}

// A term ends before its tokens do.
func TestLeaderLosesItsLeaseOnceItsFencingTokensAreUsedUp(t *testing.T) {
	l := newGuardedLeader(t, func(*Node) {})
	l.addAllocatedJob("a")
	next := dispatch.FirstFencingToken(l.term.FencingRevision + 1)
	l.dispatcher.RaiseFencingToken(next - 2)
	l.dispatcher.CheckToken(l.clock.now)
	if token := l.dispatcher.FencingToken(); token >= next || l.holdsLease() {
		t.Errorf("token %x, the lease holds: %v", token, l.holdsLease())
	}
}
