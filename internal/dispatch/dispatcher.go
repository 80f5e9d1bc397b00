// Package dispatch sends commands to agents: with the response to each heartbeat, and at
// once where that is worth a connection of its own.
//
// A Dispatcher owns the fencing token that the commands of one term carry, the machines
// whose commands wait to be sent, and the overload detector. All of it belongs to the
// goroutine of the event loop that the Dispatcher was made for; only HandleHeartbeat may be
// called from others.
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
	// maxInFlight bounds the commands that were sent at once and have no response yet: each
	// takes a socket.
	maxInFlight = 96
	// maxCommands bounds the commands in one message.
	maxCommands = 400
	// unansweredBackoff is how long nothing more is sent at once to a machine whose agent
	// left commands unanswered.
	unansweredBackoff = 2 * micro.Second
	// rejectedBackoff is the same where the agent answered, but did not execute them.
	rejectedBackoff = 500 * micro.Millisecond
)

// Host is what a Dispatcher needs of the loop that it sends commands for.
type Host interface {
	// HoldsLease reports whether commands may be sent and heartbeats answered now. Any
	// goroutine may ask.
	HoldsLease() bool
	// RefusesHeartbeat reports whether a heartbeat is another controller's to answer. Only
	// the loop's goroutine asks.
	RefusesHeartbeat(heartbeat *wire.Heartbeat) bool
	// HeartbeatReceived notes that an agent reached this controller. Only the loop's
	// goroutine calls it.
	HeartbeatReceived()
	// Resign ends the term. Only the loop's goroutine calls it.
	Resign(reason string)
}

// Dependencies are what a Dispatcher works with.
type Dependencies struct {
	Cluster *cluster.State
	Loop    *eventloop.Loop
	Sender  agent.Sender
	Log     *slog.Logger
	Now     func() micro.Time // the steady clock
	Host    Host
}

// Dispatcher sends commands to the agents of one term, or of one ownership of a shard.
type Dispatcher struct {
	cluster *cluster.State
	loop    *eventloop.Loop
	sender  agent.Sender
	log     *slog.Logger
	now     func() micro.Time
	host    Host

	token    fencingToken
	pending  map[*cluster.Machine]bool // machines with commands worth sending at once
	inFlight int                       // messages sent at once that have no response yet
	overload overloadDetector
}

// New makes a Dispatcher whose commands carry fencing tokens from firstToken on.
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

// MarkPending notes that a machine has commands worth sending at once.
func (d *Dispatcher) MarkPending(machine *cluster.Machine) { d.pending[machine] = true }

// Pending is how many machines have commands that wait to be sent at once.
func (d *Dispatcher) Pending() int { return len(d.pending) }

// InFlight is how many messages were sent at once and have no response yet.
func (d *Dispatcher) InFlight() int { return d.inFlight }

// SendPending sends the commands that wait, as many as may be in flight.
func (d *Dispatcher) SendPending(now micro.Time) {
	for machine := range d.pending {
		if d.inFlight >= maxInFlight {
			break // the rest wait, or the next heartbeats bring them
		}
		delete(d.pending, machine)
		if d.shouldDispatch(machine) {
			d.dispatch(machine, now)
		}
	}
}

// shouldDispatch reports whether a machine's commands go out at once: always while there is
// processor time, else those that start work of the first priority or prove that the
// machine is alive.
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

// dispatch sends a machine its commands without waiting for its next heartbeat.
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
		return // the next heartbeat brings them
	}
	var commands []wire.Command
	if unproven {
		// Its next heartbeat, which would show the token, may be long in coming: an
		// agent sends one at once for a newer token only now and then. The response
		// to an empty message shows it as well.
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

// commands lists what a machine's agent is to do, as much as one message may hold.
func (d *Dispatcher) commands(machine *cluster.Machine, direct bool, now micro.Time) []wire.Command {
	commands := d.cluster.Commands(machine, d.token.current, direct, now)
	if len(commands) > maxCommands {
		commands = commands[:maxCommands]
	}
	return commands
}

// send sends a message to a machine's agent, and has the loop take in what came of it.
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

// commandsNotSent is the event that a message was kept back, since the lease had lapsed.
type commandsNotSent struct {
	dispatcher *Dispatcher
	machine    *cluster.Machine
}

// Apply notes that nothing is in flight to the machine.
func (e commandsNotSent) Apply() { e.dispatcher.clearInFlight(e.machine) }

// commandsAnswered is the event that an agent answered commands sent at once, or failed to.
type commandsAnswered struct {
	dispatcher *Dispatcher
	machine    *cluster.Machine
	heartbeat  *wire.Heartbeat
	executed   bool // the agent accepted the commands; else they had an older token or another epoch
	err        error
}

// Apply reconciles the machine with the heartbeat in the response.
func (e commandsAnswered) Apply() {
	d, machine := e.dispatcher, e.machine
	d.clearInFlight(machine)
	now := d.now()
	if e.err != nil {
		d.log.Debug("dispatch unanswered", "machine", machine.Name, "err", e.err)
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

// clearInFlight notes that nothing is in flight to a machine any more.
func (d *Dispatcher) clearInFlight(machine *cluster.Machine) {
	machine.DispatchInFlight = false
	d.inFlight--
}
