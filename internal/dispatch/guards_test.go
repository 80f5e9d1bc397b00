package dispatch

import (
	"sync/atomic"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/agent"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// blockLoop is an event that keeps the loop busy until it is released.
type blockLoop struct{ blocked, release chan struct{} }

// Apply waits.
func (e blockLoop) Apply() {
	close(e.blocked)
	<-e.release
}

// runLoop has the loop take in events, and do nothing else. The clock that it returns may be
// set meanwhile.
func (test *testDispatcher) runLoop(t *testing.T) *atomic.Int64 {
	t.Helper()
	var clock atomic.Int64
	clock.Store(int64(test.at))
	test.now = func() micro.Time { return micro.Time(clock.Load()) }
	t.Cleanup(test.loop.Stop)
	go test.loop.Run(eventloop.Handlers{
		Now: micro.Now, Tick: func(micro.Time) {}, AfterEvents: func(micro.Time) {},
	})
	return &clock
}

// handleHeartbeat has a heartbeat answered by the loop; something may happen after it was received
// and before the loop takes it in.
func (test *testDispatcher) handleHeartbeat(heartbeat *wire.Heartbeat, between func()) (accepted bool) {
	e := blockLoop{make(chan struct{}), make(chan struct{})}
	test.loop.Post(e)
	<-e.blocked
	answered := make(chan bool, 1)
	go func() {
		_, accepted := test.HandleHeartbeat(heartbeat)
		answered <- accepted
	}()
	for test.loop.Len(eventloop.Events) == 0 {
		time.Sleep(time.Millisecond)
	}
	between()
	close(e.release)
	return <-answered
}

// The agent may have given up waiting for a response that took long: that its next heartbeat
// has not seen the response's token does not show that it receives none.
func TestLateResponseIsNoSignThatResponsesAreLost(t *testing.T) {
	for _, c := range []struct {
		name   string
		took   micro.Time
		missed int
	}{
		{"in time", 0, 1},
		{"late", promptResponseLimit, 0},
	} {
		test := newTestDispatcher(t, 0)
		clock := test.runLoop(t)
		sender := fake.NewAgent("i-1", "small", "a", 30*micro.Second)
		test.handleHeartbeat(sender.Heartbeat(), func() { clock.Add(int64(c.took)) })
		test.handleHeartbeat(sender.Heartbeat(), func() {}) // has not seen the token of the response
		if got := test.cluster.Machines["i-1"].MissedResponses; got != c.missed {
			t.Errorf("%s: %d heartbeats count as missed responses, want %d", c.name, got, c.missed)
		}
	}
}

// The response to a late copy of a heartbeat renews the agent's lease: of the present epoch's
// it may, for that is noted; of an earlier one's it may not.
func TestLateHeartbeatOfAnEarlierEpochIsNotAnswered(t *testing.T) {
	test := newTestDispatcher(t, 0)
	clock := test.runLoop(t)
	for _, c := range []struct {
		name            string
		epoch, sequence wire.Count
		want            bool
	}{
		{"first", 2, 5, true},
		{"late copy of the epoch", 2, 4, true},
		{"late copy of the epoch before", 1, 9, false},
	} {
		now := micro.Time(clock.Add(int64(micro.Second)))
		heartbeat := fake.NewAgent("i-1", "small", "a", 30*micro.Second).Heartbeat()
		heartbeat.AgentEpoch, heartbeat.Sequence = c.epoch, c.sequence
		if got := test.handleHeartbeat(heartbeat, func() {}); got != c.want {
			t.Errorf("%s: answered %v, want %v", c.name, got, c.want)
		}
		if m := test.cluster.Machines["i-1"]; (m.LeaseRenewedAt == now) != c.want {
			t.Errorf("%s: the lease counts from %v, now it is %v", c.name, m.LeaseRenewedAt, now)
		}
	}
}

// The lease may lapse between the decision to send commands and the moment they go out.
func TestNoCommandIsSentOnceTheLeaseHasLapsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		lapsed bool
		want   int
	}{{"lease held", false, 1}, {"lease lapsed", true, 0}} {
		test := newTestDispatcher(t, 1)
		test.sender.err = agent.ErrUncertain
		test.host.leaseLapsed = c.lapsed
		machine := test.machines[0]
		test.dispatch(machine, test.at)
		if test.InFlight() != 1 || !machine.DispatchInFlight {
			t.Fatalf("%s: %d messages in flight, machine busy %v", c.name, test.InFlight(), machine.DispatchInFlight)
		}
		test.runLoopUntil(func() bool { return test.InFlight() == 0 })
		if sent := len(test.sender.sent); sent != c.want || machine.DispatchInFlight {
			t.Errorf("%s: %d messages were sent, want %d; machine busy %v", c.name, sent, c.want, machine.DispatchInFlight)
		}
	}
}

// A machine that receives no response shows by not having seen a newer token: one is given
// out every so often though nothing waits for it. A term ends before its tokens do.
func TestTokenIsRaisedPeriodicallyAndNeverReachesTheNextTerms(t *testing.T) {
	test := newTestDispatcher(t, 1)
	test.token.raisedAt = test.at
	first := test.FencingToken()
	test.raiseToken(test.at + tokenRaiseInterval)
	if test.FencingToken() != first {
		t.Error("raised before its time")
	}
	test.raiseToken(test.at + tokenRaiseInterval + 1)
	if test.FencingToken() != first+1 {
		t.Error("not raised in its time")
	}
	test.RaiseFencingToken((first>>fencingTokenBits+1)<<fencingTokenBits - 2)
	test.token.raisedAt = 0
	test.raiseToken(test.at)
	if test.FencingToken()>>fencingTokenBits != first>>fencingTokenBits || test.host.resigned == "" {
		t.Errorf("token %x, resigned: %q", test.FencingToken(), test.host.resigned)
	}
}
