package dispatch

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

const (
	// heartbeatTimeout is the longest time that a heartbeat waits for the event loop.
	heartbeatTimeout = 2 * micro.Second
	// promptResponseLimit is the time within which a response must be ready so that the agent can
	// be expected to receive it.
	promptResponseLimit = micro.Second
)

// HandleHeartbeat processes an agent's heartbeat and returns the commands for its machine. It returns
// false if the heartbeat must not be answered now or was not processed within heartbeatTimeout; the
// agent then has to try again. It may be called from any goroutine but the loop's.
func (d *Dispatcher) HandleHeartbeat(heartbeat *wire.Heartbeat) (commands wire.Commands, accepted bool) {
	received := heartbeatReceived{dispatcher: d, heartbeat: heartbeat, receivedAt: d.now()}
	event := func(reply eventloop.Reply[heartbeatResponse]) eventloop.Event {
		received.reply = reply
		return received
	}
	response, ok := eventloop.Call(d.loop, eventloop.Events, heartbeatTimeout, event)
	// The lease may have expired meanwhile; then no response may be sent.
	return response.commands, ok && response.accepted && d.host.HoldsLease()
}

// heartbeatResponse is the response to an agent, which has to try again if its heartbeat was not
// accepted.
type heartbeatResponse struct {
	commands wire.Commands
	accepted bool
}

// heartbeatReceived is the event that an agent's heartbeat reached this controller.
type heartbeatReceived struct {
	dispatcher *Dispatcher
	heartbeat  *wire.Heartbeat
	receivedAt micro.Time
	reply      eventloop.Reply[heartbeatResponse]
}

// Apply reconciles the machine with its heartbeat and replies with its commands.
func (e heartbeatReceived) Apply() {
	e.reply.Send(e.dispatcher.answerHeartbeat(e.heartbeat, e.receivedAt))
}

// answerHeartbeat reconciles the machine with its heartbeat and returns the response. It refuses the
// heartbeat if this controller may not answer it or if it is of an earlier agent epoch.
func (d *Dispatcher) answerHeartbeat(heartbeat *wire.Heartbeat, receivedAt micro.Time) heartbeatResponse {
	now := d.now()
	if !d.host.HoldsLease() || d.host.RefusesHeartbeat(heartbeat) {
		return heartbeatResponse{}
	}
	d.host.HeartbeatReceived()
	d.observeQueueDelay(now-receivedAt, now)
	machine, outcome := d.cluster.Reconcile(heartbeat, cluster.FromHeartbeat, now)
	if machine == nil || outcome == cluster.Refused ||
		outcome == cluster.Stale && uint64(heartbeat.AgentEpoch) != machine.AgentEpoch {
		return heartbeatResponse{}
	}
	if machine.WouldProveLiveness(d.token.current) {
		d.MarkPending(machine)
	}
	commands := d.commands(machine, false, now)
	if now-receivedAt < promptResponseLimit {
		d.cluster.ResponseSent(machine, d.token.current)
	} else {
		d.cluster.ResponseSent(machine, 0) // the agent's request may have timed out
	}
	message := wire.Commands{FencingToken: wire.Count(d.token.current), Items: commands}
	return heartbeatResponse{commands: message, accepted: true}
}
