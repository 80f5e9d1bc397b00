// Package referral tells whether agents look for a node that they do not reach. An agent that
// gets no answer from the node that it sends its heartbeats to tries the others, and each
// refers it back to the leader, or to the owner of its shard. So a node that no agent reaches
// can ask its peers: if agents were referred to it and none came, the network between them is
// at fault; if none was, no agent is there to reach it.
//
// A Log belongs to a node; any goroutine may call its methods.
package referral

import (
	"context"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// Timeout is how long a peer may take over a Query.
const Timeout = 500 * micro.Millisecond

// Query asks a node when it last referred an agent to another.
type Query struct {
	Node string `msgpack:"node"` // to which the agent was referred
}

// Reply answers a Query.
type Reply struct {
	Referred bool  `msgpack:"referred"` // an agent was referred to the node
	Age      int64 `msgpack:"age"`      // how long ago the last one was, in microseconds
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

// Handle answers another node's Query with an HTTP status and a body.
func (l *Log) Handle(body []byte, now micro.Time) (status int, out []byte) {
	var query Query
	if err := wire.Unmarshal(body, &query); err != nil || query.Node == "" {
		return http.StatusBadRequest, nil
	}
	l.mu.Lock()
	at, referred := l.last[query.Node]
	l.mu.Unlock()
	reply := Reply{Referred: referred}
	if referred {
		reply.Age = int64(now - at)
	}
	return http.StatusOK, wire.MustMarshal(reply)
}

// Answer is what all peers together know of agents that were referred to a node.
type Answer struct {
	Unanswered int        // peers that did not say
	Referred   bool       // an agent was referred to the node
	Age        micro.Time // how long ago the last one was
}

// ReferredWithin reports whether agents may have been referred to the node within a time: a peer
// says so, or one did not answer.
func (a Answer) ReferredWithin(d micro.Time) bool {
	return a.Unanswered > 0 || a.Referred && a.Age < d
}

// Ask asks the peers when they last referred an agent to a node. A peer of a version that does
// not know the call counts as one that did not answer.
func Ask(ctx context.Context, caller peer.Caller, peers []string, node string) Answer {
	body := wire.MustMarshal(Query{Node: node})
	replies := make([]*Reply, len(peers))
	var group errgroup.Group
	for i, name := range peers {
		group.Go(func() error {
			replies[i] = askOne(ctx, caller, name, body)
			return nil
		})
	}
	_ = group.Wait() // no call returns an error
	return combine(replies)
}

// askOne asks one peer; nil: it did not answer.
func askOne(ctx context.Context, caller peer.Caller, name string, body []byte) *Reply {
	var reply Reply
	status, out, err := caller.Call(ctx, name, peer.Referral, body, Timeout)
	if err != nil || status != http.StatusOK || wire.Unmarshal(out, &reply) != nil {
		return nil
	}
	return &reply
}

func combine(replies []*Reply) Answer {
	var answer Answer
	for _, reply := range replies {
		switch {
		case reply == nil:
			answer.Unanswered++
		case reply.Referred && (!answer.Referred || micro.Time(reply.Age) < answer.Age):
			answer.Referred, answer.Age = true, micro.Time(reply.Age)
		}
	}
	return answer
}
