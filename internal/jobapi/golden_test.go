package jobapi

import (
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// recordingPeers records the calls to other nodes and gives the same response to each.
type recordingPeers struct {
	mu       sync.Mutex
	calls    []string // node, path and body of each call, the body in hexadecimal
	status   int
	replyHex string // body of the response, in hexadecimal
}

func (p *recordingPeers) Call(_ context.Context, node, call string, body []byte, _ micro.Time) (int, []byte, error) {
	out, err := hex.DecodeString(p.replyHex)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, node+" "+call+" "+hex.EncodeToString(body))
	return p.status, out, err
}

func (p *recordingPeers) CallRegardless(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	return p.Call(ctx, node, call, body, timeout)
}

func (p *recordingPeers) Retry(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	return p.Call(ctx, node, call, body, timeout)
}

func (p *recordingPeers) LeaderFirst() []string { return []string{"n-1"} }

// last returns the latest call, or "" if there was none.
func (p *recordingPeers) last() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.calls) == 0 {
		return ""
	}
	return p.calls[len(p.calls)-1]
}

// stubLeadership names n-1 as the leader; if active is set, it is the leader on this node.
type stubLeadership struct{ active Leader }

func (l stubLeadership) ActiveLeader() Leader { return l.active }
func (l stubLeadership) LeaderName() string   { return "n-1" }

// emptyLeader is a leader without jobs.
type emptyLeader struct{}

func (emptyLeader) Statuses([]string) []wire.JobStatus         { return nil }
func (emptyLeader) KnowsJob(string) bool                       { return false }
func (emptyLeader) PendingTasks() int                          { return 0 }
func (emptyLeader) AddJob(wire.Job)                            {}
func (emptyLeader) CancelJob(string, micro.Time) httpapi.Reply { return httpapi.Reply{Status: 404} }

// stubNode is the Health, FormatGate and Catalog of a node that is not isolated, uses the older record formats and has
// not read the catalog.
type stubNode struct{}

func (stubNode) Isolated() bool      { return false }
func (stubNode) FormatOpen() bool    { return false }
func (stubNode) Load() *wire.Catalog { return nil }

// newGoldenService returns the service of node n-0, whose only peer is n-1.
func newGoldenService(st store.Store, peers Peers, leader Leader) *Service {
	cfg := &config.Config{Properties: config.Defaults()}
	cfg.Node, cfg.Peers = "n-0", []config.Peer{{Node: "n-1"}}
	cfg.Facts.State.ValueKB, cfg.Facts.State.TxnOps = 16, 24
	return New(cfg, Dependencies{
		Store: st, Leadership: stubLeadership{leader}, Peers: peers, Catalog: stubNode{}, Health: stubNode{},
		FormatGate: stubNode{}, Log: slog.New(slog.DiscardHandler), Now: micro.Now, Wall: micro.WallNow,
	})
}

const (
	goldenStatus   = "84a66e616d654964a36a2d31a6737461747573a772756e6e696e67a4646f6e6503a772756e6e696e6702"
	goldenStatuses = "91" + goldenStatus
	goldenIDs      = "92a36a2d31a36a2d32" // j-1 and j-2
	runningStatus  = "{ID:j-1 State:running Done:3 Running:2 Dependencies:[]}"
)

