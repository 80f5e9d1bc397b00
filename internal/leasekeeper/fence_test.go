package leasekeeper

import (
	"math/rand/v2"
	"testing"

	"notchmux.dev/notchmux/internal/golden"
	"notchmux.dev/notchmux/internal/micro"
)

// testZones has two nodes in the leader's zone, the leader included, and two in another.
func testZones() map[string]string { return map[string]string{"n-1": "b", "n-2": "b", "n-3": "a"} }

// exchangeFence is one request that is answered with a exchangeFence, and the confirmation, without delay.
func exchangeFence(proxy *Proxy, bound *RenewalBound, now micro.Time) {
	proxy.Request(now)
	answer := bound.Fence(now)
	if proxy.HandleFence(now) {
		bound.HandleConfirmation(FenceConfirmation{Node: proxy.Node, Fence: answer}, now)
	}
}

// A leader that fenced a zone from the start of its term knew nothing of the lease proxies there,
// and took 45 s more than a lease for what they might renew.
func TestFencedProxyRenewsNothingAndTheLeaderKnows(t *testing.T) {
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
			t.Fatalf("%v after the fence a lease is renewed", now-fencedAt)
		}
		if until := bound.RenewedUntil("b", now); until != fencedAt {
			t.Fatalf("leases count from %v", until)
		}
	}
	if bound.ZoneDisconnected("b", fencedAt+renewAfter-1) {
		t.Error("a zone whose nodes confirm a fence is disconnected")
	}
	if !bound.ZoneDisconnected("b", fencedAt+testWindow) {
		t.Error("nothing was heard for long")
	}
}

// The user of a cancelled job was told while its tasks ran, and its zone fenced for that, since
// proxies had confirmed a fence of before: it does not bring a user's answer forward.
func TestRenewalLimitDoesNotCountOnAFence(t *testing.T) {
	const termStart = 3 * micro.Second
	bound := NewRenewalBound(7, termStart, testWindow, testZones(), "a")
	proxies := []*Proxy{newProxy("n-1"), newProxy("n-2")}
	const fencedAt = 4 * micro.Second
	for _, proxy := range proxies {
		exchangeFence(proxy, bound, fencedAt)
	}
	const fromTermStart = termStart + testWindow
	if limit := bound.RenewalLimit("b", fencedAt+1); limit < fromTermStart {
		t.Errorf("fenced by the new term, before it fences a zone for a job: %v, at least %v", limit, fromTermStart)
	}
	const answeredAt = 6 * micro.Second
	for _, proxy := range proxies {
		bound.HandleRequest(proxy.Request(answeredAt), answeredAt)
		exchangeFence(proxy, bound, answeredAt+RequestInterval)
	}
	const fromAnswer = answeredAt + testWindow
	if limit := bound.RenewalLimit("b", answeredAt+2*RequestInterval); limit < fromAnswer {
		t.Errorf("fenced after an answer: %v, at least %v", limit, fromAnswer)
	}
}

// The next ordinary answer ends a fence, at the proxy and at the leader.
func TestNextAnswerEndsAFence(t *testing.T) {
	proxy := newProxy("n-1")
	bound := NewRenewalBound(7, 0, testWindow, testZones(), "a")
	exchangeFence(proxy, bound, micro.Second)
	exchange(proxy, bound, 2*micro.Second)
	now := 2*micro.Second + renewAfter
	proxy.RecordProbe(true, false, now)
	if !proxy.TryRenew(now) {
		t.Error("the fence did not end")
	}
	if until := bound.RenewedUntil("b", now); until < now {
		t.Errorf("leases count from %v, though one is renewed at %v", until, now)
	}
	bound.HandleConfirmation(FenceConfirmation{Node: "n-1", Fence: Fence{Term: 7, At: int64(micro.Second)}}, now)
	if until := bound.RenewedUntil("b", now); until < now {
		t.Error("a late copy of the confirmation was believed")
	}
}

// Answers overtake one another: an answer to an earlier request does not end a fence, nor does a
// fence that answers an earlier request begin one.
func TestOvertakenAnswersNeitherEndNorBeginAFence(t *testing.T) {
	const earlier, later = 10 * micro.Second, 10*micro.Second + 100*micro.Millisecond
	proxy := newProxy("n-1")
	if !proxy.HandleFence(later) {
		t.Fatal("the fence was not taken in")
	}
	proxy.HandleResponse(earlier, later+micro.Millisecond, LeaderTimestamp{Term: 7, At: 1})
	now := earlier + renewAfter
	proxy.RecordProbe(true, false, now)
	if proxy.TryRenew(now) {
		t.Error("an overtaken answer ended the fence")
	}
	proxy = newProxy("n-1")
	proxy.HandleResponse(later, later+micro.Millisecond, LeaderTimestamp{Term: 7, At: 1})
	if proxy.HandleFence(earlier) {
		t.Error("an overtaken fence is to be confirmed")
	}
}

// Whatever is lost, late or overtaken, and whenever a zone is fenced: no lease that a proxy
// renewed may outlive the time from which the leader releases allocations.
func TestNoLeaseOutlivesTheBoundOfAFencedZone(t *testing.T) {
	totals := fenceSimulation{}
	for seed := range uint64(300) {
		day := newFenceSimulation(seed)
		for day.now < 3*micro.Minute {
			day.step()
			if day.violated() {
				t.Fatalf("seed %d: at %v leases count as expired, one runs until %v", seed, day.now, day.latestLease)
			}
		}
		totals.renewals += day.renewals
		totals.confirmed += day.confirmed
		totals.expired += day.expired
	}
	if totals.renewals < 1000 || totals.confirmed < 1000 || totals.expired < 1000 {
		t.Fatalf("too quiet: %d renewals, %d confirmations, expired in %d looks", totals.renewals, totals.confirmed, totals.expired)
	}
}

// fenceSimulation plays a leader, two lease proxies of one zone, and the network between them.
type fenceSimulation struct {
	random      *rand.Rand
	now         micro.Time
	term        uint64
	bound       *RenewalBound
	proxies     []*Proxy
	fenced      bool // the leader answers with fences
	partitioned bool
	network     []delivery
	latestLease micro.Time // until when some agent's lease may run

	renewals, confirmed, expired int
}

// delivery is something that arrives at a time.
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

// oneIn is true once in so many steps.
func (d *fenceSimulation) oneIn(oneIn int) bool { return d.random.IntN(oneIn) == 0 }

// send delivers later, or never: what is sent in a partition may be held up until long after.
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

// step is a tenth of a second.
func (d *fenceSimulation) step() {
	d.now += 100 * micro.Millisecond
	if d.oneIn(150) {
		d.fenced = !d.fenced
	}
	if d.oneIn(200) {
		d.partitioned = !d.partitioned
	}
	if d.oneIn(900) { // another leads
		d.term++
		d.bound = NewRenewalBound(d.term, d.now, testWindow, testZones(), "a")
	}
	for i := range d.proxies {
		d.stepProxy(i)
	}
	arrived := d.network
	d.network = nil
	for _, each := range arrived {
		if each.at > d.now {
			d.network = append(d.network, each)
		} else {
			each.apply()
		}
	}
}

func (d *fenceSimulation) stepProxy(i int) {
	if d.oneIn(1200) { // a process ends and is back at once
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

// answer has the leader answer a request: the proxy takes in what arrives, and confirms fences.
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

// violated reports whether the leader takes leases for expired while one may run.
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
