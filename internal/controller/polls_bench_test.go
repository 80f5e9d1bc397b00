package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// benchJobs is how many jobs users ask for in turn.
const benchJobs = 200

// pollBed is a leader that knows jobs, and a follower that asks it over loopback.
func pollBed(b *testing.B) (lead, follower *Node) {
	b.Helper()
	tb := &testing.T{}
	bed := newBed(tb)
	b.Cleanup(func() {})
	lead, stop := bed.nodeWith("n-0", func(n *Node) { n.Cfg.Peers = []config.Peer{{Node: "n-1", Zone: "a"}} })
	b.Cleanup(stop)
	wait(tb, "leading", func() bool { return lead.leading() != nil && lead.leading().serving.Load() })
	follower, stopFollower := bed.nodeWith("n-1", func(n *Node) {
		n.Cfg.Peers = []config.Peer{{Node: "n-0", Zone: "a"}}
		n.Peers = peer.NewClient(map[string]string{"n-0": bed.servePeer(lead)})
	})
	b.Cleanup(stopFollower)
	wait(tb, "leader known", func() bool { return follower.election.Leader() == "n-0" })
	for i := range benchJobs {
		id := fmt.Sprintf("j-%d", i)
		if r := lead.Submit(submission(id, wire.Service)); r.Status != 201 {
			b.Fatalf("%+v", r)
		}
		wait(tb, "known", func() bool { _, ok := lead.leading().show(id); return ok })
	}
	return lead, follower
}

// A poll at the leader, and one at a follower, which asks the leader.
func BenchmarkPoll(b *testing.B) {
	lead, follower := pollBed(b)
	for name, n := range map[string]*Node{"leader": lead, "follower": follower} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(128)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if r := n.Show(fmt.Sprintf("j-%d", i%benchJobs)); r.Status != 200 {
						b.Errorf("status %d", r.Status)
						return
					}
				}
			})
		})
	}
}
