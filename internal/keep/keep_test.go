package keep

import (
	"math/rand/v2"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

const (
	span  = 45 * micro.Second
	lease = 30 * micro.Second
)

func keeper(name string) *Keeper {
	return &Keeper{Node: name, Span: span, Log: func(string, ...any) {}}
}

// talk is one request and its answer, without delay.
func talk(k *Keeper, l *Ledger, now micro.Time) {
	k.Answered(now, now, l.Answer(k.Request(now), now))
}

// A zone was cut off for longer than its workers' leases: half of all replicas
// ended, and the rule on spreading let nobody replace them.
func TestKeepersOfACutOffZoneRenewLeasesForASpanAndConfess(t *testing.T) {
	k := keeper("n-1")
	l := NewLedger(7, 0, span, map[string]string{"n-1": "b", "n-2": "b", "n-3": "a"}, "a")
	now := 10 * micro.Second
	for range 3 {
		now += Every
		talk(k, l, now)
	}
	cut := now
	for now < cut+60*micro.Second {
		now += Every
		k.Looked(true, false, now)
		want := now-cut >= after && now-cut < span
		if got := k.Renew(now); got != want {
			t.Fatalf("%v after the cut it renews: %v", now-cut, got)
		}
		// The leader takes no place for free before the last such lease ran out.
		if until := l.Until("b", now); until < min(now, cut+span) {
			t.Fatalf("%v after the cut the leader counts from %v", now-cut, until-cut)
		}
	}
	if l.Until("b", now) > cut+span+2*micro.Second {
		t.Fatal("a zone that stays away must be given up once the span is over")
	}
	if l.Limit("a", now) < now+span {
		t.Fatal("the zone of the leader and one more node may be cut off next")
	}
	talk(k, l, now)
	if k.Renew(now) || l.Until("b", now) < now {
		t.Fatal("what was kept must be told with the first request, and nothing be kept after it")
	}
}

func TestOnlyAWholeZonesNodesKeep(t *testing.T) {
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
		k := keeper("n-1")
		l := NewLedger(7, 0, span, map[string]string{"n-1": "b", "n-2": "b"}, "a")
		talk(k, l, micro.Second)
		now := 6 * micro.Second
		k.Looked(c.inside, c.outside, now)
		if got := k.Renew(now); got != c.want {
			t.Errorf("%s: renews %v", c.name, got)
		}
	}
	k := keeper("n-1")
	k.Looked(true, false, 6*micro.Second)
	if k.Renew(6 * micro.Second) {
		t.Error("a fresh process was never answered, and renews")
	}
	if l := NewLedger(7, 0, span, map[string]string{"n-1": "b", "n-2": "a"}, "a"); l.Until("b", micro.Minute) != 0 {
		t.Error("a zone of one node has no keeper to wait for")
	}
}

// A process stood still between its look at the clock and its answer.
func TestKeeperThatStoodStillRenewsNothing(t *testing.T) {
	k := keeper("n-1")
	l := NewLedger(7, 0, span, map[string]string{"n-1": "b", "n-2": "b"}, "a")
	talk(k, l, micro.Second)
	k.Looked(true, false, 6*micro.Second)
	looked := 7 * micro.Second
	if k.Request(8 * micro.Second).Kept {
		t.Fatal("nothing was kept")
	}
	if k.Renew(looked) {
		t.Fatal("the leader was told that nothing was kept until 8 s, and something is kept at 7 s")
	}
}

// Whatever is lost, late or slow, and whichever leader asks: no lease that a
// keeper renewed may outlive the time from which the leader frees places.
func TestNoLeaseOutlivesTheLeadersBound(t *testing.T) {
	renewals, freed := 0, 0
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 11))
		names := map[string]string{"n-1": "b", "n-2": "b", "n-3": "a"}
		keepers := []*Keeper{keeper("n-1"), keeper("n-2")}
		rate := []float64{1 + r.Float64()*0.0005, 1 + r.Float64()*0.0005}
		ledger := NewLedger(1, 0, span, names, "a")
		led := 1 + r.Float64()*0.0005
		clock := func(x float64, now micro.Time) micro.Time { return micro.Time(x * float64(now)) }
		type msg struct {
			at, sent micro.Time // by true time when it arrives, by the keeper's clock when sent
			k        int
			req      Request
			echo     Echo
			answer   bool
		}
		var wire []msg
		var worst micro.Time // true time until which some worker's lease may run
		cutAt, cutFor := micro.Time(r.Int64N(int64(30*micro.Second))), micro.Time(r.Int64N(int64(90*micro.Second)))
		cut := func(now micro.Time) bool { return now > cutAt && now < cutAt+cutFor }
		delay := func(now micro.Time) micro.Time {
			d := micro.Time(r.Int64N(int64(700 * micro.Millisecond)))
			if cut(now + d) { // held, delivered later
				return cutAt + cutFor + d
			}
			return now + d
		}
		term := uint64(1)
		for now := micro.Second; now < 3*micro.Minute; now += 100 * micro.Millisecond {
			if r.IntN(600) == 0 { // another leads
				term++
				ledger = NewLedger(term, clock(led, now), span, names, "a")
			}
			if r.IntN(800) == 0 { // a process ends and is back at once
				keepers[r.IntN(2)] = keeper([]string{"n-1", "n-2"}[r.IntN(2)])
				for i, name := range []string{"n-1", "n-2"} {
					keepers[i].Node = name
				}
			}
			for i, k := range keepers {
				mine := clock(rate[i], now)
				if r.IntN(10) == 0 {
					wire = append(wire, msg{at: delay(now), sent: mine, k: i, req: k.Request(mine)})
				}
				if cut(now) || r.IntN(100) == 0 {
					k.Looked(true, false, mine)
				}
				if r.IntN(3) == 0 && k.Renew(mine) {
					renewals++
					worst = max(worst, now+lease)
				}
			}
			var rest []msg
			for _, m := range wire {
				switch {
				case m.at > now:
					rest = append(rest, m)
				case m.answer:
					keepers[m.k].Answered(m.sent, clock(rate[m.k], now), m.echo)
				case r.IntN(10) > 0: // else lost
					e := ledger.Answer(m.req, clock(led, now))
					rest = append(rest, msg{at: delay(now), sent: m.sent, k: m.k, echo: e, answer: true})
				}
			}
			wire = rest
			mine := clock(led, now)
			if until := ledger.Until("b", mine); mine > until+lease+lease/500+micro.Second {
				freed++
				if now < worst {
					t.Fatalf("seed %d: at %v the leader frees places, a lease runs until %v", seed, now, worst)
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
func TestZoneThatWasNeverInTouchIsAwayOnceThereWasTimeForIt(t *testing.T) {
	const began = micro.Minute
	l := NewLedger(7, began, 45*micro.Second, map[string]string{"n-1": "a", "n-2": "a", "n-3": "b", "n-4": "c"}, "c")
	if l.Away("a", began+introduction) {
		t.Error("its nodes had no time to ask yet")
	}
	now := began + introduction + micro.Second
	if !l.Away("a", now) {
		t.Error("no node of the zone has asked since the term began")
	}
	if l.Away("b", now) || l.Away("c", now) {
		t.Error("a zone of one node, or the leader's own, is never away")
	}
	e := l.Answer(Request{Node: "n-1"}, now)
	l.Answer(Request{Node: "n-1", Echo: e}, now+Every)
	if l.Away("a", now+Every) {
		t.Error("one of its nodes is in touch")
	}
}
