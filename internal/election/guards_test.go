package election

import (
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
)

// The store counts the lease of a campaign from when it granted it, and its answers may
// take seconds: the leadership lease counts from when the lease was asked for.
func TestLeaseOfACampaignCountsFromWhenItWasRequested(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		member := cluster.startNode("n-0", 0, func(member *testNode) { member.link.SetDelay(3 * micro.Second) })
		for end := cluster.store.Now() + 4*ttl; !member.isLeading(); cluster.advance(10 * micro.Millisecond) {
			if cluster.store.Now() > end {
				t.Fatal("does not lead")
			}
		}
		member.link.SetReachability(fake.Partitioned) // before any renewal
		for end := cluster.store.Now() + 2*ttl; cluster.store.Now() < end; cluster.advance(10 * micro.Millisecond) {
			if member.isLeading() && !cluster.leaderKeyExists() {
				t.Fatal("acts after its lease ended")
			}
		}
	})
}
