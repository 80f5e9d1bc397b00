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

// exchange is one request and its answer, without delay.
func exchange(proxy *Proxy, bound *RenewalBound, now micro.Time) {
	proxy.HandleResponse(now, now, bound.HandleRequest(proxy.Request(now), now))
}

// A zone was cut off for longer than its agents' leases: half of all replicas
// ended, and the rule on spreading let nobody replace them.
func TestProxiesOfAPartitionedZoneRenewWithinTheWindowAndReportIt(t *testing.T) {
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
			t.Fatalf("%v after the cut it renews: %v", now-partitionedAt, got)
		}
		// The leader takes no place for free before the last such lease ran out.
		if until := bound.RenewedUntil("b", now); until < min(now, partitionedAt+testWindow) {
			t.Fatalf("%v after the cut the leader counts from %v", now-partitionedAt, until-partitionedAt)
		}
	}
	if bound.RenewedUntil("b", now) > partitionedAt+testWindow+2*micro.Second {
		t.Fatal("a zone that stays away must be given up once the span is over")
	}
	if bound.RenewalLimit("a", now) < now+testWindow {
		t.Fatal("the zone of the leader and one more node may be cut off next")
	}
	exchange(proxy, bound, now)
	if proxy.TryRenew(now) || bound.RenewedUntil("b", now) < now {
		t.Fatal("what was kept must be told with the first request, and nothing be kept after it")
	}
}

func TestOnlyNodesOfAWhollyPartitionedZoneRenew(t *testing.T) {
	for _, c := range []struct {
		name            string
		inside, outside bool
		want            bool
	}{
		{"the whole zone is cut off", true, false, true},
		{"this node alone is cut off", false, false, false},
		{"the leader does not answer, another zone does", true, true, false},
		{"peers of this zone are refused", false, true, false},
	} {
		proxy := newProxy("n-1")
		bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b"}, "a")
		exchange(proxy, bound, micro.Second)
		now := 6 * micro.Second
		proxy.RecordProbe(c.inside, c.outside, now)
		if got := proxy.TryRenew(now); got != c.want {
			t.Errorf("%s: renews %v", c.name, got)
		}
	}
	proxy := newProxy("n-1")
	proxy.RecordProbe(true, false, 6*micro.Second)
	if proxy.TryRenew(6 * micro.Second) {
		t.Error("a fresh process was never answered, and renews")
	}
	if bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "a"}, "a"); bound.RenewedUntil(
		"b", micro.Minute,
	) != 0 {
		t.Error("a zone of one node has no keeper to wait for")
	}
}

// A process stood still between its look at the clock and its answer.
func TestStalledProxyRenewsNothing(t *testing.T) {
	proxy := newProxy("n-1")
	bound := NewRenewalBound(7, 0, testWindow, map[string]string{"n-1": "b", "n-2": "b"}, "a")
	exchange(proxy, bound, micro.Second)
	proxy.RecordProbe(true, false, 6*micro.Second)
	beforeStall := 7 * micro.Second
	if proxy.Request(8 * micro.Second).RenewedLeases {
		t.Fatal("nothing was kept")
	}
	if proxy.TryRenew(beforeStall) {
		t.Fatal("the leader was told that nothing was kept until 8 s, and something is kept at 7 s")
	}
}

