// Package referral tells whether agents look for a node that they do not reach. An agent that
// gets no answer from the node that it sends its heartbeats to tries the others, and each
// refers it back to the leader, or to the owner of its shard. So a node that no agent reaches
// can ask its peers: if agents were referred to it and none came, the network between them is
// at fault.
//
// That an agent was not referred says little at first: it waits out a timeout at each node that it
// does not reach, and may come to those before it comes to the peer that it does. So the node
// names some agents that it does not hear, and its peers probe them; then it probes those that
// answered. One that answers a peer but not the node is alive, and the network between it and the
// node is at fault. If there is none such, and none was referred, no agent is there that would reach
// another node.
//
// A Responder belongs to a node; any goroutine may call its methods.
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
	// Timeout is how long a peer may take over a Query, its probes included.
	Timeout = agent.ProbeTimeout + 450*micro.Millisecond
	// MaxProbedAgents is how many agents a peer probes for a Query.
	MaxProbedAgents = 5
)

// Agent is an agent that a node does not hear.
type Agent struct {
	Machine string `msgpack:"machine"`
	Addr    string `msgpack:"addr"`
}

// Query asks a node when it last referred an agent to another, and whether agents answer it.
type Query struct {
	Node   string  `msgpack:"node"`             // to which the agent was referred
	Agents []Agent `msgpack:"agents,omitempty"` // to be probed, MaxProbedAgents at most
}

// Reply answers a Query.
type Reply struct {
	Referred bool     `msgpack:"referred"`          // an agent was referred to the node
	Age      int64    `msgpack:"age"`               // how long ago the last one was, in microseconds
	Reached  []string `msgpack:"reached,omitempty"` // the machines of the agents that answered a probe
}

// Log remembers when a node last referred an agent to each other node. The zero value is ready.
type Log struct {
	mu   sync.Mutex
	last map[string]micro.Time // by the node that agents were referred to; steady clock
}

// Record notes that an agent was referred to a node.
func (l *Log) Record(node string, now micro.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = map[string]micro.Time{}
	}
	l.last[node] = now
}

// lastReferral is when an agent was last referred to a node; false: none was.
func (l *Log) lastReferral(node string) (at micro.Time, referred bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, referred = l.last[node]
	return at, referred
}

// Responder answers the queries of other nodes. The zero value is ready, and probes no agent.
type Responder struct {
	Log
	Prober agent.Prober // nil: no agent is probed
}

// Handle answers another node's Query with an HTTP status and a body.
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

// probe probes agents, MaxProbedAgents at most, and names the machines of those that answer.
func probe(prober agent.Prober, agents []Agent) []string {
	if prober == nil {
		return nil
	}
	agents = agents[:min(len(agents), MaxProbedAgents)]
	answered := make([]bool, len(agents))
	var group errgroup.Group
	for i, probed := range agents {
		group.Go(func() error {
			heartbeat, err := prober.Probe(probed.Addr)
			// Another machine may have got the address of one that is gone.
			answered[i] = err == nil && heartbeat.Machine == probed.Machine
			return nil
		})
	}
	_ = group.Wait() // no probe returns an error
	var machines []string
	for i, probed := range agents {
		if answered[i] {
			machines = append(machines, probed.Machine)
		}
	}
	return machines
}

// Result is what all peers together know of agents that were referred to a node.
type Result struct {
	Unanswered int        // peers that did not say
	Referred   bool       // an agent was referred to the node
	Age        micro.Time // how long ago the last one was
	Reached    bool       // an agent answers a peer, and does not answer the node
}

// AgentsMayBeAlive reports whether there may be agents that do not reach the node: a peer reached
// one, or may have referred one to the node within a time.
func (a Result) AgentsMayBeAlive(within micro.Time) bool {
	return a.Reached || a.ReferredWithin(within)
}

// ReferredWithin reports whether agents may have been referred to the node within a time: a peer
// says so, or one did not answer.
func (a Result) ReferredWithin(d micro.Time) bool {
	return a.Unanswered > 0 || a.Referred && a.Age < d
}

// Client asks the peers of a node.
type Client struct {
	Caller peer.Caller
	Prober agent.Prober // probes for the node itself; nil: no agent answers the node
	Peers  []string     // by name
}

// QueryPeers asks all peers. One of a version that does not know the call counts as one that did not
// answer; one that does not know of probes answers without.
func (a Client) QueryPeers(ctx context.Context, query Query) Result {
	body := wire.MustMarshal(query)
	replies := make([]*Reply, len(a.Peers))
	var group errgroup.Group
	for i, name := range a.Peers {
		group.Go(func() error {
			replies[i] = queryPeer(ctx, a.Caller, name, body)
			return nil
		})
	}
	_ = group.Wait() // no call returns an error
	answer, reached := combineReplies(replies, query.Agents)
	// Only now: an agent that was not there a moment ago would answer the peers alone.
	answer.Reached = len(probe(a.Prober, reached)) < len(reached)
	return answer
}

// queryPeer asks one peer; nil: it did not answer.
func queryPeer(ctx context.Context, caller peer.Caller, name string, body []byte) *Reply {
	var reply Reply
	status, out, err := caller.Call(ctx, name, peer.Referral, body, Timeout)
	if err != nil || status != http.StatusOK || wire.Unmarshal(out, &reply) != nil {
		return nil
	}
	return &reply
}

// combineReplies takes the replies together, and lists those of the named agents that answered a peer.
func combineReplies(replies []*Reply, agents []Agent) (answer Result, reached []Agent) {
	answered := map[string]bool{}
	for _, reply := range replies {
		if reply == nil {
			answer.Unanswered++
			continue
		}
		for _, machine := range reply.Reached {
			answered[machine] = true
		}
		if reply.Referred && (!answer.Referred || micro.Time(reply.Age) < answer.Age) {
			answer.Referred, answer.Age = true, micro.Time(reply.Age)
		}
	}
	for _, probed := range agents {
		if answered[probed.Machine] {
			reached = append(reached, probed)
		}
	}
	return answer, reached
}
