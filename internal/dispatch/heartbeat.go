package dispatch

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

const (
	// heartbeatTimeout is how long a heartbeat waits for the loop.
	heartbeatTimeout = 2 * micro.Second
	// promptResponseLimit is how soon a response must be ready to count as one that the
	// agent takes.
	promptResponseLimit = micro.Second
)

// HandleHeartbeat answers an agent's heartbeat with the commands for its machine; false if
// it may not be answered now, or there was no time to, and the agent has to try again. Any
// goroutine but the loop's may call it.
func (d *Dispatcher) HandleHeartbeat(heartbeat *wire.Heartbeat) (commands wire.Commands, accepted bool) {
	received := heartbeatReceived{dispatcher: d, heartbeat: heartbeat, receivedAt: d.now()}
	event := func(reply eventloop.Reply[heartbeatResponse]) eventloop.Event {
		received.reply = reply
		return received
	}
	response, ok := eventloop.Call(d.loop, eventloop.Events, heartbeatTimeout, event)
	// The lease may have lapsed meanwhile: then nothing may be said.
	return response.commands, ok && response.accepted && d.host.HoldsLease()
}

// heartbeatResponse is what an agent is told; it has to try again if its heartbeat was not
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

// Apply reconciles the machine with its heartbeat and answers with its commands.
func (e heartbeatReceived) Apply() {
	e.reply.Send(e.dispatcher.answerHeartbeat(e.heartbeat, e.receivedAt))
}

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
		d.cluster.ResponseSent(machine, 0) // the agent may have given up waiting
	}
	message := wire.Commands{FencingToken: wire.Count(d.token.current), Items: commands}
	return heartbeatResponse{commands: message, accepted: true}
}
