package leasekeeper

import (
	"math/rand/v2"
	"testing"

	"notchmux.dev/notchmux/internal/golden"
	"notchmux.dev/notchmux/internal/micro"
)

// testZones returns the zones of the other nodes: two nodes in zone b, and one in zone a, the leader's.
func testZones() map[string]string { return map[string]string{"n-1": "b", "n-2": "b", "n-3": "a"} }

// exchangeFence delivers one request, the fence that answers it, and its confirmation without delay.
func exchangeFence(proxy *Proxy, bound *RenewalBound, now micro.Time) {
	proxy.Request(now)
	answer := bound.Fence(now)
	if proxy.HandleFence(now) {
		bound.HandleConfirmation(FenceConfirmation{Node: proxy.Node, Fence: answer}, now)
	}
}

// A leader that fenced a zone from the start of its term had no information about the lease proxies there.
// It waited 45 s, the renewal window, longer than a lease duration, because they might renew leases.
func TestFencedProxyDoesNotRenewAndBoundStaysAtFence(t *testing.T) {
	proxy := newProxy("n-1")
	exchange(proxy, NewRenewalBound(6, 0, testWindow, testZones(), "a"), micro.Second)
	const termStart = 3 * micro.Second
	bound := NewRenewalBound(7, termStart, testWindow, testZones(), "a")
	const fencedAt = 4 * micro.Second
	exchangeFence(proxy, bound, fencedAt)
	exchangeFence(&Proxy{Node: "n-2", Log: proxy.Log}, bound, fencedAt)
	for now := fencedAt; now < fencedAt+testWindow; now += RequestInterval {
		proxy.RecordProbe(true, false, now)
		if proxy.TryRenew(now) {
			t.Fatalf("lease renewed %v after the fence", now-fencedAt)
		}
		if until := bound.RenewedUntil("b", now); until != fencedAt {
			t.Fatalf("renewal bound is %v, want the time of the fence %v", until, fencedAt)
		}
	}
	if bound.ZoneDisconnected("b", fencedAt+renewAfter-1) {
		t.Error("zone is disconnected within renewAfter of the confirmed fences")
	}
	if !bound.ZoneDisconnected("b", fencedAt+testWindow) {
		t.Error("zone is not disconnected though its nodes sent nothing for a renewal window")
	}
}

// The user of a cancelled job, whose zone was fenced for the cancellation, was told that the job had ended
// while its tasks were still running: the lease proxies of the zone had confirmed an earlier fence, which
// was taken into account. A fence must not shorten the time until the user is told.
func TestFenceDoesNotShortenRenewalLimit(t *testing.T) {
	const termStart = 3 * micro.Second
	bound := NewRenewalBound(7, termStart, testWindow, testZones(), "a")
	proxies := []*Proxy{newProxy("n-1"), newProxy("n-2")}
	const fencedAt = 4 * micro.Second
	for _, proxy := range proxies {
		exchangeFence(proxy, bound, fencedAt)
	}
	const fromTermStart = termStart + testWindow
	if limit := bound.RenewalLimit("b", fencedAt+1); limit < fromTermStart {
		t.Errorf("renewal limit after a fence at the start of the term is %v, want at least %v", limit, fromTermStart)
	}
	const answeredAt = 6 * micro.Second
	for _, proxy := range proxies {
		bound.HandleRequest(proxy.Request(answeredAt), answeredAt)
		exchangeFence(proxy, bound, answeredAt+RequestInterval)
	}
	const fromAnswer = answeredAt + testWindow
	if limit := bound.RenewalLimit("b", answeredAt+2*RequestInterval); limit < fromAnswer {
		t.Errorf("renewal limit after an ordinary answer and a fence is %v, want at least %v", limit, fromAnswer)
	}
}

// The next ordinary answer ends a fence, both in the proxy and in the leader's bound.
func TestNextOrdinaryAnswerEndsFence(t *testing.T) {
	proxy := newProxy("n-1")
	bound := NewRenewalBound(7, 0, testWindow, testZones(), "a")
	exchangeFence(proxy, bound, micro.Second)
	exchange(proxy, bound, 2*micro.Second)
	now := 2*micro.Second + renewAfter
	proxy.RecordProbe(true, false, now)
	if !proxy.TryRenew(now) {
		t.Error("lease not renewed after an ordinary answer ended the fence")
	}
	if until := bound.RenewedUntil("b", now); until < now {
		t.Errorf("renewal bound is %v, but a lease was renewed at %v", until, now)
	}
	bound.HandleConfirmation(FenceConfirmation{Node: "n-1", Fence: Fence{Term: 7, At: int64(micro.Second)}}, now)
	if until := bound.RenewedUntil("b", now); until < now {
		t.Error("a late copy of the confirmation lowered the renewal bound")
	}
}

// Answers may arrive out of order. An answer to a request older than the fenced one must not end the fence,
// and a fence that answers a request older than the last one answered must not take effect.
func TestReorderedAnswersNeitherEndNorBeginFence(t *testing.T) {
	const earlier, later = 10 * micro.Second, 10*micro.Second + 100*micro.Millisecond
	proxy := newProxy("n-1")
	if !proxy.HandleFence(later) {
		t.Fatal("the fence did not take effect")
	}
	proxy.HandleResponse(earlier, later+micro.Millisecond, LeaderTimestamp{Term: 7, At: 1})
	now := earlier + renewAfter
	proxy.RecordProbe(true, false, now)
	if proxy.TryRenew(now) {
		t.Error("an answer to an earlier request ended the fence")
	}
	proxy = newProxy("n-1")
	proxy.HandleResponse(later, later+micro.Millisecond, LeaderTimestamp{Term: 7, At: 1})
	if proxy.HandleFence(earlier) {
		t.Error("a fence that answers an earlier request took effect")
	}
}

