// Package dispatch sends commands to agents: in the response to each heartbeat, and directly, over
// a connection of its own, where commands should not wait for the next heartbeat.
//
// A Dispatcher holds the fencing token that the commands of one term carry, the machines with
// commands to be sent directly, and the overload detector. It may be used only by the goroutine of
// the event loop that it was created for, except for HandleHeartbeat, which may be called from any
// other goroutine.
package dispatch

import (
	"log/slog"

	"notchmux.dev/notchmux/internal/agent"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

const (
	// maxInFlight bounds the messages that were sent directly and have no response yet: each
	// takes a socket.
	maxInFlight = 96
	// maxCommands bounds the commands in one message.
	maxCommands = 400
	// unansweredBackoff is the time before the next direct message to a machine whose agent did
	// not respond.
	unansweredBackoff = 2 * micro.Second
	// rejectedBackoff is the same time after the agent responded but did not execute the commands.
	rejectedBackoff = 500 * micro.Millisecond
)

// Host is implemented by the event loop that owns a Dispatcher: the leader's or a shard owner's.
// All methods but HoldsLease are called only by the loop's goroutine.
type Host interface {
	// HoldsLease reports whether commands may be sent and heartbeats answered now. It may be
	// called from any goroutine.
	HoldsLease() bool
	// RefusesHeartbeat reports whether a heartbeat must be answered by another controller.
	RefusesHeartbeat(heartbeat *wire.Heartbeat) bool
	// HeartbeatReceived records that an agent reached this controller.
	HeartbeatReceived()
	// Resign ends the term.
	Resign(reason string)
}

// Dependencies holds the collaborators of a Dispatcher.
type Dependencies struct {
	Cluster *cluster.State
	Loop    *eventloop.Loop
	Sender  agent.Sender
	Log     *slog.Logger
	Now     func() micro.Time // the monotonic clock
	Host    Host
}

// Dispatcher sends commands to agents during one leadership term or one ownership of a shard.
type Dispatcher struct {
	cluster *cluster.State
	loop    *eventloop.Loop
	sender  agent.Sender
	log     *slog.Logger
	now     func() micro.Time
	host    Host

	token    fencingToken
	pending  map[*cluster.Machine]bool // machines with commands to be sent directly
	inFlight int                       // messages sent directly that have no response yet
	overload overloadDetector
}

// New returns a Dispatcher whose commands carry fencing tokens from firstToken on.
func New(firstToken uint64, deps Dependencies) *Dispatcher {
	return &Dispatcher{
		cluster: deps.Cluster,
		loop:    deps.Loop,
		sender:  deps.Sender,
		log:     deps.Log,
		now:     deps.Now,
		host:    deps.Host,
		token:   fencingToken{current: firstToken},
		pending: map[*cluster.Machine]bool{},
	}
}

// MarkPending records that a machine has commands to be sent directly.
func (d *Dispatcher) MarkPending(machine *cluster.Machine) { d.pending[machine] = true }

// Pending returns the number of machines with commands waiting to be sent directly.
func (d *Dispatcher) Pending() int { return len(d.pending) }

// InFlight returns the number of messages that were sent directly and have no response yet.
func (d *Dispatcher) InFlight() int { return d.inFlight }

// SendPending sends pending commands until maxInFlight messages are in flight.
func (d *Dispatcher) SendPending(now micro.Time) {
	for machine := range d.pending {
		if d.inFlight >= maxInFlight {
			break // the rest stay pending or are sent in heartbeat responses
		}
		delete(d.pending, machine)
		if d.shouldDispatch(machine) {
			d.dispatch(machine, now)
		}
	}
}

// shouldDispatch reports whether a machine's commands are sent directly: always while this node is
// not overloaded, otherwise only if they start a task of the highest priority or the response would
// be a liveness proof of the machine.
func (d *Dispatcher) shouldDispatch(machine *cluster.Machine) bool {
	if !d.overload.active || machine.WouldProveLiveness(d.token.current) {
		return true
	}
	for _, allocation := range machine.Allocations {
		if allocation.State == cluster.Starting && !allocation.Observed && allocation.Job != nil &&
			allocation.Job.PriorityLevel == 0 {
			return true
		}
	}
	return false
}

// dispatch sends a machine its commands without waiting for its next heartbeat, unless a message to
// it is in flight or it is in backoff.
func (d *Dispatcher) dispatch(machine *cluster.Machine, now micro.Time) {
	unproven := machine.WouldProveLiveness(d.token.current)
	if machine.State != cluster.Up && !unproven || machine.Addr == "" {
		return
	}
	if machine.DispatchInFlight {
		machine.DispatchPending = true
		return
	}
	if machine.NextDispatchAt > now {
		return // the response to the next heartbeat carries the commands
	}
	var commands []wire.Command
	if unproven {
		// The machine's next heartbeat, which would carry the token, may take long: agents limit
		// how often they send an early heartbeat for a newer token. The response to a message
		// without commands carries the token as well.
		commands = []wire.Command{}
	} else if commands = d.commands(machine, true, now); len(commands) == 0 {
		return
	}
	machine.DispatchInFlight, machine.DispatchPending = true, false
	d.inFlight++
	message := wire.Commands{
		FencingToken: wire.Count(d.token.current), AgentEpoch: wire.Count(machine.AgentEpoch), Items: commands,
	}
	go d.send(machine, machine.Addr, message)
}

// commands returns the commands for a machine's agent, at most maxCommands.
func (d *Dispatcher) commands(machine *cluster.Machine, direct bool, now micro.Time) []wire.Command {
	commands := d.cluster.Commands(machine, d.token.current, direct, now)
	if len(commands) > maxCommands {
		commands = commands[:maxCommands]
	}
	return commands
}

// send sends a message to a machine's agent and posts the outcome to the event loop.
func (d *Dispatcher) send(machine *cluster.Machine, addr string, message wire.Commands) {
	if !d.host.HoldsLease() {
		d.loop.Post(commandsNotSent{dispatcher: d, machine: machine})
		return
	}
	heartbeat, executed, err := d.sender.Send(addr, message)
	d.loop.Post(commandsAnswered{
		dispatcher: d, machine: machine, heartbeat: heartbeat, executed: executed, err: err,
	})
}

// commandsNotSent is the event that a message was not sent because the lease had expired.
type commandsNotSent struct {
	dispatcher *Dispatcher
	machine    *cluster.Machine
}

// Apply records that no message is in flight to the machine.
func (e commandsNotSent) Apply() { e.dispatcher.clearInFlight(e.machine) }

// commandsAnswered is the event that an agent responded to a direct message or that sending it failed.
type commandsAnswered struct {
	dispatcher *Dispatcher
	machine    *cluster.Machine
	heartbeat  *wire.Heartbeat
	executed   bool // the agent executed the commands; otherwise they had an older token or another epoch
	err        error
}

// Apply reconciles the machine with the heartbeat in the response, and sets a backoff if the commands
// were not executed.
func (e commandsAnswered) Apply() {
	d, machine := e.dispatcher, e.machine
	d.clearInFlight(machine)
	now := d.now()
	if e.err != nil {
		d.log.Debug("commands sent directly got no response", "machine", machine.Name, "err", e.err)
		machine.NextDispatchAt, machine.DispatchUnanswered = now+unansweredBackoff, true
		return
	}
	if e.heartbeat.Machine == machine.Name {
		d.cluster.Reconcile(e.heartbeat, cluster.FromDispatchResponse, now)
	}
	if machine.DispatchPending || !e.executed {
		d.MarkPending(machine)
	}
	if !e.executed {
		machine.NextDispatchAt = now + rejectedBackoff
	}
}

// clearInFlight records that the message in flight to a machine is done.
func (d *Dispatcher) clearInFlight(machine *cluster.Machine) {
	machine.DispatchInFlight = false
	d.inFlight--
}
