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

// blockLoop is an event that blocks the event loop until release is closed.
type blockLoop struct{ blocked, release chan struct{} }

// Apply closes blocked and waits for release.
func (e blockLoop) Apply() {
	close(e.blocked)
	<-e.release
}

// runLoop runs the event loop in the background until the test ends. It returns the dispatcher's clock,
// which the test may set.
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

// handleQueuedHeartbeat passes a heartbeat to HandleHeartbeat. It calls whileQueued after the heartbeat was
// queued and before the event loop processes it.
func (test *testDispatcher) handleQueuedHeartbeat(heartbeat *wire.Heartbeat, whileQueued func()) (accepted bool) {
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
	whileQueued()
	close(e.release)
	return <-answered
}

// An agent may have timed out waiting for a late response. If its next heartbeat does not carry the
// response's token, this does not show that the agent receives no responses.
func TestLateResponseDoesNotCountAsMissed(t *testing.T) {
	for _, c := range []struct {
		name   string
		took   micro.Time
		missed int
	}{
		{"prompt response", 0, 1},
		{"late response", promptResponseLimit, 0},
	} {
		test := newTestDispatcher(t, 0)
		clock := test.runLoop(t)
		sender := fake.NewAgent("i-1", "small", "a", 30*micro.Second)
		test.handleQueuedHeartbeat(sender.Heartbeat(), func() { clock.Add(int64(c.took)) })
		test.handleQueuedHeartbeat(sender.Heartbeat(), func() {}) // carries the token from before the response
		if got := test.cluster.Machines["i-1"].MissedResponses; got != c.missed {
			t.Errorf("%s: %d heartbeats count as missed responses, want %d", c.name, got, c.missed)
		}
	}
}

// The response to a heartbeat renews the agent's lease. This is allowed for a late copy of a heartbeat of
// the current epoch, since the renewal is recorded, but not for a heartbeat of an earlier epoch.
func TestHeartbeatOfEarlierEpochIsRefused(t *testing.T) {
	test := newTestDispatcher(t, 0)
	clock := test.runLoop(t)
	for _, c := range []struct {
		name            string
		epoch, sequence wire.Count
		want            bool
	}{
		{"first heartbeat is answered", 2, 5, true},
		{"late copy of the current epoch is answered", 2, 4, true},
		{"heartbeat of the previous epoch is refused", 1, 9, false},
	} {
		now := micro.Time(clock.Add(int64(micro.Second)))
		heartbeat := fake.NewAgent("i-1", "small", "a", 30*micro.Second).Heartbeat()
		heartbeat.AgentEpoch, heartbeat.Sequence = c.epoch, c.sequence
		if got := test.handleQueuedHeartbeat(heartbeat, func() {}); got != c.want {
			t.Errorf("%s: answered %v, want %v", c.name, got, c.want)
		}
		if m := test.cluster.Machines["i-1"]; (m.LeaseRenewedAt == now) != c.want {
			t.Errorf("%s: lease renewed at %v; renewal at %v expected: %v", c.name, m.LeaseRenewedAt, now, c.want)
		}
	}
}

// The lease may lapse after the decision to send commands and before they are sent.
func TestNoCommandIsSentAfterLeaseLapse(t *testing.T) {
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
			t.Fatalf("%s: %d messages in flight, machine in flight %v", c.name, test.InFlight(), machine.DispatchInFlight)
		}
		test.runLoopUntil(func() bool { return test.InFlight() == 0 })
		if sent := len(test.sender.sent); sent != c.want || machine.DispatchInFlight {
			t.Errorf("%s: %d messages sent, want %d; machine in flight %v", c.name, sent, c.want, machine.DispatchInFlight)
		}
	}
}

// The token is raised every tokenRaiseInterval even if nothing requires a newer one: heartbeats that
// still carry the old token reveal a machine that receives no responses. The term ends before its tokens
// are exhausted.
func TestTokenIsRaisedPeriodicallyAndStaysWithinTerm(t *testing.T) {
	test := newTestDispatcher(t, 1)
	test.token.raisedAt = test.at
	first := test.FencingToken()
	test.raiseToken(test.at + tokenRaiseInterval)
	if test.FencingToken() != first {
		t.Error("token raised before tokenRaiseInterval passed")
	}
	test.raiseToken(test.at + tokenRaiseInterval + 1)
	if test.FencingToken() != first+1 {
		t.Error("token not raised after tokenRaiseInterval")
	}
	test.RaiseFencingToken((first>>fencingTokenBits+1)<<fencingTokenBits - 2)
	test.token.raisedAt = 0
	test.raiseToken(test.at)
	if test.FencingToken()>>fencingTokenBits != first>>fencingTokenBits || test.host.resigned == "" {
		t.Errorf("token %x, resign reason %q; want a token of the term and a reason", test.FencingToken(), test.host.resigned)
	}
}