// Messages may be lost, delayed and reordered, and a zone may be fenced at any time. No lease that a proxy
// renewed may outlive the time from which the leader releases allocations.
func TestNoLeaseOutlivesRenewalBoundOfFencedZone(t *testing.T) {
	totals := fenceSimulation{}
	for seed := range uint64(300) {
		simulation := newFenceSimulation(seed)
		for simulation.now < 3*micro.Minute {
			simulation.step()
			if simulation.violated() {
				t.Fatalf(
					"seed %d: at %v all leases count as expired, but one is valid until %v",
					seed, simulation.now, simulation.latestLease,
				)
			}
		}
		totals.renewals += simulation.renewals
		totals.confirmed += simulation.confirmed
		totals.expired += simulation.expired
	}
	if totals.renewals < 1000 || totals.confirmed < 1000 || totals.expired < 1000 {
		t.Fatalf(
			"too few events: %d renewals, %d confirmations, leases expired in %d checks; want at least 1000 each",
			totals.renewals, totals.confirmed, totals.expired,
		)
	}
}

// fenceSimulation simulates a leader, two lease proxies of one zone, and the network between them.
type fenceSimulation struct {
	random      *rand.Rand
	now         micro.Time
	term        uint64
	bound       *RenewalBound
	proxies     []*Proxy
	fenced      bool // the leader answers with fences
	partitioned bool
	network     []delivery
	latestLease micro.Time // latest expiry of a renewed lease

	renewals, confirmed, expired int
}

// delivery is a message that arrives at a given time.
type delivery struct {
	at    micro.Time
	apply func()
}

func newFenceSimulation(seed uint64) *fenceSimulation {
	return &fenceSimulation{
		random: rand.New(rand.NewPCG(seed, 23)), now: micro.Second, term: 1,
		bound: NewRenewalBound(1, 0, testWindow, testZones(), "a"), proxies: []*Proxy{newProxy("n-1"), newProxy("n-2")},
	}
}

// oneIn returns true with probability 1/n.
func (d *fenceSimulation) oneIn(n int) bool { return d.random.IntN(n) == 0 }

// send delivers a message later or loses it. In a partition, a message may be delayed by up to 20 s more.
func (d *fenceSimulation) send(apply func()) {
	if d.oneIn(10) {
		return
	}
	latency := micro.Time(d.random.Int64N(int64(600 * micro.Millisecond)))
	if d.partitioned || d.oneIn(30) {
		latency += micro.Time(d.random.Int64N(int64(20 * micro.Second)))
	}
	d.network = append(d.network, delivery{d.now + latency, apply})
}

// step simulates a tenth of a second.
func (d *fenceSimulation) step() {
	d.now += 100 * micro.Millisecond
	if d.oneIn(150) {
		d.fenced = !d.fenced
	}
	if d.oneIn(200) {
		d.partitioned = !d.partitioned
	}
	if d.oneIn(900) { // another node becomes leader
		d.term++
		d.bound = NewRenewalBound(d.term, d.now, testWindow, testZones(), "a")
	}
	for i := range d.proxies {
		d.stepProxy(i)
	}
	arrived := d.network
	d.network = nil
	for _, message := range arrived {
		if message.at > d.now {
			d.network = append(d.network, message)
		} else {
			message.apply()
		}
	}
}

// stepProxy simulates a tenth of a second of one proxy.
func (d *fenceSimulation) stepProxy(i int) {
	if d.oneIn(1200) { // the process restarts
		d.proxies[i] = newProxy(d.proxies[i].Node)
	}
	proxy := d.proxies[i]
	if d.oneIn(10) {
		sent, request := d.now, proxy.Request(d.now)
		d.send(func() { d.answer(proxy, request, sent) })
	}
	if d.partitioned || d.oneIn(100) {
		proxy.RecordProbe(true, false, d.now)
	}
	if d.oneIn(3) && proxy.TryRenew(d.now) {
		d.renewals++
		d.latestLease = max(d.latestLease, d.now+testLease)
	}
}

// answer simulates the leader's answer to a request, and the proxy's confirmation of a fence.
func (d *fenceSimulation) answer(proxy *Proxy, request Request, sent micro.Time) {
	if !d.fenced {
		timestamp := d.bound.HandleRequest(request, d.now)
		d.send(func() { proxy.HandleResponse(sent, d.now, timestamp) })
		return
	}
	answer := d.bound.Fence(d.now)
	d.send(func() {
		if proxy.HandleFence(sent) {
			d.send(func() {
				d.confirmed++
				d.bound.HandleConfirmation(FenceConfirmation{Node: proxy.Node, Fence: answer}, d.now)
			})
		}
	})
}

// violated reports whether the leader treats all leases as expired while one is still valid.
func (d *fenceSimulation) violated() bool {
	if d.now <= d.bound.RenewedUntil("b", d.now)+testLease+testLease/500+micro.Second {
		return false
	}
	d.expired++
	return d.now < d.latestLease
}

func TestFencesAndConfirmationsKeepTheirBytes(t *testing.T) {
	if err := golden.Binary(Fence{Term: 7, At: 12345}, "82a17407a161cd3039"); err != nil {
		t.Error(err)
	}
	confirmation := FenceConfirmation{Node: "n-1", Fence: Fence{Term: 7, At: 12345}}
	if err := golden.Binary(confirmation, "82a16ea36e2d31a16682a17407a161cd3039"); err != nil {
		t.Error(err)
	}
}
