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

// peers are the responders of some nodes, by name; those that are nil do not answer.
type peers map[string]*Responder

// askedAt is when all of them are asked.
const askedAt = 60 * micro.Second

func (p peers) Call(_ context.Context, node, _ string, body []byte, _ micro.Time) (int, []byte, error) {
	responder := p[node]
	if responder == nil {
		return 0, nil, errors.New("no answer")
	}
	status, out := responder.Handle(body, askedAt)
	return status, out, nil
}

// ask asks them all, for a node that reaches some agents itself.
func (p peers) ask(here reachableAgents, query Query) Result {
	asker := Client{Caller: p, Prober: here, Peers: slices.Sorted(maps.Keys(p))}
	return asker.QueryPeers(context.Background(), query)
}

// A leader whose machines were all dead could not tell that from a network that keeps its agents
// from it: only its peers know whether agents look for it.
func TestPeersTellWhetherAgentsLookForANode(t *testing.T) {
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
		"none was referred": {peers{"n-1": {}, "n-2": {}}, Result{}, false},
		"one was just now": {
			peers{"n-1": {}, "n-2": referred("n-0", askedAt-micro.Second)}, Result{Referred: true, Age: micro.Second}, true,
		},
		"the latest of two counts": {
			peers{"n-1": referred("n-0", askedAt-3*micro.Second), "n-2": referred("n-0", askedAt-20*micro.Second)},
			Result{Referred: true, Age: 3 * micro.Second},
			true,
		},
		"one was long ago": {
			peers{"n-1": referred("n-0", askedAt-micro.Minute+1), "n-2": {}},
			Result{Referred: true, Age: micro.Minute - 1},
			false,
		},
		"one was, to another node": {peers{"n-1": referred("n-2", askedAt), "n-2": {}}, Result{}, false},
		"one peer does not answer": {peers{"n-1": {}, "n-2": nil}, Result{Unanswered: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := row.peers.ask(nil, Query{Node: "n-0"})
			if got != row.want {
				t.Errorf("%+v, want %+v", got, row.want)
			}
			if within := got.ReferredWithin(10 * micro.Second); within != row.within {
				t.Errorf("within 10 s: %v", within)
			}
		})
	}
}

// reachableAgents are the agents that answer probes, by their addresses.
type reachableAgents map[string]string

func (r reachableAgents) Probe(addr string) (*wire.Heartbeat, error) {
	machine, ok := r[addr]
	if !ok {
		return nil, errors.New("no answer")
	}
	return &wire.Heartbeat{Machine: machine, Addr: addr}, nil
}

// A leader that no agent reached kept the lead until agents had waited out their timeouts at all nodes
// that they did not reach either: until then none had been referred to it.
func TestPeersProbeAgentsThatWereNotReferredYet(t *testing.T) {
	silent := []Agent{{"m-1", "a-1"}, {"m-2", "a-2"}}
	both := reachableAgents{"a-1": "m-1", "a-2": "m-2"}
	second := reachableAgents{"a-2": "m-2"}
	replaced := reachableAgents{"a-2": "m-3"}
	other := reachableAgents{"a-3": "m-3"}
	probing := func(agents reachableAgents) *Responder { return &Responder{Prober: agents} }
	for name, row := range map[string]struct {
		peers      peers
		here       reachableAgents // those that answer the node itself
		mayBeThere bool
	}{
		"no peer reaches one":                   {peers{"n-1": probing(nil), "n-2": probing(nil)}, nil, false},
		"one peer reaches one":                  {peers{"n-1": probing(nil), "n-2": probing(second)}, nil, true},
		"both reach both":                       {peers{"n-1": probing(both), "n-2": probing(both)}, nil, true},
		"both reach both, the node one of them": {peers{"n-1": probing(both), "n-2": probing(both)}, second, true},
		"all reach both":                        {peers{"n-1": probing(both), "n-2": probing(both)}, both, false},
		"the address is another's":              {peers{"n-1": probing(nil), "n-2": probing(replaced)}, nil, false},
		"peers that do not probe":               {peers{"n-1": {}, "n-2": {}}, nil, false},
		"a peer does not answer":                {peers{"n-1": probing(nil), "n-2": nil}, nil, true},
		"others than those are there":           {peers{"n-1": probing(nil), "n-2": probing(other)}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			answer := row.peers.ask(row.here, Query{Node: "n-0", Agents: silent})
			if got := answer.AgentsMayBeAlive(10 * micro.Second); got != row.mayBeThere {
				t.Errorf("%+v: %v", answer, got)
			}
		})
	}
}

// A peer that is asked for more agents than it probes answers within its time.
func TestPeerProbesABoundedNumberOfAgents(t *testing.T) {
	var agents []Agent
	reachable := reachableAgents{}
	for i := range MaxProbedAgents + 1 {
		agents = append(agents, Agent{fmt.Sprint("m-", i), fmt.Sprint("a-", i)})
	}
	last := agents[MaxProbedAgents]
	reachable[last.Addr] = last.Machine
	asked := peers{"n-1": {Prober: reachable}}
	if answer := asked.ask(nil, Query{"n-0", agents}); answer.Reached {
		t.Error("the last one was probed as well")
	}
	agents[0] = last
	if answer := asked.ask(nil, Query{"n-0", agents}); !answer.Reached {
		t.Error("the first one was not probed")
	}
}

func TestQueryWithoutANodeIsRejected(t *testing.T) {
	for name, body := range map[string][]byte{"garbage": {0xc1}, "no node": wire.MustMarshal(Query{})} {
		if status, _ := new(Responder).Handle(body, askedAt); status != http.StatusBadRequest {
			t.Errorf("%s: %d", name, status)
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
