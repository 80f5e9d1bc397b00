package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// benchmarkJobs is the number of jobs that the benchmark queries in turn.
const benchmarkJobs = 200

// startBenchmarkNodes starts a leader with benchmarkJobs jobs, and a follower that calls the leader over loopback.
func startBenchmarkNodes(b *testing.B) (leader, follower *Node) {
	b.Helper()
	tb := &testing.T{}
	env := newTestCluster(tb)
	b.Cleanup(func() {})
	leader, stop := env.startNodeWith("n-0", func(node *Node) { node.Cfg.Peers = []config.Peer{{Node: "n-1", Zone: "a"}} })
	b.Cleanup(stop)
	waitUntil(tb, "the node leads and serves", func() bool {
		return leader.activeLeader() != nil && leader.activeLeader().serving.Load()
	})
	follower, stopFollower := env.startNodeWith("n-1", func(node *Node) {
		node.Cfg.Peers = []config.Peer{{Node: "n-0", Zone: "a"}}
		node.Peers = peer.NewClient(map[string]string{"n-0": env.servePeer(leader)})
	})
	b.Cleanup(stopFollower)
	waitUntil(tb, "the leader is known", func() bool { return follower.election.Leader() == "n-0" })
	for i := range benchmarkJobs {
		id := fmt.Sprintf("j-%d", i)
		if reply := leader.Submit(submission(id, wire.Service)); reply.Status != 201 {
			b.Fatalf("submission: got %+v, want status 201", reply)
		}
		waitUntil(tb, "the leader knows the job", func() bool {
			return len(leader.activeLeader().Statuses([]string{id})) == 1
		})
	}
	return leader, follower
}

// BenchmarkStatusQuery measures status queries at the leader, and at a follower, which forwards them to the leader.
func BenchmarkStatusQuery(b *testing.B) {
	leader, follower := startBenchmarkNodes(b)
	for name, node := range map[string]*Node{"leader": leader, "follower": follower} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(128)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if reply := node.Status(fmt.Sprintf("j-%d", i%benchmarkJobs)); reply.Status != 200 {
						b.Errorf("status %d, want 200", reply.Status)
						return
					}
				}
			})
		})
	}
}
