// Package referral detects live agents that cannot reach a node.
//
// An agent that gets no response from the node to which it sends its heartbeats tries the other nodes, and
// each refers it back to the leader or to the owner of its shard. So a node that receives no heartbeats
// queries its peers: if they referred agents to it and none arrived, the network between the agents and the
// node has failed.
//
// The absence of referrals shows little at first: an agent waits for a timeout at each node that it cannot
// reach, and may try several of these before a peer that it can reach. The query therefore names some of the
// agents from which the node receives no heartbeats. The peers probe them, and the node then probes those
// that responded to a peer. An agent that responds to a peer but not to the node is alive, and the network
// between the two has failed. If there is none, and none was referred, no live agent could reach another node.
//
// A node has one Responder, whose methods are safe for concurrent use.
package referral

import (
	"context"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/agent"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

const (
	// Timeout is how long a peer may take to reply to a Query, including its probes.
	Timeout = agent.ProbeTimeout + 450*micro.Millisecond
	// MaxProbedAgents is the largest number of agents that a peer probes for a Query.
	MaxProbedAgents = 5
)

// Agent identifies an agent from which a node receives no heartbeats.
type Agent struct {
	Machine string `msgpack:"machine"`
	Addr    string `msgpack:"addr"`
}

// Query asks a peer when it last referred an agent to the querying node, and which of some agents respond
// to the peer.
type Query struct {
	Node   string  `msgpack:"node"`             // the querying node
	Agents []Agent `msgpack:"agents,omitempty"` // agents to probe; the peer ignores those beyond MaxProbedAgents
}

// Reply is the response to a Query.
type Reply struct {
	Referred bool     `msgpack:"referred"`          // an agent was referred to the node
	Age      int64    `msgpack:"age"`               // time since the last referral, in microseconds
	Reached  []string `msgpack:"reached,omitempty"` // the machines of the agents that responded to a probe
}

// Log records when a node last referred an agent to each other node. The zero value is ready to use.
type Log struct {
	mu   sync.Mutex
	last map[string]micro.Time // by the node to which the agent was referred; monotonic clock
}

// Record records that an agent was referred to the node.
func (l *Log) Record(node string, now micro.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = map[string]micro.Time{}
	}
	l.last[node] = now
}

// lastReferral returns when an agent was last referred to the node; referred is false if none was.
func (l *Log) lastReferral(node string) (at micro.Time, referred bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, referred = l.last[node]
	return at, referred
}

// Responder handles the queries of other nodes. The zero value is ready to use and probes no agents.
type Responder struct {
	Log
	Prober agent.Prober // nil: no agents are probed
}

// Handle returns the HTTP status and the encoded Reply to another node's Query. The status is 400 for a
// malformed query.
func (r *Responder) Handle(body []byte, now micro.Time) (status int, out []byte) {
	var query Query
	if err := wire.Unmarshal(body, &query); err != nil || query.Node == "" {
		return http.StatusBadRequest, nil
	}
	at, referred := r.lastReferral(query.Node)
	reply := Reply{Referred: referred}
	if referred {
		reply.Age = int64(now - at)
	}
	reply.Reached = probe(r.Prober, query.Agents)
	return http.StatusOK, wire.MustMarshal(reply)
}

// probe probes the first MaxProbedAgents agents in parallel and returns the machines of those that respond.
func probe(prober agent.Prober, agents []Agent) []string {
	if prober == nil {
		return nil
	}
	agents = agents[:min(len(agents), MaxProbedAgents)]
	responded := make([]bool, len(agents))
	var group errgroup.Group
	for i, probed := range agents {
		group.Go(func() error {
			heartbeat, err := prober.Probe(probed.Addr)
			// The address of a terminated machine may have been assigned to another one.
			responded[i] = err == nil && heartbeat.Machine == probed.Machine
			return nil
		})
	}
	_ = group.Wait() // no probe returns an error
	var machines []string
	for i, probed := range agents {
		if responded[i] {
			machines = append(machines, probed.Machine)
		}
	}
	return machines
}

// Result combines the replies of all peers.
type Result struct {
	Unanswered int        // number of peers without a valid reply
	Referred   bool       // a peer referred an agent to the node
	Age        micro.Time // time since the last referral
	Reached    bool       // an agent responds to a peer, but not to the node
}

// AgentsMayBeAlive reports whether there may be live agents that cannot reach the node: a peer reached
// one, or may have referred one to the node less than a duration ago.
func (r Result) AgentsMayBeAlive(within micro.Time) bool {
	return r.Reached || r.ReferredWithin(within)
}

// ReferredWithin reports whether an agent may have been referred to the node less than d ago: a peer
// reports a referral, or did not reply.
func (r Result) ReferredWithin(d micro.Time) bool {
	return r.Unanswered > 0 || r.Referred && r.Age < d
}

// Client queries the peers of a node.
type Client struct {
	Caller peer.Caller
	Prober agent.Prober // probes on behalf of the node itself; nil: no agent responds to the node
	Peers  []string     // names of the peers
}

// QueryPeers queries all peers in parallel. A peer of a previous release that does not support the call counts
// as one that did not reply; one that does not support probes replies without them.
func (c Client) QueryPeers(ctx context.Context, query Query) Result {
	body := wire.MustMarshal(query)
	replies := make([]*Reply, len(c.Peers))
	var group errgroup.Group
	for i, name := range c.Peers {
		group.Go(func() error {
			replies[i] = queryPeer(ctx, c.Caller, name, body)
			return nil
		})
	}
	_ = group.Wait() // no call returns an error
	result, reached := combineReplies(replies, query.Agents)
	// The node probes after its peers: had it probed first, an agent that started in between would have
	// responded to the peers only.
	result.Reached = len(probe(c.Prober, reached)) < len(reached)
	return result
}

// queryPeer queries one peer. It returns nil if there is no valid reply.
func queryPeer(ctx context.Context, caller peer.Caller, name string, body []byte) *Reply {
	var reply Reply
	status, out, err := caller.Call(ctx, name, peer.Referral, body, Timeout)
	if err != nil || status != http.StatusOK || wire.Unmarshal(out, &reply) != nil {
		return nil
	}
	return &reply
}

// combineReplies combines the replies, and returns those of the agents that responded to a peer. A nil reply
// counts as unanswered.
func combineReplies(replies []*Reply, agents []Agent) (result Result, reached []Agent) {
	responded := map[string]bool{}
	for _, reply := range replies {
		if reply == nil {
			result.Unanswered++
			continue
		}
		for _, machine := range reply.Reached {
			responded[machine] = true
		}
		if reply.Referred && (!result.Referred || micro.Time(reply.Age) < result.Age) {
			result.Referred, result.Age = true, micro.Time(reply.Age)
		}
	}
	for _, probed := range agents {
		if responded[probed.Machine] {
			reached = append(reached, probed)
		}
	}
	return result, reached
}
