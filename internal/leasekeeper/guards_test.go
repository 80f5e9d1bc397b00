package leasekeeper

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

// driftingClock returns a monotonic clock that is fast by drift parts in 10,000, or slow if drift is
// negative.
func driftingClock(drift int64) func(now micro.Time) micro.Time {
	return func(now micro.Time) micro.Time { return now + now*micro.Time(drift)/10000 }
}

// maxDrift is the greatest drift between two monotonic clocks, in parts of 10,000.
const maxDrift = 20

// renewForWindow lets the lease proxy of a partitioned zone try to renew a lease every millisecond until
// its renewal window has certainly ended. It returns the true times of the first and the last renewal.
func renewForWindow(
	t *testing.T, proxy *Proxy, clock func(micro.Time) micro.Time, from micro.Time,
) (first, last micro.Time) {
	t.Helper()
	for now := from; now < from+testWindow+micro.Second; now += micro.Millisecond {
		proxy.RecordProbe(true, false, clock(now))
		if proxy.TryRenew(clock(now)) {
			if first == 0 {
				first = now
			}
			last = now
		}
	}
	if first == 0 {
		t.Fatal("no lease was renewed")
	}
	return first, last
}

// The clock of a lease proxy is slow by the maximum drift, so that it renews leases for longer than the
// renewal window by the leader's clock. The leader's bounds must include the drift.
func TestRenewalBoundsIncludeClockDrift(t *testing.T) {
	const answered = 10 * micro.Second
	for _, c := range []struct {
		name  string
		bound func(bound *RenewalBound) micro.Time
	}{
		{
			"renewed until, proxy disconnected",
			func(bound *RenewalBound) micro.Time { return bound.RenewedUntil("b", answered+2*testWindow) },
		},
		{
			"renewal limit, proxy disconnected",
			func(bound *RenewalBound) micro.Time { return bound.RenewalLimit("b", answered+renewAfter) },
		},
		{"renewal limit, proxy connected", func(bound *RenewalBound) micro.Time {
			return bound.RenewalLimit("b", answered)
		}},
		{
			"renewal limit, leader becomes a proxy",
			func(bound *RenewalBound) micro.Time { return bound.RenewalLimit("a", answered) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := driftingClock(-maxDrift)
			proxy := newProxy("n-1")
			bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b", "n-3": "a"}, "a")
			for _, now := range []micro.Time{answered - RequestInterval, answered} {
				proxy.HandleResponse(clock(now), clock(now), bound.HandleRequest(proxy.Request(clock(now)), now))
			}
			_, last := renewForWindow(t, proxy, clock, answered+micro.Millisecond)
			if last <= answered+testWindow {
				t.Fatalf("clock too fast for this test: last renewal %v after the answer, want more than the window", last-answered)
			}
			if bound := c.bound(bound); bound < last {
				t.Errorf("bound is %v, but a lease was renewed %v later", bound, last-bound)
			}
		})
	}
}

// The clock of a lease proxy is fast by the maximum drift, its request was answered just within
// ResponseTimeout, and the answer to its next request was lost. It then starts to renew leases earlier than
// renewAfter by the leader's clock. The leader must not consider it connected by that time.
func TestProxyWithFastClockIsDisconnectedWhenItRenews(t *testing.T) {
	clock := driftingClock(maxDrift)
	proxy := newProxy("n-1")
	bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b", "n-3": "a"}, "a")
	const sent = 10 * micro.Second
	request := proxy.Request(clock(sent))
	answered := sent
	for clock(answered+micro.Millisecond)-clock(sent) <= ResponseTimeout {
		answered += micro.Millisecond
	}
	proxy.HandleResponse(clock(sent), clock(answered), bound.HandleRequest(request, answered))
	bound.HandleRequest(proxy.Request(clock(sent+RequestInterval)), sent+RequestInterval) // the answer is lost
	other := newProxy("n-2")
	exchange(other, bound, sent+2*RequestInterval)
	exchange(other, bound, sent+3*RequestInterval)
	first, _ := renewForWindow(t, proxy, clock, sent+RequestInterval+micro.Millisecond)
	if first >= sent+renewAfter {
		t.Fatalf("clock too slow for this test: first renewal %v after the request, want less than renewAfter", first-sent)
	}
	if until := bound.RenewedUntil("b", first); until < first {
		t.Errorf("renewal bound is %v, but a lease was renewed at %v", until, first)
	}
}

// Nodes outside the zone may have become reachable again since the last probe, so a lease must not be
// renewed on the result of an old probe.
func TestProxyDoesNotRenewWithOutdatedProbe(t *testing.T) {
	proxy := newProxy("n-1")
	bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b"}, "a")
	exchange(proxy, bound, micro.Second)
	const probedAt = 6 * micro.Second
	proxy.RecordProbe(true, false, probedAt)
	if !proxy.TryRenew(probedAt + probeMaxAge - 1) {
		t.Error("lease not renewed though the probe is recent")
	}
	if proxy.TryRenew(probedAt + probeMaxAge) {
		t.Error("lease renewed with an outdated probe")
	}
}

// Answers may arrive out of order. The timestamp that the next request carries, and the start of the renewal
// window, must not go back to those of an earlier request.
func TestReorderedResponseIsIgnored(t *testing.T) {
	proxy := newProxy("n-1")
	const first, second = 10 * micro.Second, 10*micro.Second + 100*micro.Millisecond
	proxy.HandleResponse(second, second+50*micro.Millisecond, LeaderTimestamp{Term: 7, At: 2})
	proxy.HandleResponse(first, first+300*micro.Millisecond, LeaderTimestamp{Term: 7, At: 1})
	if got := proxy.Request(11 * micro.Second).Echo; got != (LeaderTimestamp{Term: 7, At: 2}) {
		t.Errorf("the next request carries %+v, want the later timestamp", got)
	}
	now := second + renewAfter - micro.Millisecond
	proxy.RecordProbe(true, false, now)
	if proxy.TryRenew(now) {
		t.Error("lease renewed: the time disconnected counts from the earlier request")
	}
}

// A timestamp of another term was given by another leader with another clock. It does not show that this
// leader's answers arrive in time.
func TestTimestampOfAnotherTermDoesNotCountAsContact(t *testing.T) {
	bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b"}, "a")
	bound.HandleRequest(Request{Node: "n-1", Echo: LeaderTimestamp{Term: 6, At: int64(60 * micro.Minute)}}, micro.Second)
	const now = 20 * micro.Second
	if !bound.ZoneDisconnected("b", now) {
		t.Error("zone counts as connected by a timestamp of another term")
	}
	other := newProxy("n-2")
	exchange(other, bound, now-RequestInterval)
	exchange(other, bound, now)
	if until := bound.RenewedUntil("b", now); until < now {
		t.Errorf("renewal bound is %v, but a proxy of the zone may renew leases at %v", until, now)
	}
}
