package controller

import (
	"context"
	"errors"
	"time"

	"notchmux.dev/notchmux/internal/agent"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// peerCaller sends the calls of one process to the other controllers.
type peerCaller struct {
	process *controllerProcess
	link    *fake.Link
}

// Call sends a call to a controller and returns the status and body of its reply, or peer.ErrUnreachable.
func (c *peerCaller) Call(ctx context.Context, node, call string, body []byte, wait micro.Time) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	c.process.waitWhileFrozen()
	type answer struct {
		status int
		out    []byte
	}
	ch := make(chan answer, 1)
	for _, other := range c.process.sim.controllers {
		if other.name != node {
			continue
		}
		n := other.runningNode()
		if n == nil || c.process.partitionedFrom(peersRefused) {
			return 0, nil, peer.ErrUnreachable
		}
		if other.partitionedFrom("peers") || c.process.partitionedFrom("peers") || c.process.runningNode() == nil ||
			c.process.sim.isPartitioned(other.zone, c.process.zone) {
			break
		}
		go func() {
			other.waitWhileFrozen()
			if other.runningNode() == n {
				status, out := n.handlePeerCall(context.Background(), call, body)
				other.waitPeerDelay()
				other.waitWhileFrozen()
				ch <- answer{status, out}
			}
		}()
	}
	select {
	case a := <-ch:
		return a.status, a.out, nil
	case <-ctx.Done():
		return 0, nil, peer.ErrUnreachable
	}
}

// dispatchSender sends the dispatched commands of one process.
type dispatchSender struct {
	process *controllerProcess
	link    *fake.Link
}

// Send delivers commands to an agent. A hung machine executes them when it resumes,
// which may be long after the sender has timed out.
func (s *dispatchSender) Send(addr string, commands wire.Commands) (*wire.Heartbeat, bool, error) {
	s.process.waitWhileFrozen()
	if s.process.runningNode() == nil {
		return nil, false, agent.ErrUncertain
	}
	sim := s.process.sim
	machine := sim.machineNamed(addr[:len(addr)-len(":9000")])
	type answer struct {
		r  *wire.Heartbeat
		ok bool
	}
	ch := make(chan answer, 1)
	if machine != nil && machine.interceptDispatch(commands) {
		machine = nil
	}
	if machine != nil && !s.process.partitionedFrom("workers") && !sim.isPartitioned(machine.agent.Zone, s.process.zone) &&
		!machine.responsesLost() {
		go func() {
			sim.waitAgentLatency()
			machine.waitWhileHung()
			heartbeat, ok, there := machine.handleDispatch(commands)
			sim.waitAgentLatency()
			if there {
				ch <- answer{heartbeat, ok}
			}
		}()
	}
	t := time.NewTimer(3 * time.Second)
	defer t.Stop()
	select {
	case a := <-ch:
		return a.r, a.ok, nil
	case <-t.C:
		return nil, false, agent.ErrUncertain
	}
}

// agentProber sends the probes of one process.
type agentProber struct{ process *controllerProcess }

// Probe queries the status of an agent. A hung agent does not respond within the timeout. An agent whose
// heartbeats are lost responds to probes, as it does to commands.
func (p agentProber) Probe(addr string) (*wire.Heartbeat, error) {
	p.process.waitWhileFrozen()
	sim := p.process.sim
	machine := sim.machineNamed(addr[:len(addr)-len(":9000")])
	answers := make(chan *wire.Heartbeat, 1)
	if machine != nil && p.process.runningNode() != nil && !p.process.partitionedFrom("workers") &&
		!sim.isPartitioned(machine.agent.Zone, p.process.zone) && !machine.responsesLost() {
		go func() {
			sim.waitAgentLatency()
			machine.waitWhileHung()
			status, there := machine.status()
			sim.waitAgentLatency()
			if there {
				answers <- status
			}
		}()
	}
	timer := time.NewTimer(agent.ProbeTimeout.Duration())
	defer timer.Stop()
	select {
	case status := <-answers:
		return status, nil
	case <-timer.C:
		return nil, errors.New("probe timed out")
	}
}
