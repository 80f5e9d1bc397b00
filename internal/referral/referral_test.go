package referral

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"notchmux.dev/notchmux/internal/golden"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// peers are the logs of some nodes, by name; those that are nil do not answer.
type peers map[string]*Log

// askedAt is when all of them are asked.
const askedAt = 60 * micro.Second

func (p peers) Call(_ context.Context, node, _ string, body []byte, _ micro.Time) (int, []byte, error) {
	log := p[node]
	if log == nil {
		return 0, nil, errors.New("no answer")
	}
	status, out := log.Handle(body, askedAt)
	return status, out, nil
}

// A leader whose machines were all dead could not tell that from a network that keeps its agents
// from it: only its peers know whether agents look for it.
func TestPeersTellWhetherAgentsLookForANode(t *testing.T) {
	referred := func(node string, at micro.Time) *Log {
		log := &Log{}
		log.Record(node, at)
		return log
	}
	for name, row := range map[string]struct {
		peers  peers
		want   Answer
		within bool // agents may have been referred to n-0 within 10 s
	}{
		"none was referred": {peers{"n-1": {}, "n-2": {}}, Answer{}, false},
		"one was just now": {
			peers{"n-1": {}, "n-2": referred("n-0", askedAt-micro.Second)}, Answer{Referred: true, Age: micro.Second}, true,
		},
		"the latest of two counts": {
			peers{"n-1": referred("n-0", askedAt-3*micro.Second), "n-2": referred("n-0", askedAt-20*micro.Second)},
			Answer{Referred: true, Age: 3 * micro.Second},
			true,
		},
		"one was long ago": {
			peers{"n-1": referred("n-0", askedAt-micro.Minute+1), "n-2": {}},
			Answer{Referred: true, Age: micro.Minute - 1},
			false,
		},
		"one was, to another node": {peers{"n-1": referred("n-2", askedAt), "n-2": {}}, Answer{}, false},
		"one peer does not answer": {peers{"n-1": {}, "n-2": nil}, Answer{Unanswered: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := Ask(context.Background(), row.peers, []string{"n-1", "n-2"}, "n-0")
			if got != row.want {
				t.Errorf("%+v, want %+v", got, row.want)
			}
			if within := got.ReferredWithin(10 * micro.Second); within != row.within {
				t.Errorf("within 10 s: %v", within)
			}
		})
	}
}

func TestQueryWithoutANodeIsRejected(t *testing.T) {
	for name, body := range map[string][]byte{"garbage": {0xc1}, "no node": wire.MustMarshal(Query{})} {
		if status, _ := new(Log).Handle(body, askedAt); status != http.StatusBadRequest {
			t.Errorf("%s: %d", name, status)
		}
	}
}

func TestQueriesAndRepliesKeepTheirBytes(t *testing.T) {
	if err := golden.Binary(Query{Node: "n-1"}, "81a46e6f6465a36e2d31"); err != nil {
		t.Error(err)
	}
	if err := golden.Binary(Reply{Referred: true, Age: 70000}, "82a87265666572726564c3a3616765ce00011170"); err != nil {
		t.Error(err)
	}
}
