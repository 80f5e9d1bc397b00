package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// benchmarkJobs is how many jobs users ask for in turn.
const benchmarkJobs = 200

// startBenchmarkNodes is a leader that knows jobs, and a follower that asks it over loopback.
func startBenchmarkNodes(b *testing.B) (leader, follower *Node) {
	b.Helper()
	tb := &testing.T{}
	bed := newTestCluster(tb)
	b.Cleanup(func() {})
	leader, stop := bed.startNodeWith("n-0", func(node *Node) { node.Cfg.Peers = []config.Peer{{Node: "n-1", Zone: "a"}} })
	b.Cleanup(stop)
	waitUntil(tb, "leading", func() bool { return leader.activeLeader() != nil && leader.activeLeader().serving.Load() })
	follower, stopFollower := bed.startNodeWith("n-1", func(node *Node) {
		node.Cfg.Peers = []config.Peer{{Node: "n-0", Zone: "a"}}
		node.Peers = peer.NewClient(map[string]string{"n-0": bed.servePeer(leader)})
	})
	b.Cleanup(stopFollower)
	waitUntil(tb, "leader known", func() bool { return follower.election.Leader() == "n-0" })
	for i := range benchmarkJobs {
		id := fmt.Sprintf("j-%d", i)
		if reply := leader.Submit(submission(id, wire.Service)); reply.Status != 201 {
			b.Fatalf("%+v", reply)
		}
		waitUntil(tb, "known", func() bool { return len(leader.activeLeader().Statuses([]string{id})) == 1 })
	}
	return leader, follower
}

// A status query at the leader, and one at a follower, which asks the leader.
func BenchmarkStatusQuery(b *testing.B) {
	leader, follower := startBenchmarkNodes(b)
	for name, node := range map[string]*Node{"leader": leader, "follower": follower} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(128)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if reply := node.Status(fmt.Sprintf("j-%d", i%benchmarkJobs)); reply.Status != 200 {
						b.Errorf("status %d", reply.Status)
						return
					}
				}
			})
		})
	}
}
