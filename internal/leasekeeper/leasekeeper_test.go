package leasekeeper

import (
	"math/rand/v2"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

const (
	testWindow = 45 * micro.Second
	testLease  = 30 * micro.Second
)

func newProxy(name string) *Proxy {
	return &Proxy{Node: name, RenewalWindow: testWindow, Log: func(string, ...any) {}}
}

// exchange delivers one request and its ordinary answer without delay.
func exchange(proxy *Proxy, bound *RenewalBound, now micro.Time) {
	proxy.HandleResponse(now, now, bound.HandleRequest(proxy.Request(now), now))
}

// A zone was partitioned for longer than its agents' leases: half of all replicas of a service stopped, and
// the spreading rule did not allow replacements elsewhere. Lease proxies in the zone must renew the leases
// within the renewal window, and the leader's bound must include every renewal.
func TestPartitionedZoneProxyRenewsWithinWindowAndReportsIt(t *testing.T) {
	proxy := newProxy("n-1")
	bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b", "n-3": "a"}, "a")
	now := 10 * micro.Second
	for range 3 {
		now += RequestInterval
		exchange(proxy, bound, now)
	}
	partitionedAt := now
	for now < partitionedAt+60*micro.Second {
		now += RequestInterval
		proxy.RecordProbe(true, false, now)
		want := now-partitionedAt >= renewAfter && now-partitionedAt < testWindow
		if got := proxy.TryRenew(now); got != want {
			t.Fatalf("%v after the partition: lease renewed %v, want %v", now-partitionedAt, got, want)
		}
		// The leader must not release allocations before the last renewed lease has expired.
		if until := bound.RenewedUntil("b", now); until < min(now, partitionedAt+testWindow) {
			t.Fatalf("%v after the partition: renewal bound is only %v", now-partitionedAt, until-partitionedAt)
		}
	}
	if bound.RenewedUntil("b", now) > partitionedAt+testWindow+2*micro.Second {
		t.Fatal("renewal bound of a zone that stays partitioned exceeds the renewal window")
	}
	if bound.RenewalLimit("a", now) < now+testWindow {
		t.Fatal("renewal limit of the leader's zone, which may be partitioned next, is less than a window from now")
	}
	exchange(proxy, bound, now)
	if proxy.TryRenew(now) || bound.RenewedUntil("b", now) < now {
		t.Fatal("the first request must report the renewals, and no lease may be renewed after it")
	}
}

func TestProxyRenewsOnlyIfWholeZoneIsPartitioned(t *testing.T) {
	for _, c := range []struct {
		name            string
		inside, outside bool
		want            bool
	}{
		{"whole zone is partitioned", true, false, true},
		{"only this node is isolated", false, false, false},
		{"leader does not answer, another zone does", true, true, false},
		{"only nodes of another zone answer", false, true, false},
	} {
		proxy := newProxy("n-1")
		bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b"}, "a")
		exchange(proxy, bound, micro.Second)
		now := 6 * micro.Second
		proxy.RecordProbe(c.inside, c.outside, now)
		if got := proxy.TryRenew(now); got != c.want {
			t.Errorf("%s: lease renewed %v, want %v", c.name, got, c.want)
		}
	}
	proxy := newProxy("n-1")
	proxy.RecordProbe(true, false, 6*micro.Second)
	if proxy.TryRenew(6 * micro.Second) {
		t.Error("a new process that was never answered renewed a lease")
	}
	if bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "a"}, "a"); bound.RenewedUntil(
		"b", micro.Minute,
	) != 0 {
		t.Error("a zone with one node has no lease proxy, but has a renewal bound")
	}
}

// A process was paused after it read the clock for a renewal. If it has meanwhile told the leader that no
// lease was renewed until a later time, it must not renew one with the earlier time.
func TestProxyDoesNotRenewAfterProcessPause(t *testing.T) {
	proxy := newProxy("n-1")
	bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b"}, "a")
	exchange(proxy, bound, micro.Second)
	proxy.RecordProbe(true, false, 6*micro.Second)
	beforePause := 7 * micro.Second
	if proxy.Request(8 * micro.Second).RenewedLeases {
		t.Fatal("a request reports renewals though no lease was renewed")
	}
	if proxy.TryRenew(beforePause) {
		t.Fatal("lease renewed at 7 s, but the leader was told that none was renewed until 8 s")
	}
}