// Whatever is lost, late or slow, and whichever leader asks: no lease that a
// lease proxy renewed may outlive the time from which the leader frees allocations.
func TestNoLeaseOutlivesTheRenewalBound(t *testing.T) {
	renewals, freed := 0, 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 11))
		zones := map[string]string{"n-1": "b", "n-2": "b", "n-3": "a"}
		proxies := []*Proxy{newProxy("n-1"), newProxy("n-2")}
		clockRates := []float64{1 + random.Float64()*0.0005, 1 + random.Float64()*0.0005}
		bound := NewRenewalBound(1, 0, testWindow, zones, "a")
		leaderClockRate := 1 + random.Float64()*0.0005
		clock := func(clockRate float64, now micro.Time) micro.Time { return micro.Time(clockRate * float64(now)) }
		type msg struct {
			at, sent micro.Time // by true time when it arrives, by the lease proxy's clock when sent
			k        int
			req      Request
			echo     LeaderTimestamp
			answer   bool
		}
		var network []msg
		var latestLease micro.Time // true time until which some agent's lease may run
		partitionedAt, partitionedFor := micro.Time(random.Int64N(int64(30*micro.Second))), micro.Time(
			random.Int64N(int64(90*micro.Second)),
		)
		partitioned := func(now micro.Time) bool { return now > partitionedAt && now < partitionedAt+partitionedFor }
		delay := func(now micro.Time) micro.Time {
			latency := micro.Time(random.Int64N(int64(700 * micro.Millisecond)))
			if partitioned(now + latency) { // held, delivered later
				return partitionedAt + partitionedFor + latency
			}
			return now + latency
		}
		term := uint64(1)
		for now := micro.Second; now < 3*micro.Minute; now += 100 * micro.Millisecond {
			if random.IntN(600) == 0 { // another leads
				term++
				bound = NewRenewalBound(term, clock(leaderClockRate, now), testWindow, zones, "a")
			}
			if random.IntN(800) == 0 { // a process ends and is back at once
				proxies[random.IntN(2)] = newProxy([]string{"n-1", "n-2"}[random.IntN(2)])
				for i, name := range []string{"n-1", "n-2"} {
					proxies[i].Node = name
				}
			}
			for i, proxy := range proxies {
				localNow := clock(clockRates[i], now)
				if random.IntN(10) == 0 {
					network = append(network, msg{at: delay(now), sent: localNow, k: i, req: proxy.Request(localNow)})
				}
				if partitioned(now) || random.IntN(100) == 0 {
					proxy.RecordProbe(true, false, localNow)
				}
				if random.IntN(3) == 0 && proxy.TryRenew(localNow) {
					renewals++
					latestLease = max(latestLease, now+testLease)
				}
			}
			var undelivered []msg
			for _, packet := range network {
				switch {
				case packet.at > now:
					undelivered = append(undelivered, packet)
				case packet.answer:
					proxies[packet.k].HandleResponse(packet.sent, clock(clockRates[packet.k], now), packet.echo)
				case random.IntN(10) > 0: // else lost
					timestamp := bound.HandleRequest(packet.req, clock(leaderClockRate, now))
					undelivered = append(
						undelivered, msg{at: delay(now), sent: packet.sent, k: packet.k, echo: timestamp, answer: true},
					)
				}
			}
			network = undelivered
			localNow := clock(leaderClockRate, now)
			if until := bound.RenewedUntil("b", localNow); localNow > until+testLease+testLease/500+micro.Second {
				freed++
				if now < latestLease {
					t.Fatalf("seed %d: at %v the leader frees places, a lease runs until %v", seed, now, latestLease)
				}
			}
		}
	}
	if renewals < 1000 || freed < 1000 {
		t.Fatalf("the days were too quiet: %d renewals, places free in %d looks", renewals, freed)
	}
}

// A leader that took over while a zone was cut off has never been in touch with its
// nodes, and took the zone for one in reach.
func TestZoneNeverConnectedIsDisconnectedAfterTheGrace(t *testing.T) {
	const termStart = micro.Minute
	bound := NewRenewalBound(
		7, termStart, 45*micro.Second, map[string]string{"n-1": "a", "n-2": "a", "n-3": "b", "n-4": "c"}, "c",
	)
	if bound.ZoneDisconnected("a", termStart+contactGrace) {
		t.Error("its nodes had no time to ask yet")
	}
	now := termStart + contactGrace + micro.Second
	if !bound.ZoneDisconnected("a", now) {
		t.Error("no node of the zone has asked since the term began")
	}
	if bound.ZoneDisconnected("b", now) || bound.ZoneDisconnected("c", now) {
		t.Error("a zone of one node, or the leader's own, is never away")
	}
	timestamp := bound.HandleRequest(Request{Node: "n-1"}, now)
	bound.HandleRequest(Request{Node: "n-1", Echo: timestamp}, now+RequestInterval)
	if bound.ZoneDisconnected("a", now+RequestInterval) {
		t.Error("one of its nodes is in touch")
	}
}