// Nodes of different versions call each other, so the encoding of requests and the decoding of responses must not
// change.
func TestPeerRequestEncodingMatchesGolden(t *testing.T) {
	ids := []string{"j-1", "j-2"}
	for _, c := range []struct {
		name        string
		responseHex string // body of the peer's response
		send        func(s *Service) any
		wantCall    string
		wantDecoded string // the decoded response
	}{
		{"status", goldenStatus, func(s *Service) any {
			reply, ok := s.batcher.queryOne("n-1", "j-1")
			return fmt.Sprintf("%v %+v", ok, reply.Body)
		}, "n-1 /peer/show 6a2d31", "true " + runningStatus},
		{"status batch", goldenStatuses, func(s *Service) any {
			return s.batcher.queryMany("n-1", []*statusQuery{{leader: "n-1", id: "j-1"}, {leader: "n-1", id: "j-2"}})
		}, "n-1 /peer/shows " + goldenIDs, "map[j-1:" + runningStatus + "]"},
		{"cancel", goldenStatus, func(s *Service) any {
			return s.Cancel("j-1").Body
		}, "n-1 /peer/withdraw 6a2d31", runningStatus},
		{"stored status", goldenStatus, func(s *Service) any {
			reply, _ := s.readByPeers("j-1")
			return reply.Body
		}, "n-1 /peer/read 6a2d31", runningStatus},
		{"accepted jobs within budget", "91a36a2d32", func(s *Service) any {
			accepted, _ := s.acceptedByPeers(ids)
			return accepted
		}, "n-1 /peer/accepted " + goldenIDs, "map[j-2:true]"},
		{"accepted jobs", "91a36a2d31", func(s *Service) any {
			accepted, _ := s.acceptedJobs(ids, true)
			return accepted
		}, "n-1 /peer/exist " + goldenIDs, "map[j-1:true]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			st := fake.NewStore()
			st.SetOutage(true)
			peers := &recordingPeers{status: 200, replyHex: c.responseHex}
			if got := fmt.Sprintf("%+v", c.send(newGoldenService(st, peers, nil))); got != c.wantDecoded {
				t.Errorf("response decoded as %s, want %s", got, c.wantDecoded)
			}
			if got := peers.last(); got != c.wantCall {
				t.Errorf("called %s, want %s", got, c.wantCall)
			}
		})
	}
}

// Nodes of different versions call each other, so the encoding of responses must not change.
func TestPeerReplyEncodingMatchesGolden(t *testing.T) {
	st := fake.NewStore()
	_, err := st.Commit(t.Context(), store.Routine, wire.Transaction{
		Then: []wire.Change{{Put: "job/j-1/spec", Value: "any"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	service := newGoldenService(st, &recordingPeers{}, emptyLeader{})
	service.finalStatuses.Put(wire.JobStatus{ID: "j-1", State: wire.JobDone, Done: 3, Running: 2})
	ids, err := hex.DecodeString(goldenIDs)
	if err != nil {
		t.Fatal(err)
	}
	const final = "84a66e616d654964a36a2d31a6737461747573a4646f6e65a4646f6e6503a772756e6e696e6702"
	for _, c := range []struct {
		name string
		call string
		body []byte
		want string
	}{
		{"accepted jobs", peer.AcceptedJobs, ids, "200 91a36a2d31"},
		{"accepted jobs within budget", peer.AcceptedJobsBudgeted, ids, "200 91a36a2d31"},
		{"status", peer.Status, []byte("j-1"), "200 " + final},
		{"status batch", peer.StatusBatch, []byte("\x91\xa3j-1"), "200 91" + final},
	} {
		status, out := service.PeerCalls()[c.call](c.body)
		if got := fmt.Sprintf("%d %x", status, out); got != c.want {
			t.Errorf("%s: response is %s, want %s", c.name, got, c.want)
		}
	}
}

// The leader of another version decodes this notification, so all fields of the job must keep their encoding.
func TestJobAcceptedNotificationEncodingMatchesGolden(t *testing.T) {
	peers := &recordingPeers{status: 200}
	job, err := wire.DecodeJob(wire.MustMarshal(map[string]any{
		"nameId": "j-1", "jobclass": "c", "outfit": "team", "shape": string(wire.JobArray), "rank": "standard",
		"pieces": 2, "vcpus": 1, "gpus": 0, "ramGb": 1, "bundle": "i", "pullGb": 1, "oneZone": false,
		"scatter": false, "loaners": false, "guessS": 10, "bookmarkS": 0, "stashS": 0,
	}))
	if err != nil {
		t.Fatal(err)
	}
	newGoldenService(fake.NewStore(), peers, nil).notifyAccepted(job)
	for end := time.Now().Add(time.Minute); peers.last() == "" && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	const want = "n-1 /peer/notify de0014a66e616d654964a36a2d31a86a6f62636c617373a163a66f7574666974a47465616d" +
		"a57368617065a56261746368a472616e6ba87374616e64617264a670696563657302a57663707573cb3ff0000000000000" +
		"a467707573cb0000000000000000a572616d4762cb3ff0000000000000a662756e646c65a169a670756c6c4762cb3ff000" +
		"0000000000a472696773c0a479617264c0a76f6e655a6f6e65c2a773636174746572c2a76c6f616e657273c2a667756573" +
		"7353cb4024000000000000a9626f6f6b6d61726b53cb0000000000000000a6737461736853cb0000000000000000a46475" +
		"6553c0"
	if got := peers.last(); got != want {
		t.Errorf("called %s, want %s", got, want)
	}
}