// Messages may be lost or delayed, clocks may drift, and the leader may change. No lease that a lease proxy
// renewed may outlive the time from which the leader releases allocations.
func TestNoLeaseOutlivesRenewalBound(t *testing.T) {
	renewals, released := 0, 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 11))
		zones := map[string]string{"n-1": "b", "n-2": "b", "n-3": "a"}
		proxies := []*Proxy{newProxy("n-1"), newProxy("n-2")}
		clockRates := []float64{1 + random.Float64()*0.0005, 1 + random.Float64()*0.0005}
		bound := NewRenewalBound(1, 0, testWindow, zones, "a")
		leaderClockRate := 1 + random.Float64()*0.0005
		clock := func(clockRate float64, now micro.Time) micro.Time { return micro.Time(clockRate * float64(now)) }
		type message struct {
			arrivesAt, sentAt micro.Time // arrivesAt in true time, sentAt by the lease proxy's clock
			proxy             int
			request           Request
			timestamp         LeaderTimestamp
			answer            bool
		}
		var network []message
		var latestLease micro.Time // true time of the latest expiry of a renewed lease
		partitionedAt, partitionedFor := micro.Time(random.Int64N(int64(30*micro.Second))), micro.Time(
			random.Int64N(int64(90*micro.Second)),
		)
		partitioned := func(now micro.Time) bool { return now > partitionedAt && now < partitionedAt+partitionedFor }
		delay := func(now micro.Time) micro.Time {
			latency := micro.Time(random.Int64N(int64(700 * micro.Millisecond)))
			if partitioned(now + latency) { // delivered after the partition
				return partitionedAt + partitionedFor + latency
			}
			return now + latency
		}
		term := uint64(1)
		for now := micro.Second; now < 3*micro.Minute; now += 100 * micro.Millisecond {
			if random.IntN(600) == 0 { // another node becomes leader
				term++
				bound = NewRenewalBound(term, clock(leaderClockRate, now), testWindow, zones, "a")
			}
			if random.IntN(800) == 0 { // a process restarts
				proxies[random.IntN(2)] = newProxy([]string{"n-1", "n-2"}[random.IntN(2)])
				for i, name := range []string{"n-1", "n-2"} {
					proxies[i].Node = name
				}
			}
			for i, proxy := range proxies {
				localNow := clock(clockRates[i], now)
				if random.IntN(10) == 0 {
					network = append(
						network, message{arrivesAt: delay(now), sentAt: localNow, proxy: i, request: proxy.Request(localNow)},
					)
				}
				if partitioned(now) || random.IntN(100) == 0 {
					proxy.RecordProbe(true, false, localNow)
				}
				if random.IntN(3) == 0 && proxy.TryRenew(localNow) {
					renewals++
					latestLease = max(latestLease, now+testLease)
				}
			}
			var undelivered []message
			for _, packet := range network {
				switch {
				case packet.arrivesAt > now:
					undelivered = append(undelivered, packet)
				case packet.answer:
					proxies[packet.proxy].HandleResponse(packet.sentAt, clock(clockRates[packet.proxy], now), packet.timestamp)
				case random.IntN(10) > 0: // otherwise the request is lost
					timestamp := bound.HandleRequest(packet.request, clock(leaderClockRate, now))
					undelivered = append(undelivered, message{
						arrivesAt: delay(now), sentAt: packet.sentAt, proxy: packet.proxy, timestamp: timestamp, answer: true,
					})
				}
			}
			network = undelivered
			localNow := clock(leaderClockRate, now)
			if until := bound.RenewedUntil("b", localNow); localNow > until+testLease+testLease/500+micro.Second {
				released++
				if now < latestLease {
					t.Fatalf("seed %d: at %v the leader releases allocations, but a lease is valid until %v", seed, now, latestLease)
				}
			}
		}
	}
	if renewals < 1000 || released < 1000 {
		t.Fatalf(
			"too few events: %d renewals, allocations released in %d checks; want at least 1000 each", renewals, released,
		)
	}
}

// A leader that was elected while a zone was partitioned has never been connected to the zone's nodes. It
// treated the zone as reachable.
func TestNeverConnectedZoneIsDisconnectedAfterContactGrace(t *testing.T) {
	const termStart = micro.Minute
	bound := NewRenewalBound(
		7, termStart, 45*micro.Second, map[string]string{"n-1": "a", "n-2": "a", "n-3": "b", "n-4": "c"}, "c",
	)
	if bound.ZoneDisconnected("a", termStart+contactGrace) {
		t.Error("zone is disconnected before its nodes had time to send requests")
	}
	now := termStart + contactGrace + micro.Second
	if !bound.ZoneDisconnected("a", now) {
		t.Error("zone is not disconnected though none of its nodes sent a request in this term")
	}
	if bound.ZoneDisconnected("b", now) || bound.ZoneDisconnected("c", now) {
		t.Error("a zone with one node, or the leader's own zone, is disconnected")
	}
	timestamp := bound.HandleRequest(Request{Node: "n-1"}, now)
	bound.HandleRequest(Request{Node: "n-1", Echo: timestamp}, now+RequestInterval)
	if bound.ZoneDisconnected("a", now+RequestInterval) {
		t.Error("zone is disconnected though one of its nodes is connected")
	}
}
