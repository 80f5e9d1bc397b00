package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/dispatch"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// leaderCancellation is a test case: the cancellation of a job that has one task, in a zone.
type leaderCancellation struct {
	name    string
	zone    string
	cancelS float64
	wait    micro.Time // until the final status is written; 0: at once, negative: not before the task is gone
}

// A cancellation is reported to the user only once no lease can keep a task alive for longer than cancel_s from
// then on. From that time, lease proxies of the zones with such tasks get no answer.
func TestCancellationCompletesOnceNoLeaseOutlivesTheBound(t *testing.T) {
	for _, c := range []leaderCancellation{
		{"zone without proxies: written at once", "c", 50, 0},
		{"zone with proxies: written after their renewal span", "b", 50, 30 * micro.Second},
		{"leases longer than cancel_s: written once the task is gone", "c", 30, -1},
	} {
		t.Run(c.name, c.check)
	}
}

func (c leaderCancellation) check(t *testing.T) {
	l := newGuardedLeader(t, func(n *Node) { n.Cfg.Facts.Workers.CancelS = c.cancelS })
	job, machine := l.addAllocatedJob(c.zone)
	l.cancellations.UpdateFencedZones()
	if l.cancellations.ZoneFenced(c.zone) || l.leaseProxyStatus() != 200 {
		t.Fatal("lease proxies get no answer before the cancellation")
	}
	l.cancellations.Begin(job)
	if got := l.finalStatusPending(); got != (c.wait == 0) {
		t.Fatalf("final status written at once: %v", got)
	}
	c.allowFinalStatus(t, l, job, machine)
	if !l.finalStatusPending() {
		t.Fatal("final status not written")
	}
	if got := l.cancellations.ZoneFenced(c.zone); got != (c.wait >= 0) {
		t.Errorf("zone fenced after the final status was written: %v", got)
	}
	if c.zone == "b" && l.leaseProxyStatus() != 503 {
		t.Errorf("lease proxy of the zone got status %d, want 503", l.leaseProxyStatus())
	}
}

// allowFinalStatus advances the clock, or expires the machine, so that the final status may be written.
func (c leaderCancellation) allowFinalStatus(
	t *testing.T, l *guardedLeader, job *cluster.Job, machine *cluster.Machine,
) {
	t.Helper()
	if c.wait != 0 {
		l.clock.advance(max(c.wait, micro.Second))
		l.cancellations.Complete(job, l.node.Now())
	}
	if c.wait < 0 {
		if l.finalStatusPending() {
			t.Fatal("final status written while the task may still run")
		}
		l.cluster.ExpireMachine(machine, l.node.Now())
		l.cancellations.Complete(job, l.node.Now())
	}
}

// A job whose final status is stored may have a task that is not proven gone. Until it is, the lease proxies of
// its zone get no answer.
func TestZoneIsFencedWhileATaskOfACancelledJobIsNotProvenGone(t *testing.T) {
	l := newGuardedLeader(t, func(*Node) {})
	job, machine := l.addAllocatedJob("b")
	l.cancellations.UpdateFencedZones()
	l.jobEnded(job, wire.JobAborted)
	l.cancellations.UpdateFencedZones()
	if !l.cancellations.ZoneFenced("b") || l.cancellations.ZoneFenced("a") || l.leaseProxyStatus() != 503 {
		t.Errorf(
			"zone b fenced: %v, want true; zone a fenced: %v, want false", l.cancellations.ZoneFenced("b"),
			l.cancellations.ZoneFenced("a"),
		)
	}
	l.cluster.ExpireMachine(machine, l.node.Now())
	l.cancellations.UpdateFencedZones()
	if l.cancellations.ZoneFenced("b") || l.leaseProxyStatus() != 200 {
		t.Error("zone b still fenced after the task was proven gone")
	}
}

// The lease may expire between any two readings of the clock. An answer that lets a proxy renew leases must carry
// a time at which the leader's lease was valid.
func TestLeaseProxyGetsNoAnswerOnceTheLeaderLeaseHasLapsed(t *testing.T) {
	for reads := range 4 {
		l := newGuardedLeader(t, func(*Node) {})
		l.cancellations.UpdateFencedZones()
		l.clock.jumpAfter(reads, leaseSpan)
		status := l.leaseProxyStatus()
		holds := l.holdsLease()
		if status == 200 && !holds && reads < 3 {
			t.Errorf("lease proxy answered, though the leader lease expired after %d clock readings", reads)
		}
		if reads == 0 && status != 200 {
			t.Errorf("status %d while the leader lease is valid, want 200", status)
		}
	}
}

// A lease proxy has no fencing token of its own: it renews only leases of agents of its zone that have been
// answered by a leader.
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
		{"agent of the zone, answered by a leader: renewed", "a", 9, true},
		{"agent of another zone: not renewed", "b", 9, false},
		{"agent never answered by a leader: not renewed", "a", 0, false},
	} {
		heartbeat := &wire.Heartbeat{Machine: "i-1", Zone: c.zone, FencingToken: c.token}
		if got := l.node.proxiesLease(heartbeat); got != c.want {
			t.Errorf("%s: renewed %v", c.name, got)
		}
	}
}

// Before its term began, or while its lease had expired, the leader itself may have renewed leases as a lease
// proxy of its zone.
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
		t.Fatal("lease proxy renewed no lease")
	}
	renewedAt := l.clock.now
	l.clock.advance(micro.Minute)
	l.updateRenewalBound(l.clock.now)
	if l.cluster.ProxyRenewedUntil["a"] < renewedAt || l.cluster.ProxyRenewedUntil[""] < renewedAt {
		t.Errorf(
			"renewal bound of the leader's zone is %v, before the renewal at %v", l.cluster.ProxyRenewedUntil["a"], renewedAt,
		)
	}
	if bound := l.cluster.ProxyRenewedUntil["c"]; bound >= renewedAt {
		t.Errorf("renewal bound of another zone is %v, want it before the renewal", bound)
	}
}

// While the leader's own zone is fenced, the leader does not renew leases as a lease proxy of that zone either.
func TestLeaderRenewsNoLeaseOfItsOwnZoneWhileThatIsFenced(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		l := newGuardedLeader(t, func(n *Node) { n.leaseProxy.RenewalWindow = 45 * micro.Second })
		l.cancellations.FenceZones(map[string]bool{"a": fenced})
		l.node.contactLeader(t.Context())
		l.clock.advance(10 * micro.Second)
		l.node.leaseProxy.RecordProbe(true, false, l.clock.now)
		if got := l.node.leaseProxy.TryRenew(l.clock.now); got == fenced {
			t.Errorf("zone fenced %v: renewed %v", fenced, got)
		}
	}
}

// A term has a bounded range of fencing tokens. The leader gives up its lease before it would use the tokens of
// the next term.
func TestLeaderLosesItsLeaseOnceItsFencingTokensAreUsedUp(t *testing.T) {
	l := newGuardedLeader(t, func(*Node) {})
	l.addAllocatedJob("a")
	next := dispatch.FirstFencingToken(l.term.FencingRevision + 1)
	l.dispatcher.RaiseFencingToken(next - 2)
	l.dispatcher.CheckToken(l.clock.now)
	if token := l.dispatcher.FencingToken(); token >= next || l.holdsLease() {
		t.Errorf("fencing token %x, leader lease valid: %v, want a token of this term and no lease", token, l.holdsLease())
	}
}
