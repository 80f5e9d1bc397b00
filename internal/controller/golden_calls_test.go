package controller

import (
	"context"
	"encoding/hex"
	"fmt"
	"sync"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/formatgate"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// peerCallRecorder records the calls to peers, and answers each with the same status and body.
type peerCallRecorder struct {
	mu     sync.Mutex
	calls  []string // node, path and hexadecimal body of each call
	status int
	answer string // response body, in hexadecimal
}

func (p *peerCallRecorder) Call(_ context.Context, node, call string, body []byte, _ micro.Time) (int, []byte, error) {
	out, err := hex.DecodeString(p.answer)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, node+" "+call+" "+hex.EncodeToString(body))
	return p.status, out, err
}

// last returns the latest call, or "" if there was none.
func (p *peerCallRecorder) last() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.calls) == 0 {
		return ""
	}
	return p.calls[len(p.calls)-1]
}

// startFollowerOfRecordedLeader starts a node that considers n-1 the leader and calls it through the recorder.
func (b *testCluster) startFollowerOfRecordedLeader(peers *peerCallRecorder) *Node {
	b.t.Helper()
	_, err := b.store.Commit(context.Background(), store.Leadership, wire.Transaction{
		Then: []wire.Change{{Put: election.LeaderKey, Value: election.Record{Node: "n-1"}}},
	})
	if err != nil {
		b.t.Fatal(err)
	}
	n, _ := b.startNodeWith("n-0", func(n *Node) {
		n.Peers = peers
		n.Cfg.Peers = []config.Peer{{Node: "n-1"}}
	})
	waitUntil(b.t, "the leader is known", func() bool { return n.election.Leader() == "n-1" })
	return n
}

const (
	goldenStatus  = "84a66e616d654964a36a2d31a6737461747573a772756e6e696e67a4646f6e6503a772756e6e696e6702"
	goldenIDs     = "92a36a2d31a36a2d32" // j-1 and j-2, as a list
	runningStatus = "{ID:j-1 State:running Done:3 Running:2 Dependencies:[]}"
)

// The encoding of calls between nodes and of their responses is fixed, as nodes of different releases call each other.
// Calls that only serve user requests are tested in package jobapi.
func TestPeerRequestsKeepTheirEncoding(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		answer string
		run    func(n *Node) any
		call   string
		want   string // the decoded response
	}{
		{
			"show", 200, goldenStatus, func(n *Node) any { return n.Status("j-1").Body },
			"n-1 /peer/show 6a2d31", runningStatus,
		},
		{
			"withdraw", 200, goldenStatus, func(n *Node) any { return n.Cancel("j-1").Body },
			"n-1 /peer/withdraw 6a2d31", runningStatus,
		},
		{
			"announce", 200, "",
			func(n *Node) any {
				n.formatGate.Check(context.Background())
				return n.formatGate.State() == formatgate.Announced
			},
			"n-1 /peer/announce a36e2d30", "true",
		},
		{
			"keep", 200, "82a17407a161cd3039",
			func(n *Node) any {
				n.contactLeader(context.Background())
				return n.leaseProxy.Request(0).Echo
			},
			"n-1 /peer/keep 83a16ea36e2d30a16582a17400a16100a16bc2", "{Term:7 At:12345}",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestCluster(t)
			peers := &peerCallRecorder{status: c.status, answer: c.answer}
			n := env.startFollowerOfRecordedLeader(peers)
			env.store.SetOutage(true)
			if got := fmt.Sprintf("%+v", c.run(n)); got != c.want {
				t.Errorf("the response is decoded as %s, want %s", got, c.want)
			}
			if got := peers.last(); got != c.call {
				t.Errorf("the last call is %s, want %s", got, c.call)
			}
		})
	}
}

// The responses of a node to calls of its peers have a fixed encoding. Calls that only serve user requests are tested
// in package jobapi.
func TestPeerResponsesKeepTheirEncoding(t *testing.T) {
	env := newTestCluster(t)
	n := env.startFollowerOfRecordedLeader(&peerCallRecorder{})
	_, err := env.store.Commit(context.Background(), store.Routine, wire.Transaction{
		Then: []wire.Change{{Put: "job/j-1/spec", Value: "any"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ids, err := hex.DecodeString(goldenIDs)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		call string
		body []byte
		want string
	}{
		{"exist", peer.AcceptedJobs, ids, "200 91a36a2d31"},
		{"accepted", peer.AcceptedJobsBudgeted, ids, "200 91a36a2d31"},
		{
			"admin without shares", peer.ShardAdmin, []byte("\x80"),
			"200 82a772656675736564d9357468697320636f6e74726f6c6c65722072756e7320776974686f757420736861726573" +
				"20287365727665202d2d6665617475726529a6736861726573c0",
		},
	} {
		status, out := n.handlePeerCall(t.Context(), c.call, c.body)
		if got := fmt.Sprintf("%d %x", status, out); got != c.want {
			t.Errorf("%s: answered %s, want %s", c.name, got, c.want)
		}
	}
}
