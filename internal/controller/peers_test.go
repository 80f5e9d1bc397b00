package controller

import (
	"context"
	"net/http"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// Calls that cannot be served are answered with fixed statuses, which peers of this and of the previous release rely
// on.
func TestPeerCallsThatCannotBeServedReturnFixedStatuses(t *testing.T) {
	env := newTestCluster(t)
	leader, _ := env.startNode("n-0")
	waitUntil(t, "n-0 leads and serves", func() bool {
		return leader.activeLeader() != nil && leader.activeLeader().serving.Load()
	})
	follower, _ := env.startNode("n-1")
	waitUntil(t, "the leader is known", func() bool { return follower.election.Leader() == "n-0" })
	const garbage = "\xc1" // no MessagePack value starts with this byte
	ids := string(wire.MustMarshal([]string{"j-000001"}))
	for _, test := range []struct {
		call, body       string
		leader, follower int
	}{
		{peer.Ping, garbage, http.StatusOK, http.StatusOK},
		{peer.Status, "j-000001", http.StatusServiceUnavailable, http.StatusMisdirectedRequest},
		{peer.Status, garbage, http.StatusServiceUnavailable, http.StatusMisdirectedRequest},
		{peer.StatusBatch, garbage, http.StatusBadRequest, http.StatusMisdirectedRequest},
		{peer.StatusBatch, ids, http.StatusOK, http.StatusMisdirectedRequest},
		{peer.Cancel, garbage, http.StatusBadRequest, http.StatusMisdirectedRequest},
		{peer.Cancel, "j-000001", http.StatusNotFound, http.StatusMisdirectedRequest},
		{peer.JobAccepted, garbage, http.StatusBadRequest, http.StatusMisdirectedRequest},
		{peer.JobAccepted, string(wire.MustMarshal(wire.Job{ID: "j-000001"})), http.StatusBadRequest, http.StatusMisdirectedRequest},
		{peer.ShardOwner, garbage, http.StatusServiceUnavailable, http.StatusMisdirectedRequest},
		{peer.Submit, garbage, http.StatusBadRequest, http.StatusBadRequest},
		{peer.AcceptedJobs, garbage, http.StatusBadRequest, http.StatusBadRequest},
		{peer.AcceptedJobs, ids, http.StatusOK, http.StatusOK},
		{peer.AcceptedJobsBudgeted, garbage, http.StatusBadRequest, http.StatusBadRequest},
		{peer.AcceptedJobsBudgeted, ids, http.StatusOK, http.StatusOK},
		{peer.StoredStatus, garbage, http.StatusNotFound, http.StatusNotFound},
		{peer.StoredStatus, "j-000001", http.StatusNotFound, http.StatusNotFound},
		{peer.AnnounceVersion, garbage, http.StatusBadRequest, http.StatusBadRequest},
		{peer.LeaseProxy, garbage, http.StatusBadRequest, http.StatusMisdirectedRequest},
		{peer.LeaseProxyFenced, garbage, http.StatusBadRequest, http.StatusMisdirectedRequest},
		{peer.ShardAdmin, garbage, http.StatusBadRequest, http.StatusBadRequest},
		{peer.Referral, garbage, http.StatusBadRequest, http.StatusBadRequest},
		{"/peer/later", garbage, http.StatusNotFound, http.StatusNotFound},
	} {
		for node, want := range map[*Node]int{leader: test.leader, follower: test.follower} {
			if got, _ := node.handlePeerCall(context.Background(), test.call, []byte(test.body)); got != want {
				t.Errorf("%s with body %q to %s: status %d, want %d", test.call, test.body, node.Cfg.Node, got, want)
			}
		}
	}
	status, out := leader.handlePeerCall(context.Background(), peer.StatusBatch, []byte(ids))
	if want := string(wire.MustMarshal([]wire.JobStatus{})); status != http.StatusOK || string(out) != want {
		t.Errorf("the response without any job found is %q, want %q", out, want)
	}
}

// Every registered peer call is served over the network. Calls that had only been added to the registry got 404, so
// nodes could not learn from their peers whether agents were looking for them.
func TestEveryPeerCallIsServedOverTheNetwork(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNode("n-0")
	waitUntil(t, "n-0 leads and serves", func() bool {
		return node.activeLeader() != nil && node.activeLeader().serving.Load()
	})
	client := peer.NewClient(map[string]string{"n-0": env.servePeer(node)})
	if len(node.peerCalls) == 0 {
		t.Fatal("the node has no peer calls registered")
	}
	const garbage = "\xc1"
	for call := range node.peerCalls {
		want, _ := node.handlePeerCall(context.Background(), call, []byte(garbage))
		status, _, err := client.Call(context.Background(), "n-0", call, []byte(garbage), micro.Minute)
		if err != nil || status != want {
			t.Errorf("%s over the network: status %d, error %v; want status %d, as called directly", call, status, err, want)
		}
	}
}
