package referral

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"

	"notchmux.dev/notchmux/internal/golden"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// peers holds the responders of some nodes, by node name. A nil responder does not reply.
type peers map[string]*Responder

// askedAt is the time of every query.
const askedAt = 60 * micro.Second

func (p peers) Call(_ context.Context, node, _ string, body []byte, _ micro.Time) (int, []byte, error) {
	responder := p[node]
	if responder == nil {
		return 0, nil, errors.New("no response")
	}
	status, out := responder.Handle(body, askedAt)
	return status, out, nil
}

// ask queries all peers on behalf of a node that reaches the given agents itself.
func (p peers) ask(local reachableAgents, query Query) Result {
	client := Client{Caller: p, Prober: local, Peers: slices.Sorted(maps.Keys(p))}
	return client.QueryPeers(context.Background(), query)
}

// A leader cannot distinguish the failure of all machines from a network partition between it and its agents:
// only its peers know whether agents were referred to it.
func TestPeersReportWhetherAgentsWereReferredToANode(t *testing.T) {
	referred := func(node string, at micro.Time) *Responder {
		responder := &Responder{}
		responder.Record(node, at)
		return responder
	}
	for name, row := range map[string]struct {
		peers  peers
		want   Result
		within bool // agents may have been referred to n-0 within 10 s
	}{
		"no referral": {peers{"n-1": {}, "n-2": {}}, Result{}, false},
		"referral 1 s ago": {
			peers{"n-1": {}, "n-2": referred("n-0", askedAt-micro.Second)}, Result{Referred: true, Age: micro.Second}, true,
		},
		"latest of two referrals counts": {
			peers{"n-1": referred("n-0", askedAt-3*micro.Second), "n-2": referred("n-0", askedAt-20*micro.Second)},
			Result{Referred: true, Age: 3 * micro.Second},
			true,
		},
		"referral a minute ago": {
			peers{"n-1": referred("n-0", askedAt-micro.Minute+1), "n-2": {}},
			Result{Referred: true, Age: micro.Minute - 1},
			false,
		},
		"referral to another node": {peers{"n-1": referred("n-2", askedAt), "n-2": {}}, Result{}, false},
		"one peer does not reply":  {peers{"n-1": {}, "n-2": nil}, Result{Unanswered: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := row.peers.ask(nil, Query{Node: "n-0"})
			if got != row.want {
				t.Errorf("%+v, want %+v", got, row.want)
			}
			if within := got.ReferredWithin(10 * micro.Second); within != row.within {
				t.Errorf("agents may have been referred within 10 s: %v, want %v", within, row.within)
			}
		})
	}
}

// reachableAgents holds the machines of the agents that respond to probes, by address.
type reachableAgents map[string]string

func (r reachableAgents) Probe(addr string) (*wire.Heartbeat, error) {
	machine, ok := r[addr]
	if !ok {
		return nil, errors.New("no response")
	}
	return &wire.Heartbeat{Machine: machine, Addr: addr}, nil
}

// A leader that no agent reached kept leadership until agents had waited for a timeout at every other node that
// they could not reach either, because no agent was referred to it before.
func TestPeersProbeAgentsThatWereNotReferredYet(t *testing.T) {
	unheard := []Agent{{"m-1", "a-1"}, {"m-2", "a-2"}}
	both := reachableAgents{"a-1": "m-1", "a-2": "m-2"}
	second := reachableAgents{"a-2": "m-2"}
	replaced := reachableAgents{"a-2": "m-3"}
	other := reachableAgents{"a-3": "m-3"}
	probing := func(agents reachableAgents) *Responder { return &Responder{Prober: agents} }
	for name, row := range map[string]struct {
		peers      peers
		local      reachableAgents // agents that respond to the node itself
		mayBeAlive bool
	}{
		"no peer reaches an agent":             {peers{"n-1": probing(nil), "n-2": probing(nil)}, nil, false},
		"one peer reaches one agent":           {peers{"n-1": probing(nil), "n-2": probing(second)}, nil, true},
		"both peers reach both agents":         {peers{"n-1": probing(both), "n-2": probing(both)}, nil, true},
		"both peers reach both, the node one":  {peers{"n-1": probing(both), "n-2": probing(both)}, second, true},
		"peers and node reach both agents":     {peers{"n-1": probing(both), "n-2": probing(both)}, both, false},
		"address belongs to another machine":   {peers{"n-1": probing(nil), "n-2": probing(replaced)}, nil, false},
		"peers do not support probes":          {peers{"n-1": {}, "n-2": {}}, nil, false},
		"one peer does not reply":              {peers{"n-1": probing(nil), "n-2": nil}, nil, true},
		"peer reaches only agents not queried": {peers{"n-1": probing(nil), "n-2": probing(other)}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			result := row.peers.ask(row.local, Query{Node: "n-0", Agents: unheard})
			if got := result.AgentsMayBeAlive(10 * micro.Second); got != row.mayBeAlive {
				t.Errorf("%+v: agents may be alive: %v, want %v", result, got, row.mayBeAlive)
			}
		})
	}
}

// A peer probes at most MaxProbedAgents agents of a query, so that it can reply within Timeout.
func TestPeerProbesABoundedNumberOfAgents(t *testing.T) {
	var agents []Agent
	reachable := reachableAgents{}
	for i := range MaxProbedAgents + 1 {
		agents = append(agents, Agent{fmt.Sprint("m-", i), fmt.Sprint("a-", i)})
	}
	last := agents[MaxProbedAgents]
	reachable[last.Addr] = last.Machine
	asked := peers{"n-1": {Prober: reachable}}
	if result := asked.ask(nil, Query{"n-0", agents}); result.Reached {
		t.Error("the agent beyond the limit was probed")
	}
	agents[0] = last
	if result := asked.ask(nil, Query{"n-0", agents}); !result.Reached {
		t.Error("the first agent was not probed")
	}
}

func TestQueryWithoutANodeIsRejected(t *testing.T) {
	for name, body := range map[string][]byte{"garbage": {0xc1}, "no node": wire.MustMarshal(Query{})} {
		if status, _ := new(Responder).Handle(body, askedAt); status != http.StatusBadRequest {
			t.Errorf("%s: status %d, want %d", name, status, http.StatusBadRequest)
		}
	}
}

func TestQueriesAndRepliesKeepTheirBytes(t *testing.T) {
	if err := golden.Binary(Query{Node: "n-1"}, "81a46e6f6465a36e2d31", "referral.Query.Agents"); err != nil {
		t.Error(err)
	}
	if err := golden.Binary(
		Query{Node: "n-1", Agents: []Agent{{"m-1", "a-1"}}},
		"82a46e6f6465a36e2d31a66167656e74739182a76d616368696e65a36d2d31a461646472a3612d31",
	); err != nil {
		t.Error(err)
	}
	if err := golden.Binary(
		Reply{Referred: true, Age: 70000, Reached: []string{"m-1"}},
		"83a87265666572726564c3a3616765ce00011170a77265616368656491a36d2d31",
	); err != nil {
		t.Error(err)
	}
	if err := golden.Binary(
		Reply{Referred: true, Age: 70000}, "82a87265666572726564c3a3616765ce00011170", "referral.Reply.Reached",
	); err != nil {
		t.Error(err)
	}
}
