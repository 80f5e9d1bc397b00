package leasekeeper

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

// driftingClock is a steady clock that is fast by so many parts of 1e4; slow if negative.
func driftingClock(fast int64) func(now micro.Time) micro.Time {
	return func(now micro.Time) micro.Time { return now + now*micro.Time(fast)/10000 }
}

// maxDrift is the most that two steady clocks may part, in parts of 1e4.
const maxDrift = 20

// renewForWindow lets a lease proxy, whose zone has been cut off, try to renew a lease each
// millisecond until its span is surely over. It gives the true times of the first and
// the last renewal.
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
		t.Fatal("nothing was renewed")
	}
	return first, last
}

// A lease proxy's clock is slow by the most that is allowed for, so that it renews leases for
// longer than a span by the leader's clock. The leader's bounds include the drift.
func TestRenewalBoundsIncludeClockDrift(t *testing.T) {
	const answered = 10 * micro.Second
	for _, c := range []struct {
		name  string
		bound func(bound *RenewalBound) micro.Time
	}{
		{
			"from when a lease counts that a keeper may have renewed",
			func(bound *RenewalBound) micro.Time { return bound.RenewedUntil("b", answered+2*testWindow) },
		},
		{
			"until when a keeper may yet renew, out of touch",
			func(bound *RenewalBound) micro.Time { return bound.RenewalLimit("b", answered+renewAfter) },
		},
		{"until when a keeper may yet renew, in touch", func(bound *RenewalBound) micro.Time {
			return bound.RenewalLimit("b", answered)
		}},
		{
			"until when the leader itself may renew as a keeper",
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
				t.Fatalf("the clock is not slow enough for the test: renewed until %v after the answer", last-answered)
			}
			if bound := c.bound(bound); bound < last {
				t.Errorf("the bound is %v, a lease was renewed %v later", bound, last-bound)
			}
		})
	}
}

// A lease proxy's clock is fast by the most that is allowed for, its request was answered as
// late as it may be, and its next one's answer was lost: it begins to renew leases sooner
// than by the leader's clock. The leader no longer takes it to be in touch then.
func TestProxyWithAFastClockIsDisconnectedOnceItRenews(t *testing.T) {
	clock := driftingClock(maxDrift)
	proxy := newProxy("n-1")
	bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b", "n-3": "a"}, "a")
	const sent = 10 * micro.Second
	request := proxy.Request(clock(sent))
	arrives := sent
	for clock(arrives+micro.Millisecond)-clock(sent) <= ResponseTimeout {
		arrives += micro.Millisecond
	}
	proxy.HandleResponse(clock(sent), clock(arrives), bound.HandleRequest(request, arrives))
	bound.HandleRequest(proxy.Request(clock(sent+RequestInterval)), sent+RequestInterval) // no answer arrives
	other := newProxy("n-2")
	exchange(other, bound, sent+2*RequestInterval)
	exchange(other, bound, sent+3*RequestInterval)
	first, _ := renewForWindow(t, proxy, clock, sent+RequestInterval+micro.Millisecond)
	if first >= sent+renewAfter {
		t.Fatalf("the clock is not fast enough for the test: renewed %v after the request", first-sent)
	}
	if until := bound.RenewedUntil("b", first); until < first {
		t.Errorf("a lease was renewed at %v, the leader counts from %v", first, until)
	}
}

// The nodes of a zone outside may have come back since the last look.
func TestProxyRenewsNothingOnAnOldProbe(t *testing.T) {
	proxy := newProxy("n-1")
	bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b"}, "a")
	exchange(proxy, bound, micro.Second)
	const looked = 6 * micro.Second
	proxy.RecordProbe(true, false, looked)
	if !proxy.TryRenew(looked + probeMaxAge - 1) {
		t.Error("the look is fresh")
	}
	if proxy.TryRenew(looked + probeMaxAge) {
		t.Error("a lease is renewed on a look that is old")
	}
}

// Answers overtake one another: the echo that the next request carries, and the time
// from which a span counts, never go back.
func TestOvertakenResponseChangesNothing(t *testing.T) {
	proxy := newProxy("n-1")
	const first, second = 10 * micro.Second, 10*micro.Second + 100*micro.Millisecond
	proxy.HandleResponse(second, second+50*micro.Millisecond, LeaderTimestamp{Term: 7, At: 2})
	proxy.HandleResponse(first, first+300*micro.Millisecond, LeaderTimestamp{Term: 7, At: 1})
	if got := proxy.Request(11 * micro.Second).Echo; got != (LeaderTimestamp{Term: 7, At: 2}) {
		t.Errorf("the next request carries %+v", got)
	}
	now := second + renewAfter - micro.Millisecond
	proxy.RecordProbe(true, false, now)
	if proxy.TryRenew(now) {
		t.Error("the time out of touch counts from the earlier request")
	}
}

// Another leader's answer was given by another clock: it says nothing of whether this
// leader's answers arrive.
func TestTimestampOfAnotherTermIsNoContactWithThisLeader(t *testing.T) {
	bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b"}, "a")
	bound.HandleRequest(Request{Node: "n-1", Echo: LeaderTimestamp{Term: 6, At: int64(60 * micro.Minute)}}, micro.Second)
	const now = 20 * micro.Second
	if !bound.ZoneDisconnected("b", now) {
		t.Error("the zone is out of touch")
	}
	other := newProxy("n-2")
	exchange(other, bound, now-RequestInterval)
	exchange(other, bound, now)
	if until := bound.RenewedUntil("b", now); until < now {
		t.Errorf("leases count from %v, though a keeper of the zone may renew them at %v", until, now)
	}
}
